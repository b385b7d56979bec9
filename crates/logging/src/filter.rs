//! The filter of log lines by level and target.
//!
//! A directive is a level, which applies to all targets, or `target=level`. Directives are
//! separated by commas; the default is `info`.

use std::str::FromStr;
use tracing_subscriber::filter::{LevelFilter, Targets};

/// Selects the lines that are written: a default level, and levels for individual targets, such as
/// `info,pumiceway_net::upstream=debug`.
#[derive(Clone, Debug, PartialEq)]
pub struct LogFilter(Targets);

impl LogFilter {
    pub(crate) fn into_targets(self) -> Targets {
        self.0
    }
}

impl Default for LogFilter {
    fn default() -> LogFilter {
        LogFilter(Targets::new().with_default(LevelFilter::INFO))
    }
}

/// A directive of a filter is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{directive:?} is not a level (off, error, warn, info, debug or trace), nor target=level, \
     as in info,pumiceway_net::upstream=debug"
)]
pub struct ParseFilterError {
    directive: String,
}

impl FromStr for LogFilter {
    type Err = ParseFilterError;

    fn from_str(text: &str) -> Result<LogFilter, ParseFilterError> {
        let default = LogFilter::default().0;
        text.split(',')
            .map(str::trim)
            .try_fold(default, add_directive)
            .map(LogFilter)
    }
}

/// Adds a directive. The parser of `Targets` is not used, since it reads a mistyped level as the
/// name of a target and enables all levels of that target.
fn add_directive(targets: Targets, directive: &str) -> Result<Targets, ParseFilterError> {
    let error = || ParseFilterError {
        directive: directive.to_owned(),
    };
    let parse_level = |level: &str| LevelFilter::from_str(level).map_err(|_| error());
    match directive.split_once('=') {
        Some(("", _)) => Err(error()),
        Some((target, level)) => Ok(targets.with_target(target, parse_level(level)?)),
        None if directive.is_empty() => Err(error()),
        None => Ok(targets.with_default(parse_level(directive)?)),
    }
}
