//! Closing a connection once its HTTP parser has let go of it.
//!
//! Closing a socket with unread bytes resets the connection, and a reset may discard a response
//! that the client has not read. So the sending side is shut down first, and what the client still
//! sends is read and discarded until it closes too, within the linger timeout.

use super::connection::{ClientConnection, ConnectionPhase, Eviction};
use super::discard::drain;
use socket2::SockRef;
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// `Retry-After` of a response to a client that exceeds the connection limit, in seconds.
pub const RETRY_AFTER_SECONDS: &str = "1";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// All its responses are written, or its client has disconnected.
    Completed,
    /// The timeout of its phase has ended.
    TimedOut,
    /// It was evicted for another connection.
    Evicted,
    /// The process shuts down.
    ShuttingDown,
}

impl EndReason {
    /// The name of the reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Completed => "completed",
            EndReason::TimedOut => "timed_out",
            EndReason::Evicted => "evicted",
            EndReason::ShuttingDown => "shutting_down",
        }
    }
}

/// A response that is written past the HTTP parser, as the last one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The request was not received in time.
    RequestTimeout,
    /// There is no capacity for the connection.
    Overloaded,
}

impl FinalResponse {
    fn encode(self) -> String {
        match self {
            FinalResponse::RequestTimeout => {
                encode("408 Request Timeout", "", "the request took too long")
            }
            FinalResponse::Overloaded => {
                let retry_after = format!("retry-after: {RETRY_AFTER_SECONDS}\r\n");
                encode("503 Service Unavailable", &retry_after, "")
            }
        }
    }
}

fn encode(status: &str, header: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{header}connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Closes a connection: sends the final response, shuts down the sending side, and discards what
/// the client still sends until it has closed too, or until the linger timeout.
pub async fn close(
    stream: &TcpStream,
    connection: &ClientConnection,
    final_response: Option<FinalResponse>,
) {
    connection.enter(ConnectionPhase::Closing);
    let socket = SockRef::from(stream);
    if let Some(response) = final_response {
        // Not through tokio, which may not have seen the socket become writable yet. A client whose
        // buffer has no space for so little reads nothing.
        let _ = socket.send(response.encode().as_bytes());
    }
    let _ = socket.shutdown(Shutdown::Write);
    tokio::select! {
        () = drain(stream, connection) => {}
        () = sleep_until(connection.phase_deadline()) => {}
        () = connection.evicted(Eviction::Immediate) => {}
    }
}
