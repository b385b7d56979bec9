//! Many instances, few workers, and nobody may be asked: most workers have never reported to an instance, or long ago.

mod common;
use common::*;
use pumiceway_decisions::api::*;

const SLOTS: f64 = 3.0;
/// Workers that have not reported; one has.
const UNSEEN: usize = 7;

/// One of thirty instances, which knows of one worker what it had free a minute ago.
fn instance(slots: f64) -> Bench {
    let mut s = settings(Effect::Safe);
    (s.instances, s.probes, s.second_copies, s.tells_start, s.progress_every) = (30, false, false, true, 0);
    let mut t = Bench::new(s, &[entry(0, 0)], slots);
    let others: Vec<_> = (1..=UNSEEN as u32).map(|n| entry(n, 0)).collect();
    t.event(Event::List { kind: ListKind::Changes, entries: &others });
    t.now += 60_000 * MS;
    t
}

/// A job comes every 50 ms; where those that are sent start at once, they tell so and are served. Tells how many are sent.
fn sent_of(t: &mut Bench, jobs: usize, starts: bool) -> usize {
    let mut count = 0;
    for _ in 0..jobs {
        let mut out = t.arrives(0, 1.0).1;
        for _ in 0..5 {
            for action in std::mem::take(&mut out) {
                let Action::Send { request, worker, .. } = action else { continue };
                count += 1;
                if starts {
                    let note = Note::Started;
                    out.extend(t.event(Event::Note(Progress { request, attempt: 0, worker, note })));
                    out.extend(t.served(request, worker.0, 40 * MS));
                }
            }
            t.now += 10 * MS;
            out.extend(t.event(Event::Wake));
        }
    }
    count
}

// Guards against a burst in which each instance fills the queues of all workers that it has not heard of, one after the
// other, though no job it sent has started; and against none being sent for good after it.
#[test]
fn jobs_that_do_not_start_tell_of_the_workers_that_were_not_heard_of() {
    let mut t = instance(SLOTS);
    let burst = sent_of(&mut t, UNSEEN, false);
    assert!((1..=3).contains(&burst), "{burst}");
    // The queues may be gone: the next one finds out.
    t.pass(5_000 * MS, &[]);
    assert_eq!(sent_of(&mut t, 1, true), 1);
}

// Guards against workers left idle where all that is sent starts at once.
#[test]
fn while_jobs_start_at_once_all_are_sent() {
    for slots in [1.0, 2.0, SLOTS, 20.0] {
        assert_eq!(sent_of(&mut instance(slots), 200, true), 200, "{slots}");
    }
}

// Guards against workers taken for empty because they have not reported, where those that did are all full.
#[test]
fn reports_tell_of_the_workers_that_have_not_reported() {
    let mut t = instance(SLOTS);
    assert!(sent(&t.arrives(0, 1.0).1).is_some());
    let full = Report { free_slots: Some(0.0), waiting: Some(9.0), ..Report::default() };
    for _ in 0..30 {
        t.now += 20 * MS;
        t.probed(0, Status::Ok, Some(full));
    }
    let (_, out) = t.arrives(0, 1.0);
    assert_eq!(sent(&out), None);
}
