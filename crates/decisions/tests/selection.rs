//! Endpoint selection: the preference order and the constraints of a class.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::collections::BTreeSet;

/// Two endpoints in each zone, not sorted by name. Zone 0 is the home zone and contains `b` and
/// `c`.
fn four_endpoints() -> [EndpointEntry<'static>; 4] {
    [entry(2, 0), entry(0, 1), entry(1, 0), entry(3, 1)]
}

/// An endpoint is used only when all endpoints before it in the order are full.
#[test]
fn endpoints_fill_in_name_order_with_the_home_zone_first() {
    let mut host = TestHost::new(settings(Idempotency::Idempotent), &four_endpoints(), 2.0);
    let endpoints: Vec<_> = host.submit_many(8).into_iter().flatten().collect();
    assert_eq!(endpoints, [1, 1, 2, 2, 0, 0, 3, 3]);
}

#[test]
fn light_load_uses_only_the_first_endpoint() {
    let mut host = TestHost::new(settings(Idempotency::Idempotent), &four_endpoints(), 2.0);
    for _ in 0..20 {
        let (request, actions) = host.submit(0, 1.0);
        assert_eq!(sent_to(&actions), Some(1));
        host.now += 50 * MS;
        host.attempt_finished(request, 0, 1, Outcome::Success);
    }
}

#[test]
fn each_dispatcher_starts_at_its_own_position_in_the_order() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.instance_index = 1;
    settings.instance_count = 2;
    let mut host = TestHost::new(
        settings,
        &[entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 0)],
        1.0,
    );
    assert_eq!(host.submit_many(4), [Some(2), Some(3), Some(0), Some(1)]);
}

#[test]
fn machine_kind_too_slow_for_the_latency_objective_comes_last() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.kind_count = 2;
    let slow = EndpointEntry {
        kind: KindId(1),
        relative_size: 0.4,
        ..entry(0, 0)
    };
    let mut host = TestHost::new(settings, &[slow, entry(1, 0), entry(2, 0)], 1.0);
    assert_eq!(host.submit_many(3), [Some(1), Some(2), Some(0)]);
}

#[test]
fn class_is_sent_only_to_its_allowed_kinds() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.kind_count = 2;
    settings.classes[0].allowed_kinds = Some(vec![KindId(1)]);
    let mut host = TestHost::new(
        settings,
        &[
            entry(0, 0),
            EndpointEntry {
                kind: KindId(1),
                ..entry(1, 1)
            },
        ],
        1.0,
    );
    assert_eq!(host.submit_many(1), [Some(1)]);
}

/// Dispatchers with the same first endpoint use different orders after it. Otherwise they would all
/// overflow to the same second endpoint.
#[test]
fn dispatchers_with_the_same_first_endpoint_have_different_second_ones() {
    let endpoints: Vec<_> = (0..7).map(|number| entry(number, 0)).collect();
    let mut second_endpoints = BTreeSet::new();
    for instance_index in 0..2 {
        let mut settings = settings(Idempotency::Idempotent);
        settings.instance_index = instance_index;
        settings.instance_count = 20;
        let sent = TestHost::new(settings, &endpoints, 1.0).submit_many(7);
        assert_eq!(sent[0], Some(0), "both start at the same endpoint");
        let used: BTreeSet<_> = sent.iter().flatten().collect();
        assert!(used.len() >= 4, "{sent:?}");
        second_endpoints.insert(sent[1]);
    }
    assert_eq!(second_endpoints.len(), 2);
}

#[test]
fn allowed_zones_and_kinds_bind_first_attempts_hedges_and_retries() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.kind_count = 2;
    settings.classes[0].allowed_zones = Some(vec![ZoneId(1)]);
    settings.classes[0].allowed_kinds = Some(vec![KindId(1)]);
    let allowed = EndpointEntry {
        kind: KindId(1),
        ..entry(3, 1)
    };
    let mut host = TestHost::new(
        settings,
        &[
            entry(0, 0),
            entry(1, 1),
            EndpointEntry {
                kind: KindId(1),
                ..entry(2, 0)
            },
            allowed,
        ],
        1.0,
    );
    let (request, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), Some(3));
    // The only allowed endpoint does not respond: the request is not hedged elsewhere, and a second
    // request is queued and then shed.
    let (second, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), None);
    let actions = host.advance(4_900 * MS, &[0, 1, 2]);
    assert_eq!(sent_to(&actions), None);
    assert!(is_shed(&actions, second));
    let actions = host.attempt_finished(request, 0, 3, Outcome::Timeout);
    assert!(sent_to(&actions).is_none());
}

/// An unrestricted class prefers machine kinds to which no other class is restricted. An empty list
/// of allowed zones allows no endpoint at all.
#[test]
fn empty_zone_list_allows_no_endpoint_and_unrestricted_class_avoids_restricted_kinds() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.kind_count = 2;
    settings.classes.push(class(Idempotency::Idempotent));
    settings.classes.push(class(Idempotency::Idempotent));
    settings.classes[1].allowed_kinds = Some(vec![KindId(0)]);
    settings.classes[2].allowed_zones = Some(Vec::new());
    let other = EndpointEntry {
        kind: KindId(1),
        ..entry(1, 0)
    };
    let mut host = TestHost::new(settings, &[entry(0, 0), other], 4.0);
    assert_eq!(
        sent_to(&host.submit(0, 1.0).1),
        Some(1),
        "the unrestricted class avoids kind 0, to which class 1 is restricted"
    );
    assert_eq!(sent_to(&host.submit(1, 1.0).1), Some(0));
    let (request, actions) = host.submit(2, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(is_shed(&host.advance(4_900 * MS, &[0, 1]), request));
}

#[test]
fn request_waits_for_the_home_zone_as_long_as_the_cross_zone_price_justifies() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.prices.cross_zone = 0.4; // of the objective of 200 ms
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 1)], 1.0);
    let (first, _) = host.submit(0, 1.0);
    let (second, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), None);
    host.now += 30 * MS;
    let actions = host.attempt_finished(first, 0, 0, Outcome::Success);
    assert!(
        actions.contains(&send_action(second, 0)),
        "a slot in the home zone was freed in time: {actions:?}"
    );
    let (third, _) = host.submit(0, 1.0);
    assert!(
        !host
            .advance(60 * MS, &[0, 1])
            .contains(&send_action(third, 1))
    );
    assert!(
        host.advance(60 * MS, &[0, 1])
            .contains(&send_action(third, 1))
    );
}
