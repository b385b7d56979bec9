//! The writing thread: group commit, and retries after a write that failed.

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

/// Changes that may wait for the thread.
const QUEUE_CAPACITY: usize = 8_192;
/// Changes that share one sync to disk.
const MAX_GROUP: usize = 1_024;
/// The time between a write that failed and the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What the store reports.
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

/// A store that accepts changes. On drop, it writes the changes that are queued, if the disk
/// permits, and ends its thread.
pub struct Store {
    changes: Option<SyncSender<NumberedChange>>,
    thread: Option<JoinHandle<()>>,
}

struct NumberedChange {
    sequence: u64,
    change: Change,
}

impl Store {
    /// Opens the database and loads its records. From then on `report` is called from the writing
    /// thread. Errors name `file`.
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

    /// Queues a change without waiting; [`StoreEvent::Durable`] refers to its sequence number.
    /// Returns false if the queue is full, and then the change is not written: the disk is far too
    /// slow, or has been failing for long.
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
enum Queue {
    Open,
    Closed,
}

struct Writer<R> {
    /// `None` after a failure: nothing that the open database holds in memory can be trusted then.
    database: Option<Database>,
    open: OpenDatabase,
    queue: Receiver<NumberedChange>,
    /// Changes that are not known to be on disk, in order.
    pending: VecDeque<NumberedChange>,
    report: R,
    is_failing: bool,
}

impl<R: Fn(StoreEvent)> Writer<R> {
    fn run(mut self) {
        loop {
            let queue = self.receive();
            if !self.pending.is_empty() {
                self.write_pending();
            }
            // With the queue closed, changes that cannot be written now are lost with the process.
            if queue == Queue::Closed && (self.pending.is_empty() || self.is_failing) {
                return;
            }
        }
    }

    /// Moves queued changes to the pending ones, waiting for the first.
    fn receive(&mut self) -> Queue {
        if self.is_failing {
            std::thread::sleep(RETRY_INTERVAL);
        } else if self.pending.is_empty() {
            match self.queue.recv() {
                Ok(first) => self.pending.push_back(first),
                Err(RecvError) => return Queue::Closed,
            }
        }
        while self.pending.len() < MAX_GROUP {
            match self.queue.try_recv() {
                Ok(next) => self.pending.push_back(next),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return Queue::Closed,
            }
        }
        Queue::Open
    }

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

    /// Commits the pending changes; returns the sequence number of the last one.
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
