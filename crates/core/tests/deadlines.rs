//! Deadlines of requests: which response is sent at the deadline, and when.

mod common;

use common::deployments::{IDEMPOTENT, KEYED, NON_IDEMPOTENT, deployments};
use common::{
    MS, ONLY_CLASS, TestCore, endpoint, is_only_overload_response, responded_handles, responses,
    served, single_class, started_attempts,
};
use pumiceway_core::*;
use pumiceway_decisions::api::Idempotency;

/// The response must arrive while the client still waits.
#[test]
fn the_response_is_sent_before_the_deadline() {
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &[]);
    let mut effects = core.submit_for(ONLY_CLASS, 1, 5_000 * MS);
    effects.extend(core.advance(4_995 * MS));
    assert_eq!(responses(&effects).len(), 1, "{effects:?}");
}

/// The balancer derives the age of a request from the longest remaining time it has seen: without a
/// limit, a client that waits for a day would make later requests look a day old and be shed at
/// once.
#[test]
fn a_very_long_remaining_time_does_not_shorten_the_queue_time_of_others() {
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &[endpoint("a")]);
    let attempt = started_attempts(&core.submit_for(ONLY_CLASS, 1, 86_400_000 * MS))[0];
    core.end_attempt(attempt, served());
    let first = started_attempts(&core.submit_for(ONLY_CLASS, 2, 5_000 * MS))[0];
    // The endpoint is busy: the next request is queued, as its latency objective allows.
    let mut queued = core.submit_for(ONLY_CLASS, 3, 5_000 * MS);
    queued.extend(core.advance(20 * MS));
    assert!(responses(&queued).is_empty(), "{queued:?}");
    let then = core.end_attempt(first, served());
    assert_eq!(started_attempts(&then).len(), 1, "{then:?}");
}

/// A request that never ran is shed instead of failing, so that its client can retry. During a
/// shutdown, the deadline may be earlier than the one the balancer knows.
#[test]
fn at_the_deadline_a_request_is_shed_if_it_never_ran_or_may_run_again() {
    for (index, settings) in deployments().into_iter().enumerate() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            for (endpoint_count, outcome) in [
                (0, None),
                (1, None),
                (1, Some(AttemptOutcome::ConnectFailed)),
                (1, Some(AttemptOutcome::Rejected)),
                (1, Some(AttemptOutcome::Error)),
            ] {
                for is_shutting_down in [false, true] {
                    let endpoints = vec![endpoint("a"); endpoint_count];
                    let mut core = TestCore::new(settings.clone(), &endpoints);
                    if is_shutting_down {
                        core.reduce(Event::ShutdownRequested);
                        core.advance(650 * MS);
                    }
                    let mut effects = core.submit(class, 1);
                    let started = started_attempts(&effects);
                    assert_eq!(started.len(), endpoint_count);
                    if let Some(outcome) = &outcome {
                        effects = core.end_attempt(started[0], outcome.clone());
                        // Without an endpoint there is no retry.
                        effects.extend(core.list(&[]));
                    }
                    effects.extend(core.advance(20_500 * MS));
                    let may_have_run = endpoint_count == 1
                        && matches!(outcome, None | Some(AttemptOutcome::Error));
                    let is_dropped_everywhere = index == 0 && class == KEYED;
                    let may_be_shed = !may_have_run || class == IDEMPOTENT || is_dropped_everywhere;
                    let sent = responses(&effects);
                    let case = format!(
                        "deployment {index}, class {class}, {outcome:?}, \
                         shutting down {is_shutting_down}: {sent:?}"
                    );
                    assert!(sent.len() == 1, "{case}");
                    assert_eq!(
                        is_only_overload_response(&settings, &sent, 1),
                        may_be_shed,
                        "{case}"
                    );
                    let has_failed = matches!(sent[0], (1, ClientResponse::Failed(_)));
                    assert!(may_be_shed || has_failed, "{case}");
                }
            }
        }
    }
}

/// Such a request cannot get a result before its client stops waiting.
#[test]
fn a_request_with_no_remaining_time_is_shed_at_once() {
    for settings in deployments() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            for remaining_ms in [0, 1, 9, 10, 25] {
                let mut core = TestCore::new(settings.clone(), &[endpoint("a")]);
                let effects = core.submit_as(class, 1, "t", remaining_ms * MS);
                let is_shed = is_only_overload_response(&settings, &responses(&effects), 1);
                assert!(
                    is_shed && started_attempts(&effects).is_empty(),
                    "{class} {remaining_ms}: {effects:?}"
                );
            }
        }
    }
}

/// Guards against a client cutting short the request of another by sending its id with less remaining
/// time.
#[test]
fn a_client_with_the_id_of_an_open_request_does_not_change_its_deadline() {
    for (first, second) in [(9_000, 1_000), (1_000, 9_000)] {
        let mut core = TestCore::new(deployments()[2].clone(), &[endpoint("a")]);
        core.submit_as(NON_IDEMPOTENT, 1, "t", first * MS);
        let rejected = core.submit_as(NON_IDEMPOTENT, 2, "t", second * MS);
        assert_eq!(responded_handles(&rejected), [2]);
        let early = core.advance((first - 100) * MS);
        assert!(responses(&early).is_empty(), "{early:?}");
        let effects = core.advance(90 * MS);
        assert_eq!(responded_handles(&effects), [1], "{effects:?}");
        assert!(responses(&core.advance(9_000 * MS)).is_empty());
    }
}
