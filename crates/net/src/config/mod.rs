//! The configuration of the dispatcher: where it is read, checked and given defaults.
//!
//! Nothing elsewhere reads a file or a variable. What can be wrong is found here at the start, and
//! every error names its key or its file.

mod address;
mod error;
mod gearman;
mod platform;
mod reload;
mod sockets;
mod toml_file;
mod zookeeper;

pub use address::parse_address;
pub use error::ConfigError;
pub use gearman::{Function, GearmanConfig};
pub use pumiceway_core::Retention;
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

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Number of descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: u64,
}

/// The configuration of a dispatcher at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where the HTTP frontend listens.
    pub listen: SocketAddr,
    /// The `host:port` of discovery; without one the endpoints come from elsewhere.
    pub discovery: Option<String>,
    /// The seed for random numbers.
    pub seed: u64,
    /// How descriptors are divided.
    pub socket_budget: SocketBudget,
    /// The endpoint list as this dispatcher last had it.
    pub bootstrap_list: Option<ListMessage>,
    /// The settings as written.
    pub deployment: Arc<DeploymentSettings>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The Gearman frontend, where it is switched on.
    pub gearman: Option<GearmanConfig>,
    /// Endpoints registered in ZooKeeper, where that is switched on.
    pub zookeeper: Option<ZooKeeperConfig>,
    /// The values of the keys that take a restart to change.
    pub startup_values: StartupValues,
}

impl Config {
    /// A configuration that does not come from the platform's document: the listener, the settings,
    /// the endpoints, and what the process may use.
    ///
    /// # Errors
    ///
    /// The settings cannot work.
    pub fn from_site(
        name: String,
        listen: SocketAddr,
        deployment: DeploymentSettings,
        bootstrap_list: ListMessage,
        limits: ResourceLimits,
    ) -> Result<Config, ConfigError> {
        let settings = deployment.to_settings()?;
        Ok(Config {
            name,
            listen,
            discovery: None,
            seed: fastrand::u64(..),
            socket_budget: SocketBudget::divide(
                limits.sockets.max(sockets::MIN_SOCKETS),
                limits.memory_mb,
            ),
            bootstrap_list: Some(bootstrap_list),
            deployment: Arc::new(deployment),
            settings,
            gearman: None,
            zookeeper: None,
            startup_values: StartupValues::default(),
        })
    }
}

/// The text of a file.
fn read_text(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file)
        .map_err(|error| ConfigError::file(&file.display().to_string(), error))
}
