//! Clients that disconnect before they get their response.

mod common;

use common::deployments::{IDEMPOTENT, KEYED, NON_IDEMPOTENT, deployments};
use common::{MS, TestCore, endpoint, responses, served, started_attempts};
use pumiceway_core::*;
use pumiceway_decisions::api::Settings;

/// Covers requests queued for lack of an endpoint or for a turn at an endpoint in slow start, a
/// timer that fires before the disconnect, and one or many queued requests.
#[test]
fn a_queued_request_of_a_disconnected_client_is_not_sent() {
    for settings in deployments() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            for count in [1, 200] {
                for timer_first in [false, true] {
                    for in_slow_start in [false, true] {
                        assert_none_is_sent(&settings, class, count, timer_first, in_slow_start);
                    }
                }
            }
        }
    }
}

/// Queues `count` requests, whose clients then disconnect, and checks that none is sent.
fn assert_none_is_sent(
    settings: &Settings,
    class: usize,
    count: u64,
    timer_first: bool,
    in_slow_start: bool,
) {
    // With many dispatchers, requests are queued until their turn at the endpoint in slow start;
    // otherwise they are queued because there is no endpoint.
    let instance_count = if in_slow_start { 1_000 } else { 1 };
    let mut core = TestCore::new(
        Settings {
            instance_count,
            ..settings.clone()
        },
        &[],
    );
    if in_slow_start {
        core.list(&[Endpoint {
            started_at: core.now,
            ..endpoint("a")
        }]);
    }
    for handle in 0..count {
        assert!(
            started_attempts(&core.submit(class, handle)).is_empty(),
            "it is queued"
        );
    }
    core.now += 100 * MS;
    let mut effects = vec![];
    if timer_first {
        effects.extend(core.fire_timer());
    }
    // Even handles first, then odd ones, so that clients do not disconnect in queue order.
    for handle in (0..count).step_by(2).chain((0..count).skip(1).step_by(2)) {
        effects.extend(core.disconnect(handle));
    }
    effects.extend(core.fire_timer());
    effects.extend(core.list(&[endpoint("b")]));
    effects.extend(core.advance(3_000 * MS));
    assert!(
        started_attempts(&effects).is_empty() && responses(&effects).is_empty(),
        "{class} {count}: {effects:?}"
    );
    let no_request = RequestCounts {
        open: 0,
        in_flight: 0,
    };
    assert!(
        core.overview()
            .classes
            .iter()
            .all(|class| *class == no_request)
    );
}

/// The client gets one response if the result came before it disconnected, and none otherwise.
#[test]
fn a_client_that_disconnects_gets_at_most_one_response() {
    for settings in deployments() {
        for disconnects_first in [true, false] {
            let mut core = TestCore::new(settings.clone(), &[endpoint("a")]);
            let attempt = started_attempts(&core.submit(NON_IDEMPOTENT, 1))[0];
            let mut effects = vec![];
            if disconnects_first {
                effects.extend(core.disconnect(1));
                let is_aborted = effects.contains(&Effect::AbortAttempt { attempt });
                assert_eq!(is_aborted, settings.cancellation);
                effects.extend(core.end_attempt(attempt, served()));
            } else {
                effects.extend(core.end_attempt(attempt, served()));
                assert!(core.disconnect(1).is_empty());
            }
            effects.extend(core.advance(21_000 * MS));
            assert_eq!(
                responses(&effects).len(),
                usize::from(!disconnects_first),
                "{effects:?}"
            );
            let next = started_attempts(&core.submit(NON_IDEMPOTENT, 2));
            assert_eq!(next.len(), 1, "the slot is free");
        }
    }
}
