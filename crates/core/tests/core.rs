//! The core alone, with a clock of the test's own: what comes in, and what it wants done.

#[path = "../../decisions/tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use common::{MS, START, settings};
use pumiceway_core::*;
use pumiceway_decisions::api::{self, ClassId, KindId, Micros, ReportVia, Settings, WorkerState, ZoneId};
use std::sync::Arc;

struct Stage {
    core: Core,
    now: Micros,
}

fn hop(name: &str, state: WorkerState) -> NextHop {
    let reach = Reach::Address(format!("{name}:1"));
    let (zone, kind) = (ZoneId(0), KindId(0));
    let (cell, ready_at, size, warm, jobs) = (None, 0, 1.0, false, None);
    NextHop { name: name.to_owned(), reach, zone, kind, cell, state, ready_at, size, warm, jobs }
}

impl Stage {
    fn new(effect: api::Effect, hops: &[&str]) -> Stage {
        let settings = Settings { probes: false, report_via: ReportVia::None, ..settings(effect) };
        let core = Core::new(settings, 7, Retention::default()).unwrap();
        let mut stage = Stage { core, now: START };
        let lines = hops.iter().map(|h| hop(h, WorkerState::Ready)).collect();
        stage.tell(Event::Routes { source: Source::Discovery, since: START, news: RouteNews::Whole(lines) });
        stage
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        self.core.reduce(self.now, event)
    }

    fn submit(&mut self, ticket: u64, left: Micros) -> Vec<Effect> {
        self.submit_as(ticket, &ticket.to_string(), left)
    }

    fn submit_as(&mut self, ticket: u64, id: &str, left: Micros) -> Vec<Effect> {
        self.submit_on(ticket, id, "/c/k", left)
    }

    fn submit_on(&mut self, ticket: u64, id: &str, path: &str, left: Micros) -> Vec<Effect> {
        let job =
            Arc::new(Job { id: id.to_owned(), path: path.into(), repeat_key: None, body: Bytes::new() });
        let class = ClassId(0);
        let transaction =
            Transaction { class, left, slots: 1.0, memory: 0.0, tenant: None, job, identity: None };
        self.tell(Event::Submitted { ticket: Ticket(ticket), transaction })
    }

    /// Lets time pass, with an alarm every few milliseconds.
    fn pass(&mut self, span: Micros) -> Vec<Effect> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 5 * MS;
            all.extend(self.tell(Event::Due));
        }
        all
    }
}

fn started(effects: &[Effect]) -> Vec<BranchId> {
    effects
        .iter()
        .filter_map(|e| if let Effect::Start { branch, .. } = e { Some(*branch) } else { None })
        .collect()
}

fn answers(effects: &[Effect]) -> Vec<&Answer> {
    effects
        .iter()
        .filter_map(|e| if let Effect::Answer { answer, .. } = e { Some(answer) } else { None })
        .collect()
}

// Guards against two answers, and against a late result that is served or counted after its branch was cut.
#[test]
fn a_branch_has_one_outcome_and_a_transaction_one_answer() {
    let mut stage = Stage::new(api::Effect::Unsafe, &["a"]);
    let branch = started(&stage.submit(1, 2_000 * MS))[0];
    let late = stage.pass(2_000 * MS);
    assert!(late.contains(&Effect::Cut { branch }));
    assert!(matches!(answers(&late)[..], [Answer::Failed(_)]), "{late:?}");
    for ending in [Ending::Served("x".into()), Ending::Reset] {
        let after = stage.tell(Event::Ended { branch, ending, report: None });
        assert!(answers(&after).is_empty() && started(&after).is_empty(), "{after:?}");
    }
    assert_eq!(stage.core.overview().classes, [(0, 0)]);
}

// Guards against an answer that comes only after the client has given up.
#[test]
fn answers_come_before_the_deadline() {
    let mut stage = Stage::new(api::Effect::Safe, &[]);
    let mut all = stage.submit(1, 5_000 * MS);
    all.extend(stage.pass(4_995 * MS));
    assert_eq!(answers(&all).len(), 1, "{all:?}");
}

// Guards against one client's transaction being mixed up with another's that goes under the same id; and, once it
// has its answer, against a job that may run once only running again under it.
#[test]
fn an_id_that_is_in_use_for_something_else_is_rejected_and_free_again_where_it_may_run_again() {
    for (effect, again_after) in [(api::Effect::Unsafe, 0), (api::Effect::Safe, 1)] {
        let mut stage = Stage::new(effect, &["a"]);
        let branch = started(&stage.submit(1, 2_000 * MS))[0];
        let again = stage.submit_on(2, "1", "/c/other", 2_000 * MS);
        assert!(matches!(answers(&again)[..], [Answer::Rejected(_)]) && again.len() == 1, "{again:?}");
        assert!(stage.tell(Event::Left { ticket: Ticket(2) }).is_empty());
        let done = stage.tell(Event::Ended { branch, ending: Ending::Served("x".into()), report: None });
        assert_eq!(answers(&done), [&Answer::Served("x".into())]);
        let after = stage.submit_as(3, "1", 2_000 * MS);
        assert_eq!(started(&after).len(), again_after, "{after:?}");
        assert!(again_after == 1 || matches!(answers(&after)[..], [Answer::Failed(_)]), "{after:?}");
    }
}

// Guards against one client that would wait for a day: all later ones then looked as if they had waited that long,
// and were given up at once.
#[test]
fn a_client_that_would_wait_for_ever_ages_no_other() {
    let mut stage = Stage::new(api::Effect::Safe, &["a"]);
    let branch = started(&stage.submit(1, 86_400_000 * MS))[0];
    stage.tell(Event::Ended { branch, ending: Ending::Served("x".into()), report: None });
    let first = started(&stage.submit(2, 5_000 * MS))[0];
    // The next hop is taken: the next one waits for it, as its aim allows.
    let mut waiting = stage.submit(3, 5_000 * MS);
    waiting.extend(stage.pass(20 * MS));
    assert!(answers(&waiting).is_empty(), "{waiting:?}");
    let then = stage.tell(Event::Ended { branch: first, ending: Ending::Served("x".into()), report: None });
    assert_eq!(started(&then).len(), 1, "{then:?}");
}

// Guards against what no next hop can use going round all of them.
#[test]
fn what_a_next_hop_calls_wrong_is_not_tried_elsewhere() {
    let mut stage = Stage::new(api::Effect::Safe, &["a", "b"]);
    let branch = started(&stage.submit(1, 2_000 * MS))[0];
    let mut all = stage.tell(Event::Ended { branch, ending: Ending::Unusable, report: None });
    all.extend(stage.pass(2_000 * MS));
    assert!(matches!(answers(&all)[..], [Answer::Rejected(_)]) && started(&all).is_empty(), "{all:?}");
}

// Guards against imports lost with kept connections that next hops drop unseen, once one of those has been met.
#[test]
fn after_a_kept_connection_was_found_dead_imports_get_fresh_ones_for_a_while() {
    let fresh = |effects: &[Effect]| {
        effects.iter().find_map(|e| if let Effect::Start { fresh, .. } = e { Some(*fresh) } else { None })
    };
    for (effect, expected) in [(api::Effect::Unsafe, true), (api::Effect::Safe, false)] {
        let mut stage = Stage::new(effect, &["a", "b"]);
        let first = stage.submit(1, 2_000 * MS);
        assert_eq!(fresh(&first), Some(false));
        let branch = started(&first)[0];
        // The import fails and another one comes; what may run twice goes to the other next hop by itself.
        let mut second = stage.tell(Event::Ended { branch, ending: Ending::KeptReset, report: None });
        second.extend(stage.submit(2, 2_000 * MS));
        assert_eq!(fresh(&second), Some(expected));
        let branch = started(&second)[0];
        stage.tell(Event::Ended { branch, ending: Ending::Served("x".into()), report: None });
        // Over after a while; a further next hop, as the first is on trial.
        stage.pass(31_000 * MS);
        let lines = vec![hop("c", WorkerState::Ready)];
        stage.tell(Event::Routes { source: Source::Discovery, since: START, news: RouteNews::Whole(lines) });
        let mut third = stage.submit(3, 2_000 * MS);
        third.extend(stage.pass(1_000 * MS));
        assert_eq!(fresh(&third), Some(false));
    }
}

// Guards against a send to a next hop after it was told to drain.
#[test]
fn a_draining_next_hop_gets_nothing_new() {
    let mut stage = Stage::new(api::Effect::Safe, &["a"]);
    let lines = vec![hop("a", WorkerState::Draining)];
    stage.tell(Event::Routes { source: Source::Discovery, since: START, news: RouteNews::Changes(lines) });
    let mut all = stage.submit(1, 2_000 * MS);
    all.extend(stage.pass(2_000 * MS));
    assert!(started(&all).is_empty(), "{all:?}");
}

// Guards against a list that is out of date taking back that a worker drains or is gone, to which it was then sent;
// and against workers that stay out for good where discovery counts its versions anew.
#[test]
fn a_list_that_is_out_of_date_takes_no_drain_back() {
    let later = |name: &str| NextHop { ready_at: START + MS, ..hop(name, WorkerState::Ready) };
    let all = || ["a", "b", "c", "d"].map(|name| hop(name, WorkerState::Ready)).to_vec();
    let older = RouteNews::Older(all());
    let cases: [(&[RouteNews], &str); 6] = [
        (std::slice::from_ref(&older), "cd"),
        (&[older.clone(), older.clone()], "cd"),
        (&[RouteNews::Older(vec![later("a"), hop("b", WorkerState::Ready)]), older.clone()], "acd"),
        // What such a list leaves out is not told to be gone.
        (&[RouteNews::Older(vec![]), older.clone()], "cd"),
        (&[older.clone(), RouteNews::Changes(vec![hop("a", WorkerState::Ready)]), older.clone()], "acd"),
        (&[older.clone(), RouteNews::Whole(all())], "abcd"),
    ];
    for (news, ready) in cases {
        let mut stage = Stage::new(api::Effect::Safe, &["a", "b", "c", "d"]);
        let mut tell =
            |news| drop(stage.tell(Event::Routes { source: Source::Discovery, since: START, news }));
        tell(RouteNews::Changes(vec![hop("a", WorkerState::Draining)]));
        let mut listed = all();
        listed[0].state = WorkerState::Draining;
        listed.remove(1);
        tell(RouteNews::Whole(listed));
        news.iter().cloned().for_each(tell);
        let hops = stage.core.overview().hops;
        let states: String =
            hops.into_iter().filter(|h| h.state == WorkerState::Ready).map(|h| h.name).collect();
        assert_eq!(states, ready, "{news:?}");
    }
}

// Guards against one source's list wiping out what another lists.
#[test]
fn a_whole_list_speaks_for_its_own_source_only() {
    let mut stage = Stage::new(api::Effect::Safe, &["a"]);
    let lines = vec![hop("z", WorkerState::Ready)];
    stage.tell(Event::Routes { source: Source::ZooKeeper, since: START, news: RouteNews::Whole(lines) });
    stage.tell(Event::Routes { source: Source::Discovery, since: START, news: RouteNews::Whole(vec![]) });
    let states: Vec<_> = stage.core.overview().hops.into_iter().map(|h| (h.name, h.state)).collect();
    let expected = [("a".to_owned(), WorkerState::Gone), ("z".to_owned(), WorkerState::Ready)];
    assert_eq!(states, expected);
    assert_eq!(started(&stage.submit(1, 2_000 * MS)).len(), 1);
}

// Guards against an end that finds unanswered what came late after the call to stop, and against cutting short what
// came before.
#[test]
fn what_comes_late_after_a_call_to_stop_is_answered_before_the_end_is_forced() {
    let mut stage = Stage::new(api::Effect::Unsafe, &["a", "b"]);
    stage.tell(Event::Terminate);
    assert_eq!(started(&stage.submit(1, 5_000 * MS)).len(), 1);
    assert!(answers(&stage.pass(1_500 * MS)).is_empty());
    assert_eq!(started(&stage.submit(2, 5_000 * MS)).len(), 1);
    let late = stage.pass(1_900 * MS);
    assert!(late.contains(&Effect::Answer { ticket: Ticket(2), answer: Answer::Failed("not done in time") }));
    assert_eq!(answers(&late).len(), 1);
    assert_eq!(answers(&stage.pass(1_700 * MS)).len(), 1);
}

// Guards against an end that is forced while connections are still served: it comes the sooner the shorter the
// deadlines are, and two seconds of serving are past it where the longest is one second.
#[test]
fn where_deadlines_are_short_a_stop_is_over_before_its_end_is_forced() {
    for (deadline, closes, answered) in [(1_000, 600, 1_400), (2_000, 1_000, 2_400), (15_000, 2_000, 3_400)] {
        let mut class = common::class(api::Effect::Unsafe);
        class.deadline = deadline * MS;
        let settings = Settings { probes: false, classes: vec![class], ..settings(api::Effect::Unsafe) };
        let core = Core::new(settings, 7, Retention::default()).unwrap();
        let mut stage = Stage { core, now: START };
        let lines = vec![hop("a", WorkerState::Ready)];
        stage.tell(Event::Routes { source: Source::Discovery, since: START, news: RouteNews::Whole(lines) });
        stage.tell(Event::Terminate);
        assert!(!stage.pass((closes - 20) * MS).contains(&Effect::CloseFronts), "{deadline}");
        let mut all = stage.pass(40 * MS);
        assert!(all.contains(&Effect::CloseFronts), "{deadline}");
        // A request that crossed with the close, and is not done in time.
        all = stage.submit(1, deadline * MS);
        all.extend(stage.pass((answered - closes - 20) * MS));
        assert_eq!(answers(&all).len(), 1, "{deadline}: {all:?}");
    }
}

// Guards against an end that loses what was taken, and against one that never comes.
#[test]
fn a_stop_waits_for_the_crossing_and_for_what_is_owed() {
    let mut stage = Stage::new(api::Effect::Safe, &["a"]);
    stage.tell(Event::Terminate);
    let branch = started(&stage.submit(1, 4_000 * MS))[0];
    let crossing = stage.pass(1_900 * MS);
    assert!(!crossing.contains(&Effect::CloseFronts));
    let closing = stage.pass(200 * MS);
    assert!(closing.contains(&Effect::CloseFronts));
    let closed = stage.tell(Event::FrontsClosed);
    assert!(!closed.contains(&Effect::Exit));
    let done = stage.tell(Event::Ended { branch, ending: Ending::Served("x".into()), report: None });
    assert!(done.contains(&Effect::Exit), "{done:?}");
}

// Guards against jobs about the same that are not seen to be: the key is the last part of a path that has one.
#[test]
fn the_last_part_of_a_path_is_what_a_job_is_about() {
    let key =
        |path: &str| Job { id: "a".into(), path: path.into(), repeat_key: None, body: Bytes::new() }.key();
    assert_eq!((key("/rate-push"), key("/rate-push/"), key("/")), (None, None, None));
    assert_eq!(key("/rate-push/7f3a"), key("/booking-import/7f3a?x=1"));
    assert!(key("/rate-push/7f3a").is_some() && key("/rate-push/7f3a") != key("/rate-push/7f3b"));
}
