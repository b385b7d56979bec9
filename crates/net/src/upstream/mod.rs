//! Upstream: the endpoints that are reached over HTTP, each through a client of its own.
//!
//! What an attempt proves decides whether its job may be sent again: it never ran if not a byte of
//! its request was written, and it may have run in all other cases until a response says how it
//! ended. An attempt has one outcome at most, and its connection is reused only after a whole
//! response.

mod attempt;
mod client;
mod connection;
mod connection_abort;
mod connector;
mod failure;
mod headers;
mod health_check;
mod load_report;
mod pool_settings;
mod progress_limit;
mod request_body;
mod response;

pub use attempt::AttemptConnection;
pub use client::{AttemptObserver, AttemptOptions, UpstreamClient};
pub use pool_settings::PoolSettings;

#[cfg(test)]
mod tests;
