//! The format of log lines: text for people, JSON for programs.

use std::str::FromStr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people: time, level, target, message, and fields as `name=value`.
    #[default]
    Text,
    /// For programs: one JSON object a line, with the fields at its top level.
    Json,
}

/// The name of a format is not known.
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
