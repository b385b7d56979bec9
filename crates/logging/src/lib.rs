//! The log of the program, on `tracing`.
//!
//! Lines go out as text or as JSON, to standard error or to files that rotate. Three bounds hold
//! whatever happens: a fault that repeats writes only so many lines a second ([`Flood`]), a reader
//! that stands still never holds the program up ([`Lines`]), and files hold only so many bytes
//! together ([`Files`]). What was left out is counted, and the next line says how much.

mod flood;
mod lines;

pub use flood::{Flood, Quota};
pub use lines::{Guard, Lines};

use std::io;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use tracing::Subscriber;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// How lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people: time, level, where, what, and fields as `name=value`.
    #[default]
    Text,
    /// For programs: one object a line, with the fields at its top.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{text:?} is neither text nor json")),
        }
    }
}

/// Files that hold the log: the named one, and older ones with `.1`, `.2` … behind its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// The newest file. Its folder is made where there is none.
    pub path: PathBuf,
    /// A file that has passed this many bytes is put aside.
    pub bytes: usize,
    /// So many older files are kept; the oldest goes first.
    pub older: usize,
}

/// Where lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    #[default]
    Stderr,
    /// Files that rotate.
    Files(Files),
}

/// How the log is set up.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// How lines look.
    pub format: Format,
    /// Where they go.
    pub sink: Sink,
    /// Which are written: a level, and levels of parts, such as `info,pumiceway_net::hop=debug`.
    /// `None`: info.
    pub level: Option<Level>,
    /// How many lines a second, and how many at once.
    pub flood: Flood,
}

/// Which lines are written.
#[derive(Clone, Debug, PartialEq)]
pub struct Level(Targets);

impl Default for Level {
    fn default() -> Level {
        Level(Targets::new().with_default(LevelFilter::INFO))
    }
}

impl FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Level, String> {
        let bad = |part: &str| {
            format!(
                "{part:?} is not a level (off, error, warn, info, debug or trace), nor part=level, \
                 as in info,pumiceway_net::hop=debug"
            )
        };
        // Prevents: a level that is mistyped passes as the name of a part, and everything is
        // written.
        let mut targets = Targets::new().with_default(LevelFilter::INFO);
        for part in text.split(',').map(str::trim) {
            let level = |level: &str| LevelFilter::from_str(level).map_err(|_| bad(part));
            targets = match part.split_once('=') {
                Some(("", _)) => return Err(bad(part)),
                Some((target, wanted)) => targets.with_target(target, level(wanted)?),
                None if part.is_empty() => return Err(bad(part)),
                None => targets.with_default(level(part)?),
            };
        }
        Ok(Level(targets))
    }
}

/// Why there is no log.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LogError {
    /// The file can't be written.
    #[error("{path}: the log can't be written there: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
    /// This build writes no files.
    #[error("{0}: this build writes its log to standard error only")]
    NoFiles(PathBuf),
    /// The process has a log already.
    #[error("the process has a log already")]
    Started,
}

type Reload = Box<dyn Fn(Level) -> Result<(), reload::Error> + Send + Sync>;

/// A log that has been started. Dropped, it writes what is still to be written, for a second at
/// most.
pub struct Log {
    level: Reload,
    _lines: Guard,
}

impl Log {
    /// Starts the log of the process.
    pub fn start(options: Options) -> Result<Log, LogError> {
        let lines = open(&options.sink)?;
        let (subscriber, log) = build(options.format, options.level, options.flood, lines);
        subscriber.try_init().map_err(|_| LogError::Started)?;
        Ok(log)
    }

    /// Changes which lines are written, from now on.
    pub fn set_level(&self, level: Level) {
        // Fails only where the subscriber is gone, and then there are no lines.
        let _ = (self.level)(level);
    }
}

fn build(
    format: Format,
    level: Option<Level>,
    flood: Flood,
    (lines, guard): (Lines, Guard),
) -> (impl Subscriber + Send + Sync + for<'a> LookupSpan<'a>, Log) {
    let (level, handle) = reload::Layer::new(level.unwrap_or_default().0);
    let writer = flood.writer(format, lines);
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
    // The level stands before the flood: what is not wanted takes nobody's place.
    let subscriber =
        tracing_subscriber::registry().with(layer.with_filter(flood).with_filter(level));
    let level: Reload = Box::new(move |Level(targets)| handle.reload(targets));
    (
        subscriber,
        Log {
            level,
            _lines: guard,
        },
    )
}

fn open(sink: &Sink) -> Result<(Lines, Guard), LogError> {
    const PATIENCE: Duration = Duration::from_secs(1);
    match sink {
        Sink::Stderr => Ok(lines::start(io::stderr(), PATIENCE)),
        Sink::Files(files) => open_files(files).map(|out| lines::start(out, PATIENCE)),
    }
}

#[cfg(feature = "files")]
fn open_files(files: &Files) -> Result<impl io::Write + Send + 'static, LogError> {
    use file_rotate::compression::Compression;
    use file_rotate::suffix::AppendCount;
    use file_rotate::{ContentLimit, FileRotate};
    let path = std::path::absolute(&files.path).unwrap_or_else(|_| files.path.clone());
    let failed = |why| LogError::File {
        path: files.path.clone(),
        why,
    };
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(failed)?;
    }
    // The library would only say on standard error, at each line, that it can't open its file.
    std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .map_err(failed)?;
    let limit = ContentLimit::BytesSurpassed(files.bytes.max(1));
    Ok(FileRotate::new(
        path,
        AppendCount::new(files.older),
        limit,
        Compression::None,
        None,
    ))
}

#[cfg(not(feature = "files"))]
fn open_files(files: &Files) -> Result<io::Sink, LogError> {
    Err(LogError::NoFiles(files.path.clone()))
}

#[cfg(test)]
mod tests;
