//! Workers that serve at once, hang or reset, and the list of them that discovery tells.

use crate::{Peer, endpoint_line, listing, serve_each};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It takes work.
    Ready,
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Gone,
}

/// What a worker does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// It serves it.
    Serves,
    /// It reads it and says nothing.
    Hangs,
    /// It reads it and resets the connection.
    Resets,
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When it was made.
    pub at: Instant,
    /// Version of the list that it made.
    pub version: u64,
    /// Of which worker.
    pub worker: usize,
    /// What it is from then on.
    pub status: Outcome,
}

/// A request that a worker has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its first byte had come, at the latest.
    pub at: Instant,
    /// Which worker.
    pub worker: usize,
    /// Its `X-Txn`.
    pub id: String,
    /// How long the dispatcher says that it will wait.
    pub told: Option<Duration>,
}

/// All workers.
pub struct Workers {
    ports: Vec<u16>,
    conduct: Mutex<Vec<Conduct>>,
    changes: Mutex<Vec<Change>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Workers {
    /// Starts so many, all ready.
    pub fn start(count: usize) -> Arc<Workers> {
        let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<_> = (0..count).map(bind).collect();
        let workers = Arc::new(Workers {
            ports: listeners
                .iter()
                .map(|l| l.local_addr().unwrap().port())
                .collect(),
            conduct: Mutex::new(vec![Conduct::Serves; count]),
            changes: Mutex::default(),
            arrivals: Mutex::default(),
        });
        for (worker, listener) in listeners.into_iter().enumerate() {
            let workers = workers.clone();
            serve_each(listener, move |peer| workers.serve(worker, peer));
        }
        workers
    }

    fn serve(&self, worker: usize, mut peer: Peer) {
        while let Ok(request) = peer.message() {
            let at = Instant::now();
            let header = |name: &str| {
                request
                    .lines()
                    .find_map(|l| l.strip_prefix(name))
                    .map(str::to_owned)
            };
            let told = header("x-remaining-ms: ")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis);
            let id = header("x-txn: ").unwrap_or_default();
            self.arrivals.lock().unwrap().push(Arrival {
                at,
                worker,
                id,
                told,
            });
            let conduct = self.conduct.lock().unwrap()[worker];
            match conduct {
                Conduct::Serves => {
                    std::thread::sleep(Duration::from_millis(10));
                    peer.send("done yes");
                }
                Conduct::Hangs => std::thread::sleep(Duration::from_secs(2)),
                Conduct::Resets => return peer.reset(),
            }
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.ports.len()
    }

    /// Sets what a worker does from now on.
    pub fn set_conduct(&self, worker: usize, conduct: Conduct) {
        self.conduct.lock().unwrap()[worker] = conduct;
    }

    /// Changes what the list says of a worker.
    pub fn set_status(&self, worker: usize, status: Outcome) {
        let mut changes = self.changes.lock().unwrap();
        let version = changes.len() as u64 + 1;
        changes.push(Change {
            at: Instant::now(),
            version,
            worker,
            status,
        });
    }

    /// Version of the list.
    pub fn version(&self) -> u64 {
        self.changes.lock().unwrap().len() as u64
    }

    /// All changes so far.
    pub fn changes(&self) -> Vec<Change> {
        self.changes.lock().unwrap().clone()
    }

    /// All that was read so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// The whole list, as discovery words it.
    pub fn whole_list(&self) -> String {
        self.whole_list_at().1
    }

    /// The version that the list has now, and the whole of it.
    pub fn whole_list_at(&self) -> (u64, String) {
        let changes = self.changes();
        (changes.len() as u64, self.list_after(&changes))
    }

    /// The whole list as it was before some of the last changes, with its version.
    pub fn list_before_last_change(&self) -> (u64, String) {
        let mut changes = self.changes();
        changes.truncate(changes.len().saturating_sub(3));
        (changes.len() as u64, self.list_after(&changes))
    }

    /// How many lines have changed since this version.
    pub fn changed_since(&self, version: u64) -> usize {
        self.version().saturating_sub(version) as usize
    }

    fn list_after(&self, changes: &[Change]) -> String {
        let status = |worker| {
            changes
                .iter()
                .rev()
                .find(|c| c.worker == worker)
                .map_or(Outcome::Ready, |c| c.status)
        };
        let listed = (0..self.count()).filter(|&w| status(w) != Outcome::Gone);
        self.listing(
            changes.len() as u64,
            true,
            listed.map(|w| (w, status(w))).collect(),
        )
    }

    /// What has changed since this version, and the version that the list has now.
    pub fn changes_since(&self, version: u64) -> (u64, String) {
        let changes = self.changes();
        let since = changes.iter().filter(|c| c.version > version);
        let lines = since.map(|c| (c.worker, c.status)).collect();
        (
            changes.len() as u64,
            self.listing(changes.len() as u64, false, lines),
        )
    }

    fn listing(&self, version: u64, whole: bool, lines: Vec<(usize, Outcome)>) -> String {
        let line = |(worker, status): (usize, Outcome)| {
            let status = format!("{status:?}").to_lowercase();
            endpoint_line(&format!("w{worker:02}"), self.ports[worker], &status)
        };
        listing(
            version,
            whole,
            &lines.into_iter().map(line).collect::<Vec<_>>(),
        )
    }
}
