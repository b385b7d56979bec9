//! Effects: the outputs of the core.

use crate::{
    AttemptId, AttemptUpdate, ClientResponse, EndpointAddress, EndpointSource, HealthCheckId, Job,
    JobFunction, RequestHandle,
};
use pumiceway_decisions::api::{EndpointId, Timestamp};
use pumiceway_decisions::rules::{Denial, LeaseSignal};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A side effect for the event loop to perform; effects are performed in the order in which
/// [`Core::reduce`](crate::Core::reduce) returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt. It is followed by any number of
    /// [`Event::AttemptUpdated`](crate::Event::AttemptUpdated) and one
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Number of the attempt within its request, from 0.
        attempt_index: usize,
        /// The endpoint.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: EndpointAddress,
        /// Class and function of the job.
        function: JobFunction,
        /// The job to run.
        job: Arc<Job>,
        /// Remaining time until the response is no longer needed.
        remaining: Duration,
        /// Open a new connection instead of using an idle one.
        dedicated_connection: bool,
        /// Latest time to write the first byte, if limited.
        write_by: Option<Timestamp>,
    },
    /// Abort an attempt and close its connection; no event follows.
    AbortAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the final response to a client.
    Respond {
        /// The handle of the client's request.
        handle: RequestHandle,
        /// The response.
        response: ClientResponse,
    },
    /// Forward the progress of an attempt to a client.
    ForwardUpdate {
        /// The handle of the client's request.
        handle: RequestHandle,
        /// The progress.
        update: AttemptUpdate,
    },
    /// Check the health of an endpoint; one [`Event::HealthChecked`](crate::Event::HealthChecked)
    /// follows.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
        /// Id of the health check, to be returned in its event.
        check: HealthCheckId,
        /// Address of the endpoint.
        address: EndpointAddress,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Watch the discovery service at this address. A watch of a previous address ends once the new
    /// one has sent its list.
    WatchDiscovery {
        /// Address of the discovery service.
        address: String,
        /// Version of the endpoint list already known from this address; without it, the watch
        /// starts with the whole list.
        list_version: Option<u64>,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at this time; replaces any earlier
    /// timer.
    SetTimer {
        /// When the timer fires.
        at: Timestamp,
    },
    /// Report the dispatcher as ready.
    ReportReady,
    /// Stop accepting connections, and close client connections as they become idle.
    CloseFrontends {
        /// When every request that a client has begun must have its response, as SIGKILL may follow
        /// soon after.
        respond_by: Timestamp,
    },
    /// All final responses have been sent: end the process.
    Exit,
    /// Log a lease signal and the resulting expiry of the source's lease.
    LogLease {
        /// The source.
        source: EndpointSource,
        /// The signal.
        signal: LeaseSignal,
        /// When the lease expires unless it is renewed; `None` if it is unconfirmed or does not
        /// expire.
        expires_at: Option<Timestamp>,
    },
    /// Log a warning.
    Warn(Warning),
}

/// A warning that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// A new configuration changes keys that require a restart to take effect.
    RestartRequired {
        /// The keys.
        keys: Vec<String>,
    },
    /// The rules denied a decision of the balancer, which was not executed.
    DecisionDenied {
        /// The reason.
        denial: Denial,
        /// Decisions denied so far for the same reason.
        count: u64,
    },
    /// No endpoint list has a valid lease: nothing is sent until a source confirms its list.
    NoConfirmedList {
        /// Number of endpoints on the lists.
        endpoints: usize,
    },
    /// Endpoints of a list were left out, as no more can be kept.
    TooManyEndpoints {
        /// Their number.
        left_out: usize,
    },
    /// A log line from the balancer.
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
            Warning::TooManyEndpoints { left_out } => {
                write!(
                    f,
                    "{left_out} endpoints of a list were left out: the memory permits no more"
                )
            }
            Warning::Decisions(line) => f.write_str(line),
        }
    }
}
