//! Attempts: connections, the network between instances and endpoints, and the rules for sending a
//! job again.

use super::DRAIN_GRACE;
use super::endpoint::{JobRun, StartedRun};
use super::event_queue::{AttemptKey, Incarnation, SimulationEvent};
use super::plan::{DISRUPTION_DELAY, Disruption, InjectedFault, SIMULATION_START};
use super::simulation::Simulation;
use super::summary::SlowStartSend;
use super::workload::Requirements;
use bytes::Bytes;
use pumiceway_core::{AttemptId, AttemptOutcome, AttemptUpdate, Event, Job};
use pumiceway_decisions::api::{DeduplicationScope, Idempotency, Settings, Timestamp};
use std::time::Duration;

/// The one-way network delay between two machines.
pub(super) const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// How long a zone is partitioned from the others.
const PARTITION_LENGTH: Duration = Duration::from_secs(6);
/// One in this many attempts is reset by its endpoint under [`Disruption::ImpatientClients`].
const RESETS_ONE_IN: u32 = 50;

pub(super) struct AttemptInFlight {
    pub endpoint: usize,
    pub job: u64,
}

/// An attempt that may have run its job.
pub(super) struct PossibleExecution {
    key: AttemptKey,
    zone: usize,
    started_at: Timestamp,
}

/// The attempts of a job, for the rules on sending it again.
#[derive(Default)]
pub(super) struct JobHistory {
    pub requirements: Requirements,
    pub possible_executions: Vec<PossibleExecution>,
    attempts: usize,
    executions: usize,
}

impl JobHistory {
    /// The rule that an attempt in this zone violates, if any.
    fn resend_violation(
        &self,
        settings: &Settings,
        zone: usize,
        now: Timestamp,
    ) -> Option<&'static str> {
        if self.attempts > settings.max_attempts {
            return Some("has too many attempts");
        }
        let executions = &self.possible_executions;
        let first = executions
            .iter()
            .map(|execution| execution.started_at)
            .min()?;
        match settings.classes[self.requirements.class].idempotency {
            Idempotency::NonIdempotent => Some("is sent again, and may have run"),
            Idempotency::Keyed { window, .. } if now > first + window => {
                Some("is sent again after its window, and may have run")
            }
            Idempotency::Keyed {
                scope: DeduplicationScope::Zone,
                ..
            } => {
                let ran_in_other_zone = executions.iter().any(|execution| execution.zone != zone);
                ran_in_other_zone.then_some("is sent to another zone, and may have run")
            }
            _ => None,
        }
    }
}

impl Simulation {
    pub fn is_reachable(&self, instance: usize, endpoint: usize) -> bool {
        let endpoint = &self.endpoints[endpoint];
        let is_partitioned = self.zone_is_partitioned()
            && instance.is_multiple_of(self.settings.zone_count) != (endpoint.zone == 0);
        endpoint.is_alive && !endpoint.is_silent && !is_partitioned
    }

    fn zone_is_partitioned(&self) -> bool {
        let begins = SIMULATION_START + DISRUPTION_DELAY;
        let partition = begins..begins + PARTITION_LENGTH;
        self.plan.disruption == Disruption::ZonePartitioned && partition.contains(&self.now)
    }

    /// Takes an idle connection, or opens one. Returns whether there was an idle connection.
    pub fn take_connection(&mut self, instance: usize, endpoint: usize) -> bool {
        let (now, timeout) = (self.now, self.settings.connection_idle_timeout);
        let connections = &mut self.instances[instance].idle_connections;
        let idle = connections.entry(endpoint).or_default();
        idle.retain(|&idle_since| idle_since + timeout > now);
        let free = idle.iter().position(|&idle_since| idle_since <= now);
        if let Some(free) = free {
            idle.swap_remove(free);
        } else {
            self.summary.connections += 1;
        }
        free.is_some()
    }

    /// Returns a connection to the idle ones, from this time on.
    pub fn keep_connection(&mut self, instance: usize, endpoint: usize, idle_since: Timestamp) {
        let connections = &mut self.instances[instance].idle_connections;
        connections.entry(endpoint).or_default().push(idle_since);
    }

    pub fn start_attempt(&mut self, key: AttemptKey, endpoint: usize, job: &Job) {
        let instance = key.incarnation.instance;
        let job = job.id.parse().unwrap_or_default();
        self.check_may_send_to(instance, endpoint);
        self.check_may_send_job(key, endpoint, job);
        self.record_slow_start_send(instance, endpoint, job);
        self.attempts.insert(key, AttemptInFlight { endpoint, job });
        let was_idle = self.take_connection(instance, endpoint);
        if self.is_reachable(instance, endpoint) {
            self.schedule(NETWORK_DELAY, SimulationEvent::AttemptArrives(key));
        } else if !self.endpoints[endpoint].is_alive {
            self.end_attempt(key, AttemptOutcome::ConnectFailed, NETWORK_DELAY);
        } else if !was_idle {
            let timeout = self.settings.connect_timeout;
            self.end_attempt(key, AttemptOutcome::ConnectFailed, timeout);
        }
        // A job that is sent on an idle connection to an unreachable endpoint has no outcome.
    }

    fn check_may_send_to(&mut self, instance: usize, endpoint: usize) {
        let notified_at = self.leave_notified_at(instance, endpoint);
        if let Some(notified_at) = notified_at.filter(|&at| self.now > at + DRAIN_GRACE) {
            let late = self.now.saturating_duration_since(notified_at).as_millis();
            self.record_violation(format!(
                "instance {instance} sends to endpoint {endpoint}, \
                 {late} ms after it was notified that it leaves"
            ));
        }
    }

    fn check_may_send_job(&mut self, key: AttemptKey, endpoint: usize, id: u64) {
        let zone = self.endpoints[endpoint].zone;
        let job = self.jobs.entry(id).or_default();
        job.attempts += 1;
        let violation = job.resend_violation(&self.settings, zone, self.now);
        job.possible_executions.push(PossibleExecution {
            key,
            zone,
            started_at: self.now,
        });
        if let Some(violation) = violation {
            let class = job.requirements.class;
            self.record_violation(format!("job {id} of class {class} {violation}"));
        }
    }

    fn record_slow_start_send(&mut self, instance: usize, endpoint: usize, job: u64) {
        let target = &self.endpoints[endpoint];
        if target.slow_start_factor(self.now).is_none() {
            return;
        }
        let Requirements { work_us, slots, .. } = self.jobs.entry(job).or_default().requirements;
        let sends = self.slow_start_sends.entry(endpoint).or_default();
        sends.push(SlowStartSend {
            at: self.now,
            work_us: work_us * slots,
            sender_notified: self.settings.polls_discovery
                || target.notified_at.contains_key(&instance),
        });
    }

    /// Aborts an attempt, because its core asks for it or its process has ended.
    pub fn abort_attempt(&mut self, key: AttemptKey) {
        if let Some(in_flight) = self.attempts.remove(&key) {
            let started = self.endpoints[in_flight.endpoint].cancel(self.now, key);
            self.schedule_run_ends(in_flight.endpoint, started);
        }
    }

    /// Removes an attempt whose outcome is delivered to the core.
    pub fn remove_attempt(&mut self, incarnation: Incarnation, attempt: AttemptId) {
        self.attempts.remove(&AttemptKey {
            incarnation,
            attempt,
        });
    }

    /// Ends an attempt. Its core receives the outcome after this delay.
    pub fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome, delay: Duration) {
        let in_flight = self.attempts.get(&key);
        let endpoint = in_flight.map(|in_flight| in_flight.endpoint);
        let never_ran = matches!(
            outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected
        );
        if let Some(in_flight) = in_flight.filter(|_| never_ran) {
            let job = self.jobs.entry(in_flight.job).or_default();
            job.possible_executions
                .retain(|execution| execution.key != key);
        }
        let outcome = self.reported_outcome(outcome);
        let is_served = matches!(outcome, AttemptOutcome::Served(_));
        let report = endpoint
            .filter(|_| is_served)
            .map(|endpoint| self.endpoints[endpoint].load_report(self.now));
        let ended = Event::AttemptEnded {
            attempt: key.attempt,
            outcome,
            report,
        };
        self.schedule(delay, SimulationEvent::Delivered(key.incarnation, ended));
    }

    fn reported_outcome(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_misreported = outcome == AttemptOutcome::Reset
            && self
                .plan
                .injects(InjectedFault::ResetReportedAsConnectFailed);
        if is_misreported {
            AttemptOutcome::ConnectFailed
        } else {
            outcome
        }
    }

    pub fn attempt_arrives(&mut self, key: AttemptKey) {
        let Some(in_flight) = self.attempts.get(&key) else {
            return;
        };
        let &AttemptInFlight { endpoint, job } = in_flight;
        let is_reset = !self.endpoints[endpoint].is_alive
            || self.plan.disruption == Disruption::ImpatientClients
                && self.rng.u32(..RESETS_ONE_IN) == 0;
        if is_reset {
            return self.end_attempt(key, AttemptOutcome::Reset, NETWORK_DELAY);
        }
        let run = JobRun {
            key,
            requirements: self.jobs[&job].requirements,
            remaining: None,
        };
        let started = self.endpoints[endpoint].submit(self.now, run);
        self.schedule_run_ends(endpoint, started);
    }

    fn schedule_run_ends(&mut self, endpoint: usize, started: Vec<StartedRun>) {
        for started in started {
            if started.is_resumed {
                self.summary.resumed_jobs += 1;
            } else if let Some(in_flight) = self.attempts.get(&started.key) {
                let job = in_flight.job;
                self.record_job_start(endpoint, started.key, job);
            }
            let run = started.run_number;
            self.schedule(started.duration, SimulationEvent::RunEnds { endpoint, run });
        }
    }

    fn record_job_start(&mut self, endpoint: usize, key: AttemptKey, id: u64) {
        let job = self.jobs.entry(id).or_default();
        job.executions += 1;
        let class = &self.settings.classes[job.requirements.class];
        if class.idempotency == Idempotency::NonIdempotent && job.executions > 1 {
            self.record_violation(format!("job {id} runs twice"));
        }
        if self.is_reachable(key.incarnation.instance, endpoint) {
            let updated = Event::AttemptUpdated {
                attempt: key.attempt,
                update: AttemptUpdate::Started,
            };
            let delivered = SimulationEvent::Delivered(key.incarnation, updated);
            self.schedule(NETWORK_DELAY, delivered);
        }
    }

    pub fn run_ends(&mut self, endpoint: usize, run: u64) {
        let Some(ended) = self.endpoints[endpoint].finish(self.now, run) else {
            return;
        };
        let key = ended.key;
        let instance = key.incarnation.instance;
        if self.attempts.contains_key(&key) && self.is_reachable(instance, endpoint) {
            self.keep_connection(instance, endpoint, self.now + NETWORK_DELAY);
            let served = AttemptOutcome::Served(Bytes::from_static(b"1"));
            self.end_attempt(key, served, NETWORK_DELAY);
        }
        self.schedule_run_ends(endpoint, ended.started);
    }
}
