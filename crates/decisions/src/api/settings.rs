//! What the deployment tells a balancer at its start.

use super::{Class, Tenant, ZoneId};
use std::time::Duration;

/// Prices that the decisions weigh, as shares of the mean priority weight of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For sending one request across zones.
    pub cross_zone: f64,
    /// For one health check per request. The decisions do not weigh it yet.
    pub health_check: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// From responses and from health checks.
    Responses,
    /// From health checks only.
    HealthChecks,
    /// From nowhere.
    None,
}

/// The settings of one dispatcher. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among `instance_count`, from 0.
    pub instance_index: usize,
    /// Number of dispatchers.
    pub instance_count: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// The zone of this dispatcher, if it has one.
    pub home_zone: Option<ZoneId>,
    /// Number of machine kinds.
    pub kind_count: usize,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants that share the endpoints; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's quota is worth, as a share (0 to 1) of its class's
    /// priority weight.
    pub over_quota_weight: f64,
    /// Prices.
    pub prices: Prices,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// The endpoint list has to be polled; otherwise changes are pushed.
    pub polls_discovery: bool,
    /// A dispatcher that has not polled for this long counts as notified of every change.
    pub max_poll_interval: Duration,
    /// Nothing new is sent to an endpoint later than this after the dispatcher was notified that it
    /// drains or is gone.
    pub drain_grace: Duration,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// Cancelling an attempt is allowed.
    pub cancellation: bool,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// Clients are told how long to back off.
    pub retry_after: bool,
    /// The longest back-off that clients heed.
    pub max_retry_after: Duration,
    /// Attempts that one request may have.
    pub max_attempts: usize,
    /// A connection that is not up within this time has failed, so an attempt may arrive this long
    /// after it was decided.
    pub connect_timeout: Duration,
    /// A connection idle for this long is closed; zero where that is not known. For hosts; the
    /// decisions do not use it.
    pub connection_idle_timeout: Duration,
    /// The shortest time between two calls of the balancer.
    pub timer_resolution: Duration,
    /// Endpoints tell when a request starts.
    pub reports_start: bool,
    /// Interval between progress messages of a running request; zero for none.
    pub progress_interval: Duration,
    /// Share of its capacity that a restarted endpoint has at once; slow start leads from there to
    /// 1.
    pub slow_start_share: f64,
    /// How long slow start takes.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start fails when it is sent more than this multiple of its present
    /// capacity ...
    pub overload_multiple: f64,
    /// ... within a window of this length.
    pub overload_window: Duration,
    /// Requests that may be queued here at once; one more sheds the least valuable of them. 0: no
    /// bound here.
    pub max_queued: usize,
}

impl Settings {
    /// Checks that the settings can work at all.
    ///
    /// # Errors
    ///
    /// Names the first setting that cannot.
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

/// Settings that cannot work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is nothing to dispatch.
    #[error("the settings name no class of request")]
    NoClasses,
    /// No request could ever be sent.
    #[error("the settings allow no attempt for a request")]
    NoAttempts,
    /// An index points outside its table.
    #[error("{what} {index} is out of range: there are {count}")]
    OutOfRange {
        /// What the index names.
        what: &'static str,
        /// The index.
        index: usize,
        /// The size of its table.
        count: usize,
    },
    /// A value that makes no sense.
    #[error("{0} is not usable")]
    InvalidValue(&'static str),
}
