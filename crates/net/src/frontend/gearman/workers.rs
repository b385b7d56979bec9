//! The worker side: each session of a Gearman worker is a next hop for as long as it lasts.
//!
//! A session takes one job at a time. A branch waits for the worker to grab it; only then may it
//! have run.

use super::codec::Packet;
use super::{Functions, Outbox};
use crate::frontend::EventSender;
use pumiceway_core::{
    AttemptId, AttemptOutcome, AttemptUpdate, Endpoint, EndpointAddress, EndpointListUpdate,
    EndpointSource, Event, Job,
};
use pumiceway_decisions::api::{
    ClassId, EndpointState, KindId, LoadReport, Outcome, Settings, Timestamp, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A worker that has been called grabs its job within this time, or is taken for out of reach.
const GRAB: Duration = Duration::from_millis(1_000);
/// Classes that Gearman workers may be told apart by.
const CLASSES_MOST: usize = 6;
/// A worker for one job beside one of several cores.
const SIZE: f64 = 0.25;

/// The kinds that stand for what a session can do: one for each set of classes.
#[derive(Clone, Copy, Debug)]
pub struct SessionKinds {
    first: usize,
    zone: ZoneId,
}

impl SessionKinds {
    /// Adds them to the settings of the decisions; `None` where there are too many classes to tell
    /// apart.
    pub fn add(settings: &mut Settings) -> Option<SessionKinds> {
        let (first, classes) = (settings.kind_count, settings.classes.len());
        if classes > CLASSES_MOST {
            return None;
        }
        settings.kind_count += (1 << classes) - 1;
        for (n, class) in settings.classes.iter_mut().enumerate() {
            let kinds = class
                .allowed_kinds
                .get_or_insert_with(|| (0..first).map(KindId).collect());
            kinds.extend(
                (1..1usize << classes)
                    .filter(|set| set & (1 << n) != 0)
                    .map(|set| KindId(first + set - 1)),
            );
        }
        Some(SessionKinds {
            first,
            zone: settings.home_zone.unwrap_or_default(),
        })
    }

    fn of(&self, classes: impl Iterator<Item = ClassId>) -> Option<KindId> {
        let set = classes.fold(0usize, |set, class| set | 1 << class.0);
        (set > 0).then(|| KindId(self.first + set - 1))
    }
}

/// All sessions of workers.
#[derive(Clone)]
pub struct WorkerSessions(Arc<Mutex<Inner>>);

struct Inner {
    events: EventSender,
    kinds: SessionKinds,
    /// Sessions have all their capacity from the start.
    warm: bool,
    sessions: BTreeMap<u64, Session>,
    /// Seats in use. A seat is what the route set knows a session by; the next session takes it
    /// over.
    seats: BTreeSet<u64>,
}

struct Session {
    outbox: Outbox,
    seat: u64,
    opened: Timestamp,
    id: String,
    peer: String,
    /// What it can do, and the name it has for it.
    abilities: BTreeMap<usize, String>,
    sleeping: bool,
    called: Option<(AttemptId, ClassId, Arc<Job>)>,
    /// What it works at, by handle; without a branch, nobody wants it any more.
    running: HashMap<String, Option<AttemptId>>,
}

impl Inner {
    fn list(&self, session: u64, state: EndpointState) {
        let Some(s) = self.sessions.get(&session) else {
            return;
        };
        let kind = self.kinds.of(s.abilities.keys().map(|&c| ClassId(c)));
        let state = match state {
            _ if kind.is_none() => EndpointState::Gone,
            // Prevents: jobs are sent to a worker that is still busy with one that nobody wants any
            // more, which only the session knows of, and are turned away there again and again.
            EndpointState::Ready if s.running.values().any(Option::is_none) => {
                EndpointState::Draining
            }
            state => state,
        };
        let endpoint = Endpoint {
            name: format!("gearman:{:04}", s.seat),
            address: EndpointAddress::Session(session),
            zone: self.kinds.zone,
            kind: kind.unwrap_or(KindId(self.kinds.first)),
            cell: None,
            state,
            started_at: s.opened,
            relative_size: SIZE,
            starts_warm: self.warm,
            max_concurrent: Some(1),
        };
        // What a session lists does not expire.
        let (source, as_of, update) = (
            EndpointSource::Gearman,
            Timestamp::ORIGIN,
            EndpointListUpdate::Delta(vec![endpoint]),
        );
        self.events.send(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        });
    }

    fn ended(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        self.events.send(Event::AttemptEnded {
            attempt,
            outcome,
            report: None,
        });
    }
}

impl WorkerSessions {
    /// No session yet.
    pub fn new(events: EventSender, kinds: SessionKinds, warm: bool) -> WorkerSessions {
        WorkerSessions(Arc::new(Mutex::new(Inner {
            events,
            kinds,
            warm,
            sessions: BTreeMap::new(),
            seats: BTreeSet::new(),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A connection says that it can do a function: it is a worker from now on.
    pub fn can_do(
        &self,
        session: u64,
        opened: Timestamp,
        outbox: &Outbox,
        class: ClassId,
        function: String,
    ) {
        let mut inner = self.lock();
        if !inner.sessions.contains_key(&session) {
            // Prevents: each reconnecting worker leaves a next hop behind for good.
            let seat = (0..)
                .find(|seat| !inner.seats.contains(seat))
                .unwrap_or_default();
            inner.seats.insert(seat);
            let new = Session {
                outbox: outbox.clone(),
                seat,
                opened,
                id: "-".to_owned(),
                peer: outbox.peer().to_owned(),
                abilities: BTreeMap::new(),
                sleeping: false,
                called: None,
                running: HashMap::new(),
            };
            inner.sessions.insert(session, new);
        }
        if let Some(s) = inner.sessions.get_mut(&session) {
            s.abilities.insert(class.0, function);
        }
        inner.list(session, EndpointState::Ready);
    }

    /// It can't do a function any more, or nothing at all.
    pub fn cant_do(&self, session: u64, function: Option<&str>) {
        let mut inner = self.lock();
        if let Some(s) = inner.sessions.get_mut(&session) {
            s.abilities
                .retain(|_, name| function.is_some_and(|f| f != name));
        }
        inner.list(session, EndpointState::Ready);
    }

    /// Whether the session is a worker's.
    pub fn has(&self, session: u64) -> bool {
        self.lock().sessions.contains_key(&session)
    }

    /// The name that it gives itself.
    pub fn set_id(&self, session: u64, id: String) {
        if let Some(s) = self.lock().sessions.get_mut(&session) {
            s.id = id;
        }
    }

    /// It sleeps until it is called.
    pub fn sleep(&self, session: u64) {
        if let Some(s) = self.lock().sessions.get_mut(&session) {
            // Prevents: a job that came between its last grab and its sleep waits for ever.
            s.sleeping = s.called.is_none();
            if !s.sleeping {
                s.outbox.say(Packet::Noop);
            }
        }
    }

    /// It asks for a job.
    pub fn grab(&self, session: u64, with_unique: bool) -> Packet {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else {
            return Packet::NoJob;
        };
        s.sleeping = false;
        let Some((attempt, class, job)) = s.called.take() else {
            return Packet::NoJob;
        };
        let Some(function) = s.abilities.get(&class.0).cloned() else {
            inner.ended(attempt, AttemptOutcome::Rejected);
            return Packet::NoJob;
        };
        let handle = format!("H:pumiceway:b{}", attempt.0);
        s.running.insert(handle.clone(), Some(attempt));
        inner.events.send(Event::AttemptUpdated {
            attempt,
            update: AttemptUpdate::Started,
        });
        let unique = with_unique.then(|| job.id.clone());
        Packet::JobAssign {
            handle,
            function,
            unique,
            workload: job.body.clone(),
        }
    }

    /// It tells of a job that goes on; whether it has that job.
    pub fn update(&self, session: u64, handle: &str, update: AttemptUpdate) -> bool {
        let inner = self.lock();
        let Some(attempt) = inner
            .sessions
            .get(&session)
            .and_then(|s| s.running.get(handle))
        else {
            return false;
        };
        if let Some(attempt) = *attempt {
            inner.events.send(Event::AttemptUpdated { attempt, update });
        }
        true
    }

    /// It has ended a job; whether it had that job.
    pub fn ended(&self, session: u64, handle: &str, outcome: AttemptOutcome) -> bool {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else {
            return false;
        };
        let Some(attempt) = s.running.remove(handle) else {
            return false;
        };
        match attempt {
            Some(attempt) => inner.ended(attempt, outcome),
            None => inner.list(session, EndpointState::Ready),
        }
        true
    }

    /// Its session is over, and with it its place in the route set.
    pub fn closed(&self, session: u64) {
        let mut inner = self.lock();
        inner.list(session, EndpointState::Gone);
        let Some(s) = inner.sessions.remove(&session) else {
            return;
        };
        inner.seats.remove(&s.seat);
        if let Some((attempt, ..)) = s.called {
            inner.ended(attempt, AttemptOutcome::ConnectFailed);
        }
        // Prevents: a job whose worker dropped out in the middle counts as never run, and an import
        // runs twice.
        for attempt in s.running.into_values().flatten() {
            inner.ended(attempt, AttemptOutcome::Reset);
        }
    }

    /// Calls a worker to a branch.
    pub fn start(&self, session: u64, attempt: AttemptId, class: ClassId, job: Arc<Job>) {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else {
            return inner.ended(attempt, AttemptOutcome::ConnectFailed);
        };
        if s.called.is_some() || !s.running.is_empty() || !s.abilities.contains_key(&class.0) {
            return inner.ended(attempt, AttemptOutcome::Rejected);
        }
        s.called = Some((attempt, class, job));
        if std::mem::take(&mut s.sleeping) {
            s.outbox.say(Packet::Noop);
        }
        let workers = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRAB).await;
            workers.not_grabbed(session, attempt);
        });
    }

    /// Prevents: a job waits for a worker that hangs while others are free.
    fn not_grabbed(&self, session: u64, attempt: AttemptId) {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else {
            return;
        };
        if s.called
            .as_ref()
            .is_some_and(|(called, ..)| *called == attempt)
        {
            s.called = None;
            inner.ended(attempt, AttemptOutcome::ConnectFailed);
        }
    }

    /// Nobody wants a branch any more. Gearman can't call a job off: a worker that has it stays
    /// busy with it.
    pub fn abort(&self, attempt: AttemptId) {
        let mut inner = self.lock();
        let mut still_busy = None;
        for (&session, s) in &mut inner.sessions {
            if s.called
                .as_ref()
                .is_some_and(|(called, ..)| *called == attempt)
            {
                s.called = None;
            }
            for wanted in s.running.values_mut().filter(|b| **b == Some(attempt)) {
                *wanted = None;
                still_busy = Some(session);
            }
        }
        if let Some(session) = still_busy {
            inner.list(session, EndpointState::Ready);
        }
    }

    /// The load report of a session: the core's own knowledge, which costs the worker nothing.
    pub fn check_health(&self, session: u64) -> (Outcome, Option<LoadReport>) {
        match self.lock().sessions.get(&session) {
            None => (Outcome::ConnectFailed, None),
            Some(s) => {
                let busy = s.called.is_some() || !s.running.is_empty();
                let free_slots = Some(if busy { 0.0 } else { 1.0 });
                (
                    Outcome::Success,
                    Some(LoadReport {
                        free_slots,
                        ..LoadReport::default()
                    }),
                )
            }
        }
    }

    /// The lines of the admin command `workers`.
    pub fn lines(&self) -> String {
        let inner = self.lock();
        let line = |(n, s): (&u64, &Session)| {
            let functions: Vec<_> = s.abilities.values().map(|f| format!(" {f}")).collect();
            format!("{n} {} {} :{}\n", s.peer, s.id, functions.concat())
        };
        inner.sessions.iter().map(line).collect()
    }

    /// How many can do each function, as the admin command `status` counts.
    pub fn able(&self, functions: &Functions, name: &str) -> usize {
        let Some(class) = functions.class(name) else {
            return 0;
        };
        self.lock()
            .sessions
            .values()
            .filter(|s| s.abilities.contains_key(&class.0))
            .count()
    }
}

/// News from a WORK_STATUS packet.
pub fn share(done: u64, of: u64) -> AttemptUpdate {
    AttemptUpdate::Fraction(if of == 0 {
        0.0
    } else {
        (done as f64 / of as f64).clamp(0.0, 1.0)
    })
}
