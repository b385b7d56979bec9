//! Conversion of the settings document to the settings of a balancer.

use super::{
    ClassSettings, DeploymentSettings, DiscoveryMode, QueueOrder, RepeatSemantics, ReportDelivery,
    index_of,
};
use crate::api::{
    Class, DeduplicationScope, Idempotency, KindId, LoadReportSource, Prices, Settings,
    SettingsError, Tenant, ZoneId,
};
use std::time::Duration;

/// Connect timeout where the settings specify none.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 1_000_000;

/// An error in a settings document.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DeploymentSettingsError {
    /// `my-zone` is not one of `zones`.
    #[error("my-zone: unknown zone {0}")]
    UnknownZone(String),
    /// A setting that a balancer does not accept.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
}

/// The indices of these names. Unknown names are skipped: in a list of allowed zones or kinds, they
/// allow nothing.
fn known_indices<'a>(names: &'a [String], known: &'a [String]) -> impl Iterator<Item = usize> + 'a {
    names.iter().filter_map(|name| index_of(known, name))
}

impl DeploymentSettings {
    /// The connect timeout for endpoints. Hosts that open connections have to use this value,
    /// because the balancer assumes it when it decides whether an attempt can still arrive in time.
    pub fn connect_timeout(&self) -> Duration {
        let or_default = |micros| {
            if micros == 0 {
                DEFAULT_CONNECT_TIMEOUT_US
            } else {
                micros
            }
        };
        let configured = or_default(self.limits.connect_timeout_us);
        // The endpoint may start to drain while an attempt waits for its connection. The attempt
        // must not be written after the drain grace.
        let within_grace = or_default(self.rules.drain_grace_us / 2);
        Duration::from_micros(configured.min(within_grace))
    }

    /// Converts the document to the settings of a balancer and validates them.
    ///
    /// # Errors
    ///
    /// An unknown home zone, or an invalid setting; see [`Settings::validate`].
    pub fn to_settings(&self) -> Result<Settings, DeploymentSettingsError> {
        let settings = Settings {
            instance_index: self.instance_index,
            instance_count: self.instance_count.max(1),
            zone_count: self.zones.len().max(1),
            home_zone: self.home_zone_id()?,
            kind_count: self.kinds.len().max(1),
            functions: Vec::new(),
            classes: self
                .classes
                .iter()
                .enumerate()
                .map(|(index, class)| self.to_class(index, class))
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| Tenant {
                    quota_per_second: tenant.quota_per_second.max(0.0),
                })
                .collect(),
            over_quota_weight: self.over_quota_weight.clamp(0.0, 1.0),
            prices: Prices {
                cross_zone: self.prices.cross_zone,
                health_check: self.prices.health_check,
            },
            load_reports: match self.load_reports.via {
                ReportDelivery::Responses => LoadReportSource::Responses,
                ReportDelivery::HealthChecks => LoadReportSource::HealthChecks,
                ReportDelivery::None => LoadReportSource::None,
            },
            polls_discovery: self.discovery == DiscoveryMode::Polled,
            max_poll_interval: Duration::from_micros(self.rules.max_poll_interval_us),
            drain_grace: Duration::from_micros(self.rules.drain_grace_us),
            health_checks: self.limits.health_checks,
            cancellation: self.limits.cancellation,
            hedging: self.limits.hedging,
            retry_after: self.limits.retry_after,
            max_retry_after: Duration::from_micros(self.limits.max_retry_after_us),
            max_attempts: self.limits.max_attempts,
            connect_timeout: self.connect_timeout(),
            connection_idle_timeout: Duration::from_micros(self.limits.connection_idle_us),
            timer_resolution: Duration::from_micros(self.timer_resolution_us),
            reports_start: self.service.reports_start,
            progress_interval: Duration::from_micros(self.service.progress_interval_us),
            slow_start_share: self.rules.slow_start_share,
            slow_start_duration: Duration::from_micros(self.rules.slow_start_us),
            overload_multiple: self.rules.overload_multiple,
            overload_window: Duration::from_micros(self.rules.overload_window_us),
            max_queued: self.limits.max_queued,
        };
        settings.validate()?;
        Ok(settings)
    }

    fn home_zone_id(&self) -> Result<Option<ZoneId>, DeploymentSettingsError> {
        let Some(name) = &self.home_zone else {
            return Ok(None);
        };
        let zone = self
            .zone_id(Some(name))
            .ok_or_else(|| DeploymentSettingsError::UnknownZone(name.clone()))?;
        Ok(Some(zone))
    }

    fn to_class(&self, index: usize, class: &ClassSettings) -> Class {
        let service = &self.service;
        let service_stretch = service.objective_stretch.get(index).copied();
        let allowed_zones = class.allowed_zones.as_ref();
        Class {
            idempotency: idempotency(class),
            priority_weight: class.priority_weight,
            latency_objective: Duration::from_micros(class.latency_objective_us),
            objective_stretch: class.objective_stretch.or(service_stretch).unwrap_or(0.0),
            deadline: Duration::from_micros(class.deadline_us),
            queue_priority: self.queue_priority(index),
            max_queue_time: class.max_queue_time_us.map(Duration::from_micros),
            allowed_zones: allowed_zones
                .map(|names| known_indices(names, &self.zones).map(ZoneId).collect()),
            allowed_kinds: self.allowed_kinds(class, service.class_kind.get(index).copied()),
        }
    }

    fn queue_priority(&self, index: usize) -> u32 {
        match self.service.queue_order {
            QueueOrder::Priority => {
                let priority = self.service.class_priority.get(index).copied().unwrap_or(0);
                u32::try_from(priority).unwrap_or(0)
            }
            QueueOrder::Fifo | QueueOrder::Backfill => 0,
        }
    }

    /// The kinds that may serve a class: the allowed kinds of the class, restricted to
    /// `service_kind` if the service prescribes one; `None` if neither is set.
    fn allowed_kinds(
        &self,
        class: &ClassSettings,
        service_kind: Option<i64>,
    ) -> Option<Vec<KindId>> {
        let service_kind = service_kind.and_then(|kind| usize::try_from(kind).ok());
        let allowed: Vec<usize> = match (&class.allowed_kinds, service_kind) {
            (None, None) => return None,
            (Some(names), None) => known_indices(names, &self.kinds).collect(),
            (None, Some(kind)) => vec![kind],
            (Some(names), Some(kind)) => known_indices(names, &self.kinds)
                .filter(|&allowed| allowed == kind)
                .collect(),
        };
        Some(
            allowed
                .into_iter()
                .filter(|&kind| kind < self.kinds.len())
                .map(KindId)
                .collect(),
        )
    }
}

fn idempotency(class: &ClassSettings) -> Idempotency {
    match class.repeats {
        RepeatSemantics::Idempotent => Idempotency::Idempotent,
        RepeatSemantics::NonIdempotent => Idempotency::NonIdempotent,
        RepeatSemantics::Keyed => Idempotency::Keyed {
            // A scope that is too narrow forbids some safe retries; one that is too wide would let
            // a request run twice.
            scope: class
                .deduplication_scope
                .unwrap_or(DeduplicationScope::Cell),
            window: Duration::from_micros(class.deduplication_window_us),
        },
    }
}
