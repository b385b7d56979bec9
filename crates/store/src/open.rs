//! Opens the file of the store.

use crate::error::StoreError;
use redb::{Database, DatabaseError, StorageError};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

/// The permissions of a directory that is created: access for its owner only.
const DIRECTORY_MODE: u32 = 0o700;

/// A function that opens the database; called again after each failed write.
pub type OpenDatabase = Box<dyn FnMut() -> Result<Database, StoreError> + Send>;

/// Opens a file on disk. Its directory is created if it does not exist, with access for its owner
/// only.
pub fn on_disk(file: PathBuf) -> OpenDatabase {
    Box::new(move || {
        create_directory(&file).map_err(|source| StoreError::Io {
            file: file.clone(),
            source,
        })?;
        // A full disk can leave an empty file behind. `create` opens it, while `open` would always
        // report it as damaged.
        Database::create(&file).map_err(|error| open_error(&file, error))
    })
}

fn create_directory(file: &Path) -> io::Result<()> {
    let Some(directory) = file.parent() else {
        return Ok(());
    };
    if directory.as_os_str().is_empty() || directory.exists() {
        return Ok(());
    }
    std::fs::DirBuilder::new()
        .recursive(true)
        .mode(DIRECTORY_MODE)
        .create(directory)
}

fn open_error(file: &Path, error: DatabaseError) -> StoreError {
    let file = file.to_owned();
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(file),
        DatabaseError::Storage(StorageError::Io(source))
            if source.kind() != io::ErrorKind::InvalidData =>
        {
            StoreError::Io { file, source }
        }
        error => StoreError::Damaged {
            file,
            source: error.into(),
        },
    }
}
