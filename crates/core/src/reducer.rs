//! The reducer: every change of state, in one place.

use super::kept::{Kept, Known};
use super::routes::{Applied, RouteSet};
use super::spent::Spent;
use super::*;
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::{
    self, Action, Incoming, ListKind, Note, Outcome, Probed, Progress, RequestId,
};
use pumiceway_decisions::api::{Settings, SettingsError};
use pumiceway_decisions::rules::{self, Denial, EarlierAttempt, Fate, LeaseTerms};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A branch is not waited for up to the client's deadline, nor an answer: they must arrive before it.
const BRANCH_MARGIN: Micros = 25_000;
const ANSWER_MARGIN: Micros = 10_000;
/// After a call to stop, clients still come for this long that have not heard of it.
const CROSSING: Micros = 600_000;
/// And use the connections that they have for as long as these stay open. The end is forced no sooner than so long
/// after the longest deadline, of which no more than the second time counts.
const FORCED_AFTER: Micros = 700_000;
const FORCED_DEADLINE: Micros = 3_000_000;
/// While another dispatcher restarts there may be no other, so connections stay open until this long before the end
/// is forced; what comes after the crossing time has its answer this long before it.
const STOP_CLOSES: Micros = 1_700_000;
const STOP_ANSWERS: Micros = 300_000;
/// Prevents: next hops that answer probes at once make the decisions wake up without pause.
const WAKE_LEAST: Micros = 1_000;
/// How long kept connections are distrusted after one was found dead.
const DISTRUST: Micros = 30_000_000;
/// A dispatcher whose list nobody confirms reports that it is ready after this time all the same: it then answers with
/// a busy answer whatever comes, and is not taken for one that did not start.
const READY_WITHOUT_LIST: Micros = 5_000_000;
/// Advice to come back where the module was not asked; never longer than clients heed.
const COME_BACK: Micros = 1_000_000;

/// All that a dispatcher knows.
pub struct Core {
    balancer: Balancer,
    settings: Settings,
    /// Choices of the decisions that the rules did not permit, and that were not carried out.
    denied: BTreeMap<Denial, u64>,
    /// Kept connections are not trusted with jobs that may run once only, until then.
    distrust_until: Micros,
    come_back: Option<Micros>,
    routes: RouteSet,
    discovery: Option<String>,
    transactions: BTreeMap<RequestId, Open>,
    tickets: HashMap<Ticket, RequestId>,
    /// Transactions whose answer is owed, by their ids; and ids that must not run again.
    ids: HashMap<String, RequestId>,
    spent: Spent,
    branches: BTreeMap<BranchId, Branch>,
    probes: BTreeMap<u64, (WorkerId, Micros)>,
    kept: Kept,
    timers: BTreeSet<(Micros, Timer)>,
    wake_at: Option<Micros>,
    lease_at: Option<Micros>,
    alarm: Option<Micros>,
    drain: Drain,
    fronts_closed: bool,
    /// How long after a call to stop the end may be forced.
    forced: Micros,
    ready: bool,
    last_id: u64,
    pending: VecDeque<Told>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Branch(BranchId),
    Transaction(RequestId),
    Wake,
    Crossed,
    /// A lease may have expired.
    Lease,
    /// The process reports that it is ready even without a list.
    Ready,
}

#[derive(Clone, Copy, PartialEq)]
enum Drain {
    Serving,
    Crossing { since: Micros },
    Closing { since: Micros },
    Over,
}

/// What the balancer is to be told; lists borrow, the rest are events of its own.
enum Told {
    List(ListKind, Vec<WorkerId>),
    Event(api::Event<'static>),
}

struct Open {
    class: ClassId,
    deadline: Micros,
    job: Arc<Job>,
    identity: Option<Identity>,
    tickets: Vec<Ticket>,
    attempts: Vec<EarlierAttempt>,
    answered: bool,
}

struct Branch {
    request: RequestId,
    attempt: usize,
    hop: WorkerId,
    sent: Micros,
    until: Micros,
}

impl Open {
    /// An attempt is out.
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }

    /// An attempt may have had an effect, or may yet.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.fate != Fate::NeverRan)
    }
}

/// How long the id of a job that may have run is remembered: for as long as a client may wait for its answer, or next
/// hops know repeats of the job. `None`: it may run as often as it likes.
fn spent_for(class: &api::Class) -> Option<Micros> {
    match class.effect {
        api::Effect::Safe => None,
        api::Effect::Keyed { window, .. } => Some(class.deadline.max(window)),
        api::Effect::Unsafe => Some(class.deadline),
    }
}

impl Core {
    /// A core that knows no next hop yet.
    pub fn new(settings: Settings, seed: u64, retention: Retention) -> Result<Core, SettingsError> {
        Ok(Core {
            denied: BTreeMap::new(),
            distrust_until: 0,
            come_back: settings.retry_after.then_some(COME_BACK.min(settings.max_retry_after)),
            // Prevents: where all deadlines are short, the end comes before connections are closed.
            forced: FORCED_AFTER
                + settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(FORCED_DEADLINE),
            balancer: Balancer::new(settings.clone(), seed)?,
            settings,
            routes: RouteSet::default(),
            discovery: None,
            transactions: BTreeMap::new(),
            tickets: HashMap::new(),
            ids: HashMap::new(),
            spent: Spent::default(),
            branches: BTreeMap::new(),
            probes: BTreeMap::new(),
            kept: Kept::new(retention),
            timers: BTreeSet::new(),
            wake_at: None,
            lease_at: None,
            alarm: None,
            drain: Drain::Serving,
            fronts_closed: false,
            ready: false,
            last_id: 0,
            pending: VecDeque::new(),
        })
    }

    /// Takes one event in, and says what is to be done, in this order.
    pub fn reduce(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        // First: what has expired by now permits nothing that the event would set going.
        self.review_leases(now, &mut out);
        match event {
            Event::Submitted { ticket, transaction } => self.submitted(now, ticket, transaction, &mut out),
            Event::Left { ticket } => self.left(now, ticket),
            Event::News { branch, news } => self.news(branch, news, &mut out),
            Event::Ended { branch, ending, report } => self.ended(now, branch, ending, report, &mut out),
            Event::Probed { hop, probe, status, report } => {
                if let Some((_, sent)) = self.probes.remove(&probe).filter(|(h, _)| *h == hop) {
                    let latency = now.saturating_sub(sent);
                    self.tell(api::Event::Probed(Probed { worker: hop, status, latency, report }));
                }
            }
            Event::Routes { source, since, news } => {
                let contact = news.contact();
                let applied = self.apply_routes(source, news);
                if let Some(contact) = contact {
                    self.routes.note_contact(source, since, contact);
                    let ends = self.routes.lease_end(source);
                    out.push(Effect::LeaseNoted { source, contact, ends });
                }
                self.tell_routes(now, applied, &mut out);
            }
            Event::FormerRoutes { source, news } => {
                let applied = self.apply_routes(source, news);
                self.tell_routes(now, applied, &mut out);
            }
            Event::Expires { source } => self.routes.set_terms(now, source, LeaseTerms::of_session()),
            Event::Configured { discovery, index, needs_restart } => {
                if !needs_restart.is_empty() {
                    let what = "keys of the configuration changed, which takes a restart";
                    out.push(Effect::Warn { what, detail: needs_restart.join(", ") });
                }
                // Prevents: a configuration that changes nothing here drops a watch that stands.
                if let Some(address) = discovery.filter(|d| self.discovery.as_ref() != Some(d)) {
                    if self.discovery.is_none() {
                        self.timers.insert((now + READY_WITHOUT_LIST, Timer::Ready));
                    }
                    self.routes.set_terms(now, Source::Discovery, LeaseTerms::of(&self.settings));
                    self.discovery = Some(address.clone());
                    out.push(Effect::WatchAt { address, index });
                }
            }
            Event::Due => {
                // It has gone off. Prevents: it is taken for set, and nothing is due any more until the next news.
                self.alarm = None;
                self.due(now, &mut out);
            }
            Event::Terminate if self.drain == Drain::Serving => {
                self.drain = Drain::Crossing { since: now };
                let serves = self.forced.saturating_sub(STOP_CLOSES).max(CROSSING);
                self.timers.insert((now + serves, Timer::Crossed));
            }
            Event::Terminate => {}
            // Prevents: where they close before they were told to, the end never comes.
            Event::FrontsClosed => self.fronts_closed = true,
        }
        self.settle(now, &mut out);
        if matches!(self.drain, Drain::Closing { .. }) && self.fronts_closed && self.tickets.is_empty() {
            self.drain = Drain::Over;
            out.push(Effect::Exit);
        }
        self.arm_lease(now);
        let first = self.timers.first().map(|(at, _)| *at);
        if let Some(at) = first.filter(|_| first != self.alarm) {
            out.push(Effect::Alarm { at });
        }
        self.alarm = first;
        out
    }

    /// How things stand.
    pub fn overview(&self) -> Overview {
        let mut classes = vec![(0, 0); self.settings.classes.len()];
        for open in self.transactions.values().filter(|o| !o.answered) {
            classes[open.class.0].0 += 1;
            classes[open.class.0].1 += usize::from(open.is_out());
        }
        Overview { classes, hops: self.routes.hops().cloned().collect(), kept: self.kept.len() }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn tell(&mut self, event: api::Event<'static>) {
        self.pending.push_back(Told::Event(event));
    }

    /// Lets the balancer hear all it is to be told, and carries out what it wants.
    fn settle(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(told) = self.pending.pop_front() {
            match told {
                Told::Event(event) => self.balancer.handle(now, event, &mut actions),
                Told::List(kind, hops) => {
                    let entries: Vec<_> = hops.iter().map(|&h| self.routes.entry(h)).collect();
                    self.balancer.handle(now, api::Event::List { kind, entries: &entries }, &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
        }
    }

    fn act(&mut self, now: Micros, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request, worker, timeout, out),
            Action::Cancel { request, attempt } => {
                let found = self.branches.iter().find(|(_, b)| b.request == request && b.attempt == attempt);
                if let Some((&branch, _)) = found {
                    out.push(Effect::Cut { branch });
                    self.close_branch(now, branch, Status::Cancelled, None);
                }
            }
            Action::Refuse { request, retry_after } => {
                let open = self.transactions.get(&request).filter(|o| !o.answered);
                let may_refuse = open.is_none_or(|open| self.permission(now, open).refuse);
                if may_refuse {
                    self.answer(now, request, Answer::Busy { retry_after }, out);
                } else {
                    self.deny(Denial::MayHaveRun, out);
                    self.answer(now, request, Answer::Failed("not done in time"), out);
                }
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed("not done in time"), out),
            Action::Probe { worker } => {
                let probe = self.next_id();
                if let Err(denial) = self.routes.permission(now, worker) {
                    self.deny(denial, out);
                    let (status, report) = (Status::Moot, None);
                    self.tell(api::Event::Probed(Probed { worker, status, latency: 0, report }));
                } else if let Some(reach) = self.routes.reach(worker).cloned() {
                    self.probes.insert(probe, (worker, now));
                    out.push(Effect::Probe { hop: worker, probe, reach });
                }
            }
            Action::Disconnect { worker } => out.push(Effect::Disconnect { hop: worker }),
            // It is watched from the first configuration on, at a pace of its own.
            Action::Subscribe => {}
            Action::Wake { after } => {
                if let Some(at) = self.wake_at.take() {
                    self.timers.remove(&(at, Timer::Wake));
                }
                let at = now + after.max(WAKE_LEAST);
                self.wake_at = Some(at);
                self.timers.insert((at, Timer::Wake));
            }
            Action::Log(detail) => out.push(Effect::Warn { what: "the decisions say", detail }),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        hop: WorkerId,
        timeout: Option<Micros>,
        out: &mut Vec<Effect>,
    ) {
        let reach = self.routes.reach(hop).cloned();
        let branch = BranchId(self.next_id());
        let permission = self.may_send(now, request, hop);
        let (zone, cell) = self.routes.place(hop);
        let Some(open) = self.transactions.get_mut(&request) else { return };
        let attempt = open.attempts.len();
        open.attempts.push(EarlierAttempt { endpoint: hop, zone, cell, sent: now, fate: Fate::Out });
        let end = open.deadline.saturating_sub(BRANCH_MARGIN);
        let until = timeout.filter(|&t| t > 0).map_or(end, |t| end.min(now + t));
        let (class, job) = (open.class, open.job.clone());
        let permission = if until <= now { Err(Denial::DeadlinePassed) } else { permission };
        self.branches.insert(branch, Branch { request, attempt, hop, sent: now, until });
        match (reach, permission) {
            (Some(reach), Ok(not_after)) => {
                self.timers.insert((until, Timer::Branch(branch)));
                let left = open.deadline.saturating_sub(now).min(until - now);
                // Prevents: a job that may run once only is lost with a connection that was dropped unseen.
                let once = self.settings.classes[class.0].effect == api::Effect::Unsafe;
                let fresh = now < self.distrust_until && once;
                out.push(Effect::Start { branch, attempt, hop, reach, class, job, left, fresh, not_after });
            }
            (_, permission) => {
                if let Err(denial) = permission {
                    self.deny(denial, out);
                }
                self.close_branch(now, branch, Status::Moot, None);
            }
        }
    }

    /// Whether a request may be sent to an endpoint now, and until when its first byte may be written.
    fn may_send(&self, now: Micros, request: RequestId, hop: WorkerId) -> Result<Option<Micros>, Denial> {
        let open = self.transactions.get(&request).filter(|o| !o.answered).ok_or(Denial::RequestOver)?;
        let (zone, cell) = self.routes.place(hop);
        self.permission(now, open).send_to(zone, cell)?;
        self.routes.permission(now, hop)
    }

    /// What the rules permit for a request.
    fn permission(&self, now: Micros, open: &Open) -> rules::Permission {
        rules::permission(now, &self.settings, open.class, open.attempts.iter().copied())
    }

    /// Counts a choice that the rules do not permit. The decisions ask the same rules, so each is a fault of theirs, save
    /// where an answer or the end of a request's time has crossed the choice.
    fn deny(&mut self, denial: Denial, out: &mut Vec<Effect>) {
        let count = self.denied.entry(denial).or_default();
        *count += 1;
        if !matches!(denial, Denial::RequestOver | Denial::DeadlinePassed) {
            let detail = format!("{denial} ({count} so far)");
            out.push(Effect::Warn { what: "the rules do not permit a choice of the decisions", detail });
        }
    }

    /// Tells the decisions where a list has become usable, or is not any more.
    fn review_leases(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(listed) = self.routes.review(now) else { return };
        let valid = self.routes.any_valid(now);
        if !valid {
            let what = "no endpoint list is confirmed: nothing is sent until one is";
            out.push(Effect::Warn { what, detail: format!("{} endpoints", listed.len()) });
        }
        self.pending.push_back(Told::List(ListKind::Whole, listed));
        if valid && !self.ready {
            self.ready = true;
            out.push(Effect::Ready);
        }
    }

    /// Sees to it that the expiry of a lease is noticed; one that is renewed meanwhile is looked at again then.
    fn arm_lease(&mut self, now: Micros) {
        if self.lease_at.is_none() {
            self.lease_at = self.routes.next_expiry(now);
            self.timers.extend(self.lease_at.map(|at| (at, Timer::Lease)));
        }
    }

    /// Books the one outcome of a branch. What comes for it later finds nothing.
    fn close_branch(&mut self, now: Micros, branch: BranchId, status: Status, report: Option<Report>) {
        let Some(Branch { request, attempt, hop, sent, until }) = self.branches.remove(&branch) else {
            return;
        };
        self.timers.remove(&(until, Timer::Branch(branch)));
        let mut closed = true;
        if let Some(open) = self.transactions.get_mut(&request) {
            open.attempts[attempt].fate = if status.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
            closed = open.answered;
        }
        let latency = now.saturating_sub(sent);
        self.tell(api::Event::Outcome(Outcome {
            request,
            attempt,
            worker: hop,
            status,
            latency,
            closed,
            report,
        }));
        self.forget(request);
    }

    fn forget(&mut self, request: RequestId) {
        if self.transactions.get(&request).is_some_and(|o| o.answered && !o.is_out())
            && let Some(open) = self.transactions.remove(&request)
        {
            // Prevents: where nothing may be called off, an id that comes again is out twice at once.
            self.ids.remove(&open.job.id);
        }
    }

    fn submitted(&mut self, now: Micros, ticket: Ticket, t: Transaction, out: &mut Vec<Effect>) {
        if let Some(identity) = &t.identity {
            match self.kept.look_up(now, identity) {
                Known::New => {}
                Known::Running(request) => {
                    // Prevents: a client that lost its connection and asks again has its job run twice.
                    if let Some(open) = self.transactions.get_mut(&request) {
                        open.tickets.push(ticket);
                        self.tickets.insert(ticket, request);
                    }
                    return;
                }
                Known::Over(answer) => return out.push(Effect::Answer { ticket, answer }),
                Known::NoRoom => {
                    let answer = Answer::Busy { retry_after: self.come_back };
                    return out.push(Effect::Answer { ticket, answer });
                }
            }
        }
        // Prevents: one client that would wait for a day makes all others look as if they had waited that long.
        let left = t.left.min(self.settings.classes.get(t.class.0).map_or(t.left, |class| class.deadline));
        let deadline = match self.drain {
            Drain::Crossing { since } | Drain::Closing { since, .. } if now > since + CROSSING => {
                (now + left).min(since + self.forced.saturating_sub(STOP_ANSWERS))
            }
            _ => now.saturating_add(left),
        };
        if let Some(&request) = self.ids.get(&t.job.id) {
            return self.join(request, ticket, &t, deadline, out);
        }
        if self.spent.holds(now, &t.job.id) {
            let answer = Answer::Failed("it may have run before");
            return out.push(Effect::Answer { ticket, answer });
        }
        let (request, key) = (RequestId(self.next_id()), t.job.key());
        self.ids.insert(t.job.id.clone(), request);
        if let Some(identity) = &t.identity {
            self.kept.begin(identity.clone(), request);
        }
        self.timers.insert((deadline.saturating_sub(ANSWER_MARGIN), Timer::Transaction(request)));
        self.tickets.insert(ticket, request);
        self.transactions.insert(
            request,
            Open {
                class: t.class,
                deadline,
                job: t.job,
                identity: t.identity,
                tickets: vec![ticket],
                attempts: vec![],
                answered: false,
            },
        );
        self.tell(api::Event::Request(Incoming {
            request,
            class: t.class,
            left: left.saturating_sub(BRANCH_MARGIN),
            slots: t.slots,
            memory: t.memory,
            work: None,
            tenant: t.tenant,
            key,
        }));
    }

    /// An id comes again that is open.
    fn join(
        &mut self,
        request: RequestId,
        ticket: Ticket,
        t: &Transaction,
        deadline: Micros,
        out: &mut Vec<Effect>,
    ) {
        let alone = t.identity.is_none();
        let same = |o: &&mut Open| {
            alone && !o.answered && o.identity.is_none() && o.class == t.class && o.job == t.job
        };
        // Prevents: one client's transaction is mixed up with another's that goes under the same id.
        let Some(open) = self.transactions.get_mut(&request).filter(same) else {
            let answer = Answer::Rejected(Rejection::IdInUse);
            return out.push(Effect::Answer { ticket, answer });
        };
        // Prevents: a client whose connection was closed under its request, and that sends it once more before we
        // hear that the first is gone, is turned down, and the job is called off with the first.
        open.tickets.push(ticket);
        self.tickets.insert(ticket, request);
        // Prevents: whoever waits for less long than the first is answered too late.
        if deadline < open.deadline {
            let at = |deadline: Micros| (deadline.saturating_sub(ANSWER_MARGIN), Timer::Transaction(request));
            self.timers.remove(&at(open.deadline));
            self.timers.insert(at(deadline));
            open.deadline = deadline;
        }
    }

    /// Without an identity nobody can ask for the answer any more; with one, the job goes on for whoever
    /// hands it in again.
    fn left(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.tickets.remove(&ticket) else { return };
        let Some(open) = self.transactions.get_mut(&request) else { return };
        open.tickets.retain(|t| *t != ticket);
        if open.tickets.is_empty() && open.identity.is_none() && !open.answered {
            self.spend(now, request);
            self.end(request);
            self.tell(api::Event::Gone { request });
        }
    }

    /// The transaction is over: if it may have run, and its class may not at will, its id doesn't run again.
    fn spend(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.transactions.get(&request).filter(|o| o.identity.is_none()) else { return };
        let time = self.settings.classes.get(open.class.0).and_then(spent_for);
        if let Some(time) = time.filter(|_| open.may_have_run()) {
            self.spent.keep(now + time, &open.job.id);
        }
    }

    /// No answer is owed for the transaction any more.
    fn end(&mut self, request: RequestId) {
        if let Some(open) = self.transactions.get_mut(&request) {
            open.answered = true;
            self.timers.remove(&(open.deadline.saturating_sub(ANSWER_MARGIN), Timer::Transaction(request)));
        }
        self.forget(request);
    }

    fn answer(&mut self, now: Micros, request: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(open) = self.transactions.get_mut(&request).filter(|o| !o.answered) else { return };
        if let Some(identity) = open.identity.clone() {
            self.kept.end(now, identity, &answer);
        }
        for ticket in std::mem::take(&mut open.tickets) {
            self.tickets.remove(&ticket);
            out.push(Effect::Answer { ticket, answer: answer.clone() });
        }
        // After the other answers trying again is harmless.
        if matches!(answer, Answer::Served(_) | Answer::Failed(_)) {
            self.spend(now, request);
        }
        self.end(request);
    }

    fn news(&mut self, branch: BranchId, news: News, out: &mut Vec<Effect>) {
        let Some(b) = self.branches.get(&branch) else { return };
        let (request, attempt, worker) = (b.request, b.attempt, b.hop);
        let note = match news {
            News::Started => Note::Started,
            News::Share(share) => Note::Progress(share),
            News::Data(_) | News::Warning(_) => Note::Progress(0.0),
        };
        if let Some(open) = self.transactions.get(&request) {
            out.extend(open.tickets.iter().map(|&ticket| Effect::Tell { ticket, news: news.clone() }));
        }
        self.tell(api::Event::Note(Progress { request, attempt, worker, note }));
    }

    fn ended(
        &mut self,
        now: Micros,
        branch: BranchId,
        ending: Ending,
        report: Option<Report>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.branches.get(&branch).map(|b| b.request) else { return };
        let status = match ending {
            Ending::Served(result) => {
                self.answer(now, request, Answer::Served(result), out);
                Status::Ok
            }
            Ending::Unusable => {
                // Prevents: what no next hop can use goes round all of them.
                self.answer(now, request, Answer::Rejected(Rejection::Unusable), out);
                Status::Error
            }
            Ending::Error => Status::Error,
            Ending::TurnedAway => Status::Full,
            Ending::NotConnected => Status::ConnectFailed,
            Ending::NotTried => Status::Moot,
            Ending::Reset => Status::Reset,
            Ending::KeptReset => {
                self.distrust_until = now + DISTRUST;
                Status::Reset
            }
            Ending::TimedOut => Status::Timeout,
        };
        self.close_branch(now, branch, status, report);
    }

    fn apply_routes(&mut self, source: Source, news: RouteNews) -> Applied {
        // The decisions remember each attempt of a request for as long as it is open here.
        let owed = || {
            let tried = self.transactions.values().flat_map(|open| open.attempts.iter().map(|a| a.endpoint));
            tried.chain(self.probes.values().map(|(hop, _)| *hop)).collect()
        };
        self.routes.apply(source, news, owed)
    }

    fn tell_routes(&mut self, now: Micros, applied: Applied, out: &mut Vec<Effect>) {
        let Applied { kind, lines, reused } = applied;
        out.extend(reused.into_iter().map(|hop| Effect::Disconnect { hop }));
        self.pending.push_back(Told::List(kind, lines));
        self.review_leases(now, out);
    }

    fn due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Wake => {
                    self.wake_at = None;
                    self.tell(api::Event::Wake);
                }
                Timer::Branch(branch) => {
                    out.push(Effect::Cut { branch });
                    self.close_branch(now, branch, Status::Timeout, None);
                }
                Timer::Transaction(request) => {
                    // Whether it is refused or has failed is for the decisions to say, who know the rules.
                    self.tell(api::Event::Expired { request });
                    self.settle(now, out);
                    // Prevents: a client is left without an answer whatever the decisions make of it.
                    self.answer(now, request, Answer::Failed("not done in time"), out);
                    self.tell(api::Event::Gone { request });
                }
                Timer::Lease => {
                    self.lease_at = None;
                    self.review_leases(now, out);
                }
                Timer::Ready => {
                    if !std::mem::replace(&mut self.ready, true) {
                        out.push(Effect::Ready);
                    }
                }
                Timer::Crossed => {
                    if let Drain::Crossing { since } = self.drain {
                        self.drain = Drain::Closing { since };
                    }
                    out.push(Effect::CloseFronts);
                }
            }
            self.settle(now, out);
        }
    }
}
