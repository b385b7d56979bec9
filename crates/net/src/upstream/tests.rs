use super::*;

/// A client that nobody shares sockets with.
fn alone(address: &str, pool: PoolSettings) -> UpstreamClient {
    UpstreamClient::new(
        address,
        pool,
        &Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
    )
}

// Guards against a branch that waits for a connection past the grace of a drain, and against
// writing to a connection that the other side may have dropped.
#[test]
fn waits_for_connections_stay_within_the_grace_and_idle_ones_close_early() {
    let text = |grace: u64| {
        format!(
            r#"{{"lanes":[],"limits":{{"most-tries":1,"connect-timeout-us":250000,"conn-idle-us":15000000}},
            "rules":{{"drain-grace-us":{grace}}}}}"#
        )
    };
    let pool = |grace| {
        let sockets = Sockets {
            inbound: 1,
            spare: 1,
            outbound: 640,
        };
        PoolSettings::new(&serde_json::from_str(&text(grace)).unwrap(), &sockets)
    };
    assert_eq!(pool(500_000).connect, Duration::from_millis(250));
    assert_eq!(pool(100_000).connect, Duration::from_millis(50));
    assert_eq!(pool(0).connect, Duration::from_millis(250));
    assert_eq!(pool(0).idle, Duration::from_secs(10));
    assert_eq!(pool(500_000).probe, Duration::from_millis(500));
}

// Guards against a site whose connections may take a second: each probe that opened one was over
// before it.
#[test]
fn a_probe_is_waited_for_longer_than_its_connection_may_take() {
    let text = r#"{"lanes":[],"limits":{"most-tries":1,"connect-timeout-us":1000000},"rules":{}}"#;
    let sockets = Sockets {
        inbound: 1,
        spare: 1,
        outbound: 640,
    };
    let pool = PoolSettings::new(&serde_json::from_str(text).unwrap(), &sockets);
    assert!(pool.probe > pool.connect, "{pool:?}");
}

#[test]
fn load_reports_are_read_in_either_form_and_nonsense_is_none() {
    let free = |text: &str| read_report(text.as_bytes()).map(|r| r.free_slots);
    assert_eq!(free("x0=3.5,eps=0"), Some(Some(3.5)));
    assert_eq!(free(r#"{"x0":2,"util":0.5}"#), Some(Some(2.0)));
    assert_eq!(free("x0=many"), None);
    assert_eq!(free("{"), None);
}

/// Hears how a branch ended.
struct Ends(std::sync::mpsc::Sender<(AttemptOutcome, Option<LoadReport>)>);

fn terms(remaining: Duration, dedicated_connection: bool) -> AttemptOptions {
    AttemptOptions {
        remaining,
        dedicated_connection,
        write_by: None,
    }
}

impl AttemptObserver for Ends {
    fn updated(&self, _: AttemptUpdate) {}

    fn ended(&mut self, ending: AttemptOutcome, report: Option<LoadReport>) {
        self.0.send((ending, report)).unwrap();
    }
}

// Guards against a report that is lost because of how its attempt ended.
#[test]
fn whatever_ends_an_attempt_may_bring_a_load_report() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let line = |state: &str| {
        let load = r#""load":{"inflight":7,"queue":2,"util":0.61,"qps":5,"eps":0,"x0":3,"x1":4}"#;
        let line = format!("{{\"id\":\"t\",\"from\":\"w\",\"state\":\"{state}\",{load}}}\n");
        let length = line.len();
        format!("200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{line}\r\n0\r\n\r\n")
    };
    let head = |status: &str| {
        format!(
            "{status}\r\nX-Pressure: inflight=7,queue=2, util=0.61,qps=5,eps=0,x0=3,x1=4\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let answers = [
        (line("done"), AttemptOutcome::Served(Bytes::new())),
        (line("failed"), AttemptOutcome::Error),
        (line("returned"), AttemptOutcome::Rejected),
        (line("lost"), AttemptOutcome::Reset),
        (head("503 X\r\nX-Turned-Away: 1"), AttemptOutcome::Rejected),
        (head("504 X\r\nX-Turned-Away: 1"), AttemptOutcome::Rejected),
        (head("500 X"), AttemptOutcome::Error),
    ];
    let texts: Vec<String> = answers
        .iter()
        .map(|(text, _)| format!("HTTP/1.1 {text}"))
        .collect();
    let server = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        for text in texts {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    let (tell, ends) = std::sync::mpsc::channel();
    let limit = Duration::from_secs(2);
    let pool = PoolSettings {
        connect: limit,
        idle: limit,
        probe: limit,
        most_idle: 2,
    };
    let report = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.0),
        free_slots: Some(3.0),
        free_memory: Some(4.0),
        requests_per_second: Some(5.0),
        cpu_utilization: Some(0.61),
    };
    let job = Job {
        id: "t".into(),
        path: "/c".into(),
        idempotency_key: None,
        body: Bytes::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let hop = alone(&address, pool);
        for (text, ending) in answers {
            let (_branch, drive) = hop
                .attempt(&job, terms(limit, false), Ends(tell.clone()))
                .unwrap();
            drive.await;
            assert_eq!(ends.try_recv().unwrap(), (ending, Some(report)), "{text}");
        }
    });
    server.join().unwrap();
}

// Guards against a next hop that is taken out because it dropped a connection that nobody used.
#[test]
fn a_probe_on_a_kept_connection_that_was_dropped_asks_again_on_a_fresh_one() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let read =
            |stream: &mut std::net::TcpStream| assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":2}";
        let mut kept = listener.accept().unwrap().0;
        read(&mut kept);
        kept.write_all(answer).unwrap();
        read(&mut kept);
        drop(kept);
        let mut dedicated_connection = listener.accept().unwrap().0;
        read(&mut dedicated_connection);
        dedicated_connection.write_all(answer).unwrap();
    });
    // How long a probe is waited for is another test's: here it only keeps the test from hanging.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let hop = alone(
            &address,
            PoolSettings {
                connect: SOON,
                idle: SOON,
                probe: SOON,
                most_idle: 2,
            },
        );
        for _ in 0..2 {
            let (status, report) = hop.check_health().await;
            assert_eq!(
                (status, report.and_then(|r| r.free_slots)),
                (Outcome::Success, Some(2.0))
            );
        }
    });
    server.join().unwrap();
}

/// A next hop that a test plays by hand: each side waits for what it has to have seen of the other.
struct Worker {
    listener: std::net::TcpListener,
    tell: tokio::sync::mpsc::UnboundedSender<&'static str>,
    go: std::sync::mpsc::Receiver<()>,
}

/// The dispatcher's side of it.
struct Seen {
    address: String,
    told: tokio::sync::mpsc::UnboundedReceiver<&'static str>,
    go: std::sync::mpsc::Sender<()>,
}

/// It only keeps tests from hanging, on a machine that has other things to do.
const SOON: Duration = Duration::from_secs(20);

fn worker() -> (Worker, Seen) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tell, told) = tokio::sync::mpsc::unbounded_channel();
    let (send, go) = std::sync::mpsc::channel();
    (
        Worker { listener, tell, go },
        Seen {
            address,
            told,
            go: send,
        },
    )
}

impl Worker {
    fn accept(&self) -> std::net::TcpStream {
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(SOON)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Tells how far it is, and waits for its turn.
    fn at(&self, what: &'static str) {
        self.tell.send(what).unwrap();
        self.go.recv_timeout(SOON).unwrap();
    }
}

impl Seen {
    async fn told(&mut self, what: &str) {
        assert_eq!(
            timeout(SOON, self.told.recv())
                .await
                .unwrap_or(Some("nothing")),
            Some(what)
        );
    }

    /// The same, and the runtime does not hear of anything meanwhile.
    fn told_while_deaf(&mut self, what: &str) {
        let end = std::time::Instant::now() + SOON;
        let told = loop {
            match self.told.try_recv() {
                Ok(told) => break told,
                Err(_) => assert!(std::time::Instant::now() < end, "nothing told"),
            }
            std::thread::yield_now();
        };
        assert_eq!(told, what);
    }

    fn go(&self) {
        self.go.send(()).unwrap();
    }
}

/// Reads a request up to the end of its body; its head.
fn read_request(stream: &mut std::net::TcpStream) -> String {
    use std::io::Read;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "closed; so far {:?}",
            String::from_utf8_lossy(&head)
        );
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map_or(0, |l| l.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).unwrap();
    head
}

/// A whole answer with this body, after which its connection is at rest at once.
fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn done(id: &str) -> String {
    answer(
        "200 OK",
        &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{id}\"}}\n"),
    )
}

fn served(id: &'static str) -> (AttemptOutcome, Option<LoadReport>) {
    (AttemptOutcome::Served(Bytes::from(id)), None)
}

fn job(id: &str, body: usize) -> Job {
    Job {
        id: id.into(),
        path: "/c".into(),
        idempotency_key: None,
        body: vec![b'x'; body].into(),
    }
}

fn hop(address: &str) -> UpstreamClient {
    alone(
        address,
        PoolSettings {
            connect: SOON,
            idle: SOON,
            probe: SOON,
            most_idle: 2,
        },
    )
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Lets all go on that has something to do. What was sent on loopback is there by now.
async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

/// An attempt that goes on by itself, and its end.
struct Out {
    branch: AttemptConnection,
    ends: std::sync::mpsc::Receiver<(AttemptOutcome, Option<LoadReport>)>,
    task: tokio::task::JoinHandle<()>,
}

impl Out {
    fn start(hop: &UpstreamClient, job: &Job, dedicated_connection: bool) -> Out {
        let (tell, ends) = std::sync::mpsc::channel();
        let (branch, drive) = hop
            .attempt(job, terms(SOON, dedicated_connection), Ends(tell))
            .unwrap();
        Out {
            branch,
            ends,
            task: tokio::spawn(drive),
        }
    }

    async fn end(self) -> (AttemptOutcome, Option<LoadReport>) {
        timeout(SOON, self.task).await.expect("no end").unwrap();
        let end = self.ends.try_recv().unwrap();
        assert!(self.ends.try_recv().is_err(), "two ends");
        end
    }
}

// Guards against a cut that crosses the end of its attempt, and closes the connection under the
// next one, whose import is lost as one that may have run. In each way in which an end leaves the
// connection to others.
#[test]
fn a_cut_that_comes_after_the_last_word_leaves_the_connection_to_the_next_attempt() {
    let line = |state: &str| {
        answer(
            "200 OK",
            &format!("{{\"id\":\"a\",\"state\":\"{state}\"}}\n"),
        )
    };
    let turned = "503 Busy\r\nX-Turned-Away: 1";
    let words = [
        (line("done"), AttemptOutcome::Served(Bytes::new())),
        (line("failed"), AttemptOutcome::Error),
        (line("returned"), AttemptOutcome::Rejected),
        (line("lost"), AttemptOutcome::Reset),
        (answer(turned, ""), AttemptOutcome::Rejected),
        (answer("500 Broken", "x"), AttemptOutcome::Error),
        (answer("400 Bad", "x"), AttemptOutcome::InvalidJob),
    ];
    for (text, ending) in words {
        let (worker, mut seen) = worker();
        let first = text.clone();
        let server = std::thread::spawn(move || {
            use std::io::Write;
            let mut stream = worker.accept();
            read_request(&mut stream);
            stream.write_all(first.as_bytes()).unwrap();
            read_request(&mut stream);
            worker.at("has the second");
            stream.write_all(done("b").as_bytes()).unwrap();
        });
        play(async {
            let hop = hop(&seen.address);
            let a = Out::start(&hop, &job("a", 9), false);
            let cut = a.branch.clone();
            assert_eq!(a.end().await, (ending, None), "{text}");
            settle().await;
            let b = Out::start(&hop, &job("b", 9), false);
            seen.told("has the second").await;
            cut.abort();
            settle().await;
            seen.go();
            assert_eq!(b.end().await, served("b"), "{text}");
        });
        server.join().unwrap();
    }
}

// Guards against the same from within: an answer that can't be used is found out only when its
// connection has been read to the end, and has the next attempt on it.
#[test]
fn an_answer_of_no_use_does_not_take_the_next_attempt_with_it() {
    for body in [
        "what?\n",
        "{\"id\":\"z\",\"state\":\"done\"}\n",
        " \n",
        "{\"id\":\"a\",\"state\":\"started\"}\n",
    ] {
        let (worker, mut seen) = worker();
        let server = std::thread::spawn(move || {
            use std::io::Write;
            let mut stream = worker.accept();
            read_request(&mut stream);
            let text = answer("200 OK", body);
            let (head, rest) = text.split_at(text.len() - body.len());
            stream.write_all(head.as_bytes()).unwrap();
            worker.at("sent the head");
            stream.write_all(rest.as_bytes()).unwrap();
            worker.at("sent it all");
            read_request(&mut stream);
            worker.at("has the second");
            stream.write_all(done("b").as_bytes()).unwrap();
        });
        play(async {
            let hop = hop(&seen.address);
            let (tell, ends) = std::sync::mpsc::channel();
            let (a, drive) = hop
                .attempt(&job("a", 9), terms(SOON, false), Ends(tell))
                .unwrap();
            let mut drive = std::pin::pin!(drive);
            let mut go_on = async || {
                let mut over = false;
                std::future::poll_fn(|cx| {
                    over = drive.as_mut().poll(cx).is_ready();
                    std::task::Poll::Ready(())
                })
                .await;
                over
            };
            // It has seen the head, and does not look again until the next one is out.
            while !a.kept() {
                assert!(!go_on().await);
                settle().await;
            }
            seen.told("sent the head").await;
            seen.go();
            seen.told("sent it all").await;
            settle().await;
            let b = Out::start(&hop, &job("b", 9), false);
            seen.go();
            seen.told("has the second").await;
            while !go_on().await {
                settle().await;
            }
            assert_eq!(
                ends.try_recv().unwrap(),
                (AttemptOutcome::Reset, None),
                "{body}"
            );
            settle().await;
            seen.go();
            assert_eq!(b.end().await, served("b"), "{body}");
        });
        server.join().unwrap();
    }
}

// Guards against an import that is lost as one that may have run, though its connection was dead
// before a byte of it was written; and against what came late for one attempt being taken as the
// answer of the next. The runtime has not heard of it when the request is written.
#[test]
fn a_kept_connection_that_died_or_spoke_unasked_before_the_request_gets_not_a_byte_of_it() {
    let late = answer("503 Busy\r\nX-Turned-Away: 1", "");
    let shots = [
        None,
        Some(String::new()),
        Some("{\"id\":".into()),
        Some(done("a")),
        Some(done("b")),
        Some(late),
    ];
    for (shot, size) in shots.iter().flat_map(|s| [(s, 0), (s, 9), (s, 64 << 10)]) {
        let (worker, mut seen) = worker();
        let text = shot.clone();
        let server = std::thread::spawn(move || {
            use std::io::{Read, Write};
            let mut stream = worker.accept();
            read_request(&mut stream);
            stream.write_all(done("a").as_bytes()).unwrap();
            worker.at("answered");
            match text {
                // Closed; reset; or not asked for.
                None => drop(stream),
                Some(text) if text.is_empty() => {
                    socket2::SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                    drop(stream);
                }
                Some(text) => {
                    stream.write_all(text.as_bytes()).unwrap();
                    worker.at("spoke");
                    let mut rest = Vec::new();
                    let _ = stream.read_to_end(&mut rest);
                    assert_eq!(String::from_utf8_lossy(&rest), "");
                    let mut stream = worker.accept();
                    read_request(&mut stream);
                    return stream.write_all(done("c").as_bytes()).unwrap();
                }
            }
            worker.at("spoke");
            let mut stream = worker.accept();
            read_request(&mut stream);
            stream.write_all(done("c").as_bytes()).unwrap();
        });
        play(async {
            let hop = hop(&seen.address);
            assert_eq!(
                Out::start(&hop, &job("a", size), false).end().await,
                served("a")
            );
            seen.told("answered").await;
            settle().await;
            seen.go();
            let (tell, ends) = std::sync::mpsc::channel();
            let (_, drive) = hop
                .attempt(&job("b", size), terms(SOON, false), Ends(tell))
                .unwrap();
            // From here on the runtime looks at no socket before the request is written.
            seen.told_while_deaf("spoke");
            drive.await;
            assert_eq!(
                ends.try_recv().unwrap(),
                (AttemptOutcome::ConnectFailed, None),
                "{shot:?} {size}"
            );
            seen.go();
            assert_eq!(
                Out::start(&hop, &job("c", size), false).end().await,
                served("c")
            );
        });
        server.join().unwrap();
    }
}

// Guards against the opposite: a request of which some bytes are out counts as one that never ran.
#[test]
fn a_request_that_was_written_in_part_may_have_run() {
    for kept in [true, false] {
        let (worker, seen) = worker();
        let server = std::thread::spawn(move || {
            use std::io::{Read, Write};
            let mut stream = worker.accept();
            if kept {
                read_request(&mut stream);
                stream.write_all(done("a").as_bytes()).unwrap();
            }
            // Of 64 MB the rest is under way: it closes over unread bytes.
            assert_eq!(stream.read(&mut [0]).unwrap(), 1);
        });
        play(async {
            let hop = hop(&seen.address);
            if kept {
                assert_eq!(
                    Out::start(&hop, &job("a", 9), false).end().await,
                    served("a")
                );
                settle().await;
            }
            let ending = if kept {
                AttemptOutcome::IdleConnectionReset
            } else {
                AttemptOutcome::Reset
            };
            assert_eq!(
                Out::start(&hop, &job("b", 64 << 20), false).end().await,
                (ending, None)
            );
        });
        server.join().unwrap();
    }
}

/// A chunked answer's head, and a chunk.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes one text after the other until nobody reads it any more; how much went out.
fn flood(stream: &mut std::net::TcpStream, first: &str, again: &str) -> usize {
    use std::io::Write;
    let again = again.repeat(1 + (16 << 10) / again.len());
    let mut out = first.len();
    let mut open = stream.write_all(first.as_bytes()).is_ok();
    while open {
        out += again.len();
        open = stream.write_all(again.as_bytes()).is_ok();
    }
    out
}

/// What sockets on both sides may hold, in bytes, that nobody has read.
const BUFFERED: usize = 32 << 20;

/// Hears what a branch tells, and when it ends.
#[derive(Clone, Default)]
struct Heard(Arc<std::sync::Mutex<(Vec<AttemptUpdate>, Vec<AttemptOutcome>)>>);

impl AttemptObserver for Heard {
    fn updated(&self, news: AttemptUpdate) {
        self.0.lock().unwrap().0.push(news);
    }

    fn ended(&mut self, ending: AttemptOutcome, _: Option<LoadReport>) {
        self.0.lock().unwrap().1.push(ending);
    }
}

impl Heard {
    fn ends(&self) -> Vec<AttemptOutcome> {
        self.0.lock().unwrap().1.clone()
    }
}

// Guards against a next hop that talks without end for as long as its attempt may last: each line
// went into a queue without bound, and kept everyone else waiting.
#[test]
fn an_answer_without_end_ends_as_a_reset_and_fills_no_queue() {
    let line = |rest: &str| chunk(&format!("{{\"id\":\"a\",{rest}}}\n"));
    let started = line("\"state\":\"started\"");
    let floods = [
        ("lines without end", started.clone()),
        (
            "lines without end",
            line("\"state\":\"running\",\"share\":0.5"),
        ),
        (
            "lines without end",
            started + &line("\"state\":\"running\""),
        ),
        ("lines without end", chunk("\n")),
        ("lines without end", chunk(" \n\n")),
        ("a line without end", chunk("x")),
        ("a line without end", chunk(&" ".repeat(4096))),
        ("a line without end", chunk(&"\0".repeat(30_000))),
    ];
    for (why, text) in floods {
        let (worker, seen) = worker();
        let again = text.clone();
        let server = std::thread::spawn(move || {
            let mut stream = worker.accept();
            read_request(&mut stream);
            flood(&mut stream, CHUNKED, &again)
        });
        play(async {
            let heard = Heard::default();
            let hop = hop(&seen.address);
            let (_, drive) = hop
                .attempt(&job("a", 9), terms(SOON, false), heard.clone())
                .unwrap();
            let start = Instant::now();
            let over = timeout(SOON, drive).await.is_ok();
            let told = heard.0.lock().unwrap().clone();
            let most = 2 + start.elapsed().as_millis() / 50;
            assert!(
                over,
                "{why}: still out, with {} pieces of news",
                told.0.len()
            );
            assert_eq!(told.1, [AttemptOutcome::Reset], "{why}");
            assert!(
                told.0.len() as u128 <= most,
                "{why}: {} pieces of news",
                told.0.len()
            );
            assert!(
                told.0
                    .iter()
                    .filter(|n| matches!(n, AttemptUpdate::Started))
                    .count()
                    <= 1,
                "{why}"
            );
            settle().await;
        });
        assert!(server.join().unwrap() < BUFFERED, "{why}");
    }
}

// Guards against bounds that real next hops reach: the largest result in the longest form that JSON
// has for it, after many signs of life.
#[test]
fn the_largest_result_comes_through_after_many_signs_of_life() {
    let (worker, seen) = worker();
    let server = std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = worker.accept();
        read_request(&mut stream);
        let mut text = CHUNKED.to_owned();
        for n in 0..300 {
            text += &chunk(&format!(
                "{{\"id\":\"a\",\"from\":\"w\",\"state\":\"running\",\"share\":{}}}\n",
                n as f64 / 300.0
            ));
        }
        let result = "\\u0001".repeat(64 << 10);
        text += &chunk(&format!(
            "{{\"id\":\"a\",\"from\":\"w\",\"state\":\"done\",\"result\":\"{result}\",\"load\":{{\"x0\":3}}}}\n"
        ));
        stream.write_all((text + "0\r\n\r\n").as_bytes()).unwrap();
    });
    play(async {
        let (ending, report) = Out::start(&hop(&seen.address), &job("a", 9), false)
            .end()
            .await;
        assert!(matches!(ending, AttemptOutcome::Served(result) if result.len() == 64 << 10));
        assert_eq!(report.unwrap().free_slots, Some(3.0));
    });
    server.join().unwrap();
}

// Guards against a pace that drops the first sign of progress, or all later ones.
#[test]
fn progress_is_told_at_once_and_then_now_and_then() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pace = ProgressLimit::start(start);
    assert!(pace.starts() && !pace.starts());
    let told: Vec<u64> = (0..200).filter(|&ms| pace.shares(at(ms))).collect();
    assert_eq!(told, [0, 50, 100, 150]);
    // Ten lines a second for an hour, and a thousand at once, but not for long.
    assert!((0..36_000).all(|n| pace.take(at(100 * n), 100).is_ok()));
    let mut pace = ProgressLimit::start(start);
    assert!((0..600).all(|_| pace.take(start, 100).is_ok()));
    assert!(!(0..600).all(|_| pace.take(start, 100).is_ok()));
}

// Guards against an answer that is held back, or read for ever, for what comes after its last word
// or after a status that says all; and against using a connection again on which that is still to
// come.
#[test]
fn what_never_ends_after_the_last_word_costs_its_connection_and_holds_nothing_back() {
    let last = chunk("{\"id\":\"a\",\"state\":\"done\",\"result\":\"a\"}\n");
    let endless = "Transfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (format!("{CHUNKED}{last}"), chunk("{\"id\":\"a\",\"state\":\"failed\"}\n"), served("a").0),
        (format!("{CHUNKED}{last}"), chunk("x"), served("a").0),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"a\"}\n".into(),
            "x".into(),
            served("a").0,
        ),
        (format!("HTTP/1.1 500 Broken\r\n{endless}"), chunk("x"), AttemptOutcome::Error),
        (format!("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\n{endless}"), chunk("xyz"), AttemptOutcome::Rejected),
        ("HTTP/1.1 404 None\r\nContent-Length: 99999999999\r\n\r\n".into(), "x".into(), AttemptOutcome::InvalidJob),
        (format!("HTTP/1.1 302 There\r\n{endless}"), chunk("x"), AttemptOutcome::Error),
    ];
    let floods = cases.iter().map(|c| (c, false));
    for ((first, again, ending), silent) in floods.chain([(&cases[0], true), (&cases[4], true)]) {
        let (worker, mut seen) = worker();
        let (begin, go_on) = (first.clone(), again.clone());
        let server = std::thread::spawn(move || {
            use std::io::{Read, Write};
            let mut stream = worker.accept();
            read_request(&mut stream);
            stream.write_all(begin.as_bytes()).unwrap();
            worker.at("said it");
            let out = match silent {
                true => stream.read(&mut [0]).unwrap(),
                false => flood(&mut stream, "", &go_on),
            };
            let mut stream = worker.accept();
            read_request(&mut stream);
            stream.write_all(done("b").as_bytes()).unwrap();
            out
        });
        play(async {
            let heard = Heard::default();
            let hop = hop(&seen.address);
            let (_, drive) = hop
                .attempt(&job("a", 9), terms(SOON, false), heard.clone())
                .unwrap();
            let task = tokio::spawn(drive);
            seen.told("said it").await;
            // It is told before anything of the rest has come.
            let start = Instant::now();
            while heard.ends().is_empty() && start.elapsed() < SOON {
                settle().await;
            }
            assert_eq!(heard.ends(), std::slice::from_ref(ending), "{first}");
            seen.go();
            timeout(SOON, task).await.expect("no end").unwrap();
            assert_eq!(heard.ends(), std::slice::from_ref(ending), "{first}");
            settle().await;
            assert_eq!(
                Out::start(&hop, &job("b", 9), false).end().await,
                served("b"),
                "{first}"
            );
        });
        assert!(server.join().unwrap() < BUFFERED, "{first}");
    }
}

/// Polls once, as the runtime would, and lets nothing else go on.
async fn poll_once<F: Future>(future: &mut std::pin::Pin<&mut F>) -> bool {
    let mut over = false;
    std::future::poll_fn(|cx| {
        over = future.as_mut().poll(cx).is_ready();
        std::task::Poll::Ready(())
    })
    .await;
    over
}

/// The bytes that came up to the end.
fn rest(mut stream: std::net::TcpStream) -> String {
    use std::io::Read;
    let mut rest = Vec::new();
    // A reset is an end as well.
    if let Err(e) = stream.read_to_end(&mut rest) {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
    }
    String::from_utf8_lossy(&rest).into_owned()
}

// Guards against a request that is written after its attempt was cut: handed to its connection,
// kept or just up, but not written yet. Whether or not the attempt's task is ended with it.
#[test]
fn an_attempt_that_was_cut_before_it_was_written_never_is() {
    for (kept, dropped) in [(false, true), (false, false), (true, true), (true, false)] {
        let (worker, mut seen) = worker();
        let server = std::thread::spawn(move || {
            use std::io::Write;
            let mut stream = worker.accept();
            if kept {
                read_request(&mut stream);
                stream.write_all(done("a").as_bytes()).unwrap();
            }
            worker.at("there");
            rest(stream)
        });
        play(async {
            let hop = hop(&seen.address);
            if kept {
                assert_eq!(
                    Out::start(&hop, &job("a", 9), false).end().await,
                    served("a")
                );
                seen.told("there").await;
                settle().await;
            }
            let heard = Heard::default();
            let (branch, drive) = hop
                .attempt(&job("b", 9), terms(SOON, false), heard.clone())
                .unwrap();
            let mut drive = Box::pin(drive);
            assert!(!poll_once(&mut drive.as_mut()).await);
            if !kept {
                // It is up, and the runtime has not seen it.
                seen.told_while_deaf("there");
            }
            branch.abort();
            match dropped {
                true => drop(drive),
                // With nobody to end its task it ends by itself, and says nothing.
                false => timeout(SOON, drive).await.expect("no end"),
            }
            settle().await;
            seen.go();
            assert_eq!(heard.ends(), []);
        });
        assert_eq!(server.join().unwrap(), "", "{kept} {dropped}");
    }
}

/// A next hop whose connections don't come up, and its one connection that keeps others from that.
/// The system tries again a second later.
fn full() -> (std::net::TcpListener, std::net::TcpStream) {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = std::net::TcpListener::from(socket);
    let filler = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, filler)
}

// Guards against a connection that comes up too late: its attempt was cut, or its time was over.
// Nothing comes up for it any more, and nothing is written.
#[test]
fn a_connection_that_comes_up_too_late_carries_nothing() {
    for patience in [SOON, Duration::from_millis(100)] {
        let (listener, filler) = full();
        let address = listener.local_addr().unwrap().to_string();
        play(async {
            let hop = alone(
                &address,
                PoolSettings {
                    connect: patience,
                    idle: SOON,
                    probe: SOON,
                    most_idle: 2,
                },
            );
            let out = Out::start(&hop, &job("a", 9), false);
            settle().await;
            if patience == SOON {
                assert!(!out.task.is_finished());
                // As the shell does it.
                out.branch.abort();
                out.task.abort();
                assert!(out.task.await.unwrap_err().is_cancelled());
                assert!(out.ends.try_recv().is_err());
            } else {
                assert_eq!(out.end().await, (AttemptOutcome::ConnectFailed, None));
            }
            // Room for the next try of the system.
            drop(listener.accept().unwrap());
            drop(filler);
            let listener = tokio::net::TcpListener::from_std({
                listener.set_nonblocking(true).unwrap();
                listener
            })
            .unwrap();
            let late = timeout(Duration::from_millis(1_300), listener.accept()).await;
            assert!(late.is_err(), "it came up: {late:?}");
        });
    }
}

// Guards against a connection that is opened for an attempt which another one has served by then:
// it is kept, nothing is written on it meanwhile, and the next one in need of it has it.
#[test]
fn a_connection_that_comes_up_for_nobody_is_kept_and_silent() {
    use std::io::{Read, Write};
    let (listener, filler) = full();
    let address = listener.local_addr().unwrap().to_string();
    // The one that keeps others away has been given up: the first accepted is the first attempt's.
    let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let server = std::thread::spawn(move || {
        drop((listener.accept().unwrap(), filler));
        let mut first = listener.accept().unwrap().0;
        // Full again, for the second.
        let filler = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        read_request(&mut first);
        tell.send(()).unwrap();
        wait.recv().unwrap();
        first.write_all(done("a").as_bytes()).unwrap();
        read_request(&mut first);
        first.write_all(done("b").as_bytes()).unwrap();
        drop((listener.accept().unwrap(), filler));
        let mut late = listener.accept().unwrap().0;
        tell.send(()).unwrap();
        wait.recv().unwrap();
        late.set_nonblocking(true).unwrap();
        assert_eq!(
            late.read(&mut [0]).unwrap_err().kind(),
            std::io::ErrorKind::WouldBlock
        );
        late.set_nonblocking(false).unwrap();
        tell.send(()).unwrap();
        for stream in [&mut first, &mut late] {
            stream.set_read_timeout(Some(SOON)).unwrap();
        }
        let ids = [read_request(&mut first), read_request(&mut late)];
        for (stream, head) in [&mut first, &mut late].into_iter().zip(ids) {
            stream
                .write_all(done(if head.contains("x-txn: c") { "c" } else { "d" }).as_bytes())
                .unwrap();
        }
    });
    play(async {
        let hop = hop(&address);
        let a = Out::start(&hop, &job("a", 9), false);
        told.recv().await.unwrap();
        let b = Out::start(&hop, &job("b", 9), false);
        settle().await;
        go.send(()).unwrap();
        assert_eq!((a.end().await, b.end().await), (served("a"), served("b")));
        told.recv().await.unwrap();
        settle().await;
        go.send(()).unwrap();
        told.recv().await.unwrap();
        let (c, d) = (
            Out::start(&hop, &job("c", 9), false),
            Out::start(&hop, &job("d", 9), false),
        );
        assert_eq!((c.end().await, d.end().await), (served("c"), served("d")));
    });
    server.join().unwrap();
}

// Guards against a probe that is waited for without end, holds what comes in memory, or leaves its
// connection to be used again with its answer still to come.
#[test]
fn a_probe_without_end_is_over_in_time_and_its_connection_closed() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let silent = [
        "".to_owned(),
        head.into(),
        format!("{head}{}", chunk("{\"x0\":2}")),
    ];
    let endless = [
        format!("{head}{}", chunk("x0=2,")),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx".into(),
    ];
    for (text, floods) in silent
        .iter()
        .map(|t| (t, false))
        .chain(endless.iter().map(|t| (t, true)))
    {
        for given_up in [false, true] {
            let (worker, mut seen) = worker();
            let begin = text.clone();
            let server = std::thread::spawn(move || {
                use std::io::Write;
                let mut stream = worker.accept();
                read_request(&mut stream);
                stream.write_all(begin.as_bytes()).unwrap();
                worker.at("said it");
                let out = match floods {
                    true => flood(
                        &mut stream,
                        "",
                        if begin.contains("chunked") {
                            "1\r\nx\r\n"
                        } else {
                            "x"
                        },
                    ),
                    false => rest(stream).len(),
                };
                let mut stream = worker.accept();
                read_request(&mut stream);
                stream
                    .write_all(answer("200 OK", "x0=2").as_bytes())
                    .unwrap();
                out
            });
            play(async {
                // One that floods is cut off by its size, one that is given up by its end.
                let limit = if floods || given_up { SOON } else { PROBE };
                let pool = PoolSettings {
                    connect: SOON,
                    idle: SOON,
                    probe: limit,
                    most_idle: 2,
                };
                let hop = alone(&seen.address, pool);
                let mut probe = Box::pin(hop.check_health());
                if given_up {
                    while seen.told.try_recv().is_err() {
                        assert!(!poll_once(&mut probe.as_mut()).await);
                        settle().await;
                    }
                    seen.go();
                    drop(probe);
                } else {
                    seen.go();
                    let status = if floods {
                        Outcome::Success
                    } else {
                        Outcome::Timeout
                    };
                    assert_eq!(
                        timeout(SOON, probe).await.expect("no end"),
                        (status, None),
                        "{text}"
                    );
                }
                settle().await;
                let (status, report) = alone(
                    &seen.address,
                    PoolSettings {
                        probe: SOON,
                        ..pool
                    },
                )
                .check_health()
                .await;
                assert_eq!(
                    (status, report.unwrap().free_slots),
                    (Outcome::Success, Some(2.0)),
                    "{text}"
                );
            });
            assert!(server.join().unwrap() < BUFFERED, "{text}");
        }
    }
}

// Guards against a request that is written after its time to be, as the program stood still: to a
// next hop that drains by now, or after the window for its repeats; on a connection that comes up
// then, or on a kept one. It says nothing of the next hop.
#[test]
fn what_could_not_be_written_in_its_time_is_not_written_at_all() {
    use std::io::{ErrorKind, Read, Write};
    let each = |(kept, body)| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        // Long enough for the first one, and for a connection to come up once the runtime looks
        // again.
        let connect = Duration::from_secs(1);
        let hop = alone(
            &address,
            PoolSettings {
                connect,
                idle: SOON,
                probe: SOON,
                most_idle: 2,
            },
        );
        play(async {
            let mut stream = None;
            if kept {
                let other = listener.try_clone().unwrap();
                let answers = tokio::task::spawn_blocking(move || {
                    let mut accepted = other.accept().unwrap().0;
                    read_request(&mut accepted);
                    accepted.write_all(done("t0").as_bytes()).unwrap();
                    accepted
                });
                assert_eq!(
                    Out::start(&hop, &job("t0", body), false).end().await,
                    served("t0")
                );
                stream = Some(answers.await.unwrap());
                settle().await;
            }
            let late = Out::start(&hop, &job("t1", body), false);
            // Nothing runs meanwhile.
            std::thread::sleep(connect + LATE + Duration::from_millis(20));
            assert_eq!(
                late.end().await,
                (AttemptOutcome::NotSent, None),
                "{kept} {body}"
            );
            let mut stream = stream.unwrap_or_else(|| listener.accept().unwrap().0);
            stream.set_read_timeout(Some(SOON)).unwrap();
            let came = stream.read(&mut [0; 4096]);
            let nothing = matches!(&came, Ok(0))
                || came
                    .as_ref()
                    .is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
            assert!(nothing, "{kept} {body}: {came:?}");
        });
    };
    std::thread::scope(|scope| {
        for case in [(false, 0), (false, 9), (true, 0), (true, 9)] {
            scope.spawn(move || each(case));
        }
    });
}

const INTERIM: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
];

// Guards against a next hop that sends interim answers without end: they were skipped one by one
// for as long as the attempt or the probe lasted, half a second at a time in which nothing else
// went on. On a new connection and on a kept one.
#[test]
fn interim_answers_without_end_are_read_so_far_and_no_further() {
    for text in INTERIM {
        for kept in [false, true] {
            let (worker, seen) = worker();
            let server = std::thread::spawn(move || {
                use std::io::Write;
                let mut stream = worker.accept();
                if kept {
                    read_request(&mut stream);
                    stream.write_all(done("z").as_bytes()).unwrap();
                }
                read_request(&mut stream);
                let out = flood(&mut stream, "", text);
                // The probe.
                let mut stream = worker.accept();
                read_request(&mut stream);
                out.max(flood(&mut stream, "", text))
            });
            play(async {
                let hop = hop(&seen.address);
                if kept {
                    assert_eq!(
                        Out::start(&hop, &job("z", 9), false).end().await,
                        served("z")
                    );
                    settle().await;
                }
                let ending = if kept {
                    AttemptOutcome::IdleConnectionReset
                } else {
                    AttemptOutcome::Reset
                };
                assert_eq!(
                    Out::start(&hop, &job("a", 9), false).end().await,
                    (ending, None),
                    "{text}"
                );
                let probe = timeout(SOON, hop.check_health()).await.expect("no end");
                assert_eq!(probe, (Outcome::Reset, None), "{text}");
                settle().await;
            });
            let read = server.join().unwrap();
            assert!(read < BUFFERED, "{text}: {read}");
        }
    }
}

// Guards against a bound on interim answers that counts those of answers before, or what comes
// after the head: one connection serves the largest results, each after many interim answers.
#[test]
fn interim_answers_count_for_their_own_request_alone() {
    const REQUESTS: usize = 3;
    let (worker, mut seen) = worker();
    let interim: String = INTERIM.concat().repeat(8_000);
    let result = "\\u0000".repeat(64 << 10);
    let last = chunk(&format!(
        "{{\"id\":\"a\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
    )) + "0\r\n\r\n";
    assert!(interim.len() < 1 << 20 && interim.len() + last.len() > 1 << 20);
    let begin = interim + CHUNKED + &chunk("{\"id\":\"a\",\"state\":\"started\"}\n");
    let server = std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = worker.accept();
        for _ in 0..REQUESTS {
            read_request(&mut stream);
            stream.write_all(begin.as_bytes()).unwrap();
            worker.at("begun");
            stream.write_all(last.as_bytes()).unwrap();
        }
    });
    play(async {
        let hop = hop(&seen.address);
        for n in 0..REQUESTS {
            let heard = Heard::default();
            let (_, drive) = hop
                .attempt(&job("a", 9), terms(SOON, false), heard.clone())
                .unwrap();
            let task = tokio::spawn(drive);
            seen.told("begun").await;
            let begun = async {
                while heard.0.lock().unwrap().0.is_empty() {
                    assert!(!task.is_finished(), "{n}: {:?}", heard.ends());
                    tokio::task::yield_now().await;
                }
            };
            timeout(SOON, begun)
                .await
                .expect("the start is not heard of");
            seen.go();
            timeout(SOON, task).await.expect("no end").unwrap();
            let words: Vec<_> = heard.ends().iter().map(AttemptOutcome::as_str).collect();
            assert_eq!(words, ["served"], "{n}");
            settle().await;
        }
    });
    server.join().unwrap();
}
