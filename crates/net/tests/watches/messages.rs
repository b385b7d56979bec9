//! Valid and malformed messages of a watch and responses to calls for the list.

use crate::support::{
    SOON, WATCH_OPENED, chunk, indented, next_call, polling_runner, run_with_random_numbers,
    watcher,
};
use pumiceway_core::EndpointListUpdate;
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_test_support::{endpoint_line as line, listing};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

// If it were read line by line, an indented list would be parsed as many malformed messages, and
// the dispatcher would request the whole list repeatedly without ever keeping a watch.
#[test]
fn messages_are_parsed_regardless_of_layout_and_framing() {
    let (w1, w2, w3) = (
        line("w1", 1, "draining"),
        line("w2", 1, "draining"),
        line("w3", 1, "draining"),
    );
    let first = indented(&listing(2, false, &[w1]));
    let (half, rest) = first.split_at(first.find("draining").unwrap() + 3);
    // Brackets and quotes within a string do not count.
    let odd = line(r#"x\"}]{["#, 1, "ready");
    let mut runner = polling_runner(&["w1", "w2", "w3", "discovery"]);
    runner.continue_with(&format!(
        "{WATCH_OPENED}
         d send {}
         d send {}
         d send {}",
        chunk(half),
        // The rest of the message, and further messages in the same frame.
        chunk(&format!(
            "{rest}\\n\\n{}\\n{}",
            indented(&listing(3, false, &[w2])),
            listing(4, false, &[odd])
        )),
        // A message without a newline at the end.
        chunk(&listing(5, false, &[w3])),
    ));
    for endpoint in ["w1", "w2", "w3"] {
        runner.wait_until_listed(endpoint, "Draining");
    }
    runner.continue_with("d close\n discovery wait e\n e expect GET /api/targets?stream=1&index=5");
}

// The incomplete message is followed by nothing, by spaces, or by the empty lines that a discovery
// service sends as heartbeats.
#[test]
fn a_watch_whose_message_stays_incomplete_is_closed() {
    let half = indented(&listing(2, false, &[line("w1", 1, "draining")]));
    let half = chunk(half.split_at(half.find("\"status\"").unwrap()).0);
    for filler in ["", " ", "\\n"] {
        let mut runner = polling_runner(&["discovery"]);
        let discovery = runner.take_listener("discovery");
        let mut call = next_call(&discovery, SOON).unwrap();
        call.peer.send("200");
        call.peer.send(&half);
        let started = Instant::now();
        let next_request = loop {
            if let Some(next) = next_call(&discovery, Duration::from_millis(100)) {
                break next.request;
            }
            assert!(
                started.elapsed() < SOON,
                "the watch is still open: {filler:?}"
            );
            if !filler.is_empty() {
                call.peer.send(&chunk(filler));
            }
        };
        assert!(started.elapsed() > Duration::from_secs(2), "{filler:?}");
        assert!(
            next_request.starts_with("GET /api/targets?stream=1&index=1 "),
            "{next_request}"
        );
    }
}

// Updates that the event loop has not received yet must not accumulate in memory, and the time
// during which the watcher does not read must not count towards the timeout of the watch.
#[test]
fn a_watch_that_sends_continuously_is_read_only_as_fast_as_updates_are_received() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (watcher, mut updates) = watcher(&discovery, 1);
    run_with_random_numbers(watcher, &[0.05]);
    let mut watch = next_call(&discovery, SOON).unwrap();
    watch.peer.send("200");
    watch
        .stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let text = listing(2, false, &vec![line("w1", 1, "draining"); 1_000]);
    let text = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    // The socket buffers hold a few megabytes; without back-pressure the dispatcher would buffer
    // all of the data.
    let written = (0..1_000)
        .take_while(|_| watch.stream.write_all(text.as_bytes()).is_ok())
        .count();
    assert!(
        written < 1_000,
        "all of {} MB was read",
        (written * text.len()) >> 20
    );
    // Longer than the timeout of a watch without messages.
    std::thread::sleep(Duration::from_millis(2_700));
    for n in 0..written {
        let update = updates.blocking_recv().unwrap().update;
        assert!(
            matches!(update, EndpointListUpdate::Delta(endpoints) if endpoints.len() == 1_000),
            "update {n} of {written}"
        );
    }
    // Then nothing more is received, and the watch times out.
    assert_eq!(
        updates.blocking_recv().unwrap().update,
        EndpointListUpdate::Lost(LeaseSignal::WatchEnded)
    );
}

// A list that never completes or is too long must not prevent the next call, and a list that cannot
// be parsed must not remove known endpoints. A valid list may contain an endpoint twice.
#[test]
fn after_an_invalid_list_the_last_valid_one_is_kept_and_the_list_is_requested_again() {
    let incomplete = "";
    let huge = format!("{{\"index\":\"{}", "x".repeat(5 << 20));
    let valid = listing(
        2,
        true,
        &[line("w1", 1, "ready"), line("w1", 1, "draining")],
    );
    for sent in [incomplete, &huge, &format!("{valid}]"), "{}"] {
        let mut runner = polling_runner(&["w1", "discovery"]);
        let discovery = runner.take_listener("discovery");
        let mut watch = next_call(&discovery, SOON).unwrap();
        watch.peer.send("200");
        watch.peer.send("+ nonsense");
        let mut list = next_call(&discovery, SOON).unwrap();
        assert!(
            list.request.starts_with("GET /api/targets "),
            "{}",
            list.request
        );
        list.peer.send("200");
        if !sent.is_empty() {
            // The dispatcher may close the connection before everything is written.
            let _ = write!(list.stream, "{:x}\r\n{sent}\r\n0\r\n\r\n", sent.len());
        }
        let started = Instant::now();
        let mut next = loop {
            if let Some(next) = next_call(&discovery, Duration::from_millis(100)) {
                break next;
            }
            assert!(started.elapsed() < SOON, "no further call was made");
            list.peer.send("raw 1\\r\\n \\r\\n");
        };
        assert!(!list.is_open(), "the call is still open");
        runner.wait_until_listed("w1", "Ready");
        let path = if sent.is_empty() {
            "GET /api/targets?stream=1&index=1 "
        } else {
            "GET /api/targets "
        };
        assert!(next.request.starts_with(path), "{}", next.request);
        next.peer.send(&format!("json {valid}"));
        if !sent.is_empty() {
            runner.wait_until_listed("w1", "Draining");
        }
    }
}
