//! Attempts: single tries to have a request served by an endpoint.

use bytes::Bytes;

/// Handle of an attempt; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Progress of an attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has started.
    Started,
    /// This fraction of the job is done, from 0 to 1.
    Fraction(f64),
    /// Part of the result, for the client.
    Data(Bytes),
    /// A warning for the client.
    Warning(Bytes),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served, with this result.
    Served(Bytes),
    /// The endpoint failed; the job may have run.
    Error,
    /// The endpoint says that the job is invalid, as any other would.
    InvalidJob,
    /// The endpoint rejected the job or handed it back; it has not run.
    Rejected,
    /// It provably never reached the endpoint.
    ConnectFailed,
    /// The dispatcher lacked what it takes to send it: it never ran, and that says nothing about
    /// the endpoint.
    NotSent,
    /// The connection ended before the result; the job may have run.
    Reset,
    /// The same before any response, on a connection reused after an earlier one: the endpoint may
    /// be well.
    IdleConnectionReset,
    /// No longer waited for; the job may have run or may still be running.
    TimedOut,
}

impl AttemptOutcome {
    /// The outcome as the log names it.
    pub fn as_str(&self) -> &'static str {
        match self {
            AttemptOutcome::Served(_) => "served",
            AttemptOutcome::Error => "error",
            AttemptOutcome::InvalidJob => "invalid_job",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::ConnectFailed => "connect_failed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Reset => "reset",
            AttemptOutcome::IdleConnectionReset => "idle_connection_reset",
            AttemptOutcome::TimedOut => "timed_out",
        }
    }
}
