//! The worker side: the session of each Gearman worker is an endpoint for as long as it lasts.
//!
//! A session runs one job at a time. An attempt is offered to the worker and waits until the worker
//! grabs it; only from then on may the job have run.

mod kinds;
mod session;

pub use kinds::{MAX_CLASSES, SessionKinds};

use super::Functions;
use super::codec::Packet;
use super::outbox::Outbox;
use crate::frontend::EventSender;
use pumiceway_core::{
    AttemptId, AttemptOutcome, AttemptUpdate, EndpointListUpdate, EndpointSource, Event, Job,
};
use pumiceway_decisions::api::{ClassId, EndpointState, LoadReport, Outcome, Timestamp};
use session::{OfferedJob, Session};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A worker that does not grab an offered job within this time counts as unreachable.
const GRAB_TIMEOUT: Duration = Duration::from_secs(1);

/// The sessions of all workers.
#[derive(Clone)]
pub struct WorkerSessions(Arc<Mutex<Inner>>);

struct Inner {
    events: EventSender,
    kinds: SessionKinds,
    /// Sessions have all their capacity from the start.
    skips_slow_start: bool,
    sessions: BTreeMap<u64, Session>,
    /// The numbers in the names of endpoints. The next session uses the number of one that was
    /// closed; otherwise each worker that reconnects would leave an endpoint behind.
    endpoint_numbers: BTreeSet<u64>,
}

impl WorkerSessions {
    /// No sessions yet.
    pub fn new(events: EventSender, kinds: SessionKinds, skips_slow_start: bool) -> WorkerSessions {
        WorkerSessions(Arc::new(Mutex::new(Inner {
            events,
            kinds,
            skips_slow_start,
            sessions: BTreeMap::new(),
            endpoint_numbers: BTreeSet::new(),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// `CAN_DO`: the connection is a worker's from now on.
    pub fn can_do(
        &self,
        session: u64,
        opened_at: Timestamp,
        outbox: &Outbox,
        class: ClassId,
        function: String,
    ) {
        let mut inner = self.lock();
        if !inner.sessions.contains_key(&session) {
            let number = inner.allocate_endpoint_number();
            let new = Session::new(outbox.clone(), number, opened_at);
            inner.sessions.insert(session, new);
        }
        if let Some(worker) = inner.sessions.get_mut(&session) {
            worker.abilities.insert(class.0, function);
        }
        inner.list(session, EndpointState::Ready);
    }

    /// `CANT_DO` of a function, or `RESET_ABILITIES` without one.
    pub fn cant_do(&self, session: u64, function: Option<&str>) {
        let mut inner = self.lock();
        if let Some(worker) = inner.sessions.get_mut(&session) {
            worker
                .abilities
                .retain(|_, name| function.is_some_and(|removed| removed != name));
        }
        inner.list(session, EndpointState::Ready);
    }

    /// Whether the session is that of a worker.
    pub fn has(&self, session: u64) -> bool {
        self.lock().sessions.contains_key(&session)
    }

    /// `SET_CLIENT_ID`: the name that the worker gives itself.
    pub fn set_id(&self, session: u64, id: String) {
        if let Some(worker) = self.lock().sessions.get_mut(&session) {
            worker.client_id = id;
        }
    }

    /// `PRE_SLEEP`: the worker sleeps until it is woken.
    pub fn sleep(&self, session: u64) {
        if let Some(worker) = self.lock().sessions.get_mut(&session) {
            // A job may have been offered between the last grab and this packet.
            worker.is_sleeping = worker.offered.is_none();
            if !worker.is_sleeping {
                worker.outbox.send(Packet::Noop);
            }
        }
    }

    /// `GRAB_JOB`: the response to it, which assigns the offered job.
    pub fn grab(&self, session: u64, with_unique: bool) -> Packet {
        let mut inner = self.lock();
        let Some(worker) = inner.sessions.get_mut(&session) else {
            return Packet::NoJob;
        };
        worker.is_sleeping = false;
        let Some(OfferedJob {
            attempt,
            class,
            job,
        }) = worker.offered.take()
        else {
            return Packet::NoJob;
        };
        let Some(function) = worker.abilities.get(&class.0).cloned() else {
            inner.attempt_ended(attempt, AttemptOutcome::Rejected);
            return Packet::NoJob;
        };
        let handle = format!("H:pumiceway:b{}", attempt.0);
        worker.running.insert(handle.clone(), Some(attempt));
        inner.attempt_updated(attempt, AttemptUpdate::Started);
        Packet::JobAssign {
            handle,
            function,
            unique_id: with_unique.then(|| job.id.clone()),
            workload: job.body.clone(),
        }
    }

    /// Progress of a running job; returns false if the worker does not run it.
    pub fn update(&self, session: u64, handle: &str, update: AttemptUpdate) -> bool {
        let inner = self.lock();
        let worker = inner.sessions.get(&session);
        let Some(attempt) = worker.and_then(|worker| worker.running.get(handle)) else {
            return false;
        };
        if let Some(attempt) = *attempt {
            inner.attempt_updated(attempt, update);
        }
        true
    }

    /// A job has ended; returns false if the worker does not run it.
    pub fn ended(&self, session: u64, handle: &str, outcome: AttemptOutcome) -> bool {
        let mut inner = self.lock();
        let worker = inner.sessions.get_mut(&session);
        let Some(attempt) = worker.and_then(|worker| worker.running.remove(handle)) else {
            return false;
        };
        match attempt {
            Some(attempt) => inner.attempt_ended(attempt, outcome),
            None => inner.list(session, EndpointState::Ready),
        }
        true
    }

    /// The connection is closed, and the endpoint gone.
    pub fn closed(&self, session: u64) {
        let mut inner = self.lock();
        inner.list(session, EndpointState::Gone);
        let Some(worker) = inner.sessions.remove(&session) else {
            return;
        };
        inner.endpoint_numbers.remove(&worker.endpoint_number);
        if let Some(offered) = worker.offered {
            inner.attempt_ended(offered.attempt, AttemptOutcome::ConnectFailed);
        }
        // A job that the worker has grabbed may have run.
        for attempt in worker.running.into_values().flatten() {
            inner.attempt_ended(attempt, AttemptOutcome::Reset);
        }
    }

    /// Offers an attempt to a worker.
    pub fn start(&self, session: u64, attempt: AttemptId, class: ClassId, job: Arc<Job>) {
        let mut inner = self.lock();
        let Some(worker) = inner.sessions.get_mut(&session) else {
            return inner.attempt_ended(attempt, AttemptOutcome::ConnectFailed);
        };
        if worker.is_busy() || !worker.can_do(class) {
            return inner.attempt_ended(attempt, AttemptOutcome::Rejected);
        }
        worker.offered = Some(OfferedJob {
            attempt,
            class,
            job,
        });
        if std::mem::take(&mut worker.is_sleeping) {
            worker.outbox.send(Packet::Noop);
        }
        let sessions = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRAB_TIMEOUT).await;
            sessions.withdraw(session, attempt);
        });
    }

    /// Withdraws an attempt that was not grabbed, so that it can be sent to another worker.
    fn withdraw(&self, session: u64, attempt: AttemptId) {
        let mut inner = self.lock();
        let Some(worker) = inner.sessions.get_mut(&session) else {
            return;
        };
        if worker.is_offered(attempt) {
            worker.offered = None;
            inner.attempt_ended(attempt, AttemptOutcome::ConnectFailed);
        }
    }

    /// Aborts an attempt. Gearman cannot cancel a job: a worker that has grabbed it remains busy.
    pub fn abort(&self, attempt: AttemptId) {
        let mut inner = self.lock();
        let mut busy_session = None;
        for (&session, worker) in &mut inner.sessions {
            if worker.is_offered(attempt) {
                worker.offered = None;
            }
            for running in worker.running.values_mut() {
                if *running == Some(attempt) {
                    *running = None;
                    busy_session = Some(session);
                }
            }
        }
        if let Some(session) = busy_session {
            inner.list(session, EndpointState::Ready);
        }
    }

    /// The result of a health check. The sessions are known here, so the worker is not asked.
    pub fn check_health(&self, session: u64) -> (Outcome, Option<LoadReport>) {
        match self.lock().sessions.get(&session) {
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

    /// The lines of the admin command `workers`.
    pub fn lines(&self) -> String {
        let inner = self.lock();
        inner
            .sessions
            .iter()
            .map(|(&session, worker)| worker.line(session))
            .collect()
    }

    /// The number of workers that can do a function, for the admin command `status`.
    pub fn able(&self, functions: &Functions, name: &str) -> usize {
        let Some(class) = functions.class(name) else {
            return 0;
        };
        let inner = self.lock();
        let able = inner
            .sessions
            .values()
            .filter(|worker| worker.can_do(class));
        able.count()
    }
}

impl Inner {
    /// The lowest number that no endpoint has.
    fn allocate_endpoint_number(&mut self) -> u64 {
        let number = (0..)
            .find(|number| !self.endpoint_numbers.contains(number))
            .unwrap_or_default();
        self.endpoint_numbers.insert(number);
        number
    }

    /// Sends the session as an endpoint to the core, in this state or in one with less capacity.
    fn list(&self, session: u64, state: EndpointState) {
        let Some(worker) = self.sessions.get(&session) else {
            return;
        };
        let endpoint = worker.endpoint(session, state, &self.kinds, self.skips_slow_start);
        self.events.send(Event::EndpointListUpdated {
            source: EndpointSource::Gearman,
            // Sessions have no lease that a time could renew.
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

/// The progress in a `WORK_STATUS` packet.
pub fn fraction(numerator: u64, denominator: u64) -> AttemptUpdate {
    let fraction = if denominator == 0 {
        0.0
    } else {
        (numerator as f64 / denominator as f64).clamp(0.0, 1.0)
    };
    AttemptUpdate::Fraction(fraction)
}
