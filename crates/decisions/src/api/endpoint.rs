//! The endpoint list.

use super::{EndpointId, FunctionSet, KindId, Timestamp, ZoneId};

/// State of an endpoint according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Listed, but no source has confirmed that the list is current. Gets no new request.
    Unconfirmed,
    /// Completes its requests in flight. Gets no new request.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name; determines its place in the preference order and its hashes.
    pub name: &'a str,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// The additional functions that it can run, whatever its kind.
    pub functions: &'a FunctionSet,
    /// Its cell: a group of endpoints that share their idempotency keys.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; [`Timestamp::ORIGIN`] if it is unknown or long ago.
    pub started_at: Timestamp,
    /// Its size relative to other endpoints, without a unit; 0 if it is unknown.
    pub relative_size: f64,
    /// It has its full capacity from the start and needs no slow start.
    pub skips_slow_start: bool,
    /// Maximum number of concurrent requests, whatever their size; it rejects any more. `None`: it
    /// queues requests instead.
    pub max_concurrent: Option<u32>,
}

/// The meaning of the entries in an [`Event::EndpointList`](super::Event::EndpointList).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as it was before a restart; may be out of date.
    Bootstrap,
    /// No entries: a poll failed, or no subscription is open any more. The previous list remains in
    /// use.
    SourceLost,
}
