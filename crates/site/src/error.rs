//! Errors in a site file, and their positions.

use pumiceway_net::config::TomlError;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// An error in a site file, and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1; `None` if the error has no single line.
    pub line: Option<usize>,
    /// The key, such as `classes.rate-push.wanted`; empty if the error is not about a key.
    pub key: String,
    /// What is wrong, and which values are valid.
    pub reason: String,
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ", line {line}")?;
        }
        f.write_str(": ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl std::error::Error for SiteError {}

/// The text of a site file and its name, from which errors get their positions.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) text: &'a str,
    pub(crate) file: &'a str,
}

impl Source<'_> {
    /// An error in the value at `span`.
    pub(crate) fn error_at(
        &self,
        span: Range<usize>,
        key: impl Into<String>,
        reason: impl Into<String>,
    ) -> SiteError {
        SiteError {
            line: Some(self.line_of(span.start)),
            ..self.error(key, reason)
        }
    }

    /// An error without a line.
    pub(crate) fn error(&self, key: impl Into<String>, reason: impl Into<String>) -> SiteError {
        SiteError {
            file: self.file.to_owned(),
            line: None,
            key: key.into(),
            reason: reason.into(),
        }
    }

    /// An error of the TOML parser.
    pub(crate) fn toml_error(&self, error: TomlError) -> SiteError {
        SiteError {
            line: error.location.map(|offset| self.line_of(offset)),
            ..self.error(error.key, error.reason)
        }
    }

    /// Returns the value if it is within the range.
    pub(crate) fn check_range(
        &self,
        key: &str,
        value: &Spanned<usize>,
        range: RangeInclusive<usize>,
    ) -> Result<usize, SiteError> {
        let number = *value.get_ref();
        if range.contains(&number) {
            return Ok(number);
        }
        let (min, max) = range.into_inner();
        let reason = format!("{number} is not between {min} and {max}");
        Err(self.error_at(value.span(), key, reason))
    }

    /// The line, from 1, of an offset in bytes.
    fn line_of(&self, offset: usize) -> usize {
        let bytes = self.text.bytes().take(offset);
        1 + bytes.filter(|&byte| byte == b'\n').count()
    }
}
