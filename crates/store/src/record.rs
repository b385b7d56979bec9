//! The stored types.
//!
//! Rows are encoded with postcard, by the order of fields and variants: their names may change,
//! their order may not.

use serde::{Deserialize, Serialize};

/// The number of a record; grows with each accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u64);

/// A request as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedRequest {
    /// The unique id that the client gave it.
    pub unique_id: String,
    /// The name of its class.
    pub class: String,
    /// When it was accepted, in Unix microseconds.
    pub accepted_at_us: u64,
    /// The remaining time at that moment, in microseconds.
    pub remaining_us: u64,
    /// The slots that it occupies at an endpoint.
    pub slots: f64,
    /// The memory that it occupies at an endpoint.
    pub memory: f64,
    /// The id under which it is sent to endpoints.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// The body; deleted once the request is completed.
    pub body: Vec<u8>,
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestState {
    /// Accepted, and certainly at no endpoint.
    Queued,
    /// It may have reached an endpoint.
    InFlight,
    /// It has its final response.
    Completed(Completion),
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// When the request was completed, in Unix microseconds.
    pub completed_at_us: u64,
    /// The response.
    pub response: StoredResponse,
    /// The job may have run, must not run again, and no operator has checked yet whether it did.
    pub in_doubt: bool,
}

/// A stored response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredResponse {
    /// The result from an endpoint.
    Served(Vec<u8>),
    /// The request failed, for this reason.
    Failed(String),
}

/// A change to one record. It is idempotent.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The record.
    pub record: RecordId,
    /// What happens to it.
    pub operation: Operation,
}

/// What happens to a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// The request is accepted.
    Accept(AcceptedRequest),
    /// An attempt is about to be sent.
    Send,
    /// No attempt is in flight, and none has run.
    Requeue,
    /// The request has its final response.
    Complete(Completion),
    /// An operator has checked whether the job ran.
    ResolveDoubt,
    /// The record is deleted.
    Delete,
}

/// A record as it was loaded. The body of a completed request is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRequest {
    /// Its number.
    pub record: RecordId,
    /// The request.
    pub request: AcceptedRequest,
    /// Its state.
    pub state: RequestState,
}
