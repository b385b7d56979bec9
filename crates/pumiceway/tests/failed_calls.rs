//! Checks the lease on the endpoint list of a dispatcher process whose calls to discovery fail.
//!
//! The tests guard against a past fault: each failed call to discovery counted as proof that the
//! list had not changed, and renewed the lease. The watches of a fleet were lost, 20 of 33 servers
//! were removed, and calls for a new watch failed, since more dispatchers called than discovery
//! could serve. Requests went to removed servers for 0.67 s after the latest time that is allowed;
//! one arrived 7.0 s after its server was gone, and 0.65 s before the next list from discovery.
//! A process with that fault, one of 202 instances, whose calls were all answered with 503, renewed
//! its lease for 12.55 s at each call.

mod common;

use common::{Process, TestFiles, accept_call, start_worker};
use pumiceway_test_support::processes::ListDelivery;
use pumiceway_test_support::{Peer, endpoint_line, listing};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// A dispatcher counts as notified of a change this long after discovery had the change. Nothing is
/// sent to a server that left once the following grace is over; the slack is for a busy machine.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const GRACE_AND_SLACK: Duration = Duration::from_millis(700);

/// How discovery fails each call after the last message that it has sent.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// It responds that it is unavailable.
    Unavailable,
    /// It resets the connection.
    Reset,
    /// It closes the connection without a response.
    Closed,
    /// It accepts the call and never responds.
    Silent,
    /// It opens a watch and sends heartbeats, but no list.
    Heartbeats,
    /// It opens a watch, sends a list that is older than its last message, and then heartbeats.
    OlderList,
}

const FAILURES: [Failure; 6] = [
    Failure::Unavailable,
    Failure::Reset,
    Failure::Closed,
    Failure::Silent,
    Failure::Heartbeats,
    Failure::OlderList,
];

/// The heartbeat of a watch: an empty line.
const HEARTBEAT: &str = "raw 1\\r\\n\\n\\r\\n";

/// Runs a discovery service that fails each call until `recovers` is set, and then responds to each
/// call with this list.
fn serve_discovery(
    discovery: TcpListener,
    failure: Failure,
    recovers: Arc<AtomicBool>,
    list: String,
) {
    std::thread::spawn(move || {
        let mut open_calls = Vec::new();
        loop {
            let mut call = accept_call(&discovery);
            if recovers.load(Ordering::SeqCst) {
                call.send("200");
                call.send(&format!("+ {list}"));
                open_calls.push(call);
                continue;
            }
            match failure {
                Failure::Unavailable => {
                    call.send(
                        "raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n",
                    );
                }
                Failure::Reset => call.reset(),
                Failure::Closed => drop(call),
                Failure::Silent => open_calls.push(call),
                Failure::Heartbeats => send_heartbeats(call, None),
                Failure::OlderList => {
                    send_heartbeats(call, Some(list.replacen(r#""index":2"#, r#""index":0"#, 1)));
                }
            }
        }
    });
}

/// Responds to a call with a watch, which sends this list, if any, and then heartbeats.
fn send_heartbeats(mut call: Peer, list: Option<String>) {
    call.send("200");
    if let Some(list) = list {
        call.send(&format!("+ {list}"));
    }
    std::thread::spawn(move || {
        while !call.is_closed() {
            std::thread::sleep(Duration::from_millis(1_200));
            call.send(HEARTBEAT);
        }
    });
}

/// Sends a request with this remaining time. Returns whether it reaches the server.
fn request_reaches_server(
    process: &Process,
    requests: &Receiver<String>,
    id: &str,
    remaining_ms: u64,
) -> bool {
    let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
    client.send(&format!("POST /rate-push/k {id} {remaining_ms} x"));
    let response = client.read_message().unwrap();
    let sent = requests
        .try_iter()
        .any(|request| request.contains(&format!("x-txn: {id}")));
    assert_eq!(response.starts_with("HTTP/1.1 200"), sent, "{response}");
    sent
}

/// Runs a process under one failure. Returns a message for each request that was sent without a
/// lease.
fn run(lists: ListDelivery, failure: Failure) -> Vec<String> {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (port, requests) = start_worker();
    let bootstrap_list = listing(1, true, &[endpoint_line("w", port, "ready")]);
    let files = TestFiles::write(
        &format!("failed-{failure:?}"),
        lists,
        &discovery,
        &bootstrap_list,
    );
    let process = Process::start(&files.config, &files.gearman);
    let mut watch = accept_call(&discovery);
    watch.send("200");
    watch.send(&format!("+ {}", listing(1, false, &[])));
    let last_message = Instant::now();
    assert!(
        request_reaches_server(&process, &requests, "first", 5_000),
        "{lists:?}, {failure:?}: not served with a confirmed list"
    );
    match failure {
        Failure::Silent => std::mem::forget(watch),
        _ => drop(watch),
    }
    let recovers = Arc::new(AtomicBool::new(false));
    let list = listing(2, true, &[endpoint_line("w", port, "ready")]);
    serve_discovery(discovery, failure, recovers.clone(), list);
    let mut violations = Vec::new();
    for after in [
        Duration::ZERO,
        Duration::from_secs(2),
        Duration::from_secs(5),
    ] {
        let at = last_message + NOTIFIED_WITHIN + GRACE_AND_SLACK + after;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if request_reaches_server(
            &process,
            &requests,
            &format!("late{}", after.as_secs()),
            300,
        ) {
            violations.push(format!(
                "{lists:?}, {failure:?}: sent {:?} after the last message",
                last_message.elapsed()
            ));
        }
    }
    recovers.store(true, Ordering::SeqCst);
    assert!(
        request_reaches_server(&process, &requests, "again", 5_000),
        "{lists:?}, {failure:?}: not served with a renewed list"
    );
    violations
}

#[test]
fn a_failed_call_does_not_renew_the_lease() {
    let runs: Vec<_> = [ListDelivery::Polled, ListDelivery::Pushed]
        .into_iter()
        .flat_map(|lists| FAILURES.map(|failure| std::thread::spawn(move || run(lists, failure))))
        .collect();
    let violations: Vec<_> = runs
        .into_iter()
        .flat_map(|run| run.join().unwrap())
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

// Regression test: a process that had been suspended read a heartbeat that was written a second
// before, and renewed the lease from the time of reading.
#[test]
fn a_heartbeat_that_is_read_late_renews_the_lease_from_when_it_was_written() {
    let runs = [ListDelivery::Polled, ListDelivery::Pushed].map(|lists| {
        std::thread::spawn(move || {
            let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
            let (port, requests) = start_worker();
            let bootstrap_list = listing(1, true, &[endpoint_line("w", port, "ready")]);
            let files = TestFiles::write("late-heartbeat", lists, &discovery, &bootstrap_list);
            let process = Process::start(&files.config, &files.gearman);
            let mut watch = accept_call(&discovery);
            watch.send("200");
            watch.send(&format!("+ {}", listing(1, false, &[])));
            let confirmed_at = Instant::now();
            assert!(
                request_reaches_server(&process, &requests, "first", 5_000),
                "{lists:?}: not served with a confirmed list"
            );
            process.suspend();
            std::thread::sleep(
                (confirmed_at + Duration::from_millis(1_200))
                    .saturating_duration_since(Instant::now()),
            );
            watch.send(HEARTBEAT);
            let written_at = Instant::now();
            std::thread::sleep(Duration::from_millis(1_100));
            process.resume();
            let expired_at = written_at + NOTIFIED_WITHIN + GRACE_AND_SLACK;
            std::thread::sleep(expired_at.saturating_duration_since(Instant::now()));
            assert!(
                !request_reaches_server(&process, &requests, "late", 100),
                "{lists:?}: sent {:?} after the heartbeat was written",
                written_at.elapsed()
            );
        })
    });
    let results = runs.map(std::thread::JoinHandle::join);
    assert!(results.iter().all(std::result::Result::is_ok));
}
