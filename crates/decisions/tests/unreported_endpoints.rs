//! Fleets with more dispatchers than endpoints and without health checks, where a dispatcher has no
//! recent load report from most endpoints.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::time::Duration;

/// Slots of each endpoint.
const SLOTS: f64 = 3.0;

/// Number of endpoints that have not reported, besides the one that has.
const UNREPORTED_COUNT: usize = 7;

/// The host of one of 30 dispatchers. It got a load report from one endpoint only, a minute ago.
fn dispatcher_host(slots: f64) -> TestHost {
    let settings = Settings {
        instance_count: 30,
        health_checks: false,
        hedging: false,
        reports_start: true,
        progress_interval: Duration::ZERO,
        ..settings(Idempotency::Idempotent)
    };
    let mut host = TestHost::new(settings, &[entry(0, 0)], slots);
    let unreported: Vec<_> = (1..=UNREPORTED_COUNT as u32)
        .map(|number| entry(number, 0))
        .collect();
    host.update_endpoints(ListKind::Delta, &unreported);
    host.now += 60_000 * MS;
    host
}

/// Submits a request every 50 ms and returns how many attempts are sent. If `starts` is set, each
/// attempt starts and succeeds at once; otherwise none does.
fn count_sent(host: &mut TestHost, request_count: usize, starts: bool) -> usize {
    let mut sent_count = 0;
    for _ in 0..request_count {
        let mut actions = host.arrive(0, 1.0).1;
        for _ in 0..5 {
            for action in std::mem::take(&mut actions) {
                let Action::Send {
                    request, endpoint, ..
                } = action
                else {
                    continue;
                };
                sent_count += 1;
                if starts {
                    actions.extend(host.attempt_started(request, 0, endpoint.0));
                    actions.extend(host.attempt_succeeded(request, endpoint.0, 40 * MS));
                }
            }
            host.now += 10 * MS;
            actions.extend(host.handle(Event::TimerFired));
        }
    }
    sent_count
}

/// In a burst, endpoints without a load report must not be taken for idle while no request starts:
/// their queues would fill up. After a while, requests are sent again.
#[test]
fn requests_that_do_not_start_count_against_endpoints_that_have_not_reported() {
    let mut host = dispatcher_host(SLOTS);
    let burst = count_sent(&mut host, UNREPORTED_COUNT, false);
    assert!((1..=3).contains(&burst), "{burst}");
    // The queues may be empty by now, so the next request is sent.
    host.advance(5_000 * MS, &[]);
    assert_eq!(count_sent(&mut host, 1, true), 1);
}

/// While every request starts at once, no request is held back from an endpoint without a report.
#[test]
fn all_requests_are_sent_while_they_start_at_once() {
    for slots in [1.0, 2.0, SLOTS, 20.0] {
        let mut host = dispatcher_host(slots);
        assert_eq!(count_sent(&mut host, 200, true), 200, "{slots}");
    }
}

/// If all endpoints that have reported are full, the others are not taken for idle.
#[test]
fn load_reports_count_for_endpoints_that_have_not_reported() {
    let mut host = dispatcher_host(SLOTS);
    assert!(sent_to(&host.arrive(0, 1.0).1).is_some());
    let full = LoadReport {
        free_slots: Some(0.0),
        queued: Some(9.0),
        ..LoadReport::default()
    };
    for _ in 0..30 {
        host.now += 20 * MS;
        host.health_checked(0, Outcome::Success, Some(full));
    }
    let (_, actions) = host.arrive(0, 1.0);
    assert_eq!(sent_to(&actions), None);
}
