//! Reading of the configuration again while the dispatcher serves.
//!
//! Only the address of discovery can change without a restart. All other keys are compared with
//! their values at the start, so that the operator learns which of them take a restart.

use super::{Config, ConfigError};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Keys that may differ without a restart: `discovery` is applied at once, the seed is new with
/// each start, and the bootstrap list (`known`) with each writing of the file.
const RELOADABLE_KEYS: [&str; 3] = ["discovery", "known", "seed"];

/// The values of the keys that are read at the start only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartupValues(BTreeMap<String, Value>);

impl StartupValues {
    /// The values in the text of a configuration; the settings are split into their keys.
    pub(super) fn from_text(text: &str) -> StartupValues {
        let mut values: BTreeMap<String, Value> = serde_json::from_str(text).unwrap_or_default();
        values.retain(|key, _| !RELOADABLE_KEYS.contains(&key.as_str()));
        if let Some(Value::Object(settings)) = values.remove("settings") {
            let settings = settings.into_iter();
            values.extend(settings.map(|(key, value)| (format!("settings.{key}"), value)));
        }
        StartupValues(values)
    }

    /// The keys whose values differ in another configuration, in order.
    fn changed_keys(&self, other: &StartupValues) -> Vec<String> {
        let keys: BTreeSet<&String> = self.0.keys().chain(other.0.keys()).collect();
        keys.into_iter()
            .filter(|&key| self.0.get(key) != other.0.get(key))
            .cloned()
            .collect()
    }
}

/// What a configuration says that was read again while the dispatcher serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// The address of discovery from now on.
    pub discovery: String,
    /// Keys whose values differ from those at the start, and take a restart.
    pub restart_required: Vec<String>,
}

impl Reload {
    /// Reads the file named by `ROUTER_CONFIG` again. Its `discovery` takes precedence over
    /// `ROUTER_DISCOVERY`, which gives the address at the start; its bootstrap list is ignored, as
    /// the list in use is newer.
    ///
    /// # Errors
    ///
    /// The file cannot be read, a value cannot be used, or `discovery` is missing.
    pub fn read(
        running: &StartupValues,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Reload, ConfigError> {
        let config =
            Config::from_environment(|key| env(key).filter(|_| key != "ROUTER_DISCOVERY"))?;
        let discovery = config
            .discovery
            .ok_or_else(|| ConfigError::key("discovery", "missing"))?;
        Ok(Reload {
            discovery,
            restart_required: running.changed_keys(&config.startup_values),
        })
    }
}
