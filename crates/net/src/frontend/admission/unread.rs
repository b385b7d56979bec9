//! Reads what a client has sent without the reactor having reported it yet.
//!
//! A process that is held up may find that a timeout has expired or that the shutdown is due before
//! it learns from the reactor of bytes that have arrived meanwhile. A connection that seems unused
//! must not be closed over them without a response. Therefore the socket is read once more before.

use socket2::SockRef;
use std::io::Read;
use tokio::net::TcpStream;

/// Number of bytes that are read; the parser reads the rest.
const UNREAD_BUFFER_BYTES: usize = 4 << 10;

/// Reads bytes that have arrived; empty if there are none, or if the client has disconnected. Does
/// not wait.
pub fn read_unreported(stream: &TcpStream) -> Vec<u8> {
    let mut buffer = vec![0; UNREAD_BUFFER_BYTES];
    // The socket itself is read, because tokio does not try to before the reactor reports it.
    let length = (&*SockRef::from(stream)).read(&mut buffer).unwrap_or(0);
    buffer.truncate(length);
    buffer
}
