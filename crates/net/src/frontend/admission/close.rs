//! Closes a connection after its protocol parser has released it.
//!
//! Closing a socket with unread bytes resets the connection, and a reset may discard a response
//! that the client has not read yet. Therefore the sending side is shut down first, and what the
//! client still sends is read and discarded until the client closes its side, or until the linger
//! timeout.

use super::connection::ClientConnection;
use super::discard::discard_until_closed;
use super::eviction::Eviction;
use super::phase::ConnectionPhase;
use socket2::SockRef;
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Value of `Retry-After`, in seconds, in responses to clients over the connection limit.
pub const RETRY_AFTER_SECONDS: &str = "1";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// All responses were written, or the client has disconnected.
    Completed,
    /// The HTTP parser cannot read the request.
    Malformed,
    /// Too many bytes were received while a request waited for its response.
    ExcessBytes,
    /// The timeout of the current phase has expired.
    TimedOut,
    /// The connection was evicted to admit another one.
    Evicted,
    /// Memory is short, and the connection had held the most for the longest time.
    MemoryShort,
    /// The process is shutting down.
    ShuttingDown,
}

impl EndReason {
    /// The name of the reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Completed => "completed",
            EndReason::Malformed => "malformed",
            EndReason::ExcessBytes => "excess_bytes",
            EndReason::TimedOut => "timed_out",
            EndReason::Evicted => "evicted",
            EndReason::MemoryShort => "memory_short",
            EndReason::ShuttingDown => "shutting_down",
        }
    }
}

/// A response that is written without the HTTP parser, as the last one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The request cannot be read.
    BadRequest,
    /// The request was given up after it was submitted, so the job may have run.
    Failed,
    /// The request was not received in time.
    RequestTimeout,
    /// There is no capacity for the connection.
    Overloaded,
}

impl FinalResponse {
    /// The name of the response in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            FinalResponse::BadRequest => "bad_request",
            FinalResponse::Failed => "failed",
            FinalResponse::RequestTimeout => "request_timeout",
            FinalResponse::Overloaded => "overloaded",
        }
    }

    fn encode(self) -> String {
        match self {
            FinalResponse::BadRequest => encode("400 Bad Request", "", "the request can't be read"),
            FinalResponse::Failed => encode(
                "502 Bad Gateway",
                "",
                "too many bytes came after the request",
            ),
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

/// Closes a connection: sends the final response, shuts down the sending side, and discards input
/// until the client closes its side, the linger timeout expires, or the connection is evicted.
pub async fn close(
    stream: &TcpStream,
    connection: &ClientConnection,
    final_response: Option<FinalResponse>,
) {
    connection.enter(ConnectionPhase::Closing);
    connection.return_memory();
    let socket = SockRef::from(stream);
    if let Some(response) = final_response {
        // Written directly, because tokio may not know yet that the socket is writable. A failed
        // write is ignored: a client whose buffers are too full for so short a response is not
        // reading.
        let _ = socket.send(response.encode().as_bytes());
    }
    let _ = socket.shutdown(Shutdown::Write);
    tokio::select! {
        () = discard_until_closed(stream, connection) => {}
        () = sleep_until(connection.phase_deadline()) => {}
        () = connection.wait_for_eviction(Eviction::Immediate) => {}
    }
}
