//! Reloads the configuration of a running dispatcher.
//!
//! Only the address of discovery can be changed without a restart. The other keys of the platform's
//! document are compared with their values at startup, to report which changes require a restart.
//! The files of the Gearman frontend and of ZooKeeper are not read again.

use super::{Config, ConfigError};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Keys whose changes are not reported: `discovery` is applied on reload, the seed may differ at
/// each start, and the bootstrap list (`known`) may differ each time the file is written.
const UNCOMPARED_KEYS: [&str; 3] = ["discovery", "known", "seed"];

/// The values of the keys that are only read at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartupValues(BTreeMap<String, Value>);

impl StartupValues {
    /// Extracts the values from the text of a configuration. The settings are split into their
    /// keys.
    pub(super) fn from_text(text: &str) -> StartupValues {
        let mut values: BTreeMap<String, Value> = serde_json::from_str(text).unwrap_or_default();
        values.retain(|key, _| !UNCOMPARED_KEYS.contains(&key.as_str()));
        if let Some(Value::Object(settings)) = values.remove("settings") {
            let settings = settings.into_iter();
            values.extend(settings.map(|(key, value)| (format!("settings.{key}"), value)));
        }
        StartupValues(values)
    }

    /// Returns the keys whose values differ between the two configurations, sorted.
    fn changed_keys(&self, other: &StartupValues) -> Vec<String> {
        let keys: BTreeSet<&String> = self.0.keys().chain(other.0.keys()).collect();
        keys.into_iter()
            .filter(|&key| self.0.get(key) != other.0.get(key))
            .cloned()
            .collect()
    }
}

/// The result of reloading the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// The new address of discovery.
    pub discovery: String,
    /// Keys whose values differ from those at startup and require a restart to be applied.
    pub restart_required: Vec<String>,
}

impl Reload {
    /// Reads the file named by `ROUTER_CONFIG` again. Here its `discovery` takes precedence over
    /// `ROUTER_DISCOVERY`, which only sets the address at startup. Its bootstrap list is ignored,
    /// because the list in use is newer.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, a value is invalid, or `discovery` is missing.
    pub fn read(
        startup_values: &StartupValues,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Reload, ConfigError> {
        let config =
            Config::from_environment(|key| env(key).filter(|_| key != "ROUTER_DISCOVERY"))?;
        let discovery = config
            .discovery
            .ok_or_else(|| ConfigError::key("discovery", "missing"))?;
        Ok(Reload {
            discovery,
            restart_required: startup_values.changed_keys(&config.startup_values),
        })
    }
}
