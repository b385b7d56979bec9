//! A simulated endpoint: slots, memory, a queue and a slow start.
//!
//! Jobs wait in order of priority, and of arrival within a priority. Where the deployment allows
//! it, a job suspends an idempotent one of lower priority, which keeps its memory meanwhile.

use super::agenda::AttemptKey;
use super::micros_f64;
use super::workload::{MachineTraits, Requirements, Workload};
use pumiceway_decisions::api::{EndpointState, KindId, LoadReport, Settings, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A job that waits at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRun {
    pub key: AttemptKey,
    pub requirements: Requirements,
    /// The time that it still needs, once it has run and was suspended.
    pub remaining: Option<Duration>,
}

struct ActiveRun {
    run: PendingRun,
    ends_at: Timestamp,
}

/// A job that has begun to run or was resumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedRun {
    /// Its number at the endpoint.
    pub run: u64,
    pub key: AttemptKey,
    pub duration: Duration,
    pub is_resumed: bool,
}

/// A job that has ended, and those that begin in its place.
pub(super) struct EndedRun {
    pub key: AttemptKey,
    pub started: Vec<StartedRun>,
}

/// A state of an endpoint, with the index of the change that set it in the history of the list.
pub(super) struct ListedState {
    pub change: usize,
    pub state: EndpointState,
}

/// A start of an endpoint, with the index of the change that announced it.
pub(super) struct ListedStart {
    pub change: usize,
    pub ready_at: Timestamp,
}

/// Where an endpoint is in the fleet.
pub(super) struct Placement {
    pub zone: usize,
    pub index: usize,
    /// It is part of the fleet from the start of the day, and needs no line that announces it.
    pub is_initial: bool,
    /// When it became ready; the origin of the clock if it was always.
    pub ready_at: Timestamp,
}

pub(super) struct SimulatedEndpoint {
    pub zone: usize,
    pub kind: KindId,
    pub is_initial: bool,
    pub is_alive: bool,
    /// Nothing reaches it, and nothing that it sends arrives.
    pub is_silent: bool,
    pub ready_at: Timestamp,
    pub states: Vec<ListedState>,
    pub starts: Vec<ListedStart>,
    /// When each instance was notified of the last of the states.
    pub notified_at: HashMap<usize, Timestamp>,
    workload: Arc<Workload>,
    slow_start_share: f64,
    slow_start_duration: Duration,
    running: BTreeMap<u64, ActiveRun>,
    suspended: VecDeque<PendingRun>,
    queue: VecDeque<PendingRun>,
    last_run: u64,
    report: LoadReport,
    reported_at: Timestamp,
}

impl SimulatedEndpoint {
    pub fn new(
        placement: Placement,
        settings: &Settings,
        workload: &Arc<Workload>,
    ) -> SimulatedEndpoint {
        let index_in_zone = placement.index / settings.zone_count;
        SimulatedEndpoint {
            zone: placement.zone,
            kind: workload.kind(placement.zone, index_in_zone),
            is_initial: placement.is_initial,
            is_alive: true,
            is_silent: false,
            ready_at: placement.ready_at,
            states: Vec::new(),
            starts: Vec::new(),
            notified_at: HashMap::new(),
            workload: workload.clone(),
            slow_start_share: settings.slow_start_share,
            slow_start_duration: settings.slow_start_duration,
            running: BTreeMap::new(),
            suspended: VecDeque::new(),
            queue: VecDeque::new(),
            last_run: 0,
            report: LoadReport::default(),
            reported_at: Timestamp::ORIGIN,
        }
    }

    /// Notes that a change of the list has given it this state, of which nobody is notified yet.
    pub fn change_state(&mut self, change: usize, state: EndpointState, now: Timestamp) {
        self.states.push(ListedState { change, state });
        self.notified_at.clear();
        if state == EndpointState::Ready {
            self.starts.push(ListedStart {
                change,
                ready_at: now,
            });
        }
    }

    /// The share of its capacity that it has during its slow start; none after it.
    pub fn slow_start_factor(&self, now: Timestamp) -> Option<f64> {
        let age = now.saturating_duration_since(self.ready_at);
        if self.ready_at == Timestamp::ORIGIN || age >= self.slow_start_duration {
            return None;
        }
        let missing_share = 1.0 - self.slow_start_share;
        let grown_share = missing_share * micros_f64(age) / micros_f64(self.slow_start_duration);
        Some(self.slow_start_share + grown_share)
    }

    fn machine(&self) -> &'static MachineTraits {
        &self.workload.machines[self.kind.0]
    }

    /// The work that it does per unit of time when its slow start is over.
    pub fn capacity(&self) -> f64 {
        self.machine().capacity()
    }

    fn free_slots(&self) -> f64 {
        let runs = self.running.values();
        let used: f64 = runs.map(|active| active.run.requirements.slots).sum();
        self.machine().slots - used
    }

    /// Suspended jobs keep their memory.
    fn free_memory(&self) -> f64 {
        let running = self.running.values().map(|active| &active.run);
        let runs = running.chain(&self.suspended);
        let used: f64 = runs.map(|run| run.requirements.memory).sum();
        self.machine().slots - used
    }

    pub fn load_report(&mut self, now: Timestamp) -> LoadReport {
        self.refresh_report(now);
        if !self.workload.report_interval.is_zero() {
            return self.report;
        }
        let free_slots = self.free_slots();
        LoadReport {
            free_slots: Some(free_slots),
            free_memory: Some(free_slots),
            cpu_utilization: Some(1.0 - free_slots / self.machine().slots),
            ..LoadReport::default()
        }
    }

    /// Takes the report that was due since the last change. Comes before each change, as the report
    /// shows what was there until then.
    fn refresh_report(&mut self, now: Timestamp) {
        let interval = self.workload.report_interval;
        if interval.is_zero() {
            return;
        }
        let period = |at: Timestamp| u128::from(at.as_micros()) / interval.as_micros();
        let never_reported = self.reported_at == Timestamp::ORIGIN;
        if !never_reported && period(now) <= period(self.reported_at) {
            return;
        }
        let waiting = self.suspended.len() + self.queue.len();
        self.report = LoadReport {
            in_flight: Some((self.running.len() + waiting) as f64),
            queued: Some(waiting as f64),
            free_slots: Some(self.free_slots()),
            free_memory: Some(self.free_memory()),
            ..LoadReport::default()
        };
        self.reported_at = now;
    }

    /// A job arrives. Returns the jobs that begin.
    pub fn submit(&mut self, now: Timestamp, run: PendingRun) -> Vec<StartedRun> {
        self.refresh_report(now);
        let priority = run.requirements.priority;
        let waiting = self.queue.iter();
        let lower = waiting
            .map(|queued| queued.requirements.priority)
            .position(|queued| queued < priority);
        self.queue.insert(lower.unwrap_or(self.queue.len()), run);
        self.start_runs(now)
    }

    /// A job ends, if it still runs.
    pub fn finish(&mut self, now: Timestamp, run: u64) -> Option<EndedRun> {
        self.refresh_report(now);
        let ended = self.running.remove(&run)?;
        Some(EndedRun {
            key: ended.run.key,
            started: self.start_runs(now),
        })
    }

    /// An attempt is aborted: its job may leave the queue, or else runs to its end in vain. Returns
    /// the jobs that begin.
    pub fn cancel(&mut self, now: Timestamp, key: AttemptKey) -> Vec<StartedRun> {
        if self.workload.drops_cancelled {
            self.refresh_report(now);
            self.queue.retain(|queued| queued.key != key);
        }
        self.start_runs(now)
    }

    /// Loses all jobs. Returns the attempts that they belong to.
    pub fn lose_all(&mut self) -> Vec<AttemptKey> {
        let running = std::mem::take(&mut self.running).into_values();
        running
            .map(|active| active.run)
            .chain(self.suspended.drain(..))
            .chain(self.queue.drain(..))
            .map(|run| run.key)
            .collect()
    }

    fn start_runs(&mut self, now: Timestamp) -> Vec<StartedRun> {
        let mut started = Vec::new();
        loop {
            let resumed = self.next_resumed();
            let is_resumed = resumed.is_some();
            let Some(run) = resumed.or(self.queue.front().copied()) else {
                break;
            };
            if !is_resumed && run.requirements.memory > self.free_memory() {
                break;
            }
            if run.requirements.slots > self.free_slots() {
                if self.suspend_one(now, run.requirements.priority) {
                    continue;
                }
                break;
            }
            if is_resumed {
                self.suspended.pop_front();
            } else {
                self.queue.pop_front();
            }
            started.push(self.start_run(now, run, is_resumed));
        }
        started
    }

    /// The suspended job that is next. It goes before queued ones of its own priority.
    fn next_resumed(&self) -> Option<PendingRun> {
        let queued = self.queue.front().map(|run| run.requirements.priority);
        let suspended = self.suspended.front().copied();
        suspended.filter(|run| queued.is_none_or(|queued| queued <= run.requirements.priority))
    }

    fn start_run(&mut self, now: Timestamp, run: PendingRun, is_resumed: bool) -> StartedRun {
        let speed = self.machine().speed * self.slow_start_factor(now).unwrap_or(1.0);
        let full_duration = Duration::from_micros((run.requirements.work_us / speed) as u64);
        let duration = run.remaining.unwrap_or(full_duration);
        let ends_at = now + duration;
        self.last_run += 1;
        self.running
            .insert(self.last_run, ActiveRun { run, ends_at });
        StartedRun {
            run: self.last_run,
            key: run.key,
            duration,
            is_resumed,
        }
    }

    /// Suspends the last job that may yield to one of this priority. Returns whether there was one.
    fn suspend_one(&mut self, now: Timestamp, priority: u32) -> bool {
        let yields = |run: &PendingRun| {
            run.requirements.is_idempotent && run.requirements.priority < priority
        };
        let mut latest_first = self.running.iter().rev();
        let last = latest_first.find(|(_, active)| self.workload.suspends && yields(&active.run));
        let Some((&number, _)) = last else {
            return false;
        };
        let Some(active) = self.running.remove(&number) else {
            return false;
        };
        self.suspended.push_back(PendingRun {
            remaining: Some(active.ends_at.saturating_duration_since(now)),
            ..active.run
        });
        true
    }
}
