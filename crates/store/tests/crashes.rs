//! The store on a failing disk: writes and syncs that fail, a full disk, and a power cut at any
//! step.

mod common;

use common::{Records, accept, change, completion, records_of, request};
use pumiceway_store::{
    AcceptedRequest, Change, OpenDatabase, Operation, RequestState, Store, StoreError, StoreEvent,
    StoredRequest, on_disk,
};
use redb::{Database, StorageBackend};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a test waits for an event of the store.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A simulated disk in memory. A power cut loses some of the writes that were not synced.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    current: Vec<u8>,
    synced: Vec<u8>,
    /// The writes since the last sync.
    unsynced: Vec<UnsyncedWrite>,
    syncs: usize,
    /// The number of operations so far that change the disk.
    steps: usize,
    /// After so many steps the power is cut, and all further ones fail.
    power_cut_after: Option<usize>,
    /// The number of steps that fail from now on.
    failing_steps: usize,
    /// The capacity of the disk, in bytes.
    capacity: Option<usize>,
}

#[derive(Debug)]
struct UnsyncedWrite {
    offset: usize,
    data: Vec<u8>,
}

impl DiskState {
    /// Counts an operation; fails if the power is cut or the operation is to fail.
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.power_cut_after.is_some_and(|end| self.steps > end) {
            return Err(io::Error::other("the power is cut"));
        }
        if self.failing_steps > 0 {
            self.failing_steps -= 1;
            return Err(io::Error::other("injected failure"));
        }
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let from = offset as usize;
        out.copy_from_slice(&self.0.lock().unwrap().current[from..from + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        if disk
            .capacity
            .is_some_and(|capacity| len as usize > capacity)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.current.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        disk.syncs += 1;
        let current = disk.current.clone();
        disk.synced = current;
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        let offset = offset as usize;
        disk.current[offset..offset + data.len()].copy_from_slice(data);
        let data = data.to_vec();
        disk.unsynced.push(UnsyncedWrite { offset, data });
        Ok(())
    }
}

impl Disk {
    fn configure(&self, change: impl FnOnce(&mut DiskState)) {
        change(&mut self.0.lock().unwrap());
    }

    fn open(&self) -> OpenDatabase {
        let disk = self.clone();
        Box::new(move || {
            let open_error = |error: redb::DatabaseError| StoreError::Io {
                file: "disk".into(),
                source: io::Error::other(error),
            };
            Database::builder()
                .create_with_backend(disk.clone())
                .map_err(open_error)
        })
    }

    /// The disk after a power cut: of the writes that were not synced, every `kept`-th one survives
    /// (none with 0), and of the last write only the first half.
    fn after_power_cut(&self, kept: usize) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut current = disk.synced.clone();
        current.resize(disk.current.len().max(current.len()), 0);
        for (index, write) in disk
            .unsynced
            .iter()
            .enumerate()
            .filter(|(index, _)| kept > 0 && index % kept == 0)
        {
            let length = if index + 1 == disk.unsynced.len() {
                write.data.len() / 2
            } else {
                write.data.len()
            };
            current[write.offset..write.offset + length].copy_from_slice(&write.data[..length]);
        }
        Disk(Arc::new(Mutex::new(DiskState {
            synced: current.clone(),
            current,
            ..DiskState::default()
        })))
    }
}

fn start(open: OpenDatabase) -> (Store, Vec<StoredRequest>, Receiver<StoreEvent>) {
    let (sender, events) = channel();
    let (store, records) = Store::start(Path::new("disk"), open, move |event| {
        drop(sender.send(event));
    })
    .unwrap();
    (store, records, events)
}

/// All changes to one record, in order.
fn changes_of(record: u64) -> Vec<Change> {
    let mut changes = vec![
        accept(record),
        change(record, Operation::Send),
        change(record, Operation::Requeue),
        change(record, Operation::Send),
        change(record, Operation::Complete(completion(record))),
    ];
    match record % 3 {
        1 => changes.push(change(record, Operation::ResolveDoubt)),
        2 => changes.push(change(record, Operation::Delete)),
        _ => {}
    }
    changes
}

/// The records that these changes must result in.
fn expected_records<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Records {
    let mut records = BTreeMap::new();
    for Change { record, operation } in changes {
        match operation.clone() {
            Operation::Accept(request) => {
                records.insert(*record, (request, RequestState::Queued));
            }
            Operation::Send => records.get_mut(record).unwrap().1 = RequestState::InFlight,
            Operation::Requeue => records.get_mut(record).unwrap().1 = RequestState::Queued,
            Operation::Complete(completion) => {
                let (request, state) = records.get_mut(record).unwrap();
                request.body.clear();
                *state = RequestState::Completed(completion);
            }
            Operation::ResolveDoubt => {
                let (_, state) = records.get_mut(record).unwrap();
                if let RequestState::Completed(completion) = state {
                    completion.in_doubt = false;
                }
            }
            Operation::Delete => drop(records.remove(record)),
        }
    }
    records
}

/// The events up to the one that reports this change as durable.
fn receive_until_durable(events: &Receiver<StoreEvent>, sequence: u64) -> Vec<StoreEvent> {
    let mut received = Vec::new();
    while !matches!(received.last(), Some(StoreEvent::Durable(last)) if *last == sequence) {
        received.push(
            events
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|_| panic!("{received:?}")),
        );
    }
    received
}

/// The result of writing changes to a disk whose power may be cut.
struct Run {
    disk: Disk,
    /// The number of changes that were reported as durable.
    durable: usize,
    /// Whether the power was cut while changes were written, rather than before.
    cut_while_writing: bool,
}

fn run_until_power_cut(changes: &[Change], power_cut_after: Option<usize>) -> Run {
    let mut run = Run {
        disk: Disk::default(),
        durable: 0,
        cut_while_writing: false,
    };
    // The file is created before the power can be cut.
    drop(start(run.disk.open()));
    run.disk.configure(|disk| {
        disk.steps = 0;
        disk.power_cut_after = power_cut_after;
    });
    let Ok(database) = (run.disk.open())() else {
        return run;
    };
    drop(database);
    let (sender, events) = channel();
    let started = Store::start(Path::new("disk"), run.disk.open(), move |event| {
        drop(sender.send(event));
    });
    let Ok((store, _)) = started else {
        return run;
    };
    for (index, change) in changes.iter().enumerate() {
        assert!(store.write(index as u64 + 1, change.clone()));
        if let StoreEvent::Durable(sequence) = events.recv().unwrap() {
            run.durable = sequence as usize;
        } else {
            run.cut_while_writing = true;
            break;
        }
    }
    run
}

#[test]
fn durable_changes_survive_a_power_cut_at_any_step() {
    // With SOAK set, which takes minutes: three records, and a power cut at every step.
    let soak = std::env::var_os("SOAK").is_some();
    let (records, stride) = if soak { (1..=3, 1) } else { (1..=2, 8) };
    let changes: Vec<Change> = records.flat_map(changes_of).collect();
    let uninterrupted = run_until_power_cut(&changes, None);
    assert_eq!(uninterrupted.durable, changes.len());
    let steps = uninterrupted.disk.0.lock().unwrap().steps;
    assert!(steps > 50, "{steps}");
    let mut cuts_while_writing = 0;
    for step in (0..steps).step_by(stride) {
        let run = run_until_power_cut(&changes, Some(step));
        let durable = run.durable;
        cuts_while_writing += usize::from(run.cut_while_writing);
        for kept in [0, 1, 3] {
            let (_store, loaded, _) = start(run.disk.after_power_cut(kept).open());
            let found = records_of(loaded);
            // The change that was being written may or may not be stored; nothing else may differ.
            let is_consistent = [durable, durable + 1]
                .iter()
                .any(|&count| found == expected_records(&changes[..count.min(changes.len())]));
            assert!(
                is_consistent,
                "power cut at step {step}, {durable} durable, every {kept}th write kept: {found:?}"
            );
        }
    }
    assert!(
        cuts_while_writing > 4,
        "the power was cut only {cuts_while_writing} times while changes were written"
    );
}

#[test]
fn changes_that_fail_to_be_written_are_written_once_the_disk_recovers() {
    let changes: Vec<Change> = (1..=6).flat_map(changes_of).collect();
    for full in [false, true] {
        let disk = Disk::default();
        let (store, _, events) = start(disk.open());
        assert!(store.write(1, changes[0].clone()));
        receive_until_durable(&events, 1);
        let large = AcceptedRequest {
            body: (0..4_000_000u32)
                .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
                .collect(),
            ..request(99)
        };
        if full {
            disk.configure(|disk| disk.capacity = Some(disk.current.len()));
        } else {
            disk.configure(|disk| disk.failing_steps = 1);
        }
        assert!(store.write(2, change(99, Operation::Accept(large.clone()))));
        assert!(matches!(events.recv().unwrap(), StoreEvent::WriteFailed(_)));
        for (index, change) in changes.iter().enumerate().skip(1) {
            assert!(store.write(index as u64 + 2, change.clone()));
        }
        disk.configure(|disk| disk.capacity = None);
        let received = receive_until_durable(&events, changes.len() as u64 + 1);
        assert!(matches!(received[0], StoreEvent::Recovered), "{received:?}");
        drop(store);
        let (_store, loaded, _) = start(disk.open());
        let mut expected = expected_records(&changes);
        expected.insert(pumiceway_store::RecordId(99), (large, RequestState::Queued));
        assert!(records_of(loaded) == expected, "full: {full}");
    }
}

#[test]
fn a_burst_of_changes_shares_few_syncs() {
    let disk = Disk::default();
    let (store, _, events) = start(disk.open());
    // Locks the disk until all changes are queued, so that a fast disk does not sync in between.
    let locked = disk.0.lock().unwrap();
    let before = locked.syncs;
    for sequence in 1..=2_000 {
        let accepted = Operation::Accept(request(sequence % 7));
        assert!(store.write(sequence, change(sequence, accepted)));
    }
    drop(locked);
    receive_until_durable(&events, 2_000);
    let syncs = disk.0.lock().unwrap().syncs - before;
    assert!(syncs < 20, "{syncs}");
}

fn temporary_directory(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("pumiceway-store-{}-{name}", std::process::id()))
}

#[test]
fn a_file_that_is_in_use_or_not_a_store_is_rejected_and_not_changed() {
    let directory = temporary_directory("use");
    let file = directory.join("in/record.redb");
    let open = || Store::start(&file, on_disk(file.clone()), |_| {});
    let first = open().unwrap();
    assert!(matches!(open().err(), Some(StoreError::InUse(_))));
    drop(first);
    drop(open().unwrap());
    std::fs::write(
        &file,
        "not a record at all, but long enough to look at ".repeat(200),
    )
    .unwrap();
    let before = std::fs::read(&file).unwrap();
    let error = open().err().unwrap();
    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    assert_eq!(std::fs::read(&file).unwrap(), before);
    std::fs::remove_file(&file).unwrap();
    // A database with another format version.
    drop(Database::create(&file).map(|database| {
        let transaction = database.begin_write().unwrap();
        transaction
            .open_table(redb::TableDefinition::<&str, u64>::new("meta"))
            .unwrap()
            .insert("format", 2)
            .unwrap();
        transaction.commit().unwrap();
    }));
    let error = open().err().unwrap().to_string();
    assert!(
        error.contains("the format version is 2, but this program reads version 1"),
        "{error}"
    );
    std::fs::write(directory.join("flat"), "x").unwrap();
    let blocked = directory.join("flat/record.redb");
    let error = Store::start(&blocked, on_disk(blocked.clone()), |_| {})
        .err()
        .unwrap();
    assert!(matches!(error, StoreError::Io { .. }), "{error}");
    std::fs::remove_dir_all(directory).unwrap();
}
