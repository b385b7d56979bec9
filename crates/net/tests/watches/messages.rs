//! What a watch or a call for the list sends, well formed or not.

use crate::support::{
    SOON, WATCH_OPENED, chunk, indented, next_call, polling_runner, run_with_draws, watcher,
};
use pumiceway_core::EndpointListUpdate;
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_test_support::{endpoint_line as line, listing};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

// Read line by line, an indented list would be many malformed messages: the dispatcher would
// request whole lists again and again, and never have a watch.
#[test]
fn messages_are_read_however_they_are_laid_out_and_cut_into_frames() {
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
        // The rest of it, and another behind it in the same frame.
        chunk(&format!(
            "{rest}\\n\\n{}\\n{}",
            indented(&listing(3, false, &[w2])),
            listing(4, false, &[odd])
        )),
        // Without the end of a line behind it.
        chunk(&listing(5, false, &[w3])),
    ));
    for endpoint in ["w1", "w2", "w3"] {
        runner.wait_until_listed(endpoint, "Draining");
    }
    runner.continue_with("d close\n discovery wait e\n e expect GET /api/targets?stream=1&index=5");
}

// With nothing behind the half message, with blanks, or with the heartbeats of a discovery that has
// nothing to send.
#[test]
fn a_watch_whose_message_stays_incomplete_is_given_up() {
    let half = indented(&listing(2, false, &[line("w1", 1, "draining")]));
    let half = chunk(half.split_at(half.find("\"status\"").unwrap()).0);
    for filler in ["", " ", "\\n"] {
        let mut runner = polling_runner(&["discovery"]);
        let discovery = runner.take_listener("discovery");
        let mut call = next_call(&discovery, SOON).unwrap();
        call.peer.send("200");
        call.peer.send(&half);
        let begun = Instant::now();
        let next_request = loop {
            if let Some(next) = next_call(&discovery, Duration::from_millis(100)) {
                break next.request;
            }
            assert!(begun.elapsed() < SOON, "the watch is kept: {filler:?}");
            if !filler.is_empty() {
                call.peer.send(&chunk(filler));
            }
        };
        assert!(begun.elapsed() > Duration::from_secs(2), "{filler:?}");
        assert!(
            next_request.starts_with("GET /api/targets?stream=1&index=1 "),
            "{next_request}"
        );
    }
}

// What is not received yet must not fill the memory of a dispatcher that has other things to do,
// and the time in which it did not read is no silence of the service.
#[test]
fn a_watch_that_sends_without_end_is_read_as_fast_as_updates_are_received() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (watcher, mut updates) = watcher(&discovery, 1);
    run_with_draws(watcher, &[0.05]);
    let mut watch = next_call(&discovery, SOON).unwrap();
    watch.peer.send("200");
    watch
        .stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let text = listing(2, false, &vec![line("w1", 1, "draining"); 1_000]);
    let text = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    // The buffers of the system hold some megabytes; without a bound all of it would be in ours.
    let written = (0..1_000)
        .take_while(|_| watch.stream.write_all(text.as_bytes()).is_ok())
        .count();
    assert!(
        written < 1_000,
        "all of {} MB was taken in",
        (written * text.len()) >> 20
    );
    // Longer than the silence after which a watch is given up.
    std::thread::sleep(Duration::from_millis(2_700));
    for n in 0..written {
        let update = updates.blocking_recv().unwrap().update;
        assert!(
            matches!(update, EndpointListUpdate::Delta(endpoints) if endpoints.len() == 1_000),
            "update {n} of {written}"
        );
    }
    // The silence that follows ends the watch.
    assert_eq!(
        updates.blocking_recv().unwrap().update,
        EndpointListUpdate::Lost(LeaseSignal::WatchEnded)
    );
}

// A list that never ends, in time or in length, must not keep the dispatcher from the next call,
// nor one that cannot be parsed remove what is known. An endpoint may be listed twice.
#[test]
fn whatever_list_comes_the_last_valid_one_stays_and_the_list_is_requested_again() {
    let trickling = "";
    let huge = format!("{{\"index\":\"{}", "x".repeat(5 << 20));
    let valid = listing(
        2,
        true,
        &[line("w1", 1, "ready"), line("w1", 1, "draining")],
    );
    for sent in [trickling, &huge, &format!("{valid}]"), "{}"] {
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
            // The dispatcher may close the connection before all is written.
            let _ = write!(list.stream, "{:x}\r\n{sent}\r\n0\r\n\r\n", sent.len());
        }
        let begun = Instant::now();
        let mut next = loop {
            if let Some(next) = next_call(&discovery, Duration::from_millis(100)) {
                break next;
            }
            assert!(begun.elapsed() < SOON, "no further call comes");
            list.peer.send("raw 1\\r\\n \\r\\n");
        };
        assert!(!list.is_open(), "the call is kept");
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
