//! The durable record of accepted requests.
//!
//! For each request with a unique id it holds the request, whether an attempt may have been sent,
//! and the one final response. [`Store::start`] loads what is stored and starts a thread that
//! writes. Changes are queued without waiting, and many of them share one sync to disk (group
//! commit); [`StoreEvent::Durable`] reports how far they are on disk.
//!
//! A write that fails loses nothing: the store reports [`StoreEvent::WriteFailed`], opens its file
//! again every second, and writes all changes that are not durable, in order. Each change is
//! idempotent.

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
