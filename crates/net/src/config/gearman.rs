//! The configuration file of the Gearman frontend.

use super::{ConfigError, IdempotencyCacheLimits, parse_address, read_toml};
use pumiceway_decisions::api::ClassId;
use pumiceway_decisions::settings::{ClassSettings, DeploymentSettings};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const MAX_JOBS: usize = 1_024;
const MAX_QUEUE: usize = 10_000;
const MAX_RETENTION_S: usize = 86_400;
const MAX_KEPT_ANSWERS: usize = 20_000;
const MAX_KEPT_MB: usize = 64;
const MAX_SLOTS: f64 = 1_000.0;
const DEFAULT_SLOTS: f64 = 1.0;

/// The configuration of the Gearman frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct GearmanConfig {
    /// Address on which the frontend listens.
    pub listen: SocketAddr,
    /// Maximum number of connections, of clients and workers together.
    pub connections: usize,
    /// Maximum number of jobs of its clients that run concurrently.
    pub jobs: usize,
    /// Maximum number of queued requests of all frontends.
    pub queue: usize,
    /// Worker sessions have their full capacity from the start, without slow start.
    pub skips_slow_start: bool,
    /// Limits of the idempotency cache, from which clients that submit a job again under its unique
    /// id get its response.
    pub cache_limits: IdempotencyCacheLimits,
    /// The functions that clients can call, by name.
    pub functions: BTreeMap<String, Function>,
}

/// How the jobs of a Gearman function are handled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Function {
    /// Class of the jobs.
    pub class: ClassId,
    /// Slots that a job occupies.
    pub slots: f64,
    /// Time from the arrival of a job to its deadline.
    pub deadline: Duration,
}

/// The configuration file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GearmanFile {
    listen: String,
    #[serde(default = "default_connections")]
    connections: usize,
    #[serde(default = "default_jobs")]
    jobs: usize,
    #[serde(default = "default_queue")]
    queue: usize,
    #[serde(default = "default_warm")]
    #[serde(rename = "warm")]
    skips_slow_start: bool,
    #[serde(default = "default_retention_s")]
    retention_s: u64,
    #[serde(default = "default_kept_answers")]
    kept_answers: usize,
    #[serde(default = "default_kept_mb")]
    kept_mb: usize,
    #[serde(default)]
    functions: BTreeMap<String, FunctionEntry>,
}

/// A function in the configuration file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FunctionEntry {
    class: String,
    #[serde(default = "default_slots")]
    slots: f64,
}

fn default_connections() -> usize {
    64
}

fn default_jobs() -> usize {
    256
}

fn default_queue() -> usize {
    256
}

fn default_warm() -> bool {
    true
}

fn default_retention_s() -> u64 {
    600
}

fn default_kept_answers() -> usize {
    10_000
}

fn default_kept_mb() -> usize {
    16
}

fn default_slots() -> f64 {
    DEFAULT_SLOTS
}

impl GearmanConfig {
    /// Reads the configuration file. `inbound` is the maximum number of client connections of the
    /// process.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a value is invalid.
    pub fn from_file(
        file: &Path,
        deployment: &DeploymentSettings,
        inbound: usize,
    ) -> Result<GearmanConfig, ConfigError> {
        let raw: GearmanFile = read_toml(file)?;
        raw.check_limits(inbound)?;
        let cache_limits = raw.cache_limits();
        let mut functions = BTreeMap::new();
        for (name, entry) in raw.functions {
            let function = entry.function(&name, deployment)?;
            functions.insert(name, function);
        }
        let config = GearmanConfig {
            listen: parse_address("listen", &raw.listen)?,
            connections: raw.connections,
            jobs: raw.jobs,
            queue: raw.queue,
            skips_slow_start: raw.skips_slow_start,
            cache_limits,
            functions,
        };
        Ok(config.with_default_functions(deployment))
    }

    /// Returns the configuration with defaults: if it has no functions, one is added for each
    /// class, with the name of the class.
    pub fn with_default_functions(mut self, deployment: &DeploymentSettings) -> GearmanConfig {
        if self.functions.is_empty() {
            let classes = deployment.classes.iter().enumerate();
            self.functions = classes
                .map(|(index, class)| {
                    let function = Function::of_class(index, class, DEFAULT_SLOTS);
                    (class.name.clone(), function)
                })
                .collect();
        }
        self
    }
}

impl GearmanFile {
    /// Checks that the numbers are within their limits. Half of the client connections of the
    /// process are reserved for HTTP.
    fn check_limits(&self, inbound: usize) -> Result<(), ConfigError> {
        check_range("connections", self.connections, inbound / 2)?;
        check_range("jobs", self.jobs, MAX_JOBS)?;
        check_range("queue", self.queue, MAX_QUEUE)?;
        check_range("retention_s", self.retention_s as usize, MAX_RETENTION_S)?;
        check_range("kept_answers", self.kept_answers, MAX_KEPT_ANSWERS)?;
        check_range("kept_mb", self.kept_mb, MAX_KEPT_MB)
    }

    fn cache_limits(&self) -> IdempotencyCacheLimits {
        IdempotencyCacheLimits {
            retention: Duration::from_secs(self.retention_s),
            max_entries: self.kept_answers,
            max_running: self.jobs,
            max_bytes: self.kept_mb << 20,
            ..IdempotencyCacheLimits::default()
        }
    }
}

impl FunctionEntry {
    /// Validates the entry of the function called `name`.
    fn function(
        &self,
        name: &str,
        deployment: &DeploymentSettings,
    ) -> Result<Function, ConfigError> {
        let Some(class) = deployment.class_index(&self.class) else {
            return Err(ConfigError::key(
                &format!("functions.{name}.class"),
                format!("unknown class {}", self.class),
            ));
        };
        if !(self.slots > 0.0 && self.slots <= MAX_SLOTS) {
            return Err(ConfigError::key(
                &format!("functions.{name}.slots"),
                format!("{} is not above 0 and at most {MAX_SLOTS}", self.slots),
            ));
        }
        Ok(Function::of_class(
            class,
            &deployment.classes[class],
            self.slots,
        ))
    }
}

impl Function {
    /// A function whose jobs belong to the class with this index and take this many slots.
    pub fn of_class(index: usize, class: &ClassSettings, slots: f64) -> Function {
        Function {
            class: ClassId(index),
            slots,
            // The full deadline of the class: the decisions treat a request with less remaining time
            // as a retry by a client that has already waited.
            deadline: Duration::from_micros(class.deadline_us),
        }
    }
}

fn check_range(key: &str, value: usize, max: usize) -> Result<(), ConfigError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    let reason = format!("{value} is not between 1 and {max}");
    Err(ConfigError::key(key, reason))
}
