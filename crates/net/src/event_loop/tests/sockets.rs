//! The limit on sockets to endpoints, and messages that the event loop handles in one batch.

use super::super::*;
use super::{job, submission};
use crate::upstream::AttemptOptions;
use pumiceway_core::{AttemptOutcome, CoreLimits, Endpoint, EndpointAddress};
use pumiceway_decisions::api::{ClassId, EndpointState, FunctionSet, KindId, ZoneId};
use std::io::{Read, Write};
use std::net::{TcpListener as Listener, TcpStream};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"push","aim-us":500000,"deadline-us":5000000,"points":2.0,"semantics":"read_like"},
    {"name":"import","aim-us":1500000,"deadline-us":6000000,"points":3.0,"semantics":"non_idempotent"}],
  "limits":{"most-tries":3,"cancel":true,"retry-after":true,"max-retry-after-us":2000000},"rules":{}}"#;

/// Creates an event loop with these endpoints and a limit on the sockets to them, and the receiver
/// of its messages.
fn event_loop(
    outbound: usize,
    endpoints: &[&Listener],
) -> (EventLoop, UnboundedReceiver<LoopMessage>) {
    let settings: Arc<DeploymentSettings> = Arc::new(serde_json::from_str(SETTINGS).unwrap());
    let sockets = SocketBudget {
        inbound: 8,
        spare: 2,
        outbound,
    };
    let (events, messages) = EventSender::new();
    let core = Core::new(settings.to_settings().unwrap(), 7, CoreLimits::default()).unwrap();
    let lists = ListLimits::default();
    let mut event_loop = EventLoop::new(Clock::start(), core, events, settings, &sockets, lists);
    let endpoints = endpoints
        .iter()
        .enumerate()
        .map(|(n, listener)| endpoint(n, listener))
        .collect();
    list_endpoints(&mut event_loop, endpoints);
    (event_loop, messages)
}

fn list_endpoints(event_loop: &mut EventLoop, endpoints: Vec<Endpoint>) {
    event_loop.process_event(Event::EndpointListUpdated {
        source: EndpointSource::Discovery,
        as_of: Timestamp::ORIGIN,
        update: EndpointListUpdate::Snapshot(endpoints),
    });
}

/// Creates an endpoint that accepts one request at a time.
fn endpoint(n: usize, listener: &Listener) -> Endpoint {
    Endpoint {
        name: format!("w{n}"),
        address: EndpointAddress::Network(listener.local_addr().unwrap().to_string()),
        zone: ZoneId(0),
        kind: KindId(0),
        functions: FunctionSet::default(),
        cell: None,
        state: EndpointState::Ready,
        started_at: Timestamp::ORIGIN,
        relative_size: 0.0,
        skips_slow_start: true,
        max_concurrent: Some(1),
    }
}

fn listeners<const N: usize>() -> [Listener; N] {
    [(); N].map(|()| Listener::bind("127.0.0.1:0").unwrap())
}

fn push_submission(n: u64) -> (LoopMessage, oneshot::Receiver<ClientResponse>) {
    submission(n, ClassId(0), Duration::from_secs(5))
}

/// Waits for the next message and handles it.
async fn handle_next(event_loop: &mut EventLoop, messages: &mut UnboundedReceiver<LoopMessage>) {
    let message = tokio::time::timeout(Duration::from_secs(5), messages.recv()).await;
    event_loop.handle_batch(&mut vec![
        message.expect("no message was received").unwrap(),
    ]);
}

fn accept(listener: &Listener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(error) => assert!(
                Instant::now() < deadline,
                "no connection was received: {error}"
            ),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Accepts the next connection to an endpoint and reads the request on it, on a blocking thread so
/// that the event loop can run meanwhile.
async fn next_request(listener: &Listener) -> (TcpStream, String) {
    let listener = listener.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = accept(&listener);
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).unwrap();
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        (stream, text)
    });
    read.await.unwrap()
}

fn complete(mut stream: &TcpStream, id: &str) {
    let line =
        format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"done\",\"result\":\"{id}\"}}\n");
    let length = line.len();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .write_all(format!("{head}{length:x}\r\n{line}\r\n0\r\n\r\n").as_bytes())
        .unwrap();
}

/// Starts attempt 9 at this endpoint, bypassing the endpoint selection of the core.
fn start_attempt(event_loop: &mut EventLoop, endpoint: EndpointId, listener: &Listener) {
    let address = listener.local_addr().unwrap().to_string();
    let options = AttemptOptions {
        remaining: Duration::from_secs(5),
        dedicated_connection: false,
        write_by: None,
    };
    event_loop.start_attempt(AttemptId(9), endpoint, &address, &job(9), options);
}

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(test);
}

// The idle connections to all endpoints together must stay within the limit; otherwise the process
// runs out of descriptors and cannot accept connections from clients.
#[test]
fn an_idle_connection_is_closed_for_an_attempt_that_needs_a_socket() {
    let endpoints = listeners::<3>();
    let (mut event_loop, mut messages) = event_loop(2, &endpoints.each_ref());
    block_on(async {
        let mut responses = Vec::new();
        // Two requests at the same time, so that each endpoint has a connection; then both are
        // idle.
        for n in 0..2 {
            let (message, response) = push_submission(n);
            event_loop.handle_batch(&mut vec![message]);
            responses.push(response);
        }
        let mut streams = Vec::new();
        for (n, endpoint) in endpoints[..2].iter().enumerate() {
            let (stream, text) = next_request(endpoint).await;
            assert!(text.contains(&format!("x-txn: t{n}")), "{text}");
            streams.push(stream);
        }
        assert_eq!(event_loop.upstreams.free_sockets(), 0);
        complete(&streams[0], "t0");
        complete(&streams[1], "t1");
        for response in &mut responses {
            while response.is_empty() {
                handle_next(&mut event_loop, &mut messages).await;
            }
            assert!(matches!(response.try_recv(), Ok(ClientResponse::Served(_))));
        }
        // An attempt at a third endpoint closes one of the idle connections.
        start_attempt(&mut event_loop, EndpointId(2), &endpoints[2]);
        let (_stream, text) = next_request(&endpoints[2]).await;
        assert!(text.contains("x-txn: t9"), "{text}");
        // The first connection was closed: the endpoint, which keeps its side open, reads the end
        // of the stream.
        let mut first = streams.remove(0);
        let closed = tokio::task::spawn_blocking(move || first.read(&mut [0]))
            .await
            .unwrap();
        assert!(matches!(closed, Ok(0)), "{closed:?}");
        assert!(event_loop.upstreams.len() == 2 && event_loop.upstreams.free_sockets() == 0);
    });
}

// A lack of local sockets must not count as a failure of an endpoint, and a request must not wait
// for a socket until its client disconnects.
#[test]
fn with_every_socket_in_use_a_request_is_shed_and_no_endpoint_counts_as_failed() {
    let endpoints = listeners::<2>();
    let (mut event_loop, mut messages) = event_loop(1, &endpoints.each_ref());
    block_on(async {
        let [(first, _first_response), (second, mut response)] = [0, 1].map(push_submission);
        event_loop.handle_batch(&mut vec![first]);
        let (stream, _) = next_request(&endpoints[0]).await;
        event_loop.handle_batch(&mut vec![second]);
        // Each attempt ends immediately as not sent.
        while response.is_empty() {
            let ended = messages.try_recv();
            let not_sent = AttemptOutcome::NotSent;
            assert!(
                matches!(&ended, Ok(LoopMessage::Event(Event::AttemptEnded { outcome, .. })) if *outcome == not_sent),
                "{ended:?}"
            );
            event_loop.handle_batch(&mut vec![ended.unwrap()]);
        }
        assert!(matches!(
            response.try_recv(),
            Ok(ClientResponse::Overloaded {
                retry_after: Some(_)
            })
        ));
        // Once the socket is free, the second endpoint receives requests again.
        complete(&stream, "t0");
        while !event_loop.attempts.is_empty() {
            handle_next(&mut event_loop, &mut messages).await;
        }
        drop(stream);
        start_attempt(&mut event_loop, EndpointId(1), &endpoints[1]);
        let (_stream, text) = next_request(&endpoints[1]).await;
        assert!(text.contains("x-txn: t9"));
    });
}

// The disconnections are queued behind the message that frees the endpoint. If that message were
// handled alone, the requests of disconnected clients would be sent.
#[test]
fn the_request_of_a_client_that_has_disconnected_is_not_sent() {
    let endpoints = listeners::<1>();
    let (mut event_loop, mut messages) = event_loop(8, &endpoints.each_ref());
    block_on(async {
        let mut responses = Vec::new();
        for n in 0..40 {
            let (message, response) = push_submission(n);
            event_loop.handle_batch(&mut vec![message]);
            responses.push(response);
        }
        let (stream, _) = next_request(&endpoints[0]).await;
        complete(&stream, "t0");
        // The end of the first attempt frees the endpoint; the disconnections of all other clients
        // follow it in the queue.
        let mut batch = vec![messages.recv().await.unwrap()];
        assert!(
            matches!(batch[0], LoopMessage::Event(Event::AttemptEnded { .. })),
            "{batch:?}"
        );
        batch.extend((1..40).map(|n| {
            LoopMessage::Event(Event::ClientDisconnected {
                handle: RequestHandle(n),
            })
        }));
        let (message, _response) = push_submission(99);
        batch.extend([
            message,
            LoopMessage::Event(Event::ClientDisconnected {
                handle: RequestHandle(99),
            }),
        ]);
        event_loop.on_timer(&mut batch);
        assert!(event_loop.attempts.is_empty() && event_loop.clients.is_empty());
        for _ in 0..64 {
            tokio::task::yield_now().await;
        }
        // Nothing is sent, neither on the kept connection nor on a new one.
        stream.set_nonblocking(true).unwrap();
        let read = (&stream).read(&mut [0]).map_err(|error| error.kind());
        assert!(
            matches!(read, Err(std::io::ErrorKind::WouldBlock)),
            "{read:?}"
        );
        endpoints[0].set_nonblocking(true).unwrap();
        assert!(endpoints[0].accept().is_err());
    });
}

// If the timer set by the message were lost, nothing would run until the next message, and clients
// would not get a response by their deadline.
#[test]
fn a_message_that_is_handled_with_a_timer_sets_the_next_one() {
    let endpoints = listeners::<0>();
    let (mut event_loop, _messages) = event_loop(8, &endpoints.each_ref());
    let mut responses = Vec::new();
    for n in 0..3 {
        let (mut message, response) = push_submission(n);
        if let LoopMessage::Submitted { request, .. } = &mut message {
            request.remaining = Duration::from_micros(3_000_000 - 500_000 * n);
        }
        event_loop.on_timer(&mut vec![message]);
        assert!(event_loop.timer.is_some(), "{n}: no timer is set");
        responses.push(response);
    }
}

/// Number of endpoints that replace one another in the next test.
const ENDPOINT_NAMES: usize = 1_500;

// The client of an endpoint that is gone must be dropped: otherwise memory grows with every
// endpoint name that was ever used, and a request for a new endpoint at the same address could be
// sent on the connection of the previous one.
#[test]
fn clients_of_endpoints_that_are_gone_are_dropped() {
    let endpoints = listeners::<1>();
    let (mut event_loop, mut messages) = event_loop(8, &[]);
    let listener = endpoints[0].try_clone().unwrap();
    let server = std::thread::spawn(move || serve_each_name(&listener));
    block_on(async {
        for n in 0..ENDPOINT_NAMES {
            list_endpoints(&mut event_loop, vec![endpoint(n, &endpoints[0])]);
            let (message, mut response) = push_submission(n as u64);
            event_loop.handle_batch(&mut vec![message]);
            while response.is_empty() {
                handle_next(&mut event_loop, &mut messages).await;
            }
            assert_eq!(
                response.try_recv(),
                Ok(ClientResponse::Served(bytes::Bytes::default())),
                "{n}"
            );
            assert!(
                event_loop.upstreams.len() <= 1_026,
                "{n}: {} clients are kept",
                event_loop.upstreams.len()
            );
        }
    });
    server.join().unwrap();
}

/// Serves one request per connection. The first connection stays open on this side: a new endpoint
/// at the same address must be sent requests on a new connection.
fn serve_each_name(listener: &Listener) {
    let mut first = None;
    for n in 0..ENDPOINT_NAMES {
        let mut stream = listener.accept().unwrap().0;
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut buffer = [0; 512];
            let length = stream.read(&mut buffer).unwrap();
            assert!(length > 0, "{n}");
            head.extend_from_slice(&buffer[..length]);
        }
        let head = String::from_utf8(head).unwrap();
        assert!(head.contains(&format!("x-txn: t{n}\r\n")), "{n}: {head}");
        let line = format!("{{\"id\":\"t{n}\",\"state\":\"done\",\"result\":\"\"}}\n");
        let close = if n == 0 { "" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{close}\r\n",
            line.len()
        );
        stream.write_all((head + &line).as_bytes()).unwrap();
        first.get_or_insert(stream);
    }
    assert_eq!(first.unwrap().read(&mut [0]).unwrap(), 0);
}
