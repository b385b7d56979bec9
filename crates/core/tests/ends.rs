//! Every way in which a transaction and its branches end, in either order where two ends meet, at three unlike
//! deployments. The clock is the test's own.

#[path = "../../decisions/tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use common::{MS, START, settings};
use pumiceway_core::*;
use pumiceway_decisions::api::{
    self, ClassId, Group, KindId, Micros, ReportVia, Settings, WorkerState, ZoneId,
};
use std::sync::Arc;

const SAFE: usize = 0;
const KEYED: usize = 1;
const ONCE: usize = 2;

/// Deadlines from 0.3 to 20 s, windows from 0.8 to 7.5 s with each group, 1 to 6 attempts; with and without advice
/// to come back and calling off.
fn sites() -> [Settings; 3] {
    [
        (Group::All, 800, [300, 2_000, 1_000], 1, Some(500), true),
        (Group::Zone, 7_500, [5_000, 5_000, 15_000], 3, None, false),
        (Group::Cell, 2_000, [20_000, 20_000, 20_000], 6, Some(2_000), true),
    ]
    .map(|(group, window, deadlines, max_attempts, advice, cancel)| {
        let keyed = api::Effect::Keyed { group, window: window * MS };
        let effects = [api::Effect::Safe, keyed, api::Effect::Unsafe];
        let class = |(effect, deadline): (api::Effect, Micros)| {
            let deadline = deadline * MS;
            api::Class { aim: deadline, deadline, ..common::class(effect) }
        };
        Settings {
            classes: effects.into_iter().zip(deadlines).map(class).collect(),
            probes: false,
            report_via: ReportVia::None,
            second_copies: false,
            retry_after: advice.is_some(),
            max_retry_after: advice.unwrap_or(0) * MS,
            max_attempts,
            cancel,
            ..settings(api::Effect::Safe)
        }
    })
}

struct Stage {
    core: Core,
    now: Micros,
    deadlines: Vec<Micros>,
}

fn hop(name: &str) -> NextHop {
    let reach = Reach::Address(format!("{name}:1"));
    let (zone, kind, state) = (ZoneId(0), KindId(0), WorkerState::Ready);
    let (cell, ready_at, size, warm, jobs) = (Some(0), 0, 1.0, false, None);
    NextHop { name: name.to_owned(), reach, zone, kind, cell, state, ready_at, size, warm, jobs }
}

impl Stage {
    fn new(settings: Settings, hops: &[NextHop]) -> Stage {
        Stage::keeping(settings, hops, Retention::default())
    }

    fn keeping(settings: Settings, hops: &[NextHop], retention: Retention) -> Stage {
        let deadlines = settings.classes.iter().map(|c| c.deadline).collect();
        let core = Core::new(settings, 7, retention).unwrap();
        let mut stage = Stage { core, now: START, deadlines };
        stage.lists(hops);
        stage
    }

    fn lists(&mut self, hops: &[NextHop]) -> Vec<Effect> {
        self.tell(Event::Routes {
            source: Source::Discovery,
            since: START,
            news: RouteNews::Whole(hops.to_vec()),
        })
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        self.core.reduce(self.now, event)
    }

    fn submit(&mut self, class: usize, ticket: u64) -> Vec<Effect> {
        self.submit_as(class, ticket, &format!("t{ticket}"), self.deadlines[class])
    }

    fn submit_as(&mut self, class: usize, ticket: u64, id: &str, left: Micros) -> Vec<Effect> {
        self.submitted(ticket, transaction(class, id, left))
    }

    fn submitted(&mut self, ticket: u64, transaction: Transaction) -> Vec<Effect> {
        self.tell(Event::Submitted { ticket: Ticket(ticket), transaction })
    }

    fn left(&mut self, ticket: u64) -> Vec<Effect> {
        self.tell(Event::Left { ticket: Ticket(ticket) })
    }

    fn ended(&mut self, branch: BranchId, ending: Ending) -> Vec<Effect> {
        self.tell(Event::Ended { branch, ending, report: None })
    }

    /// Lets time pass, with an alarm every few milliseconds.
    fn pass(&mut self, span: Micros) -> Vec<Effect> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            all.extend(self.tell(Event::Due));
        }
        all
    }
}

fn transaction(class: usize, id: &str, left: Micros) -> Transaction {
    let (id, path, repeat_key) = (id.to_owned(), format!("/c{class}/k"), Some("key".to_owned()));
    let job = Arc::new(Job { id, path, repeat_key, body: Bytes::new() });
    let class = ClassId(class);
    Transaction { class, left, slots: 1.0, memory: 0.0, tenant: None, job, identity: None }
}

fn started(effects: &[Effect]) -> Vec<BranchId> {
    effects
        .iter()
        .filter_map(|e| if let Effect::Start { branch, .. } = e { Some(*branch) } else { None })
        .collect()
}

fn answers(effects: &[Effect]) -> Vec<(u64, Answer)> {
    effects
        .iter()
        .filter_map(|e| match e {
            Effect::Answer { ticket, answer } => Some((ticket.0, answer.clone())),
            _ => None,
        })
        .collect()
}

fn done() -> Ending {
    Ending::Served("x".into())
}

/// A busy answer, with advice within the settings where these have it.
fn busy(s: &Settings, answers: &[(u64, Answer)], ticket: u64) -> bool {
    let [(to, Answer::Busy { retry_after })] = answers else { return false };
    *to == ticket && retry_after.map(|t| t <= s.max_retry_after) == s.retry_after.then_some(true)
}

// Guards against an answer that says failed where nothing has run: it is refused, so that its client comes again.
// After a call to stop time ends sooner than the decisions were told.
#[test]
fn what_was_never_sent_on_is_busy_when_its_time_is_over_and_what_may_have_run_goes_by_its_class() {
    for (n, s) in sites().into_iter().enumerate() {
        for class in [SAFE, KEYED, ONCE] {
            for (hops, ending) in [
                (0, None),
                (1, None),
                (1, Some(Ending::NotConnected)),
                (1, Some(Ending::TurnedAway)),
                (1, Some(Ending::Error)),
            ] {
                for stopping in [false, true] {
                    let mut stage = Stage::new(s.clone(), &vec![hop("a"); hops]);
                    if stopping {
                        stage.tell(Event::Terminate);
                        stage.pass(650 * MS);
                    }
                    let mut all = stage.submit(class, 1);
                    let out = started(&all);
                    assert_eq!(out.len(), hops);
                    if let Some(ending) = &ending {
                        all = stage.ended(out[0], ending.clone());
                        // It is gone, so that no further attempt is made.
                        all.extend(stage.lists(&[]));
                    }
                    all.extend(stage.pass(20_500 * MS));
                    let ran = hops == 1 && matches!(ending, None | Some(Ending::Error));
                    let group_all = n == 0 && class == KEYED;
                    let harmless = !ran || class == SAFE || group_all;
                    let told = answers(&all);
                    let what = format!("site {n}, class {class}, {ending:?}, stopping {stopping}: {told:?}");
                    assert!(told.len() == 1, "{what}");
                    assert_eq!(busy(&s, &told, 1), harmless, "{what}");
                    assert!(harmless || matches!(told[0], (1, Answer::Failed(_))), "{what}");
                }
            }
        }
    }
}

// Guards against the same for a client that no longer waits when it is heard.
#[test]
fn what_comes_with_no_time_left_is_busy_at_once() {
    for s in sites() {
        for class in [SAFE, KEYED, ONCE] {
            for left in [0, 1, 9, 10, 25] {
                let mut stage = Stage::new(s.clone(), &[hop("a")]);
                let all = stage.submit_as(class, 1, "t", left * MS);
                assert!(busy(&s, &answers(&all), 1) && started(&all).is_empty(), "{class} {left}: {all:?}");
            }
        }
    }
}

// Guards against a client that is turned down, or has its job run twice, as it came again on a new connection before
// the end of its first one was heard: in either order there is one run, and who still waits is answered.
#[test]
fn the_same_request_again_joins_the_one_that_is_open() {
    for s in sites() {
        for class in [SAFE, KEYED, ONCE] {
            for leaves in [None, Some(1), Some(2)] {
                let mut stage = Stage::new(s.clone(), &[hop("a"), hop("b")]);
                let left = s.classes[class].deadline;
                let branch = started(&stage.submit_as(class, 1, "t", left))[0];
                let mut all = stage.submit_as(class, 2, "t", left);
                leaves.into_iter().for_each(|ticket| all.extend(stage.left(ticket)));
                assert!(started(&all).is_empty() && answers(&all).is_empty(), "{class} {leaves:?}: {all:?}");
                assert!(!all.contains(&Effect::Cut { branch }), "{all:?}");
                let told: Vec<u64> = answers(&stage.ended(branch, done()))
                    .into_iter()
                    .map(|(ticket, answer)| {
                        assert_eq!(answer, Answer::Served("x".into()));
                        ticket
                    })
                    .collect();
                let waits: Vec<u64> = [1, 2].into_iter().filter(|t| Some(*t) != leaves).collect();
                assert_eq!(told, waits, "{class} {leaves:?}");
                // Once all have left it is called off where it may be.
                let branch = started(&stage.submit_as(class, 3, "u", left))[0];
                stage.submit_as(class, 4, "u", left);
                assert!(!stage.left(4).contains(&Effect::Cut { branch }));
                assert_eq!(stage.left(3).contains(&Effect::Cut { branch }), s.cancel);
            }
        }
    }
}

// Guards against one client's job that is taken for another's.
#[test]
fn an_open_id_with_other_content_is_rejected() {
    let s = &sites()[2];
    let first = transaction(KEYED, "t", 9_000 * MS);
    let job = |change: fn(&mut Job)| {
        let mut job = (*first.job).clone();
        change(&mut job);
        Transaction { job: Arc::new(job), ..first.clone() }
    };
    for other in [
        Transaction { class: ClassId(ONCE), ..first.clone() },
        Transaction { identity: Some(Identity("u".into())), ..first.clone() },
        job(|j| j.path = "/c1/l".into()),
        job(|j| j.repeat_key = None),
        job(|j| j.body = "x".into()),
    ] {
        let mut stage = Stage::new(s.clone(), &[hop("a"), hop("b")]);
        let branch = started(&stage.submitted(1, first.clone()))[0];
        let all = stage.submitted(2, other);
        assert_eq!(answers(&all), [(2, Answer::Rejected(Rejection::IdInUse))]);
        assert!(started(&all).is_empty() && stage.left(2).is_empty());
        assert_eq!(answers(&stage.ended(branch, done())), [(1, Answer::Served("x".into()))]);
    }
}

// Guards against an answer after its time for one that joined and waits for less long than the first.
#[test]
fn one_that_joins_is_answered_within_its_own_time() {
    for (first, second) in [(9_000, 1_000), (1_000, 9_000)] {
        let mut stage = Stage::new(sites()[2].clone(), &[hop("a")]);
        stage.submit_as(ONCE, 1, "t", first * MS);
        stage.submit_as(ONCE, 2, "t", second * MS);
        let all = stage.pass(990 * MS);
        assert_eq!(answers(&all).iter().map(|a| a.0).collect::<Vec<_>>(), [1, 2], "{all:?}");
        assert!(answers(&stage.pass(9_000 * MS)).is_empty());
    }
}

// Guards against a job that runs twice as its client's first connection was found closed before it came again.
#[test]
fn an_id_that_may_have_run_runs_again_only_where_its_class_may() {
    let ends = [
        (None, true),
        (Some(Ending::Error), true),
        (Some(done()), true),
        (Some(Ending::NotConnected), false),
        (Some(Ending::TurnedAway), false),
        (Some(Ending::Unusable), false),
    ];
    for (n, s) in sites().into_iter().enumerate() {
        for class in [SAFE, KEYED, ONCE] {
            for (ending, ran) in ends.clone() {
                let mut stage = Stage::new(s.clone(), &[hop("a")]);
                let left = s.classes[class].deadline;
                let branch = started(&stage.submit_as(class, 1, "t", left))[0];
                let mut over = vec![];
                if let Some(ending) = ending.clone() {
                    over = stage.ended(branch, ending);
                    // If it waits for another next hop, its client leaves.
                    assert!(started(&over).is_empty(), "there is no other");
                    stage.left(1);
                    stage.lists(&[hop("b")]);
                } else {
                    over.extend(stage.left(1));
                }
                // What was refused may come again whatever its class is.
                let refused = matches!(answers(&over)[..], [(1, Answer::Busy { .. })]);
                let again = stage.submit_as(class, 2, "t", left);
                let what = format!("site {n}, class {class}, {ending:?}: {again:?}");
                let out = ending.is_none() && !s.cancel;
                match class {
                    // Where nothing may be called off the first is still out: it is not sent a second time.
                    _ if out => assert!(started(&again).is_empty() && answers(&again).len() == 1, "{what}"),
                    SAFE => assert_eq!(started(&again).len(), 1, "{what}"),
                    _ if refused || !ran => assert_eq!(started(&again).len(), 1, "{what}"),
                    _ => {
                        assert!(started(&again).is_empty(), "{what}");
                        assert!(matches!(answers(&again)[..], [(2, Answer::Failed(_))]), "{what}");
                    }
                }
            }
        }
    }
}

// Guards against memory that grows with every job, and against forgetting what has only just run.
#[test]
fn ids_that_may_not_run_again_are_kept_for_their_time_and_so_many_at_most() {
    let s = &sites()[2];
    let mut stage = Stage::new(s.clone(), &[hop("a")]);
    let spend = |stage: &mut Stage, ticket: u64| {
        let branch = started(&stage.submit(ONCE, ticket))[0];
        stage.ended(branch, done());
        // Each ends at a time of its own.
        stage.now += 1;
    };
    let runs = |stage: &mut Stage, id: &str| {
        let all = stage.submit_as(ONCE, 1_000_000, id, 9_000 * MS);
        stage.left(1_000_000);
        !started(&all).is_empty()
    };
    spend(&mut stage, 1);
    stage.pass(19_990 * MS);
    assert!(!runs(&mut stage, "t1"));
    stage.pass(20 * MS);
    assert!(runs(&mut stage, "t1"));
    for ticket in 2..=4_200 {
        spend(&mut stage, ticket);
    }
    assert!(!runs(&mut stage, "t4200") && !runs(&mut stage, "t200"));
    assert!(runs(&mut stage, "t2"), "the oldest is forgotten");
}

// Guards against a job that is sent on after its client left, whatever it waited for and whatever comes with its
// leaving; and against one of many that is overlooked.
#[test]
fn a_client_that_left_while_it_waited_is_not_sent_on() {
    let cold = |stage: &Stage| NextHop { ready_at: stage.now, ..hop("a") };
    for s in sites() {
        for class in [SAFE, KEYED, ONCE] {
            for count in [1, 200] {
                for due_first in [false, true] {
                    for turn in [false, true] {
                        // At a cold next hop of many dispatchers it waits for its turn, elsewhere for a next hop.
                        let instances = if turn { 1_000 } else { 1 };
                        let mut stage = Stage::new(Settings { instances, ..s.clone() }, &[]);
                        if turn {
                            stage.lists(&[cold(&stage)]);
                        }
                        for ticket in 0..count {
                            assert!(started(&stage.submit(class, ticket)).is_empty(), "it waits");
                        }
                        stage.now += 100 * MS;
                        let mut all = vec![];
                        if due_first {
                            all.extend(stage.tell(Event::Due));
                        }
                        // From one end and the other, so that neither order of leaving matters.
                        for ticket in (0..count).step_by(2).chain((0..count).skip(1).step_by(2)) {
                            all.extend(stage.left(ticket));
                        }
                        all.extend(stage.tell(Event::Due));
                        all.extend(stage.lists(&[hop("b")]));
                        all.extend(stage.pass(3_000 * MS));
                        assert!(
                            started(&all).is_empty() && answers(&all).is_empty(),
                            "{class} {count}: {all:?}"
                        );
                        assert!(stage.core.overview().classes.iter().all(|c| *c == (0, 0)));
                    }
                }
            }
        }
    }
}

// Guards against two answers, or two bookings, where a branch ends in two ways at one instant.
#[test]
fn of_two_ends_at_one_instant_the_first_counts() {
    for (n, s) in sites().into_iter().enumerate() {
        for class in [SAFE, KEYED, ONCE] {
            let until = s.classes[class].deadline - 25 * MS;
            for answer_first in [true, false] {
                let mut stage = Stage::new(s.clone(), &[NextHop { jobs: Some(1), ..hop("a") }]);
                let branch = started(&stage.submit(class, 1))[0];
                // Nothing but the branch's own time is due with it.
                stage.pass(until - 5 * MS);
                stage.now += 5 * MS;
                let (mut first, mut then) = (vec![], vec![]);
                if answer_first {
                    first.extend(stage.ended(branch, done()));
                    then.extend(stage.tell(Event::Due));
                } else {
                    first.extend(stage.tell(Event::Due));
                    then.extend(stage.ended(branch, done()));
                }
                // Again, and news of what is over.
                then.extend(stage.ended(branch, done()));
                then.extend(stage.ended(branch, Ending::Reset));
                for news in [News::Started, News::Share(0.5), News::Data("x".into())] {
                    then.extend(stage.tell(Event::News { branch, news }));
                }
                then.extend(stage.left(1));
                let what =
                    format!("site {n}, class {class}, answer first {answer_first}: {first:?} {then:?}");
                assert_eq!(first.contains(&Effect::Cut { branch }), !answer_first, "{what}");
                let [(1, answer)] = &answers(&first)[..] else { panic!("{what}") };
                assert_eq!(*answer == Answer::Served("x".into()), answer_first, "{what}");
                let silent = |e: &Effect| matches!(e, Effect::Alarm { .. });
                assert!(then.iter().all(silent), "{what}");
                // Its slot is free, and once: the next one goes out, and one more waits.
                let next = started(&stage.submit(class, 2));
                assert_eq!(next.len(), 1, "{what}");
                assert!(started(&stage.submit(class, 3)).is_empty(), "{what}");
                let freed = stage.ended(next[0], done());
                assert_eq!(started(&freed).len(), 1, "{what}");
            }
        }
    }
}

// Guards against a late word of one branch that is taken for the next one's.
#[test]
fn what_comes_again_for_a_branch_says_nothing_of_the_next() {
    for s in sites().into_iter().filter(|s| s.max_attempts > 1) {
        for again in [Ending::Error, Ending::Reset, Ending::NotConnected, Ending::Unusable, done()] {
            let mut stage = Stage::new(s.clone(), &["a", "b"].map(|h| NextHop { jobs: Some(1), ..hop(h) }));
            let first = started(&stage.submit(SAFE, 1))[0];
            let moved = stage.ended(first, Ending::Error);
            let [second] = started(&moved)[..] else { panic!("{moved:?}") };
            let late = stage.ended(first, again.clone());
            assert!(started(&late).is_empty() && answers(&late).is_empty(), "{again:?}: {late:?}");
            // One slot is free.
            assert_eq!(started(&stage.submit(SAFE, 2)).len(), 1);
            assert!(started(&stage.submit(SAFE, 3)).is_empty());
            assert_eq!(answers(&stage.ended(second, done())), [(1, Answer::Served("x".into()))]);
        }
    }
}

// Guards against an answer to a client that left as its answer came, and against one that is owed to another.
#[test]
fn a_client_that_leaves_as_its_answer_comes_gets_one_or_none() {
    for s in sites() {
        for leaves_first in [true, false] {
            let mut stage = Stage::new(s.clone(), &[hop("a")]);
            let branch = started(&stage.submit(ONCE, 1))[0];
            let mut all = vec![];
            if leaves_first {
                all.extend(stage.left(1));
                assert_eq!(all.contains(&Effect::Cut { branch }), s.cancel);
                all.extend(stage.ended(branch, done()));
            } else {
                all.extend(stage.ended(branch, done()));
                assert!(stage.left(1).is_empty());
            }
            all.extend(stage.pass(21_000 * MS));
            assert_eq!(answers(&all).len(), usize::from(!leaves_first), "{all:?}");
            assert_eq!(started(&stage.submit(ONCE, 2)).len(), 1, "the slot is free");
        }
    }
}

// Guards against an end before all that is owed is answered, against one that never comes, and against two.
#[test]
fn the_end_comes_once_and_only_after_all_answers() {
    for (n, s) in sites().into_iter().enumerate() {
        let longest = s.classes.iter().map(|c| c.deadline).max().unwrap();
        let forced = longest.min(3_000 * MS) + 700 * MS;
        for early in [true, false] {
            for again in [0, 1, 3] {
                let mut stage = Stage::new(s.clone(), &["a", "b", "c"].map(hop));
                let mut all = stage.submit(ONCE, 1);
                if early {
                    all.extend(stage.tell(Event::FrontsClosed));
                }
                all.extend(stage.tell(Event::Terminate));
                let begin = stage.now;
                all.extend(stage.pass(300 * MS));
                all.extend(stage.submit(ONCE, 2));
                for k in 0..again {
                    all.extend(stage.tell(Event::Terminate));
                    let discovery = Some(format!("d{k}"));
                    all.extend(stage.tell(Event::Configured {
                        discovery,
                        index: None,
                        needs_restart: vec![],
                    }));
                }
                while !all.contains(&Effect::CloseFronts) {
                    assert!(stage.now < begin + forced, "site {n}: fronts stay open");
                    all.extend(stage.pass(5 * MS));
                }
                all.extend(stage.submit(SAFE, 3));
                if !early {
                    all.extend(stage.tell(Event::FrontsClosed));
                }
                let out = started(&all);
                assert_eq!(out.len(), 3, "site {n}");
                // What comes on connections that are open yet has its answer before the end is forced.
                for branch in &out[..2] {
                    assert!(!all.contains(&Effect::Exit), "site {n}: an answer is owed");
                    all.extend(stage.ended(*branch, done()));
                }
                assert!(!all.contains(&Effect::Exit), "site {n}: an answer is owed");
                all.extend(stage.pass((begin + forced).saturating_sub(stage.now)));
                let mut told: Vec<u64> = answers(&all).into_iter().map(|a| a.0).collect();
                told.sort_unstable();
                assert_eq!(told, [1, 2, 3], "site {n}");
                assert!(all.contains(&Effect::Exit), "site {n}, early {early}: it never ends");
                all.extend(stage.tell(Event::FrontsClosed));
                all.extend(stage.tell(Event::Terminate));
                all.extend(stage.pass(5_000 * MS));
                let count = |what: &Effect| all.iter().filter(|e| *e == what).count();
                assert_eq!(count(&Effect::Exit), 1, "site {n}, early {early}, again {again}");
                assert_eq!(count(&Effect::CloseFronts), 1, "site {n}");
            }
        }
    }
}

// Guards against slots that are freed twice or never where a next hop leaves the list, or starts anew, with branches
// out, and comes back under its name.
#[test]
fn a_next_hop_that_comes_back_has_what_is_out_there_and_no_more() {
    for s in sites() {
        for ready_at in [0, START] {
            for ended_while_gone in [true, false] {
                let back = NextHop { jobs: Some(2), ready_at, warm: true, ..hop("a") };
                let mut stage = Stage::new(s.clone(), &[NextHop { ready_at: 0, ..back.clone() }]);
                let first = started(&stage.submit(KEYED, 1))[0];
                let second = started(&stage.submit(KEYED, 2))[0];
                assert!(started(&stage.submit(KEYED, 3)).is_empty(), "both slots are taken");
                assert!(started(&stage.lists(&[])).is_empty());
                let mut all = vec![];
                if ended_while_gone {
                    all.extend(stage.ended(first, done()));
                    assert!(started(&all).is_empty(), "it is gone");
                }
                all.extend(stage.lists(&[back]));
                if !ended_while_gone {
                    assert!(started(&all).is_empty(), "both are out there yet");
                    all.extend(stage.ended(first, done()));
                }
                // A slot is free once, for the one that waits or the one that comes.
                all.extend(stage.submit(KEYED, 4));
                all.extend(stage.ended(first, Ending::Error));
                assert_eq!(started(&all).len(), 1, "{ready_at} {ended_while_gone}: {all:?}");
                all.extend(stage.ended(second, done()));
                assert_eq!(started(&all).len(), 2, "{ready_at} {ended_while_gone}: {all:?}");
            }
        }
    }
}

// Guards against a job that runs again as its answer was pushed out, and against no room for ever.
#[test]
fn without_room_for_one_more_identity_a_client_is_sent_away_for_as_long_as_the_settings_say() {
    for s in sites() {
        let retention = Retention { time: 1_000 * MS, entries: 2, running: 2, bytes: 100 };
        let mut stage = Stage::keeping(s.clone(), &[hop("a"), hop("b"), hop("c")], retention);
        let named = |ticket: u64, name: &str| {
            let identity = Some(Identity(name.into()));
            Transaction { identity, ..transaction(ONCE, &format!("t{ticket}"), 1_000 * MS) }
        };
        let out: Vec<BranchId> =
            ["u", "v"].iter().zip(1..).flat_map(|(u, n)| started(&stage.submitted(n, named(n, u)))).collect();
        assert_eq!(out.len(), 2);
        assert!(busy(&s, &answers(&stage.submitted(3, named(3, "w"))), 3));
        // One that is known has room, running or over.
        assert!(stage.submitted(4, named(4, "u")).is_empty());
        let told = answers(&stage.ended(out[0], done()));
        assert_eq!(told.iter().map(|a| a.0).collect::<Vec<_>>(), [1, 4]);
        assert_eq!(answers(&stage.submitted(5, named(5, "u"))), [(5, Answer::Served("x".into()))]);
        assert!(busy(&s, &answers(&stage.submitted(6, named(6, "w"))), 6), "its answer is kept yet");
        stage.now += 1_000 * MS;
        assert_eq!(started(&stage.submitted(7, named(7, "w"))).len(), 1, "its time is over");
    }
}

/// Next hops that are gone and remembered, as the route set has it.
const GONE_MOST: usize = 1_024;

/// A list of one hop of a new name, this many times.
fn come_and_go(stage: &mut Stage, names: std::ops::Range<usize>) -> Vec<Effect> {
    names.flat_map(|n| stage.lists(&[hop(&format!("n{n}"))])).collect()
}

fn starts_at(effects: &[Effect]) -> Vec<(BranchId, api::WorkerId)> {
    let start = |e: &Effect| match e {
        Effect::Start { branch, hop, .. } => Some((*branch, *hop)),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

fn disconnected(effects: &[Effect], from: api::WorkerId) -> bool {
    effects.contains(&Effect::Disconnect { hop: from })
}

// Guards against memory that grows with every name that was ever listed, here, in the decisions, which keep a place for
// each handle, and in the shell, which keeps what it reaches a next hop with until it is told to let go.
#[test]
fn names_without_end_leave_no_more_behind_than_so_many() {
    for s in sites() {
        let mut stage = Stage::new(s, &[]);
        let mut reached = std::collections::HashSet::new();
        for n in 0..3_000 {
            for effect in stage.lists(&[hop(&format!("n{n}"))]) {
                if let Effect::Disconnect { hop } = effect {
                    assert!(reached.remove(&hop), "{n}: {hop:?} was let go before");
                }
            }
            let effects = stage.submit(SAFE, n);
            let [(branch, to)] = starts_at(&effects)[..] else { panic!("{n}: {effects:?}") };
            let reach = Reach::Address(format!("n{n}:1"));
            let there = |e: &Effect| matches!(e, Effect::Start { reach: r, .. } if *r == reach);
            assert!(effects.iter().any(there), "{effects:?}");
            assert!(reached.insert(to), "{n}: {to:?} is not let go of yet");
            assert_eq!(answers(&stage.ended(branch, done())).len(), 1);
            let (known, most) = (stage.core.overview().hops.len(), GONE_MOST + 2);
            assert!(known <= most && reached.len() <= most, "{n}: {known} known, {} reached", reached.len());
            assert!((to.0 as usize) < most, "{n}: {to:?}");
        }
    }
}

// Guards against a next hop that is taken for another that is gone: it would be answered for, blamed and left out for what
// is out there or was tried there. Once nothing is, its place goes to the next new name.
#[test]
fn what_is_owed_to_a_next_hop_that_is_gone_keeps_its_place() {
    for s in sites() {
        let mut stage = Stage::new(s.clone(), &[]);
        let one = |name: &str| NextHop { jobs: Some(1), ..hop(name) };
        stage.lists(&[one("out"), one("tried")]);
        // One is out at each; one has come back from there, and waits.
        let [(out, at)] = starts_at(&stage.submit(KEYED, 1))[..] else { panic!() };
        let [(failed, tried)] = starts_at(&stage.submit(ONCE, 2))[..] else { panic!() };
        stage.lists(&[]);
        assert_eq!(starts_at(&stage.ended(failed, Ending::NotConnected)), []);
        let waits = s.max_attempts > 1;
        let mut all = Vec::new();
        for n in 0..3 * GONE_MOST {
            // Draining, so that nothing goes there.
            let new = NextHop { state: WorkerState::Draining, ..hop(&format!("n{n}")) };
            all.extend(stage.lists(&[new]));
        }
        assert!(!disconnected(&all, at), "its branch is out");
        assert_eq!(disconnected(&all, tried), !waits, "who was tried there waits");
        // It comes back as it was: its one place is taken until the branch is over.
        let back = stage.lists(&[one("out")]);
        assert_eq!(starts_at(&back), []);
        assert_eq!(starts_at(&stage.submit(SAFE, 3)), []);
        let mut over = stage.ended(out, done());
        assert_eq!(answers(&over)[0], (1, Answer::Served("x".into())));
        // Whoever waits goes there now, one after the other.
        let mut served = Vec::new();
        while let Some(&(branch, to)) = starts_at(&over).first() {
            assert_eq!(to, at);
            over = stage.ended(branch, done());
            served.extend(answers(&over).iter().map(|a| a.0));
        }
        served.sort();
        assert_eq!(served, if waits { vec![2, 3] } else { vec![3] });
        let all = come_and_go(&mut stage, 4 * GONE_MOST..6 * GONE_MOST);
        assert!(disconnected(&all, at) && (!waits || disconnected(&all, tried)));
        // What comes late for it says nothing of the one that has its place.
        assert!(stage.ended(out, Ending::Reset).is_empty());
    }
}

// Guards against a probe of one that is gone which takes out whoever has its place.
#[test]
fn a_probe_that_is_out_keeps_the_place_of_its_next_hop() {
    let [s, ..] = sites();
    let mut stage = Stage::new(Settings { probes: true, ..s }, &[hop("probed")]);
    let [(branch, at)] = starts_at(&stage.submit(SAFE, 1))[..] else { panic!() };
    let probed = |e: &Effect| match e {
        Effect::Probe { hop, probe, .. } => Some((*hop, *probe)),
        _ => None,
    };
    let suspected = stage.ended(branch, Ending::NotConnected);
    let (to, probe) = suspected.iter().find_map(probed).expect("no probe");
    assert_eq!(to, at);
    stage.pass(1_000 * MS);
    assert!(!disconnected(&come_and_go(&mut stage, 0..3 * GONE_MOST), at));
    stage.tell(Event::Probed { hop: to, probe, status: api::Status::Timeout, report: None });
    assert!(disconnected(&come_and_go(&mut stage, 3 * GONE_MOST..6 * GONE_MOST), at));
}

// Guards against a name that is forgotten too soon: a list that lags behind brings back one that has left, or one that
// comes back finds its place taken by another that stands before it in the same list.
#[test]
fn a_name_that_comes_back_is_known_by_its_place() {
    let [s, ..] = sites();
    let mut stage = Stage::new(s.clone(), &[hop("a")]);
    come_and_go(&mut stage, 0..GONE_MOST - 1);
    stage.tell(Event::Routes {
        source: Source::Discovery,
        since: START,
        news: RouteNews::Older(vec![hop("a")]),
    });
    assert!(stage.submit(SAFE, 1).iter().all(|e| !matches!(e, Effect::Start { .. })), "it has left");
    let names: Vec<String> = (0..2 * GONE_MOST).map(|n| format!("n{n}")).collect();
    let hops: Vec<NextHop> = names.iter().map(|name| hop(name)).collect();
    let mut stage = Stage::new(s, &hops);
    stage.lists(&[]);
    // All of them left at once, so the first may be forgotten first.
    stage.lists(&[hop("new"), hop("n0"), hop("new"), hop("n1")]);
    let known: Vec<(String, WorkerState)> =
        stage.core.overview().hops.into_iter().map(|h| (h.name, h.state)).collect();
    let at = |name: &str| known.iter().position(|(known, _)| known == name);
    assert_eq!((at("n0"), at("n1"), at("new")), (Some(0), Some(1), Some(2)));
    assert_eq!(known.iter().filter(|(_, state)| *state == WorkerState::Ready).count(), 3);
    assert_eq!(known.len(), 2 * GONE_MOST);
}
