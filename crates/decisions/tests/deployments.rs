//! Properties that only some deployments have: suspended requests, zones with one endpoint, weights
//! that fall with load, memory besides slots, and idempotency keys.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use pumiceway_decisions::settings::DeploymentSettings;
use std::time::Duration;

/// Each zone deduplicates separately.
const KEYED: Idempotency = Idempotency::Keyed {
    scope: DeduplicationScope::Zone,
    window: Duration::from_millis(7_500),
};

/// Settings with three zones and a deadline of 15 s, where endpoints report starts but no progress.
fn zoned_settings(idempotency: Idempotency) -> Settings {
    let mut settings = Settings {
        zone_count: 3,
        reports_start: true,
        progress_interval: Duration::ZERO,
        ..settings(idempotency)
    };
    settings.classes[0].deadline = 15_000 * MS;
    settings
}

/// A load report with this many free slots and this much free memory.
fn load_report(slots: f64, memory: f64) -> LoadReport {
    LoadReport {
        free_slots: Some(slots),
        free_memory: Some(memory),
        ..LoadReport::default()
    }
}

/// A request with one slot and this much memory arrives. Health checks return the load report of
/// their endpoint from `reports`.
fn submit(
    host: &mut TestHost,
    number: u64,
    memory: f64,
    reports: &[LoadReport],
) -> (RequestId, Vec<Action>) {
    let request = RequestId(1_000 + number);
    let mut actions = host.handle(Event::RequestArrived(IncomingRequest {
        request,
        class: ClassId(0),
        function: None,
        remaining: 15_000 * MS,
        slots: 1.0,
        memory,
        work_hint: None,
        tenant: None,
        affinity_key: None,
    }));
    let mut position = 0;
    while position < actions.len() {
        if let Action::CheckHealth { endpoint } = actions[position] {
            let report = reports[endpoint.0 as usize];
            actions.extend(host.health_checked(endpoint.0, Outcome::Success, Some(report)));
        }
        position += 1;
    }
    (request, actions)
}

/// Each of the first `endpoint_count` endpoints reports this many free slots.
fn report_all_free(host: &mut TestHost, endpoint_count: u32, slots: f64) -> Vec<Action> {
    (0..endpoint_count)
        .flat_map(|endpoint| host.report_free(endpoint, slots))
        .collect()
}

/// An endpoint may suspend a request in favour of one of higher priority without reporting it. The
/// request then takes four times as long, which must not be mistaken for a failure.
#[test]
fn suspended_request_ejects_no_endpoint_and_is_not_hedged() {
    let mut host = TestHost::new(
        zoned_settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0), entry(2, 1)],
        3.0,
    );
    let reports = [load_report(3.0, 3.0); 3];
    let run_time = 300 * MS;
    // Learns the running time of the class before one of its requests takes longer.
    for number in 0..120 {
        let (request, actions) = submit(&mut host, number, 0.5, &reports);
        let endpoint = sent_to(&actions).expect("an endpoint has capacity");
        host.attempt_started(request, 0, endpoint);
        host.now += run_time;
        host.attempt_succeeded(request, endpoint, run_time);
    }
    let in_flight: Vec<_> = (200..203)
        .map(|number| {
            let (request, actions) = submit(&mut host, number, 0.5, &reports);
            let endpoint = sent_to(&actions).expect("an endpoint has capacity");
            host.attempt_started(request, 0, endpoint);
            (request, endpoint)
        })
        .collect();
    let (suspended, endpoint_of_suspended) = in_flight[0];
    let no_request_affected = |actions: &[Action]| {
        actions.iter().all(|action| {
            matches!(
                action,
                Action::CheckHealth { .. } | Action::SetTimer { .. } | Action::Log(_)
            )
        })
    };
    let actions = host.advance(run_time, &[0, 1, 2]);
    assert!(no_request_affected(&actions), "{actions:?}");
    for &(request, endpoint) in &in_flight[1..] {
        let actions = host.attempt_succeeded(request, endpoint, run_time);
        assert!(no_request_affected(&actions), "{actions:?}");
    }
    let actions = host.advance(3 * run_time, &[0, 1, 2]);
    assert!(no_request_affected(&actions), "{actions:?}");
    report_all_free(&mut host, 3, 2.0);
    let (next, actions) = submit(&mut host, 300, 0.5, &[load_report(2.0, 2.0); 3]);
    assert_eq!(
        sent_to(&actions),
        Some(endpoint_of_suspended),
        "requests are still sent to its endpoint"
    );
    host.attempt_succeeded(next, endpoint_of_suspended, run_time);
    let actions = host.attempt_succeeded(suspended, endpoint_of_suspended, 4 * run_time);
    assert!(no_request_affected(&actions), "{actions:?}");
}

/// Requests are sent to other zones for that time, and to the home zone again afterwards.
#[test]
fn other_zones_are_used_while_the_only_endpoint_of_the_home_zone_is_full_or_lost() {
    let mut host = TestHost::new(
        zoned_settings(Idempotency::NonIdempotent),
        &[entry(0, 1), entry(1, 2), entry(2, 0)],
        3.0,
    );
    let reports = [load_report(3.0, 3.0); 3];
    let sent: Vec<_> = (0..5)
        .map(|number| sent_to(&submit(&mut host, number, 0.5, &reports).1))
        .collect();
    assert_eq!(sent[..3], [Some(2); 3], "home zone first");
    assert!(
        sent[3..]
            .iter()
            .all(|endpoint| endpoint.is_some_and(|endpoint| endpoint != 2)),
        "other zones when the home zone is full: {sent:?}"
    );
    for number in 0..3 {
        host.attempt_succeeded(RequestId(1_000 + number), 2, 50 * MS);
    }
    let (request, actions) = submit(&mut host, 10, 0.5, &reports);
    assert_eq!(sent_to(&actions), Some(2), "the home zone again");
    let mut actions = host.attempt_finished(request, 0, 2, Outcome::ConnectFailed);
    actions.extend(host.health_checked(2, Outcome::ConnectFailed, None));
    actions.extend(report_all_free(&mut host, 2, 3.0));
    assert!(
        sent_to(&actions).is_some_and(|endpoint| endpoint != 2),
        "a request that never reached the lost zone is sent elsewhere: {actions:?}"
    );
    let actions = submit(&mut host, 11, 0.5, &reports).1;
    assert!(
        sent_to(&actions).is_some_and(|endpoint| endpoint != 2),
        "and so is the next request: {actions:?}"
    );
    // The endpoint is on probation, which is reserved for idempotent requests unless none has
    // arrived for 10 s.
    host.advance(10_000 * MS, &[0, 1, 2]);
    report_all_free(&mut host, 3, 3.0);
    host.advance(11_000 * MS, &[0, 1, 2]);
    report_all_free(&mut host, 3, 3.0);
    let actions = submit(&mut host, 12, 0.5, &reports).1;
    assert_eq!(sent_to(&actions), Some(2), "the endpoint is used again");
}

/// Weights that fall with load must not be taken for relative sizes, as a busy endpoint would then
/// look like a slow machine.
#[test]
fn weights_that_change_with_every_update_do_not_affect_selection() {
    let document: DeploymentSettings = serde_json::from_str(
        r#"{"lanes":[{"name":"l","aim-us":200000,"deadline-us":5000000,"points":1,
              "semantics":"read_like"}],
            "limits":{"most-tries":3},"rules":{},"weights":"live"}"#,
    )
    .unwrap();
    let endpoints_with = |weight: fn(u32, u32) -> f64| -> Vec<_> {
        let entries = |round: u32| {
            let entry_of = |endpoint: u32| EndpointEntry {
                kind: KindId(endpoint as usize % 2),
                relative_size: document.relative_size(Some(weight(endpoint, round))),
                ..entry(endpoint, endpoint as usize / 2)
            };
            (0..6).map(entry_of).collect::<Vec<_>>()
        };
        let settings = Settings {
            kind_count: 2,
            ..zoned_settings(Idempotency::Idempotent)
        };
        let mut host = TestHost::new(settings, &entries(0), 4.0);
        let reports = [load_report(4.0, 4.0); 6];
        (0..40)
            .map(|round| {
                host.update_endpoints(ListKind::Delta, &entries(round));
                let (request, actions) = submit(&mut host, u64::from(round), 0.5, &reports);
                let endpoint = sent_to(&actions).expect("an endpoint has capacity");
                if round % 4 != 3 {
                    host.attempt_succeeded(request, endpoint, 50 * MS);
                }
                host.now += 20 * MS;
                report_all_free(&mut host, 6, 4.0);
                endpoint
            })
            .collect()
    };
    let constant = endpoints_with(|_, _| 1.0);
    let live = endpoints_with(|endpoint, round| {
        if (endpoint + round) % 2 == 0 {
            0.1
        } else {
            1.0 + f64::from(round % 7)
        }
    });
    assert_eq!(constant, live);
}

/// It must not count as a slow machine because the relative size of another one is known.
#[test]
fn endpoint_of_unknown_relative_size_does_not_come_last() {
    let known = EndpointEntry {
        kind: KindId(1),
        relative_size: 0.25,
        ..entry(1, 0)
    };
    let settings = Settings {
        kind_count: 2,
        ..zoned_settings(Idempotency::Idempotent)
    };
    let mut host = TestHost::new(
        settings,
        &[
            EndpointEntry {
                relative_size: 0.0,
                ..entry(0, 0)
            },
            known,
        ],
        4.0,
    );
    assert_eq!(
        sent_to(&submit(&mut host, 0, 0.5, &[load_report(4.0, 4.0); 2]).1),
        Some(0)
    );
}

/// At an endpoint without free memory, the request would wait until another one has ended.
#[test]
fn request_that_finds_slots_but_no_memory_is_sent_elsewhere_or_queued() {
    let mut host = TestHost::new(
        zoned_settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        2.0,
    );
    for number in 0..120 {
        let (request, actions) = submit(&mut host, number, 0.5, &[load_report(2.0, 2.0); 2]);
        host.now += 1_000 * MS;
        host.attempt_succeeded(
            request,
            sent_to(&actions).expect("an endpoint has capacity"),
            1_000 * MS,
        );
    }
    let report_memory = |host: &mut TestHost, memory: [f64; 2]| {
        host.now += 5_000 * MS;
        host.health_checked(0, Outcome::Success, Some(load_report(2.0, memory[0])));
        host.health_checked(1, Outcome::Success, Some(load_report(2.0, memory[1])));
    };
    report_memory(&mut host, [0.0, 2.0]);
    let (request, actions) = submit(
        &mut host,
        200,
        0.8,
        &[load_report(2.0, 0.0), load_report(2.0, 2.0)],
    );
    assert_eq!(sent_to(&actions), Some(1), "{actions:?}");
    host.attempt_succeeded(request, 1, 1_000 * MS);
    report_memory(&mut host, [0.0, 0.0]);
    let (request, actions) = submit(&mut host, 201, 0.8, &[load_report(2.0, 0.0); 2]);
    assert!(
        sent_to(&actions).is_none() && !is_shed(&actions, request),
        "{actions:?}"
    );
    report_memory(&mut host, [0.0, 2.0]);
    let (_, actions) = submit(
        &mut host,
        202,
        0.8,
        &[load_report(2.0, 0.0), load_report(2.0, 2.0)],
    );
    assert_eq!(sent_to(&actions), Some(1), "{actions:?}");
}

/// Other zones do not recognise its key, and after the window no endpoint does. The request then
/// fails instead of being shed, as the client must not retry it either.
#[test]
fn retry_of_a_keyed_request_stays_in_its_zone_and_its_window() {
    let endpoints = [entry(0, 0), entry(1, 0), entry(2, 1), entry(3, 2)];
    let reports = [load_report(3.0, 3.0); 4];
    let send_first_attempt = || {
        let mut settings = zoned_settings(KEYED);
        settings.classes[0].latency_objective = 12_000 * MS;
        let mut host = TestHost::new(settings, &endpoints, 3.0);
        let (request, actions) = submit(&mut host, 0, 0.5, &reports);
        let first = sent_to(&actions).expect("an endpoint has capacity");
        host.attempt_started(request, 0, first);
        (host, request, first)
    };
    // The other endpoint of the zone gets the retry.
    let (mut host, request, first) = send_first_attempt();
    host.now += 7_000 * MS;
    let mut actions = host.attempt_finished(request, 0, first, Outcome::Reset);
    actions.extend(report_all_free(&mut host, 4, 3.0));
    assert_eq!(sent_to(&actions), Some(1 - first), "{actions:?}");
    // No attempt reached an endpoint, so the request has not run, and other zones may get it.
    let (mut host, request, first) = send_first_attempt();
    let mut actions = host.attempt_finished(request, 0, first, Outcome::ConnectFailed);
    actions.extend(host.health_checked(first, Outcome::ConnectFailed, None));
    let second = sent_to(&actions).expect("the other endpoint of the home zone");
    let mut actions = host.attempt_finished(request, 1, second, Outcome::ConnectFailed);
    actions.extend(host.health_checked(second, Outcome::ConnectFailed, None));
    assert!(
        sent_to(&actions).is_some_and(|endpoint| endpoint > 1),
        "{actions:?}"
    );
    // The request may have run, so no other zone may get it although the home zone is lost.
    let (mut host, request, first) = send_first_attempt();
    host.advance(1_000 * MS, &[0, 1, 2, 3]);
    let mut actions = host.health_checked(1 - first, Outcome::ConnectFailed, None);
    actions.extend(host.attempt_finished(request, 0, first, Outcome::Reset));
    actions.extend(host.health_checked(first, Outcome::ConnectFailed, None));
    actions.extend(host.advance(14_500 * MS, &[2, 3]));
    assert!(
        sent_to(&actions).is_none() && is_failed(&actions, request) && !is_shed(&actions, request),
        "{actions:?}"
    );
    // After the deduplication window, no endpoint may get it.
    let (mut host, request, first) = send_first_attempt();
    host.now += 7_600 * MS;
    let mut actions = host.attempt_finished(request, 0, first, Outcome::Reset);
    actions.extend(report_all_free(&mut host, 4, 3.0));
    actions.extend(host.advance(7_500 * MS, &[0, 1, 2, 3]));
    assert!(
        sent_to(&actions).is_none() && is_failed(&actions, request) && !is_shed(&actions, request),
        "{actions:?}"
    );
}
