//! The file that switches the Gearman frontend on.

use super::{ConfigError, Retention, parse_address, read_toml};
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

/// How the Gearman frontend is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct GearmanConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections that it serves, of clients and workers together.
    pub connections: usize,
    /// Jobs of its clients that may run at once.
    pub jobs: usize,
    /// Requests of all frontends that may be queued at once.
    pub queue: usize,
    /// Worker sessions have their whole capacity from the start, without slow start.
    pub skips_slow_start: bool,
    /// What is kept for clients that send a job again.
    pub retention: Retention,
    /// The functions that clients may call, by name.
    pub functions: BTreeMap<String, Function>,
}

/// What a Gearman function stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Function {
    /// Its class.
    pub class: ClassId,
    /// Slots that a job takes.
    pub slots: f64,
    /// Time from a job's arrival to its deadline.
    pub deadline: Duration,
}

/// The file, as written.
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
    #[serde(default = "default_skips_slow_start", rename = "warm")]
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

/// A function of the file, as written.
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

fn default_skips_slow_start() -> bool {
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
    /// Reads the file; `inbound` is how many connections of clients the process may serve.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value cannot be used.
    pub fn from_file(
        file: &Path,
        deployment: &DeploymentSettings,
        inbound: usize,
    ) -> Result<GearmanConfig, ConfigError> {
        let written: GearmanFile = read_toml(file)?;
        written.check_limits(inbound)?;
        let retention = written.retention();
        let mut functions = BTreeMap::new();
        for (name, entry) in written.functions {
            let function = entry.function(&name, deployment)?;
            functions.insert(name, function);
        }
        let config = GearmanConfig {
            listen: parse_address("listen", &written.listen)?,
            connections: written.connections,
            jobs: written.jobs,
            queue: written.queue,
            skips_slow_start: written.skips_slow_start,
            retention,
            functions,
        };
        Ok(config.with_default_functions(deployment))
    }

    /// The same configuration. If it has no functions, each class becomes one of the same name.
    pub fn with_default_functions(mut self, deployment: &DeploymentSettings) -> GearmanConfig {
        if self.functions.is_empty() {
            let classes = deployment.classes.iter().enumerate();
            self.functions = classes
                .map(|(index, class)| (class.name.clone(), function_of_class(index, class)))
                .collect();
        }
        self
    }
}

impl GearmanFile {
    /// Checks the numbers of the file; half of the connections of clients are left to HTTP.
    fn check_limits(&self, inbound: usize) -> Result<(), ConfigError> {
        check_within("connections", self.connections, inbound / 2)?;
        check_within("jobs", self.jobs, MAX_JOBS)?;
        check_within("queue", self.queue, MAX_QUEUE)?;
        check_within("retention_s", self.retention_s as usize, MAX_RETENTION_S)?;
        check_within("kept_answers", self.kept_answers, MAX_KEPT_ANSWERS)?;
        check_within("kept_mb", self.kept_mb, MAX_KEPT_MB)
    }

    fn retention(&self) -> Retention {
        Retention {
            time: Duration::from_secs(self.retention_s),
            entries: self.kept_answers,
            running: self.jobs,
            bytes: self.kept_mb << 20,
        }
    }
}

impl FunctionEntry {
    /// The function of this name.
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
                format!("{} is not a number of slots", self.slots),
            ));
        }
        Ok(Function {
            slots: self.slots,
            ..function_of_class(class, &deployment.classes[class])
        })
    }
}

/// A function whose jobs are those of a class.
fn function_of_class(index: usize, class: &ClassSettings) -> Function {
    Function {
        class: ClassId(index),
        slots: DEFAULT_SLOTS,
        // Not a shorter one: the decisions take a request with less remaining time for a retry of
        // the client, which has waited already.
        deadline: Duration::from_micros(class.deadline_us),
    }
}

fn check_within(key: &str, value: usize, max: usize) -> Result<(), ConfigError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    let reason = format!("{value} is not between 1 and {max}");
    Err(ConfigError::key(key, reason))
}
