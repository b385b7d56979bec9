//! Admission of client connections: how many are open, how long each may stay in a phase, and how
//! it is closed.
//!
//! Clients that hold connections without sending a request must not exhaust the sockets. Each
//! connection therefore has a permit and a phase with a timeout, and one without a request in
//! progress is evicted when a new client finds no capacity. Whatever ends a connection, [`close()`]
//! closes it, so that a response that is still due arrives and unread bytes do not cause a reset.

mod close;
mod connection;
mod discard;
mod framing;
mod permits;
mod stream;

pub use close::{EndReason, FinalResponse, RETRY_AFTER_SECONDS, close};
pub use connection::{ClientConnection, REQUEST_TIMEOUT};
pub use discard::poll_disconnected;
pub use framing::FramingError;
pub use permits::{Admission, AdmissionDecision, ConnectionPermit};
pub use stream::InspectedStream;

#[cfg(test)]
mod tests;
