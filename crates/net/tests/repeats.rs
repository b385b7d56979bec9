//! Repeats on real connections: what is sent again, what is not, and what its client is told.

use pumiceway_net::config::Sockets;
use pumiceway_net::hop::Keeping;
use pumiceway_rig::Stage;
use std::time::Duration;

/// A class of each effect; a window as short as they come, of which a connection may take a part to come up.
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

// Guards against a keyed job that runs twice: its repeat is decided within the window, and the connection that it
// goes on may come up after it. The next hop holds the first attempt until the time that is left is too short.
#[test]
fn a_repeat_that_might_arrive_after_the_window_is_not_sent() {
    let mut stage = Stage::with_settings(&["w1", "w2"], None, SHORT);
    // Early in the window it is.
    stage.go_on(&format!(
        "c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t1\n a close
         w2 wait b\n b expect POST /put/k x-txn:\\x20t1\n b send done 1\n c expect 200 1",
        put("t1")
    ));
    let mut stage = Stage::with_settings(&["w1", "w2"], None, SHORT);
    stage.go_on(&format!("c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t2", put("t2")));
    std::thread::sleep(Duration::from_millis(500));
    // Its client is told that it may try again, and the next thing on w2 is another one's job.
    stage.go_on(&format!(
        "a close\n c expect 503 retry-after\n d send {}\n w2 wait b\n b expect POST /put/k x-txn:\\x20t3
         b send done 3\n d expect 200 3",
        put("t3")
    ));
}

// Guards against a bound that those who open connections and those who decide work out each for themselves.
#[test]
fn decisions_and_connections_go_by_one_bound() {
    let sockets = Sockets { inbound: 8, spare: 2, idle: 64 };
    for (timeout, grace, bound) in [
        (250_000, 0, 250_000),
        (0, 0, 1_000_000),
        (0, 500_000, 250_000),
        (1_000_000, 100_000, 50_000),
        (250_000, 500_000, 250_000),
        (200_000, 500_000, 200_000),
    ] {
        let text = SHORT
            .replace("\"connect-timeout-us\":400000", &format!("\"connect-timeout-us\":{timeout}"))
            .replace("\"rules\":{}", &format!("\"rules\":{{\"drain-grace-us\":{grace}}}"));
        let conf: pumiceway_decisions::settings::Conf = serde_json::from_str(&text).unwrap();
        assert_eq!(Keeping::new(&conf, &sockets).connect, Duration::from_micros(bound));
        assert_eq!(conf.settings().unwrap().connect_timeout, bound);
    }
}

fn pay(id: &str) -> String {
    format!("POST /pay/k {id} 2900 x")
}

// Guards against a client that comes again on a new connection while its first request is open, and is turned down or
// has its job run twice. What another client sent after it has reached a next hop, so it has been heard.
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

// Guards against a job that runs twice as its client comes again after its first connection was found closed: the
// next hop has seen the branch called off by then. One that may run again does.
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
        stage.go_on(&format!("w1 wait b\n b expect POST /{path}/k {id}\n b send done 1\n d expect 200 1"));
    }
}

// Guards against a request that came after the call to stop, found no next hop, and is answered as if it had failed.
#[test]
fn what_finds_no_next_hop_before_a_stop_ends_is_refused_with_advice() {
    let mut stage = Stage::with_settings(&[], None, &SHORT.replace("3000000", "2000000"));
    stage.stop();
    std::thread::sleep(Duration::from_millis(700));
    stage.go_on(
        "c send POST /pay/k t1 2000 x\n d send POST /look/k t2 2000 x
         c expect 503 retry-after\n d expect 503 retry-after\n c close\n d close",
    );
    stage.ended();
}
