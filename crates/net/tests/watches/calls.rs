//! When discovery is called, and what happens to calls and watches without an answer.

use crate::support::{Call, SOON, next_call, run_with_draws, settings, watcher};
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_test_support::{ScenarioRunner, endpoint_line as line, listing};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Settings that differ: the mode of discovery, the maximal poll interval in milliseconds, and the
/// number of dispatchers.
type Deployment = (&'static str, u64, usize);

const DEPLOYMENTS: [Deployment; 5] = [
    ("subscribe", 10_000, 1),
    ("subscribe", 2_000, 6),
    ("subscribe", 10_000, 300),
    ("automatic", 10_000, 6),
    ("automatic", 2_000, 300),
];

/// Runs this in all of the deployments at once.
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

// In its first second or later, or from its head on. How soon it is opened again follows from the
// call schedule, which has tests of its own.
#[test]
fn a_watch_that_falls_silent_is_opened_again_and_receives_what_it_missed() {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            in_all_deployments(|deployment, runner, discovery| {
                watch_falls_silent(deployment, runner, discovery, "");
            });
        });
        in_all_deployments(|deployment, runner, discovery| {
            watch_falls_silent(deployment, runner, discovery, "raw 1\\r\\n\\n\\r\\n");
        });
    });
}

fn watch_falls_silent(
    deployment: Deployment,
    mut runner: ScenarioRunner,
    discovery: TcpListener,
    last_sent: &str,
) {
    // The first calls of a large fleet come over some seconds.
    let mut watch = next_call(&discovery, SOON).unwrap();
    watch.peer.send("200");
    if !last_sent.is_empty() {
        watch.peer.send(last_sent);
    }
    let silent_since = Instant::now();
    // Before that, an agent is called again if the test was late with the head; and beside a call,
    // if it was late with the next.
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
    assert!(!calls.is_empty(), "{deployment:?}: no further call comes");
    assert!(!watch.is_open(), "{deployment:?}: the silent watch is kept");
    runner.wait_until_listed("w1", "Draining");
    assert!(calls.iter_mut().any(Call::is_open));
}

// The agent is silent while discovery is down, and what it has counts as notified the moment it is
// back: a call that it accepted before must not delay the next one. Whichever of the two is
// answered first counts.
#[test]
fn an_agent_that_left_a_call_unanswered_is_called_beside_it() {
    for answered in [0, 1] {
        let mut runner = ScenarioRunner::with_settings(
            &["w1", "discovery"],
            None,
            &settings("automatic", 10_000, 300),
        );
        let discovery = runner.take_listener("discovery");
        let drained = format!("+ {}", listing(2, false, &[line("w1", 1, "draining")]));
        // Each time but the last the test may be suspended until both are over.
        let was_received = (0..9).any(|_| {
            let mut calls = [
                next_call(&discovery, SOON).unwrap(),
                next_call(&discovery, SOON).unwrap(),
            ];
            let beside = calls[0].is_open();
            calls[answered].peer.send("200");
            calls[answered].peer.send(&drained);
            beside && calls[answered].is_open()
        });
        assert!(
            was_received,
            "the first call was over before the second came, each time"
        );
        runner.wait_until_listed("w1", "Draining");
    }
}

// A call that times out after 2.5 s lasts as long as a watch that was served, but is none.
#[test]
fn callers_of_a_discovery_that_hangs_back_off() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    // Of 20, each draws from a second at first, and from two after a failure.
    let (watcher, mut updates) = watcher(&discovery, 20);
    let begun = Instant::now();
    run_with_draws(watcher, &[0.05, 0.95]);
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
    // At first no more than 0.15 s, the call's timeout, and then less than 1.05 s or more than
    // 1.75 s.
    assert!(
        begun.elapsed() > Duration::from_millis(4_200),
        "{:?}",
        begun.elapsed()
    );
}

// A process of a large fleet must not reject requests while it waits for its turn to call.
#[test]
fn a_waiting_request_brings_the_first_call_forward() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (watcher, _updates) = watcher(&discovery, 300);
    watcher.demand.notify_one();
    // A turn of 4.75 s, and one of 0.1 s for a request that waits.
    run_with_draws(watcher, &[0.95, 0.2]);
    let begun = Instant::now();
    next_call(&discovery, SOON).unwrap();
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "{:?}",
        begun.elapsed()
    );
}
