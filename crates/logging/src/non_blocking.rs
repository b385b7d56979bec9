//! Output that never blocks the caller, since a separate thread writes the lines.
//!
//! Otherwise a terminal that is paused with Ctrl-S, a pipe that is not read or a slow disk would
//! stall the dispatcher. The queue is limited in lines and in bytes; if it is full, lines are dropped
//! and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender, SyncSender, TrySendError};
use std::time::Duration;

/// The number of lines that the queue holds.
const QUEUE_CAPACITY: usize = 1_024;
/// The number of bytes that the queued lines may have together.
const MAX_QUEUED_BYTES: usize = 256 << 10;

enum Message {
    Line(Vec<u8>),
    /// Ends the writing thread.
    Stop,
}

/// The sender of the queue of lines.
#[derive(Clone)]
pub(crate) struct NonBlocking {
    queue: SyncSender<Message>,
    /// The number of bytes of the queued lines.
    queued_bytes: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl NonBlocking {
    /// Starts a thread that writes to `output`. On drop, the guard waits for at most
    /// `flush_timeout` until the queued lines are written.
    pub(crate) fn start(
        output: impl Write + Send + 'static,
        flush_timeout: Duration,
    ) -> (NonBlocking, WorkerGuard) {
        let (queue, messages) = mpsc::sync_channel(QUEUE_CAPACITY);
        let (done_sender, done) = mpsc::channel();
        let queued_bytes = Arc::<AtomicUsize>::default();
        let written_from = queued_bytes.clone();
        std::thread::spawn(move || write_lines(output, messages, &written_from, done_sender));
        let guard = WorkerGuard {
            queue: queue.clone(),
            done,
            flush_timeout,
        };
        let dropped = Arc::default();
        let output = NonBlocking {
            queue,
            queued_bytes,
            dropped,
        };
        (output, guard)
    }

    /// Queues a line; returns false, and counts it as dropped, if the queue is full.
    pub(crate) fn send(&self, line: Vec<u8>) -> bool {
        let length = line.len();
        let queued = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        let is_full = queued + length > MAX_QUEUED_BYTES
            || matches!(
                self.queue.try_send(Message::Line(line)),
                Err(TrySendError::Full(_))
            );
        if is_full {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        !is_full
    }

    /// Returns how many lines were dropped since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Writes the lines of the queue until it is told to stop, then signals `done`.
fn write_lines(
    mut output: impl Write,
    messages: Receiver<Message>,
    queued_bytes: &AtomicUsize,
    done: Sender<()>,
) {
    while let Ok(Message::Line(line)) = messages.recv() {
        // There is no other place to report that the log cannot be written.
        let _ = output.write_all(&line).and_then(|()| output.flush());
        queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
    }
    let _ = done.send(());
}

/// Stops the writing thread on drop, and waits until the queued lines are written or the flush
/// timeout is over.
pub(crate) struct WorkerGuard {
    queue: SyncSender<Message>,
    done: Receiver<()>,
    flush_timeout: Duration,
}

impl Drop for WorkerGuard {
    fn drop(&mut self) {
        // If the queue is full, the output is stalled, and waiting would not help.
        if self.queue.try_send(Message::Stop).is_ok() {
            let _ = self.done.recv_timeout(self.flush_timeout);
        }
    }
}
