//! The thread that writes: many changes with one sync, and again when the disk has refused.

use crate::file::{self, Open, StoreError};
use crate::record::{Loaded, Write};
use redb::Database;
use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Changes that may wait for the thread; and how many go with one sync.
const WAITING: usize = 8_192;
const GROUP: usize = 1_024;
/// After the disk has refused, the file is opened anew after this time, again and again.
const AGAIN: Duration = Duration::from_secs(1);

/// What the store tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// All changes up to this one are on disk.
    Safe(u64),
    /// The disk refuses; what was handed over is written as soon as it can be.
    Refusing(String),
    /// The disk takes changes again.
    Well,
}

/// A store that writes. Dropped, it writes what it has been handed, if the disk lets it, and ends.
pub struct Store {
    changes: Option<SyncSender<(u64, Write)>>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Opens the file and reads it; from then on `tell` is called from the thread that writes.
    pub fn start(
        file: &Path,
        mut open: Open,
        tell: impl Fn(Told) + Send + 'static,
    ) -> Result<(Store, Vec<Loaded>), StoreError> {
        let db = open()?;
        let damaged = |why: file::Failure| StoreError::Damaged {
            file: file.to_owned(),
            why: why.to_string(),
        };
        let loaded = file::load(&db).map_err(damaged)?;
        let (changes, handed) = sync_channel(WAITING);
        let writer = Writer {
            db: Some(db),
            open,
            handed,
            unsafe_yet: VecDeque::new(),
            tell,
            refusing: false,
        };
        let thread = std::thread::spawn(move || writer.run());
        Ok((
            Store {
                changes: Some(changes),
                thread: Some(thread),
            },
            loaded,
        ))
    }

    /// Hands a change over, without waiting; its number comes back as [`Told::Safe`]. Whether there
    /// was room: with none, the disk is far too slow or refuses for long, and the change is not
    /// taken.
    pub fn write(&self, number: u64, change: Write) -> bool {
        self.changes
            .as_ref()
            .is_some_and(|changes| changes.try_send((number, change)).is_ok())
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

struct Writer<T> {
    db: Option<Database>,
    open: Open,
    handed: Receiver<(u64, Write)>,
    /// Handed over, in order, and not known to be on disk.
    unsafe_yet: VecDeque<(u64, Write)>,
    tell: T,
    refusing: bool,
}

impl<T: Fn(Told)> Writer<T> {
    fn run(mut self) {
        loop {
            let over = self.take();
            if self.unsafe_yet.is_empty() {
                if over {
                    return;
                }
                continue;
            }
            match self.commit() {
                Ok(upto) => {
                    if std::mem::take(&mut self.refusing) {
                        (self.tell)(Told::Well);
                    }
                    (self.tell)(Told::Safe(upto));
                }
                Err(why) => {
                    // After a failure nothing of the open file is believed.
                    self.db = None;
                    if !std::mem::replace(&mut self.refusing, true) {
                        (self.tell)(Told::Refusing(why));
                    }
                    if over {
                        return;
                    }
                }
            }
        }
    }

    /// Takes in what was handed over, waiting for the first; whether nothing more will come.
    fn take(&mut self) -> bool {
        let mut over = false;
        if self.refusing {
            std::thread::sleep(AGAIN);
        } else if self.unsafe_yet.is_empty() {
            match self.handed.recv_timeout(Duration::from_secs(3_600)) {
                Ok(first) => self.unsafe_yet.push_back(first),
                Err(RecvTimeoutError::Timeout) => return false,
                Err(RecvTimeoutError::Disconnected) => return true,
            }
        }
        while self.unsafe_yet.len() < GROUP {
            match self.handed.try_recv() {
                Ok(next) => self.unsafe_yet.push_back(next),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => {
                    over = true;
                    break;
                }
            }
        }
        over
    }

    fn commit(&mut self) -> Result<u64, String> {
        let db = match self.db.take() {
            Some(db) => db,
            None => (self.open)().map_err(|e| e.to_string())?,
        };
        file::write(&db, self.unsafe_yet.iter().map(|(_, write)| write))
            .map_err(|e| e.to_string())?;
        self.db = Some(db);
        let upto = self.unsafe_yet.back().map_or(0, |(number, _)| *number);
        self.unsafe_yet.clear();
        Ok(upto)
    }
}
