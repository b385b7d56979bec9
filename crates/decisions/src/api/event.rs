//! Events that the host passes to the balancer.

use super::{
    ClassId, EndpointEntry, EndpointId, FunctionId, ListKind, LoadReport, Outcome, RequestId,
    TenantId,
};
use std::time::Duration;

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id, not used before.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The additional function that an endpoint needs to run it. `None`: none; every endpoint that
    /// its class allows can run it.
    pub function: Option<FunctionId>,
    /// Time until its client gives up.
    pub remaining: Duration,
    /// Slots that it uses at an endpoint.
    pub slots: f64,
    /// Memory that it uses, in slots' worth: one unit is the memory of an endpoint divided by the
    /// number of its slots.
    pub memory: f64,
    /// Expected work, as running time on a standard core.
    pub work_hint: Option<Duration>,
    /// Its tenant; `None` if there are no tenants or its client belongs to none of them.
    pub tenant: Option<TenantId>,
    /// Hash of the data that it needs, if known. An endpoint that has recently served a request
    /// with the same key is faster.
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
    /// The request has its final response, from this attempt or an earlier one.
    pub request_done: bool,
    /// The load report in the response, if any.
    pub report: Option<LoadReport>,
}

/// Progress of a request at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// It has started.
    Started,
    /// Completed fraction, from 0 to 1.
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
    /// The reported progress.
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
    /// The load report in the response, if any.
    pub report: Option<LoadReport>,
}

/// An event that the host passes to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list, or a change to it. The first event that a balancer gets is a list.
    EndpointList {
        /// The meaning of the entries.
        kind: ListKind,
        /// The entries.
        entries: &'a [EndpointEntry<'a>],
    },
    /// A request has arrived and needs exactly one final response.
    RequestArrived(IncomingRequest),
    /// An attempt has ended. Each send results in exactly one such event.
    AttemptEnded(AttemptResult),
    /// An attempt in flight has made progress.
    AttemptProgressed(AttemptProgress),
    /// The client has disconnected; the request needs no response any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The deadline of a request without a final response has passed; it needs one at once.
    DeadlineReached {
        /// The request.
        request: RequestId,
    },
    /// A health check has ended. Each health check results in exactly one such event.
    HealthChecked(HealthCheckResult),
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
