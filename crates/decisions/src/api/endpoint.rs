//! Endpoints as service discovery lists them.

use super::{EndpointId, KindId, Timestamp, ZoneId};

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Listed, but no source has confirmed that the list is current: nothing new is sent there.
    Unconfirmed,
    /// Finishes what it has; nothing new is sent there.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name: list order only.
    pub name: &'a str,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell: the endpoints that share what they know of idempotency keys.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; [`Timestamp::ORIGIN`] for long ago.
    pub started_at: Timestamp,
    /// Its size beside other endpoints, without a unit; 0 where it is not known.
    pub relative_size: f64,
    /// It has all its capacity from its start on, and needs no slow start.
    pub skips_slow_start: bool,
    /// Requests of any size that it takes at a time, rejecting further ones; `None`: it queues
    /// them.
    pub max_concurrent: Option<u32>,
}

/// What the entries of an endpoint list stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as it was before a restart; may be out of date.
    Bootstrap,
    /// No entries: a poll failed or the subscription broke, and the previous list stands.
    SourceLost,
}
