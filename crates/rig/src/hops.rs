//! Next hops of the fleet in one process: slots, memory, a queue in order of arrival or of priority, and a cold start.

use fastrand::Rng;
use pumiceway_core::BranchId;
use pumiceway_decisions::api::{Effect, Micros, Report, Settings, WorkerState};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// A branch, by the life of an instance that it belongs to.
pub type Key = ((usize, u32), BranchId);

/// What next hops and jobs of a deployment are like.
pub struct Traits {
    /// Slots of each kind of next hop, and its speed. It has as much memory as slots.
    pub machines: &'static [(f64, f64)],
    /// Of each class: its parts of all jobs, what one takes on the mean on a warm next hop of speed 1, and its slots.
    pub jobs: &'static [(u32, Micros, f64)],
    /// Jobs of a class differ in length, and need memory.
    pub varied: bool,
    /// Reports tell of what waits instead of how busy the cores are, and are as old as this; 0: of the moment.
    pub report_every: Micros,
    /// What waits and is cancelled does not run any more.
    pub drops: bool,
    /// A job may suspend one of lower priority that is safe to repeat.
    pub suspends: bool,
}

/// What a job needs, and how it is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Needs {
    pub class: usize,
    pub work: f64,
    pub slots: f64,
    pub memory: f64,
    priority: u32,
    safe: bool,
}

impl Traits {
    /// Draws a job.
    pub fn draw(&self, s: &Settings, rng: &mut Rng) -> Needs {
        let mut part = rng.u32(..self.jobs.iter().map(|j| j.0).sum::<u32>());
        let mut class = self.jobs.len() - 1;
        while part >= self.jobs[class].0 {
            part -= self.jobs[class].0;
            class -= 1;
        }
        let (_, work, slots) = self.jobs[class];
        let (mut work, mut memory) = (work as f64, 0.0);
        if self.varied {
            work *= 0.25 - 0.75 * (1.0 - rng.f64()).ln();
            memory = 0.3 + 0.5 * rng.f64();
        }
        let (priority, safe) = (s.classes[class].priority, s.classes[class].effect == Effect::Safe);
        Needs { class, work, slots, memory, priority, safe }
    }

    /// The kind of a next hop, by its zone and number.
    pub fn kind(&self, zone: usize, n: usize) -> usize {
        usize::from((zone + n) % 3 == 2) % self.machines.len()
    }
}

/// A job at a next hop; and what is left of it, once it has been suspended.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub key: Key,
    pub needs: Needs,
    pub left: Option<Micros>,
}

/// A job that has begun, or goes on: its number there, and how long it takes.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    pub run: u64,
    pub key: Key,
    pub takes: Micros,
    pub goes_on: bool,
}

pub struct Hop {
    pub zone: usize,
    pub kind: usize,
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
    traits: Arc<Traits>,
    cold_from: f64,
    cold_for: Micros,
    /// Each with the time of its end.
    running: BTreeMap<u64, (Run, Micros)>,
    suspended: VecDeque<Run>,
    queue: VecDeque<Run>,
    last: u64,
    report: (Micros, Report),
}

impl Hop {
    /// The `n`-th next hop.
    pub fn new(zone: usize, n: usize, first: bool, ready_at: Micros, s: &Settings, t: &Arc<Traits>) -> Hop {
        Hop {
            zone,
            kind: t.kind(zone, n / s.zones),
            first,
            alive: true,
            silent: false,
            ready_at,
            states: Vec::new(),
            starts: Vec::new(),
            heard: HashMap::new(),
            traits: t.clone(),
            cold_from: s.cold_from,
            cold_for: s.cold_for,
            running: BTreeMap::new(),
            suspended: VecDeque::new(),
            queue: VecDeque::new(),
            last: 0,
            report: (0, Report::default()),
        }
    }

    /// The share of its capacity that it has, while it is cold.
    pub fn cold(&self, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(self.ready_at);
        let cold = self.ready_at > 0 && age < self.cold_for;
        cold.then(|| self.cold_from + (1.0 - self.cold_from) * age as f64 / self.cold_for as f64)
    }

    fn slots(&self) -> f64 {
        self.traits.machines[self.kind].0
    }

    /// Work that it does in a time when it is warm, in parts of that time.
    pub fn capacity(&self) -> f64 {
        self.slots() * self.traits.machines[self.kind].1
    }

    fn free(&self) -> f64 {
        self.slots() - self.running.values().map(|(r, _)| r.needs.slots).sum::<f64>()
    }

    /// What is suspended keeps its memory.
    fn free_memory(&self) -> f64 {
        let used = self.running.values().map(|(r, _)| r).chain(&self.suspended).map(|r| r.needs.memory);
        self.slots() - used.sum::<f64>()
    }

    pub fn report(&mut self, now: Micros) -> Report {
        self.refresh(now);
        if self.traits.report_every > 0 {
            return self.report.1;
        }
        let free = Some(self.free());
        Report {
            free_slots: free,
            free_memory: free,
            busy: Some(1.0 - self.free() / self.slots()),
            ..Report::default()
        }
    }

    /// Before anything changes: what the report that was due since the last change has shown.
    fn refresh(&mut self, now: Micros) {
        let every = self.traits.report_every;
        if every > 0 && (self.report.0 == 0 || now / every > self.report.0 / every) {
            let waiting = self.suspended.len() + self.queue.len();
            let report = Report {
                in_flight: Some((self.running.len() + waiting) as f64),
                waiting: Some(waiting as f64),
                free_slots: Some(self.free()),
                free_memory: Some(self.free_memory()),
                ..Report::default()
            };
            self.report = (now, report);
        }
    }

    /// A job comes; what begins now.
    pub fn take(&mut self, now: Micros, run: Run) -> Vec<Begun> {
        self.refresh(now);
        let behind = self.queue.iter().position(|r| r.needs.priority < run.needs.priority);
        self.queue.insert(behind.unwrap_or(self.queue.len()), run);
        self.begin(now)
    }

    /// A job has ended: whose it was, and what begins now.
    pub fn done(&mut self, now: Micros, run: u64) -> Option<(Key, Vec<Begun>)> {
        self.refresh(now);
        let (ended, _) = self.running.remove(&run)?;
        Some((ended.key, self.begin(now)))
    }

    /// Nobody waits for this one: it may leave the queue, or runs to its end for nobody.
    pub fn cut(&mut self, now: Micros, key: Key) -> Vec<Begun> {
        if self.traits.drops {
            self.refresh(now);
            self.queue.retain(|r| r.key != key);
        }
        self.begin(now)
    }

    /// It dies; whose jobs were there.
    pub fn clear(&mut self) -> Vec<Key> {
        let running = std::mem::take(&mut self.running).into_values().map(|(r, _)| r);
        running.chain(self.suspended.drain(..)).chain(self.queue.drain(..)).map(|r| r.key).collect()
    }

    /// What was suspended goes on before what waits at its priority.
    fn begin(&mut self, now: Micros) -> Vec<Begun> {
        let mut begun = Vec::new();
        loop {
            let first = self.queue.front().map(|r| r.needs.priority);
            let waits = self.suspended.front().filter(|s| first.is_none_or(|p| p <= s.needs.priority));
            let goes_on = waits.is_some();
            let Some(&run) = waits.or(self.queue.front()) else { break };
            if !goes_on && run.needs.memory > self.free_memory() {
                break;
            }
            if run.needs.slots > self.free() {
                if self.suspend(now, run.needs.priority) {
                    continue;
                }
                break;
            }
            if goes_on {
                self.suspended.pop_front()
            } else {
                self.queue.pop_front()
            };
            self.last += 1;
            let pace = self.traits.machines[self.kind].1 * self.cold(now).unwrap_or(1.0);
            let takes = run.left.unwrap_or((run.needs.work / pace) as Micros);
            self.running.insert(self.last, (run, now + takes));
            begun.push(Begun { run: self.last, key: run.key, takes, goes_on });
        }
        begun
    }

    /// Makes room for a job of this priority, if it can.
    fn suspend(&mut self, now: Micros, priority: u32) -> bool {
        let yields = |r: &Run| r.needs.safe && r.needs.priority < priority;
        let last = self.running.iter().rev().find(|(_, (r, _))| self.traits.suspends && yields(r));
        let Some((&n, &(run, ends))) = last else { return false };
        self.running.remove(&n);
        self.suspended.push_back(Run { left: Some(ends.saturating_sub(now)), ..run });
        true
    }
}
