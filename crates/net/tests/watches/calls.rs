//! The timing of calls to discovery, and calls and watches that are not answered.

use crate::support::{Call, SOON, next_call, run_with_random_numbers, settings, watcher};
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_test_support::{ScenarioRunner, endpoint_line as line, listing};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The settings that differ between deployments: the discovery mode, the maximum poll interval in
/// milliseconds, and the number of dispatchers.
type Deployment = (&'static str, u64, usize);

const DEPLOYMENTS: [Deployment; 5] = [
    ("subscribe", 10_000, 1),
    ("subscribe", 2_000, 6),
    ("subscribe", 10_000, 300),
    ("automatic", 10_000, 6),
    ("automatic", 2_000, 300),
];

/// Runs a test for all deployments in parallel.
fn in_all_deployments(test: fn(Deployment, ScenarioRunner, TcpListener)) {
    let tests = DEPLOYMENTS.map(|deployment| {
        std::thread::spawn(move || {
            let settings = settings(deployment.0, deployment.1, deployment.2);
            let mut runner = ScenarioRunner::with_settings(&["w1", "discovery"], None, &settings);
            let discovery = runner.take_listener("discovery");
            test(deployment, runner, discovery);
        })
    });
    for test in tests {
        test.join().unwrap();
    }
}

// The watch sends nothing after the response head, or nothing after one empty line. The delay
// before it is reopened is covered by the tests of the call schedule.
#[test]
fn a_silent_watch_is_reopened_and_receives_missed_changes() {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            in_all_deployments(|deployment, runner, discovery| {
                reopen_silent_watch(deployment, runner, discovery, "");
            });
        });
        in_all_deployments(|deployment, runner, discovery| {
            reopen_silent_watch(deployment, runner, discovery, "raw 1\\r\\n\\n\\r\\n");
        });
    });
}

fn reopen_silent_watch(
    deployment: Deployment,
    mut runner: ScenarioRunner,
    discovery: TcpListener,
    last_sent: &str,
) {
    // In a large fleet the first call may be delayed by several seconds.
    let mut watch = next_call(&discovery, SOON).unwrap();
    watch.peer.send("200");
    if !last_sent.is_empty() {
        watch.peer.send(last_sent);
    }
    let silent_since = Instant::now();
    // An agent is also called again if the test was late with a response head. Calls in the first
    // two seconds are therefore ignored, and all later ones are answered.
    let calls = std::thread::spawn(move || {
        let drained = format!("+ {}", listing(2, false, &[line("w1", 1, "draining")]));
        let mut calls = Vec::new();
        while let Some(mut call) = next_call(&discovery, SOON) {
            if silent_since.elapsed() > Duration::from_secs(2) {
                call.peer.send("200");
                call.peer.send(&drained);
                calls.push(call);
                break;
            }
        }
        while let Some(mut call) = next_call(&discovery, Duration::from_secs(1)) {
            call.peer.send("200");
            call.peer.send(&drained);
            calls.push(call);
        }
        calls
    });
    let mut calls = calls.join().unwrap();
    assert!(
        !calls.is_empty(),
        "{deployment:?}: no further call was made"
    );
    assert!(
        !watch.is_open(),
        "{deployment:?}: the silent watch is still open"
    );
    runner.wait_until_listed("w1", "Draining");
    assert!(calls.iter_mut().any(Call::is_open));
}

// An agent does not respond while discovery is down, and its changes count as notified as soon as
// it recovers, so an unanswered call must not delay the next one. The first of the parallel calls
// that is answered counts.
#[test]
fn an_agent_with_an_unanswered_call_is_called_in_parallel() {
    for answered in [0, 1] {
        let mut runner = ScenarioRunner::with_settings(
            &["w1", "discovery"],
            None,
            &settings("automatic", 10_000, 300),
        );
        let discovery = runner.take_listener("discovery");
        let drained = format!("+ {}", listing(2, false, &[line("w1", 1, "draining")]));
        // Repeated, because the test may be suspended until both calls have timed out.
        let was_received = (0..9).any(|_| {
            let mut calls = [
                next_call(&discovery, SOON).unwrap(),
                next_call(&discovery, SOON).unwrap(),
            ];
            let first_was_open = calls[0].is_open();
            calls[answered].peer.send("200");
            calls[answered].peer.send(&drained);
            first_was_open && calls[answered].is_open()
        });
        assert!(
            was_received,
            "the first call always ended before the second was made"
        );
        runner.wait_until_listed("w1", "Draining");
    }
}

// A call that times out after 2.5 s takes as long as a successful watch, but must count as a
// failure.
#[test]
fn calls_to_a_discovery_service_that_hangs_back_off() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    // In a fleet of 20, the window of random delays is 1 s at first and 2 s after a failure.
    let (watcher, mut updates) = watcher(&discovery, 20);
    let started = Instant::now();
    run_with_random_numbers(watcher, &[0.05, 0.95]);
    let _unanswered = next_call(&discovery, SOON).unwrap();
    let lost = updates.blocking_recv().unwrap();
    assert_eq!(
        (lost.source, lost.update),
        (
            EndpointSource::Discovery,
            EndpointListUpdate::Lost(LeaseSignal::CallFailed)
        )
    );
    next_call(&discovery, SOON).unwrap();
    // The first delay is at most 0.15 s and the timeout of the call 2.5 s. The second delay is more
    // than 1.75 s with back-off, and less than 1.05 s without.
    assert!(
        started.elapsed() > Duration::from_millis(4_200),
        "{:?}",
        started.elapsed()
    );
}

// A process in a large fleet must not reject requests while its first call is delayed.
#[test]
fn a_waiting_request_brings_the_first_call_forward() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (watcher, _updates) = watcher(&discovery, 300);
    watcher.demand.notify_one();
    // A first delay of 4.75 s, and one of 0.1 s for a waiting request.
    run_with_random_numbers(watcher, &[0.95, 0.2]);
    let started = Instant::now();
    next_call(&discovery, SOON).unwrap();
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "{:?}",
        started.elapsed()
    );
}
