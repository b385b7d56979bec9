//! Parsing of the settings of two different deployments from the text of a configuration.

use pumiceway_decisions::api::{
    Class, DeduplicationScope, Idempotency, LoadReportSource, Settings, ZoneId,
};
use pumiceway_decisions::settings::{DiscoveryMode, QueueOrder, WeightMeaning};
use pumiceway_net::config::{Config, ConfigError};
use std::time::Duration;

/// Lists are polled, load reports come with health checks, there are no tenants, and endpoints
/// queue in FIFO order.
const POLLED: &str = r#"{"clients":{"marks-retry":false},"discovery":"subscribe","domain-type":"jobs",
  "family-info":{"class-kind":[-1,-1],"class-priority":[0,1],"class-stretch":[2.5,2.0],"progress-us":2000000,
    "queue-order":"fifo","report-x0":"free slots","report-x1":"free memory","tells-start":true},
  "goal":{"whole":0.4},"kinds":["four"],
  "lanes":[{"aim-us":500000,"deadline-us":10000000,"dedup-scope":"all","late-worth":0.0,"name":"push","points":2.0,
      "semantics":"read_like","streaming":false,"window-us":5000000},
    {"aim-us":1500000,"deadline-us":20000000,"dedup-scope":"all","name":"import","points":3.0,
      "semantics":"non_idempotent","window-us":5000000}],
  "limits":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":250000,"cpu-us-per-s":15000,
    "max-retry-after-us":2000000,"max-streams":1,"most-held":20000,"most-tries":6,"peer-messages":false,
    "probes":true,"retry-after":true,"second-copies":true},
  "me":1,"my-zone":"south","n-instances":2,"over-share-worth":0.2,"prices":{"cross-zone":0.03,"probe":0.0015},
  "report":{"fields":["x0","cpu"],"via":"probe"},"resolution-us":4000,
  "rules":{"answer-slack-us":16000,"ask-within-us":9000000,"cold-from":0.13,"cold-us":23000000,
    "drain-grace-us":500000,"fall-us":3000000,"tip-multiple":3.0},
  "tenants":[],"tier":0,"weights":"none","zones":["north","south"]}"#;

/// Lists are pushed, load reports come with responses, tenants have quotas, weights are live,
/// endpoints queue by priority, and one class has idempotency keys whose deduplication scope is a
/// zone.
const PUSHED: &str = r#"{"discovery":"automatic",
  "family-info":{"class-kind":[-1,-1,-1],"class-priority":[0,0,1],"class-stretch":[2.5,2.0,2.0],"progress-us":0,
    "queue-order":"priority","tells-start":true},
  "kinds":["fast","std"],
  "lanes":[{"aim-us":120000,"deadline-us":5000000,"name":"lookup","points":5.0,"semantics":"read_like"},
    {"aim-us":500000,"deadline-us":15000000,"name":"order","points":5.0,"semantics":"non_idempotent"},
    {"aim-us":120000,"deadline-us":5000000,"name":"hold","points":15.0,"semantics":"idempotency_key",
      "dedup-scope":"zone","window-us":7500000}],
  "limits":{"cancel":true,"conn-idle-us":10000000,"connect-timeout-us":250000,"most-tries":3,"peer-messages":true,
    "probes":true,"retry-after":true,"max-retry-after-us":2000000,"second-copies":true},
  "me":0,"my-zone":"b","n-instances":3,"over-share-worth":0.1,"prices":{"cross-zone":0.014,"probe":0.0018},
  "report":{"fields":["waiting","active","x0","x1"],"via":"answers"},"resolution-us":5000,
  "rules":{"cold-from":0.33,"cold-us":7900000,"drain-grace-us":500000,"fall-us":3000000,"tip-multiple":2.5},
  "tenants":[{"name":"t1","quota-per-s":30.5,"share":0.6},{"name":"t2","quota-per-s":20.0,"share":0.4}],
  "weights":"live","zones":["a","b","c"]}"#;

fn parse(settings: &str) -> Result<Config, ConfigError> {
    let text =
        format!(r#"{{"listen":"127.0.0.1:0","peers":["10.0.0.1:7"],"settings":{settings}}}"#);
    Config::from_text(&text, "config", |_| None)
}

/// Returns the settings that differ between the two documents as pairs of name and value.
fn describe(settings: &Settings) -> Vec<(&'static str, String)> {
    let us = |span: Duration| span.as_micros();
    let each_class = |describe: &dyn Fn(&Class) -> String| {
        let classes = settings.classes.iter().map(describe);
        classes.collect::<Vec<_>>().join(" ")
    };
    vec![
        (
            "polled",
            format!(
                "{} within {}",
                settings.polls_discovery,
                us(settings.max_poll_interval)
            ),
        ),
        ("reports", format!("{:?}", settings.load_reports)),
        (
            "instance",
            format!("{} of {}", settings.instance_index, settings.instance_count),
        ),
        (
            "zones",
            format!(
                "{} home {:?}",
                settings.zone_count,
                settings.home_zone.map(|zone| zone.0)
            ),
        ),
        ("kinds", settings.kind_count.to_string()),
        (
            "tenants",
            format!(
                "{:?}",
                settings
                    .tenants
                    .iter()
                    .map(|tenant| tenant.quota_per_second)
                    .collect::<Vec<_>>()
            ),
        ),
        ("over quota", settings.over_quota_weight.to_string()),
        (
            "priority",
            each_class(&|class| class.queue_priority.to_string()),
        ),
        (
            "stretch",
            each_class(&|class| class.objective_stretch.to_string()),
        ),
        (
            "weight",
            each_class(&|class| class.priority_weight.to_string()),
        ),
        (
            "deadline",
            each_class(&|class| us(class.deadline).to_string()),
        ),
        ("attempts", settings.max_attempts.to_string()),
        ("idle", us(settings.connection_idle_timeout).to_string()),
        (
            "progress",
            format!(
                "{} {}",
                settings.reports_start,
                us(settings.progress_interval)
            ),
        ),
        (
            "slow start",
            format!(
                "{} {} {} {}",
                settings.slow_start_share,
                us(settings.slow_start_duration),
                settings.overload_multiple,
                us(settings.overload_window)
            ),
        ),
        (
            "prices",
            format!(
                "{} {}",
                settings.prices.cross_zone, settings.prices.health_check
            ),
        ),
        ("queued", settings.max_queued.to_string()),
    ]
}

#[test]
fn all_settings_of_both_deployments_are_parsed() {
    let expected = [
        ("polled", "true within 9000000", "false within 0"),
        ("reports", "HealthChecks", "Responses"),
        ("instance", "1 of 2", "0 of 3"),
        ("zones", "2 home Some(1)", "3 home Some(1)"),
        ("kinds", "1", "2"),
        ("tenants", "[]", "[30.5, 20.0]"),
        ("over quota", "0.2", "0.1"),
        // Priorities only apply if endpoints queue by priority.
        ("priority", "0 0", "0 0 1"),
        ("stretch", "2.5 2", "2.5 2 2"),
        ("weight", "2 3", "5 5 15"),
        ("deadline", "10000000 20000000", "5000000 15000000 5000000"),
        ("attempts", "6", "3"),
        ("idle", "15000000", "10000000"),
        ("progress", "true 2000000", "true 0"),
        (
            "slow start",
            "0.13 23000000 3 3000000",
            "0.33 7900000 2.5 3000000",
        ),
        ("prices", "0.03 0.0015", "0.014 0.0018"),
        ("queued", "20000", "0"),
    ];
    let (polled, pushed) = (parse(POLLED).unwrap(), parse(PUSHED).unwrap());
    for (n, config) in [&polled, &pushed].into_iter().enumerate() {
        for ((setting, value), (name, first, second)) in
            describe(&config.settings).iter().zip(expected)
        {
            assert_eq!((*setting, value.as_str()), (name, [first, second][n]));
        }
        let settings = &config.settings;
        let us = |span: Duration| span.as_micros();
        assert!(
            settings.health_checks
                && settings.cancellation
                && settings.hedging
                && settings.retry_after,
            "{settings:?}"
        );
        assert_eq!(
            (us(settings.connect_timeout), us(settings.max_retry_after)),
            (250_000, 2_000_000)
        );
        assert_eq!(
            (
                settings.classes[0].idempotency,
                settings.classes[1].idempotency
            ),
            (Idempotency::Idempotent, Idempotency::NonIdempotent)
        );
        assert!(
            settings
                .classes
                .iter()
                .all(|class| class.allowed_zones.is_none() && class.allowed_kinds.is_none()),
            "{settings:?}"
        );
    }
    assert_eq!(
        pushed.settings.classes[2].idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            window: Duration::from_millis(7_500)
        }
    );
    assert_eq!(polled.settings.load_reports, LoadReportSource::HealthChecks);
    let (polled, pushed) = (polled.deployment, pushed.deployment);
    assert_eq!(
        (polled.discovery, pushed.discovery),
        (DiscoveryMode::Polled, DiscoveryMode::Pushed)
    );
    assert_eq!(
        (polled.weight_meaning, pushed.weight_meaning),
        (WeightMeaning::None, WeightMeaning::Live)
    );
    let queue_orders = (polled.service.queue_order, pushed.service.queue_order);
    assert_eq!(queue_orders, (QueueOrder::Fifo, QueueOrder::Priority));
    assert_eq!(
        (pushed.zone_id(Some("c")), pushed.zone_id(Some("d"))),
        (Some(ZoneId(2)), None)
    );
    assert_eq!(
        (
            pushed.tenant_id("t2").map(|tenant| tenant.0),
            pushed.tenant_id("t3")
        ),
        (Some(1), None)
    );
    assert_eq!(
        (polled.rules.drain_grace_us, pushed.rules.drain_grace_us),
        (500_000, 500_000)
    );
}

#[test]
fn the_error_of_a_wrong_value_names_its_key() {
    let cases = [
        (
            r#""discovery":"automatic""#,
            r#""discovery":"pull""#,
            "settings.discovery",
        ),
        (
            r#""via":"answers""#,
            r#""via":"mail""#,
            "settings.report.via",
        ),
        (r#""weights":"live""#, r#""weights":1"#, "settings.weights"),
        (
            r#""queue-order":"priority""#,
            r#""queue-order":"lifo""#,
            "settings.family-info.queue-order",
        ),
        (
            r#""semantics":"idempotency_key""#,
            r#""semantics":"keyed""#,
            "settings.lanes[2].semantics",
        ),
        (
            r#""dedup-scope":"zone""#,
            r#""dedup-scope":"rack""#,
            "settings.lanes[2].dedup-scope",
        ),
        (
            r#""quota-per-s":20.0"#,
            r#""quota-per-s":"20""#,
            "settings.tenants[1].quota-per-s",
        ),
        (
            r#""most-tries":3"#,
            r#""most-tries":-3"#,
            "settings.limits.most-tries",
        ),
        (
            r#""most-tries":3"#,
            r#""most-tries":0"#,
            "settings.limits.most-tries",
        ),
        (r#""my-zone":"b""#, r#""my-zone":"d""#, "settings.my-zone"),
        (r#""me":0"#, r#""me":3"#, "settings.me"),
        (
            r#""drain-grace-us":500000"#,
            r#""drain-grace-us":0.5"#,
            "settings.rules.drain-grace-us",
        ),
    ];
    for (valid, wrong, key) in cases {
        assert_eq!(PUSHED.matches(valid).count(), 1, "{valid}");
        let error = parse(&PUSHED.replace(valid, wrong)).unwrap_err();
        assert!(
            matches!(&error, ConfigError::Key { key: named, .. } if named == key),
            "{wrong}: {error}"
        );
    }
    let lanes = PUSHED.find(r#""lanes""#).unwrap()..PUSHED.find(r#""limits""#).unwrap();
    let without_classes = PUSHED.replace(&PUSHED[lanes], r#""lanes":[],"#);
    let error = parse(&without_classes).unwrap_err();
    assert!(error.to_string().starts_with("settings.lanes: "), "{error}");
}
