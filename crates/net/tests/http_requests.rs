//! HTTP requests of clients on loopback, from the request line to the response.

use pumiceway_test_support::{SETTINGS, ScenarioRunner};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn a_request_is_served_by_an_endpoint() {
    ScenarioRunner::run(
        &["w1"],
        "c send POST /rate-push/k7?x=1 t1 5000 prices
         w1 wait a
         a expect POST /rate-push/k7?x=1 t1 prices
         a send done 42
         c expect 200 42
         # The connections on both sides are reused.
         c send POST /booking-import/k7 t2 5000 booking
         a expect POST /booking-import/k7 t2 booking
         a send done 43
         c expect 200 43",
    );
}

#[test]
fn malformed_requests_reach_no_endpoint() {
    ScenarioRunner::run(
        &["w1"],
        r"c1 send POST /unknown/k t1 5000 x
          c1 expect 400 class
          c1 expect end
          c2 send POST /rate-push/k bad!id 5000 x
          c2 expect 400 X-Txn
          c3 send POST /rate-push/k t1 soon x
          c3 expect 400 X-Remaining-Ms
          c4 send raw POST /rate-push/k HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nContent-Length: 0\r\n\r\n
          c4 expect 400 X-Remaining-Ms
          c5 send raw POST /rate-push/k HTTP/1.1\r\nHost: x\r\nX-Remaining-Ms: 500\r\nContent-Length: 0\r\n\r\n
          c5 expect 400 X-Txn
          c6 send raw GET /rate-push/k HTTP/1.1\r\nHost: x\r\n\r\n
          c6 expect 405
          c7 send raw GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n
          c7 expect 404
          c8 send raw GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n
          c8 expect 200
          c8 send raw POST /rate-push/k HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 500\r\nContent-Length: 70000\r\n\r\n
          c8 expect 413
          c8 expect end
          # The first request that the endpoint receives is the well-formed one.
          d send POST /rate-push/k t9 5000 x
          w1 wait a
          a expect POST /rate-push/k t9
          a send done 1
          d expect 200 1",
    );
}

// An ambiguous request may hide another one after it or in its body, and the dispatcher and an
// endpoint may resolve contradictory headers differently.
#[test]
fn ambiguous_requests_are_rejected_and_their_connections_closed() {
    let valid_headers = r"X-Txn: t1\r\nX-Remaining-Ms: 5000\r\n";
    let hidden_request = r"POST /rate-push/k HTTP/1.1\r\nX-Txn: t2\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
    let mut script = String::new();
    for (n, (path, lines, body)) in [
        (
            "k",
            r"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            r"0\r\n\r\n",
        ),
        ("k", r"Content-Length: 1\r\nContent-Length: 1\r\n", "x"),
        ("k", r"Content-Length: 1\r\n", "x"),
        ("k", r"X-Txn: t3\r\nContent-Length: 0\r\n", ""),
        (
            "k",
            r"X-Lane: rate-push\r\nX-Lane: booking-import\r\nContent-Length: 0\r\n",
            "",
        ),
        ("k", r"X-Remaining-Ms: 7000\r\nContent-Length: 0\r\n", ""),
        ("k#x", r"Content-Length: 0\r\n", ""),
        ("k", r"Content-Length: -1\r\n", ""),
    ]
    .into_iter()
    .enumerate()
    {
        script += &format!(
            "c{n} send raw POST /rate-push/{path} HTTP/1.1\\r\\n{valid_headers}{lines}\\r\\n{body}{hidden_request}
             c{n} expect 400
             c{n} expect end\n"
        );
    }
    script += "d send POST /rate-push/k t9 5000 x
               w1 wait a
               a expect POST /rate-push/k t9
               a send done 1
               d expect 200 1";
    ScenarioRunner::run(&["w1"], &script);
}

// Partial requests must not occupy connections for long, but a client may pause between two
// requests. An early 413 must not be discarded by a reset.
#[test]
fn the_request_timeout_is_short_and_the_idle_timeout_long() {
    let start = std::time::Instant::now();
    let mut runner = ScenarioRunner::run(
        &["w1"],
        r"s send raw P
          t send raw POST /rate-push/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nContent-Length: 9\r\n\r\nx
          u send raw POST /rate-push/k HTTP/1.1\r\nX-Txn: t2\r\nX-Remaining-Ms: 5000\r\nContent-Length: 60000000\r\n\r\n
          k send raw GET /-/ready HTTP/1.1\r\n\r\n
          k expect 200",
    );
    runner.continue_with(&format!(
        "u send raw {}\nu expect 413\nu expect end\n",
        "x".repeat(1 << 20)
    ));
    // The requests of `s` and `t` cannot have timed out yet.
    assert!(
        start.elapsed() < Duration::from_millis(1_700),
        "{:?}",
        start.elapsed()
    );
    runner.continue_with(
        r"s expect 408
          s expect end
          t expect 408
          t expect end",
    );
    // The next longer timeout is 10 s. The exact times are covered by `http_connections`, whose
    // tests control the clock.
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
    runner.continue_with(
        r"k send raw GET /-/ready HTTP/1.1\r\n\r\n
          k expect 200",
    );
}

#[test]
fn connections_over_the_limit_get_an_overload_response() {
    let settings = format!(r#"{SETTINGS},"limits":{{"sockets":320}}"#);
    let runner = ScenarioRunner::with_settings(&["w1"], None, &settings);
    let partial_request = b"POST /rate-push/k HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\nx";
    // More clients than there are permits: 65 connections are served, and 14 permits are spare.
    let clients: Vec<_> = (0..160)
        .map(|_| {
            let mut client = TcpStream::connect(runner.http).unwrap();
            client.write_all(partial_request).unwrap();
            client
        })
        .collect();
    let mut overloaded = 0;
    for mut client in clients {
        let mut response = Vec::new();
        // The connection may be reset after the response, because the rest of the request is not
        // read.
        let _ = client.read_to_end(&mut response);
        let response = String::from_utf8_lossy(&response);
        let is_overload =
            response.starts_with("HTTP/1.1 503") && response.contains("retry-after: 1\r\n");
        assert!(
            is_overload || response.starts_with("HTTP/1.1 408"),
            "{response:?}"
        );
        overloaded += usize::from(is_overload);
    }
    assert!(overloaded >= 84, "{overloaded}");
}

// The overload response is sent at once and has a Retry-After header.
#[test]
fn a_request_to_a_fully_loaded_fleet_gets_an_overload_response() {
    let settings = SETTINGS.replacen("\"deadline-us\"", "\"wait-us\":300000,\"deadline-us\"", 1);
    let mut runner = ScenarioRunner::with_settings(&["w1"], None, &settings);
    runner.continue_with(
        "c send POST /rate-push/k t1 5000 x
         w1 wait a
         a expect POST /rate-push/k t1
         a send 200
         a send + {\"id\":\"t1\",\"from\":\"w1\",\"state\":\"started\"}
         d send POST /rate-push/k t2 5000 x
         d expect 503 retry-after:
         a send + {\"id\":\"t1\",\"from\":\"w1\",\"state\":\"done\",\"result\":\"5\"}
         a send .
         c expect 200 5",
    );
}
