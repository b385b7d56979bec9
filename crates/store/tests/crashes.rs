//! The store on a disk that fails: refused writes and syncs, a full disk, and an end at any step.

use pumiceway_store::{
    Ended, Kept, Loaded, Open, State, Store, StoreError, Taken, Told, Write, on_disk,
};
use redb::{Database, StorageBackend};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// A disk in memory. What was not synced is lost, in part, when the power goes.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    now: Vec<u8>,
    synced: Vec<u8>,
    /// Pieces written since the last sync.
    pieces: Vec<(usize, Vec<u8>)>,
    syncs: usize,
    steps: usize,
    /// The power goes before this step.
    ends_at: Option<usize>,
    /// Steps refused from now on.
    refuses: usize,
    /// It holds no more bytes than this.
    room: Option<usize>,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.ends_at.is_some_and(|end| self.steps > end) {
            return Err(io::Error::other("the power is gone"));
        }
        if self.refuses > 0 {
            self.refuses -= 1;
            return Err(io::Error::other("refused"));
        }
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let from = offset as usize;
        out.copy_from_slice(&self.0.lock().unwrap().now[from..from + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        if disk.room.is_some_and(|room| len as usize > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.now.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        disk.syncs += 1;
        disk.synced = disk.now.clone();
        disk.pieces.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        let from = offset as usize;
        disk.now[from..from + data.len()].copy_from_slice(data);
        disk.pieces.push((from, data.to_vec()));
        Ok(())
    }
}

impl Disk {
    fn set(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.0.lock().unwrap());
    }

    fn open(&self) -> Open {
        let disk = self.clone();
        Box::new(move || {
            let failed = |e: redb::DatabaseError| StoreError::Refused {
                file: "disk".into(),
                why: e.to_string(),
            };
            Database::builder()
                .create_with_backend(disk.clone())
                .map_err(failed)
        })
    }

    /// What is found after the power went: of the pieces that were not synced, every `keep`-th is
    /// there, the last one torn in two.
    fn after_power_cut(&self, keep: usize) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut now = disk.synced.clone();
        now.resize(disk.now.len().max(now.len()), 0);
        for (n, (from, data)) in disk
            .pieces
            .iter()
            .enumerate()
            .filter(|(n, _)| keep > 0 && n % keep == 0)
        {
            let length = if n + 1 == disk.pieces.len() {
                data.len() / 2
            } else {
                data.len()
            };
            now[*from..from + length].copy_from_slice(&data[..length]);
        }
        Disk(Arc::new(Mutex::new(Inner {
            synced: now.clone(),
            now,
            ..Inner::default()
        })))
    }
}

fn start(open: Open) -> (Store, Vec<Loaded>, Receiver<Told>) {
    let (tell, told) = channel();
    let (store, loaded) =
        Store::start(Path::new("disk"), open, move |t| drop(tell.send(t))).unwrap();
    (store, loaded, told)
}

fn taken(n: u64) -> Taken {
    Taken {
        identity: format!("imports\0{n}"),
        class: "imports".into(),
        at: 1_000 + n,
        left: 20_000_000,
        slots: 1.0,
        memory: 0.0,
        id: n.to_string(),
        path: format!("/imports/{n}"),
        body: "reservation ".repeat(n as usize).into_bytes(),
    }
}

fn over(n: u64) -> Write {
    let kept = match n % 2 {
        0 => Kept::Served("made ".repeat(n as usize).into_bytes()),
        _ => Kept::Failed("may have run".into()),
    };
    Write::Over(
        n,
        Ended {
            at: 5_000 + n,
            kept,
            unsettled: n % 2 == 1,
        },
    )
}

/// The story of one record, a change at a time.
fn story(n: u64) -> Vec<Write> {
    let mut changes = vec![
        Write::Taken(n, taken(n)),
        Write::Out(n),
        Write::Back(n),
        Write::Out(n),
        over(n),
    ];
    match n % 3 {
        1 => changes.push(Write::Settled(n)),
        2 => changes.push(Write::Forget(n)),
        _ => {}
    }
    changes
}

/// What a perfect observer knows after these changes.
fn model<'a>(changes: impl IntoIterator<Item = &'a Write>) -> BTreeMap<u64, (Taken, State)> {
    let mut all = BTreeMap::new();
    for change in changes {
        match change.clone() {
            Write::Taken(n, taken) => drop(all.insert(n, (taken, State::Waiting))),
            Write::Out(n) => all.get_mut(&n).unwrap().1 = State::Out,
            Write::Back(n) => all.get_mut(&n).unwrap().1 = State::Waiting,
            Write::Over(n, ended) => {
                let row = all.get_mut(&n).unwrap();
                row.0.body.clear();
                row.1 = State::Over(ended);
            }
            Write::Settled(n) => {
                if let State::Over(ended) = &mut all.get_mut(&n).unwrap().1 {
                    ended.unsettled = false;
                }
            }
            Write::Forget(n) => drop(all.remove(&n)),
        }
    }
    all
}

fn found(loaded: Vec<Loaded>) -> BTreeMap<u64, (Taken, State)> {
    loaded
        .into_iter()
        .map(|l| (l.record, (l.taken, l.state)))
        .collect()
}

fn until(told: &Receiver<Told>, wanted: Told) -> Vec<Told> {
    let mut all = Vec::new();
    while all.last() != Some(&wanted) {
        all.push(
            told.recv_timeout(std::time::Duration::from_secs(20))
                .unwrap_or_else(|_| panic!("{all:?}")),
        );
    }
    all
}

// Guards against a change that was told safe and is not there after the power went, whatever step
// it went at, and against half of one.
#[test]
fn what_was_told_safe_is_there_after_an_end_at_any_step() {
    // Every step and three records with SOAK=1, which takes minutes.
    let soak = std::env::var_os("SOAK").is_some();
    let (records, stride) = if soak { (1..=3, 1) } else { (1..=2, 8) };
    let changes: Vec<Write> = records.flat_map(story).collect();
    let play = |ends_at: Option<usize>| {
        let disk = Disk::default();
        // The file itself has been made before.
        drop(start(disk.open()));
        disk.set(|d| (d.steps, d.ends_at) = (0, ends_at));
        let (mut safe, mut ended) = (0, false);
        if let Ok(db) = (disk.open())() {
            drop(db);
            let (tell, told) = channel();
            if let Ok((store, _)) =
                Store::start(Path::new("disk"), disk.open(), move |t| drop(tell.send(t)))
            {
                for (n, change) in changes.iter().enumerate() {
                    assert!(store.write(n as u64 + 1, change.clone()));
                    match told.recv().unwrap() {
                        Told::Safe(upto) => safe = upto as usize,
                        _ => {
                            ended = true;
                            break;
                        }
                    }
                }
            }
        }
        (disk, safe, ended)
    };
    let (whole, safe, _) = play(None);
    assert_eq!(safe, changes.len());
    let steps = whole.0.lock().unwrap().steps;
    assert!(steps > 50, "{steps}");
    let mut ends = 0;
    for end in (0..steps).step_by(stride) {
        let (disk, safe, ended) = play(Some(end));
        ends += usize::from(ended);
        for keep in [0, 1, 3] {
            let (_store, loaded, _) = start(disk.after_power_cut(keep).open());
            let found = found(loaded);
            // The change that was being written may be there or not; nothing else may differ.
            let good = [safe, safe + 1]
                .iter()
                .any(|&n| found == model(&changes[..n.min(changes.len())]));
            assert!(
                good,
                "power gone at step {end}, {safe} safe, every {keep}th piece: {found:?}"
            );
        }
    }
    assert!(
        ends > 4,
        "the power went while changes were written {ends} times only"
    );
}

// Guards against a refused write, a failed sync or a full disk that loses a change, and against one
// taken for safe.
#[test]
fn what_the_disk_refuses_is_written_once_it_takes_changes_again() {
    let changes: Vec<Write> = (1..=6).flat_map(story).collect();
    for full in [false, true] {
        let disk = Disk::default();
        let (store, _, told) = start(disk.open());
        assert!(store.write(1, changes[0].clone()));
        until(&told, Told::Safe(1));
        let big = Taken {
            body: (0..4_000_000u32)
                .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
                .collect(),
            ..taken(99)
        };
        match full {
            true => disk.set(|d| d.room = Some(d.now.len())),
            false => disk.set(|d| d.refuses = 1),
        }
        assert!(store.write(2, Write::Taken(99, big.clone())));
        assert!(matches!(told.recv().unwrap(), Told::Refusing(_)));
        for (n, change) in changes.iter().enumerate().skip(1) {
            assert!(store.write(n as u64 + 2, change.clone()));
        }
        disk.set(|d| d.room = None);
        let all = until(&told, Told::Safe(changes.len() as u64 + 1));
        assert_eq!(all[0], Told::Well, "{all:?}");
        drop(store);
        let (_store, loaded, _) = start(disk.open());
        let mut wanted = model(&changes);
        wanted.insert(99, (big, State::Waiting));
        assert!(found(loaded) == wanted, "full: {full}");
    }
}

// Guards against a burst that costs a sync for each change.
#[test]
fn a_burst_costs_few_syncs() {
    let disk = Disk::default();
    let (store, _, told) = start(disk.open());
    // The disk takes nothing before all of them have been handed over, however fast it is beside
    // us.
    let held = disk.0.lock().unwrap();
    let before = held.syncs;
    for n in 1..=2_000 {
        assert!(store.write(n, Write::Taken(n, taken(n % 7))));
    }
    drop(held);
    until(&told, Told::Safe(2_000));
    let syncs = disk.0.lock().unwrap().syncs - before;
    assert!(syncs < 20, "{syncs}");
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("pumiceway-store-{}-{name}", std::process::id()))
}

// Guards against two dispatchers on one record, and against a foreign or damaged file that is
// written over.
#[test]
fn a_file_in_use_or_not_ours_is_refused_and_not_touched() {
    let folder = folder("use");
    let file = folder.join("in/record.redb");
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
    let why = open().err().unwrap();
    assert!(matches!(why, StoreError::Damaged { .. }), "{why}");
    assert_eq!(std::fs::read(&file).unwrap(), before);
    std::fs::remove_file(&file).unwrap();
    // Another program's database has no form that we know.
    drop(Database::create(&file).map(|db| {
        let writing = db.begin_write().unwrap();
        writing
            .open_table(redb::TableDefinition::<&str, u64>::new("meta"))
            .unwrap()
            .insert("format", 2)
            .unwrap();
        writing.commit().unwrap();
    }));
    let why = open().err().unwrap().to_string();
    assert!(
        why.contains("its form is 2, and this program knows 1"),
        "{why}"
    );
    std::fs::write(folder.join("flat"), "x").unwrap();
    let blocked = folder.join("flat/record.redb");
    let why = Store::start(&blocked, on_disk(blocked.clone()), |_| {})
        .err()
        .unwrap();
    assert!(matches!(why, StoreError::Refused { .. }), "{why}");
    std::fs::remove_dir_all(folder).unwrap();
}
