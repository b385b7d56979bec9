use super::super::*;
use super::{job, waiting};
use crate::upstream::AttemptOptions;
use pumiceway_core::{AttemptOutcome, Endpoint, EndpointAddress};
use pumiceway_decisions::api::{EndpointState, KindId, ZoneId};
use std::io::{Read, Write};
use std::net::{TcpListener as Listener, TcpStream};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// One job at a time on each next hop.
const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"push","aim-us":500000,"deadline-us":5000000,"points":2.0,"semantics":"read_like"},
    {"name":"import","aim-us":1500000,"deadline-us":6000000,"points":3.0,"semantics":"non_idempotent"}],
  "limits":{"most-tries":3,"cancel":true,"retry-after":true,"max-retry-after-us":2000000},"rules":{}}"#;

/// A shell with so many sockets to these next hops, and what it hears.
fn event_loop(
    outbound: usize,
    upstreams: &[&Listener],
) -> (EventLoop, UnboundedReceiver<LoopMessage>) {
    let conf: Arc<DeploymentSettings> = Arc::new(serde_json::from_str(SETTINGS).unwrap());
    let sockets = crate::config::Sockets {
        inbound: 8,
        spare: 2,
        outbound,
    };
    let (events, heard) = EventSender::new();
    let core = Core::new(conf.settings().unwrap(), 7, Retention::default()).unwrap();
    let mut event_loop = EventLoop::new(Clock::start(), core, events, conf, &sockets);
    let lines = upstreams
        .iter()
        .enumerate()
        .map(|(n, listener)| line(n, listener))
        .collect();
    event_loop.feed(Event::EndpointListUpdated {
        source: EndpointSource::Discovery,
        as_of: Timestamp::ORIGIN,
        update: EndpointListUpdate::Snapshot(lines),
    });
    (event_loop, heard)
}

fn line(n: usize, listener: &Listener) -> Endpoint {
    Endpoint {
        name: format!("w{n}"),
        address: EndpointAddress::Network(listener.local_addr().unwrap().to_string()),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: None,
        state: EndpointState::Ready,
        started_at: Timestamp::ORIGIN,
        relative_size: 0.0,
        starts_warm: true,
        max_concurrent: Some(1),
    }
}

fn listeners<const N: usize>() -> [Listener; N] {
    [(); N].map(|()| Listener::bind("127.0.0.1:0").unwrap())
}

fn handed_in(n: u64) -> (LoopMessage, oneshot::Receiver<ClientResponse>) {
    waiting(n, ClassId(0), Duration::from_secs(5))
}

/// Plays the loop until the next thing is heard, and takes that in.
async fn go_on(event_loop: &mut EventLoop, heard: &mut UnboundedReceiver<LoopMessage>) {
    let next = tokio::time::timeout(Duration::from_secs(5), heard.recv()).await;
    event_loop.handle_batch(&mut vec![next.expect("nothing is heard").unwrap()]);
}

fn accepted(listener: &Listener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) => assert!(Instant::now() < end, "nobody came: {e}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// What a next hop gets on a connection of its own, read off the loop.
async fn asked(listener: &Listener) -> (TcpStream, String) {
    let listener = listener.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = accepted(&listener);
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut part = [0; 4096];
        let n = stream.read(&mut part).unwrap();
        (stream, String::from_utf8_lossy(&part[..n]).into_owned())
    });
    read.await.unwrap()
}

fn done(mut stream: &TcpStream, id: &str) {
    let line =
        format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"done\",\"result\":\"{id}\"}}\n");
    let length = line.len();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .write_all(format!("{head}{length:x}\r\n{line}\r\n0\r\n\r\n").as_bytes())
        .unwrap();
}

fn block_on(play: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(play);
}

// Guards against more sockets than there are: idle ones to all next hops added up past the limit,
// and connections that the system had accepted for us could not be taken.
#[test]
fn an_idle_connection_makes_room_for_a_branch_that_needs_a_socket() {
    let upstreams = listeners::<3>();
    let (mut event_loop, mut heard) = event_loop(2, &upstreams.each_ref());
    block_on(async {
        let mut answers = Vec::new();
        // Two next hops at once, so that each has a connection; then both are idle.
        for n in 0..2 {
            let (waiting, answered) = handed_in(n);
            event_loop.handle_batch(&mut vec![waiting]);
            answers.push(answered);
        }
        let mut streams = Vec::new();
        for (n, endpoint) in upstreams[..2].iter().enumerate() {
            let (stream, text) = asked(endpoint).await;
            assert!(text.contains(&format!("x-txn: t{n}")), "{text}");
            streams.push(stream);
        }
        assert_eq!(event_loop.upstreams.free_sockets(), 0);
        done(&streams[0], "t0");
        done(&streams[1], "t1");
        for answered in &mut answers {
            while answered.is_empty() {
                go_on(&mut event_loop, &mut heard).await;
            }
            assert!(matches!(answered.try_recv(), Ok(ClientResponse::Served(_))));
        }
        // A third is reached: one of the idle ones goes, and is closed.
        let address = upstreams[2].local_addr().unwrap().to_string();
        let terms = AttemptOptions {
            remaining: Duration::from_secs(5),
            dedicated_connection: false,
            write_by: None,
        };
        event_loop.start_attempt(AttemptId(9), EndpointId(2), &address, &job(9), terms);
        let (_stream, text) = asked(&upstreams[2]).await;
        assert!(text.contains("x-txn: t9"), "{text}");
        // The other one is kept open from its far side as well: one that closed is no longer in
        // use.
        let mut first = streams.remove(0);
        let gone = tokio::task::spawn_blocking(move || first.read(&mut [0]))
            .await
            .unwrap();
        assert!(matches!(gone, Ok(0)), "{gone:?}");
        assert!(event_loop.upstreams.len() == 2 && event_loop.upstreams.free_sockets() == 0);
    });
}

// Guards against a next hop that counts as failed because we had no socket left to reach it with,
// and against a job that waits for one until its client has gone.
#[test]
fn with_every_socket_in_use_a_job_is_answered_busy_and_no_next_hop_is_blamed() {
    let upstreams = listeners::<2>();
    let (mut event_loop, mut heard) = event_loop(1, &upstreams.each_ref());
    block_on(async {
        let [(first, _first_answer), (second, mut answered)] = [0, 1].map(handed_in);
        event_loop.handle_batch(&mut vec![first]);
        let (stream, _) = asked(&upstreams[0]).await;
        event_loop.handle_batch(&mut vec![second]);
        // Each try ends at once, and as none.
        while answered.is_empty() {
            let ended = heard.try_recv();
            let untried = AttemptOutcome::NotSent;
            assert!(
                matches!(&ended, Ok(LoopMessage::Event(Event::AttemptEnded { outcome, .. })) if *outcome == untried),
                "{ended:?}"
            );
            event_loop.handle_batch(&mut vec![ended.unwrap()]);
        }
        assert!(matches!(
            answered.try_recv(),
            Ok(ClientResponse::Overloaded {
                retry_after: Some(_)
            })
        ));
        // Once the socket is free the second next hop is sent jobs like any other.
        done(&stream, "t0");
        while !event_loop.attempts.is_empty() {
            go_on(&mut event_loop, &mut heard).await;
        }
        drop(stream);
        let address = upstreams[1].local_addr().unwrap().to_string();
        let terms = AttemptOptions {
            remaining: Duration::from_secs(5),
            dedicated_connection: false,
            write_by: None,
        };
        event_loop.start_attempt(AttemptId(9), EndpointId(1), &address, &job(9), terms);
        assert!(asked(&upstreams[1]).await.1.contains("x-txn: t9"));
    });
}

// Guards against a job that is sent on for clients whose leaving is known, and stands in the queue
// behind what would send it: they have left by the time that anything goes out.
#[test]
fn a_client_that_has_left_is_not_sent_on_by_what_stands_before_its_leaving() {
    let upstreams = listeners::<1>();
    let (mut event_loop, mut heard) = event_loop(8, &upstreams.each_ref());
    block_on(async {
        let mut answers = Vec::new();
        for n in 0..40 {
            let (waiting, answered) = handed_in(n);
            event_loop.handle_batch(&mut vec![waiting]);
            answers.push(answered);
        }
        let (stream, _) = asked(&upstreams[0]).await;
        done(&stream, "t0");
        // The end of the first is heard, and makes room for the next; behind it stand the leavings
        // of all others.
        let mut batch = vec![heard.recv().await.unwrap()];
        assert!(
            matches!(batch[0], LoopMessage::Event(Event::AttemptEnded { .. })),
            "{batch:?}"
        );
        batch.extend((1..40).map(|n| {
            LoopMessage::Event(Event::ClientDisconnected {
                handle: RequestHandle(n),
            })
        }));
        let (unheard, _answered) = handed_in(99);
        batch.extend([
            unheard,
            LoopMessage::Event(Event::ClientDisconnected {
                handle: RequestHandle(99),
            }),
        ]);
        event_loop.on_timer(&mut batch);
        assert!(event_loop.attempts.is_empty() && event_loop.clients.is_empty());
        for _ in 0..64 {
            tokio::task::yield_now().await;
        }
        // Neither on the connection that is kept nor on a new one.
        stream.set_nonblocking(true).unwrap();
        let came = (&stream).read(&mut [0]).map_err(|e| e.kind());
        assert!(
            matches!(came, Err(std::io::ErrorKind::WouldBlock)),
            "{came:?}"
        );
        upstreams[0].set_nonblocking(true).unwrap();
        assert!(upstreams[0].accept().is_err());
    });
}

// Guards against an alarm that is lost where something heard along with it sets the next one:
// nothing was due any more until the next news, and clients had no answer in their time.
#[test]
fn what_is_heard_along_with_an_alarm_sets_the_next_one() {
    let upstreams = listeners::<0>();
    let (mut event_loop, _heard) = event_loop(8, &upstreams.each_ref());
    let mut answers = Vec::new();
    for n in 0..3 {
        let (mut waiting, answered) = handed_in(n);
        if let LoopMessage::Submitted { request, .. } = &mut waiting {
            request.remaining = Duration::from_micros(3_000_000 - 500_000 * n);
        }
        event_loop.on_timer(&mut vec![waiting]);
        assert!(event_loop.timer.is_some(), "{n}: nothing is ever due");
        answers.push(answered);
    }
}

// Guards against memory that grows with every name of a next hop that was ever sent a job, and
// against a connection to one that is gone which carries a job for the next.
#[test]
fn next_hops_whose_names_come_and_go_are_let_go_of() {
    const NAMES: usize = 1_500;
    let upstreams = listeners::<1>();
    let (mut event_loop, mut heard) = event_loop(8, &[]);
    let listener = upstreams[0].try_clone().unwrap();
    let server = std::thread::spawn(move || {
        let mut first = None;
        for n in 0..NAMES {
            let mut stream = listener.accept().unwrap().0;
            stream
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut part = [0; 512];
                let read = stream.read(&mut part).unwrap();
                assert!(read > 0, "{n}");
                head.extend_from_slice(&part[..read]);
            }
            let head = String::from_utf8(head).unwrap();
            assert!(head.contains(&format!("x-txn: t{n}\r\n")), "{n}: {head}");
            let line = format!("{{\"id\":\"t{n}\",\"state\":\"done\",\"result\":\"\"}}\n");
            let end = if n == 0 { "" } else { "Connection: close\r\n" };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{end}\r\n",
                line.len()
            );
            stream.write_all((head + &line).as_bytes()).unwrap();
            // The first stays open. Whoever has its place is at its address, and comes on a
            // connection of its own.
            first.get_or_insert(stream);
        }
        assert_eq!(first.unwrap().read(&mut [0]).unwrap(), 0);
    });
    block_on(async {
        for n in 0..NAMES {
            let update = EndpointListUpdate::Snapshot(vec![line(n, &upstreams[0])]);
            event_loop.feed(Event::EndpointListUpdated {
                source: EndpointSource::Discovery,
                as_of: Timestamp::ORIGIN,
                update,
            });
            let (waiting, mut answered) = handed_in(n as u64);
            event_loop.handle_batch(&mut vec![waiting]);
            while answered.is_empty() {
                go_on(&mut event_loop, &mut heard).await;
            }
            assert_eq!(
                answered.try_recv(),
                Ok(ClientResponse::Served(Default::default())),
                "{n}"
            );
            assert!(
                event_loop.upstreams.len() <= 1_026,
                "{n}: {} next hops are kept",
                event_loop.upstreams.len()
            );
        }
    });
    server.join().unwrap();
}
