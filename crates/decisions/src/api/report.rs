//! What an endpoint tells about itself: load reports and outcomes.

/// A load report; values that the deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the endpoint, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in slots' worth.
    pub free_memory: Option<f64>,
    /// Requests that it completes per second.
    pub requests_per_second: Option<f64>,
    /// CPU utilization: 0 to about 1.
    pub cpu_utilization: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// Rejected unread for lack of capacity; it has not run.
    Rejected,
    /// No response in time; it may have run or may still be running.
    Timeout,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the dispatcher; it may have run.
    Cancelled,
    /// Never sent, for a reason that says nothing about the endpoint.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
