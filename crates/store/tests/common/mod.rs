//! Records and changes that the tests of the store use.

use pumiceway_store::{
    AcceptedRequest, Change, Completion, Operation, RecordId, RequestState, StoredRequest,
    StoredResponse,
};
use std::collections::BTreeMap;

/// Requests and their states, by record.
pub type Records = BTreeMap<RecordId, (AcceptedRequest, RequestState)>;

/// The loaded records, by their ids.
pub fn records_of(loaded: Vec<StoredRequest>) -> Records {
    loaded
        .into_iter()
        .map(|stored| (stored.record, (stored.request, stored.state)))
        .collect()
}

/// The request of the record with this id. The length of its body grows with the id.
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

/// The completion of the record with this id: even ones are served, odd ones are in doubt.
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

/// A change to the record with this id.
pub fn change(record: u64, operation: Operation) -> Change {
    Change {
        record: RecordId(record),
        operation,
    }
}

/// The change that accepts the request of the record with this id.
pub fn accept(record: u64) -> Change {
    change(record, Operation::Accept(request(record)))
}
