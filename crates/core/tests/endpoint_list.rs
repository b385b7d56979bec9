//! Updates of the endpoint list, and their effect on listed endpoints and on requests.

mod common;

use common::deployments::{KEYED, deployments};
use common::{MS, ONLY_CLASS, START, TestCore, endpoint, served, single_class, started_attempts};
use pumiceway_core::*;
use pumiceway_decisions::api::{EndpointState, Idempotency, Timestamp};

fn draining(name: &str) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining,
        ..endpoint(name)
    }
}

#[test]
fn a_draining_endpoint_gets_no_new_request() {
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &[endpoint("a")]);
    core.update_list(EndpointListUpdate::Delta(vec![draining("a")]));
    let mut effects = core.submit_for(ONLY_CLASS, 1, 2_000 * MS);
    effects.extend(core.advance(2_000 * MS));
    assert!(started_attempts(&effects).is_empty(), "{effects:?}");
}

/// An endpoint that drains or is gone gets no request if an outdated list shows it as ready. It is
/// ready again once it has restarted, or with a delta or an up-to-date list.
#[test]
fn an_outdated_list_does_not_make_a_draining_or_gone_endpoint_ready() {
    let restarted = |name: &str| Endpoint {
        started_at: START + MS,
        ..endpoint(name)
    };
    let all = || ["a", "b", "c", "d"].map(endpoint).to_vec();
    let outdated = EndpointListUpdate::OutdatedSnapshot(all());
    let outdated_with_restart =
        EndpointListUpdate::OutdatedSnapshot(vec![restarted("a"), endpoint("b")]);
    let cases: [(&[EndpointListUpdate], &str); 6] = [
        (std::slice::from_ref(&outdated), "cd"),
        (&[outdated.clone(), outdated.clone()], "cd"),
        (&[outdated_with_restart, outdated.clone()], "acd"),
        // An endpoint that is missing from an outdated list does not count as gone: a later
        // outdated list can still show it as ready.
        (
            &[
                EndpointListUpdate::OutdatedSnapshot(vec![]),
                outdated.clone(),
            ],
            "cd",
        ),
        (
            &[
                outdated.clone(),
                EndpointListUpdate::Delta(vec![endpoint("a")]),
                outdated.clone(),
            ],
            "acd",
        ),
        (
            &[outdated.clone(), EndpointListUpdate::Snapshot(all())],
            "abcd",
        ),
    ];
    for (updates, expected) in cases {
        let endpoints = ["a", "b", "c", "d"].map(endpoint);
        let mut core = TestCore::new(single_class(Idempotency::Idempotent), &endpoints);
        core.update_list(EndpointListUpdate::Delta(vec![draining("a")]));
        let a_drains_and_b_is_gone = vec![draining("a"), endpoint("c"), endpoint("d")];
        core.update_list(EndpointListUpdate::Snapshot(a_drains_and_b_is_gone));
        for update in updates {
            core.update_list(update.clone());
        }
        let listed = core.overview().endpoints.into_iter();
        let ready = listed.filter(|endpoint| endpoint.state == EndpointState::Ready);
        let ready_names: String = ready.map(|endpoint| endpoint.name).collect();
        assert_eq!(ready_names, expected, "{updates:?}");
    }
}

/// The lists of different sources are independent.
#[test]
fn a_snapshot_replaces_the_list_of_its_own_source_only() {
    let mut core = TestCore::new(single_class(Idempotency::Idempotent), &[endpoint("a")]);
    let snapshot = EndpointListUpdate::Snapshot(vec![endpoint("z")]);
    core.update_list_from(EndpointSource::ZooKeeper, START, snapshot);
    core.list(&[]);
    let listed = core.overview().endpoints.into_iter();
    let states: Vec<_> = listed
        .map(|endpoint| (endpoint.name, endpoint.state))
        .collect();
    let expected = [
        ("a".to_owned(), EndpointState::Gone),
        ("z".to_owned(), EndpointState::Ready),
    ];
    assert_eq!(states, expected);
    assert_eq!(
        started_attempts(&core.submit_for(ONLY_CLASS, 1, 2_000 * MS)).len(),
        1
    );
}

/// An endpoint may leave the list or restart while attempts are in flight, and return under the
/// same name: each of its slots must be freed exactly once.
#[test]
fn a_returning_endpoint_keeps_its_attempts_in_flight() {
    for settings in deployments() {
        for started_at in [Timestamp::ORIGIN, START] {
            for ends_while_gone in [true, false] {
                let returned = Endpoint {
                    max_concurrent: Some(2),
                    started_at,
                    skips_slow_start: true,
                    ..endpoint("a")
                };
                let original = Endpoint {
                    started_at: Timestamp::ORIGIN,
                    ..returned.clone()
                };
                let mut core = TestCore::new(settings.clone(), &[original]);
                let first = started_attempts(&core.submit(KEYED, 1))[0];
                let second = started_attempts(&core.submit(KEYED, 2))[0];
                let third = core.submit(KEYED, 3);
                assert!(started_attempts(&third).is_empty(), "both slots are taken");
                assert!(started_attempts(&core.list(&[])).is_empty());
                let mut effects = vec![];
                if ends_while_gone {
                    effects.extend(core.end_attempt(first, served()));
                    assert!(
                        started_attempts(&effects).is_empty(),
                        "the endpoint is gone"
                    );
                }
                effects.extend(core.list(&[returned]));
                if !ends_while_gone {
                    assert!(
                        started_attempts(&effects).is_empty(),
                        "both are still in flight"
                    );
                    effects.extend(core.end_attempt(first, served()));
                }
                // One slot is free, for the queued request or the new one.
                effects.extend(core.submit(KEYED, 4));
                effects.extend(core.end_attempt(first, AttemptOutcome::Error));
                let case = format!("{started_at:?} {ends_while_gone}");
                assert_eq!(started_attempts(&effects).len(), 1, "{case}: {effects:?}");
                effects.extend(core.end_attempt(second, served()));
                assert_eq!(started_attempts(&effects).len(), 2, "{case}: {effects:?}");
            }
        }
    }
}
