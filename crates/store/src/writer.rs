//! The writing thread: group commit, and retries after a failed write.

use crate::database;
use crate::error::{StoreError, WriteError};
use crate::open::OpenDatabase;
use crate::record::{Change, StoredRequest};
use redb::Database;
use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvError, SyncSender, TryRecvError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of changes that the queue to the thread holds.
const QUEUE_CAPACITY: usize = 8_192;
/// The maximum number of changes that share one sync to disk.
const MAX_GROUP_SIZE: usize = 1_024;
/// The time between a failed write and the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An event that the store reports.
#[derive(Debug)]
#[non_exhaustive]
pub enum StoreEvent {
    /// All changes up to this sequence number are on disk.
    Durable(u64),
    /// A write failed. The changes remain queued and are written as soon as possible.
    WriteFailed(WriteError),
    /// Writes succeed again.
    Recovered,
}

/// A store that accepts changes. On drop, it writes the queued changes, unless the disk fails, and
/// stops its thread.
pub struct Store {
    changes: Option<SyncSender<NumberedChange>>,
    thread: Option<JoinHandle<()>>,
}

struct NumberedChange {
    sequence: u64,
    change: Change,
}

impl Store {
    /// Opens the database, loads its records and starts the writing thread, which calls `report`.
    /// Errors name `file`.
    ///
    /// # Errors
    ///
    /// The database cannot be opened, or is damaged.
    pub fn start(
        file: &Path,
        mut open: OpenDatabase,
        report: impl Fn(StoreEvent) + Send + 'static,
    ) -> Result<(Store, Vec<StoredRequest>), StoreError> {
        let database = open()?;
        let records = database::load(&database).map_err(|source| StoreError::Damaged {
            file: file.to_owned(),
            source,
        })?;
        let (changes, queue) = sync_channel(QUEUE_CAPACITY);
        let writer = Writer {
            database: Some(database),
            open,
            queue,
            pending: VecDeque::new(),
            report,
            is_failing: false,
        };
        let thread = std::thread::spawn(move || writer.run());
        let store = Store {
            changes: Some(changes),
            thread: Some(thread),
        };
        Ok((store, records))
    }

    /// Queues a change without blocking. [`StoreEvent::Durable`] refers to its sequence number.
    ///
    /// Returns false if the queue is full, because the disk is much too slow or has failed for a
    /// long time. The change is then not written.
    pub fn write(&self, sequence: u64, change: Change) -> bool {
        self.changes.as_ref().is_some_and(|changes| {
            changes
                .try_send(NumberedChange { sequence, change })
                .is_ok()
        })
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.changes.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Whether more changes can arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
enum QueueState {
    Open,
    Closed,
}

struct Writer<R> {
    /// `None` after a failure, since the state of the open database in memory may then be wrong.
    database: Option<Database>,
    open: OpenDatabase,
    queue: Receiver<NumberedChange>,
    /// Changes that are not known to be on disk, in order of their sequence numbers.
    pending: VecDeque<NumberedChange>,
    report: R,
    is_failing: bool,
}

impl<R: Fn(StoreEvent)> Writer<R> {
    fn run(mut self) {
        loop {
            let queue_state = self.receive();
            if !self.pending.is_empty() {
                self.write_pending();
            }
            // Once the queue is closed, a failed write is not retried, and its changes are lost.
            if queue_state == QueueState::Closed && (self.pending.is_empty() || self.is_failing) {
                return;
            }
        }
    }

    /// Moves queued changes to the pending ones. Waits for the first one if none is pending, or for
    /// the retry interval if the last write failed.
    fn receive(&mut self) -> QueueState {
        if self.is_failing {
            std::thread::sleep(RETRY_INTERVAL);
        } else if self.pending.is_empty() {
            match self.queue.recv() {
                Ok(first) => self.pending.push_back(first),
                Err(RecvError) => return QueueState::Closed,
            }
        }
        while self.pending.len() < MAX_GROUP_SIZE {
            match self.queue.try_recv() {
                Ok(next) => self.pending.push_back(next),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return QueueState::Closed,
            }
        }
        QueueState::Open
    }

    /// Commits the pending changes and reports the result.
    fn write_pending(&mut self) {
        match self.commit() {
            Ok(sequence) => {
                if std::mem::take(&mut self.is_failing) {
                    (self.report)(StoreEvent::Recovered);
                }
                (self.report)(StoreEvent::Durable(sequence));
            }
            Err(error) => {
                self.database = None;
                if !std::mem::replace(&mut self.is_failing, true) {
                    (self.report)(StoreEvent::WriteFailed(error));
                }
            }
        }
    }

    /// Opens the database if it is not open, and commits the pending changes. Returns the sequence
    /// number of the last change.
    fn commit(&mut self) -> Result<u64, WriteError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.open)()?,
        };
        let changes = self.pending.iter().map(|numbered| &numbered.change);
        database::apply(&database, changes)?;
        self.database = Some(database);
        let sequence = self.pending.back().map_or(0, |last| last.sequence);
        self.pending.clear();
        Ok(sequence)
    }
}
