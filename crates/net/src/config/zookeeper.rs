//! The file that makes ZooKeeper a source of endpoints.

use super::address::is_host_and_port;
use super::{ConfigError, read_toml};
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

const DEFAULT_SESSION_TIMEOUT_MS: u64 = 6_000;
const SESSION_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1_000..=60_000;

/// Where endpoints register ephemeral nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZooKeeperConfig {
    /// The servers of the ensemble, as `host:port,host:port`.
    pub servers: String,
    /// The path whose children are endpoints.
    pub path: String,
    /// The ensemble ends a session that is silent for this long.
    pub session_timeout: Duration,
}

/// The file, as written.
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
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value cannot be used.
    pub fn from_file(file: &Path) -> Result<ZooKeeperConfig, ConfigError> {
        let written: ZooKeeperFile = read_toml(file)?;
        check_servers(&written.servers)?;
        check_path(&written.path)?;
        check_session_timeout(written.session_timeout_ms)?;
        Ok(ZooKeeperConfig {
            servers: written.servers,
            path: written.path,
            session_timeout: Duration::from_millis(written.session_timeout_ms),
        })
    }
}

fn check_servers(servers: &str) -> Result<(), ConfigError> {
    if servers.split(',').all(is_host_and_port) {
        return Ok(());
    }
    let reason = format!("{servers:?} is not host:port,host:port");
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
        "not between {} and {}",
        SESSION_TIMEOUT_RANGE_MS.start(),
        SESSION_TIMEOUT_RANGE_MS.end()
    );
    Err(ConfigError::key("session_timeout_ms", reason))
}
