//! A simulated endpoint with slots, memory, a queue and slow start.
//!
//! Jobs are queued by priority, and in order of arrival within a priority. If the deployment allows
//! it, a job suspends an idempotent job of lower priority, which keeps its memory meanwhile.

use super::event_queue::AttemptKey;
use super::micros_f64;
use super::workload::{MachineSpec, Requirements, Workload};
use pumiceway_decisions::api::{EndpointState, KindId, LoadReport, Settings, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A job that is queued, suspended or running at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobRun {
    pub key: AttemptKey,
    pub requirements: Requirements,
    /// The remaining run time of a job that was suspended.
    pub remaining: Option<Duration>,
}

struct ActiveRun {
    run: JobRun,
    ends_at: Timestamp,
}

/// A job that was started or resumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedRun {
    /// The number of the run at the endpoint.
    pub run_number: u64,
    pub key: AttemptKey,
    pub duration: Duration,
    pub is_resumed: bool,
}

/// A job that has ended, and the jobs that were started in its place.
pub(super) struct EndedRun {
    pub key: AttemptKey,
    pub started: Vec<StartedRun>,
}

/// A state of an endpoint in the list, with the index of the change that set it.
pub(super) struct ListedState {
    pub change: usize,
    pub state: EndpointState,
}

/// A start of an endpoint, with the index of the change that announced it.
pub(super) struct ListedStart {
    pub change: usize,
    pub ready_at: Timestamp,
}

/// The place of a new endpoint in the fleet.
pub(super) struct Placement {
    pub zone: usize,
    pub index: usize,
    /// Whether it is listed from the start of the simulation, without a change that adds it.
    pub is_initial: bool,
    /// When it became ready; the origin of the clock if it was ready from the start.
    pub ready_at: Timestamp,
}

pub(super) struct SimulatedEndpoint {
    pub zone: usize,
    pub kind: KindId,
    pub is_initial: bool,
    pub is_alive: bool,
    /// Whether messages to it and from it are lost.
    pub is_silent: bool,
    pub ready_at: Timestamp,
    pub states: Vec<ListedState>,
    pub starts: Vec<ListedStart>,
    /// When each instance was notified of the latest state.
    pub notified_at: HashMap<usize, Timestamp>,
    workload: Arc<Workload>,
    slow_start_share: f64,
    slow_start_duration: Duration,
    running: BTreeMap<u64, ActiveRun>,
    suspended: VecDeque<JobRun>,
    queue: VecDeque<JobRun>,
    last_run_number: u64,
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
            last_run_number: 0,
            report: LoadReport::default(),
            reported_at: Timestamp::ORIGIN,
        }
    }

    /// Records a change of its state in the list, of which no instance is notified yet.
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

    /// The share of its capacity that is available during slow start; none after it.
    pub fn slow_start_factor(&self, now: Timestamp) -> Option<f64> {
        let age = now.saturating_duration_since(self.ready_at);
        if self.ready_at == Timestamp::ORIGIN || age >= self.slow_start_duration {
            return None;
        }
        let missing_share = 1.0 - self.slow_start_share;
        let grown_share = missing_share * micros_f64(age) / micros_f64(self.slow_start_duration);
        Some(self.slow_start_share + grown_share)
    }

    fn machine(&self) -> &'static MachineSpec {
        &self.workload.machines[self.kind.0]
    }

    /// The work per unit of time after slow start.
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

    /// Updates the load report if a report interval has begun since the last one. Called before each
    /// change, so that the report shows the state at the start of the interval.
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

    /// Queues a job. Returns the jobs that are started.
    pub fn submit(&mut self, now: Timestamp, run: JobRun) -> Vec<StartedRun> {
        self.refresh_report(now);
        let priority = run.requirements.priority;
        let waiting = self.queue.iter();
        let lower = waiting
            .map(|queued| queued.requirements.priority)
            .position(|queued| queued < priority);
        self.queue.insert(lower.unwrap_or(self.queue.len()), run);
        self.start_runs(now)
    }

    /// Ends a job, if it still runs.
    pub fn finish(&mut self, now: Timestamp, run_number: u64) -> Option<EndedRun> {
        self.refresh_report(now);
        let ended = self.running.remove(&run_number)?;
        Some(EndedRun {
            key: ended.run.key,
            started: self.start_runs(now),
        })
    }

    /// Cancels the job of an aborted attempt. It is removed from the queue if the workload drops
    /// cancelled jobs; otherwise, or if it has started, it still runs to its end. Returns the jobs
    /// that are started.
    pub fn cancel(&mut self, now: Timestamp, key: AttemptKey) -> Vec<StartedRun> {
        if self.workload.drops_cancelled {
            self.refresh_report(now);
            self.queue.retain(|queued| queued.key != key);
        }
        self.start_runs(now)
    }

    /// Drops all jobs. Returns the attempts that they belong to.
    pub fn drop_all_runs(&mut self) -> Vec<AttemptKey> {
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

    /// The suspended job to resume, if any. It takes precedence over queued jobs of its priority.
    fn next_resumed(&self) -> Option<JobRun> {
        let queued = self.queue.front().map(|run| run.requirements.priority);
        let suspended = self.suspended.front().copied();
        suspended.filter(|run| queued.is_none_or(|queued| queued <= run.requirements.priority))
    }

    fn start_run(&mut self, now: Timestamp, run: JobRun, is_resumed: bool) -> StartedRun {
        let speed = self.machine().speed * self.slow_start_factor(now).unwrap_or(1.0);
        let full_duration = Duration::from_micros((run.requirements.work_us / speed) as u64);
        let duration = run.remaining.unwrap_or(full_duration);
        let ends_at = now + duration;
        self.last_run_number += 1;
        self.running
            .insert(self.last_run_number, ActiveRun { run, ends_at });
        StartedRun {
            run_number: self.last_run_number,
            key: run.key,
            duration,
            is_resumed,
        }
    }

    /// Suspends the job that was started last among those that a job of this priority may preempt.
    /// Returns whether there was one.
    fn suspend_one(&mut self, now: Timestamp, priority: u32) -> bool {
        let yields =
            |run: &JobRun| run.requirements.is_idempotent && run.requirements.priority < priority;
        let mut latest_first = self.running.iter().rev();
        let last = latest_first.find(|(_, active)| self.workload.suspends && yields(&active.run));
        let Some((&run_number, _)) = last else {
            return false;
        };
        let Some(active) = self.running.remove(&run_number) else {
            return false;
        };
        self.suspended.push_back(JobRun {
            remaining: Some(active.ends_at.saturating_duration_since(now)),
            ..active.run
        });
        true
    }
}
