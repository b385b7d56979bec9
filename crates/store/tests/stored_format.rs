//! Compatibility with files of earlier versions. `fixtures/record-v1.redb` was written before the
//! stored types were renamed; such files must stay readable.

use pumiceway_store::{
    AcceptedRequest, Change, Completion, Operation, RecordId, RequestState, Store, StoredRequest,
    StoredResponse, on_disk,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/record-v1.redb");

/// A copy of the fixture, since opening a database writes to its file; deleted on drop.
struct FixtureCopy(PathBuf);

impl FixtureCopy {
    fn new(name: &str) -> FixtureCopy {
        let file = format!("pumiceway-store-{}-{name}.redb", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::copy(FIXTURE, &path).unwrap();
        FixtureCopy(path)
    }
}

impl Drop for FixtureCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn load(path: &Path) -> Vec<StoredRequest> {
    let (_store, records) = Store::start(path, on_disk(path.to_owned()), |_| {}).unwrap();
    records
}

fn stored(record: u64, body: &[u8], state: RequestState) -> StoredRequest {
    StoredRequest {
        record: RecordId(record),
        request: AcceptedRequest {
            unique_id: format!("imports\0order-{record}"),
            class: "imports".to_owned(),
            accepted_at_us: 1_700_000_000_000_000 + record,
            remaining_us: 20_000_000,
            slots: 1.5,
            memory: 0.25,
            id: format!("id-{record}"),
            path: format!("/imports/order-{record}"),
            body: body.to_vec(),
        },
        state,
    }
}

fn completed(record: u64, response: StoredResponse, in_doubt: bool) -> StoredRequest {
    let completion = Completion {
        completed_at_us: 1_700_000_005_000_000 + record,
        response,
        in_doubt,
    };
    stored(record, b"", RequestState::Completed(completion))
}

/// The records in the fixture, from which record 7 was deleted.
fn expected_records() -> Vec<StoredRequest> {
    let failed = || StoredResponse::Failed("may have run".to_owned());
    let served = StoredResponse::Served(b"made ".repeat(100));
    vec![
        stored(1, b"short", RequestState::Queued),
        // Long enough to be compressed.
        stored(2, &b"reservation ".repeat(100), RequestState::InFlight),
        stored(3, b"third", RequestState::Queued),
        completed(4, served, false),
        completed(5, failed(), true),
        completed(6, failed(), false),
    ]
}

#[test]
fn records_of_an_earlier_version_are_loaded_unchanged() {
    let fixture = FixtureCopy::new("load");
    assert_eq!(load(&fixture.0), expected_records());
}

/// The rows of all tables of a file, as raw bytes.
fn raw_rows(path: &Path) -> Vec<(String, u64, Vec<u8>)> {
    let database = Database::open(path).unwrap();
    let transaction = database.begin_read().unwrap();
    let mut rows = Vec::new();
    for name in ["taken", "bodies", "states"] {
        let definition = TableDefinition::<u64, &[u8]>::new(name);
        let table = transaction.open_table(definition).unwrap();
        for row in table.iter().unwrap() {
            let (record, bytes) = row.unwrap();
            rows.push((name.to_owned(), record.value(), bytes.value().to_vec()));
        }
    }
    let meta = TableDefinition::<&str, u64>::new("meta");
    for row in transaction.open_table(meta).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        rows.push((key.value().to_owned(), value.value(), Vec::new()));
    }
    rows
}

/// The operations that produce this record.
fn operations(stored: StoredRequest) -> Vec<Operation> {
    let accept = Operation::Accept(stored.request);
    match stored.state {
        RequestState::Queued => vec![accept],
        RequestState::InFlight => vec![accept, Operation::Send],
        RequestState::Completed(completion) => {
            vec![accept, Operation::Send, Operation::Complete(completion)]
        }
    }
}

#[test]
fn rows_have_the_same_bytes_as_in_an_earlier_version() {
    let fixture = FixtureCopy::new("rows-expected");
    let written = FixtureCopy::new("rows-written");
    std::fs::remove_file(&written.0).unwrap();
    let (store, _) = Store::start(&written.0, on_disk(written.0.clone()), |_| {}).unwrap();
    let mut sequence = 0;
    for stored in expected_records() {
        let record = stored.record;
        for operation in operations(stored) {
            sequence += 1;
            assert!(store.write(sequence, Change { record, operation }));
        }
    }
    drop(store);
    let expected = raw_rows(&fixture.0);
    assert_eq!(expected.len(), 6 + 3 + 6 + 1, "{expected:?}");
    assert_eq!(raw_rows(&written.0), expected);
}
