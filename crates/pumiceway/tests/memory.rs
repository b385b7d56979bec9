//! Checks the memory of a dispatcher process under pressure, files counted, and that sound clients
//! beside the troublesome ones get their responses.

mod common;

use common::{Process, TestFiles, accept_call, release_program, start_worker};
use pumiceway_test_support::processes::ListDelivery;
use pumiceway_test_support::processes::crowds::Conduct;
use pumiceway_test_support::processes::lengthy::LengthyResponse;
use pumiceway_test_support::processes::memory::MemoryWatch;
use pumiceway_test_support::processes::pressure::{Pressure, PressureReport};
use pumiceway_test_support::{Peer, encode_packet, endpoint_line, listing};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The target: a process takes at most this share of its memory limit.
const MAX_MEMORY_SHARE: f64 = 0.8;

/// Runs the program under pressure, and checks its memory and the responses to sound clients.
fn run_and_check(pressure: &Pressure) -> PressureReport {
    let report = pressure.run(&release_program());
    let limit = pressure.memory_mb << 20;
    let peak = report.memory.peak;
    assert!(
        peak.total as f64 <= MAX_MEMORY_SHARE * limit as f64,
        "{peak:?} of {limit}, passed after {:?}: {pressure:?}",
        report.exceeded_after
    );
    let violations = &report.rules.violations;
    assert!(violations.is_empty(), "{violations:#?}: {pressure:?}");
    report
}

/// Like [`run_and_check`], where endpoints are sound: each awaited request is served.
fn run_and_check_served(pressure: &Pressure) {
    let rules = run_and_check(pressure).rules;
    assert_eq!(rules.awaited_served, rules.awaited, "{pressure:?}");
}

// Regression test for issue 53: each byte of a body that arrived alone kept the buffer that it was
// read into.
#[test]
fn memory_is_bounded_while_clients_write_large_bodies_slowly() {
    for conduct in [Conduct::SlowBody, Conduct::SlowChunks] {
        run_and_check_served(&Pressure {
            crowds: vec![(conduct, 100)],
            ..Pressure::none()
        });
    }
}

// Regression test for issue 53: the same of load reports.
#[test]
fn memory_is_bounded_while_endpoints_write_load_reports_slowly() {
    run_and_check(&Pressure {
        endpoints: 30,
        responses: vec![LengthyResponse::SlowLoadReport],
        ..Pressure::none()
    });
}

// Regression test for issue 53 and `review/2`: each attempt held a line of up to 400 KiB, and each
// connection a body of up to 64 KiB, and nothing bounded their sum.
#[test]
fn memory_is_bounded_while_clients_and_endpoints_hold_what_they_can() {
    run_and_check(&Pressure {
        memory_mb: 32,
        sockets: 1_024,
        endpoints: 100,
        clients: 200,
        crowds: vec![(Conduct::HalfBody, 40), (Conduct::LargeBodies, 40)],
        responses: vec![
            LengthyResponse::Line,
            LengthyResponse::SlowLine,
            LengthyResponse::LargeResult,
        ],
        ..Pressure::none()
    });
}

/// The memory limit of a process without one in its configuration.
const DEFAULT_LIMIT: u64 = 192 << 20;
/// Lists with ever new names: how many there are, and how many names each has.
const LISTS: u64 = 30;
const NAMES_PER_LIST: u64 = 20_000;
const LIST_INTERVAL: Duration = Duration::from_millis(100);

/// Sends lists with ever new names on one watch after the other.
fn send_new_names(discovery: &TcpListener, port: u16) {
    let endpoint = endpoint_line("worker", port, "ready");
    let mut watch = accept_call(discovery);
    watch.send("200");
    for list in 0..LISTS {
        let version = list + 2;
        let names = (0..NAMES_PER_LIST)
            .map(|name| endpoint_line(&format!("n{list}-{name}"), 1, "draining"));
        let lines: Vec<String> = std::iter::once(endpoint.clone()).chain(names).collect();
        watch.send(&format!("+ {}", listing(version, false, &lines)));
        std::thread::sleep(LIST_INTERVAL);
        if watch.is_closed() {
            watch = accept_call(discovery);
            watch.send(&format!(
                "json {}",
                listing(version, true, std::slice::from_ref(&endpoint))
            ));
            watch = accept_call(discovery);
            watch.send("200");
        }
    }
}

// Regression test for issue 53: the records of all endpoints that discovery had ever listed, and the
// parsed lists, were bounded by nothing.
#[test]
fn memory_is_bounded_while_discovery_lists_ever_new_names() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (port, _requests) = start_worker();
    let known = listing(1, true, &[endpoint_line("worker", port, "ready")]);
    let files = TestFiles::write("names", ListDelivery::Polled, &discovery, &known);
    let process = Process::start_build(&release_program(), &files.config, &files.gearman);
    let watch = MemoryWatch::start(process.id(), u64::MAX, || ());
    send_new_names(&discovery, port);
    let peak = watch.record().peak;
    assert!(
        peak.total as f64 <= MAX_MEMORY_SHARE * DEFAULT_LIMIT as f64,
        "{peak:?} of {DEFAULT_LIMIT}"
    );
    let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
    client.send("POST /rate-push/k t1 5000 x");
    let response = client.read_message().unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// The lowest memory limit, in MiB.
const LOWEST_LIMIT_MB: u64 = 32;
/// Gearman clients that never read what they are sent, and what each asks for.
const UNREADING_CLIENTS: usize = 40;
const ECHOES: usize = 500;
const ECHO_BYTES: usize = 60_000;

// Regression test for issue 53: what was queued for Gearman peers was bounded in packets, 1,024 of up
// to 64 KiB for each peer.
#[test]
fn memory_is_bounded_while_gearman_clients_do_not_read() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = format!(r#"{{"memory_mb":{LOWEST_LIMIT_MB},"sockets":1024}}"#);
    let known = listing(1, true, &[]);
    let delivery = ListDelivery::Pushed;
    let files = TestFiles::write_with_limits("unread", delivery, &discovery, &known, &limits);
    let process = Process::start_build(&release_program(), &files.config, &files.gearman);
    let watch = MemoryWatch::start(process.id(), u64::MAX, || ());
    let packet = encode_packet(&format!("[ECHO_REQ {}]", "x".repeat(ECHO_BYTES)));
    std::thread::scope(|scope| {
        for _ in 0..UNREADING_CLIENTS {
            scope.spawn(|| {
                let mut stream = TcpStream::connect(process.gearman()).unwrap();
                stream
                    .set_write_timeout(Some(Duration::from_secs(1)))
                    .unwrap();
                // Until the dispatcher closes the connection, or reads no more.
                (0..ECHOES)
                    .take_while(|_| stream.write_all(&packet).is_ok())
                    .count()
            });
        }
    });
    let peak = watch.record().peak;
    let limit = LOWEST_LIMIT_MB << 20;
    assert!(
        peak.total as f64 <= MAX_MEMORY_SHARE * limit as f64,
        "{peak:?} of {limit}"
    );
}
