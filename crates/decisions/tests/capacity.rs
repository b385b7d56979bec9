//! Capacity: the estimated free capacity of an endpoint, and which requests are sent to it.

mod common;
use common::*;
use pumiceway_decisions::api::*;

#[test]
fn request_needs_both_free_slots_and_free_memory() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        2.0,
    );
    let mut submit = |number: u64, slots: f64, memory: f64| {
        sent_to(&host.handle(Event::RequestArrived(IncomingRequest {
            request: RequestId(number),
            class: ClassId(0),
            function: None,
            remaining: 5_000 * MS,
            slots,
            memory,
            work_hint: None,
            tenant: None,
            affinity_key: None,
        })))
    };
    assert_eq!(submit(100, 1.0, 1.5), Some(0));
    assert_eq!(
        submit(101, 1.0, 1.5),
        Some(1),
        "the first endpoint has a free slot, but no memory"
    );
}

#[test]
fn reported_requests_in_flight_reveal_a_queue_that_free_slots_hide() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        2.0,
    );
    for round in 0..5 {
        host.now += 1_000 * MS;
        let report = Some(LoadReport {
            free_slots: Some(1.9),
            in_flight: Some(9.0 + f64::from(round)),
            ..LoadReport::default()
        });
        host.health_checked(0, Outcome::Success, report);
    }
    assert_eq!(host.submit_many(1), [Some(1)]);
}

#[test]
fn rejecting_endpoint_is_avoided_for_a_while_and_the_request_is_sent_to_another() {
    let mut host = TestHost::new(
        settings(Idempotency::NonIdempotent),
        &[entry(0, 0), entry(1, 0)],
        2.0,
    );
    let (request, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), Some(0));
    assert_eq!(
        sent_to(&host.attempt_finished(request, 0, 0, Outcome::Rejected)),
        Some(1)
    );
    assert_eq!(host.submit_many(1), [Some(1)]);
    host.advance(1_100 * MS, &[0, 1]);
    assert_eq!(host.submit_many(1), [Some(0)]);
}

/// If load reports stay unchanged for seconds, they are not refreshed often. A single report of
/// free slots then changes the estimate little, and the request is sent to the next endpoint.
#[test]
fn unchanged_load_reports_get_less_weight() {
    // Two dispatchers; all reports show a full endpoint, except for the last one.
    let endpoint_after = |repeats: bool| {
        let mut settings = settings(Idempotency::Idempotent);
        settings.instance_count = 2;
        let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0), entry(2, 0)], 4.0);
        for round in 0..60 {
            host.now += 400 * MS;
            let free_slots = if repeats {
                0.0
            } else {
                f64::from(round) * 0.001
            };
            host.report_free(0, free_slots);
        }
        host.now += 400 * MS;
        host.report_free(0, 4.0);
        host.report_free(1, 4.0);
        sent_to(&host.submit(0, 1.0).1)
    };
    assert_ne!(endpoint_after(true), endpoint_after(false));
}

/// Without reports, nothing corrects the initial estimate of the use by other dispatchers. It must
/// not keep requests from an idle endpoint, not even with a latency objective without stretch.
#[test]
fn idle_endpoint_that_never_reports_gets_the_first_request_at_once() {
    for (latency_objective, max_concurrent) in [(500, None), (500, Some(1)), (20, None)] {
        let mut settings = settings_without_reports(Idempotency::Idempotent);
        settings.classes[0].latency_objective = latency_objective * MS;
        settings.classes[0].objective_stretch = 0.0;
        let mut host = TestHost::new(settings, &[], 1.0);
        host.update_endpoints(
            ListKind::Snapshot,
            &[EndpointEntry {
                max_concurrent,
                ..entry(0, 0)
            }],
        );
        let (first, actions) = host.submit(0, 1.0);
        assert_eq!(
            sent_to(&actions),
            Some(0),
            "objective {latency_objective} ms"
        );
        host.attempt_succeeded(first, 0, MS);
        assert_eq!(
            sent_to(&host.submit(0, 4.0).1),
            Some(0),
            "a large request, objective {latency_objective} ms"
        );
    }
}

/// A request above the limit would be rejected, and the endpoint would then get no requests for a
/// second.
#[test]
fn endpoint_without_a_queue_gets_no_more_requests_than_its_concurrency_limit() {
    let mut settings = settings_without_reports(Idempotency::NonIdempotent);
    settings.classes[0].max_queue_time = Some(5_000 * MS);
    let mut host = TestHost::new(settings, &[], 1.0);
    host.update_endpoints(
        ListKind::Snapshot,
        &[EndpointEntry {
            max_concurrent: Some(2),
            ..entry(0, 0)
        }],
    );
    assert_eq!(host.submit_many(3), [Some(0), Some(0), None]);
    assert_eq!(
        sent_to(&host.attempt_succeeded(RequestId(0), 0, 20 * MS)),
        Some(0)
    );
    assert_eq!(sent_to(&host.advance(200 * MS, &[])), None);
}

#[test]
fn endpoint_with_a_request_that_has_not_started_is_avoided_where_starts_are_reported() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.reports_start = true;
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0)], 4.0);
    let (request, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), Some(0));
    host.now += 60 * MS;
    assert_eq!(host.submit_many(1), [Some(1)]);
    host.attempt_started(request, 0, 0);
    // The late start shows that others use the endpoint, until load reports show otherwise.
    assert_eq!(host.submit_many(1), [Some(1)]);
    for _ in 0..5 {
        host.now += 1_000 * MS;
        host.report_free(0, 3.0);
    }
    assert_eq!(host.submit_many(1), [Some(0)]);
}

/// A request that starts promptly shows that a queue in an earlier load report is gone.
#[test]
fn prompt_start_overrides_a_queue_in_the_last_load_report() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.reports_start = true;
    settings.health_checks = false;
    let mut host = TestHost::new(settings, &[entry(0, 0)], 4.0);
    host.now += 5_000 * MS;
    let (request, actions) = host.arrive(0, 1.0);
    assert_eq!(sent_to(&actions), Some(0));
    host.now += 5 * MS;
    let report = LoadReport {
        free_slots: Some(0.0),
        queued: Some(6.0),
        ..LoadReport::default()
    };
    host.health_checked(0, Outcome::Success, Some(report));
    host.attempt_started(request, 0, 0);
    host.attempt_succeeded(request, 0, 5 * MS);
    assert_eq!(sent_to(&host.arrive(0, 1.0).1), Some(0));
}
