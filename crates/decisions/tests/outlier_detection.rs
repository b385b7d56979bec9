//! Outlier detection: how endpoints that fail or do not respond are avoided and used again.

mod common;
use common::*;
use pumiceway_decisions::api::*;

#[test]
fn unresponsive_endpoint_is_ejected_and_returns_on_probation() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let (request, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), Some(0));
    // The endpoint responds neither to the request nor to health checks: the request is hedged, and
    // new requests are sent to the other endpoint.
    let actions = host.advance(2_000 * MS, &[1]);
    assert!(actions.contains(&send_action(request, 1)), "{actions:?}");
    assert_eq!(host.submit_many(1), [Some(1)]);
    // After its first successful health check it gets a single request until that one has ended.
    host.advance(14_000 * MS, &[0, 1]);
    host.attempt_finished(request, 0, 0, Outcome::Timeout);
    assert_eq!(host.submit_many(2), [Some(0), Some(1)]);
}

/// Probation is reserved for idempotent requests. In a deployment without any, a recovered endpoint
/// must still be used again.
#[test]
fn failed_endpoint_is_tried_by_any_request_where_no_idempotent_ones_arrive() {
    let mut settings = settings_without_reports(Idempotency::NonIdempotent);
    settings.classes[0].max_queue_time = Some(5_000 * MS);
    let mut host = TestHost::new(settings, &[], 1.0);
    host.update_endpoints(
        ListKind::Snapshot,
        &[EndpointEntry {
            max_concurrent: Some(1),
            ..entry(0, 0)
        }],
    );
    host.advance(11_000 * MS, &[]);
    let (request, _) = host.submit(0, 1.0);
    assert_eq!(
        sent_to(&host.attempt_finished(request, 0, 0, Outcome::ConnectFailed)),
        None
    );
    assert_eq!(sent_to(&host.advance(2_000 * MS, &[])), Some(0));
}

/// An endpoint that returns errors at once always has free slots. It must not attract requests that
/// must not run twice.
#[test]
fn endpoint_that_returns_errors_gets_single_idempotent_requests_until_it_succeeds() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes.push(class(Idempotency::Idempotent));
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0)], 4.0);
    let submit = |host: &mut TestHost, class| {
        let (request, actions) = host.submit(class, 1.0);
        (request, sent_to(&actions).unwrap())
    };
    let (failed, endpoint) = submit(&mut host, 0);
    assert_eq!(endpoint, 0);
    host.attempt_finished(failed, 0, 0, Outcome::Error);
    assert_eq!(
        submit(&mut host, 0).1,
        1,
        "no non-idempotent request goes there"
    );
    let (mut idempotent, endpoint) = submit(&mut host, 1);
    assert_eq!(
        (endpoint, submit(&mut host, 1).1),
        (0, 1),
        "one idempotent request at a time"
    );
    for _ in 0..4 {
        host.attempt_finished(idempotent, 0, 0, Outcome::Success);
        (idempotent, _) = submit(&mut host, 1);
    }
    assert_eq!(submit(&mut host, 0).1, 0, "it has succeeded again");
}

#[test]
fn requests_that_fail_at_every_endpoint_eject_none() {
    let mut host = TestHost::new(
        settings(Idempotency::NonIdempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    for number in 0..400 {
        let (request, actions) = host.submit(0, 1.0);
        let endpoint = sent_to(&actions).expect("one of the two is eligible");
        let outcome = if number % 3 == 0 {
            Outcome::Error
        } else {
            Outcome::Success
        };
        host.attempt_finished(request, 0, endpoint, outcome);
    }
    let sent = host.submit_many(5);
    assert!(
        sent.contains(&Some(0)) && sent.contains(&Some(1)),
        "{sent:?}"
    );
}

#[test]
fn lost_response_frees_its_slots_and_health_checks_alone_do_not_clear_the_endpoint() {
    let mut host = TestHost::new(
        settings(Idempotency::NonIdempotent),
        &[entry(0, 0), entry(1, 0)],
        1.0,
    );
    assert_eq!(host.submit_many(1), [Some(0)]);
    host.advance(4_500 * MS, &[0, 1]);
    // Non-idempotent requests are not sent to the endpoint until it has responded to a request.
    assert_eq!(host.submit_many(1), [Some(1)]);
    let mut host = TestHost::new(settings(Idempotency::Idempotent), &[entry(0, 0)], 1.0);
    assert_eq!(host.submit_many(1), [Some(0)]);
    host.advance(4_500 * MS, &[0]);
    assert_eq!(
        host.submit_many(1),
        [Some(0)],
        "an idempotent request finds the slot free"
    );
}

/// After a stall, responses may have arrived that the process has not read yet, so an overdue
/// response is no evidence of a failure.
#[test]
fn stall_of_the_dispatcher_ejects_no_endpoint() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.reports_start = true;
    settings.load_reports = LoadReportSource::None;
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0)], 4.0);
    let (request, _) = host.submit(0, 1.0);
    host.now += 4_000 * MS;
    let actions = host.handle(Event::TimerFired);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. } | Action::CheckHealth { .. })),
        "{actions:?}"
    );
    host.attempt_finished(request, 0, 0, Outcome::Success);
    assert_eq!(host.submit_many(1), [Some(0)]);
}
