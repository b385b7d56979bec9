//! The body of a request to a next hop, which knows when the request is about to be written.

use super::AttemptConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A body in one piece. hyper takes it in, and lets it go at once if it is empty, when it has put
/// the head into its buffer and has yet to write any of it: at that moment the branch gets its
/// number on the connection.
#[derive(Default)]
pub struct RequestBody {
    content: Option<Bytes>,
    of: Option<AttemptConnection>,
    latest: Option<Instant>,
}

impl RequestBody {
    /// The body of a branch's request, that is written by then or not at all.
    pub fn new(content: Bytes, of: AttemptConnection, latest: Option<Instant>) -> RequestBody {
        RequestBody {
            content: Some(content).filter(|c| !c.is_empty()),
            of: Some(of),
            latest,
        }
    }

    /// Prevents: the request of a branch that is over is written to a connection that came up too
    /// late for it; and, where the program stood still in between, one is written to a next hop
    /// that drains by now, or after the window for repeats.
    fn begin(&mut self) -> io::Result<()> {
        match self.of.take() {
            Some(of) if of.over() => {
                of.close();
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Some(of) if self.latest.is_some_and(|latest| Instant::now() > latest) => {
                of.set_late();
                of.close();
                Err(io::ErrorKind::TimedOut.into())
            }
            Some(of) => {
                of.begin();
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Err(e) = self.begin() {
            return Poll::Ready(Some(Err(e)));
        }
        Poll::Ready(self.content.take().map(|content| Ok(Frame::data(content))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content.as_ref().map_or(0, |c| c.len() as u64))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let _ = self.begin();
    }
}
