//! The settings of the platform's document as they are kept beside those of the decisions, and the
//! other values of its keys. The expected values are those that the program read before its sources
//! were reworded.

use pumiceway_decisions::api::{DeduplicationScope, LoadReportSource, TenantId};
use pumiceway_decisions::settings::{
    ClassSettings, DeploymentSettings, DiscoveryMode, QueueOrder, RepeatSemantics, ReportDelivery,
    WeightMeaning,
};
use pumiceway_net::config::Config;

const FIXTURE: &str = include_str!("fixtures/platform-v1.json");

fn read(text: &str) -> Config {
    Config::from_text(text, "platform.json", |_| None).unwrap()
}

/// The fixture with one part of its text replaced.
fn read_with(part: &str, replacement: &str) -> Config {
    assert_eq!(FIXTURE.matches(part).count(), 1, "{part}");
    read(&FIXTURE.replace(part, replacement))
}

/// What is kept of a class as written, beside what the settings of the decisions have.
fn as_written(class: &ClassSettings) -> (&str, Option<f64>, RepeatSemantics, u64) {
    (
        &class.name,
        class.objective_stretch,
        class.repeats,
        class.deduplication_window_us,
    )
}

#[test]
fn the_classes_of_an_old_document_are_kept_as_written() {
    use RepeatSemantics::{Idempotent, Keyed, NonIdempotent};
    let deployment = read(FIXTURE).deployment;
    let classes: Vec<_> = deployment.classes.iter().map(as_written).collect();
    let expected = [
        ("lookup", Some(1.75), Idempotent, 1_100_000),
        ("hold", Some(2.25), Keyed, 7_500_000),
        ("import", None, NonIdempotent, 1_300_000),
    ];
    assert_eq!(classes, expected);
    let scopes: Vec<_> = deployment
        .classes
        .iter()
        .map(|class| class.deduplication_scope)
        .collect();
    let expected = [
        Some(DeduplicationScope::All),
        Some(DeduplicationScope::Zone),
        Some(DeduplicationScope::Cell),
    ];
    assert_eq!(scopes, expected);
}

/// The zones and the kinds that a class names.
fn allowed(class: &ClassSettings) -> [Vec<&str>; 2] {
    [&class.allowed_zones, &class.allowed_kinds]
        .map(|names| names.iter().flatten().map(String::as_str).collect())
}

#[test]
fn the_zones_and_kinds_of_the_classes_are_kept_as_written() {
    let deployment = read(FIXTURE).deployment;
    let allowed: Vec<_> = deployment.classes.iter().map(allowed).collect();
    let expected = [
        [vec!["south"], vec!["small", "big"]],
        [vec!["south", "north"], vec!["small"]],
        [vec!["north"], vec!["small", "big"]],
    ];
    assert_eq!(allowed, expected);
}

#[test]
fn the_names_of_an_old_document_are_kept_as_written() {
    let deployment = read(FIXTURE).deployment;
    assert_eq!(deployment.zones, ["north", "south"]);
    assert_eq!(deployment.home_zone.as_deref(), Some("south"));
    assert_eq!(deployment.kinds, ["big", "small"]);
    let reports = ["waiting", "active", "x0", "x1", "rps", "cpu"];
    assert_eq!(deployment.load_reports.fields, reports);
    assert_eq!(deployment.class_index("hold"), Some(1));
    assert_eq!(deployment.tenant_id("t1"), Some(TenantId(0)));
    assert_eq!(deployment.tenant_id("t2"), Some(TenantId(1)));
}

#[test]
fn the_service_of_an_old_document_is_kept_as_written() {
    let deployment = read(FIXTURE).deployment;
    let service = &deployment.service;
    assert_eq!(service.class_kind, [-1, 1, 0]);
    assert_eq!(service.class_priority, [2, 7, 1]);
    assert_eq!(service.objective_stretch, [2.5, 2.0, 3.25]);
    assert_eq!(service.queue_order, QueueOrder::Priority);
    assert_eq!(deployment.discovery, DiscoveryMode::Polled);
    assert_eq!(deployment.weight_meaning, WeightMeaning::Nominal);
    let delivery = deployment.load_reports.via;
    assert!(matches!(delivery, ReportDelivery::Responses));
}

/// The fields of a load report that a value of this name sets: in flight, queued, free slots, free
/// memory, requests per second, CPU utilization.
fn reported(name: &str) -> [Option<f64>; 6] {
    let report = DeploymentSettings::build_load_report(std::iter::once((name, 0.5)));
    [
        report.in_flight,
        report.queued,
        report.free_slots,
        report.free_memory,
        report.requests_per_second,
        report.cpu_utilization,
    ]
}

#[test]
fn the_values_of_a_load_report_have_the_same_names() {
    let names = [
        ["active", "inflight"],
        ["waiting", "queue"],
        ["x0", "x0"],
        ["x1", "x1"],
        ["rps", "qps"],
        ["cpu", "util"],
    ];
    for (field, names) in names.iter().enumerate() {
        for name in names {
            let mut expected = [None; 6];
            expected[field] = Some(0.5);
            assert_eq!(reported(name), expected, "{name}");
        }
    }
}

#[test]
fn the_other_values_of_discovery_and_reports_are_read_the_same() {
    let pushed = read_with(r#""subscribe""#, r#""automatic""#);
    assert!(!pushed.settings.polls_discovery);
    let health_checks = read_with(r#""answers""#, r#""probe""#).settings;
    assert_eq!(health_checks.load_reports, LoadReportSource::HealthChecks);
    let no_reports = read_with(r#""answers""#, r#""none""#).settings;
    assert_eq!(no_reports.load_reports, LoadReportSource::None);
}

#[test]
fn the_other_values_of_queue_order_and_weights_are_read_the_same() {
    let orders = [
        (r#""fifo""#, QueueOrder::Fifo),
        (r#""backfill""#, QueueOrder::Backfill),
    ];
    for (written, order) in orders {
        let deployment = read_with(r#""priority""#, written).deployment;
        assert_eq!(deployment.service.queue_order, order);
    }
    let weights = [
        (r#""none""#, WeightMeaning::None),
        (r#""rough""#, WeightMeaning::Rough),
        (r#""live""#, WeightMeaning::Live),
    ];
    for (written, meaning) in weights {
        let deployment = read_with(r#""nominal""#, written).deployment;
        assert_eq!(deployment.weight_meaning, meaning);
    }
}
