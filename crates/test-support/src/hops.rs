//! Next hops of the fleet in one process: slots, memory, a queue in order of arrival or of
//! priority, and a cold start.

use fastrand::Rng;
use pumiceway_core::AttemptId;
use pumiceway_decisions::api::{EndpointState, Idempotency, LoadReport, Settings};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// A branch, by the life of an instance that it belongs to.
pub type Key = ((usize, u32), AttemptId);

/// What next hops and jobs of a deployment are like.
pub struct Traits {
    /// Slots of each kind of next hop, and its speed. It has as much memory as slots.
    pub machines: &'static [(f64, f64)],
    /// Of each class: its parts of all jobs, what one takes on the mean on a warm next hop of speed
    /// 1, and its slots.
    pub jobs: &'static [(u32, u64, f64)],
    /// Jobs of a class differ in length, and need memory.
    pub varied: bool,
    /// Reports tell of what waits instead of how busy the cores are, and are as old as this; 0: of
    /// the moment.
    pub report_every: u64,
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
        let (priority, safe) = (
            s.classes[class].queue_priority,
            s.classes[class].idempotency == Idempotency::Idempotent,
        );
        Needs {
            class,
            work,
            slots,
            memory,
            priority,
            safe,
        }
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
    pub left: Option<u64>,
}

/// A job that has begun, or goes on: its number there, and how long it takes.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    pub run: u64,
    pub key: Key,
    pub takes: u64,
    pub goes_on: bool,
}

pub struct SimulatedEndpoint {
    pub zone: usize,
    pub kind: usize,
    /// It was there from the start.
    pub first: bool,
    pub alive: bool,
    /// Nothing comes through to it or from it.
    pub silent: bool,
    pub ready_at: u64,
    /// Its states, and its starts, each with the version of the list that told of it first.
    pub states: Vec<(usize, EndpointState)>,
    pub starts: Vec<(usize, u64)>,
    /// When each instance was told of the last of its states.
    pub heard: HashMap<usize, u64>,
    traits: Arc<Traits>,
    slow_start_share: f64,
    slow_start_duration: u64,
    /// Each with the time of its end.
    running: BTreeMap<u64, (Run, u64)>,
    suspended: VecDeque<Run>,
    queue: VecDeque<Run>,
    last: u64,
    report: (u64, LoadReport),
}

impl SimulatedEndpoint {
    /// The `n`-th next hop.
    pub fn new(
        zone: usize,
        n: usize,
        first: bool,
        ready_at: u64,
        s: &Settings,
        t: &Arc<Traits>,
    ) -> SimulatedEndpoint {
        SimulatedEndpoint {
            zone,
            kind: t.kind(zone, n / s.zone_count),
            first,
            alive: true,
            silent: false,
            ready_at,
            states: Vec::new(),
            starts: Vec::new(),
            heard: HashMap::new(),
            traits: t.clone(),
            slow_start_share: s.slow_start_share,
            slow_start_duration: s.slow_start_duration.as_micros() as u64,
            running: BTreeMap::new(),
            suspended: VecDeque::new(),
            queue: VecDeque::new(),
            last: 0,
            report: (0, LoadReport::default()),
        }
    }

    /// The share of its capacity that it has, while it is cold.
    pub fn cold(&self, now: u64) -> Option<f64> {
        let age = now.saturating_sub(self.ready_at);
        let cold = self.ready_at > 0 && age < self.slow_start_duration;
        cold.then(|| {
            self.slow_start_share
                + (1.0 - self.slow_start_share) * age as f64 / self.slow_start_duration as f64
        })
    }

    fn slots(&self) -> f64 {
        self.traits.machines[self.kind].0
    }

    /// Work that it does in a time when it is warm, in parts of that time.
    pub fn capacity(&self) -> f64 {
        self.slots() * self.traits.machines[self.kind].1
    }

    fn free(&self) -> f64 {
        self.slots()
            - self
                .running
                .values()
                .map(|(r, _)| r.needs.slots)
                .sum::<f64>()
    }

    /// What is suspended keeps its memory.
    fn free_memory(&self) -> f64 {
        let used = self
            .running
            .values()
            .map(|(r, _)| r)
            .chain(&self.suspended)
            .map(|r| r.needs.memory);
        self.slots() - used.sum::<f64>()
    }

    pub fn report(&mut self, now: u64) -> LoadReport {
        self.refresh(now);
        if self.traits.report_every > 0 {
            return self.report.1;
        }
        let free = Some(self.free());
        LoadReport {
            free_slots: free,
            free_memory: free,
            cpu_utilization: Some(1.0 - self.free() / self.slots()),
            ..LoadReport::default()
        }
    }

    /// Before anything changes: what the report that was due since the last change has shown.
    fn refresh(&mut self, now: u64) {
        let every = self.traits.report_every;
        if every > 0 && (self.report.0 == 0 || now / every > self.report.0 / every) {
            let waiting = self.suspended.len() + self.queue.len();
            let report = LoadReport {
                in_flight: Some((self.running.len() + waiting) as f64),
                queued: Some(waiting as f64),
                free_slots: Some(self.free()),
                free_memory: Some(self.free_memory()),
                ..LoadReport::default()
            };
            self.report = (now, report);
        }
    }

    /// A job comes; what begins now.
    pub fn take(&mut self, now: u64, run: Run) -> Vec<Begun> {
        self.refresh(now);
        let behind = self
            .queue
            .iter()
            .position(|r| r.needs.priority < run.needs.priority);
        self.queue.insert(behind.unwrap_or(self.queue.len()), run);
        self.begin(now)
    }

    /// A job has ended: whose it was, and what begins now.
    pub fn done(&mut self, now: u64, run: u64) -> Option<(Key, Vec<Begun>)> {
        self.refresh(now);
        let (ended, _) = self.running.remove(&run)?;
        Some((ended.key, self.begin(now)))
    }

    /// Nobody waits for this one: it may leave the queue, or runs to its end for nobody.
    pub fn cut(&mut self, now: u64, key: Key) -> Vec<Begun> {
        if self.traits.drops {
            self.refresh(now);
            self.queue.retain(|r| r.key != key);
        }
        self.begin(now)
    }

    /// It dies; whose jobs were there.
    pub fn clear(&mut self) -> Vec<Key> {
        let running = std::mem::take(&mut self.running)
            .into_values()
            .map(|(r, _)| r);
        running
            .chain(self.suspended.drain(..))
            .chain(self.queue.drain(..))
            .map(|r| r.key)
            .collect()
    }

    /// What was suspended goes on before what waits at its priority.
    fn begin(&mut self, now: u64) -> Vec<Begun> {
        let mut begun = Vec::new();
        loop {
            let first = self.queue.front().map(|r| r.needs.priority);
            let waits = self
                .suspended
                .front()
                .filter(|s| first.is_none_or(|p| p <= s.needs.priority));
            let goes_on = waits.is_some();
            let Some(&run) = waits.or(self.queue.front()) else {
                break;
            };
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
            let takes = run.left.unwrap_or((run.needs.work / pace) as u64);
            self.running.insert(self.last, (run, now + takes));
            begun.push(Begun {
                run: self.last,
                key: run.key,
                takes,
                goes_on,
            });
        }
        begun
    }

    /// Makes room for a job of this priority, if it can.
    fn suspend(&mut self, now: u64, priority: u32) -> bool {
        let yields = |r: &Run| r.needs.safe && r.needs.priority < priority;
        let last = self
            .running
            .iter()
            .rev()
            .find(|(_, (r, _))| self.traits.suspends && yields(r));
        let Some((&n, &(run, ends))) = last else {
            return false;
        };
        self.running.remove(&n);
        self.suspended.push_back(Run {
            left: Some(ends.saturating_sub(now)),
            ..run
        });
        true
    }
}
