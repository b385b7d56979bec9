//! The worker side: each session of a Gearman worker is a next hop for as long as it lasts.
//!
//! A session takes one job at a time. A branch waits for the worker to grab it; only then may it have run.

use super::codec::Packet;
use super::{Functions, Outbox};
use crate::front::Gate;
use pumiceway_core::{BranchId, Ending, Event, Job, News, NextHop, Reach, RouteNews, Source};
use pumiceway_decisions::api::{ClassId, KindId, Micros, Report, Settings, Status, WorkerState, ZoneId};
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
pub struct Kinds {
    first: usize,
    zone: ZoneId,
}

impl Kinds {
    /// Adds them to the settings of the decisions; `None` where there are too many classes to tell apart.
    pub fn add(settings: &mut Settings) -> Option<Kinds> {
        let (first, classes) = (settings.kinds, settings.classes.len());
        if classes > CLASSES_MOST {
            return None;
        }
        settings.kinds += (1 << classes) - 1;
        for (n, class) in settings.classes.iter_mut().enumerate() {
            let kinds = class.kinds.get_or_insert_with(|| (0..first).map(KindId).collect());
            kinds.extend(
                (1..1usize << classes).filter(|set| set & (1 << n) != 0).map(|set| KindId(first + set - 1)),
            );
        }
        Some(Kinds { first, zone: settings.my_zone.unwrap_or_default() })
    }

    fn of(&self, classes: impl Iterator<Item = ClassId>) -> Option<KindId> {
        let set = classes.fold(0usize, |set, class| set | 1 << class.0);
        (set > 0).then(|| KindId(self.first + set - 1))
    }
}

/// All sessions of workers.
#[derive(Clone)]
pub struct Workers(Arc<Mutex<Inner>>);

struct Inner {
    gate: Gate,
    kinds: Kinds,
    /// Sessions have all their capacity from the start.
    warm: bool,
    sessions: BTreeMap<u64, Session>,
    /// Seats in use. A seat is what the route set knows a session by; the next session takes it over.
    seats: BTreeSet<u64>,
}

struct Session {
    outbox: Outbox,
    seat: u64,
    opened: Micros,
    id: String,
    peer: String,
    /// What it can do, and the name it has for it.
    abilities: BTreeMap<usize, String>,
    sleeping: bool,
    called: Option<(BranchId, ClassId, Arc<Job>)>,
    /// What it works at, by handle; without a branch, nobody wants it any more.
    running: HashMap<String, Option<BranchId>>,
}

impl Inner {
    fn list(&self, session: u64, state: WorkerState) {
        let Some(s) = self.sessions.get(&session) else { return };
        let kind = self.kinds.of(s.abilities.keys().map(|&c| ClassId(c)));
        let state = match state {
            _ if kind.is_none() => WorkerState::Gone,
            // Prevents: jobs are sent to a worker that is still busy with one that nobody wants any more, which
            // only the session knows of, and are turned away there again and again.
            WorkerState::Ready if s.running.values().any(Option::is_none) => WorkerState::Draining,
            state => state,
        };
        let hop = NextHop {
            name: format!("gearman:{:04}", s.seat),
            reach: Reach::Session(session),
            zone: self.kinds.zone,
            kind: kind.unwrap_or(KindId(self.kinds.first)),
            cell: None,
            state,
            ready_at: s.opened,
            size: SIZE,
            warm: self.warm,
            jobs: Some(1),
        };
        // What a session lists does not expire.
        let (source, since, news) = (Source::Gearman, 0, RouteNews::Changes(vec![hop]));
        self.gate.tell(Event::Routes { source, since, news });
    }

    fn ended(&self, branch: BranchId, ending: Ending) {
        self.gate.tell(Event::Ended { branch, ending, report: None });
    }
}

impl Workers {
    /// No session yet.
    pub fn new(gate: Gate, kinds: Kinds, warm: bool) -> Workers {
        Workers(Arc::new(Mutex::new(Inner {
            gate,
            kinds,
            warm,
            sessions: BTreeMap::new(),
            seats: BTreeSet::new(),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A connection says that it can do a function: it is a worker from now on.
    pub fn can_do(&self, session: u64, opened: Micros, outbox: &Outbox, class: ClassId, function: String) {
        let mut inner = self.lock();
        if !inner.sessions.contains_key(&session) {
            // Prevents: each reconnecting worker leaves a next hop behind for good.
            let seat = (0..).find(|seat| !inner.seats.contains(seat)).unwrap_or_default();
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
        inner.list(session, WorkerState::Ready);
    }

    /// It can't do a function any more, or nothing at all.
    pub fn cant_do(&self, session: u64, function: Option<&str>) {
        let mut inner = self.lock();
        if let Some(s) = inner.sessions.get_mut(&session) {
            s.abilities.retain(|_, name| function.is_some_and(|f| f != name));
        }
        inner.list(session, WorkerState::Ready);
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
        let Some(s) = inner.sessions.get_mut(&session) else { return Packet::NoJob };
        s.sleeping = false;
        let Some((branch, class, job)) = s.called.take() else { return Packet::NoJob };
        let Some(function) = s.abilities.get(&class.0).cloned() else {
            inner.ended(branch, Ending::TurnedAway);
            return Packet::NoJob;
        };
        let handle = format!("H:pumiceway:b{}", branch.0);
        s.running.insert(handle.clone(), Some(branch));
        inner.gate.tell(Event::News { branch, news: News::Started });
        let unique = with_unique.then(|| job.id.clone());
        Packet::JobAssign { handle, function, unique, workload: job.body.clone() }
    }

    /// It tells of a job that goes on; whether it has that job.
    pub fn news(&self, session: u64, handle: &str, news: News) -> bool {
        let inner = self.lock();
        let Some(branch) = inner.sessions.get(&session).and_then(|s| s.running.get(handle)) else {
            return false;
        };
        if let Some(branch) = *branch {
            inner.gate.tell(Event::News { branch, news });
        }
        true
    }

    /// It has ended a job; whether it had that job.
    pub fn ended(&self, session: u64, handle: &str, ending: Ending) -> bool {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else { return false };
        let Some(branch) = s.running.remove(handle) else { return false };
        match branch {
            Some(branch) => inner.ended(branch, ending),
            None => inner.list(session, WorkerState::Ready),
        }
        true
    }

    /// Its session is over, and with it its place in the route set.
    pub fn closed(&self, session: u64) {
        let mut inner = self.lock();
        inner.list(session, WorkerState::Gone);
        let Some(s) = inner.sessions.remove(&session) else { return };
        inner.seats.remove(&s.seat);
        if let Some((branch, ..)) = s.called {
            inner.ended(branch, Ending::NotConnected);
        }
        // Prevents: a job whose worker dropped out in the middle counts as never run, and an import runs twice.
        for branch in s.running.into_values().flatten() {
            inner.ended(branch, Ending::Reset);
        }
    }

    /// Calls a worker to a branch.
    pub fn start(&self, session: u64, branch: BranchId, class: ClassId, job: Arc<Job>) {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else {
            return inner.ended(branch, Ending::NotConnected);
        };
        if s.called.is_some() || !s.running.is_empty() || !s.abilities.contains_key(&class.0) {
            return inner.ended(branch, Ending::TurnedAway);
        }
        s.called = Some((branch, class, job));
        if std::mem::take(&mut s.sleeping) {
            s.outbox.say(Packet::Noop);
        }
        let workers = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRAB).await;
            workers.not_grabbed(session, branch);
        });
    }

    /// Prevents: a job waits for a worker that hangs while others are free.
    fn not_grabbed(&self, session: u64, branch: BranchId) {
        let mut inner = self.lock();
        let Some(s) = inner.sessions.get_mut(&session) else { return };
        if s.called.as_ref().is_some_and(|(called, ..)| *called == branch) {
            s.called = None;
            inner.ended(branch, Ending::NotConnected);
        }
    }

    /// Nobody wants a branch any more. Gearman can't call a job off: a worker that has it stays busy with it.
    pub fn cut(&self, branch: BranchId) {
        let mut inner = self.lock();
        let mut still_busy = None;
        for (&session, s) in &mut inner.sessions {
            if s.called.as_ref().is_some_and(|(called, ..)| *called == branch) {
                s.called = None;
            }
            for wanted in s.running.values_mut().filter(|b| **b == Some(branch)) {
                *wanted = None;
                still_busy = Some(session);
            }
        }
        if let Some(session) = still_busy {
            inner.list(session, WorkerState::Ready);
        }
    }

    /// The load report of a session: the core's own knowledge, which costs the worker nothing.
    pub fn probe(&self, session: u64) -> (Status, Option<Report>) {
        match self.lock().sessions.get(&session) {
            None => (Status::ConnectFailed, None),
            Some(s) => {
                let busy = s.called.is_some() || !s.running.is_empty();
                let free_slots = Some(if busy { 0.0 } else { 1.0 });
                (Status::Ok, Some(Report { free_slots, ..Report::default() }))
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
        let Some(class) = functions.class(name) else { return 0 };
        self.lock().sessions.values().filter(|s| s.abilities.contains_key(&class.0)).count()
    }
}

/// News from a WORK_STATUS packet.
pub fn share(done: u64, of: u64) -> News {
    News::Share(if of == 0 { 0.0 } else { (done as f64 / of as f64).clamp(0.0, 1.0) })
}
