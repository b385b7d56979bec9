//! Errors in the configuration.
//!
//! Operators must be able to locate a fault from the message alone, so each error names the key at
//! fault, or the file if there is no key.

use pumiceway_decisions::api::SettingsError;
use pumiceway_decisions::settings::DeploymentSettingsError;

/// An error in the configuration.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// A file cannot be read or parsed.
    #[error("{file}: {reason}")]
    File {
        /// Name of the file, which may include a line number.
        file: String,
        /// Why it cannot be used.
        reason: String,
    },
    /// A value is missing or cannot be used.
    #[error("{key}: {reason}")]
    Key {
        /// The key of the value.
        key: String,
        /// Why the value cannot be used.
        reason: String,
    },
}

impl ConfigError {
    /// Creates an error in the value of this key.
    pub(super) fn key(key: &str, reason: impl ToString) -> ConfigError {
        ConfigError::Key {
            key: key.to_owned(),
            reason: reason.to_string(),
        }
    }

    /// Creates an error in this file as a whole.
    pub(super) fn file(file: &str, reason: impl ToString) -> ConfigError {
        ConfigError::File {
            file: file.to_owned(),
            reason: reason.to_string(),
        }
    }
}

/// Assigns errors in settings that were parsed successfully but are invalid to the key at fault.
impl From<DeploymentSettingsError> for ConfigError {
    fn from(error: DeploymentSettingsError) -> ConfigError {
        let key = match &error {
            DeploymentSettingsError::UnknownZone(_) => "settings.my-zone",
            DeploymentSettingsError::Invalid(SettingsError::NoClasses) => "settings.lanes",
            DeploymentSettingsError::Invalid(SettingsError::NoAttempts) => {
                "settings.limits.most-tries"
            }
            DeploymentSettingsError::Invalid(SettingsError::OutOfRange {
                what: "instance",
                ..
            }) => "settings.me",
            _ => "settings",
        };
        ConfigError::key(key, error)
    }
}
