//! The durable store of accepted requests.
//!
//! A record holds a request with a unique id, whether an attempt may have been sent, and the final
//! response. [`Store::start`] loads all records and starts the writing thread. Changes are queued
//! without blocking, and many of them share one sync to disk (group commit);
//! [`StoreEvent::Durable`] reports up to which sequence number they are on disk.
//!
//! No change is lost if a write fails: the store reports [`StoreEvent::WriteFailed`] and retries
//! once a second. A retry opens the file again and writes, in order, all changes that are not
//! durable. Changes are idempotent, so those that had reached the disk may be written again.

mod database;
mod encoding;
mod error;
mod open;
mod record;
mod writer;

pub use error::{RecordError, StoreError, WriteError};
pub use open::{OpenDatabase, on_disk};
pub use record::{
    AcceptedRequest, Change, Completion, Operation, RecordId, RequestState, StoredRequest,
    StoredResponse,
};
pub use writer::{Store, StoreEvent};
