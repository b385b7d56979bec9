//! Why a connection handles no more packets, and the ERROR packet that tells the peer.

use super::codec::{Malformed, Packet};

/// Why a connection handles no more packets.
#[derive(Debug, thiserror::Error)]
pub(super) enum InputEnd {
    /// The peer sent input that cannot be decoded.
    #[error(transparent)]
    Malformed(Malformed),
    /// The peer did not complete a packet in time.
    #[error("no whole packet came in time")]
    PacketTimeout,
    /// Memory is short, and the peer's unfinished packet had held the most for the longest time.
    #[error("not enough memory; try again later")]
    MemoryShort,
    /// Another connection needs the permit.
    #[error("too many connections are open; try again later")]
    TooManyConnections,
    /// The dispatcher is shutting down.
    #[error("submit it elsewhere")]
    ShuttingDown,
}

impl InputEnd {
    fn code(&self) -> &'static str {
        match self {
            InputEnd::Malformed(_) => "MALFORMED",
            InputEnd::PacketTimeout => "PACKET_TIMEOUT",
            InputEnd::MemoryShort => "MEMORY_SHORT",
            InputEnd::TooManyConnections => "TOO_MANY_CONNECTIONS",
            InputEnd::ShuttingDown => "SHUTTING_DOWN",
        }
    }

    /// Whether a peer that has sent nothing yet is told, too: its first packet may be on its way.
    pub(super) fn is_told_to_new_peers(&self) -> bool {
        matches!(self, InputEnd::TooManyConnections | InputEnd::ShuttingDown)
    }
}

impl From<&InputEnd> for Packet {
    fn from(end: &InputEnd) -> Packet {
        Packet::Error {
            code: end.code(),
            text: end.to_string(),
        }
    }
}
