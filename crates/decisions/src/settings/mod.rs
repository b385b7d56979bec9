//! The settings document of a deployment: the first message of the simulator, and part of a
//! dispatcher's configuration.
//!
//! Its keys are those of the deployment's pages; here they get the terms of the decisions, once.
//! [`DeploymentSettings::to_settings`] converts and checks the document.

mod convert;

pub use convert::DeploymentSettingsError;

use crate::api::{DeduplicationScope, KindId, LoadReport, TenantId, ZoneId};
use serde::Deserialize;

/// The document as written. Unknown keys are skipped.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeploymentSettings {
    /// This dispatcher's number, from 0.
    #[serde(default, rename = "me")]
    pub instance_index: usize,
    /// Number of dispatchers.
    #[serde(default = "one", rename = "n-instances")]
    pub instance_count: usize,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Name of this dispatcher's zone.
    #[serde(rename = "my-zone")]
    pub home_zone: Option<String>,
    /// Names of the machine kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The classes of request.
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassSettings>,
    /// How changes of the endpoint list come.
    #[serde(default)]
    pub discovery: DiscoveryMode,
    /// Traits of the service behind the endpoints.
    #[serde(default, rename = "family-info")]
    pub service: ServiceTraits,
    /// What the deployment permits.
    pub limits: Limits,
    /// Prices.
    #[serde(default)]
    pub prices: PriceSettings,
    /// Load reports.
    #[serde(default, rename = "report")]
    pub load_reports: LoadReportSettings,
    /// The rules of the service in figures.
    pub rules: RuleSettings,
    /// The shortest time between two calls of the balancer, in microseconds.
    #[serde(default, rename = "resolution-us")]
    pub timer_resolution_us: u64,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// What a request beyond its tenant's quota is worth, as a share of its class's weight.
    #[serde(default = "all", rename = "over-share-worth")]
    pub over_quota_weight: f64,
    /// What the weight of an endpoint on the list means.
    #[serde(default, rename = "weights")]
    pub weight_meaning: WeightMeaning,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// Requests per second within its quota.
    #[serde(default, rename = "quota-per-s")]
    pub quota_per_second: f64,
}

/// What the weight of an endpoint on the list means.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WeightMeaning {
    /// Nothing.
    #[default]
    None,
    /// Its size.
    Nominal,
    /// Its size, roughly.
    Rough,
    /// Its size less its load, from one list to the next.
    Live,
}

/// How changes of the endpoint list come.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// An agent pushes them.
    #[default]
    #[serde(rename = "automatic")]
    Pushed,
    /// The dispatcher subscribes to them.
    #[serde(rename = "subscribe")]
    Polled,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Latency objective, in microseconds.
    #[serde(rename = "aim-us")]
    pub latency_objective_us: u64,
    /// The share of a request's own work by which its objective grows.
    #[serde(rename = "aim-stretch")]
    pub objective_stretch: Option<f64>,
    /// How long a client waits, in microseconds.
    pub deadline_us: u64,
    /// How long a request may be queued, in microseconds. Not a key of the pages: the site file
    /// sets it.
    #[serde(rename = "wait-us")]
    pub max_queue_time_us: Option<u64>,
    /// Priority weight.
    #[serde(rename = "points")]
    pub priority_weight: f64,
    /// What a repeat does.
    #[serde(rename = "semantics")]
    pub repeats: RepeatSemantics,
    /// Who drops a repeat; without it the narrowest scope holds.
    #[serde(rename = "dedup-scope")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// The only zones that may serve the class.
    #[serde(rename = "zones-only")]
    pub allowed_zones: Option<Vec<String>>,
    /// The only machine kinds that may serve the class.
    #[serde(rename = "kinds-open")]
    pub allowed_kinds: Option<Vec<String>>,
    /// How long endpoints remember an idempotency key, in microseconds.
    #[serde(default, rename = "window-us")]
    pub deduplication_window_us: u64,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSemantics {
    /// Nothing.
    #[serde(rename = "read_like")]
    Idempotent,
    /// It is dropped by its idempotency key.
    #[serde(rename = "idempotency_key")]
    Keyed,
    /// It runs again.
    NonIdempotent,
}

/// In which order an endpoint serves its queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// The first that arrived.
    #[default]
    Fifo,
    /// The first that fits.
    Backfill,
    /// The highest priority.
    Priority,
}

/// Traits of the service behind the endpoints.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceTraits {
    /// For each class the index of the kind it is bound to; negative for none.
    pub class_kind: Vec<i64>,
    /// For each class its priority in the queue of an endpoint.
    pub class_priority: Vec<i64>,
    /// In which order endpoints serve their queues.
    pub queue_order: QueueOrder,
    /// For each class the share of a request's own work by which its objective grows.
    #[serde(rename = "class-stretch")]
    pub objective_stretch: Vec<f64>,
    /// Interval between progress messages, in microseconds; 0 for none.
    #[serde(rename = "progress-us")]
    pub progress_interval_us: u64,
    /// Endpoints tell when a request starts.
    #[serde(rename = "tells-start")]
    pub reports_start: bool,
}

/// What the deployment permits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Cancelling attempts.
    #[serde(default, rename = "cancel")]
    pub cancellation: bool,
    /// A connection idle for this long is closed, in microseconds; 0 where not known.
    #[serde(default, rename = "conn-idle-us")]
    pub connection_idle_us: u64,
    /// A connection that is not up within this time has failed, in microseconds; 0 for the default
    /// of 1 s.
    #[serde(default)]
    pub connect_timeout_us: u64,
    /// The longest back-off that clients heed, in microseconds.
    #[serde(default)]
    pub max_retry_after_us: u64,
    /// Attempts of one request.
    #[serde(rename = "most-tries")]
    pub max_attempts: usize,
    /// Requests queued at once; 0 for no bound. Not a key of the pages: the site file sets it.
    #[serde(default, rename = "most-held")]
    pub max_queued: usize,
    /// Health checks.
    #[serde(default, rename = "probes")]
    pub health_checks: bool,
    /// Telling clients how long to back off.
    #[serde(default)]
    pub retry_after: bool,
    /// Two attempts of a request at once.
    #[serde(default, rename = "second-copies")]
    pub hedging: bool,
}

/// Prices, as shares of the mean priority weight of a request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct PriceSettings {
    /// For sending one request across zones.
    pub cross_zone: f64,
    /// For one health check per request.
    #[serde(rename = "probe")]
    pub health_check: f64,
}

/// Load reports.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LoadReportSettings {
    /// Names of the values of a report, in their order on the simulator's wire.
    #[serde(default)]
    pub fields: Vec<String>,
    /// How reports come.
    #[serde(default)]
    pub via: ReportDelivery,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportDelivery {
    /// With responses and with health checks.
    #[serde(rename = "answers")]
    Responses,
    /// With health checks only.
    #[serde(rename = "probe")]
    HealthChecks,
    /// Not at all.
    #[default]
    None,
}

/// The rules of the service in figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RuleSettings {
    /// A dispatcher that has not polled for this long counts as notified, in microseconds.
    #[serde(default, rename = "ask-within-us")]
    pub max_poll_interval_us: u64,
    /// Nothing new is sent to an endpoint later than this after a notification that it drains, in
    /// microseconds.
    #[serde(default)]
    pub drain_grace_us: u64,
    /// Share of its capacity that a restarted endpoint has at once.
    #[serde(default = "all", rename = "cold-from")]
    pub slow_start_share: f64,
    /// How long slow start takes, in microseconds.
    #[serde(default, rename = "cold-us")]
    pub slow_start_us: u64,
    /// Window in which an endpoint in slow start must not be overloaded, in microseconds.
    #[serde(default, rename = "fall-us")]
    pub overload_window_us: u64,
    /// The multiple of its present capacity that overloads it.
    #[serde(default)]
    #[serde(rename = "tip-multiple")]
    pub overload_multiple: f64,
}

fn one() -> usize {
    1
}

fn all() -> f64 {
    1.0
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl DeploymentSettings {
    /// The index of the class of this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The tenant of this name.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants
            .iter()
            .position(|tenant| tenant.name == name)
            .map(TenantId)
    }

    /// The zone of this name. Endpoints without one are in the first, and so are all where the
    /// settings name none.
    pub fn zone_id(&self, name: Option<&str>) -> Option<ZoneId> {
        let name = name.filter(|_| !self.zones.is_empty());
        name.map_or(Some(0), |name| index_of(&self.zones, name))
            .map(ZoneId)
    }

    /// The machine kind of this name. Endpoints without one are of the first, and so are all where
    /// the settings name none.
    pub fn kind_id(&self, name: Option<&str>) -> Option<KindId> {
        let name = name.filter(|_| !self.kinds.is_empty());
        name.map_or(Some(0), |name| index_of(&self.kinds, name))
            .map(KindId)
    }

    /// The relative size of an endpoint that the list gives this weight; 0 where the weight does
    /// not tell. A weight that falls with load would make a busy endpoint look like a slow machine.
    pub fn relative_size(&self, weight: Option<f64>) -> f64 {
        let is_size = matches!(
            self.weight_meaning,
            WeightMeaning::Nominal | WeightMeaning::Rough
        );
        weight
            .filter(|weight| is_size && weight.is_finite() && *weight > 0.0)
            .unwrap_or(0.0)
    }

    /// A load report from its values by name. The settings and the sockets name some values
    /// differently.
    pub fn build_load_report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in values {
            match name {
                "active" | "inflight" => report.in_flight = Some(value),
                "waiting" | "queue" => report.queued = Some(value),
                // The first and the second resource of a request: slots and memory.
                "x0" => report.free_slots = Some(value),
                "x1" => report.free_memory = Some(value),
                "rps" | "qps" => report.requests_per_second = Some(value),
                "cpu" | "util" => report.cpu_utilization = Some(value),
                _ => {}
            }
        }
        report
    }
}
