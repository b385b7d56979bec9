//! Requests that are submitted again with the same request id or the same unique id.

mod common;

use common::deployments::{IDEMPOTENT, KEYED, NON_IDEMPOTENT, deployments};
use common::{
    MS, ONLY_CLASS, TestCore, endpoint, is_only_overload_response, request, responded_handles,
    responses, served, served_response, single_class, started_attempts,
};
use pumiceway_core::*;
use pumiceway_decisions::api::{ClassId, Idempotency};
use std::sync::Arc;
use std::time::Duration;

/// A copy of the request with a modified job.
fn with_job(request: &ClientRequest, change: fn(&mut Job)) -> ClientRequest {
    let mut job = (*request.job).clone();
    change(&mut job);
    ClientRequest {
        job: Arc::new(job),
        ..request.clone()
    }
}

/// A request with other content does not join the open one. Once the open request has its response,
/// its id can be used again, unless the class is non-idempotent.
#[test]
fn an_open_request_id_is_rejected_for_another_path_and_reusable_later_if_idempotent() {
    for (idempotency, runs_again) in [
        (Idempotency::NonIdempotent, 0),
        (Idempotency::Idempotent, 1),
    ] {
        let mut core = TestCore::new(single_class(idempotency), &[endpoint("a")]);
        let first = request(ONLY_CLASS, "t", 2_000 * MS);
        let attempt = started_attempts(&core.submit_request(1, first.clone()))[0];
        let other = with_job(&first, |job| job.path = "/c0/other".into());
        let second = core.submit_request(2, other);
        let is_rejected = matches!(responses(&second)[..], [(2, ClientResponse::Rejected(_))]);
        assert!(is_rejected && second.len() == 1, "{second:?}");
        assert!(core.disconnect(2).is_empty());
        let ended = core.end_attempt(attempt, served());
        assert_eq!(responses(&ended), [(1, served_response())]);
        let after = core.submit_request(3, first);
        assert_eq!(started_attempts(&after).len(), runs_again, "{after:?}");
        let has_failed = matches!(responses(&after)[..], [(3, ClientResponse::Failed(_))]);
        assert!(runs_again == 1 || has_failed, "{after:?}");
    }
}

/// Guards against a client being served the result of another client's request, whose id and content
/// it had sent. That one is neither cancelled nor shortened, whoever leaves, and runs once.
#[test]
fn the_id_of_an_open_request_with_the_same_content_is_rejected() {
    for settings in deployments() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            for strangers_share in [1, 2, 4] {
                let mut core = TestCore::new(settings.clone(), &["a", "b"].map(endpoint));
                let remaining = settings.classes[class].deadline;
                let attempt = started_attempts(&core.submit_as(class, 1, "t", remaining))[0];
                let mut effects = core.submit_as(class, 2, "t", remaining / strangers_share);
                let rejected = ClientResponse::Rejected(Rejection::IdInUse);
                assert_eq!(responses(&effects), [(2, rejected)], "{class}");
                effects = core.disconnect(2);
                effects.extend(core.advance(remaining / 4));
                assert!(effects.iter().all(is_timer), "{class}: {effects:?}");
                let sent = responses(&core.end_attempt(attempt, served()));
                assert_eq!(sent, [(1, served_response())], "{class}");
            }
        }
    }
}

fn is_timer(effect: &Effect) -> bool {
    matches!(effect, Effect::SetTimer { .. })
}

/// The owner has left, and its attempt is cancelled, if the settings allow it, or still in flight.
#[test]
fn the_id_of_a_request_whose_client_has_left_is_served_no_result_of_it() {
    for settings in deployments() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            let mut core = TestCore::new(settings.clone(), &[endpoint("a")]);
            let remaining = settings.classes[class].deadline;
            let attempt = started_attempts(&core.submit_as(class, 1, "t", remaining))[0];
            let abort = Effect::AbortAttempt { attempt };
            assert_eq!(core.disconnect(1).contains(&abort), settings.cancellation);
            let mut effects = core.submit_as(class, 2, "t", remaining);
            effects.extend(core.end_attempt(attempt, served()));
            assert!(
                !responses(&effects).contains(&(2, served_response())),
                "{class}: {effects:?}"
            );
        }
    }
}

/// Guards against a client getting the response to the request of another.
#[test]
fn an_open_request_id_with_other_content_is_rejected() {
    let settings = &deployments()[2];
    let first = request(KEYED, "t", 9_000 * MS);
    for other in [
        ClientRequest {
            function: JobFunction::default_of(ClassId(NON_IDEMPOTENT)),
            ..first.clone()
        },
        with_job(&first, |job| job.unique_id = Some("u".into())),
        with_job(&first, |job| job.path = "/c1/l".into()),
        with_job(&first, |job| job.idempotency_key = None),
        with_job(&first, |job| job.body = "x".into()),
    ] {
        let mut core = TestCore::new(settings.clone(), &["a", "b"].map(endpoint));
        let attempt = started_attempts(&core.submit_request(1, first.clone()))[0];
        let effects = core.submit_request(2, other);
        let rejected = ClientResponse::Rejected(Rejection::IdInUse);
        assert_eq!(responses(&effects), [(2, rejected)]);
        assert!(started_attempts(&effects).is_empty() && core.disconnect(2).is_empty());
        assert_eq!(
            responses(&core.end_attempt(attempt, served())),
            [(1, served_response())]
        );
    }
}

/// The dispatcher may notice that the connection of a client is closed before the client submits
/// its request again: unless its class is idempotent, the request must not run twice.
#[test]
fn a_request_that_may_have_run_runs_again_only_if_its_class_allows() {
    let outcomes = [
        (None, true),
        (Some(AttemptOutcome::Error), true),
        (Some(served()), true),
        (Some(AttemptOutcome::UnprovenRejection), true),
        (Some(AttemptOutcome::ConnectFailed), false),
        (Some(AttemptOutcome::Rejected), false),
        (Some(AttemptOutcome::InvalidJob), false),
    ];
    for (index, settings) in deployments().into_iter().enumerate() {
        for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
            for (outcome, may_have_run) in outcomes.clone() {
                let mut core = TestCore::new(settings.clone(), &[endpoint("a")]);
                let remaining = settings.classes[class].deadline;
                let attempt = started_attempts(&core.submit_as(class, 1, "t", remaining))[0];
                let mut first = vec![];
                if let Some(outcome) = outcome.clone() {
                    first = core.end_attempt(attempt, outcome);
                    // The request may be queued for another endpoint; its client disconnects.
                    assert!(
                        started_attempts(&first).is_empty(),
                        "there is no other endpoint"
                    );
                    core.disconnect(1);
                    core.list(&[endpoint("b")]);
                } else {
                    first.extend(core.disconnect(1));
                }
                // A request that was shed may be submitted again in any class, under a new id if it
                // may have run: by the time it is, endpoints may no longer recognise it.
                let was_shed = matches!(
                    responses(&first)[..],
                    [(1, ClientResponse::Overloaded { .. })]
                );
                if was_shed && may_have_run && class == KEYED {
                    let retry = core.submit_as(class, 3, "u", remaining);
                    assert_eq!(started_attempts(&retry).len(), 1);
                }
                let again = core.submit_as(class, 2, "t", remaining);
                let started_count = started_attempts(&again).len();
                let sent = responses(&again);
                let case = format!("deployment {index}, class {class}, {outcome:?}: {again:?}");
                let is_in_flight = outcome.is_none() && !settings.cancellation;
                match class {
                    // The first attempt could not be cancelled: no second one is started while
                    // it is in flight.
                    _ if is_in_flight => assert!(started_count == 0 && sent.len() == 1, "{case}"),
                    IDEMPOTENT => assert_eq!(started_count, 1, "{case}"),
                    _ if !may_have_run => assert_eq!(started_count, 1, "{case}"),
                    _ => {
                        assert_eq!(started_count, 0, "{case}");
                        let has_failed = matches!(sent[..], [(2, ClientResponse::Failed(_))]);
                        assert!(has_failed, "{case}");
                    }
                }
            }
        }
    }
}

/// Runs a non-idempotent request to completion.
fn run_request(core: &mut TestCore, handle: u64) {
    let attempt = started_attempts(&core.submit(NON_IDEMPOTENT, handle))[0];
    core.end_attempt(attempt, served());
    // No two requests end at the same time.
    core.now += Duration::from_micros(1);
}

/// Whether a non-idempotent request with this request id is started.
fn can_run(core: &mut TestCore, id: &str) -> bool {
    let effects = core.submit_as(NON_IDEMPOTENT, 1_000_000, id, 9_000 * MS);
    core.disconnect(1_000_000);
    !started_attempts(&effects).is_empty()
}

/// How long a request is remembered that must not run again, at least and at most.
const LIFETIME: Duration = Duration::from_secs(300);
const MAX_LIFETIME: Duration = Duration::from_millis(300_000 + 300_000 / 8);

/// Guards against a job running twice that its client sends again and again, or after a pause: ids were
/// forgotten after the deadline of their class.
#[test]
fn a_request_that_is_sent_again_never_runs_again_however_short_its_deadline() {
    for (index, settings) in deployments().into_iter().enumerate() {
        for class in [KEYED, NON_IDEMPOTENT] {
            for origin in [IdOrigin::Client, IdOrigin::Frontend] {
                for interval_s in [1, 30, 299] {
                    assert_runs_once(index, &settings, class, origin, interval_s);
                }
            }
        }
    }
}

/// Sends a request, which may have run, again in this interval for more than two lifetimes, and once
/// more after a lifetime. Where the frontend assigns ids, its unique id stays the same.
fn assert_runs_once(
    index: usize,
    settings: &pumiceway_decisions::api::Settings,
    class: usize,
    origin: IdOrigin,
    interval_s: u64,
) {
    let mut settings = settings.clone();
    settings.classes[class].deadline = 1_000 * MS;
    let cache = IdempotencyCacheLimits {
        retention: 2_000 * MS,
        ..IdempotencyCacheLimits::default()
    };
    let limits = CoreLimits {
        cache,
        ..CoreLimits::default()
    };
    let mut core = TestCore::with_limits(settings, &[endpoint("a")], limits);
    let repeat = |handle: u64| match origin {
        IdOrigin::Client => request(class, "t", 1_000 * MS),
        IdOrigin::Frontend => ClientRequest {
            id_origin: IdOrigin::Frontend,
            function: JobFunction::default_of(ClassId(class)),
            ..request_with_unique_id(handle, "u")
        },
    };
    let attempt = started_attempts(&core.submit_request(1, repeat(1)))[0];
    core.end_attempt(attempt, AttemptOutcome::Reset);
    core.advance(1_000 * MS);
    let mut repeat_after = |handle: u64, pause: Duration| {
        core.now += pause;
        let effects = core.submit_request(handle, repeat(handle));
        core.disconnect(handle);
        (started_attempts(&effects), responses(&effects))
    };
    let interval = Duration::from_secs(interval_s);
    for handle in 2..4 + 2 * 300 / interval_s {
        let (started, sent) = repeat_after(handle, interval);
        let has_failed = matches!(sent[..], [(_, ClientResponse::Failed(_))]);
        let case = format!("deployment {index}, {class}, {origin:?}, {interval:?}: {sent:?}");
        assert!(started.is_empty() && has_failed, "{case}");
    }
    // Ids are remembered for a bounded time.
    assert_eq!(repeat_after(1_000, MAX_LIFETIME).0.len(), 1);
}

/// Memory is bounded, and no consumed id is forgotten before it expires: at the maximum, requests
/// whose ids could not be remembered are shed.
#[test]
fn consumed_ids_are_remembered_for_their_lifetime_however_many_follow() {
    const MAX_IDS: u64 = 4_096;
    let settings = &deployments()[2];
    let limits = CoreLimits {
        max_consumed_ids: MAX_IDS as usize,
        ..CoreLimits::default()
    };
    let mut core = TestCore::with_limits(settings.clone(), &[endpoint("a")], limits);
    run_request(&mut core, 1);
    for handle in 2..=MAX_IDS {
        run_request(&mut core, handle);
    }
    assert!(
        ["t1", "t2", "t200", "t4096"]
            .iter()
            .all(|id| !can_run(&mut core, id))
    );
    let shed = responses(&core.submit(NON_IDEMPOTENT, MAX_IDS + 1));
    assert!(is_only_overload_response(settings, &shed, MAX_IDS + 1));
    // An id that need not be remembered takes no room.
    let attempt = started_attempts(&core.submit(IDEMPOTENT, MAX_IDS + 2))[0];
    core.end_attempt(attempt, served());
    core.now += LIFETIME.saturating_sub(10 * MS);
    assert!(!can_run(&mut core, "t3"));
    let shed = responses(&core.submit(NON_IDEMPOTENT, MAX_IDS + 3));
    assert!(is_only_overload_response(settings, &shed, MAX_IDS + 3));
    // Expired ones make room; one that was sent again meanwhile has not expired.
    core.now += MAX_LIFETIME.saturating_sub(LIFETIME) + 10 * MS;
    assert!(can_run(&mut core, "t2"));
    assert!(!can_run(&mut core, "t3"));
    run_request(&mut core, MAX_IDS + 4);
}

/// A deadline or a deduplication window may be longer than the usual lifetime.
#[test]
fn consumed_ids_are_remembered_for_the_longest_window() {
    let mut settings = deployments()[2].clone();
    let window = 3 * LIFETIME;
    if let Idempotency::Keyed { scope, .. } = settings.classes[KEYED].idempotency {
        settings.classes[KEYED].idempotency = Idempotency::Keyed { scope, window };
    }
    let mut core = TestCore::new(settings, &[endpoint("a")]);
    run_request(&mut core, 1);
    core.now += window.saturating_sub(10 * MS);
    assert!(!can_run(&mut core, "t1"));
}

/// The frontend never assigns an id again, so requests that cannot be submitted again take no room.
#[test]
fn a_request_that_cannot_be_submitted_again_takes_no_room() {
    let limits = CoreLimits {
        max_consumed_ids: 2,
        ..CoreLimits::default()
    };
    let mut core = TestCore::with_limits(deployments()[2].clone(), &[endpoint("a")], limits);
    for handle in 1..20 {
        let request = ClientRequest {
            id_origin: IdOrigin::Frontend,
            ..request(NON_IDEMPOTENT, &format!("t{handle}"), 1_000 * MS)
        };
        let attempt = started_attempts(&core.submit_request(handle, request))[0];
        core.end_attempt(attempt, served());
    }
    run_request(&mut core, 20);
}

/// A Gearman client would retry under the same unique id, which must not run again.
#[test]
fn a_keyed_request_with_a_unique_id_that_may_have_run_is_not_shed() {
    let mut core = TestCore::new(deployments()[0].clone(), &[endpoint("a")]);
    let submit = |core: &mut TestCore, handle| {
        let request = ClientRequest {
            function: JobFunction::default_of(ClassId(KEYED)),
            id_origin: IdOrigin::Frontend,
            ..request_with_unique_id(handle, "u")
        };
        core.submit_request(handle, request)
    };
    let attempt = started_attempts(&submit(&mut core, 1))[0];
    let mut effects = core.end_attempt(attempt, AttemptOutcome::Reset);
    effects.extend(core.list(&[]));
    effects.extend(core.advance(1_000 * MS));
    let has_failed = |effects: &[Effect]| {
        let sent = responses(effects);
        matches!(sent[..], [(_, ClientResponse::Failed(_))])
    };
    assert!(has_failed(&effects), "{effects:?}");
    core.list(&[endpoint("b")]);
    assert!(has_failed(&submit(&mut core, 2)));
}

/// A non-idempotent request with a unique id.
fn request_with_unique_id(handle: u64, unique_id: &str) -> ClientRequest {
    let request = request(NON_IDEMPOTENT, &format!("t{handle}"), 1_000 * MS);
    let job = Job {
        unique_id: Some(unique_id.to_owned()),
        ..(*request.job).clone()
    };
    ClientRequest {
        job: Arc::new(job),
        ..request
    }
}

/// No cached response is evicted before it expires; an expired one makes room.
#[test]
fn with_a_full_idempotency_cache_new_unique_ids_are_shed_until_a_response_expires() {
    for settings in deployments() {
        let cache = IdempotencyCacheLimits {
            retention: 1_000 * MS,
            max_entries: 2,
            max_running: 2,
            max_bytes: 100,
            ..IdempotencyCacheLimits::default()
        };
        let limits = CoreLimits {
            cache,
            ..CoreLimits::default()
        };
        let endpoints = ["a", "b", "c"].map(endpoint);
        let mut core = TestCore::with_limits(settings.clone(), &endpoints, limits);
        let submit = |core: &mut TestCore, handle, unique_id: &str| {
            core.submit_request(handle, request_with_unique_id(handle, unique_id))
        };
        let mut running: Vec<AttemptId> = vec![];
        for (handle, unique_id) in [(1, "u"), (2, "v")] {
            running.extend(started_attempts(&submit(&mut core, handle, unique_id)));
        }
        assert_eq!(running.len(), 2);
        let third = responses(&submit(&mut core, 3, "w"));
        assert!(is_only_overload_response(&settings, &third, 3));
        // Requests with a known unique id, running or cached, need no room.
        assert!(submit(&mut core, 4, "u").is_empty());
        assert_eq!(
            responded_handles(&core.end_attempt(running[0], served())),
            [1, 4]
        );
        assert_eq!(
            responses(&submit(&mut core, 5, "u")),
            [(5, served_response())]
        );
        let sixth = responses(&submit(&mut core, 6, "w"));
        assert!(
            is_only_overload_response(&settings, &sixth, 6),
            "its response is still cached"
        );
        core.now += 1_000 * MS;
        let seventh = started_attempts(&submit(&mut core, 7, "w"));
        assert_eq!(seventh.len(), 1, "the cached response has expired");
    }
}
