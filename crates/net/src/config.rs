//! The one place where configuration is read, checked and given defaults. Every message names its
//! key.

use crate::discovery::ListMessage;
pub use pumiceway_core::Retention;
use pumiceway_decisions::api::{ClassId, Settings, SettingsError};
use pumiceway_decisions::settings::{DeploymentSettings, DeploymentSettingsError};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{file}: {why}")]
    File {
        /// Its name.
        file: String,
        /// Why.
        why: String,
    },
    /// A value that is missing or can't be used.
    #[error("{key}: {why}")]
    Key {
        /// Its key.
        key: String,
        /// Why.
        why: String,
    },
}

fn bad(key: &str, why: impl ToString) -> ConfigError {
    ConfigError::Key {
        key: key.to_owned(),
        why: why.to_string(),
    }
}

/// Settings that can be read and cannot work, by the key at fault where there is one.
fn unusable(e: DeploymentSettingsError) -> ConfigError {
    let key = match &e {
        DeploymentSettingsError::UnknownZone(_) => "settings.my-zone",
        DeploymentSettingsError::Unusable(SettingsError::NoClasses) => "settings.lanes",
        DeploymentSettingsError::Unusable(SettingsError::NoAttempts) => {
            "settings.limits.most-tries"
        }
        DeploymentSettingsError::Unusable(SettingsError::OutOfRange {
            what: "instance", ..
        }) => "settings.me",
        _ => "settings",
    };
    bad(key, e)
}

/// The configuration file of the platform, as written.
#[derive(Deserialize)]
struct Written {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsWritten,
    #[serde(rename = "known")]
    bootstrap_list: Option<ListMessage>,
    settings: DeploymentSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsWritten {
    sockets: usize,
    memory_mb: u64,
}

impl Default for LimitsWritten {
    fn default() -> LimitsWritten {
        LimitsWritten {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// All that the dispatcher is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery is; without one the route set comes from elsewhere.
    pub discovery: Option<String>,
    /// For random numbers.
    pub seed: u64,
    /// How sockets are shared out.
    pub sockets: Sockets,
    /// The route set as this dispatcher last held it.
    pub bootstrap_list: Option<ListMessage>,
    /// The settings as written.
    pub deployment: Arc<DeploymentSettings>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The Gearman front, where it is switched on.
    pub gearman: Option<GearmanConfig>,
    /// A route set in ZooKeeper, where it is switched on.
    pub zookeeper: Option<ZooKeeperConfig>,
    /// What takes a restart to change, by key, as written.
    pub fixed: Fixed,
}

/// The values of keys that are read at the start only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fixed(BTreeMap<String, serde_json::Value>);

impl Fixed {
    /// The keys under which another configuration says something else.
    fn changed(&self, other: &Fixed) -> Vec<String> {
        let keys: BTreeSet<&String> = self.0.keys().chain(other.0.keys()).collect();
        keys.into_iter()
            .filter(|&key| self.0.get(key) != other.0.get(key))
            .cloned()
            .collect()
    }
}

/// What a configuration that is read again while the dispatcher serves has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Where discovery is from now on.
    pub discovery: String,
    /// Keys that say something else than at the start, and take a restart.
    pub restart_required: Vec<String>,
}

impl Reload {
    /// Reads the file named by `ROUTER_CONFIG` again. Its `discovery` wins over `ROUTER_DISCOVERY`,
    /// which tells what was so at the start; `bootstrap_list` is older than what is known by now.
    pub fn read(
        running: &Fixed,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Reload, ConfigError> {
        let config =
            Config::from_environment(|key| env(key).filter(|_| key != "ROUTER_DISCOVERY"))?;
        let discovery = config
            .discovery
            .ok_or_else(|| bad("discovery", "missing"))?;
        Ok(Reload {
            discovery,
            restart_required: running.changed(&config.fixed),
        })
    }
}

/// How the descriptors that the process may hold are shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// Connections of clients that are served.
    pub inbound: usize,
    /// Further ones that only get a busy answer; and as many again whose end is not over.
    pub spare: usize,
    /// Connections to all next hops together, in use or idle.
    pub outbound: usize,
}

/// Descriptors for all else: listeners, discovery, probes, standard streams.
const RESERVE: usize = 32;
/// What a connection of a client may hold in memory: a body, and what is read ahead.
const HELD_MOST: usize = 96 << 10;
/// Fewer leave nothing to work with.
const SOCKETS_LEAST: usize = 128;

impl Sockets {
    /// A request that is served has a connection to a next hop, so both sides get as many; all
    /// parts together are no more than there are. Prevents: out of descriptors, connections that
    /// the system has accepted for us are not taken, and their requests lost.
    fn share_out(sockets: usize, memory_mb: u64) -> Sockets {
        let free = sockets - RESERVE;
        let fit = (memory_mb << 20) as usize / 2 / HELD_MOST;
        Sockets {
            inbound: (free * 9 / 20).min(fit),
            spare: free / 20,
            outbound: free * 9 / 20,
        }
    }
}

/// Names the key that a JSON or TOML text is wrong at.
fn at<E: std::fmt::Display>(
    file: &str,
) -> impl Fn(serde_path_to_error::Error<E>) -> ConfigError + '_ {
    move |e| match e.path().to_string().as_str() {
        "." => ConfigError::File {
            file: file.to_owned(),
            why: e.inner().to_string(),
        },
        key => bad(key, format!("{} (in {file})", e.inner())),
    }
}

fn read(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|e| ConfigError::File {
        file: file.display().to_string(),
        why: e.to_string(),
    })
}

/// What is wrong with a TOML text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TomlError {
    /// Where it is, as an offset in bytes.
    pub at: Option<usize>,
    /// The key; empty where there is none.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// Reads a TOML text.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, TomlError> {
    let wrong = |e: &toml::de::Error, key: String| TomlError {
        at: e.span().map(|span| span.start),
        key,
        why: e.message().to_owned(),
    };
    let parsed = toml::Deserializer::parse(text).map_err(|e| wrong(&e, String::new()))?;
    serde_path_to_error::deserialize(parsed).map_err(|e| {
        // The path of a spanned value has a part that stands for its wrapper.
        let path = e.path().to_string();
        let parts = path
            .split('.')
            .filter(|part| !part.is_empty() && !part.starts_with("$__"));
        wrong(e.inner(), parts.collect::<Vec<_>>().join("."))
    })
}

/// Reads a file of ours.
pub fn read_toml<T: DeserializeOwned>(file: &Path) -> Result<T, ConfigError> {
    let text = read(file)?;
    parse_toml(&text).map_err(|TomlError { at, key, why }| {
        let lines = |at: usize| text.bytes().take(at).filter(|&b| b == b'\n').count();
        let place = at.map_or_else(String::new, |at| format!(", line {}", 1 + lines(at)));
        let file = format!("{}{place}", file.display());
        match key.as_str() {
            "" => ConfigError::File { file, why },
            _ => bad(&key, format!("{why} (in {file})")),
        }
    })
}

/// Checks an address that is written under a key.
pub fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        bad(
            key,
            format!("{text:?} is not an address like 127.0.0.1:3000"),
        )
    })
}

impl Config {
    /// Reads the file named by `ROUTER_CONFIG`; the other variables win over what it says.
    pub fn from_environment(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = env("ROUTER_CONFIG").ok_or_else(|| bad("ROUTER_CONFIG", "not set"))?;
        Config::from_text(&read(Path::new(&file))?, &file, env)
    }

    /// Reads the text of that file.
    pub fn from_text(
        text: &str,
        file: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let fixed = fixed(text);
        let mut parsed = serde_json::Deserializer::from_str(text);
        let written: Written = serde_path_to_error::deserialize(&mut parsed).map_err(at(file))?;
        let listen = env("ROUTER_LISTEN")
            .or(written.listen)
            .ok_or_else(|| bad("listen", "missing"))?;
        let listen = address("listen", &listen)?;
        let discovery = env("ROUTER_DISCOVERY")
            .or(written.discovery)
            .filter(|d| !d.is_empty());
        if let Some(discovery) = &discovery {
            let port = discovery
                .rsplit_once(':')
                .and_then(|(_, port)| port.parse::<u16>().ok());
            port.ok_or_else(|| bad("discovery", format!("{discovery:?} is not host:port")))?;
        }
        let seed = match written.seed.as_deref() {
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| bad("seed", format!("{text:?} is not 16 hexadecimal digits")))?,
            None => fastrand::u64(..),
        };
        if written.limits.sockets < SOCKETS_LEAST {
            return Err(bad("limits.sockets", format!("fewer than {SOCKETS_LEAST}")));
        }
        if written.limits.memory_mb < 32 {
            return Err(bad("limits.memory_mb", "less than 32"));
        }
        let settings = written.settings.settings().map_err(unusable)?;
        Ok(Config {
            name: env("ROUTER_NAME")
                .or(written.name)
                .unwrap_or_else(|| "pumiceway".to_owned()),
            listen,
            discovery,
            seed,
            sockets: Sockets::share_out(written.limits.sockets, written.limits.memory_mb),
            bootstrap_list: written.bootstrap_list,
            deployment: Arc::new(written.settings),
            settings,
            gearman: None,
            zookeeper: None,
            fixed,
        })
    }
}

impl Config {
    /// A configuration that stands elsewhere than in the platform's file: listeners, settings, the
    /// next hops that it lists, and the descriptors and megabytes that the process may use.
    pub fn of_site(
        name: String,
        listen: SocketAddr,
        deployment: DeploymentSettings,
        bootstrap_list: ListMessage,
        (sockets, memory_mb): (usize, u64),
    ) -> Result<Config, ConfigError> {
        let settings = deployment.settings().map_err(unusable)?;
        Ok(Config {
            name,
            listen,
            discovery: None,
            seed: fastrand::u64(..),
            sockets: Sockets::share_out(sockets.max(SOCKETS_LEAST), memory_mb),
            bootstrap_list: Some(bootstrap_list),
            deployment: Arc::new(deployment),
            settings,
            gearman: None,
            zookeeper: None,
            fixed: Fixed::default(),
        })
    }
}

/// All of a configuration but what is read again; of the settings, each key by itself.
fn fixed(text: &str) -> Fixed {
    let mut all: BTreeMap<String, serde_json::Value> =
        serde_json::from_str(text).unwrap_or_default();
    // The seed is new with each start, and the list that was known with each writing of the file.
    all.retain(|key, _| !["discovery", "known", "seed"].contains(&key.as_str()));
    if let Some(serde_json::Value::Object(settings)) = all.remove("settings") {
        all.extend(
            settings
                .into_iter()
                .map(|(key, value)| (format!("settings.{key}"), value)),
        );
    }
    Fixed(all)
}

/// The file that switches on a route set in ZooKeeper, as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZooKeeperWritten {
    servers: String,
    path: String,
    #[serde(default = "session_timeout_ms")]
    session_timeout_ms: u64,
}

fn session_timeout_ms() -> u64 {
    6_000
}

/// Where workers register ephemeral nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZooKeeperConfig {
    /// The servers.
    pub servers: String,
    /// The path whose children are workers.
    pub path: String,
    /// A session that is silent for this long is over.
    pub session_timeout: Duration,
}

impl ZooKeeperConfig {
    /// Reads the file.
    pub fn from_file(file: &Path) -> Result<ZooKeeperConfig, ConfigError> {
        let ZooKeeperWritten {
            servers,
            path,
            session_timeout_ms,
        } = read_toml(file)?;
        let host_port = |s: &str| {
            s.rsplit_once(':')
                .is_some_and(|(_, port)| port.parse::<u16>().is_ok())
        };
        if !servers.split(',').all(host_port) {
            return Err(bad(
                "servers",
                format!("{servers:?} is not host:port,host:port"),
            ));
        }
        if !path.starts_with('/') || path.ends_with('/') || path.contains("//") {
            return Err(bad(
                "path",
                format!("{path:?} is not a path like /pumiceway/workers"),
            ));
        }
        if !(1_000..=60_000).contains(&session_timeout_ms) {
            return Err(bad("session_timeout_ms", "not between 1000 and 60000"));
        }
        Ok(ZooKeeperConfig {
            servers,
            path,
            session_timeout: Duration::from_millis(session_timeout_ms),
        })
    }
}

/// The file that switches the Gearman front on, as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GearmanWritten {
    listen: String,
    #[serde(default = "connections")]
    connections: usize,
    #[serde(default = "jobs")]
    jobs: usize,
    #[serde(default = "queue")]
    queue: usize,
    #[serde(default = "warm")]
    warm: bool,
    #[serde(default = "retention_s")]
    retention_s: u64,
    #[serde(default = "kept_answers")]
    kept_answers: usize,
    #[serde(default = "kept_mb")]
    kept_mb: usize,
    #[serde(default)]
    functions: BTreeMap<String, FunctionWritten>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FunctionWritten {
    class: String,
    #[serde(default = "slots")]
    slots: f64,
}

fn connections() -> usize {
    64
}

fn jobs() -> usize {
    256
}

fn queue() -> usize {
    256
}

fn warm() -> bool {
    true
}

fn retention_s() -> u64 {
    600
}

fn kept_answers() -> usize {
    10_000
}

fn kept_mb() -> usize {
    16
}

fn slots() -> f64 {
    1.0
}

/// How the Gearman front is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct GearmanConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections it serves, of clients and workers together.
    pub connections: usize,
    /// Jobs of its clients that may run at once.
    pub jobs: usize,
    /// Transactions of all fronts that may wait for a worker at once.
    pub queue: usize,
    /// A worker's session has all its capacity from the start.
    pub warm: bool,
    /// What is kept for clients that come again.
    pub retention: Retention,
    /// The functions it knows.
    pub functions: BTreeMap<String, Function>,
}

/// What a Gearman function stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Function {
    /// Its class.
    pub class: ClassId,
    /// Slots that a job takes.
    pub slots: f64,
    /// Time that a job has.
    pub deadline: Duration,
}

impl GearmanConfig {
    /// Reads the file; `inbound` is how many connections of clients the process may serve.
    pub fn from_file(
        file: &Path,
        deployment: &DeploymentSettings,
        inbound: usize,
    ) -> Result<GearmanConfig, ConfigError> {
        let written: GearmanWritten = read_toml(file)?;
        let positive = |key: &str, n: usize, most: usize| match (1..=most).contains(&n) {
            true => Ok(()),
            false => Err(bad(key, format!("{n} is not between 1 and {most}"))),
        };
        positive("connections", written.connections, inbound / 2)?;
        positive("jobs", written.jobs, 1_024)?;
        positive("queue", written.queue, 10_000)?;
        positive("retention_s", written.retention_s as usize, 86_400)?;
        positive("kept_answers", written.kept_answers, 20_000)?;
        positive("kept_mb", written.kept_mb, 64)?;
        let mut functions = BTreeMap::new();
        for (name, f) in written.functions {
            let key = |part: &str| format!("functions.{name}.{part}");
            let class = deployment.class(&f.class);
            let class =
                class.ok_or_else(|| bad(&key("class"), format!("unknown class {}", f.class)))?;
            if !(f.slots > 0.0 && f.slots <= 1_000.0) {
                return Err(bad(
                    &key("slots"),
                    format!("{} is not a number of slots", f.slots),
                ));
            }
            // The class's own: the decisions take a shorter one for a second try, which has waited
            // already.
            let deadline = Duration::from_micros(deployment.classes[class].deadline_us);
            functions.insert(
                name,
                Function {
                    class: ClassId(class),
                    slots: f.slots,
                    deadline,
                },
            );
        }
        let config = GearmanConfig {
            listen: address("listen", &written.listen)?,
            connections: written.connections,
            jobs: written.jobs,
            queue: written.queue,
            warm: written.warm,
            retention: Retention {
                time: Duration::from_secs(written.retention_s),
                entries: written.kept_answers,
                running: written.jobs,
                bytes: written.kept_mb << 20,
            },
            functions,
        };
        Ok(config.with_default_functions(deployment))
    }

    /// The same; without any function, each class is one of its own name.
    pub fn with_default_functions(mut self, deployment: &DeploymentSettings) -> GearmanConfig {
        if self.functions.is_empty() {
            let own = |(n, class): (usize, &pumiceway_decisions::settings::ClassSettings)| {
                (
                    class.name.clone(),
                    Function {
                        class: ClassId(n),
                        slots: 1.0,
                        deadline: Duration::from_micros(class.deadline_us),
                    },
                )
            };
            self.functions = deployment.classes.iter().enumerate().map(own).collect();
        }
        self
    }
}
