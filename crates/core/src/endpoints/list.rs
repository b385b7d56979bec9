//! Endpoints and the updates that their sources send.

use pumiceway_decisions::api::{EndpointState, KindId, Timestamp, ZoneId};
use pumiceway_decisions::rules::LeaseSignal;
use std::fmt;

/// Where to reach an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointAddress {
    /// At this `host:port`.
    Network(String),
    /// At the other end of this session, which the endpoint has opened itself.
    Session(u64),
}

impl fmt::Display for EndpointAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointAddress::Network(address) => f.write_str(address),
            EndpointAddress::Session(session) => write!(f, "session {session}"),
        }
    }
}

/// Who lists endpoints. The list of one source says nothing about another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointSource {
    /// The discovery service.
    Discovery,
    /// Sessions of Gearman workers.
    Gearman,
    /// Ephemeral nodes in `ZooKeeper`.
    ZooKeeper,
}

/// An endpoint as its source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same wherever it is.
    pub name: String,
    /// Where it is; may change.
    pub address: EndpointAddress,
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
    /// It has all its capacity from its start on.
    pub skips_slow_start: bool,
    /// Requests that it takes at a time, where it keeps no queue of its own.
    pub max_concurrent: Option<u32>,
}

/// What a source sends, or what has become of it.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// The whole list.
    Snapshot(Vec<Endpoint>),
    /// The whole list, at a version before one that the source has sent: it lags behind itself, or
    /// counts anew after a restart of its own.
    OutdatedSnapshot(Vec<Endpoint>),
    /// The whole list as it was before a restart of ours; may be out of date.
    Bootstrap(Vec<Endpoint>),
    /// The endpoints that have changed.
    Delta(Vec<Endpoint>),
    /// The endpoints that have changed since an outdated list.
    OutdatedDelta(Vec<Endpoint>),
    /// Nothing has changed.
    Unchanged,
    /// The source cannot be reached; its list stands for as long as its lease.
    Lost(LeaseSignal),
}

impl EndpointListUpdate {
    /// What the update says about the lease; `None` where it is not the source's own word.
    pub(crate) fn lease_signal(&self) -> Option<LeaseSignal> {
        match self {
            EndpointListUpdate::Bootstrap(_) => None,
            EndpointListUpdate::Lost(signal) => Some(*signal),
            EndpointListUpdate::OutdatedSnapshot(_) | EndpointListUpdate::OutdatedDelta(_) => {
                Some(LeaseSignal::Outdated)
            }
            EndpointListUpdate::Snapshot(_)
            | EndpointListUpdate::Delta(_)
            | EndpointListUpdate::Unchanged => Some(LeaseSignal::Confirmed),
        }
    }
}
