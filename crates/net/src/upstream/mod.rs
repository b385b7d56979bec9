//! HTTP clients of the endpoints, one for each endpoint.
//!
//! The outcome of an attempt determines whether its job may be sent again. The job has not run if
//! no byte of the request was written; otherwise it may have run, unless the response says how it
//! ended. An attempt has at most one outcome, and its connection is reused only after the response
//! was read to its end.

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
