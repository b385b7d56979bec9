//! Loading of the configuration from its files.
//!
//! On an appliance, a site file holds the settings, including those of the Gearman frontend. On the
//! platform, `ROUTER_CONFIG` names the document with the settings, and `--gearman` names a separate
//! file that enables the Gearman frontend. In both cases `--zookeeper` names a file that enables an
//! endpoint list in ZooKeeper.

use crate::error::CommandError;
use pumiceway_net::config::{Config, ConfigError, GearmanConfig, ZooKeeperConfig};
#[cfg(feature = "appliance")]
use std::path::Path;
use std::path::PathBuf;

/// The configuration files that the arguments name.
pub struct ConfigFiles {
    #[cfg(feature = "appliance")]
    pub site: Option<PathBuf>,
    pub gearman: Option<PathBuf>,
    pub zookeeper: Option<PathBuf>,
}

/// How the process reacts to SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadPolicy {
    /// Reloads the configuration.
    Reload,
    /// Logs a warning only: a site file is read once, at startup.
    #[cfg_attr(not(feature = "appliance"), allow(dead_code))]
    RestartRequired,
}

impl ConfigFiles {
    /// Loads and checks the configuration.
    pub fn load(&self) -> Result<Config, CommandError> {
        #[cfg(feature = "appliance")]
        if let Some(site) = &self.site {
            return self.load_site(site);
        }
        Ok(self.load_platform()?)
    }

    /// How the process reacts to SIGHUP with this configuration.
    #[cfg_attr(not(feature = "appliance"), allow(clippy::unused_self))]
    pub fn reload_policy(&self) -> ReloadPolicy {
        #[cfg(feature = "appliance")]
        if self.site.is_some() {
            return ReloadPolicy::RestartRequired;
        }
        ReloadPolicy::Reload
    }

    #[cfg(feature = "appliance")]
    fn load_site(&self, site: &Path) -> Result<Config, CommandError> {
        if self.gearman.is_some() {
            return Err(CommandError::GearmanWithSite);
        }
        let mut config = pumiceway_site::read_file(site)?;
        config.zookeeper = self.load_zookeeper()?;
        Ok(config)
    }

    fn load_platform(&self) -> Result<Config, ConfigError> {
        let mut config = Config::from_environment(|key| std::env::var(key).ok())?;
        let inbound = config.socket_budget.inbound;
        config.gearman = self
            .gearman
            .as_deref()
            .map(|file| GearmanConfig::from_file(file, &config.deployment, inbound))
            .transpose()?;
        config.zookeeper = self.load_zookeeper()?;
        Ok(config)
    }

    fn load_zookeeper(&self) -> Result<Option<ZooKeeperConfig>, ConfigError> {
        self.zookeeper
            .as_deref()
            .map(ZooKeeperConfig::from_file)
            .transpose()
    }
}
