//! Reads TOML files, with errors that name the key and the line.

use super::{ConfigError, read_text};
use serde::de::DeserializeOwned;
use std::path::Path;

/// An error in a TOML document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TomlError {
    /// Byte offset of the error in the text, if known.
    pub location: Option<usize>,
    /// The key at fault; empty if there is none.
    pub key: String,
    /// Description of the error.
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

    /// Converts the error to one in a file that contains `text`.
    fn in_file(self, file: &Path, text: &str) -> ConfigError {
        let place = match self.location {
            Some(offset) => format!("{}, line {}", file.display(), line_number(text, offset)),
            None => file.display().to_string(),
        };
        if self.key.is_empty() {
            return ConfigError::file(&place, self.reason);
        }
        ConfigError::key(&self.key, format!("{} (in {place})", self.reason))
    }
}

/// Parses a TOML document.
///
/// # Errors
///
/// Returns an error if the text is not valid TOML or cannot be deserialized as `T`.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, TomlError> {
    let parsed =
        toml::Deserializer::parse(text).map_err(|error| TomlError::new(&error, String::new()))?;
    serde_path_to_error::deserialize(parsed).map_err(|error| {
        let key = key_from_path(error.path());
        TomlError::new(error.inner(), key)
    })
}

/// Reads and parses a TOML file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or [`parse_toml`] fails.
pub fn read_toml<T: DeserializeOwned>(file: &Path) -> Result<T, ConfigError> {
    let text = read_text(file)?;
    parse_toml(&text).map_err(|error| error.in_file(file, &text))
}

/// Converts a path to a key. The path of a spanned value contains a segment for the wrapper type,
/// which is not part of the key.
fn key_from_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    let segments: Vec<&str> = path
        .split('.')
        .filter(|segment| !segment.is_empty() && !segment.starts_with("$__"))
        .collect();
    segments.join(".")
}

/// Returns the 1-based number of the line that contains this byte offset.
fn line_number(text: &str, offset: usize) -> usize {
    let newlines = text.bytes().take(offset).filter(|&byte| byte == b'\n');
    1 + newlines.count()
}
