//! Next hops of the fleet in one process: slots, a queue in order of arrival, and a cold start.

use pumiceway_core::BranchId;
use pumiceway_decisions::api::{Micros, Report, Settings, WorkerState};
use std::collections::{BTreeMap, HashMap, VecDeque};

pub const SLOTS: f64 = 4.0;

/// A branch, by the life of an instance that it belongs to.
pub type Key = ((usize, u32), BranchId);

/// A job at a next hop.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub key: Key,
    pub class: usize,
}

/// A job that has begun: its number there, and how long it takes.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    pub run: u64,
    pub key: Key,
    pub takes: Micros,
}

pub struct Hop {
    pub zone: usize,
    /// It was there from the start.
    pub first: bool,
    pub alive: bool,
    /// Nothing comes through to it or from it.
    pub silent: bool,
    pub ready_at: Micros,
    /// Its states, and its starts, each with the version of the list that told of it first.
    pub states: Vec<(usize, WorkerState)>,
    pub starts: Vec<(usize, Micros)>,
    /// When each instance was told of the last of its states.
    pub heard: HashMap<usize, Micros>,
    cold_from: f64,
    cold_for: Micros,
    running: BTreeMap<u64, Run>,
    queue: VecDeque<Run>,
    last: u64,
}

/// What a job of a class takes on a warm next hop.
pub fn work(class: usize) -> Micros {
    [150_000, 400_000][class]
}

/// Slots that it takes.
pub fn slots(class: usize) -> f64 {
    [1.0, 2.0][class]
}

impl Hop {
    pub fn new(zone: usize, first: bool, ready_at: Micros, s: &Settings) -> Hop {
        Hop {
            zone,
            first,
            alive: true,
            silent: false,
            ready_at,
            states: Vec::new(),
            starts: Vec::new(),
            heard: HashMap::new(),
            cold_from: s.cold_from,
            cold_for: s.cold_for,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            last: 0,
        }
    }

    /// The share of its capacity that it has, while it is cold.
    pub fn cold(&self, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(self.ready_at);
        let cold = self.ready_at > 0 && age < self.cold_for;
        cold.then(|| self.cold_from + (1.0 - self.cold_from) * age as f64 / self.cold_for as f64)
    }

    fn free(&self) -> f64 {
        SLOTS - self.running.values().map(|r| slots(r.class)).sum::<f64>()
    }

    pub fn report(&self) -> Report {
        let free = Some(self.free());
        Report {
            free_slots: free,
            free_memory: free,
            busy: Some(1.0 - self.free() / SLOTS),
            ..Report::default()
        }
    }

    /// A job comes; what begins now.
    pub fn take(&mut self, now: Micros, run: Run) -> Vec<Begun> {
        self.queue.push_back(run);
        self.begin(now)
    }

    /// A job has ended: whose it was, and what begins now.
    pub fn done(&mut self, now: Micros, run: u64) -> Option<(Key, Vec<Begun>)> {
        let ended = self.running.remove(&run)?;
        Some((ended.key, self.begin(now)))
    }

    /// Nobody waits for this one: it leaves the queue, or runs to its end for nobody.
    pub fn cut(&mut self, now: Micros, key: Key) -> Vec<Begun> {
        self.queue.retain(|r| r.key != key);
        self.begin(now)
    }

    /// It dies; whose jobs were there.
    pub fn clear(&mut self) -> Vec<Key> {
        let running = std::mem::take(&mut self.running).into_values();
        running.chain(self.queue.drain(..)).map(|r| r.key).collect()
    }

    fn begin(&mut self, now: Micros) -> Vec<Begun> {
        let mut begun = Vec::new();
        while let Some(&run) = self.queue.front().filter(|r| slots(r.class) <= self.free()) {
            self.queue.pop_front();
            self.last += 1;
            self.running.insert(self.last, run);
            let takes = work(run.class) as f64 / self.cold(now).unwrap_or(1.0);
            begun.push(Begun { run: self.last, key: run.key, takes: takes as Micros });
        }
        begun
    }
}
