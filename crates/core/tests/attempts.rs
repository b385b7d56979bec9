//! Attempts: each has exactly one outcome; later outcomes and updates have no effect.

mod common;

use common::deployments::{IDEMPOTENT, KEYED, NON_IDEMPOTENT, deployments};
use common::{
    MS, ONLY_CLASS, TestCore, endpoint, responses, served, served_response, single_class,
    started_attempts,
};
use pumiceway_core::*;
use pumiceway_decisions::api::Idempotency;

/// A late outcome of an attempt that timed out is ignored.
#[test]
fn an_attempt_has_one_outcome_and_a_request_one_response() {
    let mut core = TestCore::new(single_class(Idempotency::NonIdempotent), &[endpoint("a")]);
    let attempt = started_attempts(&core.submit_for(ONLY_CLASS, 1, 2_000 * MS))[0];
    let late = core.advance(2_000 * MS);
    assert!(late.contains(&Effect::AbortAttempt { attempt }));
    assert!(
        matches!(responses(&late)[..], [(1, ClientResponse::Failed(_))]),
        "{late:?}"
    );
    for outcome in [served(), AttemptOutcome::Reset] {
        let after = core.end_attempt(attempt, outcome);
        assert!(
            responses(&after).is_empty() && started_attempts(&after).is_empty(),
            "{after:?}"
        );
    }
    assert_eq!(
        core.overview().classes,
        [RequestCounts {
            open: 0,
            in_flight: 0
        }]
    );
}

/// The job would be invalid at any other endpoint as well.
#[test]
fn an_invalid_job_is_not_retried() {
    let endpoints = ["a", "b"].map(endpoint);
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &endpoints);
    let attempt = started_attempts(&core.submit_for(ONLY_CLASS, 1, 2_000 * MS))[0];
    let mut effects = core.end_attempt(attempt, AttemptOutcome::InvalidJob);
    effects.extend(core.advance(2_000 * MS));
    let is_rejected = matches!(responses(&effects)[..], [(1, ClientResponse::Rejected(_))]);
    assert!(
        is_rejected && started_attempts(&effects).is_empty(),
        "{effects:?}"
    );
}

/// Whether the first attempt started by these effects uses a dedicated connection.
fn uses_dedicated_connection(effects: &[Effect]) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        Effect::StartAttempt {
            dedicated_connection,
            ..
        } => Some(*dedicated_connection),
        _ => None,
    })
}

/// A non-idempotent request cannot be retried if the endpoint has already closed the idle
/// connection on which it is sent, and the reset shows that the endpoint closes idle connections.
#[test]
fn after_an_idle_connection_reset_non_idempotent_requests_use_dedicated_connections() {
    for (idempotency, expected) in [
        (Idempotency::NonIdempotent, true),
        (Idempotency::Idempotent, false),
    ] {
        let mut core = TestCore::new(single_class(idempotency), &["a", "b"].map(endpoint));
        let first = core.submit_for(ONLY_CLASS, 1, 2_000 * MS);
        assert_eq!(uses_dedicated_connection(&first), Some(false));
        let attempt = started_attempts(&first)[0];
        // A non-idempotent request fails, and a second request is submitted; an idempotent one is
        // retried at the other endpoint.
        let mut second = core.end_attempt(attempt, AttemptOutcome::IdleConnectionReset);
        second.extend(core.submit_for(ONLY_CLASS, 2, 2_000 * MS));
        assert_eq!(uses_dedicated_connection(&second), Some(expected));
        let attempt = started_attempts(&second)[0];
        core.end_attempt(attempt, served());
        // Idle connections are used again after 30 s; the request goes to a new endpoint, as the
        // first one is on probation.
        core.advance(31_000 * MS);
        core.list(&[endpoint("c")]);
        let mut third = core.submit_for(ONLY_CLASS, 3, 2_000 * MS);
        third.extend(core.advance(1_000 * MS));
        assert_eq!(uses_dedicated_connection(&third), Some(false));
    }
}

/// A result and a timeout at the same time give one response and free the slot once.
#[test]
fn of_two_simultaneous_outcomes_only_the_first_counts() {
    for (index, settings) in deployments().into_iter().enumerate() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            let timeout = settings.classes[class]
                .deadline
                .checked_sub(25 * MS)
                .unwrap();
            for result_first in [true, false] {
                let single_slot = Endpoint {
                    max_concurrent: Some(1),
                    ..endpoint("a")
                };
                let mut core = TestCore::new(settings.clone(), &[single_slot]);
                let attempt = started_attempts(&core.submit(class, 1))[0];
                // Nothing but the timeout of the attempt is due at that time.
                core.advance(timeout.checked_sub(5 * MS).unwrap());
                core.now += 5 * MS;
                let (mut first, mut then) = (vec![], vec![]);
                if result_first {
                    first.extend(core.end_attempt(attempt, served()));
                    then.extend(core.fire_timer());
                } else {
                    first.extend(core.fire_timer());
                    then.extend(core.end_attempt(attempt, served()));
                }
                // More outcomes and updates of an attempt that has ended.
                then.extend(core.end_attempt(attempt, served()));
                then.extend(core.end_attempt(attempt, AttemptOutcome::Reset));
                for update in [
                    AttemptUpdate::Started,
                    AttemptUpdate::Fraction(0.5),
                    AttemptUpdate::Data("x".into()),
                ] {
                    then.extend(core.reduce(Event::AttemptUpdated { attempt, update }));
                }
                then.extend(core.disconnect(1));
                let case = format!(
                    "deployment {index}, class {class}, result first {result_first}: \
                     {first:?} {then:?}"
                );
                let is_aborted = first.contains(&Effect::AbortAttempt { attempt });
                assert_eq!(is_aborted, !result_first, "{case}");
                let [(1, response)] = &responses(&first)[..] else {
                    panic!("{case}")
                };
                assert_eq!(*response == served_response(), result_first, "{case}");
                let is_timer = |effect: &Effect| matches!(effect, Effect::SetTimer { .. });
                assert!(then.iter().all(is_timer), "{case}");
                // The slot is freed exactly once: the next request is sent, and one more is queued.
                let next = started_attempts(&core.submit(class, 2));
                assert_eq!(next.len(), 1, "{case}");
                assert!(
                    started_attempts(&core.submit(class, 3)).is_empty(),
                    "{case}"
                );
                let freed = core.end_attempt(next[0], served());
                assert_eq!(started_attempts(&freed).len(), 1, "{case}");
            }
        }
    }
}

/// A late outcome of the first attempt must not end the second one.
#[test]
fn a_repeated_outcome_of_an_attempt_does_not_affect_the_next_attempt() {
    for settings in deployments()
        .into_iter()
        .filter(|settings| settings.max_attempts > 1)
    {
        for repeated in [
            AttemptOutcome::Error,
            AttemptOutcome::Reset,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::InvalidJob,
            served(),
        ] {
            let single_slots = ["a", "b"].map(|name| Endpoint {
                max_concurrent: Some(1),
                ..endpoint(name)
            });
            let mut core = TestCore::new(settings.clone(), &single_slots);
            let first = started_attempts(&core.submit(IDEMPOTENT, 1))[0];
            let retried = core.end_attempt(first, AttemptOutcome::Error);
            let [second] = started_attempts(&retried)[..] else {
                panic!("{retried:?}")
            };
            let late = core.end_attempt(first, repeated.clone());
            assert!(
                started_attempts(&late).is_empty() && responses(&late).is_empty(),
                "{repeated:?}: {late:?}"
            );
            // One slot is free.
            assert_eq!(started_attempts(&core.submit(IDEMPOTENT, 2)).len(), 1);
            assert!(started_attempts(&core.submit(IDEMPOTENT, 3)).is_empty());
            assert_eq!(
                responses(&core.end_attempt(second, served())),
                [(1, served_response())]
            );
        }
    }
}
