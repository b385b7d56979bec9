//! Reads and discards bytes that belong to no request.
//!
//! While the HTTP parser holds bytes that it cannot process yet, it does not read and does not
//! notice that the client has disconnected. Therefore the bytes that a client sends while its
//! request waits for a response, or after the last response, are read here instead.

use super::connection::ClientConnection;
use super::read_closed::is_read_closed;
use std::io;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// Size of the buffer for a single read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Discards input while a request waits for its response. Ready once the client has disconnected; a
/// client that shuts down only its sending side counts as disconnected too.
///
/// # Errors
///
/// Returns an error if the connection has failed, or if the discarded bytes exceed the limit.
pub fn poll_disconnected(
    stream: &TcpStream,
    connection: &ClientConnection,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    while connection.is_awaiting_response() {
        ready!(stream.poll_read_ready(cx))?;
        if is_read_closed(stream) {
            return Poll::Ready(Ok(()));
        }
        if discard_available(stream, connection)? == Discarded::EndOfStream {
            return Poll::Ready(Ok(()));
        }
    }
    Poll::Pending
}

/// Discards input until the client has closed its side, the connection has failed, or the discarded
/// bytes exceed the limit.
pub(super) async fn discard_until_closed(stream: &TcpStream, connection: &ClientConnection) {
    while stream.readable().await.is_ok() {
        match discard_available(stream, connection) {
            Ok(Discarded::Available) => {}
            Ok(Discarded::EndOfStream) | Err(_) => return,
        }
    }
}

#[derive(PartialEq, Eq)]
enum Discarded {
    /// The available bytes, of which there may be none.
    Available,
    EndOfStream,
}

// Not inlined, so that polls that find nothing to read do not allocate the buffer on their stack.
#[inline(never)]
fn discard_available(stream: &TcpStream, connection: &ClientConnection) -> io::Result<Discarded> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    match stream.try_read(&mut buffer) {
        Ok(0) => Ok(Discarded::EndOfStream),
        Ok(bytes) => connection.discarded(bytes).map(|()| Discarded::Available),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Discarded::Available),
        Err(error) => Err(error),
    }
}
