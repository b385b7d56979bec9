//! Reading of TOML files, with errors that name the key and the line.

use super::{ConfigError, read_text};
use serde::de::DeserializeOwned;
use std::path::Path;

/// What is wrong with a TOML text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TomlError {
    /// Where in the text it is, as an offset in bytes.
    pub location: Option<usize>,
    /// The key at fault; empty where there is none.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl TomlError {
    fn new(error: &toml::de::Error, key: String) -> TomlError {
        TomlError {
            location: error.span().map(|span| span.start),
            key,
            reason: error.message().to_owned(),
        }
    }

    /// The same error as one of a file with this text.
    fn in_file(self, file: &Path, text: &str) -> ConfigError {
        let place = match self.location {
            Some(offset) => format!("{}, line {}", file.display(), line_at(text, offset)),
            None => file.display().to_string(),
        };
        if self.key.is_empty() {
            return ConfigError::file(&place, self.reason);
        }
        ConfigError::key(&self.key, format!("{} (in {place})", self.reason))
    }
}

/// Parses a TOML text.
///
/// # Errors
///
/// The text is not TOML, or does not have the form of `T`.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, TomlError> {
    let parsed =
        toml::Deserializer::parse(text).map_err(|error| TomlError::new(&error, String::new()))?;
    serde_path_to_error::deserialize(parsed).map_err(|error| {
        let key = key_of(error.path());
        TomlError::new(error.inner(), key)
    })
}

/// Reads and parses a TOML file.
///
/// # Errors
///
/// The file cannot be read, or [`parse_toml`] fails on its text.
pub fn read_toml<T: DeserializeOwned>(file: &Path) -> Result<T, ConfigError> {
    let text = read_text(file)?;
    parse_toml(&text).map_err(|error| error.in_file(file, &text))
}

/// The key that a path stands for. The path of a spanned value has a segment for the wrapper, which
/// is no part of the key.
fn key_of(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    let segments: Vec<&str> = path
        .split('.')
        .filter(|segment| !segment.is_empty() && !segment.starts_with("$__"))
        .collect();
    segments.join(".")
}

/// The number of the line, from 1, that this offset in bytes lies in.
fn line_at(text: &str, offset: usize) -> usize {
    let line_ends = text.bytes().take(offset).filter(|&byte| byte == b'\n');
    1 + line_ends.count()
}
