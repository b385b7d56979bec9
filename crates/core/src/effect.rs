//! What the core wants done.

use crate::{
    AttemptId, AttemptUpdate, ClientResponse, EndpointAddress, EndpointSource, HealthCheckId, Job,
    RequestHandle,
};
use pumiceway_decisions::api::{ClassId, EndpointId, Timestamp};
use pumiceway_decisions::rules::{Denial, LeaseSignal};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// What the core wants done, in the order in which it is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt; updates of it and one outcome come back.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its number among the attempts of its request, from 0.
        attempt_index: usize,
        /// The endpoint.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: EndpointAddress,
        /// Class of the job.
        class: ClassId,
        /// What is to be done.
        job: Arc<Job>,
        /// How long its response is waited for.
        remaining: Duration,
        /// Open a connection for it, and use no idle one.
        dedicated_connection: bool,
        /// Write no byte of it after this time, if given.
        write_by: Option<Timestamp>,
    },
    /// Stop waiting for an attempt, and close its connection; nothing comes back.
    AbortAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give a client its final response.
    Respond {
        /// The client.
        handle: RequestHandle,
        /// The response.
        response: ClientResponse,
    },
    /// Pass the progress of an attempt on to a client.
    ForwardUpdate {
        /// The client.
        handle: RequestHandle,
        /// The progress.
        update: AttemptUpdate,
    },
    /// Check an endpoint's health; one result comes back.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
        /// The check, to come back with its result.
        check: HealthCheckId,
        /// Address of the endpoint.
        address: EndpointAddress,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Watch the discovery service at this address, and no other once it has sent its list.
    WatchDiscovery {
        /// Its address.
        address: String,
        /// Version of the list that is known from there; without one, the whole list is sent first.
        list_version: Option<u64>,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at this time; replaces any earlier
    /// timer.
    SetTimer {
        /// When.
        at: Timestamp,
    },
    /// Report the dispatcher as ready.
    ReportReady,
    /// Accept no new connection, and close those of clients as they become idle.
    CloseFrontends,
    /// All requests have their responses: end the process.
    Exit,
    /// Log what a signal of a source made of the lease on its list.
    LogLease {
        /// The source.
        source: EndpointSource,
        /// The signal.
        signal: LeaseSignal,
        /// When the lease ends unless it is renewed; `None` where none holds or it does not end.
        expires_at: Option<Timestamp>,
    },
    /// Log a warning.
    Warn(Warning),
}

/// A warning for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// A new configuration changes keys that take a restart to apply.
    RestartRequired {
        /// The keys.
        keys: Vec<String>,
    },
    /// The rules do not permit a decision, which was not carried out.
    DecisionDenied {
        /// Why not.
        denial: Denial,
        /// Decisions denied so far for the same reason.
        count: u64,
    },
    /// No source confirms its list any more: nothing is sent until one does.
    NoConfirmedList {
        /// Endpoints on the lists.
        endpoints: usize,
    },
    /// A line of the decisions.
    Decisions(String),
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::RestartRequired { keys } => {
                write!(
                    f,
                    "configuration keys changed that take a restart to apply: {}",
                    keys.join(", ")
                )
            }
            Warning::DecisionDenied { denial, count } => {
                write!(
                    f,
                    "a decision was denied by the rules: {denial} ({count} so far)"
                )
            }
            Warning::NoConfirmedList { endpoints } => {
                write!(
                    f,
                    "no endpoint list is confirmed: nothing is sent to its {endpoints} endpoints"
                )
            }
            Warning::Decisions(line) => f.write_str(line),
        }
    }
}
