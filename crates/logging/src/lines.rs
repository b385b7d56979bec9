//! Lines on their way out, written by a thread of their own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::time::Duration;

/// Lines that may wait to be written; a further one is dropped and counted.
const WAITING: usize = 1_024;

/// Takes lines without ever waiting. Prevents: a terminal that is held with Ctrl-S, a pipe that
/// nobody reads or a slow disk holds the whole dispatcher up.
#[derive(Clone)]
pub struct Lines {
    queue: SyncSender<Option<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl Lines {
    /// Hands a line over; whether there was room for it.
    pub(crate) fn put(&self, line: Vec<u8>) -> bool {
        let full = matches!(self.queue.try_send(Some(line)), Err(TrySendError::Full(_)));
        if full {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        !full
    }

    /// Lines dropped since this was last asked.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Dropped, it waits until the lines handed over are written, but not for long.
pub struct Guard {
    queue: SyncSender<Option<Vec<u8>>>,
    written: mpsc::Receiver<()>,
    patience: Duration,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // With the queue full the writer stands still, and the last lines are lost with it.
        if self.queue.try_send(None).is_ok() {
            let _ = self.written.recv_timeout(self.patience);
        }
    }
}

/// Starts the thread that writes.
pub(crate) fn start(mut out: impl Write + Send + 'static, patience: Duration) -> (Lines, Guard) {
    let (queue, lines) = mpsc::sync_channel::<Option<Vec<u8>>>(WAITING);
    let (tell, written) = mpsc::channel();
    std::thread::spawn(move || {
        while let Ok(Some(line)) = lines.recv() {
            // There is nowhere to say that the log can't be written.
            let _ = out.write_all(&line).and_then(|()| out.flush());
        }
        let _ = tell.send(());
    });
    let guard = Guard {
        queue: queue.clone(),
        written,
        patience,
    };
    (
        Lines {
            queue,
            dropped: Arc::default(),
        },
        guard,
    )
}
