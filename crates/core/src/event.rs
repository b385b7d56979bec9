//! What the host tells the core.

use crate::{
    AttemptId, AttemptOutcome, AttemptUpdate, ClientRequest, EndpointListUpdate, EndpointSource,
    RequestHandle,
};
use pumiceway_decisions::api::{EndpointId, LoadReport, Outcome, Timestamp};

/// Handle of a health check; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthCheckId(pub u64);

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// A client has handed in a request.
    RequestSubmitted {
        /// The client.
        handle: RequestHandle,
        /// Its request.
        request: ClientRequest,
    },
    /// A client has left without its response.
    ClientDisconnected {
        /// The client.
        handle: RequestHandle,
    },
    /// An attempt in flight has made progress.
    AttemptUpdated {
        /// The attempt.
        attempt: AttemptId,
        /// Its progress.
        update: AttemptUpdate,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// The check.
        check: HealthCheckId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A source of endpoints has sent a list or a change, or has been lost.
    EndpointListUpdated {
        /// The source.
        source: EndpointSource,
        /// The earliest time at which the update can have been true: see
        /// [`Lease::record_signal`](pumiceway_decisions::rules::Lease::record_signal).
        as_of: Timestamp,
        /// The update.
        update: EndpointListUpdate,
    },
    /// The same from the address of a source before a new configuration: it no longer confirms
    /// anything.
    PreviousSourceUpdated {
        /// The source.
        source: EndpointSource,
        /// The update.
        update: EndpointListUpdate,
    },
    /// From now on, the list of this source is used only while the source confirms it.
    LeaseRequired {
        /// The source.
        source: EndpointSource,
    },
    /// The configuration has been read, at the start or again.
    Configured {
        /// Address of the discovery service.
        discovery: Option<String>,
        /// Version of the list that is known from there; without one, the whole list is sent first.
        list_version: Option<u64>,
        /// Keys that have changed and take a restart to apply.
        restart_required: Vec<String>,
    },
    /// The timer set by [`Effect::SetTimer`](crate::Effect::SetTimer) has fired.
    TimerFired,
    /// The dispatcher is to shut down.
    ShutdownRequested,
    /// The frontends are closed, and no client connection is left.
    FrontendsClosed,
}
