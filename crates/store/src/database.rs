//! The tables of the database: loads records and applies changes.
//!
//! Bodies have a separate table, so that a body can be deleted without rewriting its request.

use crate::encoding::{compress, decode, decompress, encode};
use crate::error::RecordError;
use crate::record::{
    AcceptedRequest, Change, Completion, Operation, RecordId, RequestState, StoredRequest,
};
use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, Table, TableDefinition, TableError,
    WriteTransaction,
};

/// Requests without their bodies. The key of this and the next two tables is the record id.
const REQUESTS: TableDefinition<u64, &[u8]> = TableDefinition::new("taken");
/// Bodies of the requests that are not completed.
const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
/// States of the requests.
const STATES: TableDefinition<u64, &[u8]> = TableDefinition::new("states");
/// Properties of the file.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

/// The key of the format version in [`META`].
const FORMAT_KEY: &str = "format";
/// The format version of the rows. A file with another version is rejected, and not changed.
const FORMAT_VERSION: u64 = 1;

/// Loads all records; none from a new database.
pub(crate) fn load(database: &Database) -> Result<Vec<StoredRequest>, RecordError> {
    let transaction = database.begin_read()?;
    if !check_format(&transaction)? {
        return Ok(Vec::new());
    }
    let requests = transaction.open_table(REQUESTS)?;
    let bodies = transaction.open_table(BODIES)?;
    let mut records = Vec::new();
    for row in transaction.open_table(STATES)?.iter()? {
        let (record, state) = row?;
        let record = record.value();
        let Some(request) = requests.get(record)? else {
            return Err(RecordError::MissingRequest { record });
        };
        let mut request: AcceptedRequest = decode(request.value())?;
        if let Some(body) = bodies.get(record)? {
            request.body = decompress(body.value())?;
        }
        records.push(StoredRequest {
            record: RecordId(record),
            request,
            state: decode(state.value())?,
        });
    }
    Ok(records)
}

/// Checks the format version; returns false if the database is new and has no tables.
fn check_format(transaction: &ReadTransaction) -> Result<bool, RecordError> {
    let meta = match transaction.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(false),
        Err(error) => return Err(error.into()),
    };
    match meta.get(FORMAT_KEY)?.map(|format| format.value()) {
        Some(FORMAT_VERSION) => Ok(true),
        Some(found) => Err(RecordError::UnknownFormat {
            found,
            known: FORMAT_VERSION,
        }),
        None => Err(RecordError::MissingFormat),
    }
}

/// Applies the changes in one transaction: either all or none are stored.
pub(crate) fn apply<'a>(
    database: &Database,
    changes: impl Iterator<Item = &'a Change>,
) -> Result<(), RecordError> {
    let transaction = database.begin_write()?;
    {
        transaction
            .open_table(META)?
            .insert(FORMAT_KEY, FORMAT_VERSION)?;
        let mut tables = Tables::open(&transaction)?;
        for change in changes {
            tables.apply(change)?;
        }
    }
    transaction.commit()?;
    Ok(())
}

/// The tables of the records, open for writing.
struct Tables<'a> {
    requests: Table<'a, u64, &'static [u8]>,
    bodies: Table<'a, u64, &'static [u8]>,
    states: Table<'a, u64, &'static [u8]>,
}

impl<'a> Tables<'a> {
    fn open(transaction: &'a WriteTransaction) -> Result<Tables<'a>, RecordError> {
        Ok(Tables {
            requests: transaction.open_table(REQUESTS)?,
            bodies: transaction.open_table(BODIES)?,
            states: transaction.open_table(STATES)?,
        })
    }

    fn apply(&mut self, change: &Change) -> Result<(), RecordError> {
        let record = change.record.0;
        match &change.operation {
            Operation::Accept(request) => self.accept(record, request),
            Operation::Send => self.set_state(record, &RequestState::InFlight),
            Operation::Requeue => self.set_state(record, &RequestState::Queued),
            Operation::Complete(completion) => self.complete(record, completion),
            Operation::ResolveDoubt => self.resolve_doubt(record),
            Operation::Delete => self.delete(record),
        }
    }

    fn accept(&mut self, record: u64, request: &AcceptedRequest) -> Result<(), RecordError> {
        let without_body = AcceptedRequest {
            body: Vec::new(),
            ..request.clone()
        };
        self.requests.insert(record, &encode(&without_body)?[..])?;
        self.bodies.insert(record, &compress(&request.body)?[..])?;
        self.set_state(record, &RequestState::Queued)
    }

    fn complete(&mut self, record: u64, completion: &Completion) -> Result<(), RecordError> {
        self.bodies.remove(record)?;
        self.set_state(record, &RequestState::Completed(completion.clone()))
    }

    fn resolve_doubt(&mut self, record: u64) -> Result<(), RecordError> {
        let Some(RequestState::Completed(completion)) = self.state(record)? else {
            return Ok(());
        };
        let resolved = Completion {
            in_doubt: false,
            ..completion
        };
        self.set_state(record, &RequestState::Completed(resolved))
    }

    fn delete(&mut self, record: u64) -> Result<(), RecordError> {
        self.requests.remove(record)?;
        self.bodies.remove(record)?;
        self.states.remove(record)?;
        Ok(())
    }

    fn state(&self, record: u64) -> Result<Option<RequestState>, RecordError> {
        let row = self.states.get(record)?;
        row.map(|row| decode(row.value())).transpose()
    }

    /// Sets the state of a record. Does nothing if the record was deleted, since a state without a
    /// request would make the file invalid.
    fn set_state(&mut self, record: u64, state: &RequestState) -> Result<(), RecordError> {
        if self.requests.get(record)?.is_some() {
            self.states.insert(record, &encode(state)?[..])?;
        }
        Ok(())
    }
}
