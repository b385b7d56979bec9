//! The formats of log lines: text and JSON.

use std::str::FromStr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable: time, level, target, message, and fields as `name=value`.
    #[default]
    Text,
    /// Machine-readable: one JSON object per line, with the fields at its top level.
    Json,
}

/// The text is not the name of a format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is neither text nor json")]
pub struct ParseFormatError(String);

impl FromStr for Format {
    type Err = ParseFormatError;

    fn from_str(text: &str) -> Result<Format, ParseFormatError> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(ParseFormatError(text.to_owned())),
        }
    }
}
