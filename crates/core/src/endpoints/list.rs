//! Endpoints, and the endpoint list updates that their sources send.

use pumiceway_decisions::api::{EndpointState, FunctionSet, KindId, Timestamp, ZoneId};
use pumiceway_decisions::rules::LeaseSignal;
use std::fmt;

/// Where to reach an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointAddress {
    /// A network address as `host:port`.
    Network(String),
    /// The session with this number, which the endpoint has opened to the dispatcher.
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

/// A source of endpoint lists. The lists of different sources are independent.
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
    /// Unique name, independent of the address.
    pub name: String,
    /// Current address; may change.
    pub address: EndpointAddress,
    /// Zone.
    pub zone: ZoneId,
    /// Machine kind.
    pub kind: KindId,
    /// The additional functions that it may run, whatever its kind.
    pub functions: FunctionSet,
    /// Cell, if any: endpoints of the same cell share their records of idempotency keys.
    pub cell: Option<u64>,
    /// State on the list of the source.
    pub state: EndpointState,
    /// When the process of the endpoint last started; [`Timestamp::ORIGIN`] if it is unknown or
    /// long ago.
    pub started_at: Timestamp,
    /// Size relative to other endpoints, without a unit; 0 if unknown.
    pub relative_size: f64,
    /// The endpoint has its full capacity from the start.
    pub skips_slow_start: bool,
    /// Maximum number of concurrent requests, for endpoints that keep no queue of their own.
    pub max_concurrent: Option<u32>,
}

/// An update from a source, or the end of its watch.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// The whole list.
    Snapshot(Vec<Endpoint>),
    /// The whole list, at an older version than the source has sent before: the source lags behind,
    /// or has restarted its version count.
    OutdatedSnapshot(Vec<Endpoint>),
    /// The whole list as known before this dispatcher restarted; may be out of date.
    Bootstrap(Vec<Endpoint>),
    /// The endpoints that have changed.
    Delta(Vec<Endpoint>),
    /// The endpoints that have changed since an [outdated
    /// snapshot](EndpointListUpdate::OutdatedSnapshot).
    OutdatedDelta(Vec<Endpoint>),
    /// Nothing has changed.
    Unchanged,
    /// No watch of the source is open: it cannot be reached, its watch has ended, or its watch has
    /// not been opened yet. Its list stays in use until its lease expires.
    Lost(LeaseSignal),
}

impl EndpointListUpdate {
    /// The lease signal of the update; `None` for a bootstrap list, which does not come from the
    /// source.
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
