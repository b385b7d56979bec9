//! Slow start: how many requests an endpoint gets whose process has just started.

mod common;
use common::*;
use pumiceway_decisions::api::*;

/// Dispatchers do not communicate, so the share that each one computes must not add up to an
/// overload.
#[test]
fn four_hundred_dispatchers_together_stay_within_the_slow_start_budget() {
    let mut sent_count = 0;
    for instance_index in 0..400 {
        let mut settings = settings(Idempotency::Idempotent);
        settings.instance_index = instance_index;
        settings.instance_count = 400;
        let starting = EndpointEntry {
            started_at: START.saturating_sub(4_000 * MS),
            ..entry(0, 0)
        };
        let mut host = TestHost::new(settings, &[starting], 8.0);
        sent_count += host.submit_many(3).iter().flatten().count();
    }
    // Overload: 3 x 0.65 x 8 slots for 2 s, at 200 ms per request, are 156 requests.
    assert!((40..=156).contains(&sent_count), "{sent_count}");
}

#[test]
fn endpoint_too_slow_for_the_objective_gets_nothing_until_slow_start_is_over() {
    let starting = EndpointEntry {
        started_at: START.saturating_sub(MS),
        ..entry(0, 0)
    };
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[starting, entry(1, 1)],
        8.0,
    );
    assert_eq!(host.submit_many(1), [Some(1)]);
    host.now += 8_000 * MS;
    assert_eq!(host.submit_many(1), [Some(0)], "slow start is over");
}

#[test]
fn endpoint_that_was_down_is_in_slow_start_before_the_list_says_so() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let (request, _) = host.submit(0, 1.0);
    host.attempt_finished(request, 0, 0, Outcome::ConnectFailed);
    host.handle(Event::HealthChecked(HealthCheckResult {
        endpoint: EndpointId(0),
        outcome: Outcome::Timeout,
        latency: 100 * MS,
        report: None,
    }));
    host.advance(600 * MS, &[1]);
    host.advance(4_200 * MS, &[0, 1]);
    assert_eq!(
        host.submit_many(1),
        [Some(1)],
        "responsive again, and in slow start"
    );
    host.advance(9_000 * MS, &[0, 1]);
    assert_eq!(host.submit_many(1), [Some(0)]);
}

/// Slow start limits neither an endpoint that skips it nor any endpoint where the settings define
/// no overload. Other endpoints get few requests at first.
#[test]
fn endpoint_that_skips_slow_start_or_cannot_be_overloaded_is_not_limited() {
    for (skips_slow_start, overload_multiple, expected) in
        [(true, 3.0, 20), (false, 0.0, 20), (false, 3.0, 1)]
    {
        let mut settings = settings_without_reports(Idempotency::Idempotent);
        settings.overload_multiple = overload_multiple;
        settings.slow_start_share = 0.13;
        let mut host = TestHost::new(settings, &[], 1.0);
        let started = EndpointEntry {
            started_at: host.now,
            skips_slow_start,
            max_concurrent: Some(100),
            ..entry(0, 0)
        };
        host.update_endpoints(ListKind::Snapshot, &[started]);
        let sent_count = host.submit_many(20).into_iter().flatten().count();
        assert!(
            if expected == 20 {
                sent_count == 20
            } else {
                sent_count <= 5
            },
            "{skips_slow_start} {overload_multiple}: {sent_count}"
        );
    }
}
