//! The errors of the store.

use std::io;
use std::path::PathBuf;

/// The store cannot be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// Another process has the file open.
    #[error("{0}: another dispatcher is using it; stop that one, or name another folder")]
    InUse(PathBuf),
    /// The file is damaged, or was not written by this program.
    #[error(
        "{file}: {source}. It was not touched. Jobs that must never run twice may stand in it: put \
         the file aside only when somebody has looked after those of the last days"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The disk does not serve the file.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
}

/// Records cannot be read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The database fails.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A row has other fields than this program knows.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// A row cannot be compressed or decompressed.
    #[error(transparent)]
    Compression(#[from] io::Error),
    /// The first byte of a row is not known.
    #[error("a row that is neither packed nor plain")]
    UnknownRowTag,
    /// The file was written by another version of the format.
    #[error("its form is {found}, and this program knows {known}")]
    UnknownFormat {
        /// The version in the file.
        found: u64,
        /// The version that this program reads.
        known: u64,
    },
    /// The file does not state the version of its format.
    #[error("it has no form that this program knows")]
    MissingFormat,
    /// A record has a state, but no request.
    #[error("record {record} has a state and nothing else")]
    MissingRequest {
        /// The number of the record.
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

/// Changes cannot be written. They remain queued.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WriteError {
    /// The file cannot be opened again after a failure.
    #[error(transparent)]
    Open(#[from] StoreError),
    /// The changes cannot be committed.
    #[error(transparent)]
    Commit(#[from] RecordError),
}
