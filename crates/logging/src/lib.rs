//! The log of the process, written through `tracing`.
//!
//! Lines are written as text or JSON, to standard error or to rotating files. Three bounds always
//! hold: a repeating fault logs a limited number of lines per second ([`RateLimit`]), stalled
//! output never blocks the caller, and log files have a limited total size ([`LogFiles`]). Dropped
//! lines are counted, and a notice with their number precedes the next line that is written.

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
    /// How many lines are written per second.
    pub rate_limit: RateLimit,
}

/// Why the log cannot be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LogError {
    /// The log file cannot be written.
    #[error("{path}: cannot write the log: {source}")]
    File {
        /// The current log file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// This build has no support for log files.
    #[error("{0}: this build does not support log files")]
    FilesUnsupported(PathBuf),
    /// The process already has a log.
    #[error("the process already has a log")]
    AlreadyStarted,
}

type ReloadFilter = Box<dyn Fn(LogFilter) -> Result<(), reload::Error> + Send + Sync>;

/// A running log. On drop, it waits for at most a second until the queued lines are written.
pub struct Log {
    reload_filter: ReloadFilter,
    _guard: WorkerGuard,
}

impl Log {
    /// Starts the log of the process.
    ///
    /// # Errors
    ///
    /// The log file cannot be written, the build does not support log files, or the process already
    /// has a log.
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

    /// Replaces the filter for all further lines.
    pub fn set_filter(&self, filter: LogFilter) {
        // Fails only if the subscriber was dropped, and then there are no further lines.
        let _ = (self.reload_filter)(filter);
    }
}

/// Builds the subscriber that writes to `writer`, and the log that controls it.
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
    // The filter is applied before the rate limit, so that lines it rejects use no tokens.
    let layer = layer.with_filter(rate_limit).with_filter(filter);
    let subscriber = tracing_subscriber::registry().with(layer);
    let log = Log {
        reload_filter: Box::new(move |filter| reload_handle.reload(filter.into_targets())),
        _guard: guard,
    };
    (subscriber, log)
}
