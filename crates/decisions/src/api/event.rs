//! What the host tells the balancer.

use super::{
    ClassId, EndpointEntry, EndpointId, ListKind, LoadReport, Outcome, RequestId, TenantId,
};
use std::time::Duration;

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its handle, new.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Time until its client gives up.
    pub remaining: Duration,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory that it takes, in slots' worth: an endpoint has as much memory as it has slots.
    pub memory: f64,
    /// A hint of its work, as time on a standard core.
    pub work_hint: Option<Duration>,
    /// Its tenant; `None` where there are no tenants, or for a client that belongs to none of them.
    pub tenant: Option<TenantId>,
    /// A hash of what it is about, where that is known: an endpoint that has just served the same
    /// is faster.
    pub affinity_key: Option<u64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt_index: usize,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Duration,
    /// The request has its final response, by this attempt or before it.
    pub request_done: bool,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// What a running request reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// It has started.
    Started,
    /// This fraction of it is done.
    Fraction(f64),
}

/// Progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptProgress {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt_index: usize,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it reports.
    pub progress: Progress,
}

/// The end of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// What the host tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list, or a change to it. The first event of a new instance is its list.
    EndpointList {
        /// What the entries stand for.
        kind: ListKind,
        /// The entries.
        entries: &'a [EndpointEntry<'a>],
    },
    /// A request has arrived; one final response is owed for it.
    RequestArrived(IncomingRequest),
    /// An attempt has ended; each send gets exactly one of these.
    AttemptEnded(AttemptResult),
    /// An attempt in flight has made progress.
    AttemptProgressed(AttemptProgress),
    /// The client has disconnected; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A request has no final response and its time is over: one is owed at once.
    DeadlineReached {
        /// The request.
        request: RequestId,
    },
    /// A health check has ended; each gets exactly one of these.
    HealthChecked(HealthCheckResult),
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
