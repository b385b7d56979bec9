//! Why a watch ends.

use crate::discovery::body::ReadError;
use crate::discovery::call::CallError;

/// A list, and each message of a watch, may be this long in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a watch, or the calls that open it, ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// A call has no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A response broke off, or nothing was received for too long.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The service ended the watch.
    #[error("the service ended the watch")]
    Ended,
    /// A message cannot be used: the next call requests a snapshot.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// The service stays at a version below one that it has sent before.
    #[error("the service stays at an older version than it has sent before")]
    Outdated,
    /// Nobody receives the updates any more.
    #[error("the receiver was dropped")]
    ReceiverDropped,
}

/// Why a message cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedMessage {
    /// It is not a list.
    #[error("{}:{}: {error}", error.line(), error.column())]
    Json {
        /// Where and why it cannot be parsed.
        #[from]
        error: serde_json::Error,
    },
    /// It is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// It is a delta to a list that was never received.
    #[error("delta received before a snapshot")]
    DeltaWithoutList,
    /// It is a delta to an older version than the one received before.
    #[error("delta received that is older than the list")]
    OutdatedDelta,
    /// The service numbers its versions from a lower one again, and sent only a delta.
    #[error("the service has restarted its version numbers")]
    Renumbered,
}
