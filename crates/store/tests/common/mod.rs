//! Records for the tests of the store.

use pumiceway_store::{
    AcceptedRequest, Change, Completion, Operation, RecordId, RequestState, StoredRequest,
    StoredResponse,
};
use std::collections::BTreeMap;

/// Requests and their states, by record.
pub type Records = BTreeMap<RecordId, (AcceptedRequest, RequestState)>;

/// The loaded records by number.
pub fn records_of(loaded: Vec<StoredRequest>) -> Records {
    loaded
        .into_iter()
        .map(|stored| (stored.record, (stored.request, stored.state)))
        .collect()
}

/// A request of this number; the length of its body grows with it.
pub fn request(record: u64) -> AcceptedRequest {
    AcceptedRequest {
        unique_id: format!("imports\0{record}"),
        class: "imports".into(),
        accepted_at_us: 1_000 + record,
        remaining_us: 20_000_000,
        slots: 1.0,
        memory: 0.0,
        id: record.to_string(),
        path: format!("/imports/{record}"),
        body: "reservation ".repeat(record as usize).into_bytes(),
    }
}

/// The completion of this request: even ones are served, odd ones are in doubt.
pub fn completion(record: u64) -> Completion {
    let response = if record.is_multiple_of(2) {
        StoredResponse::Served("made ".repeat(record as usize).into_bytes())
    } else {
        StoredResponse::Failed("may have run".into())
    };
    Completion {
        completed_at_us: 5_000 + record,
        response,
        in_doubt: !record.is_multiple_of(2),
    }
}

/// A change to this record.
pub fn change(record: u64, operation: Operation) -> Change {
    Change {
        record: RecordId(record),
        operation,
    }
}

/// The change that accepts the request of this number.
pub fn accept(record: u64) -> Change {
    change(record, Operation::Accept(request(record)))
}
