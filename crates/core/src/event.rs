//! Events: the inputs of the core.

use crate::{
    AttemptId, AttemptOutcome, AttemptUpdate, ClientRequest, EndpointListUpdate, EndpointSource,
    RequestHandle,
};
use pumiceway_decisions::api::{EndpointId, LoadReport, Outcome, Timestamp};

/// Id of a health check; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthCheckId(pub u64);

/// An event that the event loop passes to [`Core::reduce`](crate::Core::reduce).
#[derive(Debug)]
pub enum Event {
    /// A client has submitted a request.
    RequestSubmitted {
        /// Identifies the client in the responses to this request.
        handle: RequestHandle,
        /// The request.
        request: ClientRequest,
    },
    /// A client has disconnected before it got its final response.
    ClientDisconnected {
        /// The handle of its request.
        handle: RequestHandle,
    },
    /// An attempt in flight has made progress.
    AttemptUpdated {
        /// The attempt.
        attempt: AttemptId,
        /// The progress.
        update: AttemptUpdate,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// The health check.
        check: HealthCheckId,
        /// How it ended.
        outcome: Outcome,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
    },
    /// A source has sent an endpoint list or a delta, or is no longer watched.
    EndpointListUpdated {
        /// The source.
        source: EndpointSource,
        /// The earliest time as of which the update can be current; see
        /// [`Lease::record_signal`](pumiceway_decisions::rules::Lease::record_signal).
        as_of: Timestamp,
        /// The update.
        update: EndpointListUpdate,
    },
    /// An update from the previous address of a source, which a new configuration has replaced. It
    /// is applied, but does not renew the lease.
    PreviousSourceUpdated {
        /// The source.
        source: EndpointSource,
        /// The update.
        update: EndpointListUpdate,
    },
    /// From now on, the lease on the list of this source expires unless the source renews it.
    /// Without this event, a list that was confirmed once remains valid.
    LeaseRequired {
        /// The source.
        source: EndpointSource,
    },
    /// The configuration has been loaded or reloaded.
    Configured {
        /// Address of the discovery service.
        discovery: Option<String>,
        /// Version of the endpoint list already known from this address; without it, the watch
        /// starts with the whole list.
        list_version: Option<u64>,
        /// Changed keys that require a restart to take effect.
        restart_required: Vec<String>,
    },
    /// The timer set by [`Effect::SetTimer`](crate::Effect::SetTimer) has fired.
    TimerFired,
    /// A shutdown of the dispatcher was requested.
    ShutdownRequested,
    /// The frontends are closed, and no client connection is open.
    FrontendsClosed,
}
