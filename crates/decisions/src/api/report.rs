//! Load reports of endpoints, and outcomes of attempts and health checks.

/// A load report. Values that the deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the endpoint, including queued ones.
    pub in_flight: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in slots' worth.
    pub free_memory: Option<f64>,
    /// Completed requests per second.
    pub requests_per_second: Option<f64>,
    /// CPU utilization, from 0 to about 1.
    pub cpu_utilization: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// Rejected for lack of capacity, without being read; it has not run.
    Rejected,
    /// Rejected by a response that may belong to an earlier request on the connection; it may have
    /// run.
    UnprovenRejection,
    /// No response in time; it may have run or may still be running.
    Timeout,
    /// The connection could not be established; it has not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by the dispatcher; it may have run.
    Cancelled,
    /// Not sent, for a reason unrelated to the endpoint; it has not run.
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
