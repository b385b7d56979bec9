//! The errors of the store.

use std::io;
use std::path::PathBuf;

/// Why the store cannot be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// Another process has the file open.
    #[error("{0}: in use by another process; stop that process, or configure another directory")]
    InUse(PathBuf),
    /// The file is damaged, or was not written by this program.
    #[error(
        "{file}: {source}. The file was not changed. It may hold jobs that must never run twice: \
         before you move it away, check whether the jobs of the last days have run"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The file or its directory cannot be read or created.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Why records cannot be read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The database failed.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A row cannot be encoded, or has other fields than this version expects.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// A row cannot be compressed or decompressed.
    #[error(transparent)]
    Compression(#[from] io::Error),
    /// The first byte of a row is not a known tag.
    #[error("a row has an unknown tag")]
    UnknownRowTag,
    /// The file has another format version.
    #[error("the format version is {found}, but this program reads version {known}")]
    UnknownFormat {
        /// The version in the file.
        found: u64,
        /// The version that this program reads.
        known: u64,
    },
    /// The file has no format version.
    #[error("there is no format version")]
    MissingFormat,
    /// A record has a state, but no request.
    #[error("record {record} has a state, but no request")]
    MissingRequest {
        /// The id of the record.
        record: u64,
    },
}

macro_rules! from_database_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for RecordError {
            fn from(error: $error) -> RecordError {
                RecordError::Database(Box::new(error.into()))
            }
        })*
    };
}

from_database_errors!(
    redb::CommitError,
    redb::DatabaseError,
    redb::StorageError,
    redb::TableError,
    redb::TransactionError
);

/// Why changes cannot be written. They remain queued.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WriteError {
    /// The file cannot be opened again after an earlier failure.
    #[error(transparent)]
    Open(#[from] StoreError),
    /// The changes cannot be committed.
    #[error(transparent)]
    Commit(#[from] RecordError),
}
