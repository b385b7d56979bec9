//! Conversion of the functions and the limits of the Gearman frontend.

use crate::error::{SiteError, Source};
use crate::schema::{self, Keep, Limits};
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_net::config::{Function, GearmanConfig, IdempotencyCacheLimits};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MAX_CONNECTIONS: usize = 100_000;
const MAX_JOBS: usize = 10_000;
const MAX_CACHED_RESPONSES: usize = 1_000_000;
const MAX_SLOTS: f64 = 1_000.0;

/// Checks and converts the functions.
pub(super) fn functions(
    source: &Source<'_>,
    functions: BTreeMap<String, schema::Function>,
    deployment: &DeploymentSettings,
) -> Result<BTreeMap<String, Function>, SiteError> {
    functions
        .into_iter()
        .map(|(name, function)| {
            let function = convert_function(source, &name, &function, deployment)?;
            Ok((name, function))
        })
        .collect()
}

fn convert_function(
    source: &Source<'_>,
    name: &str,
    function: &schema::Function,
    deployment: &DeploymentSettings,
) -> Result<Function, SiteError> {
    let class_name = function.class.get_ref();
    let Some(class) = deployment.class_index(class_name) else {
        let class_names: Vec<&str> = deployment
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        let reason = format!(
            "unknown class {class_name:?}; the classes are {}",
            class_names.join(", ")
        );
        let key = format!("functions.{name}.class");
        return Err(source.error_at(function.class.span(), key, reason));
    };
    let slots = *function.slots.get_ref();
    if !(slots > 0.0 && slots <= MAX_SLOTS) {
        let key = format!("functions.{name}.slots");
        let reason = "must be more than 0 and at most 1000";
        return Err(source.error_at(function.slots.span(), key, reason));
    }
    Ok(Function::of_class(class, &deployment.classes[class], slots))
}

/// The limits of the Gearman frontend.
pub(super) struct GearmanLimits {
    connections: usize,
    jobs: usize,
    max_queued: usize,
    cache_limits: IdempotencyCacheLimits,
}

/// Checks and converts the limits, also if the frontend is disabled.
pub(super) fn limits(
    source: &Source<'_>,
    limits: &Limits,
    keep: &Keep,
) -> Result<GearmanLimits, SiteError> {
    let connections = source.check_range(
        "limits.connections",
        &limits.connections,
        1..=MAX_CONNECTIONS,
    )?;
    let jobs = source.check_range("limits.jobs", &limits.jobs, 1..=MAX_JOBS)?;
    let entries = source.check_range(
        "keep.answers",
        &keep.max_responses,
        1..=MAX_CACHED_RESPONSES,
    )?;
    Ok(GearmanLimits {
        connections,
        jobs,
        max_queued: *limits.max_queued.get_ref(),
        cache_limits: IdempotencyCacheLimits {
            retention: keep.time.0,
            max_entries: entries,
            max_running: jobs,
            max_bytes: usize::try_from(keep.bytes.0).unwrap_or(usize::MAX),
            ..IdempotencyCacheLimits::default()
        },
    })
}

impl GearmanLimits {
    /// Checks that at least half of the inbound connections remain for HTTP clients.
    pub(super) fn check_connections(
        &self,
        source: &Source<'_>,
        limits: &Limits,
        max_inbound: usize,
    ) -> Result<(), SiteError> {
        let connections = self.connections;
        let max = max_inbound / 2;
        if connections <= max {
            return Ok(());
        }
        let reason = format!(
            "{connections} is too many: with these limits.sockets and limits.memory, at most {max} \
             leave half of the connections to HTTP clients"
        );
        Err(source.error_at(limits.connections.span(), "limits.connections", reason))
    }

    /// The configuration of the frontend.
    pub(super) fn into_config(
        self,
        listen: SocketAddr,
        functions: BTreeMap<String, Function>,
    ) -> GearmanConfig {
        GearmanConfig {
            listen,
            connections: self.connections,
            jobs: self.jobs,
            queue: self.max_queued,
            skips_slow_start: true,
            cache_limits: self.cache_limits,
            functions,
        }
    }
}
