//! Clients that disconnect, or send excess bytes, while their request waits for a response.

use crate::sockets::{
    CHUNKED_REQUEST, assert_nothing_received, read_to_end, request, send_filler,
    send_filler_and_end, wait_for_bytes, wait_until_all_is_read,
};
use crate::test_frontend::TestFrontend;
use pumiceway_core::{ClientResponse, Event, RequestHandle};
use pumiceway_net::frontend::LoopMessage;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Limit of the bytes outside of requests that the frontend discards.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

// While the parser holds bytes after a request, it does not detect the end of the connection, and
// the job would run on although its client is gone.
#[test]
fn a_client_that_sends_excess_bytes_and_closes_has_disconnected() {
    let requests_and_excess = [
        // Both are received in one read, and the parser buffers the second request.
        (
            format!("{CHUNKED_REQUEST}GET /-/ready HTTP/1.1\r\n\r\n"),
            "",
        ),
        (CHUNKED_REQUEST.to_owned(), "POST /"),
        (request("t1", "x"), "POST /"),
        (request("t1", ""), "\0"),
    ];
    for (request, excess) in requests_and_excess {
        for how in [Shutdown::Both, Shutdown::Write] {
            let mut frontend = TestFrontend::start(4, 1);
            let mut stream = frontend.connect();
            stream.write_all(request.as_bytes()).unwrap();
            let submitted = frontend.next_request();
            stream.write_all(excess.as_bytes()).unwrap();
            stream.shutdown(how).unwrap();
            frontend.expect_disconnected(&submitted);
            frontend.shut_down();
            frontend.expect_no_message();
        }
    }
}

#[test]
fn clients_that_reset_their_connections_in_a_burst_have_disconnected() {
    let mut frontend = TestFrontend::start(64, 1);
    let streams: Vec<TcpStream> = (0..64).map(|_| frontend.connect()).collect();
    let mut submitted = Vec::new();
    for (n, mut stream) in streams.iter().enumerate() {
        stream
            .write_all(request(&format!("t{n}"), "x").as_bytes())
            .unwrap();
        submitted.push(frontend.next_request());
    }
    for stream in streams {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    let mut disconnected: Vec<RequestHandle> = (0..64)
        .map(|_| match frontend.next_message() {
            Some(LoopMessage::Event(Event::ClientDisconnected { handle })) => handle,
            other => panic!("{other:?}"),
        })
        .collect();
    disconnected.sort();
    let submitted: Vec<_> = submitted.iter().map(|request| request.handle).collect();
    assert_eq!(disconnected, submitted);
    frontend.shut_down();
}

// A flood must not fill the memory, delay other clients, or hide the disconnect.
#[test]
fn a_flood_after_a_request_ends_its_connection_and_affects_no_other() {
    let mut frontend = TestFrontend::start(4, 1);
    let mut flooder = frontend.connect();
    flooder.write_all(request("t1", "x").as_bytes()).unwrap();
    let first = frontend.next_request();
    let flood_failed = std::thread::spawn(move || send_filler(&flooder, 64 << 20).is_err());
    let mut other = frontend.connect();
    other.write_all(request("t2", "x").as_bytes()).unwrap();
    // The flood ends once the limit of discarded bytes is reached, which may be before or after the
    // second request.
    let mut messages = [frontend.next_message(), frontend.next_message()];
    messages.sort_by_key(|message| matches!(message, Some(LoopMessage::Event(_))));
    let [
        Some(LoopMessage::Submitted {
            request,
            response: second,
            ..
        }),
        Some(LoopMessage::Event(Event::ClientDisconnected { handle })),
    ] = messages
    else {
        panic!("expected one request and one disconnect");
    };
    assert_eq!((request.job.id.as_str(), handle), ("t2", first.handle));
    second.send(ClientResponse::Served("2".into())).unwrap();
    let mut response = [0; 12];
    other.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"HTTP/1.1 200");
    assert!(
        flood_failed.join().unwrap(),
        "all of the flood was accepted"
    );
}

// Guards against issue 49: the request before the flood was dropped without a response.
#[test]
fn a_request_that_is_given_up_because_of_a_flood_gets_a_failure() {
    for is_kept in [true, false] {
        let mut frontend = TestFrontend::start(4, 1);
        let mut flooder = frontend.connect_as(is_kept);
        flooder.write_all(request("t1", "x").as_bytes()).unwrap();
        let submitted = frontend.next_request();
        // The connection is reset over unread bytes once the limit is exceeded, so all but the last
        // byte are read first.
        send_filler(&flooder, MAX_DISCARDED_BYTES).unwrap();
        wait_until_all_is_read(&flooder);
        assert_nothing_received(&flooder);
        flooder.write_all(b"x").unwrap();
        let response = read_to_end(&flooder);
        assert!(response.starts_with("HTTP/1.1 502 "), "{response:?}");
        frontend.expect_disconnected(&submitted);
        drop(flooder);
        frontend.shut_down();
        frontend.expect_no_message();
    }
}

// Excess bytes must not be taken for the next request or cause a reset that discards the response.
#[test]
fn bytes_after_a_request_are_discarded_and_its_response_can_be_read() {
    let mut frontend = TestFrontend::start(4, 1);
    let mut stream = frontend.connect();
    stream.write_all(request("t1", "x").as_bytes()).unwrap();
    let submitted = frontend.next_request();
    stream.write_all(request("t2", "x").as_bytes()).unwrap();
    send_filler(&stream, 1 << 20).unwrap();
    // Bytes that the frontend reads after the response would count as the next request.
    wait_until_all_is_read(&stream);
    submitted.serve("1");
    wait_for_bytes(&stream);
    send_filler_and_end(&stream);
    let response = read_to_end(&stream);
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\n1"),
        "{response:?}"
    );
    assert!(response.contains("connection: close"), "{response:?}");
    frontend.shut_down();
    frontend.expect_no_message();
}
