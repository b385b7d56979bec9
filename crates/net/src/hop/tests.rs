use super::*;

// Guards against a branch that waits for a connection past the grace of a drain, and against writing to a
// connection that the other side may have dropped.
#[test]
fn waits_for_connections_stay_within_the_grace_and_idle_ones_close_early() {
    let text = |grace: u64| {
        format!(
            r#"{{"lanes":[],"limits":{{"most-tries":1,"connect-timeout-us":250000,"conn-idle-us":15000000}},
            "rules":{{"drain-grace-us":{grace}}}}}"#
        )
    };
    let keeping = |grace| {
        let sockets = Sockets { inbound: 1, spare: 1, idle: 320 };
        Keeping::new(&serde_json::from_str(&text(grace)).unwrap(), &sockets)
    };
    assert_eq!(keeping(500_000).connect, Duration::from_millis(250));
    assert_eq!(keeping(100_000).connect, Duration::from_millis(50));
    assert_eq!(keeping(0).connect, Duration::from_millis(250));
    assert_eq!(keeping(0).idle, Duration::from_secs(10));
    assert_eq!(keeping(500_000).probe, Duration::from_millis(500));
}

// Guards against a site whose connections may take a second: each probe that opened one was over before it.
#[test]
fn a_probe_is_waited_for_longer_than_its_connection_may_take() {
    let text = r#"{"lanes":[],"limits":{"most-tries":1,"connect-timeout-us":1000000},"rules":{}}"#;
    let sockets = Sockets { inbound: 1, spare: 1, idle: 320 };
    let keeping = Keeping::new(&serde_json::from_str(text).unwrap(), &sockets);
    assert!(keeping.probe > keeping.connect, "{keeping:?}");
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
struct Ends(std::sync::mpsc::Sender<(Ending, Option<Report>)>);

impl Teller for Ends {
    fn news(&self, _: News) {}

    fn ended(&mut self, ending: Ending, report: Option<Report>) {
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
        (line("done"), Ending::Served(Bytes::new())),
        (line("failed"), Ending::Error),
        (line("returned"), Ending::TurnedAway),
        (line("lost"), Ending::Reset),
        (head("503 X\r\nX-Turned-Away: 1"), Ending::TurnedAway),
        (head("504 X\r\nX-Turned-Away: 1"), Ending::TurnedAway),
        (head("500 X"), Ending::Error),
    ];
    let texts: Vec<String> = answers.iter().map(|(text, _)| format!("HTTP/1.1 {text}")).collect();
    let server = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        for text in texts {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    let (tell, ends) = std::sync::mpsc::channel();
    let limit = Duration::from_secs(2);
    let keeping = Keeping { connect: limit, idle: limit, probe: limit, most_idle: 2 };
    let report = Report {
        in_flight: Some(7.0),
        waiting: Some(2.0),
        free_slots: Some(3.0),
        free_memory: Some(4.0),
        rate: Some(5.0),
        busy: Some(0.61),
    };
    let job = Job { id: "t".into(), path: "/c".into(), repeat_key: None, body: Bytes::new() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let hop = Hop::new(&address, keeping);
        for (text, ending) in answers {
            let (_branch, drive) = hop.branch(&job, limit, false, Ends(tell.clone())).unwrap();
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
        let read = |stream: &mut std::net::TcpStream| assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":2}";
        let mut kept = listener.accept().unwrap().0;
        read(&mut kept);
        kept.write_all(answer).unwrap();
        read(&mut kept);
        drop(kept);
        let mut fresh = listener.accept().unwrap().0;
        read(&mut fresh);
        fresh.write_all(answer).unwrap();
    });
    let (connect, idle) = (Duration::from_secs(2), Duration::from_secs(2));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let hop = Hop::new(&address, Keeping { connect, idle, probe: PROBE, most_idle: 2 });
        for _ in 0..2 {
            let (status, report) = hop.probe().await;
            assert_eq!((status, report.and_then(|r| r.free_slots)), (Status::Ok, Some(2.0)));
        }
    });
    server.join().unwrap();
}
