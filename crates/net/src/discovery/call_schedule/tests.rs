//! Bounds of the call schedule, and a simulation of a fleet with an overloaded service.

use super::*;
use crate::discovery::call::SERVICE_TIMEOUT;
use crate::discovery::watcher::MESSAGE_TIMEOUT;
use std::collections::BTreeSet;

/// One millisecond in microseconds.
const MS: u64 = 1_000;
/// Timeout of a simulated call, in microseconds.
const CALL_TIMEOUT_US: u64 = 2_000 * MS;
/// When the fleet starts for the second time, in microseconds.
const RESTART_US: u64 = 60_000 * MS;

/// The result of a simulation.
struct SimulationResult {
    /// Time from each of the two starts until the last dispatcher was served, in microseconds.
    last_served: [u64; 2],
    /// The highest number of calls within one second.
    max_calls: usize,
}

/// Simulates a fleet that starts twice and a service that handles calls sequentially. Each call
/// takes `call_cost_us` of the service's time, also if it has timed out by then and is not served.
fn simulate(instances: usize, call_cost_us: u64) -> SimulationResult {
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
            free_at = free_at.max(now) + call_cost_us;
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
    SimulationResult {
        last_served,
        max_calls: max_calls.unwrap_or(0),
    }
}

/// Returns the longest delay after nine consecutive failures.
fn max_delay_after_failures(schedule: &mut CallSchedule) -> Duration {
    (0..9)
        .map(|_| schedule.next(Duration::ZERO, false, 1.0))
        .max()
        .unwrap_or_default()
}

// A fleet that retries faster than the service can respond would have all its calls time out, while
// the service spends its time on calls that have already failed.
#[test]
fn a_fleet_that_starts_at_once_is_served_by_an_overloaded_service() {
    let cases = [
        (100, 50 * MS, 10, 36),
        (100, 100 * MS, 30, 36),
        (300, 17 * MS, 10, 84),
    ];
    for (instances, call_cost_us, max_duration_s, max_expected_calls) in cases {
        let SimulationResult {
            last_served,
            max_calls,
        } = simulate(instances, call_cost_us);
        assert!(
            last_served
                .iter()
                .all(|&us| us < max_duration_s * 1_000 * MS),
            "{instances}, {call_cost_us}: {last_served:?}"
        );
        // At most a fifth of the fleet per second, plus a margin for random variation.
        assert!(
            max_calls <= max_expected_calls,
            "{instances}, {call_cost_us}: {max_calls} calls"
        );
    }
}

// Otherwise a dispatcher would count as notified that an endpoint is gone before its call
// completes, and would send requests to the endpoint.
#[test]
fn a_call_completes_before_its_result_counts_as_notified_for_any_fleet_size() {
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
                schedule.first_moved(1.0) + SERVICE_TIMEOUT <= MAX_NOTIFICATION_DELAY_AFTER_MOVE,
                "{instances}"
            );
            assert!(
                schedule.next(MIN_SUCCESSFUL_WATCH * 2, true, 1.0) + SERVICE_TIMEOUT
                    <= MAX_NOTIFICATION_DELAY,
                "{instances}"
            );
            // Changes that a silent watch does not send count as notified this long after its last
            // message. The window is not shorter because many watches can become silent together:
            // then more calls would fail and be repeated later.
            assert!(
                MESSAGE_TIMEOUT + schedule.next(MIN_SUCCESSFUL_WATCH * 2, false, 1.0)
                    <= MAX_NOTIFICATION_DELAY,
                "{instances}"
            );
            let after_failures = max_delay_after_failures(&mut schedule);
            assert!(
                max_poll_interval.is_zero()
                    || after_failures + SERVICE_TIMEOUT <= max_poll_interval * 4,
                "{instances}"
            );
        }
    }
}

// The changes that the agent holds count as notified as soon as the process starts, and the drain
// grace period is half a second, so there is no time to spread the calls of the fleet.
#[test]
fn an_agent_is_called_at_once_for_any_fleet_size() {
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
        let after_failures = max_delay_after_failures(&mut schedule);
        assert!(
            (MIN_DELAY..Duration::from_millis(250)).contains(&after_failures),
            "{after_failures:?}"
        );
        assert_eq!(
            schedule.next(MIN_SUCCESSFUL_WATCH * 2, false, 1.0),
            MIN_DELAY
        );
    }
    let polled = CallSchedule::from_settings(&settings("subscribe", 300));
    assert_eq!(
        polled.first(1.0),
        CallSchedule::new(300, Duration::from_secs(10)).first(1.0)
    );
}

#[test]
fn a_small_fleet_calls_again_at_once_and_delays_are_bounded() {
    for instances in [0, 1, 3] {
        let mut schedule = CallSchedule::new(instances, Duration::ZERO);
        assert!(schedule.first(1.0) <= Duration::from_millis(150));
        for _ in 0..40 {
            assert!(schedule.next(Duration::ZERO, false, 1.0) <= Duration::from_millis(1_250));
        }
        assert!(schedule.next(Duration::from_secs(3), false, 1.0) <= Duration::from_millis(200));
    }
    let mut largest_fleet = CallSchedule::new(usize::MAX, Duration::from_secs(10));
    assert!(largest_fleet.next(Duration::ZERO, false, 1.0) < Duration::MAX);
    let mut fleet = CallSchedule::new(300, Duration::from_secs(10));
    let delays: Vec<_> = (0..9)
        .map(|_| fleet.next(Duration::ZERO, false, 1.0))
        .collect();
    assert!(
        delays
            .iter()
            .all(|&delay| delay <= Duration::from_millis(10_050)),
        "{delays:?}"
    );
}
