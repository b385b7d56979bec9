//! The watch of discovery by a whole dispatcher, with valid and malformed responses, on loopback.

use pumiceway_test_support::{SETTINGS, ScenarioRunner};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Starts a dispatcher that polls discovery, with a long poll interval, and runs a scenario. The
/// dispatcher waits for slow responses without making another call.
fn runner_with_long_poll_interval(endpoints: &[&str], script: &str) -> ScenarioRunner {
    let rules = r#""rules":{"ask-within-us":10000000},"discovery":"subscribe""#;
    let settings = SETTINGS.replacen(r#""rules":{}"#, rules, 1);
    let mut runner = ScenarioRunner::with_settings(endpoints, None, &settings);
    runner.continue_with(script);
    runner
}

// A draining endpoint receives no jobs, and the dispatcher recovers from a malformed line.
#[test]
fn the_watch_is_followed_and_survives_malformed_lines() {
    runner_with_long_poll_interval(
        &["w1", "w2", "discovery"],
        r#"discovery wait d
           d expect GET /api/targets?stream=1&index=1
           d send 200
           d send + nonsense
           discovery wait e
           e expect GET /api/targets !stream
           e send json {"index":5,"snapshot":false,"endpoints":[{"name":"w1","address":"127.0.0.1:1","zone":"z","type":"k","status":"draining"}]}
           discovery wait f
           f expect GET /api/targets?stream=1&index=5
           f send 200
           c send POST /rate-push/k t1 5000 x
           w2 wait a
           a expect POST /rate-push/k t1
           a send done 1
           c expect 200 1"#,
    );
}

#[test]
fn after_any_failure_of_discovery_the_list_stays_and_the_call_is_retried() {
    let draining =
        r#"{"name":"w1","address":"127.0.0.1:1","zone":"z","type":"k","status":"draining"}"#;
    let older = format!(r#"d send + {{"index":0,"snapshot":false,"endpoints":[{draining}]}}"#);
    let other_zone = draining
        .replace(r#""z""#, r#""elsewhere""#)
        .replace("w1", "w9");
    let unknown = format!(
        "d send + {{\"index\":2,\"snapshot\":false,\"endpoints\":[{other_zone}]}}\n d close"
    );
    let failures = [
        (
            "d send raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n",
            "1",
        ),
        ("d close", "1"),
        ("d send raw nonsense\\r\\n\\r\\n", "1"),
        ("d send 200\n d close", "1"),
        (
            "d send 200\n d send + {\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n d send .",
            "1",
        ),
        (&format!("d send 200\n {unknown}"), "2"),
    ];
    // Jobs are not sent before the list is confirmed.
    let confirmed = "e send 200\n e send + {\"index\":2,\"snapshot\":false,\"endpoints\":[]}";
    let listed = "e send json {\"index\":2,\"snapshot\":false,\"endpoints\":[]}";
    let served = "c send POST /rate-push/k t1 5000 x
        w1 wait a
        a expect POST /rate-push/k t1
        a send done 1
        c expect 200 1";
    for (response, index) in failures {
        let next_call =
            format!("discovery wait e\n e expect GET /api/targets?stream=1&index={index}");
        let first_call = "discovery wait d\n d expect GET /api/targets?stream=1&index=1";
        runner_with_long_poll_interval(
            &["w1", "discovery"],
            &format!("{first_call}\n {response}\n {next_call}\n {confirmed}\n {served}"),
        );
    }
    // After a malformed delta, or one that is older than the list, the dispatcher requests a
    // snapshot.
    for response in ["d send + {\"index\":\"x\"}", "d send + []", &older] {
        let first_call =
            "discovery wait d\n d expect GET /api/targets?stream=1&index=1\n d send 200";
        let next_call = "discovery wait e\n e expect GET /api/targets !stream";
        runner_with_long_poll_interval(
            &["w1", "discovery"],
            &format!("{first_call}\n {response}\n {next_call}\n {listed}\n {served}"),
        );
    }
}

#[test]
fn a_watch_whose_line_never_ends_is_closed() {
    let mut runner = runner_with_long_poll_interval(
        &["discovery"],
        "discovery wait d
         d expect GET /api/targets?stream=1&index=1
         d send 200",
    );
    let closed = Arc::new(AtomicBool::new(false));
    let stop = closed.clone();
    let sender = runner.send_slowly("d", Duration::from_millis(100), move || {
        stop.load(Ordering::Relaxed)
    });
    runner.continue_with("discovery wait e\n e expect GET /api/targets?stream=1&index=1");
    closed.store(true, Ordering::Relaxed);
    sender.join().unwrap();
}

// The watch at the old address stays open until the service at the new address has sent a list.
#[test]
fn a_reload_moves_the_watch_once_a_snapshot_was_received() {
    let mut runner = runner_with_long_poll_interval(
        &["w1", "w2", "discovery", "discovery2"],
        "discovery wait d
         d expect GET /api/targets?stream=1&index=1
         d send 200",
    );
    let line = |endpoint: &str, port: u16, status: &str| {
        format!(
            r#"{{"name":"{endpoint}","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}"#
        )
    };
    let w2 = runner.listener_port("w2");
    // Reload twice, because signals may arrive close together: only one watch must be opened.
    runner.reload("discovery2");
    runner.reload("discovery2");
    let (drains, ready) = (line("w1", 1, "draining"), line("w2", w2, "ready"));
    runner.continue_with(&format!(
        r#"discovery2 wait e
           e expect GET /api/targets !stream
           # The old watch is still in use: its delta drains w1.
           d send + {{"index":2,"snapshot":false,"endpoints":[{drains}]}}"#
    ));
    runner.wait_until_listed("w1", "Draining");
    runner.continue_with(&format!(
        r#"e send json {{"index":8,"snapshot":true,"endpoints":[{ready}]}}
           discovery2 wait g
           g expect GET /api/targets?stream=1&index=8
           g send 200
           d expect end
           c send POST /rate-push/k t1 5000 x
           w2 wait a
           a expect POST /rate-push/k t1
           a send done 1
           c expect 200 1
           g send + {{"index":9,"snapshot":false,"endpoints":[{}]}}"#,
        line("w2", w2, "draining")
    ));
    runner.wait_until_listed("w1", "Gone");
    runner.wait_until_listed("w2", "Draining");
}
