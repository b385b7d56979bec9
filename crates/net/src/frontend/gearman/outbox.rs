//! The sending side of a connection: a queue, and the task that writes it.
//!
//! A packet may be the only response to a job, so a peer that reads has to get each of them, however
//! short memory is. Therefore to queue a packet is never refused: memory was drawn for its data when
//! the data was made (see [`payload`](super::payload)), and what the queue adds is small. As long as
//! too much is queued, the connection handles no more packets of the peer.
//!
//! A peer that does not read must not keep what others need. While it takes nothing, its
//! queue counts with all that is in it, and may be revoked; then the connection is closed.

use super::codec::Packet;
use bytes::{Bytes, BytesMut};
use pumiceway_memory::{MemoryAccount, Revoked};
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;

/// With as many messages, or as many bytes of data, the queue is backlogged.
const BACKLOG_MESSAGES: usize = 1_024;
const BACKLOG_BYTES: usize = 256 << 10;
/// How long a peer that reads may take nothing while a message is written to it.
const READ_WINDOW: Duration = Duration::from_secs(1);
/// After as many windows in which the peer has taken nothing, its connection is closed.
const MAX_SILENT_WINDOWS: u32 = 10;
/// A buffer with a larger capacity is not kept for the next message.
const MAX_KEPT_BUFFER_BYTES: usize = 4 << 10;
/// What a message takes beside its data.
const MESSAGE_BYTES: usize = 256;

/// Why nothing more is written to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum OutboxEnd {
    /// Its connection has failed.
    #[error("the peer is gone")]
    PeerGone,
    /// It has taken nothing for too long.
    #[error("the peer does not read its packets")]
    NotReading,
    /// It takes nothing, and what is queued for it is needed for others.
    #[error("the peer does not read its packets, and memory is short")]
    MemoryShort,
}

/// A message to a peer.
enum Message {
    Packet(Packet),
    /// The response to an admin command.
    Text(Bytes),
}

impl Message {
    fn data_bytes(&self) -> usize {
        match self {
            Message::Packet(packet) => packet.data_bytes(),
            Message::Text(text) => text.len(),
        }
    }

    fn encode(&self, buffer: &mut BytesMut) {
        match self {
            Message::Packet(packet) => packet.encode(buffer),
            Message::Text(text) => buffer.extend_from_slice(text),
        }
    }
}

/// How much is queued for a peer, and what it draws.
struct Load {
    account: MemoryAccount,
    messages: usize,
    /// Drawn by whoever has made the data.
    data_bytes: usize,
}

impl Load {
    fn add(&mut self, data_bytes: usize) {
        self.messages += 1;
        self.data_bytes += data_bytes;
        let now = std::time::Instant::now();
        self.account.draw_unrefused(MESSAGE_BYTES, now);
        self.account.set_releases(self.data_bytes);
    }

    fn remove(&mut self, data_bytes: usize) {
        self.messages -= 1;
        self.data_bytes -= data_bytes;
        self.account.set_releases(self.data_bytes);
        self.account.give_back(MESSAGE_BYTES);
    }

    fn is_backlogged(&self) -> bool {
        self.messages >= BACKLOG_MESSAGES || self.data_bytes >= BACKLOG_BYTES
    }

    /// The peer takes nothing: what is queued for it may be revoked.
    fn stall(&mut self) {
        let now = std::time::Instant::now();
        let stalled_since = now.checked_sub(READ_WINDOW).unwrap_or(now);
        self.account.unsettle(stalled_since);
    }

    /// The peer reads: what is queued for it cannot be revoked, unless it has been.
    fn resume(&mut self) -> Result<(), Revoked> {
        self.account.settle(std::time::Instant::now())
    }
}

/// The state that the queue and all clones of its outbox share.
struct Shared {
    load: Mutex<Load>,
    /// Notified when the queue is no longer backlogged.
    drained: Notify,
}

impl Shared {
    fn load(&self) -> MutexGuard<'_, Load> {
        self.load
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn remove(&self, data_bytes: usize) {
        let mut load = self.load();
        let was_backlogged = load.is_backlogged();
        load.remove(data_bytes);
        if was_backlogged && !load.is_backlogged() {
            self.drained.notify_one();
        }
    }

    async fn revoked(&self) -> Revoked {
        poll_fn(|cx| self.load().account.poll_revoked(cx)).await
    }
}

/// Queues messages to the peer of a connection. Clones share the queue.
#[derive(Clone)]
pub struct Outbox {
    messages: mpsc::UnboundedSender<Message>,
    shared: Arc<Shared>,
    end: watch::Receiver<Option<OutboxEnd>>,
    peer: Arc<str>,
}

/// The messages that are queued for a peer.
pub(super) struct Queue {
    messages: mpsc::UnboundedReceiver<Message>,
    shared: Arc<Shared>,
    end: watch::Sender<Option<OutboxEnd>>,
}

impl Outbox {
    /// Creates an outbox, and the queue that [`Queue::write`] writes.
    pub(super) fn new(peer: &str, mut account: MemoryAccount) -> (Outbox, Queue) {
        // Fails only if the account was revoked; then the queue ends with the first message.
        let _ = account.settle(std::time::Instant::now());
        let (messages, queue) = mpsc::unbounded_channel();
        let (end, ended) = watch::channel(None);
        let load = Load {
            account,
            messages: 0,
            data_bytes: 0,
        };
        let shared = Arc::new(Shared {
            load: Mutex::new(load),
            drained: Notify::new(),
        });
        let outbox = Outbox {
            messages,
            shared: shared.clone(),
            end: ended,
            peer: peer.into(),
        };
        let queue = Queue {
            messages: queue,
            shared,
            end,
        };
        (outbox, queue)
    }

    /// Queues a packet; messages are written in the order in which they are queued. Memory must have
    /// been drawn for its data.
    pub fn send(&self, packet: Packet) {
        self.enqueue(Message::Packet(packet));
    }

    /// Queues the response to an admin command, for which memory was drawn.
    pub(super) fn send_text(&self, text: Bytes) {
        self.enqueue(Message::Text(text));
    }

    fn enqueue(&self, message: Message) {
        let data_bytes = message.data_bytes();
        self.shared.load().add(data_bytes);
        // Fails if nothing more is written to the peer.
        if self.messages.send(message).is_err() {
            self.shared.remove(data_bytes);
        }
    }

    /// Whether so much is queued that the peer has to read before it is sent more.
    pub(super) fn is_backlogged(&self) -> bool {
        self.shared.load().is_backlogged()
    }

    /// Waits until the queue is no longer backlogged. Only one task may wait.
    pub(super) async fn drained(&self) {
        self.shared.drained.notified().await;
    }

    /// Waits until nothing more is written to the peer.
    pub(super) async fn ended(&self) -> OutboxEnd {
        let mut end = self.end.clone();
        let ended = end.wait_for(Option::is_some).await;
        ended
            .ok()
            .and_then(|end| *end)
            .unwrap_or(OutboxEnd::PeerGone)
    }

    /// The address of the peer.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }
}

impl Queue {
    /// Writes queued messages until all clones of the outbox are dropped and the queue is empty, or
    /// until nothing more can be written.
    pub(super) async fn write(mut self, mut stream: OwnedWriteHalf) {
        let written = self.write_messages(&mut stream).await;
        // What is left in the queue is dropped with it.
        self.messages.close();
        while let Ok(message) = self.messages.try_recv() {
            self.shared.remove(message.data_bytes());
        }
        if let Err(end) = written {
            self.end.send_replace(Some(end));
        }
    }

    async fn write_messages(&mut self, stream: &mut OwnedWriteHalf) -> Result<(), OutboxEnd> {
        let mut buffer = BytesMut::new();
        while let Some(message) = self.messages.recv().await {
            message.encode(&mut buffer);
            let written = self.write_out(stream, &mut buffer).await;
            self.shared.remove(message.data_bytes());
            written?;
            if buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
                buffer = BytesMut::new();
            }
        }
        Ok(())
    }

    /// Writes the buffer, and observes whether the peer reads.
    async fn write_out(
        &self,
        stream: &mut OwnedWriteHalf,
        buffer: &mut BytesMut,
    ) -> Result<(), OutboxEnd> {
        let mut silent_windows = 0;
        loop {
            let before = buffer.len();
            let written = tokio::select! {
                biased;
                Revoked = self.shared.revoked(), if silent_windows > 0 => return Err(OutboxEnd::MemoryShort),
                written = timeout(READ_WINDOW, stream.write_all_buf(buffer)) => written,
            };
            let taken = before - buffer.len();
            match written {
                Ok(Ok(())) => return self.resume(),
                Ok(Err(_)) => return Err(OutboxEnd::PeerGone),
                Err(_) => {}
            }
            if taken > 0 {
                self.resume()?;
                silent_windows = 0;
                continue;
            }
            self.shared.load().stall();
            silent_windows += 1;
            if silent_windows >= MAX_SILENT_WINDOWS {
                return Err(OutboxEnd::NotReading);
            }
        }
    }

    fn resume(&self) -> Result<(), OutboxEnd> {
        let resumed = self.shared.load().resume();
        resumed.map_err(|Revoked| OutboxEnd::MemoryShort)
    }
}
