//! The outputs of the log: standard error, or rotating files.

use crate::LogError;
use crate::non_blocking::{NonBlocking, WorkerGuard};
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

/// How long the log waits on drop until its queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Rotating log files: the current one, and older ones with the suffixes `.1`, `.2` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFiles {
    /// The current file. Its directory is created if it does not exist.
    pub path: PathBuf,
    /// The size, in bytes, above which the current file is rotated.
    pub max_file_size: usize,
    /// The number of older files that are kept; the oldest is deleted first.
    pub max_older_files: usize,
}

/// Where log lines are written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    #[default]
    Stderr,
    /// Rotating files.
    Files(LogFiles),
}

impl Sink {
    pub(crate) fn open(&self) -> Result<(NonBlocking, WorkerGuard), LogError> {
        match self {
            Sink::Stderr => Ok(NonBlocking::start(io::stderr(), FLUSH_TIMEOUT)),
            Sink::Files(files) => {
                let output = open_files(files)?;
                Ok(NonBlocking::start(output, FLUSH_TIMEOUT))
            }
        }
    }
}

#[cfg(feature = "files")]
fn open_files(files: &LogFiles) -> Result<impl Write + Send + 'static, LogError> {
    use file_rotate::compression::Compression;
    use file_rotate::suffix::AppendCount;
    use file_rotate::{ContentLimit, FileRotate};

    let path = std::path::absolute(&files.path).unwrap_or_else(|_| files.path.clone());
    check_writable(&path).map_err(|source| LogError::File {
        path: files.path.clone(),
        source,
    })?;
    Ok(FileRotate::new(
        path,
        AppendCount::new(files.max_older_files),
        ContentLimit::BytesSurpassed(files.max_file_size.max(1)),
        Compression::None,
        None,
    ))
}

/// Checks that the file can be opened for writing. `FileRotate` would only report a failure on
/// standard error, once for each line.
#[cfg(feature = "files")]
fn check_writable(path: &std::path::Path) -> io::Result<()> {
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory)?;
    }
    let mut options = std::fs::OpenOptions::new();
    options.create(true).append(true).open(path)?;
    Ok(())
}

#[cfg(not(feature = "files"))]
fn open_files(files: &LogFiles) -> Result<impl Write + Send + 'static, LogError> {
    Err::<io::Sink, _>(LogError::FilesUnsupported(files.path.clone()))
}
