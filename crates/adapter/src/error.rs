//! What can be wrong with the simulator's input.

use pumiceway_decisions::api::SettingsError;
use pumiceway_decisions::settings::DeploymentSettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ends.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input failed.
    #[error("reading line {number}: {source}")]
    Read { number: u64, source: io::Error },
    /// Standard output failed.
    #[error("writing reply {number}: {source}")]
    Write { number: u64, source: io::Error },
    /// A line cannot be used.
    #[error("line {number}: {source}")]
    Line { number: u64, source: BatchError },
}

/// Why a batch cannot be used.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not of the wire's form.
    #[error("not a batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// An event is for an instance that was not started.
    #[error("event for unknown instance {0}")]
    UnknownInstance(u64),
    /// The same for a shutdown.
    #[error("shutdown of unknown instance {0}")]
    ShutdownOfUnknownInstance(u64),
    /// An event of an instance cannot be used.
    #[error("instance {instance}: {source}")]
    Event { instance: u64, source: EventError },
    /// The reply cannot be written as JSON.
    #[error("reply: {0}")]
    Reply(#[source] serde_json::Error),
}

/// Why an event cannot be used.
#[derive(Debug, Error)]
pub enum EventError {
    /// The settings document cannot be used.
    #[error(transparent)]
    DeploymentSettings(#[from] DeploymentSettingsError),
    /// The settings cannot work.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings name no such class.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// No list has named such an endpoint, which the wire calls a worker.
    #[error("unknown worker {0}")]
    UnknownEndpoint(String),
    /// The settings name no such zone.
    #[error("unknown zone {0}")]
    UnknownZone(String),
    /// The settings name no such machine kind.
    #[error("unknown kind {0}")]
    UnknownKind(String),
    /// A new request has the name of an open one.
    #[error("request {0} came twice")]
    RequestTwice(String),
    /// An action names a request that is over: a fault of the decisions.
    #[error("an action names an ended request")]
    EndedRequest,
}
