//! The body of a request to an endpoint, which detects when the request is about to be written.
//!
//! hyper polls the body, or drops it if it is empty, after it has buffered the head and before it
//! writes any of it. At that point the request gets its number on the connection, or fails if its
//! attempt has ended or its write deadline has passed.

use super::attempt::AttemptConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A request body that consists of a single data frame, or is empty.
#[derive(Default)]
pub(super) struct RequestBody {
    content: Option<Bytes>,
    /// The attempt's connection; `None` once the request has begun.
    connection: Option<AttemptConnection>,
    write_by: Option<Instant>,
}

impl RequestBody {
    /// Creates the body of a request that fails if writing it has not begun by `write_by`.
    pub(super) fn new(
        content: Bytes,
        connection: AttemptConnection,
        write_by: Option<Instant>,
    ) -> RequestBody {
        RequestBody {
            content: Some(content).filter(|content| !content.is_empty()),
            connection: Some(connection),
            write_by,
        }
    }

    /// Begins the request on the first call.
    ///
    /// The checks are needed because the connection may be established only after the attempt has
    /// ended, and because the process may have stalled since the attempt began: by now the endpoint
    /// may be draining, or the deduplication window may have ended.
    fn begin(&mut self) -> io::Result<()> {
        let Some(connection) = self.connection.take() else {
            return Ok(());
        };
        if connection.has_ended() {
            connection.close();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.write_by.is_some_and(|limit| Instant::now() > limit) {
            connection.set_missed_write_deadline();
            connection.close();
            return Err(io::ErrorKind::TimedOut.into());
        }
        connection.begin_request();
        Ok(())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Err(error) = self.begin() {
            return Poll::Ready(Some(Err(error)));
        }
        Poll::Ready(self.content.take().map(|content| Ok(Frame::data(content))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content.as_ref().map_or(0, Bytes::len) as u64)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        // The error cannot be returned from here. The connection is closed in that case.
        let _ = self.begin();
    }
}
