//! Final responses on connections that are closed before a request is complete.

use crate::sockets::{
    TEST_TIMEOUT, assert_overloaded, connect, read_to_end, request, send_filler_and_end,
    wait_for_bytes, wait_until_all_is_read,
};
use crate::test_frontend::TestFrontend;
use pumiceway_net::frontend::admission::REQUEST_TIMEOUT;
use std::io::Write;
use std::time::{Duration, Instant};

// A request that arrives after the frontend has closed its side must not cause a reset, which would
// discard the response.
#[test]
fn a_client_over_the_limit_can_read_the_overload_response_whenever_it_sends_its_request() {
    // One connection is served, four have a spare permit, and three have none, because no other
    // connection is old enough to be evicted for them.
    let mut streams = Vec::new();
    let mut frontend = TestFrontend::start_after(1, 4, |address, _| {
        streams.extend((0..8).map(|_| connect(address)));
    });
    for stream in &streams[5..] {
        wait_for_bytes(stream);
        let mut sender = stream;
        sender.write_all(request("t1", "x").as_bytes()).unwrap();
        send_filler_and_end(stream);
        assert_overloaded(&read_to_end(stream));
    }
    drop(streams);
    frontend.shut_down();
    frontend.expect_no_message();
}

// Guards against issue 49: a connection was closed without a response if its request became complete
// in the turn in which the connection was evicted.
#[test]
fn a_request_that_becomes_complete_as_its_connection_is_evicted_gets_an_overload_response() {
    let whole = request("t1", "xx");
    for is_kept in [true, false] {
        let mut frontend = TestFrontend::start(1, 64);
        let mut evicted = frontend.connect_as(is_kept);
        let (first, last) = whole.split_at(whole.len() - 1);
        evicted.write_all(first.as_bytes()).unwrap();
        wait_until_all_is_read(&evicted);
        frontend.advance_clock(Duration::from_millis(60));
        let mut other = None;
        frontend.stall(|| {
            other = Some(frontend.connect());
            evicted.write_all(last.as_bytes()).unwrap();
        });
        wait_for_bytes(&evicted);
        send_filler_and_end(&evicted);
        assert_overloaded(&read_to_end(&evicted));
        drop(other);
        frontend.shut_down();
        frontend.expect_no_message();
    }
}

// A resting connection owes nothing: its client has all its responses.
#[test]
fn an_idle_connection_that_is_evicted_or_times_out_ends_without_a_response() {
    let mut frontend = TestFrontend::start(1, 64);
    let evicted = frontend.connect_as(true);
    let timed_out = frontend.connect_as(true);
    assert_eq!(read_to_end(&evicted), "");
    frontend.advance_clock(Duration::from_secs(120));
    assert_eq!(read_to_end(&timed_out), "");
    drop((evicted, timed_out));
    frontend.shut_down();
    frontend.expect_no_message();
}

#[test]
fn a_partial_request_gets_a_final_response_on_a_timeout_and_on_an_eviction() {
    let mut frontend = TestFrontend::start(1, 64);
    let whole = request("t1", "xx");
    let partial = &whole[..whole.len() - 1];
    for part in [partial, "POST /rate-push/k HTTP/1.1\r\nX-Txn", "P"] {
        let slow = frontend.connect();
        (&slow).write_all(part.as_bytes()).unwrap();
        wait_until_all_is_read(&slow);
        frontend.advance_clock(REQUEST_TIMEOUT);
        wait_for_bytes(&slow);
        send_filler_and_end(&slow);
        let text = read_to_end(&slow);
        assert!(text.starts_with("HTTP/1.1 408 "), "{part:?}: {text:?}");
    }
    // New connections evict the one that has been without a complete request for long enough.
    let evicted = frontend.connect();
    (&evicted).write_all(partial.as_bytes()).unwrap();
    let mut others = Vec::new();
    let end = Instant::now() + TEST_TIMEOUT;
    while evicted.set_nonblocking(true).is_ok() && evicted.peek(&mut [0]).is_err() {
        assert!(Instant::now() < end, "the connection is not evicted");
        frontend.advance_clock(Duration::from_millis(20));
        others.push(frontend.connect());
        std::thread::sleep(Duration::from_millis(1));
    }
    evicted.set_nonblocking(false).unwrap();
    send_filler_and_end(&evicted);
    assert_overloaded(&read_to_end(&evicted));
    drop(others);
    frontend.shut_down();
    frontend.expect_no_message();
}
