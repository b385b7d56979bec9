//! What may be sent again, and until when, at three unlike deployments as their settings have them.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use pumiceway_decisions::settings::Conf;

/// Short windows and deadlines; a zone that knows its keys for long; a cell, with many attempts and a long patience.
const SITES: [&str; 3] = [
    r#"{"lanes":[
      {"name":"look","aim-us":300000,"deadline-us":300000,"points":1,"semantics":"read_like"},
      {"name":"put","aim-us":2000000,"deadline-us":2000000,"points":2,"semantics":"idempotency_key",
       "dedup-scope":"all","window-us":800000},
      {"name":"pay","aim-us":2000000,"deadline-us":2000000,"points":3,"semantics":"non_idempotent"}],
      "limits":{"most-tries":2,"cancel":true,"second-copies":true,"retry-after":true,"max-retry-after-us":500000,
       "connect-timeout-us":250000},"rules":{"drain-grace-us":100000}}"#,
    r#"{"zones":["north","south"],"my-zone":"north","lanes":[
      {"name":"look","aim-us":5000000,"deadline-us":5000000,"points":1,"semantics":"read_like"},
      {"name":"put","aim-us":15000000,"deadline-us":15000000,"points":2,"semantics":"idempotency_key",
       "dedup-scope":"zone","window-us":7500000},
      {"name":"pay","aim-us":15000000,"deadline-us":15000000,"points":3,"semantics":"non_idempotent"}],
      "limits":{"most-tries":3,"connect-timeout-us":250000},"rules":{"drain-grace-us":500000}}"#,
    r#"{"lanes":[
      {"name":"look","aim-us":20000000,"deadline-us":20000000,"points":1,"semantics":"read_like"},
      {"name":"put","aim-us":20000000,"deadline-us":20000000,"points":2,"semantics":"idempotency_key",
       "dedup-scope":"cell","window-us":2000000},
      {"name":"pay","aim-us":20000000,"deadline-us":20000000,"points":3,"semantics":"non_idempotent"}],
      "limits":{"most-tries":6,"cancel":true},"rules":{}}"#,
];

fn site(text: &str) -> Settings {
    serde_json::from_str::<Conf>(text).unwrap().settings().unwrap()
}

struct Asked {
    t: Bench,
    id: RequestId,
    first: u32,
}

fn incoming() -> Incoming {
    let (request, class, left, slots, memory) = (RequestId(0), ClassId(0), 0, 1.0, 0.0);
    Incoming { request, class, left, slots, memory, work: None, tenant: None, key: None }
}

/// A request of this class that is out at one of two workers of a group; a third is elsewhere.
fn asked(s: &Settings, class: usize) -> Asked {
    let elsewhere = Entry { cell: Some(1), ..entry(2, s.zones - 1) };
    let mut t = Bench::new(s.clone(), &[entry(0, 0), entry(1, 0), elsewhere], 4.0);
    let id = RequestId(0);
    let job = Incoming { class: ClassId(class), left: s.classes[class].deadline, ..incoming() };
    let first = sent(&t.event(Event::Request(job))).expect("there is room");
    Asked { t, id, first }
}

// Guards against a keyed job that runs twice: its repeat was decided within the window and reached its worker after
// it, as a connection may take its time to come up.
#[test]
fn a_repeat_is_decided_only_while_it_can_still_arrive_within_the_window() {
    for (n, text) in SITES.iter().enumerate() {
        let s = site(text);
        assert_eq!(s.connect_timeout, [50_000, 250_000, 1_000_000][n]);
        let window = s.classes.iter().find_map(|c| match c.effect {
            Effect::Keyed { window, .. } => Some(window),
            _ => None,
        });
        let last = window.unwrap() - s.connect_timeout;
        for (at, in_time) in [(last - 1, true), (last, false), (window.unwrap() - 1, false)] {
            for class in 0..3 {
                let Asked { mut t, id, first } = asked(&s, class);
                if at + 1_000_000 >= s.classes[class].deadline {
                    continue;
                }
                t.now += at;
                let out = t.outcome(id, 0, first, Status::Error);
                let again = match s.classes[class].effect {
                    Effect::Safe => true,
                    Effect::Keyed { .. } => in_time,
                    Effect::Unsafe => false,
                };
                assert_eq!(sent(&out).is_some(), again, "site {n}, class {class}, {at}: {out:?}");
                assert!(again || refused(&out, id) || failed(&out, id), "site {n}, class {class}: {out:?}");
            }
        }
    }
}

// Guards against the same by a second copy: the worker of the first attempt turns out dead near the end of the window.
#[test]
fn a_second_copy_is_sent_only_while_it_can_still_arrive_within_the_window() {
    for (before, copied) in [(1, true), (0, false)] {
        let s = site(SITES[0]);
        let Asked { mut t, id, first } = asked(&s, 1);
        t.pass(700 * MS, &[0, 1, 2]);
        t.now += 100 * MS - s.connect_timeout - before;
        let other = RequestId(1);
        let job = Incoming { request: other, class: ClassId(0), left: 300 * MS, ..incoming() };
        assert_eq!(sent(&t.event(Event::Request(job))), Some(first));
        t.outcome(other, 0, first, Status::ConnectFailed);
        let out = t.event(Event::Wake);
        let again = out.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == id));
        assert_eq!(again, copied, "{out:?}");
        assert!(!refused(&out, id) && !failed(&out, id), "its first attempt is still out: {out:?}");
    }
}

// Guards against a repeat that goes to those who know nothing of the first attempt, where the worker of that one is
// listed elsewhere now, in another zone or cell, or has left the list.
#[test]
fn a_repeat_goes_to_the_group_that_its_first_worker_was_in_when_it_was_sent() {
    for text in &SITES[1..] {
        let s = site(text);
        let moves: [fn(Entry<'static>) -> Entry<'static>; 2] = [
            |e| Entry { zone: ZoneId(1), cell: Some(1), ready_at: START, ..e },
            |e| Entry { state: WorkerState::Gone, ..e },
        ];
        for change in moves {
            let s = Settings { zones: 2, ..s.clone() };
            let Asked { mut t, id, first } = asked(&s, 1);
            let moved = change(entry(first, 0));
            t.event(Event::List { kind: ListKind::Changes, entries: &[moved] });
            let out = t.outcome(id, 0, first, Status::Error);
            assert_eq!(sent(&out), Some(1 - first), "{out:?}");
        }
    }
}

// Guards against a request that goes on after its client left, where attempts may not be called off.
#[test]
fn what_is_over_is_not_sent_again_where_attempts_may_not_be_called_off() {
    for (n, text) in SITES.iter().enumerate() {
        for (class, cancel) in [(0, true), (0, false), (1, true), (1, false)] {
            let s = Settings { cancel, ..site(text) };
            let Asked { mut t, id, first } = asked(&s, class);
            let off = t.event(Event::Gone { request: id });
            assert_eq!(
                off.contains(&Action::Cancel { request: id, attempt: 0 }),
                cancel,
                "site {n}: {off:?}"
            );
            let mut out = t.event(Event::Gone { request: id });
            out.extend(t.outcome(id, 0, first, Status::Reset));
            out.extend(t.pass(500 * MS, &[0, 1, 2]));
            let named = |a: &Action| !matches!(a, Action::Wake { .. } | Action::Probe { .. });
            assert!(!out.iter().any(named), "site {n}, class {class}: {out:?}");
        }
    }
}

// Guards against slots that are freed twice, and a job that is sent on twice, where an outcome comes twice.
#[test]
fn an_outcome_that_comes_twice_frees_its_slots_once() {
    for text in SITES {
        for status in [Status::Full, Status::ConnectFailed, Status::Error, Status::Reset, Status::Timeout] {
            let s = Settings { probes: false, ..site(text) };
            let mut t = Bench::new(s, &[Entry { jobs: Some(3), ..entry(0, 0) }], 4.0);
            let ask = |t: &mut Bench, n: u64| {
                let job = Incoming { request: RequestId(n), left: 300 * MS, ..incoming() };
                sent(&t.event(Event::Request(job)))
            };
            assert!((0..3).all(|n| ask(&mut t, n) == Some(0)) && ask(&mut t, 3).is_none());
            t.outcome(RequestId(0), 0, 0, status);
            t.outcome(RequestId(0), 0, 0, status);
            // It is listed as started anew, so that nothing but its slots keeps jobs from it.
            t.event(Event::Gone { request: RequestId(0) });
            let anew = Entry { jobs: Some(3), ready_at: START, warm: true, ..entry(0, 0) };
            t.event(Event::List { kind: ListKind::Changes, entries: &[anew] });
            let again = t.event(Event::Wake).iter().filter(|a| matches!(a, Action::Send { .. })).count();
            let now: usize = (4..7).filter(|&n| ask(&mut t, n).is_some()).count();
            assert!(again + now <= 1, "{status:?}: {again} {now}");
        }
    }
}
