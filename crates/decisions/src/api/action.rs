//! What the balancer wants done.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// What the balancer wants done. The host carries actions out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// Give the attempt up after this time; `None`: when the client gives up, as in all sends
        /// so far.
        timeout: Option<Duration>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt_index: usize,
    },
    /// Final response: shed without effect, so a retry is harmless.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should back off.
        retry_after: Option<Duration>,
    },
    /// Final response: failed, and the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check an endpoint's health; an [`Event::HealthChecked`](super::Event::HealthChecked)
    /// answers.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint, so that the next attempt opens a new one.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list; an
    /// [`Event::EndpointList`](super::Event::EndpointList) answers.
    Subscribe,
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this time; replaces any earlier
    /// timer.
    SetTimer {
        /// From now.
        after: Duration,
    },
    /// A line for the log.
    Log(String),
}
