//! Large fleets: many dispatchers with few requests each. Decisions that are harmless for a single
//! dispatcher can overload endpoints when a hundred dispatchers take them.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::collections::BTreeSet;

/// Settings of one of `instance_count` dispatchers.
fn fleet_settings(idempotency: Idempotency, instance_count: usize) -> Settings {
    Settings {
        instance_count,
        reports_start: true,
        ..settings(idempotency)
    }
}

/// For 6 s, an endpoint reports every 100 ms the free capacity that `free` returns for the round.
fn report_for_six_seconds(host: &mut TestHost, endpoint: u32, free: fn(u32) -> f64) {
    for round in 0..60 {
        host.now += 100 * MS;
        host.report_free(endpoint, free(round));
    }
}

/// Guards against queueing requests at full endpoints: there a request of higher weight could not
/// overtake them, and those of many dispatchers would add up to a queue that no load report shows.
#[test]
fn request_without_capacity_is_queued_here_and_not_at_a_full_endpoint() {
    let result_with = |instance_count| {
        let mut host = TestHost::new(
            fleet_settings(Idempotency::NonIdempotent, instance_count),
            &[entry(0, 0)],
            4.0,
        );
        report_for_six_seconds(&mut host, 0, |_| 0.0);
        host.reported_free = 0.0;
        let (request, mut actions) = host.submit(0, 1.0);
        actions.extend(host.advance(1_000 * MS, &[0]));
        (sent_to(&actions), is_shed(&actions, request))
    };
    assert_eq!(
        result_with(1),
        (None, true),
        "it is shed in time, as no endpoint has capacity"
    );
    assert_eq!(
        result_with(20),
        (None, true),
        "the same with many dispatchers"
    );
}

/// Guards against many dispatchers sending to the same free slot because they all see the same load
/// report.
#[test]
fn endpoints_with_spare_capacity_come_first_in_a_large_fleet() {
    let sent_with = |instance_count| {
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, instance_count),
            &[entry(0, 0), entry(1, 0)],
            4.0,
        );
        report_for_six_seconds(&mut host, 0, |_| 1.0);
        host.report_free(1, 4.0);
        host.submit_many(1)
    };
    assert_eq!(
        (sent_with(1), sent_with(20)),
        (vec![Some(0)], vec![Some(1)])
    );
}

/// An endpoint may report free slots and still start no request, because the head of its queue does
/// not fit into them. Dispatchers must not keep sending requests that wait behind it.
#[test]
fn endpoint_where_a_request_did_not_start_is_avoided_for_longer_each_time() {
    let mut host = TestHost::new(
        fleet_settings(Idempotency::Idempotent, 20),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let mut avoided_for = Vec::new();
    for _ in 0..2 {
        let (request, actions) = host.submit(0, 1.0);
        assert_eq!(sent_to(&actions), Some(0));
        host.report_free(1, 4.0);
        assert_eq!(
            sent_to(&host.advance(300 * MS, &[0, 1])),
            Some(1),
            "the request is hedged"
        );
        host.attempt_started(request, 1, 1);
        host.attempt_finished(request, 0, 0, Outcome::Cancelled);
        host.attempt_finished(request, 1, 1, Outcome::Success);
        let avoided_since = host.now;
        // The endpoint continues to report free slots.
        loop {
            host.now += 50 * MS;
            host.report_free(0, 4.0);
            host.report_free(1, 4.0);
            let (request, actions) = host.submit(0, 1.0);
            let endpoint = sent_to(&actions).expect("both report free slots");
            host.handle(Event::ClientDisconnected { request });
            host.attempt_finished(request, 0, endpoint, Outcome::Success);
            if endpoint == 0 {
                avoided_for.push(host.now.saturating_duration_since(avoided_since));
                break;
            }
        }
    }
    assert!(
        avoided_for[0] >= 750 * MS && avoided_for[1] >= 1_500 * MS && avoided_for[1] <= 2_600 * MS,
        "{avoided_for:?}"
    );
}

/// Guards against unused turns at an endpoint in slow start while other endpoints get more requests
/// than they can start.
#[test]
fn dispatcher_sends_to_an_endpoint_in_slow_start_first_when_it_is_its_turn() {
    let starting = || EndpointEntry {
        started_at: START.saturating_sub(6_000 * MS),
        ..entry(1, 0)
    };
    let sent_first_to_starting = |instance_count: usize| {
        let sends_first = |instance_index| {
            let settings = Settings {
                instance_index,
                ..fleet_settings(Idempotency::Idempotent, instance_count)
            };
            TestHost::new(settings, &[entry(0, 0), starting()], 4.0).submit_many(1) == [Some(1)]
        };
        (0..instance_count)
            .filter(|&instance_index| sends_first(instance_index))
            .count()
    };
    assert!(
        sent_first_to_starting(1) == 0 && sent_first_to_starting(20) >= 5,
        "{} {}",
        sent_first_to_starting(1),
        sent_first_to_starting(20)
    );
}

/// Guards against shedding all requests of a large fleet before the first load reports are
/// received.
#[test]
fn endpoint_that_has_not_reported_is_health_checked_once_and_sent_the_request() {
    let sent_with = |instance_count| {
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, instance_count),
            &[],
            4.0,
        );
        host.update_endpoints(ListKind::Snapshot, &[entry(0, 0)]);
        let (_, actions) = host.arrive(0, 1.0);
        assert!(
            instance_count == 1
                || actions.contains(&Action::CheckHealth {
                    endpoint: EndpointId(0)
                }),
            "{actions:?}"
        );
        sent_to(&host.health_checked(0, Outcome::Success, None))
    };
    assert_eq!((sent_with(1), sent_with(20)), (None, Some(0)));
}

/// In a large fleet a load report is used without smoothing, so the request goes to the endpoint
/// that reports all its slots free. A single dispatcher uses a smoothed estimate and accepts an
/// endpoint that lacks less than a slot.
#[test]
fn request_that_takes_a_whole_endpoint_goes_to_one_that_reports_itself_empty() {
    let sent_with = |instance_count| {
        let endpoints = [entry(0, 0), entry(1, 0)];
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, instance_count),
            &endpoints,
            4.0,
        );
        report_for_six_seconds(&mut host, 0, |round| f64::from(round / 8 % 2));
        host.report_free(1, 4.0);
        host.reported_free = 1.0;
        sent_to(&host.submit(0, 4.0).1)
    };
    assert_eq!((sent_with(1), sent_with(20)), (Some(1), Some(1)));
}

/// A slow endpoint is detected from its load reports. Otherwise each of many dispatchers would have
/// to find out with its own requests.
#[test]
fn endpoint_with_low_throughput_for_its_utilization_comes_last_in_a_large_fleet() {
    let sent_with = |instance_count| {
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, instance_count),
            &[entry(0, 0), entry(1, 0)],
            4.0,
        );
        for _ in 0..10 {
            host.now += 500 * MS;
            for (endpoint, requests_per_second) in [(0, 0.1), (1, 1.9)] {
                let report = LoadReport {
                    free_slots: Some(2.0),
                    requests_per_second: Some(requests_per_second),
                    cpu_utilization: Some(0.9),
                    ..LoadReport::default()
                };
                host.health_checked(endpoint, Outcome::Success, Some(report));
            }
        }
        host.submit_many(1)
    };
    assert_eq!(
        (sent_with(1), sent_with(20)),
        (vec![Some(0)], vec![Some(1)])
    );
}

/// An endpoint with high CPU utilization and few completed requests is slow from its first report
/// on.
#[test]
fn single_load_report_identifies_a_slow_endpoint() {
    let sent_after_one_report = |requests_per_second, cpu_utilization| {
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, 20),
            &[entry(0, 0), entry(1, 0)],
            4.0,
        );
        let report = |requests_per_second, cpu_utilization| LoadReport {
            free_slots: Some(4.0),
            requests_per_second,
            cpu_utilization,
            ..LoadReport::default()
        };
        for _ in 0..40 {
            host.now += 500 * MS;
            host.health_checked(1, Outcome::Success, Some(report(Some(1.9), Some(0.9))));
        }
        host.health_checked(
            0,
            Outcome::Success,
            Some(report(requests_per_second, cpu_utilization)),
        );
        host.submit_many(1)
    };
    assert_eq!(
        sent_after_one_report(Some(0.2), Some(0.9)),
        [Some(1)],
        "slow: low throughput at high utilization"
    );
    assert_eq!(sent_after_one_report(Some(1.2), Some(0.9)), [Some(0)]);
    assert_eq!(
        sent_after_one_report(Some(0.0), Some(0.1)),
        [Some(0)],
        "idle"
    );
    assert_eq!(
        sent_after_one_report(None, None),
        [Some(0)],
        "no throughput and utilization reported"
    );
}

/// Guards against requests that spend all their attempts on connect timeouts in a lost zone.
#[test]
fn home_zone_with_two_unresponsive_endpoints_and_no_responsive_one_is_left_at_once() {
    let sent_with = |instance_count, third_responds| {
        let endpoints = [entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 1)];
        let mut host = TestHost::new(
            fleet_settings(Idempotency::Idempotent, instance_count),
            &endpoints,
            4.0,
        );
        host.advance(500 * MS, &[0, 1, 2, 3]);
        for endpoint in [0, 1] {
            host.health_checked(endpoint, Outcome::Timeout, None);
        }
        if third_responds {
            host.now += MS;
            host.report_free(2, 4.0);
        }
        host.report_free(3, 4.0);
        host.submit_many(1)
    };
    assert_eq!(
        sent_with(20, false),
        [Some(3)],
        "the third endpoint of the zone is not tried"
    );
    assert_eq!(
        sent_with(20, true),
        [Some(2)],
        "one that responds shows that the zone is not lost"
    );
    assert_eq!(sent_with(1, false), [Some(2)]);
}

/// Guards against every endpoint fetching the data of every key, which would overload the store
/// that they fetch it from.
#[test]
fn requests_with_one_affinity_key_go_to_the_same_endpoints_from_every_dispatcher() {
    let endpoints: Vec<_> = (0..8).map(|number| entry(number, 0)).collect();
    let first_endpoint = |instance_index, affinity_key| {
        let settings = Settings {
            instance_index,
            ..fleet_settings(Idempotency::Idempotent, 20)
        };
        let mut host = TestHost::new(settings, &endpoints, 4.0);
        host.affinity_key = Some(affinity_key);
        host.submit_many(1)[0].expect("all are idle")
    };
    let mut used = Vec::new();
    for affinity_key in 0..24 {
        // Each key has two first endpoints, and about half of the dispatchers start with each.
        let sent: Vec<u32> = (0..20)
            .map(|instance_index| first_endpoint(instance_index, affinity_key))
            .collect();
        let mut distinct = sent.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert_eq!(distinct.len(), 2, "{sent:?}");
        let at_one = sent
            .iter()
            .filter(|&&endpoint| endpoint == distinct[0])
            .count();
        assert!((4..=16).contains(&at_one), "{sent:?}");
        used.extend(distinct);
    }
    let distinct: BTreeSet<_> = used.iter().collect();
    assert!(
        distinct.len() >= 6,
        "keys are distributed over the endpoints: {used:?}"
    );
}

/// While the endpoints of a key are full, its requests wait briefly. Sent elsewhere at once, they
/// would make other endpoints fetch the data of the key and fill them too.
#[test]
fn request_waits_briefly_for_the_endpoints_of_its_affinity_key() {
    let endpoints: Vec<_> = (0..8).map(|number| entry(number, 0)).collect();
    let mut host = TestHost::new(fleet_settings(Idempotency::Idempotent, 20), &endpoints, 4.0);
    host.affinity_key = Some(7);
    let mut full = BTreeSet::new();
    while let Some(endpoint) = sent_to(&host.submit(0, 1.0).1) {
        full.insert(endpoint);
        host.report_free(endpoint, 0.0);
    }
    assert_eq!(
        full.len(),
        4,
        "the minimum number of endpoints for a key is 4: {full:?}"
    );
    let (request, actions) = host.arrive(0, 1.0);
    assert!(sent_to(&actions).is_none() && !is_shed(&actions, request));
    let arrived_at = host.now;
    let elsewhere = loop {
        if let Some(endpoint) = sent_to(&host.advance(20 * MS, &[0, 1, 2, 3, 4, 5, 6, 7])) {
            break endpoint;
        }
        assert!(
            host.now < arrived_at + 200 * MS,
            "it is sent elsewhere in time"
        );
    };
    assert!(
        !full.contains(&elsewhere) && host.now >= arrived_at + 60 * MS,
        "{elsewhere} after {:?}",
        host.now.saturating_duration_since(arrived_at)
    );
}

/// With fewer than three endpoints per dispatcher, the rate of periodic health checks is limited.
/// Checks that were sent before the list shrank must not count against that limit.
#[test]
fn periodic_health_checks_continue_at_a_lower_rate_when_the_list_shrinks() {
    let endpoints: Vec<_> = (0..8).map(|number| entry(number, 0)).collect();
    let mut host = TestHost::new(fleet_settings(Idempotency::Idempotent, 2), &endpoints, 4.0);
    let count_health_checks = |host: &mut TestHost, span| {
        let actions = host.advance(span, &[0, 1, 2, 3, 4, 5, 6, 7]);
        actions
            .iter()
            .filter(|action| matches!(action, Action::CheckHealth { .. }))
            .count()
    };
    assert!(
        count_health_checks(&mut host, 120_000 * MS) > 50,
        "one per endpoint in each refresh interval of eight request gaps"
    );
    host.update_endpoints(ListKind::Snapshot, &endpoints[..5]);
    let count = count_health_checks(&mut host, 20_000 * MS);
    assert!(
        (10..=25).contains(&count),
        "expected 0.9 per second: {count}"
    );
}
