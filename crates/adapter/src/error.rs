//! The errors of the adapter.

use pumiceway_decisions::api::SettingsError;
use pumiceway_decisions::settings::DeploymentSettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read line {line}: {source}")]
    Read { line: u64, source: io::Error },
    /// The reply to a line cannot be written to standard output.
    #[error("cannot write the reply to line {line}: {source}")]
    Write { line: u64, source: io::Error },
    /// The batch on a line cannot be handled.
    #[error("line {line}: {source}")]
    Batch { line: u64, source: BatchError },
}

/// Why a batch cannot be handled.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not valid JSON, or not a batch of events.
    #[error("invalid batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// An event is for an instance that is not running.
    #[error("event for unknown instance {0}")]
    UnknownInstance(u64),
    /// A shutdown is for an instance that is not running.
    #[error("shutdown of unknown instance {0}")]
    ShutdownOfUnknownInstance(u64),
    /// An event of a running instance, or its start, cannot be handled.
    #[error("instance {instance}: {source}")]
    Event { instance: u64, source: EventError },
    /// The reply cannot be written as JSON.
    #[error("cannot encode the reply: {0}")]
    Reply(#[source] serde_json::Error),
}

/// Why an event cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// The settings document is invalid.
    #[error(transparent)]
    DeploymentSettings(#[from] DeploymentSettingsError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The class is not in the settings.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// The endpoint has not been in any endpoint list. The wire calls an endpoint a worker.
    #[error("unknown worker {0}")]
    UnknownEndpoint(String),
    /// The zone is not in the settings.
    #[error("unknown zone {0}")]
    UnknownZone(String),
    /// The machine kind is not in the settings.
    #[error("unknown kind {0}")]
    UnknownKind(String),
    /// A new request has the id of an open one.
    #[error("duplicate request {0}")]
    DuplicateRequest(String),
    /// The balancer returned an action for a request that has ended, which is a bug in it.
    #[error("the balancer returned an action for a request that has ended")]
    EndedRequest,
}
