//! The endpoint list: draining and removed endpoints, subscriptions and reused ids.

mod common;
use common::*;
use pumiceway_decisions::api::*;

#[test]
fn draining_endpoint_gets_nothing_new_until_it_is_ready_again() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let draining = EndpointEntry {
        state: EndpointState::Draining,
        ..entry(0, 0)
    };
    host.update_endpoints(ListKind::Delta, &[draining]);
    assert_eq!(host.submit_many(2), [Some(1), Some(1)]);
    host.update_endpoints(ListKind::Delta, &[entry(0, 0)]);
    assert_eq!(host.submit_many(1), [Some(0)]);
    host.update_endpoints(ListKind::Snapshot, &[entry(1, 0)]);
    assert_eq!(
        host.submit_many(1),
        [Some(1)],
        "an endpoint that is missing from a snapshot is gone"
    );
}

#[test]
fn stall_of_the_dispatcher_does_not_end_a_drain() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.load_reports = LoadReportSource::None;
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0)], 4.0);
    let draining = EndpointEntry {
        state: EndpointState::Draining,
        ..entry(0, 0)
    };
    host.update_endpoints(ListKind::Delta, &[draining]);
    host.now += 5_000 * MS;
    host.handle(Event::TimerFired);
    assert_eq!(host.submit_many(1), [Some(1)]);
}

#[test]
fn list_is_subscribed_to_after_a_restart_and_again_after_a_failure() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.polls_discovery = true;
    let mut host = TestHost::new(settings, &[entry(0, 0)], 1.0);
    let subscriptions = |actions: &[Action]| {
        actions
            .iter()
            .filter(|action| **action == Action::Subscribe)
            .count()
    };
    assert_eq!(subscriptions(&host.advance(2_600 * MS, &[0])), 1);
    host.update_endpoints(ListKind::SourceLost, &[]);
    assert_eq!(
        host.submit_many(1),
        [Some(0)],
        "the previous list remains in use"
    );
    assert_eq!(subscriptions(&host.advance(10_000 * MS, &[0])), 1);
    host.update_endpoints(ListKind::Delta, &[]);
    assert_eq!(subscriptions(&host.advance(20_000 * MS, &[0])), 0);
}

/// The host may give the id of a removed endpoint to another one. Ejection, rejections, load, slow
/// start and the place in name order of the former must not apply to the latter.
#[test]
fn reused_endpoint_id_inherits_nothing_from_its_previous_endpoint() {
    let renamed = |endpoint, name| EndpointEntry {
        name,
        ..entry(endpoint, 0)
    };
    let histories: [fn(&mut TestHost); 4] = [
        // Unreachable, and ejected.
        |host| {
            let (request, actions) = host.submit(0, 1.0);
            assert_eq!(sent_to(&actions), Some(0));
            host.attempt_finished(request, 0, 0, Outcome::ConnectFailed);
            host.health_checked(0, Outcome::Timeout, None);
        },
        // Rejected a request.
        |host| {
            let (request, actions) = host.submit(0, 1.0);
            assert_eq!(sent_to(&actions), Some(0));
            host.attempt_finished(request, 0, 0, Outcome::Rejected);
        },
        // Full with requests of other dispatchers.
        |host| drop(host.report_free(0, 0.0)),
        // In slow start.
        |host| {
            let entries = [EndpointEntry {
                started_at: START.saturating_sub(MS),
                ..entry(0, 0)
            }];
            host.update_endpoints(ListKind::Delta, &entries);
        },
    ];
    for (index, apply_history) in histories.iter().enumerate() {
        let mut host = TestHost::new(
            settings(Idempotency::Idempotent),
            &[entry(0, 0), entry(1, 1)],
            4.0,
        );
        apply_history(&mut host);
        host.update_endpoints(ListKind::Delta, &[gone_entry(0)]);
        host.update_endpoints(ListKind::Delta, &[renamed(0, "z")]);
        assert_eq!(host.submit_many(1), [Some(0)], "history {index}");
    }
    // The preference order follows the new name.
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    assert_eq!(host.submit_many(1), [Some(0)]);
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    host.update_endpoints(ListKind::Delta, &[gone_entry(0)]);
    host.update_endpoints(ListKind::Delta, &[renamed(0, "z")]);
    host.report_free(0, 4.0);
    assert_eq!(host.submit_many(1), [Some(1)]);
}
