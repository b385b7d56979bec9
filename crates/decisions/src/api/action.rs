//! Actions that the balancer requests from its host.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// An action for the host. The host carries out actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an endpoint, as a new attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None`: the deadline of the request. The balancer currently
        /// always sets `None`.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of the sends.
        attempt_index: usize,
    },
    /// Final response: the request is shed. It had no effect, or a repeat of it is harmless.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should back off.
        retry_after: Option<Duration>,
    },
    /// Final response: the request failed and may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send a health check to an endpoint; its result is an
    /// [`Event::HealthChecked`](super::Event::HealthChecked).
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint, so that the next attempt opens a new one.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list; the result is an
    /// [`Event::EndpointList`](super::Event::EndpointList).
    Subscribe,
    /// Pass [`Event::TimerFired`](super::Event::TimerFired) after this time; replaces any earlier
    /// timer.
    SetTimer {
        /// Time from now.
        after: Duration,
    },
    /// Write a line to the log.
    Log(String),
}
