//! The sending side of a connection: a bounded queue, and the task that writes it.
//!
//! Sending never blocks. If a peer does not read, its queue fills up and its connection is closed.

use super::codec::Packet;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Number of messages that may be queued for a peer.
const QUEUE_CAPACITY: usize = 1_024;
/// Time limit for writing one message; writing ends when it is exceeded.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A message to a peer.
pub(super) enum Message {
    Packet(Packet),
    /// The response to an admin command.
    Text(String),
}

/// Queues messages to the peer of a connection. Clones share the queue.
#[derive(Clone)]
pub struct Outbox {
    messages: mpsc::Sender<Message>,
    /// Notified when a message is dropped because the queue is full.
    overflow: Arc<Notify>,
    peer: Arc<str>,
}

impl Outbox {
    /// Creates an outbox, and the queue that [`write_messages`] reads.
    pub(super) fn new(peer: &str) -> (Outbox, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let outbox = Outbox {
            messages,
            overflow: Arc::default(),
            peer: peer.into(),
        };
        (outbox, queue)
    }

    /// Queues a packet; messages are written in the order in which they are queued.
    pub fn send(&self, packet: Packet) {
        self.enqueue(Message::Packet(packet));
    }

    /// Queues the response to an admin command.
    pub(super) fn send_text(&self, text: String) {
        self.enqueue(Message::Text(text));
    }

    fn enqueue(&self, message: Message) {
        if let Err(mpsc::error::TrySendError::Full(_)) = self.messages.try_send(message) {
            self.overflow.notify_one();
        }
    }

    /// Waits until a message is dropped because the queue is full.
    pub(super) async fn overflowed(&self) {
        self.overflow.notified().await;
    }

    /// The address of the peer.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }
}

/// Writes queued messages until all clones of the outbox are dropped and the queue is empty, or
/// until a write fails or exceeds [`WRITE_TIMEOUT`].
pub(super) async fn write_messages(mut queue: mpsc::Receiver<Message>, mut stream: OwnedWriteHalf) {
    let mut buffer = BytesMut::new();
    while let Some(message) = queue.recv().await {
        match message {
            Message::Packet(packet) => packet.encode(&mut buffer),
            Message::Text(text) => buffer.extend_from_slice(text.as_bytes()),
        }
        let written = timeout(WRITE_TIMEOUT, stream.write_all_buf(&mut buffer)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
