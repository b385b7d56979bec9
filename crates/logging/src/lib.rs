//! The log of the program, on `tracing`.
//!
//! Lines are written as text or as JSON, to standard error or to files that rotate. Three bounds
//! always hold: a fault that repeats writes a limited number of lines a second ([`RateLimit`]),
//! output that stalls never blocks the caller, and files have a limited total size
//! ([`LogFiles`]). Dropped lines are counted, and the next line that is written is preceded by
//! their number.

mod filter;
mod format;
mod line_writer;
mod non_blocking;
mod rate_limit;
mod sink;
#[cfg(test)]
mod tests;

pub use filter::{LogFilter, ParseFilterError};
pub use format::{Format, ParseFormatError};
pub use rate_limit::{RateLimit, TokenBucket};
pub use sink::{LogFiles, Sink};

use line_writer::MakeLineWriter;
use non_blocking::WorkerGuard;
use std::io;
use std::path::PathBuf;
use tracing::Subscriber;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// The settings of the log.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The format of the lines.
    pub format: Format,
    /// Where the lines are written.
    pub sink: Sink,
    /// Which lines are written.
    pub filter: LogFilter,
    /// How many lines are written.
    pub rate_limit: RateLimit,
}

/// The log cannot be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LogError {
    /// The file cannot be written.
    #[error("{path}: the log can't be written there: {source}")]
    File {
        /// The current log file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// This build has no support for log files.
    #[error("{0}: this build writes its log to standard error only")]
    FilesUnsupported(PathBuf),
    /// The process has a log already.
    #[error("the process has a log already")]
    AlreadyStarted,
}

type ReloadFilter = Box<dyn Fn(LogFilter) -> Result<(), reload::Error> + Send + Sync>;

/// A running log. On drop, it writes the lines that are still queued, for at most a second.
pub struct Log {
    reload_filter: ReloadFilter,
    _guard: WorkerGuard,
}

impl Log {
    /// Starts the log of the process.
    ///
    /// # Errors
    ///
    /// The file cannot be written, the build does not support files, or the process has a log
    /// already.
    pub fn start(options: Options) -> Result<Log, LogError> {
        let (output, guard) = options.sink.open()?;
        let writer = MakeLineWriter {
            format: options.format,
            rate_limit: options.rate_limit,
            output,
        };
        let (subscriber, log) = build(writer, options.filter, guard);
        subscriber
            .try_init()
            .map_err(|_| LogError::AlreadyStarted)?;
        Ok(log)
    }

    /// Replaces the filter of the lines that follow.
    pub fn set_filter(&self, filter: LogFilter) {
        // Fails only if the subscriber is gone, and then no lines follow.
        let _ = (self.reload_filter)(filter);
    }
}

fn build(
    writer: MakeLineWriter,
    filter: LogFilter,
    guard: WorkerGuard,
) -> (
    impl Subscriber + Send + Sync + for<'span> LookupSpan<'span>,
    Log,
) {
    let (filter, reload_handle) = reload::Layer::new(filter.into_targets());
    let format = writer.format;
    let rate_limit = writer.rate_limit.clone();
    let layer = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(writer);
    let layer = match format {
        Format::Text => layer.boxed(),
        Format::Json => layer
            .json()
            .flatten_event(true)
            .with_span_list(false)
            .boxed(),
    };
    // The filter comes before the rate limit: a line that it rejects uses up no token.
    let layer = layer.with_filter(rate_limit).with_filter(filter);
    let subscriber = tracing_subscriber::registry().with(layer);
    let log = Log {
        reload_filter: Box::new(move |filter| reload_handle.reload(filter.into_targets())),
        _guard: guard,
    };
    (subscriber, log)
}
