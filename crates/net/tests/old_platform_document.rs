//! The platform's document, as `ROUTER_CONFIG` names it, and a later one that is read while the
//! program serves. The expected values are those that the program read from them before its sources
//! were reworded.

use pumiceway_core::{Endpoint, EndpointAddress};
use pumiceway_decisions::api::{
    Class, DeduplicationScope, EndpointState, FunctionSet, Idempotency, KindId, LoadReportSource,
    Prices, Settings, Tenant, Timestamp, ZoneId,
};
use pumiceway_net::config::{Config, Reload, SocketBudget};
use pumiceway_net::discovery::{ListMessage, ListedEndpoint, ListedState};
use std::time::Duration;

const FIXTURE: &str = include_str!("fixtures/platform-v1.json");
const RELOADED: &str = include_str!("fixtures/platform-reload-v1.json");
const RELOADED_FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/fixtures/platform-reload-v1.json"
);

fn read(text: &str) -> Config {
    Config::from_text(text, "platform.json", |_| None).unwrap()
}

fn expected_classes() -> Vec<Class> {
    vec![
        Class {
            idempotency: Idempotency::Idempotent,
            priority_weight: 5.5,
            latency_objective: Duration::from_millis(120),
            objective_stretch: 1.75,
            deadline: Duration::from_secs(5),
            queue_priority: 2,
            max_queue_time: Some(Duration::from_millis(900)),
            allowed_zones: Some(vec![ZoneId(1)]),
            allowed_kinds: Some(vec![KindId(1), KindId(0)]),
        },
        Class {
            idempotency: Idempotency::Keyed {
                scope: DeduplicationScope::Zone,
                window: Duration::from_millis(7_500),
            },
            priority_weight: 15.0,
            latency_objective: Duration::from_millis(250),
            objective_stretch: 2.25,
            deadline: Duration::from_secs(7),
            queue_priority: 7,
            max_queue_time: Some(Duration::from_millis(800)),
            allowed_zones: Some(vec![ZoneId(1), ZoneId(0)]),
            allowed_kinds: Some(vec![KindId(1)]),
        },
        // Its stretch and its kind are those of the service.
        Class {
            idempotency: Idempotency::NonIdempotent,
            priority_weight: 3.0,
            latency_objective: Duration::from_millis(1_500),
            objective_stretch: 3.25,
            deadline: Duration::from_secs(20),
            queue_priority: 1,
            max_queue_time: Some(Duration::from_millis(700)),
            allowed_zones: Some(vec![ZoneId(0)]),
            allowed_kinds: Some(vec![KindId(0)]),
        },
    ]
}

fn expected_settings() -> Settings {
    let tenant = |quota_per_second| Tenant { quota_per_second };
    Settings {
        instance_index: 1,
        instance_count: 3,
        zone_count: 2,
        home_zone: Some(ZoneId(1)),
        kind_count: 2,
        functions: vec![],
        classes: expected_classes(),
        tenants: vec![tenant(30.5), tenant(20.0)],
        over_quota_weight: 0.2,
        prices: Prices {
            cross_zone: 0.03,
            health_check: 0.0015,
        },
        load_reports: LoadReportSource::Responses,
        polls_discovery: true,
        max_poll_interval: Duration::from_secs(9),
        drain_grace: Duration::from_millis(400),
        health_checks: true,
        cancellation: true,
        hedging: true,
        retry_after: true,
        max_retry_after: Duration::from_millis(2_100),
        max_attempts: 4,
        connect_timeout: Duration::from_millis(150),
        connection_idle_timeout: Duration::from_secs(15),
        timer_resolution: Duration::from_millis(4),
        reports_start: true,
        progress_interval: Duration::from_secs(2),
        slow_start_share: 0.13,
        slow_start_duration: Duration::from_secs(23),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(3),
        max_queued: 20_000,
    }
}

#[test]
fn an_old_document_is_read_to_the_same_settings() {
    assert_eq!(read(FIXTURE).settings, expected_settings());
}

#[test]
fn an_old_document_is_read_to_the_same_name_listener_and_limits() {
    let config = read(FIXTURE);
    assert_eq!(config.name, "router-north-1");
    assert_eq!(config.listen, "127.0.0.1:3107".parse().unwrap());
    let discovery = config.discovery.as_deref();
    assert_eq!(discovery, Some("discovery.example:8500"));
    assert_eq!(config.seed, 0x8c1f_0000_0000_a5e7);
    let sockets = SocketBudget {
        inbound: 435,
        spare: 48,
        outbound: 435,
    };
    assert_eq!(config.socket_budget, sockets);
    assert_eq!((config.gearman, config.zookeeper), (None, None));
}

#[test]
fn variables_take_precedence_over_an_old_document() {
    let variable = |key: &str| match key {
        "ROUTER_NAME" => Some("other".to_owned()),
        "ROUTER_LISTEN" => Some("127.0.0.1:3108".to_owned()),
        "ROUTER_DISCOVERY" => Some("192.0.2.1:8500".to_owned()),
        _ => None,
    };
    let config = Config::from_text(FIXTURE, "platform.json", variable).unwrap();
    assert_eq!(config.name, "other");
    assert_eq!(config.listen, "127.0.0.1:3108".parse().unwrap());
    assert_eq!(config.discovery.as_deref(), Some("192.0.2.1:8500"));
}

fn listed(
    (name, address): (&str, &str),
    (zone, kind, cell): (&str, &str, u64),
    state: ListedState,
    (weight, started_at_ms): (f64, u64),
) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_owned(),
        address: address.to_owned(),
        zone: Some(zone.to_owned()),
        kind: Some(kind.to_owned()),
        cell: Some(cell),
        state,
        weight: Some(weight),
        started_at_ms,
    }
}

fn expected_bootstrap_list() -> ListMessage {
    use ListedState::{Draining, Gone, Ready};
    let (n1, n2) = (("n1", "192.0.2.11:7001"), ("n2", "192.0.2.12:7002"));
    let (s1, s2) = (("s1", "192.0.2.13:7003"), ("s2", "192.0.2.14:7004"));
    ListMessage {
        version: 41,
        snapshot: true,
        endpoints: vec![
            listed(n1, ("north", "big", 3), Ready, (2.5, 1_700_000_000_123)),
            listed(
                n2,
                ("north", "small", 4),
                Draining,
                (1.25, 1_700_000_000_456),
            ),
            listed(s1, ("south", "small", 4), Gone, (0.75, 1_700_000_000_789)),
            listed(s2, ("south", "big", 5), Ready, (3.5, 1_700_000_001_012)),
        ],
    }
}

#[test]
fn an_old_bootstrap_list_is_read_to_the_same_entries() {
    assert_eq!(
        read(FIXTURE).bootstrap_list,
        Some(expected_bootstrap_list())
    );
}

fn endpoint(
    (name, address): (&str, &str),
    (zone, kind, cell): (usize, usize, u64),
    state: EndpointState,
    (relative_size, started_at_us): (f64, u64),
) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: EndpointAddress::Network(address.to_owned()),
        zone: ZoneId(zone),
        kind: KindId(kind),
        functions: FunctionSet::default(),
        cell: Some(cell),
        state,
        started_at: Timestamp::from_micros(started_at_us),
        relative_size,
        skips_slow_start: false,
        max_concurrent: None,
    }
}

#[test]
fn an_old_bootstrap_list_gives_the_same_endpoints() {
    use EndpointState::{Draining, Gone, Ready};
    let config = read(FIXTURE);
    let (n1, n2) = (("n1", "192.0.2.11:7001"), ("n2", "192.0.2.12:7002"));
    let (s1, s2) = (("s1", "192.0.2.13:7003"), ("s2", "192.0.2.14:7004"));
    let expected = [
        endpoint(n1, (0, 0, 3), Ready, (2.5, 1_700_000_000_123_000)),
        endpoint(n2, (0, 1, 4), Draining, (1.25, 1_700_000_000_456_000)),
        endpoint(s1, (1, 1, 4), Gone, (0.75, 1_700_000_000_789_000)),
        endpoint(s2, (1, 0, 5), Ready, (3.5, 1_700_000_001_012_000)),
    ];
    let list = config.bootstrap_list.unwrap();
    assert_eq!(list.endpoints(&config.deployment), expected);
}

fn reload(running: &str) -> Reload {
    let variable = |key: &str| match key {
        "ROUTER_CONFIG" => Some(RELOADED_FILE.to_owned()),
        // Only the address at the start comes from here.
        "ROUTER_DISCOVERY" => Some("192.0.2.1:8500".to_owned()),
        _ => None,
    };
    Reload::read(&read(running).startup_values, variable).unwrap()
}

#[test]
fn a_reload_of_a_changed_document_names_the_same_keys() {
    let reload = reload(FIXTURE);
    assert_eq!(reload.discovery, "discovery-2.example:8501");
    let keys = ["limits", "settings.lanes", "settings.rules"];
    assert_eq!(reload.restart_required, keys);
}

#[test]
fn a_reload_of_the_same_values_names_no_keys() {
    let expected = Reload {
        discovery: "discovery-2.example:8501".to_owned(),
        restart_required: vec![],
    };
    assert_eq!(reload(RELOADED), expected);
}

#[test]
fn the_changed_document_is_read_to_the_same_values() {
    let config = read(RELOADED);
    assert_eq!(config.seed, 0x17);
    let sockets = SocketBudget {
        inbound: 390,
        spare: 43,
        outbound: 390,
    };
    assert_eq!(config.socket_budget, sockets);
    let mut settings = expected_settings();
    settings.classes[1].priority_weight = 16.0;
    settings.drain_grace = Duration::from_millis(450);
    assert_eq!(config.settings, settings);
    let mut list = expected_bootstrap_list();
    list.version = 57;
    list.endpoints.remove(1);
    assert_eq!(config.bootstrap_list, Some(list));
}
