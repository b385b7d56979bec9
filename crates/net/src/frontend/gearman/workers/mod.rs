//! The worker side: the session of each Gearman worker is an endpoint for as long as it lasts.
//!
//! A session runs one job at a time. An attempt is first offered to the worker, and its job may
//! have run only once the worker has grabbed it.

mod endpoint_numbers;
mod session;

pub use pumiceway_core::MAX_CLASSES;

use super::codec::Packet;
use super::outbox::Outbox;
use crate::frontend::EventSender;
use endpoint_numbers::EndpointNumbers;
use pumiceway_core::{
    AttemptId, AttemptOutcome, AttemptUpdate, EndpointListUpdate, EndpointSource, Event,
    FunctionCatalog, JobFunction, JobFunctionSet,
};
use pumiceway_decisions::api::{EndpointState, LoadReport, Outcome, Timestamp};
pub use session::OfferedJob;
use session::{RunningJob, Session};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::info;

/// Time limit for a worker to grab an offered job; after that the attempt ends as if the connection
/// to the endpoint had failed.
const GRAB_TIMEOUT: Duration = Duration::from_secs(1);

/// The sessions of all workers. Clones share them.
#[derive(Clone)]
pub struct WorkerSessions {
    catalog: Arc<FunctionCatalog>,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    events: EventSender,
    catalog: Arc<FunctionCatalog>,
    /// Sessions have their whole capacity from the start, without slow start.
    skips_slow_start: bool,
    sessions: BTreeMap<u64, Session>,
    endpoint_numbers: EndpointNumbers,
}

impl WorkerSessions {
    /// Creates an empty set of sessions. Their endpoints are reported to the core through `events`.
    pub fn new(
        events: EventSender,
        catalog: Arc<FunctionCatalog>,
        skips_slow_start: bool,
    ) -> WorkerSessions {
        let inner = Inner {
            events,
            catalog: catalog.clone(),
            skips_slow_start,
            sessions: BTreeMap::new(),
            endpoint_numbers: EndpointNumbers::default(),
        };
        WorkerSessions {
            catalog,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// The functions that workers can do.
    pub fn catalog(&self) -> &Arc<FunctionCatalog> {
        &self.catalog
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// `CAN_DO`: adds a function to the worker's session. The first one opens the session.
    pub fn can_do(
        &self,
        session_id: u64,
        opened_at: Timestamp,
        outbox: &Outbox,
        function: JobFunction,
    ) {
        let mut inner = self.lock();
        if !inner.sessions.contains_key(&session_id) {
            let number = inner.endpoint_numbers.allocate(Instant::now());
            let worker = Session::new(outbox.clone(), number, opened_at);
            inner.sessions.insert(session_id, worker);
        }
        let worker = inner.sessions.get_mut(&session_id);
        if worker.is_some_and(|worker| worker.abilities.functions.insert(function)) {
            inner.update_endpoint(session_id, EndpointState::Ready);
        }
    }

    /// `CANT_DO`: removes a function, if it is a known one.
    pub fn cant_do(&self, session_id: u64, name: &str) {
        let mut inner = self.lock();
        let function = self.catalog.function(name);
        if let (Some(worker), Some(function)) = (inner.sessions.get_mut(&session_id), function) {
            worker.abilities.functions.remove(function);
        }
        inner.update_endpoint(session_id, EndpointState::Ready);
    }

    /// `RESET_ABILITIES`: removes all functions.
    pub fn reset_abilities(&self, session_id: u64) {
        let mut inner = self.lock();
        if let Some(worker) = inner.sessions.get_mut(&session_id) {
            worker.abilities.functions = JobFunctionSet::default();
        }
        inner.update_endpoint(session_id, EndpointState::Ready);
    }

    /// Whether the connection with this number has a worker session.
    pub fn contains(&self, session_id: u64) -> bool {
        self.lock().sessions.contains_key(&session_id)
    }

    /// `SET_CLIENT_ID`: sets the id that the admin command `workers` shows for the worker.
    pub fn set_client_id(&self, session_id: u64, client_id: String) {
        if let Some(worker) = self.lock().sessions.get_mut(&session_id) {
            worker.client_id = client_id;
        }
    }

    /// `PRE_SLEEP`: the worker sleeps until it receives `NOOP`, at once if a job is offered to it.
    pub fn pre_sleep(&self, session_id: u64) {
        if let Some(worker) = self.lock().sessions.get_mut(&session_id) {
            // A job may have been offered between the worker's last GRAB_JOB and this packet.
            worker.is_sleeping = worker.offered.is_none();
            if !worker.is_sleeping {
                worker.outbox.send(Packet::Noop);
            }
        }
    }

    /// `GRAB_JOB` or `GRAB_JOB_UNIQ`: returns the response, which assigns the offered job if there is
    /// one.
    pub fn grab_job(&self, session_id: u64, with_unique: bool) -> Packet {
        let mut inner = self.lock();
        inner.set_takes_unique_ids(session_id, with_unique);
        let Some(worker) = inner.sessions.get_mut(&session_id) else {
            return Packet::NoJob;
        };
        worker.is_sleeping = false;
        let Some(OfferedJob {
            attempt,
            function,
            job,
            ends_by,
        }) = worker.offered.take()
        else {
            return Packet::NoJob;
        };
        let may_run = self.catalog.may_run(&worker.abilities, function);
        let Some(name) = self.catalog.name(function).filter(|_| may_run) else {
            inner.attempt_ended(attempt, AttemptOutcome::Rejected);
            return Packet::NoJob;
        };
        let handle = format!("H:pumiceway:b{}", attempt.0);
        let running = RunningJob {
            attempt: Some(attempt),
            ends_by,
        };
        worker.running.insert(handle.clone(), running);
        inner.attempt_updated(attempt, AttemptUpdate::Started);
        Packet::JobAssign {
            handle,
            function: name.to_owned(),
            unique_id: with_unique.then(|| job.repeat_id().to_owned()),
            workload: job.body.clone(),
        }
    }

    /// Reports progress of a running job; returns false if the worker does not run it.
    pub fn job_updated(&self, session_id: u64, handle: &str, update: AttemptUpdate) -> bool {
        let inner = self.lock();
        let worker = inner.sessions.get(&session_id);
        let Some(job) = worker.and_then(|worker| worker.running.get(handle)) else {
            return false;
        };
        if let Some(attempt) = job.attempt {
            inner.attempt_updated(attempt, update);
        }
        true
    }

    /// Reports the end of a running job; returns false if the worker does not run it.
    pub fn job_ended(&self, session_id: u64, handle: &str, outcome: AttemptOutcome) -> bool {
        let mut inner = self.lock();
        let worker = inner.sessions.get_mut(&session_id);
        let Some(job) = worker.and_then(|worker| worker.running.remove(handle)) else {
            return false;
        };
        match job.attempt {
            Some(attempt) => inner.attempt_ended(attempt, outcome),
            None => inner.update_endpoint(session_id, EndpointState::Ready),
        }
        true
    }

    /// Ends the worker session of a closed connection, if it has one: its endpoint is gone, and its
    /// attempts end.
    pub fn connection_closed(&self, session_id: u64) {
        let mut inner = self.lock();
        inner.update_endpoint(session_id, EndpointState::Gone);
        let Some(worker) = inner.sessions.remove(&session_id) else {
            return;
        };
        let reserved_until = worker.running.values().map(|job| job.ends_by).max();
        inner
            .endpoint_numbers
            .release(worker.endpoint_number, reserved_until);
        if let Some(offered) = worker.offered {
            inner.attempt_ended(offered.attempt, AttemptOutcome::ConnectFailed);
        }
        // Not `ConnectFailed`: a job that the worker has grabbed may have run.
        let attempts = worker.running.into_values().filter_map(|job| job.attempt);
        for attempt in attempts {
            inner.attempt_ended(attempt, AttemptOutcome::Reset);
        }
    }

    /// Offers an attempt to a worker, and wakes the worker if it sleeps.
    pub fn start(&self, session_id: u64, offered: OfferedJob) {
        let attempt = offered.attempt;
        let mut inner = self.lock();
        let Some(worker) = inner.sessions.get_mut(&session_id) else {
            return inner.attempt_ended(attempt, AttemptOutcome::ConnectFailed);
        };
        if worker.is_busy() || !self.catalog.may_run(&worker.abilities, offered.function) {
            return inner.attempt_ended(attempt, AttemptOutcome::Rejected);
        }
        worker.offered = Some(offered);
        if std::mem::take(&mut worker.is_sleeping) {
            worker.outbox.send(Packet::Noop);
        }
        let sessions = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRAB_TIMEOUT).await;
            sessions.withdraw(session_id, attempt);
        });
    }

    /// Withdraws an attempt that the worker has not grabbed, so that the job can be sent to another
    /// one.
    fn withdraw(&self, session_id: u64, attempt: AttemptId) {
        let mut inner = self.lock();
        let Some(worker) = inner.sessions.get_mut(&session_id) else {
            return;
        };
        if worker.is_offered(attempt) {
            worker.offered = None;
            inner.attempt_ended(attempt, AttemptOutcome::ConnectFailed);
        }
    }

    /// Aborts an attempt. Gearman cannot cancel a job, so a worker that has grabbed it stays busy.
    pub fn abort(&self, attempt: AttemptId) {
        let mut inner = self.lock();
        let mut busy_session = None;
        for (&session_id, worker) in &mut inner.sessions {
            if worker.is_offered(attempt) {
                worker.offered = None;
            }
            for running in worker.running.values_mut() {
                if running.attempt == Some(attempt) {
                    running.attempt = None;
                    busy_session = Some(session_id);
                }
            }
        }
        if let Some(session_id) = busy_session {
            inner.update_endpoint(session_id, EndpointState::Ready);
        }
    }

    /// Returns the result of a health check from the state of the session, without a message to the
    /// worker.
    pub fn check_health(&self, session_id: u64) -> (Outcome, Option<LoadReport>) {
        match self.lock().sessions.get(&session_id) {
            None => (Outcome::ConnectFailed, None),
            Some(worker) => {
                let free_slots = if worker.is_busy() { 0.0 } else { 1.0 };
                let report = LoadReport {
                    free_slots: Some(free_slots),
                    ..LoadReport::default()
                };
                (Outcome::Success, Some(report))
            }
        }
    }

    /// The lines of the response to the admin command `workers`.
    pub fn admin_lines(&self) -> String {
        let inner = self.lock();
        inner
            .sessions
            .iter()
            .map(|(&session_id, worker)| worker.admin_line(session_id, &self.catalog))
            .collect()
    }

    /// Counts the workers that can do a function, for the admin command `status`.
    pub fn count_able(&self, function: JobFunction) -> usize {
        let inner = self.lock();
        let workers = inner.sessions.values();
        workers
            .filter(|worker| worker.abilities.functions.contains(function))
            .count()
    }
}

impl Inner {
    /// Records whether the worker asks for unique ids, on which depends what it may run.
    fn set_takes_unique_ids(&mut self, session_id: u64, takes_unique_ids: bool) {
        let Some(worker) = self.sessions.get_mut(&session_id) else {
            return;
        };
        if worker.abilities.takes_unique_ids == takes_unique_ids {
            return;
        }
        worker.abilities.takes_unique_ids = takes_unique_ids;
        info!(
            frontend = "gearman",
            peer = worker.outbox.peer(),
            takes_unique_ids,
            "jobs with idempotency keys are for workers that ask for unique ids"
        );
        self.update_endpoint(session_id, EndpointState::Ready);
    }

    /// Reports the endpoint of a session to the core, in the given state unless the worker cannot
    /// take a job; see [`Session::endpoint`].
    fn update_endpoint(&self, session_id: u64, state: EndpointState) {
        let Some(worker) = self.sessions.get(&session_id) else {
            return;
        };
        let endpoint = worker.endpoint(session_id, state, &self.catalog, self.skips_slow_start);
        self.events.send(Event::EndpointListUpdated {
            source: EndpointSource::Gearman,
            // The lease on the list of sessions never expires, so the time of the update does not
            // matter.
            as_of: Timestamp::ORIGIN,
            update: EndpointListUpdate::Delta(vec![endpoint]),
        });
    }

    fn attempt_ended(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        self.events.send(Event::AttemptEnded {
            attempt,
            outcome,
            report: None,
        });
    }

    fn attempt_updated(&self, attempt: AttemptId, update: AttemptUpdate) {
        self.events.send(Event::AttemptUpdated { attempt, update });
    }
}

/// Converts the progress in a `WORK_STATUS` packet.
pub fn progress_update(numerator: u64, denominator: u64) -> AttemptUpdate {
    let fraction = if denominator == 0 {
        0.0
    } else {
        (numerator as f64 / denominator as f64).clamp(0.0, 1.0)
    };
    AttemptUpdate::Fraction(fraction)
}
