//! Retries: whether a request is sent again, shed or failed after an attempt has ended.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::time::Duration;

const KEYED_ALL: Idempotency = Idempotency::Keyed {
    scope: DeduplicationScope::All,
    window: Duration::from_secs(1),
};
const KEYED_ZONE: Idempotency = Idempotency::Keyed {
    scope: DeduplicationScope::Zone,
    window: Duration::from_secs(1),
};
const KEYED_CELL: Idempotency = Idempotency::Keyed {
    scope: DeduplicationScope::Cell,
    window: Duration::from_secs(1),
};

/// For each idempotency and each outcome of the first attempt, checks whether the request is
/// retried, shed or failed.
#[test]
fn retries_follow_the_outcome_and_the_idempotency_of_the_class() {
    use Outcome::*;
    let outcomes = [
        Error,
        Rejected,
        UnprovenRejection,
        Timeout,
        ConnectFailed,
        Reset,
        Cancelled,
        NotSent,
    ];
    for idempotency in [
        Idempotency::Idempotent,
        KEYED_ALL,
        KEYED_ZONE,
        KEYED_CELL,
        Idempotency::NonIdempotent,
    ] {
        for outcome in outcomes {
            // The second endpoint is in the deduplication group: the request is retried there
            // unless the rules forbid it.
            let mut host = TestHost::new(settings(idempotency), &[entry(0, 0), entry(1, 0)], 1.0);
            let (request, _) = host.submit(0, 1.0);
            let actions = host.attempt_finished(request, 0, 0, outcome);
            let may_have_run = !outcome.never_ran();
            if may_have_run && idempotency == Idempotency::NonIdempotent {
                assert_eq!(
                    (
                        sent_to(&actions),
                        is_failed(&actions, request),
                        is_shed(&actions, request)
                    ),
                    (None, true, false),
                    "{outcome:?}"
                );
            } else {
                let endpoint = sent_to(&actions);
                assert!(
                    endpoint == Some(1) || !may_have_run && endpoint == Some(0),
                    "{idempotency:?} {outcome:?} {actions:?}"
                );
            }

            // The only remaining endpoint is outside the zone and the cell. Waits until the window
            // is over.
            let mut host = TestHost::new(settings(idempotency), &[entry(0, 0), entry(1, 1)], 1.0);
            let (request, _) = host.submit(0, 1.0);
            let mut actions = host.attempt_finished(request, 0, 0, outcome);
            let second_is_outside = matches!(
                idempotency,
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
                    ..
                }
            );
            host.update_endpoints(ListKind::Delta, &[gone_entry(0)]);
            actions.extend(host.advance(2_500 * MS, &[0, 1]));
            if may_have_run && (second_is_outside || idempotency == Idempotency::NonIdempotent) {
                assert!(
                    !actions.contains(&send_action(request, 1)),
                    "{idempotency:?} {outcome:?}: sent outside its deduplication group"
                );
                assert!(
                    is_failed(&actions, request) != actions.contains(&send_action(request, 0))
                        && !is_shed(&actions, request),
                    "{idempotency:?} {outcome:?}"
                );
            }
        }
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut host = TestHost::new(settings(KEYED_ALL), &[entry(0, 0), entry(1, 0)], 1.0);
    let (request, _) = host.submit(0, 1.0);
    host.now += 1_001 * MS;
    let actions = host.attempt_finished(request, 0, 0, Outcome::Error);
    assert_eq!(sent_to(&actions), None);
    assert!(
        is_shed(&actions, request),
        "a request that every endpoint deduplicates may be shed"
    );
}

#[test]
fn request_has_at_most_the_permitted_attempts() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.max_attempts = 2;
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0), entry(2, 0)], 1.0);
    let (request, _) = host.submit(0, 1.0);
    assert_eq!(
        sent_to(&host.attempt_finished(request, 0, 0, Outcome::Error)),
        Some(1)
    );
    let actions = host.attempt_finished(request, 1, 1, Outcome::Error);
    assert_eq!(sent_to(&actions), None);
    assert!(is_shed(&actions, request));
}

#[test]
fn request_of_a_disconnected_client_is_cancelled_and_gets_no_response() {
    let mut host = TestHost::new(settings(Idempotency::Idempotent), &[entry(0, 0)], 1.0);
    let (request, _) = host.submit(0, 1.0);
    assert!(
        host.handle(Event::ClientDisconnected { request })
            .contains(&Action::Cancel {
                request,
                attempt_index: 0
            })
    );
    let mut actions = host.attempt_finished(request, 0, 0, Outcome::Cancelled);
    actions.extend(host.advance(6_000 * MS, &[0]));
    assert!(
        !is_failed(&actions, request) && !is_shed(&actions, request) && sent_to(&actions).is_none()
    );
    assert_eq!(host.submit_many(1), [Some(0)], "its slot is free again");
}
