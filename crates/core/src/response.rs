//! Final responses to clients.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

/// The final response to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// Served, with the result of an endpoint.
    Served(Bytes),
    /// Shed: the request has not run, or may run again, so a retry is harmless. The balancer decides
    /// this, except that the core sheds requests with a new unique id while the idempotency cache is
    /// full. Frontends send overload responses of their own at their limits of connections and jobs.
    Overloaded {
        /// How long the client should back off, if the settings allow telling it.
        retry_after: Option<Duration>,
    },
    /// Failed; the request may have run.
    Failed(Failure),
    /// Not accepted, and not to be retried unchanged; the request has not run.
    Rejected(Rejection),
}

impl ClientResponse {
    /// The name of the kind of response in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            ClientResponse::Served(_) => "served",
            ClientResponse::Overloaded { .. } => "overloaded",
            ClientResponse::Failed(_) => "failed",
            ClientResponse::Rejected(_) => "rejected",
        }
    }
}

/// Why a request failed that may have run. Clients receive the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The request was not served by its deadline, or an attempt may have run and the rules permit
    /// no further one. Both have the same message, as they differ only in the time that the request
    /// took.
    #[error("not done in time")]
    NotServed,
    /// An earlier request with the same id is done and may have run.
    #[error("it may have run before")]
    MayHaveRunBefore,
    /// The request was served before, but its result was too large for the idempotency cache.
    #[error("served before; its result was too large to keep")]
    ResultNotCached,
    /// The dispatcher shut down before it had a response.
    #[error("the dispatcher is ending")]
    DispatcherEnded,
}

/// Why a request is not accepted. Clients receive the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// An open request has the same id.
    #[error("the id is in use")]
    IdInUse,
    /// An endpoint reported that the job is invalid.
    #[error("no next hop can use it")]
    InvalidJob,
}
