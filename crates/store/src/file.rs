//! The file: its tables, how it is opened, and how writes change it.

use crate::record::{Ended, Loaded, State, Taken, Write};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// What was taken, without the body; the bodies of those that are open; how each stands.
const TAKEN: TableDefinition<u64, &[u8]> = TableDefinition::new("taken");
const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
const STATES: TableDefinition<u64, &[u8]> = TableDefinition::new("states");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Form of the rows. A file of another form is not touched.
const FORMAT: u64 = 1;
/// zstd level: results are small, and packed once.
const LEVEL: i32 = 1;
/// What is packed has at least this many bytes.
const PACK_LEAST: usize = 256;
/// What is unpacked has at most this many, whatever the file says.
const UNPACK_MOST: usize = 16 << 20;

/// Why the record can't be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// Another process has it open.
    #[error("{0}: another dispatcher is using it; stop that one, or name another folder")]
    InUse(PathBuf),
    /// It is no record of ours, or one that is damaged.
    #[error(
        "{file}: {why}. It was not touched. Jobs that must never run twice may stand in it: put the file aside only \
         when somebody has looked after those of the last days"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Why.
        why: String,
    },
    /// The disk refuses.
    #[error("{file}: {why}")]
    Refused {
        /// The file.
        file: PathBuf,
        /// Why.
        why: String,
    },
}

/// Opens the file; called again after the disk has refused a write.
pub type Open = Box<dyn FnMut() -> Result<Database, StoreError> + Send>;

/// A file on disk. Its folder is made where there is none, for its owner alone.
pub fn on_disk(file: PathBuf) -> Open {
    Box::new(move || {
        let refused = |why: std::io::Error| StoreError::Refused {
            file: file.clone(),
            why: why.to_string(),
        };
        if let Some(folder) = file
            .parent()
            .filter(|f| !f.as_os_str().is_empty() && !f.exists())
        {
            use std::os::unix::fs::DirBuilderExt;
            std::fs::DirBuilder::new()
                .recursive(true)
                .mode(0o700)
                .create(folder)
                .map_err(refused)?;
        }
        // Prevents: an empty file, such as a full disk leaves behind, counts as damaged for ever.
        Database::create(&file).map_err(|e| sort(&file, e))
    })
}

fn sort(file: &Path, e: DatabaseError) -> StoreError {
    let file = file.to_owned();
    match e {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(file),
        DatabaseError::Storage(redb::StorageError::Io(e))
            if e.kind() != std::io::ErrorKind::InvalidData =>
        {
            StoreError::Refused {
                file,
                why: e.to_string(),
            }
        }
        e => StoreError::Damaged {
            file,
            why: e.to_string(),
        },
    }
}

/// Any failure of the store's library, in words.
pub(crate) type Failure = Box<dyn std::error::Error + Send + Sync>;

fn pack(bytes: &[u8]) -> Result<Vec<u8>, Failure> {
    let packed = if bytes.len() >= PACK_LEAST {
        zstd::bulk::compress(bytes, LEVEL)?
    } else {
        vec![]
    };
    // The first byte tells: 1 packed, 0 as it is.
    Ok(match packed.is_empty() || packed.len() >= bytes.len() {
        true => [&[0], bytes].concat(),
        false => [&[1], &packed[..]].concat(),
    })
}

fn unpack(row: &[u8]) -> Result<Vec<u8>, Failure> {
    match row.split_first() {
        Some((0, bytes)) => Ok(bytes.to_vec()),
        Some((1, packed)) => Ok(zstd::bulk::decompress(packed, UNPACK_MOST)?),
        _ => Err("a row that is neither packed nor plain".into()),
    }
}

fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, Failure> {
    Ok(postcard::from_bytes(&unpack(row)?)?)
}

/// Reads the whole record.
pub(crate) fn load(db: &Database) -> Result<Vec<Loaded>, Failure> {
    let reading = db.begin_read()?;
    let meta = match reading.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(vec![]),
        Err(e) => return Err(e.into()),
    };
    match meta.get("format")?.map(|format| format.value()) {
        Some(FORMAT) => {}
        Some(other) => {
            return Err(format!("its form is {other}, and this program knows {FORMAT}").into());
        }
        None => return Err("it has no form that this program knows".into()),
    }
    let (taken, bodies) = (reading.open_table(TAKEN)?, reading.open_table(BODIES)?);
    let mut all = Vec::new();
    for row in reading.open_table(STATES)?.iter()? {
        let (record, state) = row?;
        let record = record.value();
        let Some(row) = taken.get(record)? else {
            return Err(format!("record {record} has a state and nothing else").into());
        };
        let mut taken: Taken = decode(row.value())?;
        if let Some(body) = bodies.get(record)? {
            taken.body = unpack(body.value())?;
        }
        all.push(Loaded {
            record,
            taken,
            state: decode(state.value())?,
        });
    }
    Ok(all)
}

/// Writes all of this at once, or nothing.
pub(crate) fn write<'a>(
    db: &Database,
    writes: impl Iterator<Item = &'a Write>,
) -> Result<(), Failure> {
    let writing = db.begin_write()?;
    {
        writing.open_table(META)?.insert("format", FORMAT)?;
        let mut taken = writing.open_table(TAKEN)?;
        let mut bodies = writing.open_table(BODIES)?;
        let mut states = writing.open_table(STATES)?;
        for write in writes {
            let (record, state) = match write {
                Write::Taken(record, new) => {
                    let head = Taken {
                        body: vec![],
                        ..new.clone()
                    };
                    taken.insert(record, &pack(&postcard::to_stdvec(&head)?)?[..])?;
                    bodies.insert(record, &pack(&new.body)?[..])?;
                    (record, State::Waiting)
                }
                Write::Out(record) => (record, State::Out),
                Write::Back(record) => (record, State::Waiting),
                Write::Over(record, ended) => {
                    bodies.remove(record)?;
                    (record, State::Over(ended.clone()))
                }
                Write::Settled(record) => {
                    let state = states
                        .get(record)?
                        .map(|row| decode(row.value()))
                        .transpose()?;
                    let Some(State::Over(ended)) = state else {
                        continue;
                    };
                    (
                        record,
                        State::Over(Ended {
                            unsettled: false,
                            ..ended
                        }),
                    )
                }
                Write::Forget(record) => {
                    taken.remove(record)?;
                    bodies.remove(record)?;
                    states.remove(record)?;
                    continue;
                }
            };
            // Prevents: what comes late for a record that is forgotten makes half a record.
            if taken.get(record)?.is_some() {
                states.insert(record, &pack(&postcard::to_stdvec(&state)?)?[..])?;
            }
        }
    }
    writing.commit()?;
    Ok(())
}
