//! The body of a discovery response, with a bound on how long ago each part of it was written.
//!
//! A process that was suspended must not take for new what it then reads. So the reader notes when
//! the connection was last seen to be empty: what it reads next was written after that.

use super::call::CallResponse;
use bytes::Bytes;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a read waits before it notes that the connection was empty.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Why a body cannot be read further.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// Nothing was received until the deadline.
    #[error("nothing was received in time")]
    Silent,
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// A response body, and the earliest time at which what is read next was written.
pub(super) struct DatedBody {
    response: CallResponse,
    /// All that was written before this time has been read.
    read_up_to: Instant,
}

impl DatedBody {
    /// The body of the response to a call that was begun at this time.
    pub(super) fn new(response: CallResponse, called_at: Instant) -> DatedBody {
        DatedBody {
            response,
            read_up_to: called_at,
        }
    }

    /// What is read next was written at this time or later.
    pub(super) fn read_up_to(&self) -> Instant {
        self.read_up_to
    }

    /// The next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Nothing is received until the deadline, or the connection breaks.
    pub(super) async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, ReadError> {
        loop {
            let read_at = Instant::now();
            let read_until = deadline.min(read_at + READ_INTERVAL);
            match timeout_at(read_until, self.response.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => return Ok(Some(frame?.into_data().unwrap_or_default())),
                Err(_) if deadline <= read_at => return Err(ReadError::Silent),
                // A timer fires only after the runtime has polled the system for input, so all that
                // had arrived at `read_at` would have been read by now.
                Err(_) => self.read_up_to = read_at,
            }
        }
    }
}
