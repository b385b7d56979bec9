//! Repeats over connections on loopback: which jobs are sent again, and which responses their
//! clients get.

use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_net::config::SocketBudget;
use pumiceway_net::upstream::PoolSettings;
use pumiceway_test_support::ScenarioRunner;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One class for each kind of repeat semantics. The deduplication window is as short as in any
/// deployment, and the connect timeout is half of it.
const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"look","aim-us":3000000,"deadline-us":3000000,"points":1.0,"semantics":"read_like"},
    {"name":"put","aim-us":3000000,"deadline-us":3000000,"points":2.0,"semantics":"idempotency_key",
     "dedup-scope":"all","window-us":800000},
    {"name":"pay","aim-us":3000000,"deadline-us":3000000,"points":3.0,"semantics":"non_idempotent"}],
  "limits":{"most-tries":3,"cancel":true,"second-copies":false,"retry-after":true,"max-retry-after-us":2000000,
    "connect-timeout-us":400000,"conn-idle-us":15000000},"rules":{}}"#;

/// A request of the class `put`, which has idempotency keys.
fn put(id: &str) -> String {
    format!(
        r"raw POST /put/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 2900\r\nIdempotency-Key: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}

// A job with an idempotency key would run twice if its repeat were started within the deduplication
// window, but its connection were established after the window. The endpoint ends the first attempt
// when too little of the window is left.
#[test]
fn repeat_that_might_arrive_after_the_deduplication_window_is_not_sent() {
    // Early in the window the repeat is sent. This window is long enough for slow machines.
    let long_window = SETTINGS.replace("\"window-us\":800000", "\"window-us\":20000000");
    let mut runner = ScenarioRunner::with_settings(&["w1", "w2"], None, &long_window);
    runner.continue_with(&format!(
        "c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t1",
        put("t1")
    ));
    std::thread::sleep(Duration::from_millis(500));
    runner.continue_with(
        "a close\n w2 wait b\n b expect POST /put/k x-txn:\\x20t1\n b send done 1\n c expect 200 1",
    );
    let mut runner = ScenarioRunner::with_settings(&["w1", "w2"], None, SETTINGS);
    runner.continue_with(&format!(
        "c send {}\n w1 wait a\n a expect POST /put/k x-txn:\\x20t2",
        put("t2")
    ));
    std::thread::sleep(Duration::from_millis(500));
    // The client of t2 is told to retry, and the next request that w2 receives is t3.
    runner.continue_with(&format!(
        "a close\n c expect 503 retry-after\n d send {}\n w2 wait b\n b expect POST /put/k x-txn:\\x20t3
         b send done 3\n d expect 200 3",
        put("t3")
    ));
}

// The decision logic relies on the connect timeout that the connections use, so both must derive
// the same value from the settings.
#[test]
fn decisions_and_connections_have_the_same_connect_timeout() {
    let sockets = SocketBudget {
        inbound: 8,
        spare: 2,
        outbound: 64,
    };
    for (configured_us, drain_grace_us, expected_us) in [
        (250_000, 0, 250_000),
        (0, 0, 1_000_000),
        (0, 500_000, 250_000),
        (1_000_000, 100_000, 50_000),
        (250_000, 500_000, 250_000),
        (200_000, 500_000, 200_000),
    ] {
        let text = SETTINGS
            .replace(
                "\"connect-timeout-us\":400000",
                &format!("\"connect-timeout-us\":{configured_us}"),
            )
            .replace(
                "\"rules\":{}",
                &format!("\"rules\":{{\"drain-grace-us\":{drain_grace_us}}}"),
            );
        let settings: DeploymentSettings = serde_json::from_str(&text).unwrap();
        assert_eq!(
            PoolSettings::new(&settings, &sockets).connect_timeout,
            Duration::from_micros(expected_us)
        );
        assert_eq!(
            settings.to_settings().unwrap().connect_timeout,
            Duration::from_micros(expected_us)
        );
    }
}

// Guards against a client being served the result of another client's open request, whose id and
// content it had sent. Without a response within its 3 s, it would break the rule too.
#[test]
fn the_id_of_an_open_request_is_rejected_on_another_connection_and_its_owner_is_served() {
    for path in ["pay", "look", "put"] {
        for (headers, remaining) in [("", 2_900), ("", 300), ("X-Org: x\\r\\n", 2_900)] {
            let send = |id: &str, headers: &str, remaining| {
                format!(
                    r"raw POST /{path}/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: {remaining}\r\nIdempotency-Key: k\r\n{headers}Content-Length: 1\r\n\r\nx"
                )
            };
            let mut runner = ScenarioRunner::with_settings(&["w1", "w2"], None, SETTINGS);
            runner.continue_with(&format!(
                "c send {}\n w1 wait a\n a expect POST /{path}/k t1
                 d send {}\n d expect 409\n d expect end",
                send("t1", "", 2_900),
                send("t1", headers, remaining)
            ));
            // Longer than the remaining time of the second client.
            std::thread::sleep(Duration::from_millis(400));
            runner.continue_with("a send done 1\n c expect 200 1");
        }
    }
}

// Gearman's coalescing by unique id does not extend to the ids of requests: the id that a job is given
// stands for this submission, on both frontends.
#[test]
fn the_id_of_an_open_gearman_job_is_rejected_over_http() {
    let mut runner = ScenarioRunner::with_settings(&[], None, SETTINGS);
    runner.continue_with(
        "gw send [CAN_DO pay]
         gw send [PRE_SLEEP]
         g1 send [SUBMIT_JOB pay||x]
         g1 expect [JOB_CREATED $h]
         gw expect [NOOP]
         gw send [GRAB_JOB_UNIQ]
         gw expect [JOB_ASSIGN_UNIQ $b|pay|$id|x]
         c send POST /pay/$id $id 2900 x
         c expect 409
         gw send [WORK_COMPLETE $b|paid]
         g1 expect [WORK_COMPLETE $h|paid]",
    );
}

// The client closes its first connection, and the attempt is aborted, before the client sends the
// request again. Only an idempotent job may run again.
#[test]
fn request_that_is_sent_again_after_its_abort_runs_only_if_idempotent() {
    for (path, is_idempotent) in [("pay", false), ("look", true)] {
        let mut runner = ScenarioRunner::with_settings(&["w1", "w2"], None, SETTINGS);
        let send = |id: &str| format!("POST /{path}/k {id} 2900 x");
        runner.continue_with(&format!(
            "c send {}\n w1 wait a\n a expect POST /{path}/k t1\n c close\n a expect end\n d send {}",
            send("t1"),
            send("t1")
        ));
        let id = if is_idempotent {
            "t1"
        } else {
            runner.continue_with(&format!("d expect 502\n d send {}", send("t2")));
            "t2"
        };
        runner.continue_with(&format!(
            "w1 wait b\n b expect POST /{path}/k {id}\n b send done 1\n d expect 200 1"
        ));
    }
}

// A request that is received during the shutdown and finds no endpoint must not fail, because its
// client may retry it at another dispatcher.
#[test]
fn request_that_finds_no_endpoint_during_shutdown_is_shed_with_retry_after() {
    // The requests have the longest deadline that a shutdown waits for. The frontend closes 2 s
    // after the shutdown has begun, so the test may be late by most of that.
    let mut runner = ScenarioRunner::with_settings(&[], None, SETTINGS);
    runner.request_stop();
    std::thread::sleep(Duration::from_millis(700));
    runner.continue_with(
        "c send POST /pay/k t1 3000 x\n d send POST /look/k t2 3000 x
         c expect 503 retry-after\n d expect 503 retry-after\n c close\n d close",
    );
    runner.wait_for_exit();
}

/// A listener with a full backlog, and the connections that fill it. If they are dropped, another
/// connection is established when its client retransmits the SYN after one second.
fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
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
    let backlog = std::iter::from_fn(connect).collect();
    (listener, backlog)
}

/// The addresses of all started attempts, according to the log of this process.
static ATTEMPT_ADDRESSES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// A log subscriber that collects [`ATTEMPT_ADDRESSES`].
struct AttemptLog;

impl tracing::Subscriber for AttemptLog {
    fn enabled(&self, metadata: &tracing::Metadata<'_>) -> bool {
        metadata.target() == "pumiceway_net::event_loop::effects"
    }

    fn new_span(&self, _: &tracing::span::Attributes<'_>) -> tracing::span::Id {
        tracing::span::Id::from_u64(1)
    }

    fn record(&self, _: &tracing::span::Id, _: &tracing::span::Record<'_>) {}

    fn record_follows_from(&self, _: &tracing::span::Id, _: &tracing::span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let (mut is_attempt, mut address) = (false, String::new());
        event.record(
            &mut |field: &tracing::field::Field, value: &dyn std::fmt::Debug| match field.name() {
                "message" => is_attempt = format!("{value:?}") == "attempt starts",
                "endpoint" => address = format!("{value:?}"),
                _ => {}
            },
        );
        if is_attempt {
            ATTEMPT_ADDRESSES.lock().unwrap().push(address);
        }
    }

    fn enter(&self, _: &tracing::span::Id) {}

    fn exit(&self, _: &tracing::span::Id) {}
}

// If an endpoint starts to drain while a connection to it is being established, the connection must
// not carry a request after the drain grace period. The backlog of the endpoint is full, and is
// emptied once the dispatcher has received the draining state.
#[test]
fn nothing_is_written_on_a_connection_established_after_the_drain_grace() {
    tracing::subscriber::set_global_default(AttemptLog).unwrap();
    for drain_grace_us in [100_000, 500_000] {
        let settings = SETTINGS
            .replace(
                "\"connect-timeout-us\":400000",
                "\"connect-timeout-us\":1500000",
            )
            .replace(
                "\"rules\":{}",
                // With polling, the dispatcher would wait for a call that the test answers late.
                &format!(
                    "\"rules\":{{\"drain-grace-us\":{drain_grace_us}}},\"discovery\":\"subscribe\""
                ),
            );
        let mut runner = ScenarioRunner::with_settings(&["discovery"], None, &settings);
        let (listener, backlog) = listener_with_full_backlog();
        let port = listener.local_addr().unwrap().port();
        let list = |version, status| {
            format!(
                r#"d send + {{"index":{version},"snapshot":{},"endpoints":[{{"name":"w9","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}]}}"#,
                version == 2
            )
        };
        runner.continue_with(&format!(
            "discovery wait d\n d expect GET /api/targets\n d send 200\n {}",
            list(2, "ready")
        ));
        runner.wait_until_listed("w9", "Ready");
        runner.continue_with("c send POST /look/k t1 2900 x");
        let start = Instant::now();
        let address = format!("127.0.0.1:{port}");
        while !ATTEMPT_ADDRESSES.lock().unwrap().contains(&address) {
            assert!(
                start.elapsed() < Duration::from_secs(8),
                "no attempt is sent"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        // The connection is still being established when the event loop has handled the next list.
        runner.continue_with(&list(3, "draining"));
        runner.wait_until_listed("w9", "Draining");
        drop(backlog);
        // A connection that is established within the grace period may be used, but the kernel
        // retransmits the SYN only after a second.
        listener.set_nonblocking(true).unwrap();
        let end = Instant::now() + Duration::from_millis(1_400);
        while Instant::now() < end {
            if let Ok((mut stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(300)))
                    .unwrap();
                let mut bytes = [0; 256];
                let read = stream.read(&mut bytes).unwrap_or(0);
                assert_eq!(
                    read,
                    0,
                    "grace {drain_grace_us}: {:?}",
                    String::from_utf8_lossy(&bytes[..read])
                );
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
