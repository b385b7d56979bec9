//! What the module decides, seen from outside: events in, actions out.

mod common;
use common::*;
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;

const KEYED_ALL: Effect = Effect::Keyed { group: Group::All, window: 1_000 * MS };
const KEYED_ZONE: Effect = Effect::Keyed { group: Group::Zone, window: 1_000 * MS };
const KEYED_CELL: Effect = Effect::Keyed { group: Group::Cell, window: 1_000 * MS };

fn four() -> [Entry<'static>; 4] {
    // Zone 0 is home and holds b and c; list order is not id order.
    [entry(2, 0), entry(0, 1), entry(1, 0), entry(3, 1)]
}

#[test]
fn blocks_fill_in_id_order_home_first_and_later_workers_idle() {
    let mut t = Bench::new(settings(Effect::Safe), &four(), 2.0);
    let to: Vec<_> = t.spread(8).into_iter().flatten().collect();
    assert_eq!(to, [1, 1, 2, 2, 0, 0, 3, 3]);
}

#[test]
fn at_light_load_only_the_head_works() {
    let mut t = Bench::new(settings(Effect::Safe), &four(), 2.0);
    for _ in 0..20 {
        let (r, out) = t.ask(0, 1.0);
        assert_eq!(sent(&out), Some(1));
        t.now += 50 * MS;
        t.outcome(r, 0, 1, Status::Ok);
    }
}

#[test]
fn instances_start_at_their_own_place_in_the_order() {
    let mut s = settings(Effect::Safe);
    (s.me, s.instances) = (1, 2);
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 0)], 1.0);
    assert_eq!(t.spread(4), [Some(2), Some(3), Some(0), Some(1)]);
}

#[test]
fn a_kind_too_slow_for_the_tightest_aim_comes_last_in_its_block() {
    let mut s = settings(Effect::Safe);
    s.kinds = 2;
    let slow = Entry { kind: KindId(1), size: 0.4, ..entry(0, 0) };
    let mut t = Bench::new(s, &[slow, entry(1, 0), entry(2, 0)], 1.0);
    assert_eq!(t.spread(3), [Some(1), Some(2), Some(0)]);
}

#[test]
fn a_class_goes_only_to_its_kind() {
    let mut s = settings(Effect::Safe);
    s.kinds = 2;
    s.classes[0].kinds = Some(vec![KindId(1)]);
    let mut t = Bench::new(s, &[entry(0, 0), Entry { kind: KindId(1), ..entry(1, 1) }], 1.0);
    assert_eq!(t.spread(1), [Some(1)]);
}

#[test]
fn slots_and_memory_both_have_to_fit() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 2.0);
    let mut ask = |id: u64, slots: f64, memory: f64| {
        let (left, class) = (5_000 * MS, ClassId(0));
        let request = RequestId(id);
        sent(&t.event(Event::Request(Incoming {
            request,
            class,
            left,
            slots,
            memory,
            work: None,
            tenant: None,
            key: None,
        })))
    };
    assert_eq!(ask(100, 1.0, 1.5), Some(0));
    assert_eq!(ask(101, 1.0, 1.5), Some(1), "a slot is free on the first, but no memory");
}

#[test]
fn reported_requests_in_hand_reveal_a_queue_that_free_slots_hide() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 2.0);
    for n in 0..5 {
        t.now += 1_000 * MS;
        let report =
            Some(Report { free_slots: Some(1.9), in_flight: Some(9.0 + f64::from(n)), ..Report::default() });
        t.event(Event::Probed(Probed { worker: WorkerId(0), status: Status::Ok, report, latency: MS }));
    }
    assert_eq!(t.spread(1), [Some(1)]);
}

#[test]
fn full_closes_a_worker_for_a_while_and_the_request_moves_on() {
    let mut t = Bench::new(settings(Effect::Unsafe), &[entry(0, 0), entry(1, 0)], 2.0);
    let (r, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), Some(0));
    assert_eq!(sent(&t.outcome(r, 0, 0, Status::Full)), Some(1));
    assert_eq!(t.spread(1), [Some(1)]);
    t.pass(1_100 * MS, &[0, 1]);
    assert_eq!(t.spread(1), [Some(0)]);
}

#[test]
fn without_room_a_request_is_held_then_placed_by_worth_when_a_slot_frees() {
    let mut s = settings(Effect::Safe);
    s.classes.push(Class { worth: 5.0, ..class(Effect::Safe) });
    for c in &mut s.classes {
        c.aim = 40 * MS; // too tight to wait behind anything
    }
    let mut t = Bench::new(s, &[entry(0, 0)], 1.0);
    let (first, _) = t.ask(0, 1.0);
    let (_, cheap) = t.ask(0, 1.0);
    let (_, dear) = t.ask(1, 1.0);
    assert_eq!((sent(&cheap), sent(&dear)), (None, None));
    let freed = t.outcome(first, 0, 0, Status::Ok);
    assert!(freed.iter().any(|a| matches!(a, Action::Send { request: RequestId(2), .. })), "{freed:?}");
}

#[test]
fn what_cannot_start_in_time_is_refused_with_advice() {
    let mut t = Bench::new(settings(Effect::Unsafe), &[], 1.0);
    let (r, out) = t.ask(0, 1.0);
    assert!(!refused(&out, r), "an empty list holds at first");
    let out = t.pass(1_000 * MS, &[]);
    assert!(refused(&out, r) && !failed(&out, r));
    // The advice is spread, so that clients do not come back together.
    let mut advised = std::collections::BTreeSet::new();
    for _ in 0..8 {
        t.ask(0, 1.0);
        for action in t.pass(1_000 * MS, &[]) {
            if let Action::Refuse { retry_after: Some(after), .. } = action {
                assert!((1_000 * MS..=2_000 * MS).contains(&after));
                advised.insert(after);
            }
        }
    }
    assert!(advised.len() >= 6, "{advised:?}");
}

#[test]
fn the_allowed_wait_does_not_grow_with_learnt_waits() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0)], 1.0);
    for _ in 0..200 {
        let (request, _) = t.ask(0, 1.0);
        let (worker, status) = (WorkerId(0), Status::Ok);
        let latency = 4_000 * MS;
        let e = Event::Outcome(Outcome {
            request,
            attempt: 0,
            worker,
            status,
            latency,
            closed: true,
            report: None,
        });
        t.event(e);
    }
    t.event(Event::List { kind: ListKind::Whole, entries: &[] });
    let (r, _) = t.ask(0, 1.0);
    assert!(refused(&t.pass(600 * MS, &[]), r), "aim plus at most one more aim");
}

/// After one attempt that ended so, may the request be sent again, refused, or only failed?
#[test]
fn rules_by_outcome_and_class() {
    use Status::*;
    let statuses = [Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot];
    for effect in [Effect::Safe, KEYED_ALL, KEYED_ZONE, KEYED_CELL, Effect::Unsafe] {
        for status in statuses {
            // A second worker in the group: the request moves there unless the rules forbid it.
            let mut t = Bench::new(settings(effect), &[entry(0, 0), entry(1, 0)], 1.0);
            let (r, _) = t.ask(0, 1.0);
            let out = t.outcome(r, 0, 0, status);
            let may_have_run = !status.never_ran();
            if may_have_run && effect == Effect::Unsafe {
                assert_eq!(
                    (sent(&out), failed(&out, r), refused(&out, r)),
                    (None, true, false),
                    "{status:?}"
                );
            } else {
                let to = sent(&out);
                assert!(to == Some(1) || !may_have_run && to == Some(0), "{effect:?} {status:?} {out:?}");
            }

            // Only a worker outside the group of zone and cell, and the window passes.
            let mut t = Bench::new(settings(effect), &[entry(0, 0), entry(1, 1)], 1.0);
            let (r, _) = t.ask(0, 1.0);
            let mut out = t.outcome(r, 0, 0, status);
            let outside = matches!(effect, Effect::Keyed { group: Group::Zone | Group::Cell, .. });
            t.event(Event::List { kind: ListKind::Changes, entries: &[gone(0)] });
            out.extend(t.pass(2_500 * MS, &[0, 1]));
            if may_have_run && (outside || effect == Effect::Unsafe) {
                assert!(!out.contains(&send(r, 1)), "{effect:?} {status:?} left its group");
                assert!(
                    failed(&out, r) != out.contains(&send(r, 0)) && !refused(&out, r),
                    "{effect:?} {status:?}"
                );
            }
        }
    }
}

fn send(request: RequestId, worker: u32) -> Action {
    Action::Send { request, worker: WorkerId(worker), timeout: None }
}

fn gone(worker: u32) -> Entry<'static> {
    Entry { state: WorkerState::Gone, ..entry(worker, 0) }
}

#[test]
fn a_keyed_request_is_not_sent_again_after_its_window() {
    let mut t = Bench::new(settings(KEYED_ALL), &[entry(0, 0), entry(1, 0)], 1.0);
    let (r, _) = t.ask(0, 1.0);
    t.now += 1_001 * MS;
    let out = t.outcome(r, 0, 0, Status::Error);
    assert_eq!(sent(&out), None);
    assert!(refused(&out, r), "group all may be refused");
}

#[test]
fn attempts_are_limited() {
    let mut s = settings(Effect::Safe);
    s.max_attempts = 2;
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0), entry(2, 0)], 1.0);
    let (r, _) = t.ask(0, 1.0);
    assert_eq!(sent(&t.outcome(r, 0, 0, Status::Error)), Some(1));
    let out = t.outcome(r, 1, 1, Status::Error);
    assert_eq!(sent(&out), None);
    assert!(refused(&out, r));
}

#[test]
fn a_request_whose_client_left_is_called_off_and_never_answered() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0)], 1.0);
    let (r, _) = t.ask(0, 1.0);
    assert!(t.event(Event::Gone { request: r }).contains(&Action::Cancel { request: r, attempt: 0 }));
    let mut out = t.outcome(r, 0, 0, Status::Cancelled);
    out.extend(t.pass(6_000 * MS, &[0]));
    assert!(!failed(&out, r) && !refused(&out, r) && sent(&out).is_none());
    assert_eq!(t.spread(1), [Some(0)], "its slot is free again");
}

#[test]
fn nothing_new_goes_to_a_draining_worker_and_it_may_return() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    let drain = Entry { state: WorkerState::Draining, ..entry(0, 0) };
    t.event(Event::List { kind: ListKind::Changes, entries: &[drain] });
    assert_eq!(t.spread(2), [Some(1), Some(1)]);
    t.event(Event::List { kind: ListKind::Changes, entries: &[entry(0, 0)] });
    assert_eq!(t.spread(1), [Some(0)]);
    t.event(Event::List { kind: ListKind::Whole, entries: &[entry(1, 0)] });
    assert_eq!(t.spread(1), [Some(1)], "not on a whole list means gone");
}

#[test]
fn hundreds_of_instances_use_a_cold_worker_by_turns_and_stay_within_its_budget() {
    let mut to_cold = 0;
    for me in 0..400 {
        let mut s = settings(Effect::Safe);
        (s.me, s.instances) = (me, 400);
        let cold = Entry { ready_at: START - 4_000 * MS, ..entry(0, 0) };
        let mut t = Bench::new(s, &[cold], 8.0);
        to_cold += t.spread(3).iter().flatten().count();
    }
    // 3 x 0.65 x 8 slots for 2 s, at 200 ms a job: 156 jobs would tip it.
    assert!((40..=156).contains(&to_cold), "{to_cold}");
}

#[test]
fn a_worker_too_cold_to_meet_the_aim_gets_nothing_until_it_is_warmer() {
    let cold = Entry { ready_at: START - MS, ..entry(0, 0) };
    let mut t = Bench::new(settings(Effect::Safe), &[cold, entry(1, 1)], 8.0);
    assert_eq!(t.spread(1), [Some(1)]);
    t.now += 8_000 * MS;
    assert_eq!(t.spread(1), [Some(0)], "warm by now");
}

#[test]
fn a_worker_that_was_down_counts_as_freshly_started_before_the_list_tells() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    let (r, _) = t.ask(0, 1.0);
    t.outcome(r, 0, 0, Status::ConnectFailed);
    let (worker, status) = (WorkerId(0), Status::Timeout);
    t.event(Event::Probed(Probed { worker, status, latency: 100 * MS, report: None }));
    t.pass(600 * MS, &[1]);
    t.pass(4_200 * MS, &[0, 1]);
    assert_eq!(t.spread(1), [Some(1)], "back, and as weak as a fresh start");
    t.pass(9_000 * MS, &[0, 1]);
    assert_eq!(t.spread(1), [Some(0)]);
}

#[test]
fn a_failed_connection_to_a_worker_that_answers_closes_it_for_no_longer_than_the_answer_takes() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    let (r, _) = t.ask(0, 1.0);
    let out = t.outcome(r, 0, 0, Status::ConnectFailed);
    assert!(out.contains(&Action::Probe { worker: WorkerId(0) }), "{out:?}");
    assert_eq!(sent(&out), Some(1));
    t.report(0, 4.0);
    assert_eq!(t.spread(2), [Some(0), Some(0)]);
}

#[test]
fn an_unanswered_probe_closes_its_worker() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    let (worker, report) = (WorkerId(0), None);
    t.event(Event::Probed(Probed { worker, status: Status::Timeout, latency: 100 * MS, report }));
    assert_eq!(t.spread(1), [Some(1)]);
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    t.event(Event::Probed(Probed { worker, status: Status::Full, latency: MS, report }));
    assert_eq!(t.spread(1), [Some(0)], "no more probes at once is a sign of life");
}

#[test]
fn reports_that_are_older_than_jobs_are_believed_less() {
    // Two instances; every report says full, then one says free. Where reports repeat for seconds, the one
    // free report moves belief little and the job goes on to the next worker.
    let goes_to = |repeats: bool| {
        let mut s = settings(Effect::Safe);
        s.instances = 2;
        let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0), entry(2, 0)], 4.0);
        for n in 0..60 {
            t.now += 400 * MS;
            let busy = if repeats { 0.0 } else { f64::from(n) * 0.001 };
            t.report(0, busy);
        }
        t.now += 400 * MS;
        t.report(0, 4.0);
        t.report(1, 4.0);
        sent(&t.ask(0, 1.0).1)
    };
    assert_ne!(goes_to(true), goes_to(false));
}

#[test]
fn a_stall_condemns_no_worker_whose_answers_lie_in_the_backlog() {
    let mut s = settings(Effect::Safe);
    (s.tells_start, s.report_via) = (true, ReportVia::None);
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0)], 4.0);
    let (r, _) = t.ask(0, 1.0);
    t.now += 4_000 * MS;
    let out = t.event(Event::Wake);
    assert!(!out.iter().any(|a| matches!(a, Action::Send { .. } | Action::Probe { .. })), "{out:?}");
    t.outcome(r, 0, 0, Status::Ok);
    assert_eq!(t.spread(1), [Some(0)]);
}

#[test]
fn a_stall_ends_no_drain_early() {
    let mut s = settings(Effect::Safe);
    s.report_via = ReportVia::None;
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0)], 4.0);
    let draining = Entry { state: WorkerState::Draining, ..entry(0, 0) };
    t.event(Event::List { kind: ListKind::Changes, entries: &[draining] });
    t.now += 5_000 * MS;
    t.event(Event::Wake);
    assert_eq!(t.spread(1), [Some(1)]);
}

#[test]
fn a_lost_answer_frees_its_slots_and_no_probe_alone_clears_its_worker() {
    let mut t = Bench::new(settings(Effect::Unsafe), &[entry(0, 0), entry(1, 0)], 1.0);
    assert_eq!(t.spread(1), [Some(0)]);
    t.pass(4_500 * MS, &[0, 1]);
    // Unsafe jobs keep off until something of ours is answered there.
    assert_eq!(t.spread(1), [Some(1)]);
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0)], 1.0);
    assert_eq!(t.spread(1), [Some(0)]);
    t.pass(4_500 * MS, &[0]);
    assert_eq!(t.spread(1), [Some(0)], "one safe job finds the slot free");
}

#[test]
fn a_job_lost_on_an_unused_connection_makes_later_ones_open_a_new_one() {
    let closes_before_the_third_job = |second_is_lost: bool| {
        let mut s = settings(Effect::Safe);
        s.tells_start = true;
        let mut t = Bench::new(s, &[entry(0, 0)], 4.0);
        let (first, _) = t.ask(0, 1.0);
        t.outcome(first, 0, 0, Status::Ok);
        t.pass(2_000 * MS, &[0]);
        let (second, _) = t.ask(0, 1.0);
        if !second_is_lost {
            t.outcome(second, 0, 0, Status::Ok);
        }
        t.pass(2_500 * MS, &[0]);
        t.ask(0, 1.0).1.contains(&Action::Disconnect { worker: WorkerId(0) })
    };
    assert!(closes_before_the_third_job(true));
    assert!(!closes_before_the_third_job(false));
}

#[test]
fn a_job_that_waits_unseen_moves_and_is_called_off_when_its_copy_starts() {
    let mut s = settings(Effect::Safe);
    s.tells_start = true;
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0)], 4.0);
    let (request, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), Some(0));
    t.report(1, 4.0);
    let out = t.pass(60 * MS, &[0, 1]);
    assert!(out.contains(&send(request, 1)), "{out:?}");
    let note = Progress { request, attempt: 1, worker: WorkerId(1), note: Note::Started };
    let out = t.event(Event::Note(note));
    assert!(out.contains(&Action::Cancel { request, attempt: 0 }), "{out:?}");
}

#[test]
fn instances_that_share_heads_go_on_to_different_workers() {
    let all: Vec<_> = (0..7).map(|n| entry(n, 0)).collect();
    let mut seconds = std::collections::BTreeSet::new();
    for me in 0..2 {
        let mut s = settings(Effect::Safe);
        (s.me, s.instances) = (me, 20);
        let to = Bench::new(s, &all, 1.0).spread(7);
        assert_eq!(to[0], Some(0), "both start at the same head");
        let met: std::collections::BTreeSet<_> = to.iter().flatten().collect();
        assert!(met.len() >= 4, "{to:?}");
        seconds.insert(to[1]);
    }
    assert_eq!(seconds.len(), 2);
}

#[test]
fn placement_is_kept_by_first_sends_copies_and_the_followup() {
    let mut s = settings(Effect::Safe);
    s.kinds = 2;
    s.classes[0].zones = Some(vec![ZoneId(1)]);
    s.classes[0].kinds = Some(vec![KindId(1)]);
    let open = Entry { kind: KindId(1), ..entry(3, 1) };
    let mut t =
        Bench::new(s, &[entry(0, 0), entry(1, 1), Entry { kind: KindId(1), ..entry(2, 0) }, open], 1.0);
    let (r, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), Some(3));
    // Its only worker goes silent: no copy anywhere else; a second request is held, then ended.
    let (second, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), None);
    let out = t.pass(4_900 * MS, &[0, 1, 2]);
    assert_eq!(sent(&out), None);
    assert!(refused(&out, second));
    let out = t.outcome(r, 0, 3, Status::Timeout);
    assert!(sent(&out).is_none());
}

#[test]
fn an_empty_placement_list_allows_nobody_and_a_bound_kind_is_left_to_those_who_need_it() {
    let mut s = settings(Effect::Safe);
    s.kinds = 2;
    s.classes.push(class(Effect::Safe));
    s.classes.push(class(Effect::Safe));
    s.classes[1].kinds = Some(vec![KindId(0)]);
    s.classes[2].zones = Some(Vec::new());
    let other = Entry { kind: KindId(1), ..entry(1, 0) };
    let mut t = Bench::new(s, &[entry(0, 0), other], 4.0);
    assert_eq!(sent(&t.ask(0, 1.0).1), Some(1), "the open class leaves kind 0 to class 1");
    assert_eq!(sent(&t.ask(1, 1.0).1), Some(0));
    let (r, out) = t.ask(2, 1.0);
    assert_eq!(sent(&out), None);
    assert!(refused(&t.pass(4_900 * MS, &[0, 1]), r));
}

#[test]
fn dead_silent_and_hung_workers_lose_the_head_spot_and_win_it_back_by_a_trial() {
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    let (r, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), Some(0));
    // Silence and unanswered probes: the job gets a copy elsewhere, and new work follows it.
    let out = t.pass(2_000 * MS, &[1]);
    assert!(out.contains(&send(r, 1)), "{out:?}");
    assert_eq!(t.spread(1), [Some(1)]);
    // Its first answered probe earns one job, no more, until that answers.
    t.pass(14_000 * MS, &[0, 1]);
    t.outcome(r, 0, 0, Status::Timeout);
    let to = t.spread(2);
    assert_eq!(to, [Some(0), Some(1)]);
}

#[test]
fn an_unsafe_request_is_never_copied_off_a_hung_worker() {
    let mut t = Bench::new(settings(Effect::Unsafe), &[entry(0, 0), entry(1, 0)], 4.0);
    let (r, _) = t.ask(0, 1.0);
    let out = t.pass(4_000 * MS, &[1]);
    assert!(sent(&out).is_none() && !refused(&out, r));
    let out = t.outcome(r, 0, 0, Status::Timeout);
    assert!(failed(&out, r) && !refused(&out, r));
}

#[test]
fn the_list_is_asked_for_after_a_restart_and_again_after_a_failure() {
    let mut s = settings(Effect::Safe);
    s.list_by_asking = true;
    let mut t = Bench::new(s, &[entry(0, 0)], 1.0);
    let asks = |out: &[Action]| out.iter().filter(|a| **a == Action::Subscribe).count();
    assert_eq!(asks(&t.pass(2_600 * MS, &[0])), 1);
    t.event(Event::List { kind: ListKind::Lost, entries: &[] });
    assert_eq!(t.spread(1), [Some(0)], "the old list stands");
    assert_eq!(asks(&t.pass(10_000 * MS, &[0])), 1);
    t.event(Event::List { kind: ListKind::Changes, entries: &[] });
    assert_eq!(asks(&t.pass(20_000 * MS, &[0])), 0);
}

#[test]
fn settings_that_cannot_work_are_refused() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings(Effect::Safe);
        change(&mut s);
        Balancer::new(s, 1).err()
    };
    assert_eq!(bad(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(bad(|s| s.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert!(matches!(bad(|s| s.me = 1), Some(SettingsError::OutOfRange { what: "instance", .. })));
    assert!(matches!(bad(|s| s.my_zone = Some(ZoneId(2))), Some(SettingsError::OutOfRange { .. })));
    assert!(matches!(
        bad(|s| s.classes[0].kinds = Some(vec![KindId(1)])),
        Some(SettingsError::OutOfRange { .. })
    ));
    assert_eq!(bad(|_| ()), None);
}

#[test]
fn a_job_that_has_not_started_closes_its_worker_where_starts_are_told() {
    let mut s = settings(Effect::Unsafe);
    s.tells_start = true;
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0)], 4.0);
    let (request, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), Some(0));
    t.now += 60 * MS;
    assert_eq!(t.spread(1), [Some(1)]);
    let (worker, note) = (WorkerId(0), Note::Started);
    t.event(Event::Note(Progress { request, attempt: 0, worker, note }));
    // It started late, so others fill the worker, until a report says otherwise.
    assert_eq!(t.spread(1), [Some(1)]);
    for _ in 0..5 {
        t.now += 1_000 * MS;
        t.report(0, 3.0);
    }
    assert_eq!(t.spread(1), [Some(0)]);
}

// Guards against a queue that a report showed being believed after a job of ours has started past it.
#[test]
fn a_prompt_start_proves_that_no_queue_is_left() {
    let mut s = settings(Effect::Safe);
    (s.tells_start, s.probes) = (true, false);
    let mut t = Bench::new(s, &[entry(0, 0)], 4.0);
    t.now += 5_000 * MS;
    let (request, out) = t.arrives(0, 1.0);
    assert_eq!(sent(&out), Some(0));
    t.now += 5 * MS;
    let report = Report { free_slots: Some(0.0), waiting: Some(6.0), ..Report::default() };
    t.probed(0, Status::Ok, Some(report));
    let started = Progress { request, attempt: 0, worker: WorkerId(0), note: Note::Started };
    t.event(Event::Note(started));
    t.served(request, 0, 5 * MS);
    assert_eq!(sent(&t.arrives(0, 1.0).1), Some(0));
}

#[test]
fn a_job_waits_for_home_as_long_as_a_crossing_is_worth_and_then_crosses() {
    let mut s = settings(Effect::Safe);
    s.prices.cross_zone = 0.4; // 0.4 x 200 ms
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 1)], 1.0);
    let (home, _) = t.ask(0, 1.0);
    let (second, out) = t.ask(0, 1.0);
    assert_eq!(sent(&out), None);
    t.now += 30 * MS;
    let out = t.outcome(home, 0, 0, Status::Ok);
    assert!(out.contains(&send(second, 0)), "home freed a slot in time: {out:?}");
    let (third, _) = t.ask(0, 1.0);
    assert!(!t.pass(60 * MS, &[0, 1]).contains(&send(third, 1)));
    assert!(t.pass(60 * MS, &[0, 1]).contains(&send(third, 1)));
}

fn unheard(effect: Effect) -> Settings {
    Settings { probes: false, report_via: ReportVia::None, ..settings(effect) }
}

// Guards against a guess of what others use that nothing corrects: with the aim of a class that has no stretch, it
// kept every job from an idle worker.
#[test]
fn an_idle_worker_that_never_reports_is_sent_the_first_job_at_once() {
    for (aim, jobs) in [(500, None), (500, Some(1)), (20, None)] {
        let mut s = unheard(Effect::Safe);
        (s.classes[0].aim, s.classes[0].stretch) = (aim * MS, 0.0);
        let mut t = Bench::new(s, &[], 1.0);
        t.event(Event::List { kind: ListKind::Whole, entries: &[Entry { jobs, ..entry(0, 0) }] });
        let (first, out) = t.ask(0, 1.0);
        assert_eq!(sent(&out), Some(0), "aim {aim} ms");
        t.served(first, 0, MS);
        assert_eq!(sent(&t.ask(0, 4.0).1), Some(0), "a large job, aim {aim} ms");
    }
}

// Guards against jobs sent to a worker that turns them away, which closes it for a second.
#[test]
fn a_worker_without_a_queue_is_sent_no_more_jobs_than_it_takes() {
    let mut s = unheard(Effect::Unsafe);
    s.classes[0].wait = Some(5_000 * MS);
    let mut t = Bench::new(s, &[], 1.0);
    t.event(Event::List { kind: ListKind::Whole, entries: &[Entry { jobs: Some(2), ..entry(0, 0) }] });
    assert_eq!(t.spread(3), [Some(0), Some(0), None]);
    assert_eq!(sent(&t.served(RequestId(0), 0, 20 * MS)), Some(0));
    assert_eq!(sent(&t.pass(200 * MS, &[])), None);
}

// Guards against a refusal after the aim where users expect a queue, and against one that runs into the deadline.
#[test]
fn where_a_class_has_a_wait_its_jobs_wait_for_a_worker_while_the_deadline_makes_sense() {
    let mut s = unheard(Effect::Unsafe);
    s.classes[0].wait = Some(5_000 * MS);
    let mut t = Bench::new(s, &[], 1.0);
    let (r, _) = t.ask(0, 1.0);
    assert!(!refused(&t.pass(4_500 * MS, &[]), r));
    assert!(refused(&t.pass(420 * MS, &[]), r));
    // Once the class is known to take a second, it has to start a second before the deadline.
    t.event(Event::List { kind: ListKind::Whole, entries: &[Entry { jobs: Some(1), ..entry(0, 0) }] });
    let (known, _) = t.ask(0, 1.0);
    t.now += 1_000 * MS;
    t.served(known, 0, 1_000 * MS);
    t.event(Event::List { kind: ListKind::Whole, entries: &[] });
    let (r, _) = t.ask(0, 1.0);
    assert!(!refused(&t.pass(3_700 * MS, &[]), r));
    assert!(refused(&t.pass(300 * MS, &[]), r));
}

// Guards against a queue without bound, and against one in which a flood of pushes leaves no place to an import.
#[test]
fn with_the_queue_full_the_least_worth_is_refused_at_once() {
    let mut s = unheard(Effect::Safe);
    s.classes.push(Class { worth: 5.0, ..class(Effect::Unsafe) });
    s.classes.iter_mut().for_each(|c| c.wait = Some(5_000 * MS));
    s.held_most = 2;
    let mut t = Bench::new(s, &[], 1.0);
    let (first, _) = t.ask(0, 1.0);
    t.ask(0, 1.0);
    let (third, out) = t.ask(0, 1.0);
    assert!(refused(&out, third));
    let (dear, out) = t.ask(1, 1.0);
    assert!(!refused(&out, dear) && !refused(&out, first) && refused(&out, RequestId(1)), "{out:?}");
}

// Guards against a guess that is believed for hundreds of jobs, and against the bias of the first few: those that
// have ended are the short ones.
#[test]
fn a_class_is_learnt_from_its_first_jobs_with_those_that_still_run_counted_in() {
    let mut s = unheard(Effect::Unsafe);
    (s.classes[0].wait, s.classes[0].deadline) = (Some(5_000 * MS), 20_000 * MS);
    let refused_after = |served: usize, took: Micros, slow: usize| {
        let mut t = Bench::new(s.clone(), &[], 1.0);
        t.event(Event::List { kind: ListKind::Whole, entries: &[Entry { jobs: Some(64), ..entry(0, 0) }] });
        let first = t.spread(served + slow).len() as u64;
        t.now += took;
        for n in 0..served as u64 {
            t.served(RequestId(n), 0, took);
        }
        t.event(Event::List { kind: ListKind::Whole, entries: &[] });
        let (r, start) = (t.ask(0, 1.0).0, t.now);
        assert_eq!(r.0, first);
        while !refused(&t.pass(20 * MS, &[]), r) {}
        (t.now - start) / MS
    };
    assert!(refused_after(3, MS, 0) > 4_850, "a class of a millisecond is known after three jobs");
    let (biased, whole) = (refused_after(1, 500 * MS, 0), refused_after(1, 500 * MS, 2));
    assert!(whole + 900 < biased, "{whole} {biased}");
}

// Guards against an import-only site that waits for ever for a push to try a worker that has failed.
#[test]
fn where_no_safe_request_comes_a_worker_back_from_failure_is_tried_by_any() {
    let mut s = unheard(Effect::Unsafe);
    s.classes[0].wait = Some(5_000 * MS);
    let mut t = Bench::new(s, &[], 1.0);
    t.event(Event::List { kind: ListKind::Whole, entries: &[Entry { jobs: Some(1), ..entry(0, 0) }] });
    t.pass(11_000 * MS, &[]);
    let (r, _) = t.ask(0, 1.0);
    assert_eq!(sent(&t.outcome(r, 0, 0, Status::ConnectFailed)), None);
    assert_eq!(sent(&t.pass(2_000 * MS, &[])), Some(0));
}

// Guards against a worker that says it is warm and is given little all the same; and against a cold one for which
// the settings know no fall, which was given nothing at all.
#[test]
fn a_warm_start_has_no_cold_allowance_and_neither_has_one_that_cannot_fall() {
    for (warm, tip, sends) in [(true, 3.0, 20), (false, 0.0, 20), (false, 3.0, 1)] {
        let mut s = unheard(Effect::Safe);
        (s.tip_multiple, s.cold_from) = (tip, 0.13);
        let mut t = Bench::new(s, &[], 1.0);
        let started = Entry { ready_at: t.now, warm, jobs: Some(100), ..entry(0, 0) };
        t.event(Event::List { kind: ListKind::Whole, entries: &[started] });
        let went = t.spread(20).into_iter().flatten().count();
        assert!(if sends == 20 { went == 20 } else { went <= 5 }, "{warm} {tip}: {went}");
    }
}

// Guards against the flood of one tenant taking the slots of all others, and against work that belongs to none of them
// being served before theirs.
#[test]
fn what_is_beyond_a_tenants_share_gives_way_first() {
    let first_of = |flood: Option<TenantId>, tenants: Vec<Tenant>| {
        let mut s = settings(Effect::Safe);
        let shared = !tenants.is_empty();
        (s.tenants, s.over_share_worth, s.classes[0].aim) = (tenants, 0.1, 2_000 * MS);
        let mut t = Bench::new(s, &[entry(0, 0)], 1.0);
        t.tenant = flood;
        let (running, _) = t.ask(0, 1.0);
        let before: Vec<_> = (0..30).map(|_| t.arrives(0, 1.0).0).collect();
        t.tenant = shared.then_some(TenantId(1));
        let (late, _) = t.arrives(0, 1.0);
        t.now += 5 * MS;
        t.report(0, 1.0);
        let out = t.served(running, 0, 50 * MS);
        let next = out.iter().find_map(|a| match a {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        });
        (next == Some(late), next == Some(before[0]))
    };
    let two = vec![Tenant { quota: 0.5 }; 2];
    assert_eq!(first_of(Some(TenantId(0)), two.clone()), (true, false), "a flood");
    assert_eq!(first_of(None, two.clone()), (true, false), "of no tenant");
    assert_eq!(first_of(Some(TenantId(1)), two), (false, true), "in the order of its coming");
    assert_eq!(first_of(None, vec![]), (false, true), "where there are no tenants");
}

// Guards against a worker that fails jobs at once: it always has room, so it draws all jobs to itself, and those that
// must not run twice are lost there.
#[test]
fn a_worker_that_answers_with_errors_is_left_to_single_safe_jobs_until_it_serves_again() {
    let mut s = settings(Effect::Unsafe);
    s.classes.push(class(Effect::Safe));
    let mut t = Bench::new(s, &[entry(0, 0), entry(1, 0)], 4.0);
    let ask = |t: &mut Bench, class| {
        let (request, out) = t.ask(class, 1.0);
        (request, sent(&out).unwrap())
    };
    let (lost, first) = ask(&mut t, 0);
    assert_eq!(first, 0);
    t.outcome(lost, 0, 0, Status::Error);
    assert_eq!(ask(&mut t, 0).1, 1, "no import goes there");
    let (mut safe, at) = ask(&mut t, 1);
    assert_eq!((at, ask(&mut t, 1).1), (0, 1), "one safe job at a time");
    for _ in 0..4 {
        t.outcome(safe, 0, 0, Status::Ok);
        (safe, _) = ask(&mut t, 1);
    }
    assert_eq!(ask(&mut t, 0).1, 0, "it has served again");
}

#[test]
fn jobs_that_fail_wherever_they_go_close_no_worker() {
    let mut t = Bench::new(settings(Effect::Unsafe), &[entry(0, 0), entry(1, 0)], 4.0);
    for n in 0..400 {
        let (request, out) = t.ask(0, 1.0);
        let worker = sent(&out).expect("one of the two takes it");
        let status = if n % 3 == 0 { Status::Error } else { Status::Ok };
        t.outcome(request, 0, worker, status);
    }
    let spread = t.spread(5);
    assert!(spread.contains(&Some(0)) && spread.contains(&Some(1)), "{spread:?}");
}

// Guards against a worker that is taken for the one whose handle it has: left out for a failure of that one, given little
// as if it had the other's work, or listed in its place in the order of ids.
#[test]
fn a_worker_that_has_the_handle_of_one_that_is_gone_has_nothing_else_of_it() {
    let gone = |worker| Entry { state: WorkerState::Gone, ..entry(worker, 0) };
    let other = |worker, id| Entry { id, ..entry(worker, 0) };
    let marks: [fn(&mut Bench); 4] = [
        // Failed, and out of reach.
        |t| {
            let (r, out) = t.ask(0, 1.0);
            assert_eq!(sent(&out), Some(0));
            t.outcome(r, 0, 0, Status::ConnectFailed);
            t.probed(0, Status::Timeout, None);
        },
        // Turned away as full.
        |t| {
            let (r, out) = t.ask(0, 1.0);
            assert_eq!(sent(&out), Some(0));
            t.outcome(r, 0, 0, Status::Full);
        },
        // In use by others.
        |t| drop(t.report(0, 0.0)),
        // Started just now.
        |t| {
            let entries = [Entry { ready_at: START - MS, ..entry(0, 0) }];
            t.event(Event::List { kind: ListKind::Changes, entries: &entries });
        },
    ];
    for (n, mark) in marks.iter().enumerate() {
        let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 1)], 4.0);
        mark(&mut t);
        t.event(Event::List { kind: ListKind::Changes, entries: &[gone(0)] });
        t.event(Event::List { kind: ListKind::Changes, entries: &[other(0, "z")] });
        assert_eq!(t.spread(1), [Some(0)], "{n}");
    }
    // In the order of ids as they are now.
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    assert_eq!(t.spread(1), [Some(0)]);
    let mut t = Bench::new(settings(Effect::Safe), &[entry(0, 0), entry(1, 0)], 4.0);
    t.event(Event::List { kind: ListKind::Changes, entries: &[gone(0)] });
    t.event(Event::List { kind: ListKind::Changes, entries: &[other(0, "z")] });
    t.report(0, 4.0);
    assert_eq!(t.spread(1), [Some(1)]);
}
