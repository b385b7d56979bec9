//! Checks a site file and converts it to the configuration of the dispatcher.
//!
//! The values are checked in a fixed order, and the first invalid one is reported.

mod class;
mod gearman;

use crate::error::{SiteError, Source};
use crate::schema::{Limits, SiteFile, Worker};
use crate::units::ByteSize;
use pumiceway_decisions::settings::{
    self, ClassSettings, DeploymentSettings, DiscoveryMode, LoadReportSettings, PriceSettings,
    RuleSettings, ServiceTraits, WeightMeaning,
};
use pumiceway_net::config::{Config, ResourceLimits};
use pumiceway_net::discovery::{ListMessage, ListedEndpoint};
use pumiceway_net::frontend::gearman::workers::MAX_CLASSES;
use std::collections::BTreeMap;
use toml::Spanned;

/// The dispatcher reserves some descriptors for itself; fewer than this would leave too few for
/// clients.
const MIN_SOCKETS: usize = 128;
const MAX_SOCKETS: usize = 1 << 20;
const MIN_MEMORY_MIB: u64 = 32;
const MAX_MEMORY_MIB: u64 = 1 << 20;
const MAX_QUEUED: usize = 10_000;
const MAX_ATTEMPTS: usize = 100;

/// The only machine kind of a site.
const WORKER_KIND: &str = "worker";
/// The time limit for connecting to an endpoint.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// The longest `Retry-After` that is sent to clients.
const MAX_RETRY_AFTER_US: u64 = 2_000_000;
/// How long new requests may still be sent to an endpoint after the notification that it drains.
const DRAIN_GRACE_US: u64 = 500_000;
const TIMER_RESOLUTION_US: u64 = 1_000;

/// Converts a site file to a configuration.
pub(crate) fn config(source: &Source<'_>, site: SiteFile) -> Result<Config, SiteError> {
    check_class_count(source, &site)?;
    let classes = site
        .classes
        .into_iter()
        .map(|(name, class)| class::class_settings(source, name, class))
        .collect::<Result<_, _>>()?;
    let limits = &site.limits;
    let sockets =
        source.check_range("limits.sockets", &limits.sockets, MIN_SOCKETS..=MAX_SOCKETS)?;
    let memory_mib = check_memory(source, &limits.memory)?;
    let deployment = deployment_settings(source, &site.zone, limits, classes)?;
    let functions = gearman::functions(source, site.functions, &deployment)?;
    let gearman_limits = gearman::limits(source, limits, &site.keep)?;
    let mut config = Config::from_site(
        site.name,
        site.listen.http.0,
        deployment,
        bootstrap_list(site.workers, &site.zone),
        ResourceLimits {
            sockets,
            memory_mb: memory_mib,
        },
    )
    .map_err(|error| source.error("", error.to_string()))?;
    if let Some(listen) = site.listen.gearman {
        gearman_limits.check_connections(source, limits, config.socket_budget.inbound)?;
        let gearman = gearman_limits.into_config(listen.0, functions);
        config.gearman = Some(gearman.with_default_functions(&config.deployment));
    }
    Ok(config)
}

fn check_class_count(source: &Source<'_>, site: &SiteFile) -> Result<(), SiteError> {
    if site.classes.is_empty() {
        let reason = "at least one class is required, such as [classes.booking-import]";
        return Err(source.error("classes", reason));
    }
    if site.listen.gearman.is_some() && site.classes.len() > MAX_CLASSES {
        let reason = format!("at most {MAX_CLASSES} classes are allowed with listen.gearman");
        return Err(source.error("classes", reason));
    }
    Ok(())
}

/// Returns the memory of the process in MiB, if it is within its range.
fn check_memory(source: &Source<'_>, memory: &Spanned<ByteSize>) -> Result<u64, SiteError> {
    let memory_mib = memory.get_ref().0 >> 20;
    if (MIN_MEMORY_MIB..=MAX_MEMORY_MIB).contains(&memory_mib) {
        return Ok(memory_mib);
    }
    let reason = "must be between 32 MiB and 1 TiB";
    Err(source.error_at(memory.span(), "limits.memory", reason))
}

/// The settings of a single dispatcher in a single zone.
fn deployment_settings(
    source: &Source<'_>,
    zone: &str,
    limits: &Limits,
    classes: Vec<ClassSettings>,
) -> Result<DeploymentSettings, SiteError> {
    let max_queued = source.check_range("limits.waiting", &limits.max_queued, 1..=MAX_QUEUED)?;
    let max_attempts =
        source.check_range("limits.tries", &limits.max_attempts, 1..=MAX_ATTEMPTS)?;
    Ok(DeploymentSettings {
        instance_index: 0,
        instance_count: 1,
        zones: vec![zone.to_owned()],
        home_zone: Some(zone.to_owned()),
        kinds: vec![WORKER_KIND.to_owned()],
        classes,
        discovery: DiscoveryMode::default(),
        service: ServiceTraits::default(),
        limits: settings::Limits {
            cancellation: true,
            connection_idle_us: 0,
            connect_timeout_us: CONNECT_TIMEOUT_US,
            max_retry_after_us: MAX_RETRY_AFTER_US,
            max_attempts,
            max_queued,
            health_checks: false,
            retry_after: true,
            hedging: false,
        },
        prices: PriceSettings::default(),
        load_reports: LoadReportSettings::default(),
        rules: RuleSettings {
            max_poll_interval_us: 0,
            drain_grace_us: DRAIN_GRACE_US,
            slow_start_share: 1.0,
            slow_start_us: 0,
            overload_window_us: 0,
            overload_multiple: 0.0,
        },
        timer_resolution_us: TIMER_RESOLUTION_US,
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        weight_meaning: WeightMeaning::default(),
    })
}

/// The workers that are called over HTTP, as an endpoint list that no discovery service updates.
fn bootstrap_list(workers: BTreeMap<String, Worker>, zone: &str) -> ListMessage {
    let endpoints = workers.into_iter().map(|(name, worker)| {
        ListedEndpoint::ready(name, worker.address.0.to_string(), zone.to_owned())
    });
    ListMessage {
        version: 0,
        snapshot: true,
        endpoints: endpoints.collect(),
    }
}
