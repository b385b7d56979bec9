//! What the rules of the service permit at present.
//!
//! All code that sends, repeats or sheds a request calls these functions: the balancer before it
//! selects an endpoint, and the core again before it carries out an action of the balancer. The
//! functions are pure: they take the time and the facts as arguments. The only state is a
//! [`Lease`].
//!
//! - [`attempts`]: which requests may be sent again or shed.
//! - [`membership`]: which endpoint list may be used, and until when.

pub mod attempts;
pub mod membership;

pub use attempts::{AttemptRecord, DeduplicationGroup, Execution, Permission, attempt_permission};
pub use membership::{Lease, LeaseSignal, LeaseTerms};

use crate::api::{EndpointState, Timestamp};

/// Why something is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Denial {
    /// The request has its final response.
    #[error("the request is done")]
    RequestDone,
    /// No time is left to wait for a response.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The settings allow no further attempt, or none beside those in flight.
    #[error("no further attempt is allowed")]
    NoFurtherAttempt,
    /// An earlier attempt may have run, and the class allows no repeat, none at this endpoint, or
    /// none this late.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// The endpoint is not known.
    #[error("the endpoint is unknown")]
    UnknownEndpoint,
    /// The endpoint does not list the function of the request.
    #[error("the endpoint does not list the function of the request")]
    FunctionNotListed,
    /// The endpoint is draining or gone.
    #[error("the endpoint is draining or gone")]
    EndpointLeaving,
    /// The list that contains the endpoint is not confirmed, or was confirmed too long ago.
    #[error("the endpoint list is not confirmed")]
    ListNotConfirmed,
}

/// Checks whether a new request or health check may be sent to an endpoint in this state, on a list
/// under this lease. Returns the time before which its first byte must be written; `None` for no
/// limit.
///
/// # Errors
///
/// [`Denial::EndpointLeaving`] or [`Denial::ListNotConfirmed`].
pub fn endpoint_permission(
    now: Timestamp,
    state: EndpointState,
    lease: &Lease,
) -> Result<Option<Timestamp>, Denial> {
    if state != EndpointState::Ready {
        return Err(Denial::EndpointLeaving);
    }
    if !lease.is_valid(now) {
        return Err(Denial::ListNotConfirmed);
    }
    Ok(lease.expires_at())
}
