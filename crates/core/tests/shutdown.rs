//! The shutdown: its schedule, and the responses that must be sent before the exit.

mod common;

use common::deployments::{IDEMPOTENT, NON_IDEMPOTENT, deployments};
use common::{
    MS, ONLY_CLASS, TestCore, class, endpoint, responded_handles, responses, served, settings,
    single_class, started_attempts,
};
use pumiceway_core::*;
use pumiceway_decisions::api::{Idempotency, Settings, Timestamp};

/// The times at which requests that are incomplete when the frontends close must have responses.
fn close_times(effects: &[Effect]) -> Vec<Timestamp> {
    let respond_by = |effect: &Effect| match effect {
        Effect::CloseFrontends { respond_by } => Some(*respond_by),
        _ => None,
    };
    effects.iter().filter_map(respond_by).collect()
}

fn closes_frontends(effects: &[Effect]) -> bool {
    !close_times(effects).is_empty()
}

/// The deadline of a request that arrives more than 0.6 s after the signal is shortened; that of an
/// earlier request is not.
#[test]
fn a_late_request_gets_its_response_before_sigkill() {
    let endpoints = ["a", "b"].map(endpoint);
    let mut core = TestCore::new(single_class(Idempotency::NonIdempotent), &endpoints);
    core.reduce(Event::ShutdownRequested);
    assert_eq!(
        started_attempts(&core.submit_for(ONLY_CLASS, 1, 5_000 * MS)).len(),
        1
    );
    assert!(responses(&core.advance(1_500 * MS)).is_empty());
    assert_eq!(
        started_attempts(&core.submit_for(ONLY_CLASS, 2, 5_000 * MS)).len(),
        1
    );
    let late = core.advance(1_900 * MS);
    let failed = ClientResponse::Failed(Failure::NotServed);
    assert_eq!(responses(&late), [(2, failed)]);
    assert_eq!(Failure::NotServed.to_string(), "not done in time");
    assert_eq!(responses(&core.advance(1_700 * MS)).len(), 1);
}

/// With shorter deadlines, SIGKILL comes sooner: with a longest deadline of 1 s, it comes before
/// the 2 s for which the frontends stay open otherwise.
#[test]
fn with_short_deadlines_the_frontends_close_before_sigkill() {
    for (deadline_ms, closes_after_ms, responds_by_ms) in [
        (1_000, 600, 1_400),
        (2_000, 1_000, 2_400),
        (15_000, 2_000, 3_400),
    ] {
        let mut class = class(Idempotency::NonIdempotent);
        class.deadline = deadline_ms * MS;
        let settings = Settings {
            health_checks: false,
            classes: vec![class],
            ..settings(Idempotency::NonIdempotent)
        };
        let mut core = TestCore::new(settings, &[endpoint("a")]);
        let signal_at = core.now;
        core.reduce(Event::ShutdownRequested);
        let before = core.advance((closes_after_ms - 20) * MS);
        assert!(!closes_frontends(&before), "{deadline_ms}");
        let closing = core.advance(40 * MS);
        assert!(closes_frontends(&closing), "{deadline_ms}");
        // Frontends have to answer requests that are incomplete by the same time as the core answers
        // late ones.
        let respond_by = signal_at + responds_by_ms * MS;
        assert_eq!(close_times(&closing), [respond_by], "{deadline_ms}");
        // A request that arrives as the frontends close, and gets no result in time.
        let mut effects = core.submit_for(ONLY_CLASS, 1, deadline_ms * MS);
        effects.extend(core.advance((responds_by_ms - closes_after_ms - 20) * MS));
        assert_eq!(responses(&effects).len(), 1, "{deadline_ms}: {effects:?}");
    }
}

/// The frontends stay open at first, as clients may not know of the shutdown yet.
#[test]
fn exit_waits_for_the_frontends_and_for_open_requests() {
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &[endpoint("a")]);
    core.reduce(Event::ShutdownRequested);
    let attempt = started_attempts(&core.submit_for(ONLY_CLASS, 1, 4_000 * MS))[0];
    let draining = core.advance(1_900 * MS);
    assert!(!closes_frontends(&draining));
    let closing = core.advance(200 * MS);
    assert!(closes_frontends(&closing));
    let closed = core.reduce(Event::FrontendsClosed);
    assert!(!closed.contains(&Effect::Exit));
    let ended = core.end_attempt(attempt, served());
    assert!(ended.contains(&Effect::Exit), "{ended:?}");
}

/// Holds whether the frontends close before or after `CloseFrontends`, and with repeated signals
/// and new configurations during the shutdown.
#[test]
fn exit_is_returned_once_and_after_all_responses() {
    for (index, settings) in deployments().into_iter().enumerate() {
        let longest_deadline = settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap();
        let kill_after = longest_deadline.min(3_000 * MS) + 700 * MS;
        for close_early in [true, false] {
            for repeated_signals in [0, 1, 3] {
                let mut core = TestCore::new(settings.clone(), &["a", "b", "c"].map(endpoint));
                let mut effects = core.submit(NON_IDEMPOTENT, 1);
                if close_early {
                    effects.extend(core.reduce(Event::FrontendsClosed));
                }
                effects.extend(core.reduce(Event::ShutdownRequested));
                let signal_at = core.now;
                effects.extend(core.advance(300 * MS));
                effects.extend(core.submit(NON_IDEMPOTENT, 2));
                for number in 0..repeated_signals {
                    effects.extend(core.reduce(Event::ShutdownRequested));
                    effects.extend(core.reduce(Event::Configured {
                        discovery: Some(format!("d{number}")),
                        list_version: None,
                        restart_required: vec![],
                    }));
                }
                while !closes_frontends(&effects) {
                    let is_killed = core.now >= signal_at + kill_after;
                    assert!(!is_killed, "deployment {index}: the frontends stay open");
                    effects.extend(core.advance(5 * MS));
                }
                effects.extend(core.submit(IDEMPOTENT, 3));
                if !close_early {
                    effects.extend(core.reduce(Event::FrontendsClosed));
                }
                let started = started_attempts(&effects);
                assert_eq!(started.len(), 3, "deployment {index}");
                // A request that arrives on a connection that is still open must get its response
                // before SIGKILL.
                for attempt in &started[..2] {
                    let has_exited = effects.contains(&Effect::Exit);
                    assert!(
                        !has_exited,
                        "deployment {index}: exited before all responses"
                    );
                    effects.extend(core.end_attempt(*attempt, served()));
                }
                let has_exited = effects.contains(&Effect::Exit);
                assert!(
                    !has_exited,
                    "deployment {index}: exited before all responses"
                );
                let until_kill = (signal_at + kill_after).saturating_duration_since(core.now);
                effects.extend(core.advance(until_kill));
                let mut responded = responded_handles(&effects);
                responded.sort_unstable();
                assert_eq!(responded, [1, 2, 3], "deployment {index}");
                let has_exited = effects.contains(&Effect::Exit);
                assert!(
                    has_exited,
                    "deployment {index}, early {close_early}: no exit"
                );
                effects.extend(core.reduce(Event::FrontendsClosed));
                effects.extend(core.reduce(Event::ShutdownRequested));
                effects.extend(core.advance(5_000 * MS));
                let case = format!(
                    "deployment {index}, early {close_early}, repeated signals {repeated_signals}"
                );
                let count = |kind: &Effect| effects.iter().filter(|effect| *effect == kind).count();
                assert_eq!(count(&Effect::Exit), 1, "{case}");
                assert_eq!(close_times(&effects).len(), 1, "{case}");
            }
        }
    }
}
