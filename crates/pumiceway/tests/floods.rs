//! Checks that a Gearman client that sends without pause holds up no other client, while the
//! dispatcher has a quarter of a core.

mod common;

use common::{Process, TestFiles, accept_call, release_program, start_worker};
use pumiceway_test_support::processes::ListDelivery;
use pumiceway_test_support::processes::memory::MemoryWatch;
use pumiceway_test_support::processes::throttle::throttle;
use pumiceway_test_support::{Peer, encode_packet, endpoint_line, listing};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long each flood lasts.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// Number of packets that are sent in one write.
const BATCH: u64 = 50;
/// The latency objective of the class of the jobs of other clients.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// The pause between two jobs of the other clients.
const PAUSE: Duration = Duration::from_millis(10);
/// The process takes at most this share of its memory limit.
const MAX_MEMORY_SHARE: f64 = 0.8;
const DEFAULT_LIMIT: u64 = 192 << 20;

/// A packet of a flood, with a number that no other has.
type PacketText = fn(u64) -> String;

/// Sends packets on one connection until `is_over`, reading what comes back. Opens a new connection
/// if the dispatcher closes it.
fn flood(address: &str, packet: PacketText, is_over: &AtomicBool) {
    let mut numbers = 0u64..;
    let mut buffer = vec![0; 1 << 20];
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        stream.set_nonblocking(true).unwrap();
        let mut unsent: Vec<u8> = vec![];
        while !is_over.load(Ordering::Relaxed) {
            if unsent.is_empty() {
                let batch = numbers.by_ref().take(BATCH as usize);
                unsent = batch.flat_map(|n| encode_packet(&packet(n))).collect();
            }
            match stream.write(&unsent) {
                Ok(length) => drop(unsent.drain(..length)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Err(error) if error.kind() != ErrorKind::WouldBlock => break,
                _ => {}
            }
        }
    }
}

/// Sends jobs over HTTP, one after the other. Returns how long each took; panics if one is not served.
fn http_jobs(address: &str, is_over: &AtomicBool) -> Vec<Duration> {
    let mut waits = vec![];
    while !is_over.load(Ordering::Relaxed) {
        let mut peer = Peer::new(TcpStream::connect(address).unwrap());
        let begun_at = Instant::now();
        peer.send(&format!("POST /rate-push/k h{} 5000 x", waits.len()));
        let response = peer.read_message().unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        waits.push(begun_at.elapsed());
        std::thread::sleep(PAUSE);
    }
    waits
}

/// Sends jobs over Gearman, one after the other. Returns how long each took; panics if one is not
/// served.
fn gearman_jobs(address: &str, is_over: &AtomicBool) -> Vec<Duration> {
    let mut waits = vec![];
    while !is_over.load(Ordering::Relaxed) {
        let mut peer = Peer::new(TcpStream::connect(address).unwrap());
        let begun_at = Instant::now();
        peer.send(&format!("[SUBMIT_JOB rate-push|own{}|x]", waits.len()));
        let created = peer.read_packet().unwrap();
        assert_eq!(created.0, "JOB_CREATED", "{created:?}");
        loop {
            let (name, arguments) = peer.read_packet().unwrap();
            match name.as_str() {
                "WORK_COMPLETE" => break,
                "WORK_STATUS" => {}
                _ => panic!("{name} {arguments:?}"),
            }
        }
        waits.push(begun_at.elapsed());
        std::thread::sleep(PAUSE);
    }
    waits
}

// Regression test for issue 53: each packet of a worker became an event in a queue without a limit,
// and one client could take all jobs in progress and all entries of the idempotency cache.
#[test]
fn other_clients_are_served_in_time_while_one_sends_without_pause() {
    let floods: [(&str, PacketText); 6] = [
        ("echoes", |_| "[ECHO_REQ x]".to_owned()),
        ("client ids", |n| format!("[SET_CLIENT_ID id{n}]")),
        ("functions", |_| "[CAN_DO booking-import]".to_owned()),
        ("unknown functions", |n| format!("[CAN_DO no{n}]")),
        ("abilities", |n| {
            let name = if n % 2 == 0 { "CAN_DO" } else { "CANT_DO" };
            format!("[{name} booking-import]")
        }),
        ("jobs", |n| format!("[SUBMIT_JOB rate-push|new{n}|x]")),
    ];
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (port, _requests) = start_worker();
    let worker = endpoint_line("worker", port, "ready");
    let known = listing(1, true, std::slice::from_ref(&worker));
    let files = TestFiles::write("floods", ListDelivery::Pushed, &discovery, &known);
    let process = Process::start_build(&release_program(), &files.config, &files.gearman);
    let mut watch = accept_call(&discovery);
    watch.send("200");
    watch.send(&format!("+ {}", listing(2, true, &[worker])));
    let memory = MemoryWatch::start(process.id(), u64::MAX, || ());
    for (name, packet) in floods {
        let is_over = AtomicBool::new(false);
        let (http, gearman) = std::thread::scope(|scope| {
            let http = scope.spawn(|| http_jobs(&process.http, &is_over));
            let gearman = scope.spawn(|| gearman_jobs(process.gearman(), &is_over));
            scope.spawn(|| flood(process.gearman(), packet, &is_over));
            scope.spawn(|| throttle(process.id(), || is_over.load(Ordering::Relaxed)));
            // Keeps the watch open.
            let until = Instant::now() + FLOOD_DURATION;
            while Instant::now() < until {
                watch.send("+ ");
                std::thread::sleep(Duration::from_millis(200));
            }
            is_over.store(true, Ordering::Relaxed);
            (http.join().unwrap(), gearman.join().unwrap())
        });
        for waits in [http, gearman] {
            let longest = waits.iter().max().unwrap();
            assert!(*longest <= OBJECTIVE, "{name}: {longest:?}");
        }
    }
    let peak = memory.record().peak;
    assert!(
        peak.total as f64 <= MAX_MEMORY_SHARE * DEFAULT_LIMIT as f64,
        "{peak:?}"
    );
}
