//! The settings of a balancer.

use super::{Class, ClassId, Tenant, ZoneId};
use std::time::Duration;

/// Costs of operations, as shares of the mean priority weight of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Sending one request across zones.
    pub cross_zone: f64,
    /// One health check per request. The decisions do not use it yet.
    pub health_check: f64,
}

/// Which messages carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Responses to requests and to health checks.
    Responses,
    /// Responses to health checks only.
    HealthChecks,
    /// None: there are no load reports.
    None,
}

/// The settings of one dispatcher. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this dispatcher, below `instance_count`.
    pub instance_index: usize,
    /// Number of dispatchers.
    pub instance_count: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// The zone of this dispatcher, if it has one.
    pub home_zone: Option<ZoneId>,
    /// Number of machine kinds.
    pub kind_count: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The class of each additional function: work that only the endpoints can do that name the
    /// function; see [`EndpointEntry::functions`](super::EndpointEntry::functions).
    pub functions: Vec<ClassId>,
    /// The tenants; empty if requests are not assigned to tenants.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request beyond its tenant's quota, as a share (0 to 1) of its class's
    /// priority weight.
    pub over_quota_weight: f64,
    /// Costs of operations.
    pub prices: Prices,
    /// Which messages carry load reports.
    pub load_reports: LoadReportSource,
    /// The dispatcher has to poll the endpoint list; otherwise changes are pushed to it.
    pub polls_discovery: bool,
    /// A dispatcher that has not polled for this long counts as notified of every change; zero for
    /// no limit.
    pub max_poll_interval: Duration,
    /// How long the dispatcher may still send new requests and health checks to an endpoint after
    /// it was notified that the endpoint is draining or gone.
    pub drain_grace: Duration,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// Cancelling an attempt is allowed.
    pub cancellation: bool,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// Overload responses tell clients how long to back off.
    pub retry_after: bool,
    /// The longest back-off that clients honour.
    pub max_retry_after: Duration,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Connect timeout. An attempt may reach its endpoint this long after it was sent.
    pub connect_timeout: Duration,
    /// Connections that are idle for this long are closed; zero if unknown. For hosts; the
    /// decisions do not use it.
    pub connection_idle_timeout: Duration,
    /// The shortest time between two calls of the balancer.
    pub timer_resolution: Duration,
    /// Endpoints report when a request starts.
    pub reports_start: bool,
    /// Interval between progress messages of a running request; zero for none.
    pub progress_interval: Duration,
    /// Share of its capacity that an endpoint has at the beginning of slow start; it grows to 1.
    pub slow_start_share: f64,
    /// Duration of slow start.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start fails if it is sent more than this multiple of its present
    /// capacity within `overload_window`; 0 if it does not fail.
    pub overload_multiple: f64,
    /// Window over which `overload_multiple` is measured.
    pub overload_window: Duration,
    /// Maximum number of queued requests; when it is exceeded, the least valuable request is shed.
    /// 0 for no limit.
    pub max_queued: usize,
}

impl Settings {
    /// Checks the settings for values with which a balancer cannot work.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        check_index("instance", self.instance_index, self.instance_count)?;
        if let Some(zone) = self.home_zone {
            check_index("zone", zone.0, self.zone_count)?;
        }
        for class in &self.functions {
            check_index("class of a function", class.0, self.classes.len())?;
        }
        for class in &self.classes {
            for zone in class.allowed_zones.iter().flatten() {
                check_index("zone of a class", zone.0, self.zone_count)?;
            }
            for kind in class.allowed_kinds.iter().flatten() {
                check_index("kind of a class", kind.0, self.kind_count)?;
            }
        }
        Ok(())
    }
}

fn check_index(what: &'static str, index: usize, count: usize) -> Result<(), SettingsError> {
    if index < count {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { what, index, count })
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    #[error("the settings define no request class")]
    NoClasses,
    /// No request could ever be sent.
    #[error("the maximum number of attempts of a request is 0")]
    NoAttempts,
    /// An index is out of range.
    #[error("{what} {index} is out of range: there are {count}")]
    OutOfRange {
        /// What the index refers to.
        what: &'static str,
        /// The index.
        index: usize,
        /// The number of valid indices.
        count: usize,
    },
    /// The named setting has a value with which a balancer cannot work.
    #[error("the setting `{0}` has an invalid value")]
    InvalidValue(&'static str),
}
