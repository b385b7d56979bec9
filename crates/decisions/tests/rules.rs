//! The four rules under legal but odd event orders, with fixed seeds. No server is modelled: outcomes,
//! notes, list changes and departures come at random, and only the actions are judged.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::collections::BTreeMap;

struct Held {
    class: usize,
    deadline: Micros,
    answered: bool,
    attempts: Vec<(u32, Micros, Option<Status>)>,
}

struct Judge {
    s: Settings,
    requests: BTreeMap<RequestId, Held>,
    /// Since when a worker is known to drain or be gone.
    told: BTreeMap<u32, Micros>,
}

impl Judge {
    fn actions(&mut self, now: Micros, out: &[Action]) {
        for action in out {
            match *action {
                Action::Send { request, worker, .. } => {
                    let r = self.requests.get_mut(&request).expect("sends name known requests");
                    assert!(!r.answered, "sent after its final answer");
                    assert!(now < r.deadline, "sent after the deadline");
                    assert!(!self.told.contains_key(&worker.0), "sent to a drained worker");
                    assert!(r.attempts.len() < self.s.max_attempts, "too many attempts");
                    let out = r.attempts.iter().filter(|a| a.2.is_none()).count();
                    assert!(out < 2, "more than a second copy");
                    let first = r.attempts.iter().find(|a| !a.2.is_some_and(Status::never_ran));
                    if let Some(first) = first {
                        match self.s.classes[r.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("an unsafe request that may have run was sent again"),
                            Effect::Keyed { group, window } => {
                                assert!(now <= first.1 + window, "sent after its window");
                                let same = zone(first.0) == zone(worker.0);
                                assert!(group == Group::All || same, "sent outside its group");
                            }
                        }
                    }
                    r.attempts.push((worker.0, now, None));
                }
                Action::Refuse { request, .. } => {
                    let r = self.requests.get_mut(&request).expect("refusals name known requests");
                    assert!(!r.answered, "two final answers");
                    let clean = r.attempts.iter().all(|a| a.2.is_some_and(Status::never_ran));
                    assert!(
                        clean
                            || matches!(
                                self.s.classes[r.class].effect,
                                Effect::Safe | Effect::Keyed { group: Group::All, .. }
                            ),
                        "refused what may have run"
                    );
                    r.answered = true;
                }
                Action::Fail { request } => {
                    let r = self.requests.get_mut(&request).expect("failures name known requests");
                    assert!(!r.answered, "two final answers");
                    r.answered = true;
                }
                _ => {}
            }
        }
        for (id, r) in &self.requests {
            assert!(r.answered || now <= r.deadline + 20 * MS, "{id:?} has no answer in time");
        }
    }
}

fn zone(worker: u32) -> usize {
    worker as usize % 2
}

#[test]
fn the_rules_hold_under_odd_orders_of_events() {
    for seed in 0..12 {
        play(seed);
    }
}

fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(Effect::Safe);
    let keyed = |group| Effect::Keyed { group, window: 700 * MS };
    for effect in [Effect::Unsafe, keyed(Group::All), keyed(Group::Zone), keyed(Group::Cell)] {
        s.classes.push(class(effect));
    }
    for c in &mut s.classes {
        c.deadline = 1_500 * MS;
    }
    s.tells_start = seed.is_multiple_of(2);
    s.list_by_asking = seed.is_multiple_of(3);
    s.probes = !seed.is_multiple_of(5);
    let workers: Vec<_> = (0..6).map(|w| entry(w, zone(w))).collect();
    let mut t = Bench::new(s.clone(), &workers, 2.0);
    let mut judge = Judge { s, requests: BTreeMap::new(), told: BTreeMap::new() };
    let statuses = [
        Status::Ok,
        Status::Ok,
        Status::Error,
        Status::Full,
        Status::Timeout,
        Status::ConnectFailed,
        Status::Reset,
        Status::Cancelled,
        Status::Moot,
    ];
    for _ in 0..1_500 {
        t.now += rng.u64(0..15) * MS;
        // What is due first: time-outs at the deadline, as a host delivers them.
        let due: Vec<_> = judge
            .requests
            .iter()
            .flat_map(|(id, r)| {
                let late = r.deadline <= t.now;
                r.attempts
                    .iter()
                    .enumerate()
                    .filter(move |(_, a)| late && a.2.is_none())
                    .map(|(n, a)| (*id, n, a.0))
            })
            .collect();
        for (id, n, w) in due {
            settle(&mut t, &mut judge, id, n, w, Status::Timeout);
        }
        match rng.u32(0..100) {
            0..35 => {
                let class = rng.usize(0..5);
                let left = rng.u64(100..1_500) * MS;
                let request = RequestId(judge.requests.len() as u64);
                let held = Held { class, deadline: t.now + left, answered: false, attempts: Vec::new() };
                judge.requests.insert(request, held);
                let slots = f64::from(rng.u32(1..3));
                let class = ClassId(class);
                let e = Event::Request(Incoming {
                    request,
                    class,
                    left,
                    slots,
                    memory: 0.5,
                    work: None,
                    tenant: None,
                    key: None,
                });
                let out = t.event(e);
                judge.actions(t.now, &out);
            }
            35..75 => {
                let open: Vec<_> = judge
                    .requests
                    .iter()
                    .flat_map(|(id, r)| {
                        r.attempts.iter().enumerate().filter(|a| a.1.2.is_none()).map(|(n, a)| (*id, n, a.0))
                    })
                    .collect();
                if !open.is_empty() {
                    let (id, n, w) = open[rng.usize(0..open.len())];
                    settle(&mut t, &mut judge, id, n, w, statuses[rng.usize(0..statuses.len())]);
                }
            }
            75..78 => {
                let worker = rng.u32(0..6);
                let state = [WorkerState::Ready, WorkerState::Draining, WorkerState::Gone][rng.usize(0..3)];
                let restarted = if rng.bool() { t.now } else { 0 };
                let e = Entry { state, ready_at: restarted, ..entry(worker, zone(worker)) };
                match state {
                    WorkerState::Ready => judge.told.remove(&worker),
                    _ => judge.told.insert(worker, t.now),
                };
                let out = t.event(Event::List { kind: ListKind::Changes, entries: &[e] });
                judge.actions(t.now, &out);
            }
            78..80 => {
                let out = t.event(Event::List { kind: ListKind::Lost, entries: &[] });
                judge.actions(t.now, &out);
            }
            80..83 => {
                // A client leaves; perhaps one whose request ended long ago.
                let request = RequestId(rng.u64(0..judge.requests.len() as u64 + 1));
                if let Some(r) = judge.requests.get_mut(&request) {
                    r.answered = true;
                }
                let out = t.event(Event::Gone { request });
                judge.actions(t.now, &out);
            }
            83..88 => {
                let (request, attempt) = (RequestId(rng.u64(0..200)), rng.usize(0..3));
                let (worker, note) = (WorkerId(rng.u32(0..6)), Note::Progress(0.5));
                let out = t.event(Event::Note(Progress { request, attempt, worker, note }));
                judge.actions(t.now, &out);
            }
            88..92 => {
                let status = if rng.bool() { Status::Ok } else { Status::Timeout };
                let out = t.event(Event::Probed(Probed {
                    worker: WorkerId(rng.u32(0..6)),
                    status,
                    report: None,
                    latency: MS,
                }));
                judge.actions(t.now, &out);
            }
            _ => {}
        }
        let out = t.event(Event::Wake);
        judge.actions(t.now, &out);
    }
    let count = |answered| judge.requests.values().filter(|r| r.answered == answered).count();
    assert!(count(true) > 250, "the play exercised the module");
}

fn settle(t: &mut Bench, judge: &mut Judge, id: RequestId, n: usize, worker: u32, status: Status) {
    let r = judge.requests.get_mut(&id).expect("known");
    r.attempts[n].2 = Some(status);
    r.answered |= status == Status::Ok;
    let closed = r.answered;
    let latency = t.now - r.attempts[n].1;
    let report = Some(Report { free_slots: Some(1.0), ..Report::default() });
    let worker = WorkerId(worker);
    let out =
        t.event(Event::Outcome(Outcome { request: id, attempt: n, worker, status, latency, closed, report }));
    judge.actions(t.now, &out);
}

#[test]
fn equal_events_give_equal_actions_and_instances_share_nothing() {
    let play = |other: bool| {
        let mut s = settings(Effect::Safe);
        s.list_by_asking = true;
        let mut t = Bench::new(s.clone(), &[entry(0, 0), entry(1, 1)], 1.0);
        let mut beside = Bench::new(s, &[entry(1, 0)], 1.0);
        let mut all = Vec::new();
        for _ in 0..50 {
            if other {
                beside.spread(3);
            }
            all.extend(t.ask(0, 1.0).1);
            all.extend(t.pass(100 * MS, &[0]));
        }
        all
    };
    assert_eq!(play(false), play(true));
}
