//! A host for tests: it keeps the clock and collects actions, and models no server.
#![allow(dead_code)] // each test file uses its own part

use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;

pub const MS: Micros = 1_000;
pub const START: Micros = 1_000_000_000;

pub fn class(effect: Effect) -> Class {
    let (aim, deadline, wait) = (200 * MS, 5_000 * MS, None);
    Class { effect, worth: 1.0, aim, stretch: 2.0, deadline, priority: 0, wait, zones: None, kinds: None }
}

pub fn settings(effect: Effect) -> Settings {
    Settings {
        me: 0,
        instances: 1,
        zones: 2,
        my_zone: Some(ZoneId(0)),
        kinds: 1,
        classes: vec![class(effect)],
        tenants: vec![],
        over_share_worth: 1.0,
        prices: Prices::default(),
        report_via: ReportVia::Answers,
        list_by_asking: false,
        ask_within: 10_000 * MS,
        drain_grace: 500 * MS,
        probes: true,
        cancel: true,
        second_copies: true,
        retry_after: true,
        max_retry_after: 2_000 * MS,
        max_attempts: 3,
        connect_timeout: 100 * MS,
        connection_idle: 15_000 * MS,
        resolution: 5 * MS,
        tells_start: false,
        progress_every: 1_000 * MS,
        cold_from: 0.3,
        cold_for: 8_000 * MS,
        tip_multiple: 3.0,
        fall_window: 2_000 * MS,
        held_most: 0,
    }
}

pub fn entry(worker: u32, zone: usize) -> Entry<'static> {
    const IDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    Entry {
        worker: WorkerId(worker),
        id: IDS[worker as usize],
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: Some(zone as u64),
        state: WorkerState::Ready,
        ready_at: 0,
        size: 1.0,
        warm: false,
        jobs: None,
    }
}

pub struct Bench {
    pub b: Balancer,
    pub now: Micros,
    next: u64,
    classes: Vec<usize>,
    hints: Vec<Option<Micros>>,
    /// What a probe asked for by a request reports as free.
    pub free: f64,
    /// Work that requests come with.
    pub hint: Option<Micros>,
    pub key: Option<u64>,
    pub tenant: Option<TenantId>,
}

impl Bench {
    /// A balancer that knows these workers, each with `slots` free.
    pub fn new(settings: Settings, workers: &[Entry], slots: f64) -> Bench {
        let mut t = Bench {
            b: Balancer::new(settings, 7).unwrap(),
            now: START,
            next: 0,
            classes: vec![],
            hints: vec![],
            free: slots,
            hint: None,
            key: None,
            tenant: None,
        };
        t.event(Event::List { kind: ListKind::Bootstrap, entries: workers });
        for w in workers {
            t.report(w.worker.0, slots);
        }
        t
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.b.handle(self.now, event, &mut out);
        out
    }

    pub fn report(&mut self, worker: u32, free: f64) -> Vec<Action> {
        let report = Some(Report { free_slots: Some(free), free_memory: Some(free), ..Report::default() });
        self.probed(worker, Status::Ok, report)
    }

    /// A probe has ended so, a millisecond after it was sent.
    pub fn probed(&mut self, worker: u32, status: Status, report: Option<Report>) -> Vec<Action> {
        let (worker, latency) = (WorkerId(worker), MS);
        self.event(Event::Probed(Probed { worker, status, latency, report }))
    }

    /// A request comes, and nobody answers the probes it asks for.
    pub fn arrives(&mut self, class: usize, slots: f64) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        self.classes.push(class);
        self.hints.push(self.hint);
        let left = 5_000 * MS;
        let (class, memory, work, key) = (ClassId(class), 0.0, self.hint, self.key);
        let tenant = self.tenant;
        let job = Incoming { request, class, left, slots, memory, work, tenant, key };
        (request, self.event(Event::Request(job)))
    }

    pub fn ask(&mut self, class: usize, slots: f64) -> (RequestId, Vec<Action>) {
        let (request, mut all) = self.arrives(class, slots);
        let mut at = 0;
        while at < all.len() {
            if let Action::Probe { worker } = all[at] {
                all.extend(self.report(worker.0, self.free));
            }
            at += 1;
        }
        (request, all)
    }

    /// Sends `n` one-slot requests and tells where each went.
    pub fn spread(&mut self, n: usize) -> Vec<Option<u32>> {
        (0..n).map(|_| sent(&self.ask(0, 1.0).1)).collect()
    }

    pub fn outcome(&mut self, r: RequestId, attempt: usize, worker: u32, status: Status) -> Vec<Action> {
        self.event(Event::Outcome(Outcome {
            request: r,
            attempt,
            worker: WorkerId(worker),
            status,
            latency: 50 * MS,
            closed: status == Status::Ok,
            report: None,
        }))
    }

    /// The class that a request was asked with.
    pub fn class_of(&self, r: RequestId) -> usize {
        self.classes[r.0 as usize]
    }

    /// The work that a request was asked with.
    pub fn hint_of(&self, r: RequestId) -> Option<Micros> {
        self.hints[r.0 as usize]
    }

    /// The first attempt of a request was served in this time.
    pub fn served(&mut self, r: RequestId, worker: u32, latency: Micros) -> Vec<Action> {
        let (worker, status, report) = (WorkerId(worker), Status::Ok, None);
        self.event(Event::Outcome(Outcome {
            request: r,
            attempt: 0,
            worker,
            status,
            latency,
            closed: true,
            report,
        }))
    }

    /// Lets time pass in steps of one wake-up; answers probes of the workers in `alive`.
    pub fn pass(&mut self, span: Micros, alive: &[u32]) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 20 * MS;
            let mut new = self.event(Event::Wake);
            let mut at = 0;
            while at < new.len() {
                if let Action::Probe { worker } = new[at] {
                    let status = if alive.contains(&worker.0) { Status::Ok } else { Status::Timeout };
                    let report = None;
                    new.extend(self.event(Event::Probed(Probed { worker, status, report, latency: MS })));
                }
                at += 1;
            }
            all.extend(new);
        }
        all
    }
}

pub fn sent(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(worker.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}
