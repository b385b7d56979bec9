//! The receiving side of a connection: decodes what the peer sends, and limits how long one packet
//! may take and how much memory is held for it.

use super::codec::{Codec, Malformed, Received};
use super::input_end::InputEnd;
use crate::frontend::admission::{self, REQUEST_TIMEOUT};
use bytes::{BufMut, BytesMut};
use pumiceway_memory::{MemoryAccount, Revoked};
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// Limit of the bytes of one read.
const READ_BYTES: usize = 4 << 10;
/// The buffer may be this many times as large as what it holds.
const BUFFER_FACTOR: usize = 2;

/// Decodes packets and admin commands from the socket of a peer.
pub(super) struct Input {
    read_half: OwnedReadHalf,
    /// What was received and is not decoded yet.
    buffer: BytesMut,
    /// Pays for the buffer.
    account: MemoryAccount,
    /// When the first packet, or a later one that the peer has begun to send, must be complete.
    packet_deadline: Option<Instant>,
    /// A whole packet or admin command was received.
    has_received: bool,
    is_open: bool,
}

impl Input {
    /// Creates the input of a new connection, whose first packet must be complete by this time.
    pub(super) fn new(
        read_half: OwnedReadHalf,
        account: MemoryAccount,
        first_packet_deadline: Instant,
    ) -> Input {
        Input {
            read_half,
            buffer: BytesMut::new(),
            account,
            packet_deadline: Some(first_packet_deadline),
            has_received: false,
            is_open: true,
        }
    }

    /// The socket.
    pub(super) fn stream(&self) -> &TcpStream {
        self.read_half.as_ref()
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
        !self.buffer.is_empty()
    }

    /// Reads what the peer has sent and the reactor has not reported yet. Returns whether there is
    /// anything.
    pub(super) fn read_unreported(&mut self) -> bool {
        let unreported = admission::read_unreported(self.stream());
        self.buffer.extend_from_slice(&unreported);
        !unreported.is_empty()
    }

    /// Stops decoding: what the peer still sends is discarded.
    pub(super) fn close(&mut self) {
        self.is_open = false;
        self.drop_buffer();
    }

    fn drop_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.account.give_back(self.account.held());
    }

    /// Waits for the next packet or admin command; `None` once the peer has closed the connection.
    /// A closed input only waits for the latter.
    pub(super) async fn next(&mut self) -> Option<Result<Received, InputEnd>> {
        if !self.is_open {
            self.discard_until_closed().await;
            return None;
        }
        loop {
            if let Some(received) = self.next_received() {
                self.packet_deadline = None;
                self.has_received = true;
                return Some(received.map_err(InputEnd::Malformed));
            }
            match self.read().await {
                Ok(0) | Err(ReadError::Failed(_)) => return None,
                Ok(_) => {}
                Err(ReadError::MemoryShort(_)) => return Some(Err(InputEnd::MemoryShort)),
            }
        }
    }

    /// Decodes the next packet or admin command of which all bytes were received.
    pub(super) fn next_received(&mut self) -> Option<Result<Received, Malformed>> {
        let received = Codec.decode(&mut self.buffer).transpose();
        if self.buffer.is_empty() && self.account.held() > 0 {
            self.drop_buffer();
        }
        received
    }

    /// Reads a part of what the peer has sent, as soon as there is memory for it. Returns 0 at the end
    /// of the stream.
    async fn read(&mut self) -> Result<usize, ReadError> {
        loop {
            tokio::select! {
                biased;
                revoked = poll_fn(|cx| self.account.poll_revoked(cx)) => return Err(revoked.into()),
                readable = self.read_half.readable() => readable?,
            }
            self.draw_buffer().await?;
            match self
                .read_half
                .try_read_buf(&mut (&mut self.buffer).limit(READ_BYTES))
            {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => return Ok(read?),
            }
        }
    }

    /// Draws what the buffer may take after the next read.
    async fn draw_buffer(&mut self) -> Result<(), Revoked> {
        let needed = BUFFER_FACTOR * (self.buffer.len() + READ_BYTES);
        let missing = needed.saturating_sub(self.account.held());
        if missing > 0 {
            poll_fn(|cx| {
                self.account
                    .poll_draw(missing, std::time::Instant::now(), cx)
            })
            .await?;
        }
        Ok(())
    }

    /// Gives the peer its whole time for a packet that it has begun: none was read for a while.
    pub(super) fn restart_packet_deadline(&mut self) {
        if self.packet_deadline.is_some() {
            self.packet_deadline = Some(Instant::now() + REQUEST_TIMEOUT);
        }
    }

    async fn discard_until_closed(&mut self) {
        let stream = self.stream();
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Err(error) if error.kind() != ErrorKind::WouldBlock => return,
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

/// Why nothing was read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Failed(#[from] io::Error),
    #[error(transparent)]
    MemoryShort(#[from] Revoked),
}
