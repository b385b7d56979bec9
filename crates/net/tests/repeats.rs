//! Repeats on real connections: what is sent again, what is not, and what its client is told.

use pumiceway_net::config::Sockets;
use pumiceway_net::upstream::PoolSettings;
use pumiceway_test_support::Stage;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A class of each effect; a window as short as they come, of which a connection may take a part to
/// come up.
const SHORT: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"look","aim-us":3000000,"deadline-us":3000000,"points":1.0,"semantics":"read_like"},
    {"name":"put","aim-us":3000000,"deadline-us":3000000,"points":2.0,"semantics":"idempotency_key",
     "dedup-scope":"all","window-us":800000},
    {"name":"pay","aim-us":3000000,"deadline-us":3000000,"points":3.0,"semantics":"non_idempotent"}],
  "limits":{"most-tries":3,"cancel":true,"second-copies":false,"retry-after":true,"max-retry-after-us":2000000,
    "connect-timeout-us":400000,"conn-idle-us":15000000},"rules":{}}"#;

fn put(id: &str) -> String {
    format!(
        r"raw POST /put/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 2900\r\nIdempotency-Key: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}

// Guards against a keyed job that runs twice: its repeat is decided within the window, and the
// connection that it goes on may come up after it. The next hop holds the first attempt until the
// time that is left is too short.
#[test]
fn a_repeat_that_might_arrive_after_the_window_is_not_sent() {
    // Early in a window it is: this one is so long that it is early however late we are.
    let long = SHORT.replace("\"window-us\":800000", "\"window-us\":20000000");
    let mut stage = Stage::with_settings(&["w1", "w2"], None, &long);
    stage.go_on(&format!(
        "c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t1",
        put("t1")
    ));
    std::thread::sleep(Duration::from_millis(500));
    stage.go_on(
        "a close\n w2 wait b\n b expect POST /put/k x-txn:\\x20t1\n b send done 1\n c expect 200 1",
    );
    let mut stage = Stage::with_settings(&["w1", "w2"], None, SHORT);
    stage.go_on(&format!(
        "c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t2",
        put("t2")
    ));
    std::thread::sleep(Duration::from_millis(500));
    // Its client is told that it may try again, and the next thing on w2 is another one's job.
    stage.go_on(&format!(
        "a close\n c expect 503 retry-after\n d send {}\n w2 wait b\n b expect POST /put/k x-txn:\\x20t3
         b send done 3\n d expect 200 3",
        put("t3")
    ));
}

// Guards against a bound that those who open connections and those who decide work out each for
// themselves.
#[test]
fn decisions_and_connections_go_by_one_bound() {
    let sockets = Sockets {
        inbound: 8,
        spare: 2,
        outbound: 64,
    };
    for (timeout, grace, bound) in [
        (250_000, 0, 250_000),
        (0, 0, 1_000_000),
        (0, 500_000, 250_000),
        (1_000_000, 100_000, 50_000),
        (250_000, 500_000, 250_000),
        (200_000, 500_000, 200_000),
    ] {
        let text = SHORT
            .replace(
                "\"connect-timeout-us\":400000",
                &format!("\"connect-timeout-us\":{timeout}"),
            )
            .replace(
                "\"rules\":{}",
                &format!("\"rules\":{{\"drain-grace-us\":{grace}}}"),
            );
        let conf: pumiceway_decisions::settings::DeploymentSettings =
            serde_json::from_str(&text).unwrap();
        assert_eq!(
            PoolSettings::new(&conf, &sockets).connect,
            Duration::from_micros(bound)
        );
        assert_eq!(
            conf.settings().unwrap().connect_timeout,
            Duration::from_micros(bound)
        );
    }
}

fn pay(id: &str) -> String {
    format!("POST /pay/k {id} 2900 x")
}

// Guards against a client that comes again on a new connection while its first request is open, and
// is turned down or has its job run twice. What another client sent after it has reached a next
// hop, so it has been heard.
#[test]
fn the_same_request_on_a_second_connection_gets_the_answer_of_the_first() {
    for leaves in [false, true] {
        let mut stage = Stage::with_settings(&["w1", "w2"], None, SHORT);
        stage.go_on(&format!(
            "c send {}\n w1 wait a\n a expect POST /pay/k t1\n d send {}
             e send {}\n w2 wait b\n b expect POST /pay/k t2",
            pay("t1"),
            pay("t1"),
            pay("t2")
        ));
        if leaves {
            stage.go_on("c close");
        }
        stage.go_on("a send done 1\n d expect 200 1\n b send done 2\n e expect 200 2");
        if !leaves {
            stage.go_on("c expect 200 1");
        }
    }
}

// Guards against a job that runs twice as its client comes again after its first connection was
// found closed: the next hop has seen the branch called off by then. One that may run again does.
#[test]
fn a_request_that_comes_again_after_it_was_called_off_runs_only_where_it_may() {
    for (path, again) in [("pay", false), ("look", true)] {
        let mut stage = Stage::with_settings(&["w1", "w2"], None, SHORT);
        let send = |id: &str| format!("POST /{path}/k {id} 2900 x");
        stage.go_on(&format!(
            "c send {}\n w1 wait a\n a expect POST /{path}/k t1\n c close\n a expect end\n d send {}",
            send("t1"),
            send("t1")
        ));
        let id = match again {
            true => "t1",
            false => {
                stage.go_on(&format!("d expect 502\n d send {}", send("t2")));
                "t2"
            }
        };
        stage.go_on(&format!(
            "w1 wait b\n b expect POST /{path}/k {id}\n b send done 1\n d expect 200 1"
        ));
    }
}

// Guards against a request that came after the call to stop, found no next hop, and is answered as
// if it had failed.
#[test]
fn what_finds_no_next_hop_before_a_stop_ends_is_refused_with_advice() {
    // The longest deadline that a stop heeds: the front closes 2 s after the call, and we may be
    // late by most of that.
    let mut stage = Stage::with_settings(&[], None, SHORT);
    stage.stop();
    std::thread::sleep(Duration::from_millis(700));
    stage.go_on(
        "c send POST /pay/k t1 3000 x\n d send POST /look/k t2 3000 x
         c expect 503 retry-after\n d expect 503 retry-after\n c close\n d close",
    );
    stage.ended();
}

/// A listener whose queue is full: a connection to it comes up a second later, if the queue is
/// emptied meanwhile.
fn full() -> (TcpListener, Vec<TcpStream>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        socket.listen(0).unwrap().into_std().unwrap()
    });
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let queue = std::iter::from_fn(connect).collect();
    (listener, queue)
}

/// The next hops that branches went out to, in this process. What is seen of a connection lasts 50
/// ms here.
static OUT: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Listens to the log for them.
struct Branches;

impl tracing::Subscriber for Branches {
    fn enabled(&self, of: &tracing::Metadata<'_>) -> bool {
        of.target() == "pumiceway_net::event_loop::effects"
    }

    fn new_span(&self, _: &tracing::span::Attributes<'_>) -> tracing::span::Id {
        tracing::span::Id::from_u64(1)
    }

    fn record(&self, _: &tracing::span::Id, _: &tracing::span::Record<'_>) {}

    fn record_follows_from(&self, _: &tracing::span::Id, _: &tracing::span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let (mut out, mut hop) = (false, String::new());
        event.record(
            &mut |field: &tracing::field::Field, value: &dyn std::fmt::Debug| match field.name() {
                "message" => out = format!("{value:?}") == "attempt sent",
                "endpoint" => hop = format!("{value:?}"),
                _ => {}
            },
        );
        if out {
            OUT.lock().unwrap().push(hop);
        }
    }

    fn enter(&self, _: &tracing::span::Id) {}

    fn exit(&self, _: &tracing::span::Id) {}
}

// Guards against a request that is written to a next hop long after it was told to drain, as its
// connection was on its way then: the queue of the next hop is full, and is emptied once it has
// been told.
#[test]
fn nothing_is_written_on_a_connection_that_comes_up_after_the_grace() {
    tracing::subscriber::set_global_default(Branches).unwrap();
    for grace in [100_000, 500_000] {
        let settings = SHORT
            .replace(
                "\"connect-timeout-us\":400000",
                "\"connect-timeout-us\":1500000",
            )
            .replace(
                "\"rules\":{}",
                // Where lists are asked for, a call that we are slow to answer is waited for.
                &format!("\"rules\":{{\"drain-grace-us\":{grace}}},\"discovery\":\"subscribe\""),
            );
        let mut stage = Stage::with_settings(&["discovery"], None, &settings);
        let (listener, queue) = full();
        let port = listener.local_addr().unwrap().port();
        let line = |index, status| {
            format!(
                r#"d send + {{"index":{index},"snapshot":{},"endpoints":[{{"name":"w9","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}]}}"#,
                index == 2
            )
        };
        stage.go_on(&format!(
            "discovery wait d\n d expect GET /api/targets\n d send 200\n {}",
            line(2, "ready")
        ));
        stage.until_listed("w9", "Ready");
        stage.go_on("c send POST /look/k t1 2900 x");
        let (begin, address) = (Instant::now(), format!("127.0.0.1:{port}"));
        while !OUT.lock().unwrap().contains(&address) {
            assert!(
                begin.elapsed() < Duration::from_secs(8),
                "no branch goes out"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        // What the loop hears of next tells that its connection is on its way by then.
        stage.go_on(&line(3, "draining"));
        stage.until_listed("w9", "Draining");
        drop(queue);
        // What comes up within the grace may be used; the system tries again after a second.
        listener.set_nonblocking(true).unwrap();
        let end = Instant::now() + Duration::from_millis(1_400);
        while Instant::now() < end {
            if let Ok((mut stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(300)))
                    .unwrap();
                let mut part = [0; 256];
                let read = stream.read(&mut part).unwrap_or(0);
                assert_eq!(
                    read,
                    0,
                    "grace {grace}: {:?}",
                    String::from_utf8_lossy(&part[..read])
                );
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
