//! The platform's document: the JSON configuration file named by `ROUTER_CONFIG`.
//!
//! Environment variables take precedence over the file. All values are validated before anything is
//! started, and errors name the key at fault.

use super::address::is_host_and_port;
use super::sockets::check_limits;
use super::{
    Config, ConfigError, MemoryLimits, SocketBudget, StartupValues, parse_address, read_text,
};
use crate::discovery::ListMessage;
use pumiceway_decisions::settings::DeploymentSettings;
use serde::Deserialize;
use std::path::Path;
use std::sync::Arc;

const DEFAULT_NAME: &str = "pumiceway";

/// The document, before validation.
#[derive(Deserialize)]
struct PlatformDocument {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "known")]
    bootstrap_list: Option<ListMessage>,
    settings: DeploymentSettings,
}

/// Limits on the resources of the process.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

impl Config {
    /// Reads the file named by `ROUTER_CONFIG`. The other environment variables take precedence
    /// over its values.
    ///
    /// # Errors
    ///
    /// Returns an error if `ROUTER_CONFIG` is not set, the file cannot be read, or a value is
    /// invalid.
    pub fn from_environment(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file =
            env("ROUTER_CONFIG").ok_or_else(|| ConfigError::key("ROUTER_CONFIG", "not set"))?;
        let text = read_text(Path::new(&file))?;
        Config::from_text(&text, &file, env)
    }

    /// Parses the text of the platform's document; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a configuration or a value is invalid.
    pub fn from_text(
        text: &str,
        file: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let document = PlatformDocument::parse(text, file)?;
        let listen = env("ROUTER_LISTEN")
            .or(document.listen)
            .ok_or_else(|| ConfigError::key("listen", "missing"))?;
        let listen = parse_address("listen", &listen)?;
        let discovery = env("ROUTER_DISCOVERY")
            .or(document.discovery)
            .filter(|address| !address.is_empty());
        if let Some(discovery) = &discovery {
            check_discovery(discovery)?;
        }
        let seed = parse_seed(document.seed.as_deref())?;
        let limits = document.limits;
        check_limits(limits.sockets, limits.memory_mb)?;
        let settings = document.settings.to_settings()?;
        let socket_budget = SocketBudget::divide(limits.sockets, limits.memory_mb);
        Ok(Config {
            name: env("ROUTER_NAME")
                .or(document.name)
                .unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen,
            discovery,
            seed,
            socket_budget,
            memory: MemoryLimits::divide(limits.memory_mb, &socket_budget),
            bootstrap_list: document.bootstrap_list,
            deployment: Arc::new(document.settings),
            settings,
            gearman: None,
            zookeeper: None,
            startup_values: StartupValues::from_text(text),
        })
    }
}

impl PlatformDocument {
    fn parse(text: &str, file: &str) -> Result<PlatformDocument, ConfigError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let key = error.path().to_string();
            // "." is the path of the document itself.
            if key == "." {
                return ConfigError::file(file, error.inner());
            }
            ConfigError::key(&key, format!("{} (in {file})", error.inner()))
        })
    }
}

fn check_discovery(address: &str) -> Result<(), ConfigError> {
    if is_host_and_port(address) {
        return Ok(());
    }
    let reason = format!("{address:?} is not host:port");
    Err(ConfigError::key("discovery", reason))
}

/// Parses the seed of the random number generator; a missing one is chosen at random.
fn parse_seed(text: Option<&str>) -> Result<u64, ConfigError> {
    let Some(text) = text else {
        return Ok(fastrand::u64(..));
    };
    u64::from_str_radix(text, 16).map_err(|_| {
        let reason = format!("{text:?} is not 16 hexadecimal digits");
        ConfigError::key("seed", reason)
    })
}
