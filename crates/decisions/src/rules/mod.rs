//! What the rules permit now. Everything that sends, repeats or refuses a request asks here: the decisions
//! before they choose an endpoint, and the core once more, at run time, before it carries a choice out.
//!
//! The functions are pure: they get the time and the facts, and keep no state but a [`Lease`].
//!
//! [`attempts`]: what may be sent again, or refused. [`membership`]: which list of endpoints may be used, and
//! until when.

pub mod attempts;
pub mod membership;

pub use attempts::{EarlierAttempt, Fate, Permission, RepeatGroup, permission};
pub use membership::{Contact, Lease, LeaseTerms};

use crate::api::{Micros, WorkerState};

/// Why something is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Denial {
    /// The request has its final answer.
    #[error("the request is over")]
    RequestOver,
    /// No time is left to wait for an answer.
    #[error("no time is left")]
    DeadlinePassed,
    /// The settings allow no further attempt, or none beside the one that is out.
    #[error("no further attempt is allowed")]
    AttemptsUsedUp,
    /// An earlier attempt may have run, and the class allows no repeat, here or by now.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// The endpoint is not known.
    #[error("the endpoint is unknown")]
    UnknownEndpoint,
    /// The endpoint drains or is gone.
    #[error("the endpoint drains or is gone")]
    EndpointLeaves,
    /// Nobody has confirmed the list that holds the endpoint, or not for too long.
    #[error("the endpoint list is not confirmed")]
    ListNotConfirmed,
}

/// Whether anything new, a request or a probe, may go to an endpoint in this state, on a list held under this
/// lease; and until when its first byte may be written.
pub fn endpoint_permission(now: Micros, state: WorkerState, lease: &Lease) -> Result<Option<Micros>, Denial> {
    if state != WorkerState::Ready {
        return Err(Denial::EndpointLeaves);
    }
    if !lease.valid(now) {
        return Err(Denial::ListNotConfirmed);
    }
    Ok(lease.expires())
}
