//! Traits that one deployment has and another has not: jobs that are suspended, a worker to a zone, weights that fall
//! with load, memory beside slots, keyed jobs.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use pumiceway_decisions::settings::Conf;

const KEYED: Effect = Effect::Keyed { group: Group::Zone, window: 7_500 * MS };

/// Three zones, starts told but no progress, jobs of 15 s at most.
fn site(effect: Effect) -> Settings {
    let mut s = Settings { zones: 3, tells_start: true, progress_every: 0, ..settings(effect) };
    s.classes[0].deadline = 15_000 * MS;
    s
}

/// What a worker tells with these slots and this memory free.
fn holds(slots: f64, memory: f64) -> Option<Report> {
    Some(Report { free_slots: Some(slots), free_memory: Some(memory), ..Report::default() })
}

/// A job of one slot comes, and workers that are asked tell what they have free.
fn comes(t: &mut Bench, n: u64, memory: f64, free: &[(f64, f64)]) -> (RequestId, Vec<Action>) {
    let request = RequestId(1_000 + n);
    let (class, left, work, tenant, key) = (ClassId(0), 15_000 * MS, None, None, None);
    let job = Incoming { request, class, left, slots: 1.0, memory, work, tenant, key };
    let mut all = t.event(Event::Request(job));
    let mut at = 0;
    while at < all.len() {
        if let Action::Probe { worker } = all[at] {
            let (slots, memory) = free[worker.0 as usize];
            all.extend(t.probed(worker.0, Status::Ok, holds(slots, memory)));
        }
        at += 1;
    }
    (request, all)
}

fn started(t: &mut Bench, request: RequestId, worker: u32) -> Vec<Action> {
    let (worker, note) = (WorkerId(worker), Note::Started);
    t.event(Event::Note(Progress { request, attempt: 0, worker, note }))
}

/// Tells that every worker is as it was.
fn all_free(t: &mut Bench, workers: u32, slots: f64) -> Vec<Action> {
    (0..workers).flat_map(|w| t.report(w, slots)).collect()
}

// Guards against a worker that is given up, or a copy of its jobs sent elsewhere, as a job there was suspended for one
// of higher priority: nothing tells of that, and it takes four times as long.
#[test]
fn a_suspended_job_raises_no_alarm() {
    let mut t = Bench::new(site(Effect::Safe), &[entry(0, 0), entry(1, 0), entry(2, 1)], 3.0);
    let free = [(3.0, 3.0); 3];
    let run = 300 * MS;
    // What the class takes is known before one of them takes longer.
    for n in 0..120 {
        let (id, out) = comes(&mut t, n, 0.5, &free);
        let worker = sent(&out).expect("there is room");
        started(&mut t, id, worker);
        t.now += run;
        t.served(id, worker, run);
    }
    let jobs: Vec<_> = (200..203)
        .map(|n| {
            let (id, out) = comes(&mut t, n, 0.5, &free);
            let worker = sent(&out).expect("there is room");
            started(&mut t, id, worker);
            (id, worker)
        })
        .collect();
    let (suspended, at) = jobs[0];
    let quiet = |out: &[Action]| {
        out.iter().all(|a| matches!(a, Action::Probe { .. } | Action::Wake { .. } | Action::Log(_)))
    };
    let out = t.pass(run, &[0, 1, 2]);
    assert!(quiet(&out), "{out:?}");
    for &(id, worker) in &jobs[1..] {
        let out = t.served(id, worker, run);
        assert!(quiet(&out), "{out:?}");
    }
    let out = t.pass(3 * run, &[0, 1, 2]);
    assert!(quiet(&out), "{out:?}");
    all_free(&mut t, 3, 2.0);
    let (next, out) = comes(&mut t, 300, 0.5, &[(2.0, 2.0); 3]);
    assert_eq!(sent(&out), Some(at), "jobs still go where it is");
    t.served(next, at, run);
    let out = t.served(suspended, at, 4 * run);
    assert!(quiet(&out), "{out:?}");
}

// Guards against a job that stays at home while its only worker is full, or is lost with it, and against one that
// keeps away when that worker is back.
#[test]
fn a_zone_of_one_worker_is_left_when_it_is_full_or_lost_and_come_back_to() {
    let mut t = Bench::new(site(Effect::Unsafe), &[entry(0, 1), entry(1, 2), entry(2, 0)], 3.0);
    let free = [(3.0, 3.0); 3];
    let went: Vec<_> = (0..5).map(|n| sent(&comes(&mut t, n, 0.5, &free).1)).collect();
    assert_eq!(went[..3], [Some(2); 3], "home first");
    assert!(went[3..].iter().all(|w| w.is_some_and(|w| w != 2)), "crossing when home is full: {went:?}");
    for n in 0..3 {
        t.served(RequestId(1_000 + n), 2, 50 * MS);
    }
    let (id, out) = comes(&mut t, 10, 0.5, &free);
    assert_eq!(sent(&out), Some(2), "home again");
    let mut out = t.outcome(id, 0, 2, Status::ConnectFailed);
    out.extend(t.probed(2, Status::ConnectFailed, None));
    out.extend(all_free(&mut t, 2, 3.0));
    assert!(sent(&out).is_some_and(|w| w != 2), "what never reached a lost home goes elsewhere: {out:?}");
    let out = comes(&mut t, 11, 0.5, &free).1;
    assert!(sent(&out).is_some_and(|w| w != 2), "and so does the next: {out:?}");
    // Jobs that may run once only come back last, when none that may be repeated has tried it for 10 s.
    t.pass(10_000 * MS, &[0, 1, 2]);
    all_free(&mut t, 3, 3.0);
    t.pass(11_000 * MS, &[0, 1, 2]);
    all_free(&mut t, 3, 3.0);
    let out = comes(&mut t, 12, 0.5, &free).1;
    assert_eq!(sent(&out), Some(2), "it is back");
}

// Guards against weights that fall with load: taken for sizes they make whoever is busy look like a slow machine, and
// the order of workers changes with every line of the list.
#[test]
fn weights_that_change_at_every_line_move_no_placement() {
    let conf: Conf = serde_json::from_str(
        r#"{"lanes":[{"name":"l","aim-us":200000,"deadline-us":5000000,"points":1,"semantics":"read_like"}],
            "limits":{"most-tries":3},"rules":{},"weights":"live"}"#,
    )
    .unwrap();
    let places = |weight: fn(u32, u32) -> f64| -> Vec<_> {
        let lines = |round: u32| {
            let line = |w: u32| Entry {
                kind: KindId(w as usize % 2),
                size: conf.size(Some(weight(w, round))),
                ..entry(w, w as usize / 2)
            };
            (0..6).map(line).collect::<Vec<_>>()
        };
        let settings = Settings { kinds: 2, ..site(Effect::Safe) };
        let mut t = Bench::new(settings, &lines(0), 4.0);
        let free = [(4.0, 4.0); 6];
        (0..40)
            .map(|n| {
                t.event(Event::List { kind: ListKind::Changes, entries: &lines(n) });
                let (id, out) = comes(&mut t, u64::from(n), 0.5, &free);
                let worker = sent(&out).expect("there is room");
                if n % 4 != 3 {
                    t.served(id, worker, 50 * MS);
                }
                t.now += 20 * MS;
                all_free(&mut t, 6, 4.0);
                worker
            })
            .collect()
    };
    let steady = places(|_, _| 1.0);
    let live = places(|w, round| if (w + round) % 2 == 0 { 0.1 } else { 1.0 + f64::from(round % 7) });
    assert_eq!(steady, live);
}

// Guards against a worker of whose size nobody tells counting as a slow machine beside one whose size is told.
#[test]
fn a_worker_of_unknown_size_is_not_put_last() {
    let known = Entry { kind: KindId(1), size: 0.25, ..entry(1, 0) };
    let settings = Settings { kinds: 2, ..site(Effect::Safe) };
    let mut t = Bench::new(settings, &[Entry { size: 0.0, ..entry(0, 0) }, known], 4.0);
    assert_eq!(sent(&comes(&mut t, 0, 0.5, &[(4.0, 4.0); 2]).1), Some(0));
}

// Guards against a job that goes where a slot is free, and waits there for memory as long as another one runs.
#[test]
fn a_job_that_finds_slots_but_no_memory_goes_elsewhere_or_is_held() {
    let mut t = Bench::new(site(Effect::Safe), &[entry(0, 0), entry(1, 0)], 2.0);
    for n in 0..120 {
        let (id, out) = comes(&mut t, n, 0.5, &[(2.0, 2.0); 2]);
        t.now += 1_000 * MS;
        t.served(id, sent(&out).expect("there is room"), 1_000 * MS);
    }
    let tell = |t: &mut Bench, memory: [f64; 2]| {
        t.now += 5_000 * MS;
        t.probed(0, Status::Ok, holds(2.0, memory[0]));
        t.probed(1, Status::Ok, holds(2.0, memory[1]));
    };
    tell(&mut t, [0.0, 2.0]);
    let (id, out) = comes(&mut t, 200, 0.8, &[(2.0, 0.0), (2.0, 2.0)]);
    assert_eq!(sent(&out), Some(1), "{out:?}");
    t.served(id, 1, 1_000 * MS);
    tell(&mut t, [0.0, 0.0]);
    let (id, out) = comes(&mut t, 201, 0.8, &[(2.0, 0.0); 2]);
    assert!(sent(&out).is_none() && !refused(&out, id), "{out:?}");
    tell(&mut t, [0.0, 2.0]);
    let (_, out) = comes(&mut t, 202, 0.8, &[(2.0, 0.0), (2.0, 2.0)]);
    assert_eq!(sent(&out), Some(1), "{out:?}");
}

// Guards against a keyed job that runs twice: another data centre knows nothing of its key, and after its window
// nobody does; and against a client that is told it may ask again.
#[test]
fn a_keyed_repeat_stays_in_its_data_centre_and_its_window() {
    let workers = [entry(0, 0), entry(1, 0), entry(2, 1), entry(3, 2)];
    let free = [(3.0, 3.0); 4];
    let bench = || {
        let mut settings = site(KEYED);
        settings.classes[0].aim = 12_000 * MS;
        let mut t = Bench::new(settings, &workers, 3.0);
        let (id, out) = comes(&mut t, 0, 0.5, &free);
        let first = sent(&out).expect("there is room");
        started(&mut t, id, first);
        (t, id, first)
    };
    // A second worker of the data centre gets it again.
    let (mut t, id, first) = bench();
    t.now += 7_000 * MS;
    let mut out = t.outcome(id, 0, first, Status::Reset);
    out.extend(all_free(&mut t, 4, 3.0));
    assert_eq!(sent(&out), Some(1 - first), "{out:?}");
    // It has not run where it never came: then any data centre may have it, as all of this one are lost.
    let (mut t, id, first) = bench();
    let mut out = t.outcome(id, 0, first, Status::ConnectFailed);
    out.extend(t.probed(first, Status::ConnectFailed, None));
    let second = sent(&out).expect("the other one at home");
    let mut out = t.outcome(id, 1, second, Status::ConnectFailed);
    out.extend(t.probed(second, Status::ConnectFailed, None));
    assert!(sent(&out).is_some_and(|w| w > 1), "{out:?}");
    // Where it may have run, no other data centre may, though the workers of this one are lost.
    let (mut t, id, first) = bench();
    t.pass(1_000 * MS, &[0, 1, 2, 3]);
    let mut out = t.probed(1 - first, Status::ConnectFailed, None);
    out.extend(t.outcome(id, 0, first, Status::Reset));
    out.extend(t.probed(first, Status::ConnectFailed, None));
    out.extend(t.pass(14_500 * MS, &[2, 3]));
    assert!(sent(&out).is_none() && failed(&out, id) && !refused(&out, id), "{out:?}");
    // Nor any at all after the window.
    let (mut t, id, first) = bench();
    t.now += 7_600 * MS;
    let mut out = t.outcome(id, 0, first, Status::Reset);
    out.extend(all_free(&mut t, 4, 3.0));
    out.extend(t.pass(7_500 * MS, &[0, 1, 2, 3]));
    assert!(sent(&out).is_none() && failed(&out, id) && !refused(&out, id), "{out:?}");
}
