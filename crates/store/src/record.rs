//! The types of records and changes.
//!
//! The types in rows are encoded with postcard, which writes no names: fields and variants may be
//! renamed, but not reordered.

use serde::{Deserialize, Serialize};

/// The id of a record; increases with each accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u64);

/// A request as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedRequest {
    /// The unique id, which the client chose.
    pub unique_id: String,
    /// The name of its class.
    pub class: String,
    /// When the request was accepted, in microseconds since the Unix epoch.
    pub accepted_at_us: u64,
    /// The remaining time when it was accepted, in microseconds.
    pub remaining_us: u64,
    /// The slots that it occupies at an endpoint.
    pub slots: f64,
    /// The memory that it occupies at an endpoint.
    pub memory: f64,
    /// The request id that endpoints receive.
    pub id: String,
    /// The path and the query.
    pub path: String,
    /// The body; deleted once the request is completed.
    pub body: Vec<u8>,
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestState {
    /// Accepted, and no attempt can have reached an endpoint.
    Queued,
    /// An attempt may have reached an endpoint.
    InFlight,
    /// The request has its final response.
    Completed(Completion),
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// When the request was completed, in microseconds since the Unix epoch.
    pub completed_at_us: u64,
    /// The response.
    pub response: StoredResponse,
    /// Whether the job may have run, must not run again, and no operator has checked yet if it ran.
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
    /// What is done to it.
    pub operation: Operation,
}

/// What a change does to a record.
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
    /// The id of the record.
    pub record: RecordId,
    /// The request.
    pub request: AcceptedRequest,
    /// The state of the request.
    pub state: RequestState,
}
