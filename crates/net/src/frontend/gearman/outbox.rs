//! The sending side of a connection: a bounded queue, and the task that writes it.
//!
//! Sending never waits. A peer that does not read fills the queue, and its connection is closed.

use super::codec::Packet;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Messages that may wait for a peer to read them.
const QUEUE_CAPACITY: usize = 1_024;
/// A peer reads each message within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// What is sent to a peer.
pub(super) enum Message {
    Packet(Packet),
    /// The response to an admin command.
    Text(String),
}

/// The sending side of a connection.
#[derive(Clone)]
pub struct Outbox {
    messages: mpsc::Sender<Message>,
    overflow: Arc<Notify>,
    peer: Arc<str>,
}

impl Outbox {
    /// An outbox, and the queue for [`write_messages`].
    pub(super) fn new(peer: &str) -> (Outbox, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let outbox = Outbox {
            messages,
            overflow: Arc::default(),
            peer: peer.into(),
        };
        (outbox, queue)
    }

    /// Sends a packet, in order.
    pub fn send(&self, packet: Packet) {
        self.queue(Message::Packet(packet));
    }

    /// Sends the response to an admin command, in order.
    pub(super) fn send_text(&self, text: String) {
        self.queue(Message::Text(text));
    }

    fn queue(&self, message: Message) {
        if let Err(mpsc::error::TrySendError::Full(_)) = self.messages.try_send(message) {
            self.overflow.notify_one();
        }
    }

    /// Waits until a message found the queue full.
    pub(super) async fn overflowed(&self) {
        self.overflow.notified().await;
    }

    /// The address of the peer.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }
}

/// Writes messages until all outboxes are dropped, or the peer reads no more.
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
