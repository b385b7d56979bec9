//! Connections that are open or in the backlog when the frontend is shut down.

use crate::sockets::{
    MILLISECOND, READINESS_REQUEST, TEST_TIMEOUT, assert_nothing_received, assert_overloaded,
    connect, read_head, read_to_end, request, send_filler_and_end, wait_for_bytes,
    wait_until_all_is_read, wait_until_end_is_received, wait_until_end_is_sent,
};
use crate::test_frontend::{RESPOND_WITHIN, TestFrontend};
use pumiceway_core::ClientResponse;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

// The operating system has completed these connections, and would reset them when the listener is
// closed.
#[test]
fn connections_in_the_backlog_at_the_shutdown_get_an_overload_response() {
    let mut streams = Vec::new();
    let mut frontend = TestFrontend::start_after(4, 64, |address, close| {
        streams.extend((0..32).map(|_| connect(address)));
        for (n, mut stream) in streams.iter().enumerate().filter(|(n, _)| n % 2 == 0) {
            stream
                .write_all(request(&format!("t{n}"), "x").as_bytes())
                .unwrap();
        }
        close.close_at(tokio::time::Instant::now());
    });
    for (n, mut stream) in streams.iter().enumerate() {
        wait_for_bytes(stream);
        if n % 2 == 1 {
            stream
                .write_all(request(&format!("t{n}"), "x").as_bytes())
                .unwrap();
        }
        send_filler_and_end(stream);
        assert_overloaded(&read_to_end(stream));
    }
    frontend.shut_down();
    frontend.expect_no_message();
}

// A request must not be submitted if its response can no longer be sent, a partial request must not
// be lost with its connection, and a response must not be truncated.
#[test]
fn at_the_shutdown_each_connection_gets_the_response_that_is_due() {
    let mut frontend = TestFrontend::start(8, 2);
    let [idle, mut partial, mut waiting, new] = [(); 4].map(|()| frontend.connect());
    (&idle).write_all(READINESS_REQUEST).unwrap();
    wait_for_bytes(&idle);
    let text = request("t2", "xx");
    partial
        .write_all(&text.as_bytes()[..text.len() - 1])
        .unwrap();
    waiting.write_all(request("t1", "x").as_bytes()).unwrap();
    let first = frontend.next_request();
    frontend.close();
    // On the idle connection, the stream ends and a later request is not submitted.
    let mut response = vec![0; "HTTP/1.1 200".len()];
    (&idle).read_exact(&mut response).unwrap();
    let rest = std::thread::spawn(move || {
        let rest = read_to_end(&idle);
        (&idle).write_all(request("t9", "x").as_bytes()).unwrap();
        send_filler_and_end(&idle);
        rest
    });
    // The new connection gets an overload response.
    wait_for_bytes(&new);
    (&new).write_all(request("t8", "x").as_bytes()).unwrap();
    send_filler_and_end(&new);
    assert_overloaded(&read_to_end(&new));
    // The partial request is completed after the shutdown has begun, and is served.
    partial
        .write_all(&text.as_bytes()[text.len() - 1..])
        .unwrap();
    let second = frontend.next_request();
    assert_eq!(second.request.job.id, "t2");
    let large = "y".repeat(60 << 10);
    second
        .response
        .send(ClientResponse::Served(large.clone().into()))
        .unwrap();
    let text = read_to_end(&partial);
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(&large));
    first
        .response
        .send(ClientResponse::Failed(
            pumiceway_core::Failure::DispatcherEnded,
        ))
        .unwrap();
    assert!(read_to_end(&waiting).starts_with("HTTP/1.1 502"));
    assert!(rest.join().unwrap().ends_with("\r\n\r\n"));
    drop((waiting, partial, new));
    frontend.shut_down();
    frontend.expect_no_message();
}

/// Time that a connection may stay open between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// The parts of a request that may have been read when something ends its connection: the first
/// byte, a part of the head, the whole head, and a part of the body.
fn partial_requests(whole: &str) -> [&str; 4] {
    let head_length = whole.find("\r\n\r\n").unwrap() + 4;
    [1, 40, head_length, whole.len() - 1].map(|length| &whole[..length])
}

// Guards against issue 49: on a kept connection, a request of which only a part of the head had
// been read when the frontend closed was dropped without a response.
#[test]
fn a_request_that_is_partially_read_at_the_shutdown_is_read_on_and_answered() {
    let whole = request("t1", "xx");
    for part in partial_requests(&whole) {
        for is_kept in [true, false] {
            let case = format!("kept: {is_kept}, read: {part:?}");
            let mut frontend = TestFrontend::start(8, 2);
            let idle = frontend.connect_as(true);
            let mut stream = frontend.connect_as(is_kept);
            stream.write_all(part.as_bytes()).unwrap();
            wait_until_all_is_read(&stream);
            frontend.close();
            // Once the idle connection has ended, the shutdown has reached all connections.
            assert_eq!(read_to_end(&idle), "", "{case}");
            stream.write_all(&whole.as_bytes()[part.len()..]).unwrap();
            frontend.next_request().serve("1");
            let response = read_to_end(&stream);
            assert!(response.starts_with("HTTP/1.1 200"), "{case}: {response}");
            assert!(response.contains("connection: close"), "{case}: {response}");
            drop((stream, idle));
            frontend.wait_for_end();
            frontend.expect_no_message();
        }
    }
}

// Guards against issue 49: a dispatcher that was held up closed kept connections over requests that
// had arrived meanwhile.
#[test]
fn what_arrives_while_the_process_is_held_up_before_the_shutdown_is_answered() {
    let whole = request("t1", "xx");
    for part in partial_requests(&whole).into_iter().chain([whole.as_str()]) {
        let mut frontend = TestFrontend::start(8, 2);
        let mut stream = frontend.connect_as(true);
        frontend.stall(|| {
            stream.write_all(part.as_bytes()).unwrap();
            frontend.close();
        });
        wait_until_all_is_read(&stream);
        stream.write_all(&whole.as_bytes()[part.len()..]).unwrap();
        frontend.next_request().serve("1");
        let response = read_to_end(&stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        drop(stream);
        frontend.wait_for_end();
        frontend.expect_no_message();
    }
}

#[test]
fn what_arrives_while_the_process_is_held_up_before_an_idle_timeout_is_answered() {
    let mut frontend = TestFrontend::start(8, 2);
    let mut stream = frontend.connect_as(true);
    let whole = request("t1", "xx");
    frontend.stall_and_advance_clock(IDLE_TIMEOUT, || {
        stream.write_all(&whole.as_bytes()[..40]).unwrap();
    });
    wait_until_all_is_read(&stream);
    stream.write_all(&whole.as_bytes()[40..]).unwrap();
    frontend.next_request().serve("1");
    assert!(read_head(&stream).starts_with("HTTP/1.1 200"));
    drop(stream);
    frontend.shut_down();
    frontend.expect_no_message();
}

// A request that is never completed must not wait for the request timeout, which may end after the
// process is killed.
#[test]
fn a_partial_request_gets_an_overload_response_before_the_process_may_be_killed() {
    let whole = request("t1", "xx");
    for part in partial_requests(&whole) {
        for is_kept in [true, false] {
            let mut frontend = TestFrontend::start(8, 2);
            // On a new connection the timeout of the request starts with the connection.
            frontend.advance_clock(Duration::from_millis(100));
            let mut stream = frontend.connect_as(is_kept);
            stream.write_all(part.as_bytes()).unwrap();
            wait_until_all_is_read(&stream);
            frontend.close();
            frontend.advance_clock(RESPOND_WITHIN.checked_sub(MILLISECOND).unwrap());
            frontend.advance_clock(Duration::ZERO);
            assert_nothing_received(&stream);
            frontend.advance_clock(MILLISECOND);
            wait_for_bytes(&stream);
            send_filler_and_end(&stream);
            assert_overloaded(&read_to_end(&stream));
            frontend.wait_for_end();
            frontend.expect_no_message();
        }
    }
}

#[test]
fn a_client_that_never_closes_delays_the_shutdown_for_a_bounded_time() {
    let mut frontend = TestFrontend::start(8, 2);
    let streams = [(); 3].map(|()| frontend.connect());
    for stream in &streams {
        (&*stream).write_all(READINESS_REQUEST).unwrap();
        wait_for_bytes(stream);
    }
    frontend.close();
    streams.iter().for_each(wait_until_end_is_received);
    frontend.advance_clock(Duration::from_millis(1_500));
    frontend.wait_for_end();
    let is_reset = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionReset;
    for mut stream in streams {
        let end = stream.read_to_end(&mut Vec::new());
        assert!(end.is_ok() || end.as_ref().is_err_and(is_reset), "{end:?}");
    }
}

/// Size of the socket buffers on both ends: as small as the operating system allows.
const SMALL_BUFFER_BYTES: usize = 4 << 10;
/// Size of the largest result.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// A frontend whose socket buffers are much smaller than the largest result.
fn frontend_with_small_buffers() -> TestFrontend {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // Accepted sockets inherit the buffer size.
    socket2::SockRef::from(&listener)
        .set_send_buffer_size(SMALL_BUFFER_BYTES)
        .unwrap();
    TestFrontend::start_on(listener, 8, 2, |_, _| {})
}

/// A client whose receive buffer is small.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// A client whose response is partially written: the client has received the head, and the socket
/// buffers are smaller than the rest.
fn client_with_partial_response(frontend: &mut TestFrontend, id: &str, result: &str) -> TcpStream {
    let mut stream = connect_with_small_buffer(frontend.address);
    stream.write_all(request(id, "x").as_bytes()).unwrap();
    let submitted = frontend.next_request();
    submitted
        .response
        .send(ClientResponse::Served(result.to_owned().into()))
        .unwrap();
    wait_for_bytes(&stream);
    stream
}

/// When a client pauses reading its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pause {
    Never,
    /// For longer than the linger timeout, while the response is partially written.
    BeforeReading,
    /// Until the frontend has ended, while the end of the response is in the socket buffers.
    BeforeTheEnd,
}

#[test]
fn a_response_that_is_partially_written_at_the_shutdown_arrives_whole() {
    let result = "y".repeat(MAX_RESULT_BYTES - 1) + "z";
    for pause in [Pause::Never, Pause::BeforeReading, Pause::BeforeTheEnd] {
        let mut frontend = frontend_with_small_buffers();
        let mut stream = client_with_partial_response(&mut frontend, "t1", &result);
        frontend.close();
        // Once new connections are refused, the shutdown has begun.
        let shutdown_at = Instant::now();
        while TcpStream::connect(frontend.address).is_ok() {
            assert!(
                shutdown_at.elapsed() < TEST_TIMEOUT,
                "the listener is not closed"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        if pause == Pause::BeforeReading {
            frontend.advance_clock(Duration::from_millis(1_300));
            frontend.advance_clock(Duration::ZERO);
            assert!(
                !frontend.thread.as_ref().unwrap().is_finished(),
                "the frontend ended with a partially written response"
            );
        }
        let (mut text, mut buffer) = (Vec::new(), [0; 512]);
        loop {
            if pause == Pause::BeforeTheEnd
                && text.len() >= MAX_RESULT_BYTES - 1_024
                && frontend.thread.is_some()
            {
                wait_until_end_is_sent(&stream);
                frontend.advance_clock(Duration::from_millis(1_100));
                frontend.wait_for_end();
            }
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(bytes) => text.extend_from_slice(&buffer[..bytes]),
                Err(error) => panic!("{pause:?}: after {} bytes: {error}", text.len()),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let text = String::from_utf8(text).unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{pause:?}: {text:.100}");
        assert!(
            text.ends_with(&format!("\r\n\r\n{result}")),
            "{pause:?}: {} bytes",
            text.len()
        );
        drop(stream);
        if frontend.thread.is_some() {
            frontend.wait_for_end();
        }
        frontend.expect_no_message();
    }
}

#[test]
fn a_client_that_never_reads_its_response_delays_the_shutdown_for_a_bounded_time() {
    let result = "y".repeat(MAX_RESULT_BYTES);
    let mut frontend = frontend_with_small_buffers();
    let never_reads = client_with_partial_response(&mut frontend, "t1", &result);
    let mut reader = connect_with_small_buffer(frontend.address);
    reader.write_all(request("t2", "x").as_bytes()).unwrap();
    let other = frontend.next_request();
    frontend.close();
    other
        .response
        .send(ClientResponse::Served("2".into()))
        .unwrap();
    assert!(read_to_end(&reader).ends_with("\r\n\r\n2"));
    drop(reader);
    // The response timeout of 10 s, and then the linger timeout of 1 s.
    for (time, ends) in [(9_900, false), (200, false), (700, false), (400, true)] {
        frontend.advance_clock(Duration::from_millis(time));
        frontend.advance_clock(Duration::ZERO);
        assert!(
            ends || !frontend.thread.as_ref().unwrap().is_finished(),
            "ended too early: {time}"
        );
    }
    frontend.wait_for_end();
    drop(never_reads);
}
