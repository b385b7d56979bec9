//! Attempts: each sends a request to one endpoint once.

use bytes::Bytes;

/// Id of an attempt; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Progress of an attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has started.
    Started,
    /// The completed fraction of the job, from 0 to 1.
    Fraction(f64),
    /// Partial result, to be forwarded to the client.
    Data(Bytes),
    /// A warning, to be forwarded to the client.
    Warning(Bytes),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned this result.
    Served(Bytes),
    /// The endpoint responded with an error; the job may have run.
    Error,
    /// The endpoint reported that the job is invalid, which holds for all other endpoints as well.
    InvalidJob,
    /// The endpoint rejected the job or returned it unprocessed; it has not run.
    Rejected,
    /// A response on a reused connection says that the job was rejected. It may be a late response to
    /// an earlier job, so this one may have run.
    UnprovenRejection,
    /// The job provably never reached the endpoint.
    ConnectFailed,
    /// The dispatcher did not send the job: it had no free socket, or stalled until after the write
    /// deadline. The job has not run, and the outcome does not count against the endpoint.
    NotSent,
    /// The connection closed before the result arrived; the job may have run.
    Reset,
    /// Like [`Reset`](AttemptOutcome::Reset), but on a reused connection and before any byte of a
    /// response: the endpoint may be healthy.
    IdleConnectionReset,
    /// No result in time; the job may have run or may still be running.
    TimedOut,
}

impl AttemptOutcome {
    /// The name of the outcome in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            AttemptOutcome::Served(_) => "served",
            AttemptOutcome::Error => "error",
            AttemptOutcome::InvalidJob => "invalid_job",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::UnprovenRejection => "unproven_rejection",
            AttemptOutcome::ConnectFailed => "connect_failed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Reset => "reset",
            AttemptOutcome::IdleConnectionReset => "idle_connection_reset",
            AttemptOutcome::TimedOut => "timed_out",
        }
    }
}
