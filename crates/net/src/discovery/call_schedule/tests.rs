//! Bounds of the call schedule, and a simulated fleet beside an overloaded service.

use super::*;
use crate::discovery::call::SERVICE_TIMEOUT;
use crate::discovery::watcher::SILENCE_TIMEOUT;
use std::collections::BTreeSet;

/// A millisecond in microseconds.
const MS: u64 = 1_000;
/// How long a call waits for the service before it has failed, in microseconds.
const CALL_TIMEOUT_US: u64 = 2_000 * MS;
/// When the second start of the fleet begins, in microseconds.
const RESTART_US: u64 = 60_000 * MS;

/// What a simulation has shown.
struct Simulation {
    /// How long each of the two starts took until the last dispatcher was served, in microseconds.
    last_served: [u64; 2],
    /// The highest number of calls within a second.
    max_calls: usize,
}

/// A fleet that starts twice, beside a service that works through its calls in turn. Each call
/// takes `work` µs, and one that waits for longer than its timeout is not served.
fn simulate(instances: usize, work: u64) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut schedules = vec![CallSchedule::new(instances, Duration::from_secs(10)); instances];
    let (mut last_served, mut calls, mut free_at) = ([0; 2], Vec::new(), 0u64);
    for (start, last_served) in last_served.iter_mut().enumerate() {
        let begins = start as u64 * RESTART_US;
        let mut due: BTreeSet<(u64, usize)> = (schedules.iter().enumerate())
            .map(|(index, schedule)| {
                let wait = schedule.first(rng.f64()).as_micros() as u64;
                (begins + wait, index)
            })
            .collect();
        while let Some((now, index)) = due.pop_first() {
            calls.push(now);
            free_at = free_at.max(now) + work;
            if free_at - now <= CALL_TIMEOUT_US {
                *last_served = (*last_served).max(free_at - begins);
                schedules[index].next(Duration::from_secs(30), true, 0.0);
                continue;
            }
            let wait = schedules[index].next(Duration::from_secs(2), false, rng.f64());
            due.insert((now + CALL_TIMEOUT_US + wait.as_micros() as u64, index));
            assert!(
                now < begins + RESTART_US,
                "some dispatchers are never served"
            );
        }
    }
    let calls_in_second = |from: u64| {
        calls
            .iter()
            .filter(|&&call| call >= from && call < from + 1_000 * MS)
            .count()
    };
    let max_calls = calls.iter().map(|&call| calls_in_second(call)).max();
    Simulation {
        last_served,
        max_calls: max_calls.unwrap_or(0),
    }
}

/// The longest wait after nine failures in a row.
fn longest_wait_after_failures(schedule: &mut CallSchedule) -> Duration {
    (0..9)
        .map(|_| schedule.next(Duration::ZERO, false, 1.0))
        .max()
        .unwrap_or_default()
}

// A fleet that called again faster than it is served would have all its calls time out while their
// work is done for nobody.
#[test]
fn a_fleet_that_starts_at_once_is_served_by_an_overloaded_service() {
    let cases = [
        (100, 50 * MS, 10, 36),
        (100, 100 * MS, 30, 36),
        (300, 17 * MS, 10, 84),
    ];
    for (instances, work, within_s, at_most) in cases {
        let Simulation {
            last_served,
            max_calls,
        } = simulate(instances, work);
        assert!(
            last_served.iter().all(|&us| us < within_s * 1_000 * MS),
            "{instances}, {work}: {last_served:?}"
        );
        // A fifth of the fleet in a second, and what comes on top by chance.
        assert!(
            max_calls <= at_most,
            "{instances}, {work}: {max_calls} calls"
        );
    }
}

// Otherwise a dispatcher would count as notified that an endpoint has gone before it has called,
// and send to it.
#[test]
fn a_call_is_over_before_its_result_counts_as_notified_whatever_the_size_of_the_fleet() {
    for instances in [0, 1, 3, 60, 100, 300, 10_000, usize::MAX] {
        for max_poll_interval in [
            Duration::ZERO,
            Duration::from_secs(10),
            Duration::from_secs(30),
        ] {
            let mut schedule = CallSchedule::new(instances, max_poll_interval);
            assert!(
                max_poll_interval.is_zero()
                    || schedule.first(1.0) + SERVICE_TIMEOUT <= max_poll_interval,
                "{instances}"
            );
            assert!(
                schedule.first_moved(1.0) + SERVICE_TIMEOUT <= NOTIFIED_AFTER_MOVE,
                "{instances}"
            );
            assert!(
                schedule.next(SERVED_AFTER * 2, true, 1.0) + SERVICE_TIMEOUT <= NOTIFIED_AFTER,
                "{instances}"
            );
            // What a silent watch misses counts as notified this long after its last message. Where
            // many are silent at once the call waits for its turn: from a shorter span, more calls
            // would fail and come again later.
            assert!(
                SILENCE_TIMEOUT + schedule.next(SERVED_AFTER * 2, false, 1.0) <= NOTIFIED_AFTER,
                "{instances}"
            );
            let after_failures = longest_wait_after_failures(&mut schedule);
            assert!(
                max_poll_interval.is_zero()
                    || after_failures + SERVICE_TIMEOUT <= max_poll_interval * 4,
                "{instances}"
            );
        }
    }
}

// What the agent has counts as notified from the first moment of a new process on, and the grace of
// a drain is half a second: there is no time for a turn among the fleet.
#[test]
fn an_agent_is_called_at_once_however_large_the_fleet() {
    let settings = |discovery: &str, instances: usize| -> DeploymentSettings {
        let text = format!(
            r#"{{"lanes":[],"limits":{{"most-tries":1}},"rules":{{"ask-within-us":10000000}},
            "discovery":"{discovery}","n-instances":{instances}}}"#
        );
        serde_json::from_str(&text).unwrap()
    };
    for instances in [1, 3, 300, 10_000] {
        let mut schedule = CallSchedule::from_settings(&settings("automatic", instances));
        assert_eq!(
            (schedule.first(1.0), schedule.first_moved(1.0)),
            (Duration::ZERO, Duration::ZERO)
        );
        let after_failures = longest_wait_after_failures(&mut schedule);
        assert!(
            (MIN_WAIT..Duration::from_millis(250)).contains(&after_failures),
            "{after_failures:?}"
        );
        assert_eq!(schedule.next(SERVED_AFTER * 2, false, 1.0), MIN_WAIT);
    }
    let polled = CallSchedule::from_settings(&settings("subscribe", 300));
    assert_eq!(
        polled.first(1.0),
        CallSchedule::new(300, Duration::from_secs(10)).first(1.0)
    );
}

#[test]
fn a_small_site_calls_again_at_once_and_waits_are_bounded() {
    for instances in [0, 1, 3] {
        let mut schedule = CallSchedule::new(instances, Duration::ZERO);
        assert!(schedule.first(1.0) <= Duration::from_millis(150));
        for _ in 0..40 {
            assert!(schedule.next(Duration::ZERO, false, 1.0) <= Duration::from_millis(1_250));
        }
        assert!(schedule.next(Duration::from_secs(3), false, 1.0) <= Duration::from_millis(200));
    }
    let mut vast = CallSchedule::new(usize::MAX, Duration::from_secs(10));
    assert!(vast.next(Duration::ZERO, false, 1.0) < Duration::MAX);
    let mut fleet = CallSchedule::new(300, Duration::from_secs(10));
    let waits: Vec<_> = (0..9)
        .map(|_| fleet.next(Duration::ZERO, false, 1.0))
        .collect();
    assert!(
        waits
            .iter()
            .all(|&wait| wait <= Duration::from_millis(10_050)),
        "{waits:?}"
    );
}
