//! Reading and discarding bytes that belong to no request.
//!
//! The HTTP parser stops reading while it has bytes that it cannot use yet, and then does not see
//! the end of the connection. So what a client sends while its request waits for a response, or
//! after the last response, is read here instead.

use super::connection::ClientConnection;
use std::io;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// Bytes that are read at a time.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Discards what the client sends while its request waits for a response. Ready once the client has
/// disconnected.
///
/// # Errors
///
/// The connection has failed, or the client has sent more than is tolerated.
pub fn poll_disconnected(
    stream: &TcpStream,
    connection: &ClientConnection,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    while connection.is_awaiting_response() {
        ready!(stream.poll_read_ready(cx))?;
        if discard_available(stream, connection)? == Discarded::EndOfStream {
            return Poll::Ready(Ok(()));
        }
    }
    Poll::Pending
}

/// Discards what the client sends until it has closed its side, the connection has failed, or the
/// client has sent more than is tolerated.
pub(super) async fn drain(stream: &TcpStream, connection: &ClientConnection) {
    while stream.readable().await.is_ok() {
        match discard_available(stream, connection) {
            Ok(Discarded::Some) => {}
            Ok(Discarded::EndOfStream) | Err(_) => return,
        }
    }
}

#[derive(PartialEq, Eq)]
enum Discarded {
    /// What was available, which may be nothing.
    Some,
    EndOfStream,
}

// Not inlined, so that a poll that finds nothing to read has no such buffer on its stack.
#[inline(never)]
fn discard_available(stream: &TcpStream, connection: &ClientConnection) -> io::Result<Discarded> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    match stream.try_read(&mut buffer) {
        Ok(0) => Ok(Discarded::EndOfStream),
        Ok(bytes) => connection.discarded(bytes).map(|()| Discarded::Some),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Discarded::Some),
        Err(error) => Err(error),
    }
}
