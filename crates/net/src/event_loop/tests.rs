mod sockets;

use super::*;
use bytes::Bytes;
use pumiceway_core::{AttemptOutcome, ClientRequest};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A shell whose one next hop is at this address, and what it has yet to hear.
fn event_loop(address: &str) -> (EventLoop, mpsc::UnboundedReceiver<LoopMessage>) {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","known":{{"index":1,"snapshot":true,"endpoints":[
          {{"name":"w1","address":"{address}","zone":"z","type":"k","status":"ready"}}]}},"settings":{}}}"#,
        pumiceway_test_support::SETTINGS
    );
    let config = Config::from_text(&text, "config", |_| None).unwrap();
    let (events, heard) = EventSender::new();
    let core = Core::new(config.settings, config.seed, Retention::default()).unwrap();
    let mut event_loop = EventLoop::new(
        Clock::start(),
        core,
        events,
        config.deployment.clone(),
        &config.sockets,
    );
    let known = config.bootstrap_list.unwrap().endpoints(&config.deployment);
    event_loop.feed(Event::EndpointListUpdated {
        source: EndpointSource::Discovery,
        as_of: Timestamp::ORIGIN,
        update: EndpointListUpdate::Snapshot(known),
    });
    (event_loop, heard)
}

fn job(n: u64) -> Job {
    Job {
        id: format!("t{n}"),
        path: "/c".into(),
        idempotency_key: None,
        body: Bytes::new(),
    }
}

/// A client that hands in a job, and where its answer comes.
fn waiting(
    n: u64,
    class: ClassId,
    remaining: Duration,
) -> (LoopMessage, oneshot::Receiver<ClientResponse>) {
    let (answer, answered) = oneshot::channel();
    let request = ClientRequest {
        class,
        remaining,
        slots: 1.0,
        memory: 0.0,
        tenant: None,
        job: Arc::new(job(n)),
        unique_id: None,
    };
    (
        LoopMessage::Submitted {
            handle: RequestHandle(n),
            request,
            response: answer,
            updates: None,
        },
        answered,
    )
}

fn submit(
    event_loop: &mut EventLoop,
    n: u64,
    remaining: Duration,
) -> oneshot::Receiver<ClientResponse> {
    let (heard, answered) = waiting(n, ClassId(1), remaining);
    event_loop.handle(heard);
    answered
}

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

// Guards against two endings of one attempt, a place that is kept for one that is over, and a
// connection closed under the next import: its answer, its time and its client's leaving meet in
// each order.
#[test]
fn what_ends_an_attempt_first_is_its_end_and_leaves_nothing_behind() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum End {
        Done,
        Time,
        Leaving,
    }
    use End::*;
    let each = |order: [End; 2]| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            stream
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            serve(&mut stream, "t1");
            // The same connection.
            serve(&mut stream, "t2");
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let (mut event_loop, mut heard) = event_loop(&address);
            // Long enough for its answer to come before it is over, however late we are.
            let remaining = Duration::from_secs(2);
            let until = event_loop.clock.now() + remaining;
            let mut answered = submit(&mut event_loop, 1, remaining);
            assert_eq!(
                (
                    event_loop.attempts.len(),
                    event_loop.upstreams.len(),
                    event_loop.clients.len()
                ),
                (1, 1, 1)
            );
            // It is told, and the shell has not heard it.
            let told = heard.recv().await.unwrap();
            let mut told = Some(told);
            assert!(matches!(
                &told,
                Some(LoopMessage::Event(Event::AttemptEnded {
                    outcome: AttemptOutcome::Served(_),
                    ..
                }))
            ));
            for end in order {
                match end {
                    Done => event_loop.handle(told.take().unwrap()),
                    Time => {
                        std::thread::sleep(until.saturating_duration_since(event_loop.clock.now()));
                        event_loop.feed(Event::TimerFired);
                    }
                    Leaving => event_loop.feed(Event::ClientDisconnected {
                        handle: RequestHandle(1),
                    }),
                }
                assert!(
                    event_loop.attempts.is_empty() && event_loop.clients.is_empty(),
                    "{order:?} {end:?}"
                );
            }
            if let Some(told) = told {
                event_loop.handle(told);
            }
            let answer = answered.try_recv();
            match order[0] {
                Done => assert_eq!(answer, Ok(ClientResponse::Served("t1".into())), "{order:?}"),
                Time => assert!(
                    matches!(answer, Ok(ClientResponse::Failed(_))),
                    "{order:?}: {answer:?}"
                ),
                Leaving => assert!(answer.is_err(), "{order:?}: {answer:?}"),
            }
            assert_eq!(
                (
                    event_loop.attempts.len(),
                    event_loop.upstreams.len(),
                    event_loop.clients.len()
                ),
                (0, 1, 0)
            );
            let overview = event_loop.core.overview();
            assert!(
                overview
                    .classes
                    .iter()
                    .all(|c| *c == pumiceway_core::ClassOverview::default()),
                "{order:?}: {overview:?}"
            );
            // Whatever was cut, the next one goes on the same connection and has its answer.
            let mut answered = submit(&mut event_loop, 2, Duration::from_secs(5));
            while let Err(oneshot::error::TryRecvError::Empty) = answered.try_recv().map(|a| {
                assert_eq!(a, ClientResponse::Served("t2".into()), "{order:?}");
            }) {
                let told = tokio::time::timeout(Duration::from_secs(5), heard.recv()).await;
                event_loop.handle(told.expect("no answer").unwrap());
            }
            assert!(
                event_loop.attempts.is_empty() && event_loop.clients.is_empty(),
                "{order:?}"
            );
        });
        server.join().unwrap();
    };
    std::thread::scope(|scope| {
        for order in [
            [Done, Time],
            [Time, Done],
            [Done, Leaving],
            [Leaving, Done],
            [Time, Leaving],
            [Leaving, Time],
        ] {
            scope.spawn(move || each(order));
        }
    });
}
