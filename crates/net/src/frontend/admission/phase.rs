//! The phases of a client connection, and the timeout of each.

use std::time::Duration;

/// Time to receive a complete request, measured from the start of the connection for the first
/// request, and from the first byte for later ones.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to write a complete response to the client.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a connection may stay open between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time to wait for the response of the core. It exceeds the deadline of any request, which the
/// core enforces.
const AWAITING_RESPONSE_TIMEOUT: Duration = Duration::from_secs(48 * 60 * 60);
/// Time for the client to read the last response and to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// The first request is incomplete.
    FirstRequest,
    /// Between two requests.
    Idle,
    /// A later request is incomplete.
    ReadingRequest,
    /// A request was submitted and its response is pending.
    AwaitingResponse,
    /// A response is being written.
    WritingResponse,
    /// The last response was written, and the client is to close its side.
    Closing,
}

impl ConnectionPhase {
    pub(super) fn timeout(self) -> Duration {
        match self {
            ConnectionPhase::FirstRequest | ConnectionPhase::ReadingRequest => REQUEST_TIMEOUT,
            ConnectionPhase::Idle => IDLE_TIMEOUT,
            ConnectionPhase::AwaitingResponse => AWAITING_RESPONSE_TIMEOUT,
            ConnectionPhase::WritingResponse => RESPONSE_TIMEOUT,
            ConnectionPhase::Closing => LINGER_TIMEOUT,
        }
    }

    /// Whether a connection in this phase may be closed, with an error if a request has begun.
    pub(super) fn may_be_given_up(self) -> bool {
        self == ConnectionPhase::Idle || self.is_receiving_request()
    }

    pub(super) fn is_receiving_request(self) -> bool {
        matches!(
            self,
            ConnectionPhase::FirstRequest | ConnectionPhase::ReadingRequest
        )
    }

    /// The name of the phase in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ConnectionPhase::FirstRequest => "first_request",
            ConnectionPhase::Idle => "idle",
            ConnectionPhase::ReadingRequest => "reading_request",
            ConnectionPhase::AwaitingResponse => "awaiting_response",
            ConnectionPhase::WritingResponse => "writing_response",
            ConnectionPhase::Closing => "closing",
        }
    }
}
