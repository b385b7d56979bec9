//! Final responses to requests.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

/// The final response to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The result of an endpoint.
    Served(Bytes),
    /// Shed: it has not run, or may run again, so a retry is harmless.
    Overloaded {
        /// How long the client should back off.
        retry_after: Option<Duration>,
    },
    /// Failed; it may have run.
    Failed(Failure),
    /// Not accepted, and not to be retried as it is; it has not run.
    Rejected(Rejection),
}

impl ClientResponse {
    /// The kind of the response as the log names it.
    pub fn as_str(&self) -> &'static str {
        match self {
            ClientResponse::Served(_) => "served",
            ClientResponse::Overloaded { .. } => "overloaded",
            ClientResponse::Failed(_) => "failed",
            ClientResponse::Rejected(_) => "rejected",
        }
    }
}

/// Why a request failed that may have run. Clients get the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// Not served by its deadline, or an attempt may have run and the rules permit no other. How
    /// long it took tells which.
    #[error("not done in time")]
    NotServed,
    /// A request with its id is over and may have run.
    #[error("it may have run before")]
    MayHaveRunBefore,
    /// It was served before, and the result was too large for the cache.
    #[error("served before; its result was too large to keep")]
    ResultNotCached,
    /// The dispatcher ended before it had a response.
    #[error("the dispatcher is ending")]
    DispatcherEnded,
}

/// Why a request is not accepted. Clients get the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Its id belongs to another request that is open, with other content.
    #[error("the id is in use")]
    IdInUse,
    /// An endpoint says that the job is invalid.
    #[error("no next hop can use it")]
    InvalidJob,
}
