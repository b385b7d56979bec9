//! Admission: how long the dispatcher queues a request, which one is sent first and which is shed.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn freed_slot_goes_to_the_queued_request_with_the_highest_priority_weight() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes.push(Class {
        priority_weight: 5.0,
        ..class(Idempotency::Idempotent)
    });
    for class in &mut settings.classes {
        class.latency_objective = 40 * MS; // too tight to wait behind another request
    }
    let mut host = TestHost::new(settings, &[entry(0, 0)], 1.0);
    let (first, _) = host.submit(0, 1.0);
    let (_, low_weight) = host.submit(0, 1.0);
    let (_, high_weight) = host.submit(1, 1.0);
    assert_eq!((sent_to(&low_weight), sent_to(&high_weight)), (None, None));
    let actions = host.attempt_finished(first, 0, 0, Outcome::Success);
    assert!(
        actions.iter().any(|action| matches!(
            action,
            Action::Send {
                request: RequestId(2),
                ..
            }
        )),
        "{actions:?}"
    );
}

/// Back-offs are random, so that clients do not retry at the same time.
#[test]
fn request_that_cannot_start_in_time_is_shed_with_a_back_off() {
    let mut host = TestHost::new(settings(Idempotency::NonIdempotent), &[], 1.0);
    let (request, actions) = host.submit(0, 1.0);
    assert!(
        !is_shed(&actions, request),
        "with an empty endpoint list, requests are queued at first"
    );
    let actions = host.advance(1_000 * MS, &[]);
    assert!(is_shed(&actions, request) && !is_failed(&actions, request));
    let mut back_offs = BTreeSet::new();
    for _ in 0..8 {
        host.submit(0, 1.0);
        for action in host.advance(1_000 * MS, &[]) {
            if let Action::Shed {
                retry_after: Some(back_off),
                ..
            } = action
            {
                assert!((1_000 * MS..=2_000 * MS).contains(&back_off));
                back_offs.insert(back_off);
            }
        }
    }
    assert!(back_offs.len() >= 6, "{back_offs:?}");
}

#[test]
fn allowed_queue_time_does_not_grow_with_observed_latency() {
    let mut host = TestHost::new(settings(Idempotency::Idempotent), &[entry(0, 0)], 1.0);
    for _ in 0..200 {
        let (request, _) = host.submit(0, 1.0);
        host.attempt_succeeded(request, 0, 4_000 * MS);
    }
    host.update_endpoints(ListKind::Snapshot, &[]);
    let (request, _) = host.submit(0, 1.0);
    assert!(
        is_shed(&host.advance(600 * MS, &[]), request),
        "at most twice the latency objective"
    );
}

/// A request of a class with a maximum queue time is not shed at its latency objective, but early
/// enough that its client gets the response before the deadline.
#[test]
fn request_is_queued_for_max_queue_time_while_it_can_still_meet_its_deadline() {
    let mut settings = settings_without_reports(Idempotency::NonIdempotent);
    settings.classes[0].max_queue_time = Some(5_000 * MS);
    let mut host = TestHost::new(settings, &[], 1.0);
    let (request, _) = host.submit(0, 1.0);
    assert!(!is_shed(&host.advance(4_500 * MS, &[]), request));
    assert!(is_shed(&host.advance(420 * MS, &[]), request));
    // Once a running time of 1 s was observed for the class, its requests have to start 1 s before
    // their deadline.
    host.update_endpoints(
        ListKind::Snapshot,
        &[EndpointEntry {
            max_concurrent: Some(1),
            ..entry(0, 0)
        }],
    );
    let (served, _) = host.submit(0, 1.0);
    host.now += 1_000 * MS;
    host.attempt_succeeded(served, 0, 1_000 * MS);
    host.update_endpoints(ListKind::Snapshot, &[]);
    let (request, _) = host.submit(0, 1.0);
    assert!(!is_shed(&host.advance(3_700 * MS, &[]), request));
    assert!(is_shed(&host.advance(300 * MS, &[]), request));
}

/// Guards against a flood of one class that fills the bounded queue and keeps out a class of higher
/// weight.
#[test]
fn full_queue_sheds_the_request_with_the_lowest_priority_weight_at_once() {
    let mut settings = settings_without_reports(Idempotency::Idempotent);
    settings.classes.push(Class {
        priority_weight: 5.0,
        ..class(Idempotency::NonIdempotent)
    });
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.max_queue_time = Some(5_000 * MS));
    settings.max_queued = 2;
    let mut host = TestHost::new(settings, &[], 1.0);
    let (first, _) = host.submit(0, 1.0);
    host.submit(0, 1.0);
    let (third, actions) = host.submit(0, 1.0);
    assert!(is_shed(&actions, third));
    let (high_weight, actions) = host.submit(1, 1.0);
    assert!(
        !is_shed(&actions, high_weight)
            && !is_shed(&actions, first)
            && is_shed(&actions, RequestId(1)),
        "{actions:?}"
    );
}

/// A wrong initial estimate of the running time must be corrected after a few requests. Requests in
/// flight count as well, because short requests end first and would bias the estimate.
#[test]
fn running_time_is_learnt_from_the_first_requests_and_those_still_in_flight() {
    let mut settings = settings_without_reports(Idempotency::NonIdempotent);
    settings.classes[0].max_queue_time = Some(5_000 * MS);
    settings.classes[0].deadline = 20_000 * MS;
    let shed_after = |served_count: usize, latency: Duration, in_flight_count: usize| {
        let mut host = TestHost::new(settings.clone(), &[], 1.0);
        host.update_endpoints(
            ListKind::Snapshot,
            &[EndpointEntry {
                max_concurrent: Some(64),
                ..entry(0, 0)
            }],
        );
        let next_number = host.submit_many(served_count + in_flight_count).len() as u64;
        host.now += latency;
        for number in 0..served_count as u64 {
            host.attempt_succeeded(RequestId(number), 0, latency);
        }
        host.update_endpoints(ListKind::Snapshot, &[]);
        let (request, _) = host.submit(0, 1.0);
        let submitted_at = host.now;
        assert_eq!(request.0, next_number);
        while !is_shed(&host.advance(20 * MS, &[]), request) {}
        host.now.saturating_duration_since(submitted_at).as_millis()
    };
    assert!(
        shed_after(3, MS, 0) > 4_850,
        "three requests suffice to learn a running time of 1 ms"
    );
    let without_in_flight = shed_after(1, 500 * MS, 0);
    let with_in_flight = shed_after(1, 500 * MS, 2);
    assert!(
        with_in_flight + 900 < without_in_flight,
        "{with_in_flight} {without_in_flight}"
    );
}

/// Guards against a flood of one tenant, or of clients without a tenant, that delays the requests
/// of other tenants.
#[test]
fn requests_over_the_quota_of_their_tenant_are_sent_last() {
    let sent_first = |flood_tenant: Option<TenantId>, tenants: Vec<Tenant>| {
        let mut settings = settings(Idempotency::Idempotent);
        let has_tenants = !tenants.is_empty();
        settings.tenants = tenants;
        settings.over_quota_weight = 0.1;
        settings.classes[0].latency_objective = 2_000 * MS;
        let mut host = TestHost::new(settings, &[entry(0, 0)], 1.0);
        host.tenant = flood_tenant;
        let (running, _) = host.submit(0, 1.0);
        let flood: Vec<_> = (0..30).map(|_| host.arrive(0, 1.0).0).collect();
        host.tenant = has_tenants.then_some(TenantId(1));
        let (late, _) = host.arrive(0, 1.0);
        host.now += 5 * MS;
        host.report_free(0, 1.0);
        let actions = host.attempt_succeeded(running, 0, 50 * MS);
        let next = actions.iter().find_map(|action| match action {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        });
        (next == Some(late), next == Some(flood[0]))
    };
    let tenants = vec![
        Tenant {
            quota_per_second: 0.5
        };
        2
    ];
    assert_eq!(
        sent_first(Some(TenantId(0)), tenants.clone()),
        (true, false),
        "a flood of one tenant"
    );
    assert_eq!(
        sent_first(None, tenants.clone()),
        (true, false),
        "a flood without a tenant"
    );
    assert_eq!(
        sent_first(Some(TenantId(1)), tenants),
        (false, true),
        "a single tenant: in the order of arrival"
    );
    assert_eq!(
        sent_first(None, vec![]),
        (false, true),
        "no tenants: in the order of arrival"
    );
}
