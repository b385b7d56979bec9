//! Compatibility with site files of earlier versions. `fixtures/site-v1.toml` was written by
//! `pumiceway init --yes` of such a version, and the expected values are those that it read from
//! the file.

use pumiceway_decisions::api::{
    Class, ClassId, Idempotency, LoadReportSource, Prices, Settings, ZoneId,
};
use pumiceway_net::config::{
    Config, Function, GearmanConfig, IdempotencyCacheLimits, SocketBudget,
};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/site-v1.toml");

fn read_fixture() -> Config {
    pumiceway_site::read_file(Path::new(FIXTURE)).unwrap()
}

fn class(idempotency: Idempotency, weight: f64, objective_ms: u64, deadline_s: u64) -> Class {
    Class {
        idempotency,
        priority_weight: weight,
        latency_objective: Duration::from_millis(objective_ms),
        objective_stretch: 0.0,
        deadline: Duration::from_secs(deadline_s),
        queue_priority: 0,
        max_queue_time: Some(Duration::from_secs(deadline_s)),
        allowed_zones: None,
        allowed_kinds: None,
    }
}

fn expected_settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone_count: 1,
        home_zone: Some(ZoneId(0)),
        kind_count: 1,
        functions: vec![],
        classes: vec![
            class(Idempotency::NonIdempotent, 3.0, 1_500, 20),
            class(Idempotency::Idempotent, 2.0, 500, 10),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        prices: Prices {
            cross_zone: 0.0,
            health_check: 0.0,
        },
        load_reports: LoadReportSource::None,
        polls_discovery: false,
        max_poll_interval: Duration::ZERO,
        drain_grace: Duration::from_millis(500),
        health_checks: false,
        cancellation: true,
        hedging: false,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        max_attempts: 6,
        connect_timeout: Duration::from_millis(250),
        connection_idle_timeout: Duration::ZERO,
        timer_resolution: Duration::from_millis(1),
        reports_start: false,
        progress_interval: Duration::ZERO,
        slow_start_share: 1.0,
        slow_start_duration: Duration::ZERO,
        overload_multiple: 0.0,
        overload_window: Duration::ZERO,
        max_queued: 256,
    }
}

fn function(class: usize, deadline_s: u64) -> Function {
    Function {
        class: ClassId(class),
        slots: 1.0,
        deadline: Duration::from_secs(deadline_s),
    }
}

fn expected_gearman() -> GearmanConfig {
    GearmanConfig {
        listen: "127.0.0.1:4730".parse().unwrap(),
        connections: 64,
        jobs: 256,
        queue: 256,
        skips_slow_start: true,
        cache_limits: IdempotencyCacheLimits {
            retention: Duration::from_secs(600),
            max_entries: 10_000,
            max_running: 256,
            max_bytes: 16 << 20,
            ..IdempotencyCacheLimits::default()
        },
        functions: BTreeMap::from([
            ("booking-import".to_owned(), function(0, 20)),
            ("rate-push".to_owned(), function(1, 10)),
        ]),
    }
}

#[test]
fn a_site_file_of_an_earlier_version_is_read_to_the_same_settings() {
    let config = read_fixture();
    assert_eq!(config.settings, expected_settings());
    assert_eq!(config.gearman, Some(expected_gearman()));
    let names: Vec<&str> = config
        .deployment
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    assert_eq!(names, ["booking-import", "rate-push"]);
    assert_eq!(config.deployment.zones, ["here"]);
    assert_eq!(config.deployment.kinds, ["worker"]);
}

#[test]
fn a_site_file_of_an_earlier_version_is_read_to_the_same_listeners_and_limits() {
    let config = read_fixture();
    assert_eq!(config.name, "pumiceway");
    assert_eq!(config.listen, "127.0.0.1:3000".parse().unwrap());
    assert_eq!(config.discovery, None);
    assert_eq!(config.zookeeper, None);
    let sockets = SocketBudget {
        inbound: 446,
        spare: 49,
        outbound: 446,
    };
    assert_eq!(config.socket_budget, sockets);
    let list = config.bootstrap_list.unwrap();
    assert_eq!((list.version, list.snapshot), (0, true));
    assert!(list.endpoints.is_empty());
}

/// The comments in the template may change, but the values must not.
#[test]
fn the_template_has_the_same_values_as_in_the_earlier_version() {
    let values = |text: &str| -> toml::Table { text.parse().unwrap() };
    let old = std::fs::read_to_string(FIXTURE).unwrap();
    let new = pumiceway_site::template(&pumiceway_site::Answers::default());
    assert_eq!(values(&new), values(&old));
}
