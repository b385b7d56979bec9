//! Reads and validates the configuration of the dispatcher and supplies its defaults.
//!
//! No other module of this crate reads configuration files or environment variables. Errors are
//! detected here at startup, and each one names the key or the file at fault.

mod address;
mod error;
mod gearman;
mod memory;
mod platform;
mod reload;
mod sockets;
mod toml_file;
mod zookeeper;

pub use address::parse_address;
pub use error::ConfigError;
pub use gearman::{Function, GearmanConfig};
pub(crate) use memory::BYTES_PER_ENDPOINT;
pub use memory::{MemoryLimits, TooManyFunctions};
pub use pumiceway_core::IdempotencyCacheLimits;
pub use reload::{Reload, StartupValues};
pub use sockets::SocketBudget;
pub use toml_file::{TomlError, parse_toml, read_toml};
pub use zookeeper::ZooKeeperConfig;

use crate::discovery::ListMessage;
use pumiceway_decisions::api::Settings;
use pumiceway_decisions::settings::DeploymentSettings;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Limits on the resources of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory, in MiB.
    pub memory_mb: u64,
}

/// The configuration with which a dispatcher starts.
#[derive(Debug)]
pub struct Config {
    /// Name of the dispatcher.
    pub name: String,
    /// Address on which the HTTP frontend listens.
    pub listen: SocketAddr,
    /// The `host:port` of discovery; `None` if endpoints come from other sources only.
    pub discovery: Option<String>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// How file descriptors are divided between clients and endpoints.
    pub socket_budget: SocketBudget,
    /// How memory is divided.
    pub memory: MemoryLimits,
    /// The last known endpoint list, with which this dispatcher starts.
    pub bootstrap_list: Option<ListMessage>,
    /// The deployment settings as written in the configuration.
    pub deployment: Arc<DeploymentSettings>,
    /// The settings of the decisions, derived from the deployment settings.
    pub settings: Settings,
    /// The Gearman frontend, if enabled.
    pub gearman: Option<GearmanConfig>,
    /// ZooKeeper as a source of endpoints, if enabled.
    pub zookeeper: Option<ZooKeeperConfig>,
    /// The values of the keys that require a restart to change.
    pub startup_values: StartupValues,
}

impl Config {
    /// Creates a configuration from the values of a site file, without the platform's document.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn from_site(
        name: String,
        listen: SocketAddr,
        deployment: DeploymentSettings,
        bootstrap_list: ListMessage,
        limits: ResourceLimits,
    ) -> Result<Config, ConfigError> {
        let settings = deployment.to_settings()?;
        let sockets = limits.sockets.max(sockets::MIN_SOCKETS);
        let socket_budget = SocketBudget::divide(sockets, limits.memory_mb);
        Ok(Config {
            name,
            listen,
            discovery: None,
            seed: fastrand::u64(..),
            socket_budget,
            memory: MemoryLimits::divide(limits.memory_mb, &socket_budget),
            bootstrap_list: Some(bootstrap_list),
            deployment: Arc::new(deployment),
            settings,
            gearman: None,
            zookeeper: None,
            startup_values: StartupValues::default(),
        })
    }
}

/// Reads a file as text.
fn read_text(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file)
        .map_err(|error| ConfigError::file(&file.display().to_string(), error))
}
