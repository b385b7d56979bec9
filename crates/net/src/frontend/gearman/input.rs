//! The receiving side of a connection: decodes what the peer sends, and limits how long one packet
//! may take.

use super::codec::{Codec, Malformed, Received};
use crate::frontend::admission::{self, REQUEST_TIMEOUT};
use futures_core::Stream;
use std::future::poll_fn;
use std::pin::Pin;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, FramedRead};

/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Decodes packets and admin commands from the socket of a peer.
pub(super) struct Input {
    frames: FramedRead<OwnedReadHalf, Codec>,
    /// When the first packet, or a later one that the peer has begun to send, must be complete.
    packet_deadline: Option<Instant>,
    /// A whole packet or admin command was received.
    has_received: bool,
    is_open: bool,
}

impl Input {
    /// Creates the input of a new connection, whose first packet must be complete by this time.
    pub(super) fn new(read_half: OwnedReadHalf, first_packet_deadline: Instant) -> Input {
        Input {
            frames: FramedRead::new(read_half, Codec),
            packet_deadline: Some(first_packet_deadline),
            has_received: false,
            is_open: true,
        }
    }

    /// The socket.
    pub(super) fn stream(&self) -> &TcpStream {
        self.frames.get_ref().as_ref()
    }

    /// Whether packets are still decoded.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Whether no byte was received on the connection.
    pub(super) fn is_new(&self) -> bool {
        !self.has_received && !self.has_partial_packet()
    }

    /// Whether bytes were received that are not decoded yet: a part of a packet, or packets that
    /// were received together with the last one.
    pub(super) fn has_partial_packet(&self) -> bool {
        !self.frames.read_buffer().is_empty()
    }

    /// Reads what the peer has sent and the reactor has not reported yet. Returns whether there is
    /// anything.
    pub(super) fn read_unreported(&mut self) -> bool {
        let unreported = admission::read_unreported(self.stream());
        self.frames.read_buffer_mut().extend_from_slice(&unreported);
        !unreported.is_empty()
    }

    /// Stops decoding: what the peer still sends is discarded.
    pub(super) fn close(&mut self) {
        self.is_open = false;
    }

    /// Waits for the next packet or admin command; `None` once the peer has closed the connection.
    /// A closed input only waits for the latter.
    pub(super) async fn next(&mut self) -> Option<Result<Received, Malformed>> {
        if !self.is_open {
            self.discard_until_closed().await;
            return None;
        }
        let received = match self.next_received() {
            Some(received) => Some(received),
            None => poll_fn(|cx| Pin::new(&mut self.frames).poll_next(cx)).await,
        };
        self.packet_deadline = None;
        self.has_received = true;
        received
    }

    /// Decodes the next packet or admin command of which all bytes were received.
    pub(super) fn next_received(&mut self) -> Option<Result<Received, Malformed>> {
        let buffer = self.frames.read_buffer_mut();
        Codec.decode(buffer).transpose()
    }

    async fn discard_until_closed(&mut self) {
        let stream = self.stream();
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Returns whether a packet is overdue. If part of a packet was received that has no deadline
    /// yet, its deadline starts now.
    pub(super) fn is_packet_overdue(&mut self) -> bool {
        let now = Instant::now();
        if self.is_open && self.packet_deadline.is_some_and(|deadline| deadline <= now) {
            return true;
        }
        if self.has_partial_packet() {
            self.packet_deadline.get_or_insert(now + REQUEST_TIMEOUT);
        }
        false
    }
}
