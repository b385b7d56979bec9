//! Errors in a site file, with their places.

use pumiceway_net::config::TomlError;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// What is wrong with a site file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteError {
    /// The file.
    pub file: String,
    /// The line, from 1, if it is known.
    pub line: Option<usize>,
    /// The key, such as `classes.rate-push.wanted`; empty if there is none.
    pub key: String,
    /// What is wrong, and what would be right.
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

/// The text that is read, for the places of errors.
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
            line: Some(self.line(span.start)),
            ..self.error(key, reason)
        }
    }

    /// An error that has no single place.
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
            line: error.location.map(|offset| self.line(offset)),
            ..self.error(error.key, error.reason)
        }
    }

    /// The value, if it is within the range.
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
    fn line(&self, offset: usize) -> usize {
        let bytes = self.text.bytes().take(offset);
        1 + bytes.filter(|&byte| byte == b'\n').count()
    }
}
