//! The settings document of a deployment: the first message of the simulator, and part of a
//! dispatcher's configuration.
//!
//! The keys of the document are defined by the deployment; many of them differ from the names of
//! the fields. [`DeploymentSettings::to_settings`] converts the document to
//! [`Settings`](crate::api::Settings) and validates it.

mod convert;

pub use convert::DeploymentSettingsError;

use crate::api::{DeduplicationScope, KindId, LoadReport, TenantId, ZoneId};
use serde::Deserialize;

/// The document as written. Unknown keys are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeploymentSettings {
    /// Index of this dispatcher, from 0.
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
    /// The request classes.
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassSettings>,
    /// How the dispatcher receives changes of the endpoint list.
    #[serde(default)]
    pub discovery: DiscoveryMode,
    /// Properties of the service behind the endpoints.
    #[serde(default, rename = "family-info")]
    pub service: ServiceTraits,
    /// Limits and permitted operations.
    pub limits: Limits,
    /// Costs of operations.
    #[serde(default)]
    pub prices: PriceSettings,
    /// Load reports.
    #[serde(default, rename = "report")]
    pub load_reports: LoadReportSettings,
    /// Parameters of the rules of the service.
    pub rules: RuleSettings,
    /// The shortest time between two calls of the balancer, in microseconds.
    #[serde(default, rename = "resolution-us")]
    pub timer_resolution_us: u64,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// Priority weight of a request beyond its tenant's quota, as a share of its class's weight.
    #[serde(default = "all", rename = "over-share-worth")]
    pub over_quota_weight: f64,
    /// The meaning of the weight that the list gives an endpoint.
    #[serde(default, rename = "weights")]
    pub weight_meaning: WeightMeaning,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// Quota in requests per second.
    #[serde(default, rename = "quota-per-s")]
    pub quota_per_second: f64,
}

/// The meaning of the weight that the list gives an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WeightMeaning {
    /// None.
    #[default]
    None,
    /// The endpoint's size.
    Nominal,
    /// The endpoint's approximate size.
    Rough,
    /// The endpoint's size less its load; changes with every list.
    Live,
}

/// How the dispatcher receives changes of the endpoint list.
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

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Latency objective, in microseconds.
    #[serde(rename = "aim-us")]
    pub latency_objective_us: u64,
    /// Multiple of a request's own work that is added to its objective.
    #[serde(rename = "aim-stretch")]
    pub objective_stretch: Option<f64>,
    /// How long a client waits, in microseconds.
    pub deadline_us: u64,
    /// How long a request may be queued, in microseconds. Set from the site file; deployments do
    /// not define it.
    #[serde(rename = "wait-us")]
    pub max_queue_time_us: Option<u64>,
    /// Priority weight.
    #[serde(rename = "points")]
    pub priority_weight: f64,
    /// The effect of a repeat.
    #[serde(rename = "semantics")]
    pub repeats: RepeatSemantics,
    /// The endpoints that drop a repeat; the narrowest scope if not set.
    #[serde(rename = "dedup-scope")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// Names of the zones that may serve the class; all if not set.
    #[serde(rename = "zones-only")]
    pub allowed_zones: Option<Vec<String>>,
    /// Names of the machine kinds that may serve the class; all if not set.
    #[serde(rename = "kinds-open")]
    pub allowed_kinds: Option<Vec<String>>,
    /// How long endpoints store an idempotency key, in microseconds.
    #[serde(default, rename = "window-us")]
    pub deduplication_window_us: u64,
}

/// The effect of a repeat of a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSemantics {
    /// It is harmless.
    #[serde(rename = "read_like")]
    Idempotent,
    /// Endpoints recognise its idempotency key and drop it.
    #[serde(rename = "idempotency_key")]
    Keyed,
    /// It runs again.
    NonIdempotent,
}

/// The order in which an endpoint serves its queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// In the order of arrival.
    #[default]
    Fifo,
    /// The first request for which there is enough capacity.
    Backfill,
    /// The request with the highest priority.
    Priority,
}

/// Properties of the service behind the endpoints.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceTraits {
    /// For each class, the index of the only machine kind that may serve it; negative for none.
    pub class_kind: Vec<i64>,
    /// For each class, its priority in the queue of an endpoint.
    pub class_priority: Vec<i64>,
    /// The order in which endpoints serve their queues.
    pub queue_order: QueueOrder,
    /// For each class, the multiple of a request's own work that is added to its objective.
    #[serde(rename = "class-stretch")]
    pub objective_stretch: Vec<f64>,
    /// Interval between progress messages, in microseconds; 0 for none.
    #[serde(rename = "progress-us")]
    pub progress_interval_us: u64,
    /// Endpoints report when a request starts.
    #[serde(rename = "tells-start")]
    pub reports_start: bool,
}

/// Limits and permitted operations.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Cancelling an attempt is allowed.
    #[serde(default, rename = "cancel")]
    pub cancellation: bool,
    /// Connections that are idle for this long are closed, in microseconds; 0 if unknown.
    #[serde(default, rename = "conn-idle-us")]
    pub connection_idle_us: u64,
    /// Connect timeout in microseconds; 0 for the default of 1 s.
    #[serde(default)]
    pub connect_timeout_us: u64,
    /// The longest back-off that clients honour, in microseconds.
    #[serde(default)]
    pub max_retry_after_us: u64,
    /// Maximum number of attempts of one request.
    #[serde(rename = "most-tries")]
    pub max_attempts: usize,
    /// Maximum number of queued requests; 0 for no limit. Set from the site file; deployments do
    /// not define it.
    #[serde(default, rename = "most-held")]
    pub max_queued: usize,
    /// Health checks are allowed.
    #[serde(default, rename = "probes")]
    pub health_checks: bool,
    /// Overload responses tell clients how long to back off.
    #[serde(default)]
    pub retry_after: bool,
    /// A request may have two attempts in flight at once.
    #[serde(default, rename = "second-copies")]
    pub hedging: bool,
}

/// Costs of operations, as shares of the mean priority weight of a request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct PriceSettings {
    /// Sending one request across zones.
    pub cross_zone: f64,
    /// One health check per request.
    #[serde(rename = "probe")]
    pub health_check: f64,
}

/// Load reports.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LoadReportSettings {
    /// Names of the values of a report, in the order in which the simulator sends them.
    #[serde(default)]
    pub fields: Vec<String>,
    /// Which messages carry load reports.
    #[serde(default)]
    pub via: ReportDelivery,
}

/// Which messages carry load reports.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportDelivery {
    /// Responses to requests and to health checks.
    #[serde(rename = "answers")]
    Responses,
    /// Responses to health checks only.
    #[serde(rename = "probe")]
    HealthChecks,
    /// None: there are no load reports.
    #[default]
    None,
}

/// Parameters of the rules of the service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RuleSettings {
    /// A dispatcher that has not polled for this long counts as notified of every change, in
    /// microseconds; 0 for no limit.
    #[serde(default, rename = "ask-within-us")]
    pub max_poll_interval_us: u64,
    /// How long the dispatcher may still send new requests and health checks to an endpoint after
    /// it was notified that the endpoint is draining or gone, in microseconds.
    #[serde(default)]
    pub drain_grace_us: u64,
    /// Share of its capacity that a restarted endpoint has at once.
    #[serde(default = "all", rename = "cold-from")]
    pub slow_start_share: f64,
    /// Duration of slow start, in microseconds.
    #[serde(default, rename = "cold-us")]
    pub slow_start_us: u64,
    /// Window over which the load of an endpoint in slow start is measured, in microseconds.
    #[serde(default, rename = "fall-us")]
    pub overload_window_us: u64,
    /// An endpoint in slow start fails if it is sent more than this multiple of its present
    /// capacity within the window.
    #[serde(default)]
    #[serde(rename = "tip-multiple")]
    pub overload_multiple: f64,
}

/// Default of the number of dispatchers.
fn one() -> usize {
    1
}

/// Default of values that are shares of a whole.
fn all() -> f64 {
    1.0
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl DeploymentSettings {
    /// The index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The tenant with this name.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants
            .iter()
            .position(|tenant| tenant.name == name)
            .map(TenantId)
    }

    /// The zone with this name; `None` if the settings define zones but not this one. Without a
    /// name, or if the settings define no zones, it is the first.
    pub fn zone_id(&self, name: Option<&str>) -> Option<ZoneId> {
        let name = name.filter(|_| !self.zones.is_empty());
        name.map_or(Some(0), |name| index_of(&self.zones, name))
            .map(ZoneId)
    }

    /// The machine kind with this name; `None` if the settings define kinds but not this one.
    /// Without a name, or if the settings define no kinds, it is the first.
    pub fn kind_id(&self, name: Option<&str>) -> Option<KindId> {
        let name = name.filter(|_| !self.kinds.is_empty());
        name.map_or(Some(0), |name| index_of(&self.kinds, name))
            .map(KindId)
    }

    /// The relative size of an endpoint with this weight on the list; 0 if the weight does not
    /// express a size. A weight that falls with load is not used, as it would make a busy endpoint
    /// look like a slow machine.
    pub fn relative_size(&self, weight: Option<f64>) -> f64 {
        let is_size = matches!(
            self.weight_meaning,
            WeightMeaning::Nominal | WeightMeaning::Rough
        );
        weight
            .filter(|weight| is_size && weight.is_finite() && *weight > 0.0)
            .unwrap_or(0.0)
    }

    /// Builds a load report from named values. Several names stand for the same value, as the
    /// simulator and the endpoints name some values differently.
    pub fn build_load_report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in values {
            match name {
                "active" | "inflight" => report.in_flight = Some(value),
                "waiting" | "queue" => report.queued = Some(value),
                // Resources are numbered; the first is slots and the second memory.
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
