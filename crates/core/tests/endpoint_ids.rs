//! Endpoint ids: how long an endpoint keeps its id, and when the id is reassigned to a new name.

mod common;

use common::deployments::{IDEMPOTENT, KEYED, NON_IDEMPOTENT, deployments};
use common::{
    MS, TestCore, endpoint, responded_handles, responses, served, served_response,
    started_attempts, started_attempts_at,
};
use pumiceway_core::*;
use pumiceway_decisions::api::{EndpointId, EndpointState, Outcome, Settings};
use std::collections::HashSet;
use std::ops::Range;

/// The limit of the endpoint set for gone endpoints that keep their ids.
const MAX_GONE_ENDPOINTS: usize = 1_024;

fn numbered_endpoint(number: usize) -> Endpoint {
    endpoint(&format!("n{number}"))
}

/// For each of these numbers, sends a list with a single endpoint of a new name.
fn list_one_by_one(core: &mut TestCore, numbers: Range<usize>) -> Vec<Effect> {
    numbers
        .flat_map(|number| core.list(&[numbered_endpoint(number)]))
        .collect()
}

/// Whether the idle connections to an endpoint are closed, as its id is reassigned.
fn closes_idle_connections(effects: &[Effect], endpoint: EndpointId) -> bool {
    effects.contains(&Effect::CloseIdleConnections { endpoint })
}

/// The address of the first attempt started by these effects.
fn first_address(effects: &[Effect]) -> Option<&EndpointAddress> {
    effects.iter().find_map(|effect| match effect {
        Effect::StartAttempt { address, .. } => Some(address),
        _ => None,
    })
}

/// Memory is bounded however many names are listed: in the core, in the balancer, which has an
/// entry for each id, and in the event loop, which keeps the connections to an endpoint until
/// `CloseIdleConnections`.
#[test]
fn any_number_of_names_takes_a_bounded_number_of_ids() {
    for settings in deployments() {
        let mut core = TestCore::new(settings, &[]);
        let mut connected = HashSet::new();
        for number in 0..3_000 {
            let listed = numbered_endpoint(number);
            let address = listed.address.clone();
            for effect in core.list(&[listed]) {
                if let Effect::CloseIdleConnections { endpoint } = effect {
                    assert!(
                        connected.remove(&endpoint),
                        "{number}: {endpoint:?} closed before"
                    );
                }
            }
            let effects = core.submit(IDEMPOTENT, number as u64);
            let [(attempt, endpoint)] = started_attempts_at(&effects)[..] else {
                panic!("{number}: {effects:?}")
            };
            assert_eq!(first_address(&effects), Some(&address), "{effects:?}");
            assert!(
                connected.insert(endpoint),
                "{number}: {endpoint:?} is not closed yet"
            );
            assert_eq!(responses(&core.end_attempt(attempt, served())).len(), 1);
            let (known, max) = (core.overview().endpoints.len(), MAX_GONE_ENDPOINTS + 2);
            assert!(
                known <= max && connected.len() <= max,
                "{number}: {known} known, {} connected",
                connected.len()
            );
            assert!((endpoint.0 as usize) < max, "{number}: {endpoint:?}");
        }
    }
}

/// If the id were reassigned while requests refer to it, the outcomes of their attempts would count
/// against the new endpoint, or keep them from being sent there. Once no request refers to the id,
/// it is reassigned.
#[test]
fn an_endpoint_with_open_requests_keeps_its_id() {
    for settings in deployments() {
        let mut core = TestCore::new(settings.clone(), &[]);
        let single_slot = |name: &str| Endpoint {
            max_concurrent: Some(1),
            ..endpoint(name)
        };
        core.list(&[single_slot("in-flight"), single_slot("tried")]);
        // One request is in flight at the first endpoint; another one fails at the second and is
        // queued if the settings allow a further attempt.
        let [(in_flight, busy)] = started_attempts_at(&core.submit(KEYED, 1))[..] else {
            panic!()
        };
        let [(failing, tried)] = started_attempts_at(&core.submit(NON_IDEMPOTENT, 2))[..] else {
            panic!()
        };
        core.list(&[]);
        let failed = core.end_attempt(failing, AttemptOutcome::ConnectFailed);
        assert_eq!(started_attempts_at(&failed), []);
        let is_queued = settings.max_attempts > 1;
        let mut effects = Vec::new();
        for number in 0..3 * MAX_GONE_ENDPOINTS {
            // Draining endpoints, so that the queued request stays queued.
            let state = EndpointState::Draining;
            effects.extend(core.list(&[Endpoint {
                state,
                ..numbered_endpoint(number)
            }]));
        }
        assert!(
            !closes_idle_connections(&effects, busy),
            "its attempt is in flight"
        );
        let is_closed = closes_idle_connections(&effects, tried);
        assert_eq!(
            is_closed, !is_queued,
            "a request that was tried there is queued"
        );
        // The endpoint returns with its only slot taken until the attempt ends.
        let returned = core.list(&[single_slot("in-flight")]);
        assert_eq!(started_attempts_at(&returned), []);
        assert_eq!(started_attempts_at(&core.submit(IDEMPOTENT, 3)), []);
        let mut ended = core.end_attempt(in_flight, served());
        assert_eq!(responses(&ended)[0], (1, served_response()));
        // The queued requests are now sent there one after the other.
        let mut responded = Vec::new();
        while let Some(&(attempt, endpoint)) = started_attempts_at(&ended).first() {
            assert_eq!(endpoint, busy);
            ended = core.end_attempt(attempt, served());
            responded.extend(responded_handles(&ended));
        }
        responded.sort_unstable();
        assert_eq!(responded, if is_queued { vec![2, 3] } else { vec![3] });
        let effects = list_one_by_one(&mut core, 4 * MAX_GONE_ENDPOINTS..6 * MAX_GONE_ENDPOINTS);
        let is_tried_closed = closes_idle_connections(&effects, tried);
        assert!(closes_idle_connections(&effects, busy) && (!is_queued || is_tried_closed));
        // A late outcome does not affect the endpoint that has the id now.
        assert!(
            core.end_attempt(in_flight, AttemptOutcome::Reset)
                .is_empty()
        );
    }
}

/// If the id were reassigned, a new endpoint could be ejected for the failed health check of one
/// that is gone.
#[test]
fn an_endpoint_with_a_health_check_in_flight_keeps_its_id() {
    let [settings, ..] = deployments();
    let settings = Settings {
        health_checks: true,
        ..settings
    };
    let mut core = TestCore::new(settings, &[endpoint("checked")]);
    let [(attempt, endpoint)] = started_attempts_at(&core.submit(IDEMPOTENT, 1))[..] else {
        panic!()
    };
    let suspected = core.end_attempt(attempt, AttemptOutcome::ConnectFailed);
    let health_check = suspected.iter().find_map(|effect| match effect {
        Effect::CheckHealth {
            endpoint, check, ..
        } => Some((*endpoint, *check)),
        _ => None,
    });
    let (checked, check) = health_check.expect("no health check");
    assert_eq!(checked, endpoint);
    core.advance(1_000 * MS);
    let before = list_one_by_one(&mut core, 0..3 * MAX_GONE_ENDPOINTS);
    assert!(!closes_idle_connections(&before, endpoint));
    let (outcome, report) = (Outcome::Timeout, None);
    core.reduce(Event::HealthChecked {
        endpoint,
        check,
        outcome,
        report,
    });
    let after = list_one_by_one(&mut core, 3 * MAX_GONE_ENDPOINTS..6 * MAX_GONE_ENDPOINTS);
    assert!(closes_idle_connections(&after, endpoint));
}

/// An outdated list does not make a gone endpoint ready, and a returning endpoint does not lose its
/// id to a new name that precedes it in the same list.
#[test]
fn a_returning_endpoint_keeps_its_id() {
    let [settings, ..] = deployments();
    let mut core = TestCore::new(settings.clone(), &[endpoint("a")]);
    list_one_by_one(&mut core, 0..MAX_GONE_ENDPOINTS - 1);
    core.update_list(EndpointListUpdate::OutdatedSnapshot(vec![endpoint("a")]));
    assert!(
        started_attempts(&core.submit(IDEMPOTENT, 1)).is_empty(),
        "it has left"
    );

    let endpoints: Vec<Endpoint> = (0..2 * MAX_GONE_ENDPOINTS).map(numbered_endpoint).collect();
    let mut core = TestCore::new(settings, &endpoints);
    core.list(&[]);
    // All of them left at once, so the lowest ids are reassigned first.
    core.list(&["new", "n0", "new", "n1"].map(endpoint));
    let known = core.overview().endpoints;
    let index_of = |name: &str| known.iter().position(|endpoint| endpoint.name == name);
    let indices = (index_of("n0"), index_of("n1"), index_of("new"));
    assert_eq!(indices, (Some(0), Some(1), Some(2)));
    let ready = known
        .iter()
        .filter(|endpoint| endpoint.state == EndpointState::Ready);
    assert_eq!(ready.count(), 3);
    assert_eq!(known.len(), 2 * MAX_GONE_ENDPOINTS);
}

/// Memory is bounded however many names a source lists, and the endpoints that are kept stay in use.
#[test]
fn endpoints_beyond_the_limit_are_left_out_and_the_others_are_kept() {
    let [settings, ..] = deployments();
    let limits = CoreLimits {
        max_endpoints: 2 * MAX_GONE_ENDPOINTS,
        ..CoreLimits::default()
    };
    let mut core = TestCore::with_limits(settings, &[endpoint("kept")], limits);
    let names = |numbers: std::ops::Range<usize>| numbers.map(numbered_endpoint).collect();
    let first = core.update_list(EndpointListUpdate::Delta(names(0..3 * MAX_GONE_ENDPOINTS)));
    let left_out = MAX_GONE_ENDPOINTS + 1;
    assert!(first.contains(&Effect::Warn(Warning::TooManyEndpoints { left_out })));
    assert_eq!(core.overview().endpoints.len(), limits.max_endpoints);
    // Endpoints that were gone before make room for new names.
    core.list(&[endpoint("kept")]);
    let second = core.update_list(EndpointListUpdate::Delta(names(9_000..9_500)));
    assert!(
        !second
            .iter()
            .any(|effect| matches!(effect, Effect::Warn(_)))
    );
    let known = core.overview().endpoints;
    assert_eq!(known.len(), limits.max_endpoints);
    assert!(known.contains(&endpoint("kept")) && known.contains(&numbered_endpoint(9_499)));
}
