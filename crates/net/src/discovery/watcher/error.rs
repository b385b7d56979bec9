//! Why a watch ends.

use crate::discovery::body::ReadError;
use crate::discovery::call::CallError;
use crate::discovery::list_text::MAX_MESSAGE_BYTES;
use pumiceway_memory::Revoked;

/// Why a watch, or the calls that open it, ended.
#[derive(Debug, thiserror::Error)]
pub(in crate::discovery) enum WatchError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Reading a response failed or timed out.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The service ended the watch.
    #[error("the service ended the watch")]
    Ended,
    /// A message cannot be used; a snapshot is requested next.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// The service stays at a version lower than one that it sent before.
    #[error("the service stays at a lower list version than it sent before")]
    Outdated,
    /// There is no memory for a list.
    #[error(transparent)]
    MemoryShort(#[from] Revoked),
    /// The receiver of the updates was dropped.
    #[error("the receiver was dropped")]
    ReceiverDropped,
}

/// Why a message cannot be used.
#[derive(Debug, thiserror::Error)]
pub(in crate::discovery) enum MalformedMessage {
    /// The message is not a list.
    #[error("{}:{}: {error}", error.line(), error.column())]
    Json {
        /// Where and why it cannot be parsed.
        #[from]
        error: serde_json::Error,
    },
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The message names more endpoints than the dispatcher can keep.
    #[error("list names more than {0} endpoints")]
    TooManyEndpoints(usize),
    /// The message is a delta, but no snapshot has been received.
    #[error("delta received before a snapshot")]
    DeltaWithoutList,
    /// The message is a delta with a lower version than the list.
    #[error("delta is older than the list")]
    OutdatedDelta,
    /// The service restarted its numbering at a lower version, but sent only a delta.
    #[error("the service restarted its list versions without a snapshot")]
    Renumbered,
}
