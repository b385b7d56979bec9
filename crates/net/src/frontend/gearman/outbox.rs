//! The sending side of a connection: a bounded queue, and the task that writes it.
//!
//! Sending never blocks. If a peer does not read, its queue fills up, or what it holds is needed for
//! others, and its connection is closed.

use super::codec::Packet;
use bytes::BytesMut;
use pumiceway_memory::{MemoryAccount, Revoked};
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Number of messages that may be queued for a peer.
const QUEUE_CAPACITY: usize = 1_024;
/// Time limit for writing one message; writing ends when it is exceeded.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// A buffer with a larger capacity is not kept for the next message.
const MAX_KEPT_BUFFER_BYTES: usize = 4 << 10;
/// What a message takes beside its data.
const MESSAGE_BYTES: usize = 256;

/// A message to a peer.
enum Message {
    Packet(Packet),
    /// The response to an admin command.
    Text(String),
}

impl Message {
    /// What the message takes in the queue.
    fn bytes(&self) -> usize {
        let data = match self {
            Message::Packet(packet) => packet.data_bytes(),
            Message::Text(text) => text.len(),
        };
        data + MESSAGE_BYTES
    }
}

/// Queues messages to the peer of a connection. Clones share the queue.
#[derive(Clone)]
pub struct Outbox {
    messages: mpsc::Sender<Message>,
    account: OutboxAccount,
    /// Notified when a message is dropped because the queue is full.
    overflow: Arc<Notify>,
    peer: Arc<str>,
}

/// Pays for what is queued.
#[derive(Clone)]
struct OutboxAccount(Arc<Mutex<MemoryAccount>>);

impl OutboxAccount {
    fn lock(&self) -> MutexGuard<'_, MemoryAccount> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Draws what a message takes; returns false if there is no memory for it.
    fn try_draw(&self, bytes: usize) -> bool {
        let now = std::time::Instant::now();
        self.lock().try_draw(bytes, now).is_ok()
    }

    async fn revoked(&self) -> Revoked {
        poll_fn(|cx| self.lock().poll_revoked(cx)).await
    }
}

/// The messages that are queued for a peer.
pub(super) struct Queue {
    messages: mpsc::Receiver<Message>,
    account: OutboxAccount,
    overflow: Arc<Notify>,
}

impl Outbox {
    /// Creates an outbox, and the queue that [`Queue::write`] writes. What is queued draws its memory
    /// from the account.
    pub(super) fn new(peer: &str, account: MemoryAccount) -> (Outbox, Queue) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let outbox = Outbox {
            messages,
            account: OutboxAccount(Arc::new(Mutex::new(account))),
            overflow: Arc::default(),
            peer: peer.into(),
        };
        let queue = Queue {
            messages: queue,
            account: outbox.account.clone(),
            overflow: outbox.overflow.clone(),
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
        let bytes = message.bytes();
        if !self.account.try_draw(bytes) {
            self.overflow.notify_one();
            return;
        }
        if let Err(error) = self.messages.try_send(message) {
            self.account.lock().give_back(bytes);
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                self.overflow.notify_one();
            }
        }
    }

    /// Waits until a message is dropped because the queue is full or its memory is needed for others.
    pub(super) async fn overflowed(&self) {
        self.overflow.notified().await;
    }

    /// The address of the peer.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }
}

impl Queue {
    /// Writes queued messages until all clones of the outbox are dropped and the queue is empty, or
    /// until a write fails or exceeds [`WRITE_TIMEOUT`], or the memory is revoked.
    pub(super) async fn write(mut self, stream: OwnedWriteHalf) {
        let account = self.account.clone();
        tokio::select! {
            biased;
            Revoked = account.revoked() => self.overflow.notify_one(),
            () = self.write_messages(stream) => {}
        }
        // What is left in the queue is dropped with it.
        let held = self.account.lock().held();
        drop(self.messages);
        account.lock().give_back(held);
    }

    async fn write_messages(&mut self, mut stream: OwnedWriteHalf) {
        let mut buffer = BytesMut::new();
        while let Some(message) = self.messages.recv().await {
            let bytes = message.bytes();
            match message {
                Message::Packet(packet) => packet.encode(&mut buffer),
                Message::Text(text) => buffer.extend_from_slice(text.as_bytes()),
            }
            let written = timeout(WRITE_TIMEOUT, stream.write_all_buf(&mut buffer)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            self.account.lock().give_back(bytes);
            if buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
                buffer = BytesMut::new();
            }
        }
    }
}
