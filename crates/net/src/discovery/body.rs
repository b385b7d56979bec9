//! The body of a discovery response, with a lower bound on the time at which each part was written.
//!
//! A process that was suspended must not take data as current that arrived during the suspension.
//! The reader therefore records when the connection was last observed to be empty: whatever it
//! reads next was written after that time.

use super::call::CallResponse;
use bytes::Bytes;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A read that receives nothing for this long records that the connection was empty.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Why reading a body failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// Nothing was received until the deadline.
    #[error("timed out waiting for data")]
    TimedOut,
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// A response body that tracks the earliest time at which its next part can have been written.
pub(super) struct TimestampedBody {
    response: CallResponse,
    /// Everything that was written before this time has been read.
    read_up_to: Instant,
}

impl TimestampedBody {
    /// Wraps the response to a call that was started at `called_at`.
    pub(super) fn new(response: CallResponse, called_at: Instant) -> TimestampedBody {
        TimestampedBody {
            response,
            read_up_to: called_at,
        }
    }

    /// Returns the earliest time at which the next part can have been written.
    pub(super) fn read_up_to(&self) -> Instant {
        self.read_up_to
    }

    /// Reads the next part of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is received until the deadline or the connection breaks.
    pub(super) async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, ReadError> {
        loop {
            let read_at = Instant::now();
            let read_until = deadline.min(read_at + READ_INTERVAL);
            match timeout_at(read_until, self.response.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => return Ok(Some(frame?.into_data().unwrap_or_default())),
                Err(_) if deadline <= read_at => return Err(ReadError::TimedOut),
                // The runtime fires timers only after it has polled for I/O, so everything that had
                // arrived by `read_at` would have been read.
                Err(_) => self.read_up_to = read_at,
            }
        }
    }
}
