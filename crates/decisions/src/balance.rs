//! All decisions of pumiceway. The interface (settings, events, actions) stands in `src/api.rs`; the records
//! kept of workers and requests, plain data, in `src/state.rs`.
//!
//! Reading order: script, validity, dispatch, request life, worker belief, list, probes and ticks.
//! The mechanism is that of Allocation Priority Policies; each departure is named so where it stands.

use crate::api::*;
use crate::health::{Health, catch_up, dark};
use crate::order::{WAITS_FOR_THEM, first_for, gcd, mix};
use crate::state::*;
use std::borrow::Cow;

/// Turns in a tipping window. It slides, so it meets one more: all those together hand out the budget.
const COLD_TURNS: u64 = 2;
/// What hinted jobs are granted on a cold worker at a time, in mean jobs of the heaviest class.
const HINTED_GRANT: f64 = 2.0;
/// How much sooner than its aim a job should end on a worker as cold as the settings allow.
const COLD_MARGIN: f64 = 1.2;
/// A `full` answer closes a worker for this long.
const FULL_PAUSE: Micros = 1_000_000;
/// Where instances outnumber workers, so does a job that did not start at once and was called off; for twice
/// as long with each further one in a row, so often at most.
const LATE_DOUBLINGS: u32 = 2;
/// First and longest wait before a worker that failed is tried again.
const RETRIAL: Micros = 250_000;
const RETRIAL_MOST: Micros = 4_000_000;
/// Silence, in mean running times, after which a worker with our work out is asked for a sign of life.
const SILENCE: f64 = 3.0;
/// Where instances outnumber workers, those first that keep so many slots free: others see the same report,
/// and while it is believed a worker of four slots starts about two jobs.
const SPARE: f64 = 2.0;
/// Probes that one request pays for, and how many may be saved up.
const PROBES_PER_REQUEST: f64 = 2.0;
const PROBES_SAVED: f64 = 8.0;
/// Probes that are sent for one request before it is placed on belief alone.
const PROBES_FOR_ONE: u32 = 4;
/// Workers looked at in a tick, whether they want a refreshing probe.
const REFRESHED_A_TICK: usize = 16;
/// A kind's slots are the mean of reports with this share of them free; the step to a report, and to one that
/// has a lot more.
const NEARLY_FREE: f64 = 0.85;
const SLOTS_STEP: f64 = 0.1;
const MORE_SLOTS: (f64, f64) = (1.4, 0.3);
/// How long a limit to unused connections, learnt from a lost job, is believed.
const IDLE_LIMIT_HOLDS: Micros = 20_000_000;
/// Mean running times after which a report says little of the present.
const REPORT_LIVES: f64 = 3.0;
/// Reports refreshed within this share of a mean running time tell of the present.
const LIVELY: f64 = 0.33;
/// News of a worker is taken as fresh for this share of a mean running time.
const FRESH: f64 = 0.25;
/// Belief about others' use of a worker fades to the fleet's mean over this time.
const FADES: f64 = 2_000_000.0;
/// Weight of a new sample in the running means; and how many first ones are averaged instead.
const LEARN: f64 = 0.03;
const FIRST: u32 = 30;
/// A worker back from failure is left to safe requests, unless none has come for this long.
const TRIAL_OF_SAFE: Micros = 10_000_000;

/// Decides for one dispatcher. Every instance is on its own: it knows what its events have told it.
pub struct Balancer {
    s: Settings,
    rng: fastrand::Rng,
    m: Memory,
    /// The script: a tag for each class.
    tags: Vec<Tag>,
    classes: Vec<ClassBelief>,
    kind_slots: Vec<f64>,
    /// How much longer jobs run on a kind than was expected; without waits where starts are told.
    kind_pace: Vec<f64>,
    /// Mean running time and slots of what we send.
    mean_run: f64,
    mean_slots: f64,
    /// Time between requests, and how long an answered probe takes, smoothed.
    gap: f64,
    probe_time: f64,
    probe_credit: f64,
    /// Share of its slots that others use of the mean worker, a figure for each zone.
    mean_use: Vec<f64>,
    /// The mean worker that reports.
    health: Health,
}

/// What the walk of the script found.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    Send(WorkerId),
    /// The first valid worker, which we have no fresh news of.
    Ask(WorkerId),
    /// An answer of its own is awaited.
    Wait,
    Nobody,
}

/// What the rules still allow for a request.
struct Allowed {
    refuse: bool,
    resend: bool,
    /// Resends only to the group of this worker.
    within: Option<(Group, WorkerId)>,
}

impl Balancer {
    /// A balancer that knows no worker yet; `seed` drives its few random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let classes: Vec<_> = settings
            .classes
            .iter()
            .map(|c| ClassBelief { run: c.aim.max(1) as f64, served: 0, first: 0.0, most_left: 0 })
            .collect();
        Ok(Balancer {
            mean_run: classes.iter().map(|c| c.run).sum::<f64>() / classes.len() as f64,
            kind_slots: vec![0.0; settings.kinds],
            kind_pace: vec![1.0; settings.kinds],
            mean_slots: 1.0,
            rng: fastrand::Rng::with_seed(seed),
            tags: classes.iter().map(|_| Tag::default()).collect(),
            classes,
            gap: 1_000_000.0,
            probe_credit: PROBES_SAVED,
            probe_time: 10_000.0,
            mean_use: vec![0.5; settings.zones.max(1)],
            health: Health::default(),
            s: settings,
            m: Memory::default(),
        })
    }

    /// Takes one event and appends what is to be done, in this order. Handles of workers must have been on
    /// a list and indices must be in range; events for requests that have ended are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // Prevents: after a stall the clock has jumped, and answers in the backlog look lost.
        if self.m.armed.is_some_and(|at| now > at + self.tick_length()) {
            self.m.awake = now;
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(e) => self.on_request(now, e, out),
            Event::Outcome(e) => self.on_outcome(now, e, out),
            Event::Note(Progress { request, attempt, worker, note }) => {
                self.alive(now, worker);
                if note == Note::Started {
                    self.on_start(now, request, attempt, worker);
                    self.call_off_others(request, attempt, out);
                }
                if let Some(a) = self.m.requests.get_mut(&request).and_then(|r| r.attempts.get_mut(attempt)) {
                    if !a.started {
                        a.began = now;
                    }
                    (a.started, a.heard) = (true, now);
                }
            }
            Event::Gone { request } => self.close(request, out),
            Event::Probed(e) => self.on_probed(now, e, out),
            Event::Wake => {
                self.m.armed = None;
                self.tick(now, out);
            }
        }
        let pause = match self.m.requests.is_empty() {
            true => 4 * self.tick_length(),
            false if self.m.waiting_start => self.prompt().min(self.tick_length()),
            false => self.tick_length(),
        };
        if self.m.armed.is_none_or(|at| at > now + pause) {
            self.m.armed = Some(now + pause);
            out.push(Action::Wake { after: pause });
        }
    }

    // ---- Script: the home-zone block, then elsewhere; ids in order, each instance from its own place.

    fn rebuild_script(&mut self) {
        let listed: Vec<_> = self.m.by_id.iter().copied().filter(|&w| self.w(w).listed).collect();
        let mut size = vec![(0.0, 0.0); self.s.kinds];
        for w in listed.iter().map(|&w| self.w(w)) {
            size[w.kind.0].0 += w.size;
            size[w.kind.0].1 += self.kind_slots[w.kind.0].max(1.0);
        }
        let mean = size.iter().map(|s| s.0).sum::<f64>() / size.iter().map(|s| s.1).sum::<f64>();
        let stretch = self.s.classes.iter().map(|c| c.stretch).fold(f64::MAX, f64::min).max(1.0);
        self.tags = (self.s.classes.iter())
            .map(|class| {
                // Labels in a block: kinds that no narrower class depends on; kinds that one does; kinds too
                // slow for the tightest aim, as listed size and learnt slots tell.
                let label: Vec<u8> = (0..self.s.kinds)
                    .map(|k| {
                        let needed = class.kinds.is_none()
                            && self.s.classes.iter().flat_map(|c| &c.kinds).any(|ks| ks.contains(&KindId(k)));
                        let slow = size[k].0 / size[k].1 * stretch < 1.1 * mean;
                        if slow { 2 } else { u8::from(needed) }
                    })
                    .collect();
                let mut tag = Tag::default();
                for at_home in [true, false] {
                    for wanted in 0..=2u8 {
                        let here = |w: &Worker| {
                            (Some(w.zone) == self.s.my_zone) == at_home
                                && label[w.kind.0] == wanted
                                && class.open_to(w.zone, w.kind)
                        };
                        let ids: Vec<_> = listed.iter().copied().filter(|&w| here(self.w(w))).collect();
                        let block = wanted + 3 * u8::from(!at_home);
                        tag.script.extend(self.walk_from_own_place(&ids).map(|w| (block, w)));
                    }
                    if at_home {
                        tag.home = tag.script.len();
                    }
                }
                tag
            })
            .collect();
    }

    /// Departure: instances share one id order and would all pile on the head of each label, so each starts
    /// at its own place. What leaves one full worker would then all go to the same next one: where instances
    /// share heads, each goes on in steps of its own, which meet every worker once.
    fn walk_from_own_place(&self, ids: &[WorkerId]) -> impl Iterator<Item = WorkerId> {
        let (n, mut step) = (ids.len(), 1);
        let start = n * self.s.me / self.s.instances;
        if self.s.instances > n && n > 1 {
            step = 1 + ((self.s.me as f64 * 0.618_033_988_75).fract() * (n - 1) as f64) as usize;
            while gcd(step, n) > 1 {
                step -= 1;
            }
        }
        (0..n).map(move |i| ids[(start + i * step) % n])
    }

    // ---- Validity.

    fn w(&self, w: WorkerId) -> &Worker {
        &self.m.workers[w.0 as usize]
    }

    fn wm(&mut self, w: WorkerId) -> &mut Worker {
        &mut self.m.workers[w.0 as usize]
    }

    /// Whether a worker may be sent this request at all, however full it is.
    fn able(&self, now: Micros, id: WorkerId, r: &Request, allowed: &Allowed) -> bool {
        let w = self.w(id);
        let class = &self.s.classes[r.class.0];
        let in_group = match allowed.within {
            None | Some((Group::All, _)) => true,
            Some((Group::Zone, first)) => w.zone == self.w(first).zone,
            Some((Group::Cell, first)) => w.cell.is_some() && w.cell == self.w(first).cell,
        };
        w.state == WorkerState::Ready
            && w.bad_until.is_none()
            && now >= w.full_until
            && in_group
            && !(w.trial
                && (w.own_count > 0
                    || class.effect != Effect::Safe && now < self.m.last_safe + TRIAL_OF_SAFE))
            && !r.attempts.iter().any(|a| a.worker == id && a.fate != Fate::NeverRan)
            && self.cold_room(now, w, r)
    }

    fn slots_of(&self, w: &Worker, r: &Request) -> f64 {
        match self.kind_slots[w.kind.0] {
            0.0 => r.slots.max(1.0),
            s => s,
        }
    }

    /// Room beyond what this request takes, in slots; below 0 it would wait.
    fn room(&self, now: Micros, w: &Worker, r: &Request) -> f64 {
        let total = self.slots_of(w, r);
        let slots = total - w.own - self.others_now(now, w, total) - r.slots;
        let memory = total - w.own_memory - w.others_memory - r.memory;
        if r.memory > 0.0 { slots.min(memory) } else { slots }
    }

    /// Prevents: a worker not heard of for long looks as empty, or as full, as it was then.
    fn others_now(&self, now: Micros, w: &Worker, total: f64) -> f64 {
        // The turns leave a cold worker nearly empty. And prevents: where nobody reports, a guess that
        // nothing can correct keeps all work from workers that stand idle.
        let blind = w.report_at == 0 && (!self.asks() || self.unreported(w));
        let mean =
            if blind || self.cold_age(now, w).is_some() { 0.0 } else { total * self.mean_use[w.zone.0] };
        let age = now.saturating_sub(w.report_at) as f64;
        mean + (w.others - mean) * (-age / FADES).exp()
    }

    /// Prevents: until the first reports come, all that a large fleet is handed is held and then refused.
    fn unreported(&self, w: &Worker) -> bool {
        self.thin() && self.kind_slots[w.kind.0] == 0.0
    }

    fn asks(&self) -> bool {
        self.s.probes && self.s.report_via != ReportVia::None
    }

    /// A named block's test: it would start now, and leave so many slots free where the worker has as many.
    fn starts_now(&self, now: Micros, w: &Worker, r: &Request, spare: f64) -> bool {
        // Prevents: a job too large for any worker's slots is never sent to those that take jobs one by one.
        if let Some(jobs) = w.jobs {
            return w.own_count < jobs as usize;
        }
        let spare = spare.min(self.slots_of(w, r) - r.slots).max(0.0);
        !self.has_queue(now, w) && self.room(now, w, r) >= spare - 0.3
    }

    /// A job of ours should have told of its start by now.
    fn has_queue(&self, now: Micros, w: &Worker) -> bool {
        w.unstarted.first().is_some_and(|&sent| now > sent.max(self.m.awake) + self.prompt())
    }

    /// The followup's looser test: it would start while that still meets the aim.
    fn starts_soon(&self, now: Micros, w: &Worker, r: &Request) -> bool {
        let wait = -self.room(now, w, r) * self.mean_run / self.slots_of(w, r);
        // Prevents: a job sent to a worker that keeps no queue is turned away, and closes it for a while.
        w.jobs.is_none()
            && !self.has_queue(now, w)
            && now as f64 + wait <= self.latest_start(r) as f64 - self.s.classes[r.class.0].aim as f64 / 2.0
    }

    fn expected_run(&self, r: &Request) -> f64 {
        r.work.map_or(self.classes[r.class.0].run, |w| w as f64)
    }

    /// Prevents: a restarted worker that all instances find empty is sent so much that it falls over. What
    /// all may send in a window is shared out by turns, worked out alone from the worker's id and age.
    fn cold_room(&self, now: Micros, w: &Worker, r: &Request) -> bool {
        let Some(age) = self.cold_age(now, w) else { return true };
        let warm = self.s.cold_from + (1.0 - self.s.cold_from) * age as f64 / self.s.cold_for as f64;
        // Prevents: a job meets a worker so weak that it misses its aim there even if it starts at once.
        let class = &self.s.classes[r.class.0];
        if warm * (class.stretch + class.aim as f64 / self.expected_run(r)) < COLD_MARGIN {
            return false;
        }
        let budget = self.s.tip_multiple * warm * self.slots_of(w, r) * self.s.fall_window as f64;
        // Prevents: heavy jobs count like light ones; and of jobs with hints there is always one small enough
        // for any instance's share. Hence one size of grant for all of those.
        let cost = self.cold_cost(w, r);
        let heaviest = self.classes.iter().map(|c| c.run).fold(0.0, f64::max);
        let grant = if r.work.is_some() { HINTED_GRANT * heaviest } else { cost };
        let grants = budget / (COLD_TURNS + 1) as f64 / grant;
        // Prevents: one job known to be very heavy pushes the worker over all by itself.
        if grants < 1.0 {
            return false;
        }
        let turn = self.cold_turn(age);
        // Spread evenly over instances however their numbers are dealt to zones.
        let turned = (w.salt ^ turn).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
        let place = (self.s.me as f64 * 0.618_033_988_75 + turned as f64 / (1u64 << 53) as f64).fract();
        let share = grants / self.s.instances as f64;
        let mine = share.floor() + f64::from(place < share.fract());
        let used = if w.cold_turn == turn { w.cold_used } else { 0.0 };
        used + cost <= mine * grant
    }

    /// Prevents: a slow machine is granted as many jobs as a fast one with as many slots.
    fn cold_cost(&self, w: &Worker, r: &Request) -> f64 {
        self.expected_run(r) * self.kind_pace[w.kind.0] * r.slots
    }

    /// Prevents: jobs held for a turn all go at once as it opens. Each instance's turns have their own start.
    fn cold_turn(&self, age: Micros) -> u64 {
        let length = (self.s.fall_window / COLD_TURNS).max(1);
        (age + length * self.s.me as u64 / self.s.instances as u64) / length
    }

    fn cold_age(&self, now: Micros, w: &Worker) -> Option<Micros> {
        let age = now.saturating_sub(w.ready_at);
        let falls = self.s.tip_multiple > 0.0 && self.s.fall_window > 0;
        (falls && !w.warm && w.ready_at > 0 && age < self.s.cold_for).then_some(age)
    }

    /// Instances outnumber workers: none sees much of any worker, and what reports show others see as well.
    fn thin(&self) -> bool {
        self.asks() && self.tags.iter().all(|t| t.script.len() < self.s.instances)
    }

    // ---- Dispatch.

    fn choose(&self, now: Micros, r: &Request, allowed: &Allowed, followup: bool) -> Choice {
        // Prevents: a job pays for a crossing just before home frees a slot.
        let aim = self.s.classes[r.class.0].aim as f64;
        let thin = self.thin();
        // Prevents: all attempts of a job go to workers of a lost home zone, one after the other.
        let dark = thin && self.s.my_zone.is_some_and(|zone| dark(&self.m.workers, zone));
        let cross = dark || now as f64 >= r.start as f64 + aim * self.s.prices.cross_zone.min(0.5);
        let tag = &self.tags[r.class.0];
        let walk = if cross { &tag.script[..] } else { &tag.script[..tag.home] };
        let asks = self.asks();
        let lively = asks && self.m.report_period < LIVELY * self.mean_run;
        let fresh = now.saturating_sub((FRESH * self.mean_run) as Micros);
        // Prevents: turns at cold workers pass unused while warm ones, on old news, are sent more than they
        // can start; and a job crawls at home though it could cross. Few instances find both in list order.
        let mut order = Cow::Borrowed(walk);
        if tag.script.len() < self.s.instances {
            let order = order.to_mut();
            let fit = |w: &Worker| w.bad_until.is_none() && (cross || !w.health.slow(&self.health));
            order.retain(|&(_, id)| fit(self.w(id)));
            // Prevents: every worker fetches what any job is about, and all wait for the store they fetch it
            // from. All instances have one order of workers for a key, but half swap the first two of it.
            // While these are full a job waits a little: its fetch elsewhere would keep all full for longer.
            let first = thin && (now as f64) < r.start as f64 + aim * WAITS_FOR_THEM;
            r.key.filter(|_| first).into_iter().for_each(|k| first_for(k, order, |id| self.w(id).place));
            order.sort_by_cached_key(|&(block, id)| {
                let w = self.w(id);
                let rank = match self.cold_age(now, w) {
                    _ if dark && Some(w.zone) == self.s.my_zone => 3,
                    Some(_) if thin => 0,
                    _ => 1 + u8::from(w.health.slow(&self.health)),
                };
                (rank, block, r.key.map(|key| mix(key ^ w.place)))
            });
            let turn = r.key.is_some_and(|key| mix(key ^ self.s.me as u64) & 1 == 1);
            order.get_mut(..2).filter(|f| turn && f[0].0 == f[1].0).into_iter().for_each(|f| f.reverse());
        }
        let spares = if thin { &[SPARE, 0.0][..] } else { &[0.0] };
        for (&spare, &(_, id)) in spares.iter().flat_map(|s| order.iter().map(move |at| (s, at))) {
            let w = self.w(id);
            // Prevents: when the fleet is full on the mean, workers nobody has heard of are never found free.
            // Only where reports are younger than jobs: older ones show room that others have taken since.
            let unknown = lively && now as f64 > w.report_at as f64 + FADES;
            let valid = self.starts_now(now, w, r, spare);
            if !valid && !unknown || !self.able(now, id, r, allowed) {
                continue;
            }
            let asked = self.unreported(w) && w.probe_at >= fresh && !w.probe_out;
            if valid && (w.report_at >= fresh || !asks || asked) {
                return Choice::Send(id);
            }
            // Prevents: a job goes where there was room a while ago. Few jobs a dispatcher leave it without
            // fresh news of anybody, so it asks the worker it is about to use.
            if w.probe_out {
                if now <= w.probe_at.max(self.m.awake) + self.prompt() {
                    return Choice::Wait;
                }
                continue;
            }
            if r.probes < PROBES_FOR_ONE && self.probe_credit >= 1.0 {
                return Choice::Ask(id);
            }
            if valid {
                return Choice::Send(id);
            }
        }
        // Prevents: each of many instances takes what is full for soon to be free, as no report shows queues.
        // No followup there: what finds no room is held, and refused when it is too late to start.
        let soon =
            |&&(_, w): &&(u8, WorkerId)| self.able(now, w, r, allowed) && self.starts_soon(now, self.w(w), r);
        let default = tag.script.iter().filter(|_| followup && cross && !thin).find(soon);
        default.map_or(Choice::Nobody, |&(_, w)| Choice::Send(w))
    }

    /// Tries to send; anything but `Send` leaves the request where it is.
    fn place(&mut self, now: Micros, id: RequestId, followup: bool, out: &mut Vec<Action>) -> Choice {
        let r = &self.m.requests[&id];
        let allowed = self.allowed(now, r);
        if !allowed.resend || now >= r.deadline {
            return Choice::Wait;
        }
        let (slots, memory) = (r.slots, r.memory);
        let choice = self.choose(now, r, &allowed, followup);
        if let Choice::Ask(worker) = choice {
            self.probe_credit -= 1.0;
            self.m.requests.get_mut(&id).expect("placed requests are known").probes += 1;
            self.probe(now, worker, out);
        }
        let Choice::Send(worker) = choice else { return choice };
        let cost = self.cold_cost(self.w(worker), &self.m.requests[&id]);
        let turn = self.cold_age(now, self.w(worker)).map(|age| self.cold_turn(age));
        let tells = self.s.tells_start;
        self.m.waiting_start |= tells;
        let w = self.wm(worker);
        w.note_own(now);
        w.own += slots;
        w.own_memory += memory;
        w.own_count += 1;
        if tells {
            w.unstarted.push(now);
        }
        if let Some(turn) = turn {
            w.cold_used = if w.cold_turn == turn { w.cold_used + cost } else { cost };
            w.cold_turn = turn;
        }
        let idle = now.saturating_sub(w.used);
        w.used = now;
        // Prevents: a job is sent on a connection that was dropped unseen while it lay unused.
        if self.m.idle_limit > 0 && idle >= self.m.idle_limit && self.w(worker).own_count == 1 {
            out.push(Action::Disconnect { worker });
        }
        let (fate, started, overdue) = (Fate::Out, false, false);
        let r = self.m.requests.get_mut(&id).expect("placed requests are known");
        r.attempts.push(Attempt { worker, sent: now, fate, started, heard: now, began: now, overdue, idle });
        out.push(Action::Send { request: id, worker, timeout: None });
        self.watch(worker);
        choice
    }

    /// Latest start that probably still meets the aim.
    fn latest_start(&self, r: &Request) -> Micros {
        let class = &self.s.classes[r.class.0];
        let last = r.deadline.saturating_sub(2 * self.tick_length());
        if let Some(wait) = class.wait {
            // Prevents: a wrong belief refuses what has most of its time left.
            let run = if self.classes[r.class.0].served > 0 { self.expected_run(r) as Micros } else { 0 };
            return (r.start + wait).min(last.saturating_sub(run.min(class.deadline / 2)));
        }
        // Prevents: waits that swell the learnt running time swell the waits we allow. Hence the bound.
        let slack = (0.5 * (class.stretch - 1.2).max(0.0) * self.expected_run(r)).min(class.aim as f64);
        (r.start + class.aim + slack as Micros).min(last)
    }

    /// Places held requests, most worth for a slot's time first, and ends those that are too late.
    fn serve_held(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.m.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.m.held);
        held.retain(|id| self.m.requests.get(id).is_some_and(|r| !r.answered));
        let value = |id: &RequestId| {
            let r = &self.m.requests[id];
            self.s.classes[r.class.0].worth / (r.slots * r.work.map_or(self.classes[r.class.0].run, |_| 1.0))
        };
        held.sort_by(|a, b| value(b).total_cmp(&value(a)));
        // Prevents: work per event grows with held jobs times workers. What found no worker tells the same of
        // a later job of its class that wants as much.
        let mut nowhere: Vec<(ClassId, f64, f64, Micros)> = Vec::new();
        for id in held {
            let r = &self.m.requests[&id];
            let (class, slots, memory, start) = (r.class, r.slots, r.memory, r.start);
            let untried = r.attempts.is_empty();
            let as_much = |n: &(_, _, _, _)| n.0 == class && n.1 <= slots && n.2 <= memory && n.3 <= start;
            if !(untried && nowhere.iter().any(as_much)) {
                match self.place(now, id, true, out) {
                    Choice::Send(_) => continue,
                    Choice::Nobody if untried => nowhere.push((class, slots, memory, start)),
                    _ => {}
                }
            }
            if now >= self.latest_start(&self.m.requests[&id]) {
                self.give_up(now, id, out);
            } else {
                self.m.held.push(id);
            }
        }
    }

    // ---- Request life.

    /// The one place that knows what the rules allow for a request that may have run.
    fn allowed(&self, now: Micros, r: &Request) -> Allowed {
        let mut doubtful = r.attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        let out = r.attempts.iter().filter(|a| a.fate == Fate::Out).count();
        let more = r.attempts.len() < self.s.max_attempts && out < 1 + usize::from(self.s.second_copies);
        let Some(first) = doubtful.next() else {
            return Allowed { refuse: true, resend: more, within: None };
        };
        match self.s.classes[r.class.0].effect {
            Effect::Safe => Allowed { refuse: true, resend: more, within: None },
            Effect::Unsafe => Allowed { refuse: false, resend: false, within: None },
            Effect::Keyed { group, window } => Allowed {
                refuse: group == Group::All,
                resend: more && now < first.sent + window,
                within: Some((group, first.worker)),
            },
        }
    }

    fn on_request(&mut self, now: Micros, e: Incoming, out: &mut Vec<Action>) {
        let Incoming { request: id, class, left, slots, memory, work, tenant: _, key } = e;
        self.gap += 0.1 * (now.saturating_sub(self.m.last_request).min(1_000_000) as f64 - self.gap);
        self.m.last_request = now;
        self.probe_credit = (self.probe_credit + PROBES_PER_REQUEST).min(PROBES_SAVED);
        if self.s.classes[class.0].effect == Effect::Safe {
            self.m.last_safe = now;
        }
        self.mean_slots += LEARN * (slots - self.mean_slots);
        let belief = &mut self.classes[class.0];
        belief.most_left = belief.most_left.max(left);
        let start = now.saturating_sub(belief.most_left - left);
        let deadline = now + left;
        let (attempts, answered, probes) = (Vec::new(), false, 0);
        let r = Request { class, start, deadline, slots, memory, work, key, attempts, answered, probes };
        self.m.requests.insert(id, r);
        if !matches!(self.place(now, id, false, out), Choice::Send(_)) {
            self.m.held.push(id);
            self.serve_held(now, out);
            // They stand in order of worth, and of their coming where that is the same.
            while self.s.held_most > 0 && self.m.held.len() > self.s.held_most {
                self.m.held.pop().into_iter().for_each(|last| self.give_up(now, last, out));
            }
        }
    }

    fn on_outcome(&mut self, now: Micros, e: Outcome, out: &mut Vec<Action>) {
        let Outcome { request: id, attempt, worker, status, latency, closed, report } = e;
        let Some(expected) = self.m.requests.get(&id).map(|r| self.expected_run(r).max(1.0)) else { return };
        let Some(r) = self.m.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.fate == Fate::Out) else { return };
        a.fate = if status.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (class, slots, memory) = (r.class.0, r.slots, r.memory);
        let (sent, overdue, waited) = (a.sent, a.overdue, !a.started);
        let ran = if a.started { now - a.began } else { latency };
        if !overdue {
            self.free(now, worker, sent, slots, memory);
        }
        match status {
            Status::Ok | Status::Error => {
                self.alive(now, worker);
                if status == Status::Ok {
                    let kind = self.w(worker).kind.0;
                    // Prevents: a pace is learnt from a running time that was only guessed.
                    if self.classes[class].served > 0 {
                        self.kind_pace[kind] += LEARN * (ran as f64 / expected - self.kind_pace[kind]);
                    }
                    self.learn(now, class, latency as f64);
                }
            }
            Status::Full => {
                self.alive(now, worker);
                self.wm(worker).full_until = now + FULL_PAUSE;
            }
            Status::ConnectFailed | Status::Reset => self.suspect(now, worker, out),
            Status::Cancelled if waited && now > sent.max(self.m.awake) + self.prompt() => {
                self.blocked(now, worker);
            }
            Status::Timeout | Status::Cancelled | Status::Moot => {}
        }
        if let Some(report) = report {
            self.on_report(now, worker, report);
        }
        if closed || status == Status::Ok {
            self.close(id, out);
        } else {
            let r = &self.m.requests[&id];
            if !r.answered && !r.attempts.iter().any(|a| a.fate == Fate::Out) {
                let allowed = self.allowed(now, r);
                if !allowed.resend || now >= r.deadline {
                    self.give_up(now, id, out);
                } else if !self.m.held.contains(&id) {
                    self.m.held.push(id);
                }
            }
        }
        self.forget(id);
        self.serve_held(now, out);
    }

    /// Prevents: a guess that is far off is believed for hundreds of requests. Of the first ones the short
    /// have ended, so those still out count with the time they have taken: total time over those ended.
    fn learn(&mut self, now: Micros, class: usize, latency: f64) {
        let out = |r: &Request| -> Micros {
            let open = r.attempts.iter().filter(|a| a.fate == Fate::Out);
            open.map(|a| now.saturating_sub(a.sent)).sum()
        };
        // Not where jobs wait for as long as the aim is believed to be met: there the aim is a fair guess,
        // and the simulator loses 0.04 with this.
        let waits = self.s.classes[class].wait.is_some();
        let belief = &mut self.classes[class];
        belief.served = belief.served.saturating_add(1);
        belief.run += LEARN * (latency - belief.run);
        self.mean_run += LEARN * (latency - self.mean_run);
        belief.first += latency;
        if waits && belief.served <= FIRST {
            let open: Micros = self.m.requests.values().filter(|r| r.class.0 == class).map(out).sum();
            belief.run = (belief.first + open as f64) / f64::from(belief.served);
        }
        let served = |c: &ClassBelief| f64::from(c.served);
        let all: f64 = self.classes.iter().map(served).sum();
        if waits && all <= f64::from(FIRST) {
            self.mean_run = self.classes.iter().map(|c| c.run * served(c)).sum::<f64>() / all;
        }
    }

    fn free(&mut self, now: Micros, worker: WorkerId, sent: Micros, slots: f64, memory: f64) {
        let w = self.wm(worker);
        w.unstarted.retain(|&at| at != sent);
        w.note_own(now);
        w.own = (w.own - slots).max(0.0);
        w.own_memory = (w.own_memory - memory).max(0.0);
        w.own_count = w.own_count.saturating_sub(1);
    }

    /// The final answer for a request that will not be served.
    fn give_up(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        // Prevents: clients that were refused together come back together.
        let most = self.s.max_retry_after;
        let retry_after = self.s.retry_after.then(|| self.rng.u64(most / 2..=most));
        out.push(match self.allowed(now, &self.m.requests[&id]).refuse {
            true => Action::Refuse { request: id, retry_after },
            false => Action::Fail { request: id },
        });
        self.close(id, out);
    }

    /// The request has its final answer: call off what is still out.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.m.requests.get_mut(&id) else { return };
        if !r.answered && self.s.cancel {
            for (attempt, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out) {
                out.push(Action::Cancel { request: id, attempt });
            }
        }
        r.answered = true;
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|a| a.fate != Fate::Out);
        if self.m.requests.get(&id).is_some_and(over) {
            self.m.requests.remove(&id);
            self.m.held.retain(|h| *h != id);
        }
    }

    // ---- Worker belief.

    fn alive(&mut self, now: Micros, worker: WorkerId) {
        let w = self.wm(worker);
        (w.heard, w.answered, w.used) = (now, now, now);
        w.trial = false;
        w.strikes = 0;
        w.bad_until = None;
    }

    /// Prevents: a slow or dropped connection counts as a dead worker. A probe, sent at once, tells more.
    fn suspect(&mut self, now: Micros, worker: WorkerId, out: &mut Vec<Action>) {
        if !self.s.probes {
            return self.condemn(now, worker);
        }
        if self.w(worker).bad_until.is_none() {
            self.wm(worker).bad_until = Some(now);
            self.watch(worker);
            if !self.w(worker).probe_out {
                self.probe(now, worker, out);
            }
        }
    }

    fn condemn(&mut self, now: Micros, worker: WorkerId) {
        let w = self.wm(worker);
        let wait = (RETRIAL << w.strikes.min(8)).min(RETRIAL_MOST);
        w.strikes += 1;
        w.bad_until = Some(now + wait);
        self.watch(worker);
    }

    /// Prevents: a worker shows free slots that the head of its queue does not fit into. Each of many
    /// instances sends it jobs that wait behind that head, calls them off, and forgets what it has seen.
    fn blocked(&mut self, now: Micros, worker: WorkerId) {
        if !self.s.tells_start || !self.thin() {
            return;
        }
        let w = &mut self.m.workers[worker.0 as usize];
        let pause = FULL_PAUSE << w.late.min(LATE_DOUBLINGS);
        w.late += 1;
        w.full_until = w.full_until.max(now + self.rng.u64(pause * 3 / 4..=pause * 5 / 4));
    }

    fn watch(&mut self, worker: WorkerId) {
        if !std::mem::replace(&mut self.wm(worker).watched, true) {
            self.m.watched.push(worker);
        }
    }

    /// Prevents: reports a second old send a stream of jobs to a worker whose queue our own last job is in.
    /// A start is news that is milliseconds old: at once means that others left room, late means a queue.
    fn on_start(&mut self, now: Micros, id: RequestId, attempt: usize, worker: WorkerId) {
        let prompt = self.prompt();
        let Some(r) = self.m.requests.get(&id) else { return };
        let Some(a) = r.attempts.get(attempt).filter(|a| a.fate == Fate::Out && !a.started) else { return };
        let room = self.slots_of(self.w(worker), r) - self.w(worker).own;
        let (sent, slots, w) = (a.sent, r.slots, self.wm(worker));
        w.unstarted.retain(|&at| at != sent);
        if now <= sent + prompt {
            w.late = 0;
            w.others = w.others.min(room.max(0.0));
        } else {
            w.others = w.others.max(room + slots);
        }
    }

    fn on_report(&mut self, now: Micros, worker: WorkerId, report: Report) {
        let mean_slots = self.mean_slots;
        let trust = (-self.m.report_period / (REPORT_LIVES * self.mean_run)).exp();
        let cold = self.cold_age(now, self.w(worker)).is_some();
        let thin = self.thin();
        let w = &mut self.m.workers[worker.0 as usize];
        let slots = &mut self.kind_slots[w.kind.0];
        let known = *slots > 0.0;
        // Prevents: one noisy report of many makes every worker of its kind look larger than it is, for good.
        match report.free_slots {
            Some(free) if !known => *slots = free,
            Some(free) if free > MORE_SLOTS.0 * *slots => *slots += MORE_SLOTS.1 * (free - *slots),
            Some(free) if free > NEARLY_FREE * *slots => *slots += SLOTS_STEP * (free - *slots),
            _ => {}
        }
        let slots = *slots;
        let apart = now.saturating_sub(w.report_at) as f64;
        w.health.note(&report, apart, &mut self.health);
        // A report whose slots come again unchanged has not been refreshed since.
        let report = Report { rate: None, busy: None, ..report };
        if w.report == report && 2.0 * apart > self.m.report_period {
            self.m.report_period += 0.5 * (2.0 * apart - self.m.report_period);
        } else if w.report != report && apart < self.m.report_period {
            self.m.report_period -= 0.2 * (self.m.report_period - apart);
        }
        w.report = report;
        w.note_own(now);
        let weight = catch_up(apart, OTHERS_SMOOTHING);
        w.report_at = now;
        if let Some(free) = report.free_slots {
            // Prevents: free slots stop at 0, so a deep queue looks like a full worker about to be free.
            let held = report.in_flight.map_or(0.0, |n| n * mean_slots);
            let busy = (slots - free + report.waiting.unwrap_or(0.0)).max(held);
            let seen = (busy - w.own_average).max(0.0);
            let mean_use = &mut self.mean_use[w.zone.0];
            *mean_use += 0.05 * ((seen / slots.max(1.0)).min(2.0) - *mean_use);
            // Prevents: what a report showed before others took it is counted as room. What is as old as a
            // job tells of little but the mean. Not where instances outnumber workers: there a job that takes
            // a whole worker would never find one, and slots to spare make up for what has changed.
            let believed = match cold || thin {
                true => seen,
                false => *mean_use * slots + trust * (seen - *mean_use * slots),
            };
            let weight = if thin { 1.0 } else { weight };
            w.others += weight * (believed - w.others);
        }
        if let Some(free) = report.free_memory {
            w.others_memory += weight * ((slots - free - w.own_memory).max(0.0) - w.others_memory);
        }
        if !known {
            self.rebuild_script();
        }
    }

    // ---- List.

    fn on_list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        match kind {
            ListKind::WarmCopy if self.s.list_by_asking => {
                self.m.ask_at = Some(now + self.rng.u64(0..=self.s.ask_within / 4));
            }
            ListKind::Lost => {
                let wait = (self.s.ask_within / 8) << self.m.ask_failures.min(2);
                self.m.ask_failures += 1;
                self.m.ask_at = Some(now + wait / 2 + self.rng.u64(0..=wait));
            }
            _ => self.m.ask_failures = 0,
        }
        if matches!(kind, ListKind::Whole | ListKind::WarmCopy) {
            for w in &mut self.m.workers {
                w.listed = false;
                w.state = WorkerState::Gone;
            }
        }
        if self.m.last_safe == 0 {
            self.m.last_safe = now;
        }
        let mut fresh = Vec::new();
        for e in entries {
            let at = e.worker.0 as usize;
            let new = || Worker { own_at: now, heard: now, ..Worker::default() };
            self.m.workers.resize_with(self.m.workers.len().max(at + 1), new);
            let w = &mut self.m.workers[at];
            if w.listed_start != e.ready_at && e.ready_at > 0 {
                let old = std::mem::replace(w, new());
                (w.id, w.own, w.own_memory, w.own_count) = (old.id, old.own, old.own_memory, old.own_count);
                (w.unstarted, w.watched, w.probe_out) = (old.unstarted, old.watched, old.probe_out);
                (w.probe_at, w.used) = (old.probe_at, old.used);
            }
            if w.id.is_empty() {
                w.id = e.id.to_string();
                fresh.push(e.worker);
            }
            w.place = e.id.bytes().fold(0, |h, b| mix(h ^ u64::from(b)));
            w.salt = e.id.bytes().fold(e.ready_at, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
            (w.zone, w.kind, w.cell, w.state) = (e.zone, e.kind, e.cell, e.state);
            (w.listed_start, w.ready_at) = (e.ready_at, w.ready_at.max(e.ready_at));
            (w.size, w.warm, w.jobs) = (e.size, e.warm, e.jobs);
            w.listed = e.state == WorkerState::Ready;
        }
        if !fresh.is_empty() {
            self.m.by_id.extend(fresh);
            let workers = &self.m.workers;
            self.m.by_id.sort_by(|a, b| workers[a.0 as usize].id.cmp(&workers[b.0 as usize].id));
        }
        self.rebuild_script();
    }

    // ---- Probes and ticks.

    /// Time in which an idle worker answers a probe or tells of a start.
    fn prompt(&self) -> Micros {
        2 * self.s.resolution + (2.0 * self.probe_time) as Micros
    }

    fn tick_length(&self) -> Micros {
        let aim = self.s.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        (aim / 4).clamp(20_000, 100_000)
    }

    fn on_probed(&mut self, now: Micros, e: Probed, out: &mut Vec<Action>) {
        let Probed { worker, status, latency, report } = e;
        let awake = self.m.awake;
        let w = self.wm(worker);
        w.probe_out = false;
        if status == Status::Ok {
            w.heard = now;
            // Prevents: a worker that was down and is back before the list tells is taken for warm and pushed
            // over. Also holds for a cut link, where it costs the use of workers that never stopped.
            if w.bad_until.take().is_some() && w.strikes > 0 {
                w.trial = true;
                w.ready_at = w.ready_at.max(w.down_at);
            }
            self.probe_time += 0.1 * (latency as f64 - self.probe_time);
            if let Some(report) = report {
                self.on_report(now, worker, report);
            }
        } else if status == Status::Full {
            // Prevents: a worker that only answers no more probes at once counts as dead.
            self.wm(worker).heard = now;
        } else if w.bad_until.is_some() || w.probe_at >= awake {
            // Prevents: a worker that did not answer a probe is sent the next job all the same.
            w.down_at = now;
            self.condemn(now, worker);
        }
        self.serve_held(now, out);
    }

    fn probe(&mut self, now: Micros, worker: WorkerId, out: &mut Vec<Action>) {
        let w = self.wm(worker);
        w.probe_out = true;
        w.probe_at = now;
        out.push(Action::Probe { worker });
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.m.ask_at.is_some_and(|at| now >= at) {
            self.m.ask_at = None;
            out.push(Action::Subscribe);
        }
        let (silence, probes, awake) = ((SILENCE * self.mean_run) as Micros, self.s.probes, self.m.awake);
        let mut watched = std::mem::take(&mut self.m.watched);
        watched.retain(|&id| {
            let w = self.wm(id);
            w.watched = w.listed && (w.own_count > 0 || w.bad_until.is_some());
            let due = match w.bad_until {
                Some(at) => now >= at,
                None => {
                    w.own_count > 0 && w.heard.max(awake) + silence <= now && w.probe_at + silence / 2 <= now
                }
            };
            if w.watched && due && !w.probe_out {
                w.trial |= !probes && w.bad_until.take().is_some();
                if probes {
                    self.probe(now, id, out);
                }
            }
            self.w(id).watched
        });
        self.m.watched = watched;
        self.refresh(now, out);
        self.find_overdue(now);
        self.send_copies(now, out);
        self.serve_held(now, out);
    }

    /// Prevents: nothing is known of workers beyond the heads. One probe a request goes round the first tag;
    /// none where instances outnumber workers: there all would go to the few that old news shows empty.
    fn refresh(&mut self, now: Micros, out: &mut Vec<Action>) {
        let n = self.tags.first().map_or(0, |t| t.script.len());
        let each = (self.gap * n as f64).max(500_000.0) as Micros;
        if self.asks() {
            self.m.round.fill(now, self.gap, n, self.s.instances);
        }
        for _ in 0..n.min(REFRESHED_A_TICK) {
            self.m.refresh_at = (self.m.refresh_at + 1) % n;
            let (_, id) = self.tags[0].script[self.m.refresh_at];
            let w = self.w(id);
            let due = w.report_at + each <= now && w.probe_at + each <= now;
            if due && !w.probe_out && w.bad_until.is_none() && self.m.round.take() {
                self.probe(now, id, out);
            }
        }
    }

    /// Prevents: a lost answer keeps its slots for ever, and a worker whose answers get lost is cleared by
    /// probes that it does answer. Where no progress is told, nothing is overdue.
    fn find_overdue(&mut self, now: Micros) {
        let (mut found, every) = (Vec::new(), self.s.progress_every);
        for r in self.m.requests.values_mut().filter(|_| every > 0) {
            // Without hint or start note a silent job may as well wait in a queue.
            let usual =
                r.work.map_or(if self.s.tells_start { every } else { 3 * every }, |w| every.min(2 * w));
            let patience = usual + self.s.classes[r.class.0].aim;
            for a in r.attempts.iter_mut().filter(|a| a.fate == Fate::Out && !a.overdue) {
                a.overdue = now > a.heard.max(self.m.awake) + patience;
                if a.overdue {
                    found.push((*a, r.slots, r.memory));
                }
            }
        }
        for (a, slots, memory) in found {
            self.free(now, a.worker, a.sent, slots, memory);
            let tick = self.tick_length();
            let w = self.wm(a.worker);
            w.trial |= w.answered < a.sent;
            // The worker was heard of since: it was the connection. Trust none that lies unused as long.
            let connection = w.heard > a.sent && !a.started && a.idle > 2 * tick;
            if self.s.tells_start && connection {
                let known = if now < self.m.idle_limit_until { self.m.idle_limit } else { Micros::MAX };
                self.m.idle_limit = known.min(a.idle / 4 * 3);
                self.m.idle_limit_until = now + IDLE_LIMIT_HOLDS;
            }
        }
        if now >= self.m.idle_limit_until {
            self.m.idle_limit = 0;
        }
    }

    /// A job has started: what still waits for it elsewhere is called off.
    fn call_off_others(&mut self, id: RequestId, started: usize, out: &mut Vec<Action>) {
        let Some(r) = self.m.requests.get(&id).filter(|_| self.s.cancel) else { return };
        for (n, a) in r.attempts.iter().enumerate() {
            if n != started && a.fate == Fate::Out && !a.started {
                out.push(Action::Cancel { request: id, attempt: n });
            }
        }
    }

    /// Prevents: a safe job is lost with the worker that hangs or died silently, or waits in a queue that old
    /// reports did not show while another worker is free.
    fn send_copies(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.s.second_copies {
            return;
        }
        let moves = self.s.tells_start && self.s.cancel;
        let unstarted = |a: &Attempt| a.fate == Fate::Out && !a.started;
        self.m.waiting_start = moves && self.m.requests.values().any(|r| r.attempts.iter().any(unstarted));
        let (prompt, mut late) = (self.prompt(), Vec::new());
        for (&id, r) in self.m.requests.iter().filter(|(_, r)| !r.answered) {
            let mut open = r.attempts.iter().filter(|a| a.fate == Fate::Out);
            let (Some(a), None) = (open.next(), open.next()) else { continue };
            let waits = moves && !a.started && now >= a.sent.max(self.m.awake) + prompt;
            if waits || a.overdue || self.w(a.worker).bad_until.is_some() {
                late.push(id);
            }
        }
        for id in late {
            self.place(now, id, false, out);
        }
    }
}
