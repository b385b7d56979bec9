//! Output that never blocks the caller: a thread of its own writes the lines.
//!
//! A terminal stopped with Ctrl-S, a pipe that nobody reads or a slow disk would otherwise stall
//! the dispatcher. A line that finds the queue full is dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender, SyncSender, TrySendError};
use std::time::Duration;

/// Lines that may wait in the queue.
const QUEUE_CAPACITY: usize = 1_024;

enum Message {
    Line(Vec<u8>),
    Stop,
}

/// The sending half of the queue of lines.
#[derive(Clone)]
pub(crate) struct NonBlocking {
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl NonBlocking {
    /// Starts a thread that writes to `output`. The guard waits for at most `flush_timeout` when
    /// it is dropped.
    pub(crate) fn start(
        output: impl Write + Send + 'static,
        flush_timeout: Duration,
    ) -> (NonBlocking, WorkerGuard) {
        let (queue, messages) = mpsc::sync_channel(QUEUE_CAPACITY);
        let (done_sender, done) = mpsc::channel();
        std::thread::spawn(move || write_lines(output, messages, done_sender));
        let guard = WorkerGuard {
            queue: queue.clone(),
            done,
            flush_timeout,
        };
        let dropped = Arc::default();
        (NonBlocking { queue, dropped }, guard)
    }

    /// Queues a line; returns false if the queue is full.
    pub(crate) fn send(&self, line: Vec<u8>) -> bool {
        let result = self.queue.try_send(Message::Line(line));
        let is_full = matches!(result, Err(TrySendError::Full(_)));
        if is_full {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        !is_full
    }

    /// The lines that were dropped since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, messages: Receiver<Message>, done: Sender<()>) {
    while let Ok(Message::Line(line)) = messages.recv() {
        // A log that cannot be written has nowhere to report it.
        let _ = output.write_all(&line).and_then(|()| output.flush());
    }
    let _ = done.send(());
}

/// On drop, waits until the queued lines are written, within the flush timeout.
pub(crate) struct WorkerGuard {
    queue: SyncSender<Message>,
    done: Receiver<()>,
    flush_timeout: Duration,
}

impl Drop for WorkerGuard {
    fn drop(&mut self) {
        // With a full queue the output is stalled, and there is no use in waiting for it.
        if self.queue.try_send(Message::Stop).is_ok() {
            let _ = self.done.recv_timeout(self.flush_timeout);
        }
    }
}
