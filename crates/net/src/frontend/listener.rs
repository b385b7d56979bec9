//! What the accept loops of all frontends have in common.

use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which would fail again at once if file descriptors are exhausted.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit of the connections that are accepted from the backlog on shutdown.
const MAX_ACCEPTED_ON_CLOSE: usize = 1_024;

/// Accepts the connections in the backlog of the listener, and closes the listener. Closing it
/// resets the connections that are still in the backlog.
pub(super) fn accept_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    std::iter::from_fn(|| listener.accept().ok())
        .take(MAX_ACCEPTED_ON_CLOSE)
        .filter_map(|(stream, _)| into_tokio(stream))
        .collect()
}

fn into_tokio(stream: std::net::TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
