//! Turns: how much a connection handles before it waits for the event loop.

use super::codec::Received;

/// Number of packets, and bytes of their data, that are handled in one turn.
const MAX_PACKETS: usize = 32;
const MAX_BYTES: usize = 32 << 10;

/// What a connection has handled since it last waited for the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Turn {
    packets: usize,
    bytes: usize,
}

impl Turn {
    /// Counts a packet or command.
    pub(super) fn count(&mut self, received: &Received) {
        self.packets += 1;
        if let Received::Packet(packet) = received {
            self.bytes += packet.data_bytes();
        }
    }

    /// Whether the turn is over. If so, the next one begins.
    pub(super) fn end_if_over(&mut self) -> bool {
        let is_over = self.packets >= MAX_PACKETS || self.bytes >= MAX_BYTES;
        if is_over {
            *self = Turn::default();
        }
        is_over
    }
}
