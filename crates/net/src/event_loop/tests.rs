//! The ways in which an attempt can end, with an endpoint on loopback.

mod sockets;

use super::*;
use crate::config::Config;
use bytes::Bytes;
use pumiceway_core::{AttemptOutcome, ClientRequest, CoreLimits, IdOrigin, RequestCounts};
use pumiceway_decisions::api::ClassId;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use tokio::sync::oneshot::error::TryRecvError;

/// Creates an event loop with a single endpoint at this address, and the receiver of its messages.
fn event_loop(address: &str) -> (EventLoop, mpsc::UnboundedReceiver<LoopMessage>) {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","known":{{"index":1,"snapshot":true,"endpoints":[
          {{"name":"w1","address":"{address}","zone":"z","type":"k","status":"ready"}}]}},"settings":{}}}"#,
        pumiceway_test_support::SETTINGS
    );
    let config = Config::from_text(&text, "config", |_| None).unwrap();
    let (events, messages) = EventSender::new();
    let core = Core::new(config.settings, config.seed, CoreLimits::default()).unwrap();
    let mut event_loop = EventLoop::new(
        Clock::start(),
        core,
        events,
        config.deployment.clone(),
        &config.socket_budget,
        ListLimits::default(),
    );
    let list = config.bootstrap_list.unwrap();
    event_loop.process_event(Event::EndpointListUpdated {
        source: EndpointSource::Discovery,
        as_of: Timestamp::ORIGIN,
        update: EndpointListUpdate::Snapshot(list.endpoints(&config.deployment)),
    });
    (event_loop, messages)
}

fn job(n: u64) -> Job {
    Job {
        id: format!("t{n}"),
        path: "/c".into(),
        unique_id: None,
        idempotency_key: None,
        body: Bytes::new(),
    }
}

/// Creates the message of a client that submits a request, and the receiver of its response.
fn submission(
    n: u64,
    class: ClassId,
    remaining: Duration,
) -> (LoopMessage, oneshot::Receiver<ClientResponse>) {
    let (sender, response) = oneshot::channel();
    let request = ClientRequest {
        function: JobFunction::default_of(class),
        remaining,
        slots: 1.0,
        memory: 0.0,
        tenant: None,
        id_origin: IdOrigin::Client,
        job: Arc::new(job(n)),
    };
    let message = LoopMessage::Submitted {
        handle: RequestHandle(n),
        request,
        response: sender,
        updates: None,
    };
    (message, response)
}

fn submit(
    event_loop: &mut EventLoop,
    n: u64,
    remaining: Duration,
) -> oneshot::Receiver<ClientResponse> {
    let (message, response) = submission(n, ClassId(1), remaining);
    event_loop.handle(message);
    response
}

/// Reads one request and responds to it.
fn serve(stream: &mut TcpStream, id: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed before {id}");
        head.push(byte[0]);
    }
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{id}\"}}\n");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", line.len());
    stream.write_all((head + &line).as_bytes()).unwrap();
}

/// An endpoint that serves two requests on one connection.
fn serve_two(listener: TcpListener) {
    let mut stream = listener.accept().unwrap().0;
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    serve(&mut stream, "t1");
    serve(&mut stream, "t2");
}

/// What ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndCause {
    Served,
    DeadlineReached,
    ClientDisconnected,
}

// The response, the deadline and the client's disconnection can occur in any order. The attempt
// must not end twice, leak its socket, or close the connection while the next attempt uses it.
#[test]
fn the_first_cause_that_ends_an_attempt_decides_its_outcome_and_nothing_leaks() {
    use EndCause::*;
    std::thread::scope(|scope| {
        for order in [
            [Served, DeadlineReached],
            [DeadlineReached, Served],
            [Served, ClientDisconnected],
            [ClientDisconnected, Served],
            [DeadlineReached, ClientDisconnected],
            [ClientDisconnected, DeadlineReached],
        ] {
            scope.spawn(move || end_attempt_in_order(order));
        }
    });
}

fn end_attempt_in_order(order: [EndCause; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || serve_two(listener));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (mut event_loop, mut messages) = event_loop(&address);
        // Long enough for the response to arrive first even on a slow machine.
        let remaining = Duration::from_secs(2);
        let deadline = event_loop.clock.now() + remaining;
        let mut response = submit(&mut event_loop, 1, remaining);
        assert_eq!(resource_counts(&event_loop), (1, 1, 1));
        // The endpoint has responded, but the event loop has not handled the message yet.
        let mut ended = messages.recv().await;
        assert!(matches!(
            &ended,
            Some(LoopMessage::Event(Event::AttemptEnded {
                outcome: AttemptOutcome::Served(_),
                ..
            }))
        ));
        for end in order {
            match end {
                EndCause::Served => event_loop.handle(ended.take().unwrap()),
                EndCause::DeadlineReached => {
                    std::thread::sleep(deadline.saturating_duration_since(event_loop.clock.now()));
                    event_loop.process_event(Event::TimerFired);
                }
                EndCause::ClientDisconnected => {
                    event_loop.process_event(Event::ClientDisconnected {
                        handle: RequestHandle(1),
                    });
                }
            }
            assert!(
                event_loop.attempts.is_empty() && event_loop.clients.is_empty(),
                "{order:?} {end:?}"
            );
        }
        if let Some(ended) = ended {
            event_loop.handle(ended);
        }
        let response = response.try_recv();
        match order[0] {
            EndCause::Served => assert_eq!(
                response,
                Ok(ClientResponse::Served("t1".into())),
                "{order:?}"
            ),
            EndCause::DeadlineReached => assert!(
                matches!(response, Ok(ClientResponse::Failed(_))),
                "{order:?}: {response:?}"
            ),
            EndCause::ClientDisconnected => {
                assert!(response.is_err(), "{order:?}: {response:?}");
            }
        }
        assert_eq!(resource_counts(&event_loop), (0, 1, 0));
        let overview = event_loop.core.overview();
        assert!(
            overview
                .classes
                .iter()
                .all(|class| *class == RequestCounts::default()),
            "{order:?}: {overview:?}"
        );
        // Whatever was aborted, the next attempt is served on the same connection.
        let mut response = submit(&mut event_loop, 2, Duration::from_secs(5));
        while let Err(TryRecvError::Empty) = response.try_recv().map(|response| {
            assert_eq!(response, ClientResponse::Served("t2".into()), "{order:?}");
        }) {
            let message = tokio::time::timeout(Duration::from_secs(5), messages.recv()).await;
            event_loop.handle(message.expect("no response").unwrap());
        }
        assert!(
            event_loop.attempts.is_empty() && event_loop.clients.is_empty(),
            "{order:?}"
        );
    });
    server.join().unwrap();
}

/// Returns the numbers of attempts, upstream clients and waiting clients.
fn resource_counts(event_loop: &EventLoop) -> (usize, usize, usize) {
    (
        event_loop.attempts.len(),
        event_loop.upstreams.len(),
        event_loop.clients.len(),
    )
}
