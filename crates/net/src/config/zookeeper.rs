//! The configuration file that enables ZooKeeper as a source of endpoints.

use super::address::is_host_and_port;
use super::{ConfigError, read_toml};
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

const DEFAULT_SESSION_TIMEOUT_MS: u64 = 6_000;
const SESSION_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1_000..=60_000;

/// The ZooKeeper ensemble and the path at which endpoints register ephemeral nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZooKeeperConfig {
    /// The servers of the ensemble, as a comma-separated list of `host:port`.
    pub servers: String,
    /// The path whose children are endpoints.
    pub path: String,
    /// The ensemble ends a session from which it receives nothing for this long.
    pub session_timeout: Duration,
}

/// The configuration file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZooKeeperFile {
    servers: String,
    path: String,
    #[serde(default = "default_session_timeout_ms")]
    session_timeout_ms: u64,
}

fn default_session_timeout_ms() -> u64 {
    DEFAULT_SESSION_TIMEOUT_MS
}

impl ZooKeeperConfig {
    /// Reads the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a value is invalid.
    pub fn from_file(file: &Path) -> Result<ZooKeeperConfig, ConfigError> {
        let raw: ZooKeeperFile = read_toml(file)?;
        check_servers(&raw.servers)?;
        check_path(&raw.path)?;
        check_session_timeout(raw.session_timeout_ms)?;
        Ok(ZooKeeperConfig {
            servers: raw.servers,
            path: raw.path,
            session_timeout: Duration::from_millis(raw.session_timeout_ms),
        })
    }
}

fn check_servers(servers: &str) -> Result<(), ConfigError> {
    if servers.split(',').all(is_host_and_port) {
        return Ok(());
    }
    let reason = format!("{servers:?} is not a comma-separated list of host:port");
    Err(ConfigError::key("servers", reason))
}

fn check_path(path: &str) -> Result<(), ConfigError> {
    if path.starts_with('/') && !path.ends_with('/') && !path.contains("//") {
        return Ok(());
    }
    let reason = format!("{path:?} is not a path like /pumiceway/workers");
    Err(ConfigError::key("path", reason))
}

fn check_session_timeout(session_timeout_ms: u64) -> Result<(), ConfigError> {
    if SESSION_TIMEOUT_RANGE_MS.contains(&session_timeout_ms) {
        return Ok(());
    }
    let reason = format!(
        "{session_timeout_ms} is not between {} and {}",
        SESSION_TIMEOUT_RANGE_MS.start(),
        SESSION_TIMEOUT_RANGE_MS.end()
    );
    Err(ConfigError::key("session_timeout_ms", reason))
}
