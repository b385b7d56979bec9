//! A body that is read with a bound on how long ago each part of it was written.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long the connection is waited on before it is noted that nothing had come.
const LOOK: Duration = Duration::from_millis(100);

/// Why reading a body came to an end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// Nothing came for too long.
    #[error("silent for too long")]
    Silent,
    /// The connection broke.
    #[error("broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// A body, and since when at the earliest what is read next was written.
///
/// Prevents: a process that stood still reads what was written long ago as if it were new.
pub(super) struct DatedBody {
    body: Incoming,
    /// All that was written before this has been read.
    read_up_to: Instant,
}

impl DatedBody {
    /// The body of an answer to a call that was begun at this time.
    pub(super) fn new(body: Incoming, called: Instant) -> DatedBody {
        DatedBody {
            body,
            read_up_to: called,
        }
    }

    /// What is read next was written at this time or later.
    pub(super) fn read_up_to(&self) -> Instant {
        self.read_up_to
    }

    /// The next part; `None` at its end. Silence up to this time is an error.
    pub(super) async fn next(&mut self, end: Instant) -> Result<Option<Bytes>, ReadError> {
        loop {
            let looked = Instant::now();
            match timeout_at(end.min(looked + LOOK), self.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => return Ok(Some(frame?.into_data().unwrap_or_default())),
                Err(_) if end <= looked => return Err(ReadError::Silent),
                // A timer goes off only after the runtime has asked the system what has arrived, so
                // what had come when we looked would have been read by now.
                Err(_) => self.read_up_to = looked,
            }
        }
    }
}
