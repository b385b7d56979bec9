//! Admission of client connections: limits how many are open and how long each may stay in a phase,
//! and closes them.
//!
//! Clients that open connections without sending requests must not exhaust the sockets. Each
//! connection therefore has a permit and a phase with a timeout, and a connection without a request
//! in progress is evicted if there is no capacity for a new one. For whatever reason a connection
//! ends, [`close()`] closes it, so that a pending response is delivered and unread bytes do not
//! cause a reset.

mod chunked;
mod close;
mod connection;
mod discard;
mod eviction;
mod framing;
mod permits;
mod phase;
mod read_closed;
mod stream;
mod unread;

pub use close::{EndReason, FinalResponse, RETRY_AFTER_SECONDS, close};
pub use connection::ClientConnection;
pub use discard::poll_disconnected;
pub use framing::FramingError;
pub use permits::{Admission, AdmissionDecision, ConnectionPermit};
pub use phase::REQUEST_TIMEOUT;
pub use read_closed::is_read_closed;
pub use stream::InspectedStream;
pub use unread::read_unreported;

#[cfg(test)]
mod tests;
