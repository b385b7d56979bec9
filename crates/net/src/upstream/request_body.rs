//! The body of a request to an endpoint, which notices when the request is about to be written.
//!
//! hyper polls the body, or drops it at once if it is empty, when it has put the head into its
//! buffer and has yet to write any of it. At that moment the attempt gets its request number on
//! the connection, or is stopped if it has ended or is too late.

use super::attempt::AttemptConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A request body in one piece.
#[derive(Default)]
pub(super) struct RequestBody {
    content: Option<Bytes>,
    /// The attempt's connection, until the request begins.
    connection: Option<AttemptConnection>,
    write_by: Option<Instant>,
}

impl RequestBody {
    /// The body of a request that is written by this time or not at all.
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

    /// Begins the request, once.
    ///
    /// The connection may have come up only after the attempt ended, and the process may have
    /// stalled in between: the endpoint may be draining by now, or the deduplication window over.
    fn begin(&mut self) -> io::Result<()> {
        let Some(connection) = self.connection.take() else {
            return Ok(());
        };
        if connection.has_ended() {
            connection.close();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.write_by.is_some_and(|limit| Instant::now() > limit) {
            connection.set_late();
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
        // The connection is closed if it fails; there is nobody left to return the error to.
        let _ = self.begin();
    }
}
