//! The records that the decisions keep: plain data, sums and averages, no decision.

use crate::api::*;
use crate::arith::{catch_up, mix};
pub(crate) use crate::rules::{EarlierAttempt, Fate};
use std::collections::BTreeMap;

/// What a balancer remembers and believes.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) workers: Vec<Worker>,
    /// Every handle ever listed, in the order of ids.
    pub(crate) by_id: Vec<WorkerId>,
    /// Workers with our work out, or suspected; and where the round of refreshing probes stands.
    pub(crate) watched: Vec<WorkerId>,
    pub(crate) refresh_at: usize,
    /// Probes saved up for it, and up to when.
    pub(crate) round: f64,
    pub(crate) round_at: Option<Micros>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    /// For each tenant the rate of its requests here, and up to when.
    pub(crate) rates: Vec<(f64, Micros)>,
    pub(crate) last_request: Micros,
    /// When one that may be repeated last came.
    pub(crate) last_safe: Micros,
    /// How often a worker's report is refreshed, as repeats of it tell.
    pub(crate) report_period: f64,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_failures: u32,
    pub(crate) armed: Option<Micros>,
    /// When we last came back from standing still: what was silent before says nothing.
    pub(crate) awake: Micros,
    /// Connections unused for this long are not trusted until then; 0 for none.
    pub(crate) idle_limit: Micros,
    pub(crate) idle_limit_until: Micros,
    /// A job is out whose start is to be told yet.
    pub(crate) waiting_start: bool,
    pub(crate) classes: Vec<ClassBelief>,
    pub(crate) kind_slots: Vec<f64>,
    /// How much longer jobs run on a kind than was expected; without waits where starts are told.
    pub(crate) kind_pace: Vec<f64>,
    /// Mean running time and slots of what we send.
    pub(crate) mean_run: f64,
    pub(crate) mean_slots: f64,
    /// Time between requests, and how long an answered probe takes, smoothed.
    pub(crate) gap: f64,
    pub(crate) probe_time: f64,
    pub(crate) probe_credit: f64,
    /// What others use of the mean worker of each zone.
    pub(crate) mean_use: Vec<MeanUse>,
    /// The mean worker that reports.
    pub(crate) health: Health,
}

/// The workers open to a class in the order it tries them; the first `home` are the home-zone block.
#[derive(Default)]
pub(crate) struct Tag {
    /// Each with the number of its block.
    pub(crate) script: Vec<(u8, WorkerId)>,
    pub(crate) home: usize,
}

#[derive(Default)]
pub(crate) struct ClassBelief {
    pub(crate) run: f64,
    /// How many have been served: until one has, `run` is a guess.
    pub(crate) served: u32,
    /// What the first of them took together.
    pub(crate) first: f64,
    /// The longest time left that a request of this class came with: a first try's.
    pub(crate) most_left: Micros,
}

/// What is known of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// `None` before it is first listed.
    pub(crate) id: Option<String>,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: Option<u64>,
    pub(crate) size: f64,
    pub(crate) state: WorkerState,
    pub(crate) ready_at: Micros,
    pub(crate) listed: bool,
    pub(crate) warm: bool,
    /// Jobs that it takes at a time, where it keeps no queue.
    pub(crate) jobs: Option<u32>,
    /// In the list of watched workers.
    pub(crate) watched: bool,
    pub(crate) own: f64,
    pub(crate) own_memory: f64,
    pub(crate) own_count: usize,
    pub(crate) own_average: f64,
    pub(crate) own_at: Micros,
    pub(crate) others: f64,
    pub(crate) others_memory: f64,
    pub(crate) report_at: Micros,
    pub(crate) report: Report,
    /// What it ends for what it is in use.
    pub(crate) health: Health,
    pub(crate) full_until: Micros,
    /// Share of its answers that were errors, the latest most.
    pub(crate) errors: f64,
    /// Jobs in a row that it did not start at once, though it seemed to have room.
    pub(crate) late: u32,
    pub(crate) heard: Micros,
    /// When a job of ours last told or ended there, and when a connection was last used.
    pub(crate) answered: Micros,
    pub(crate) used: Micros,
    /// Failed: closed until then, when a probe asks again.
    pub(crate) bad_until: Option<Micros>,
    pub(crate) strikes: u32,
    /// When a probe last failed; and its last start as the list tells it.
    pub(crate) down_at: Micros,
    pub(crate) listed_start: Micros,
    /// Back from failure: one safe request at a time until it answers.
    pub(crate) trial: bool,
    pub(crate) probe_out: bool,
    pub(crate) probe_at: Micros,
    /// The same at every instance: shares out the turns; and its place for keys, of its id alone.
    pub(crate) salt: u64,
    pub(crate) place: u64,
    /// The last turn in which we sent to it while cold, and how much work.
    pub(crate) cold_turn: u64,
    pub(crate) cold_used: f64,
    /// When our jobs went there that have not told of their start, where workers tell.
    pub(crate) unstarted: Vec<Micros>,
}

/// A kind's slots are the mean of reports with this share of them free; the step to a report, and to one that
/// has a lot more.
const NEARLY_FREE: f64 = 0.85;
const SLOTS_STEP: f64 = 0.1;
const MORE_SLOTS: (f64, f64) = (1.4, 0.3);
/// Weight of a new sample in the running means; and how many first ones are averaged instead.
pub(crate) const LEARN: f64 = 0.03;
const FIRST: u32 = 30;
/// Others' use of a worker is averaged over this time: one job's length would chase noise.
pub(crate) const OTHERS_SMOOTHING: f64 = 1_000_000.0;

/// One request until it is over.
pub(crate) struct Request {
    pub(crate) class: ClassId,
    /// When the client first asked, as far as the time left tells.
    pub(crate) start: Micros,
    pub(crate) deadline: Micros,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    pub(crate) work: Option<Micros>,
    /// What answering it in time is worth, as far as its tenant's share goes.
    pub(crate) worth: f64,
    pub(crate) key: Option<u64>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// Probes sent for it.
    pub(crate) probes: u32,
}

/// One send of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// Where the worker was then: who knows a repeat of it.
    pub(crate) zone: ZoneId,
    pub(crate) cell: Option<u64>,
    pub(crate) sent: Micros,
    pub(crate) fate: Fate,
    pub(crate) started: bool,
    /// When it told of its start, once it has.
    pub(crate) began: Micros,
    /// When it was last heard of; and whether its slots were freed, its answer being overdue.
    pub(crate) heard: Micros,
    pub(crate) overdue: bool,
    /// Whether its start was told late, or not yet though it should have been.
    pub(crate) late: bool,
    /// How long our connections to the worker had been unused when it was sent.
    pub(crate) idle: Micros,
}

impl Attempt {
    /// What the rules look at.
    pub(crate) fn facts(&self) -> EarlierAttempt {
        let Attempt { worker: endpoint, zone, cell, sent, fate, .. } = *self;
        EarlierAttempt { endpoint, zone, cell, sent, fate }
    }
}

impl Worker {
    /// Books a report, and how often reports are refreshed: one that comes again unchanged has not been since.
    pub(crate) fn note_report(&mut self, now: Micros, report: Report, period: &mut f64) {
        let apart = now.saturating_sub(self.report_at) as f64;
        if self.report == report && 2.0 * apart > *period {
            *period += 0.5 * (2.0 * apart - *period);
        } else if self.report != report && apart < *period {
            *period -= 0.2 * (*period - apart);
        }
        (self.report, self.report_at) = (report, now);
        self.note_own(now);
    }

    /// Brings the average of our own slots up to now.
    pub(crate) fn note_own(&mut self, now: Micros) {
        let weight = catch_up(now.saturating_sub(self.own_at) as f64, OTHERS_SMOOTHING);
        self.own_average += weight * (self.own - self.own_average);
        self.own_at = now;
    }
}

impl Memory {
    /// Before anything was seen; probes saved up for requests to come.
    pub(crate) fn new(settings: &Settings, probe_credit: f64) -> Memory {
        let guess = |c: &Class| ClassBelief { run: c.aim.max(1) as f64, ..ClassBelief::default() };
        let classes: Vec<_> = settings.classes.iter().map(guess).collect();
        Memory {
            mean_run: classes.iter().map(|c| c.run).sum::<f64>() / classes.len() as f64,
            classes,
            kind_slots: vec![0.0; settings.kinds],
            kind_pace: vec![1.0; settings.kinds],
            mean_slots: 1.0,
            gap: 1_000_000.0,
            probe_time: 10_000.0,
            probe_credit,
            mean_use: vec![MeanUse { share: 0.5, at: 0 }; settings.zones.max(1)],
            rates: vec![(0.0, 0); settings.tenants.len()],
            ..Memory::default()
        }
    }

    /// Requests a second of a tenant, this one included, averaged over this time (µs).
    pub(crate) fn rate(&mut self, now: Micros, tenant: usize, over: f64) -> f64 {
        let (rate, at) = &mut self.rates[tenant];
        *rate = *rate * (-(now.saturating_sub(*at) as f64) / over).exp() + 1e6 / over;
        *at = now;
        *rate
    }

    /// Prevents: a guess that is far off is believed for hundreds of requests. Of the first ones the short
    /// have ended, so those still out count with the time they have taken: total time over those ended. Not where jobs
    /// wait for as long as the aim is believed to be met: there the aim is a fair guess, and the simulator loses 0.04.
    pub(crate) fn learn(&mut self, now: Micros, class: usize, latency: f64, waits: bool) {
        let out = |r: &Request| -> Micros {
            let open = r.attempts.iter().filter(|a| a.fate == Fate::Out);
            open.map(|a| now.saturating_sub(a.sent)).sum()
        };
        let belief = &mut self.classes[class];
        belief.served = belief.served.saturating_add(1);
        belief.run += LEARN * (latency - belief.run);
        self.mean_run += LEARN * (latency - self.mean_run);
        belief.first += latency;
        if waits && belief.served <= FIRST {
            let open: Micros = self.requests.values().filter(|r| r.class.0 == class).map(out).sum();
            belief.run = (belief.first + open as f64) / f64::from(belief.served);
        }
        let served = |c: &ClassBelief| f64::from(c.served);
        let all: f64 = self.classes.iter().map(served).sum();
        if waits && all <= f64::from(FIRST) {
            self.mean_run = self.classes.iter().map(|c| c.run * served(c)).sum::<f64>() / all;
        }
    }

    /// Takes in what a report says of the slots of its kind; tells whether they were known, and what they are now.
    /// Prevents: one noisy report of many makes every worker of its kind look larger than it is, for good.
    pub(crate) fn learn_slots(&mut self, kind: KindId, free: Option<f64>) -> (bool, f64) {
        let slots = &mut self.kind_slots[kind.0];
        let known = *slots > 0.0;
        match free {
            Some(free) if !known => *slots = free,
            Some(free) if free > MORE_SLOTS.0 * *slots => *slots += MORE_SLOTS.1 * (free - *slots),
            Some(free) if free > NEARLY_FREE * *slots => *slots += SLOTS_STEP * (free - *slots),
            _ => {}
        }
        (known, *slots)
    }

    /// Zones of the jobs that should have told of their start by now and have not, each told once.
    pub(crate) fn late_starts(&mut self, now: Micros, prompt: Micros) -> Vec<ZoneId> {
        let awake = self.awake;
        let attempts = self.requests.values_mut().flat_map(|r| &mut r.attempts);
        let waits = |a: &&mut Attempt| a.fate == Fate::Out && !a.started && !a.late;
        let late = attempts.filter(waits).filter(|a| now > a.sent.max(awake) + prompt);
        let tell = |a: &mut Attempt| {
            a.late = true;
            a.zone
        };
        late.map(tell).collect()
    }

    /// Books that an attempt, which has started, was heard of.
    pub(crate) fn hear(&mut self, now: Micros, id: RequestId, attempt: usize) {
        if let Some(a) = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt)) {
            if !a.started {
                a.began = now;
            }
            (a.started, a.heard) = (true, now);
        }
    }

    pub(crate) fn w(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    pub(crate) fn wm(&mut self, id: WorkerId) -> &mut Worker {
        &mut self.workers[id.0 as usize]
    }

    /// Takes it among those that ticks look after.
    pub(crate) fn watch(&mut self, id: WorkerId) {
        if !std::mem::replace(&mut self.wm(id).watched, true) {
            self.watched.push(id);
        }
    }

    /// Books an attempt that goes out, and how long connections to its worker had been unused.
    pub(crate) fn book(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        tells: bool,
    ) -> Option<Micros> {
        let r = self.requests.get_mut(&id)?;
        let w = &mut self.workers[worker.0 as usize];
        w.note_own(now);
        w.own += r.slots;
        w.own_memory += r.memory;
        w.own_count += 1;
        if tells {
            w.unstarted.push(now);
        }
        let idle = now.saturating_sub(w.used);
        w.used = now;
        r.attempts.push(Attempt {
            worker,
            zone: w.zone,
            cell: w.cell,
            sent: now,
            fate: Fate::Out,
            started: false,
            began: now,
            heard: now,
            overdue: false,
            late: false,
            idle,
        });
        self.watch(worker);
        Some(idle)
    }

    /// Books that the slots of an attempt sent then are free.
    pub(crate) fn free(&mut self, now: Micros, worker: WorkerId, sent: Micros, slots: f64, memory: f64) {
        let w = self.wm(worker);
        w.unstarted.retain(|&at| at != sent);
        w.note_own(now);
        w.own = (w.own - slots).max(0.0);
        w.own_memory = (w.own_memory - memory).max(0.0);
        w.own_count = w.own_count.saturating_sub(1);
    }

    /// Drops a request that has its answer and no attempt out.
    pub(crate) fn forget(&mut self, id: RequestId) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|a| a.fate != Fate::Out);
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
            self.held.retain(|h| *h != id);
        }
    }

    /// Takes in lines of the worker list; a worker that has started anew keeps only what of ours is out there, and one
    /// that has taken another's handle over has nothing of it.
    pub(crate) fn merge(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Whole | ListKind::Bootstrap) {
            for w in &mut self.workers {
                (w.listed, w.state) = (false, WorkerState::Gone);
            }
        }
        let mut renamed = false;
        for e in entries {
            let at = e.worker.0 as usize;
            let new = || Worker { own_at: now, heard: now, ..Worker::default() };
            self.workers.resize_with(self.workers.len().max(at + 1), new);
            let w = &mut self.workers[at];
            if w.id.as_deref() != Some(e.id) {
                renamed = true;
                if w.id.is_none() {
                    self.by_id.push(e.worker);
                }
                // It stays among those that ticks look after until the next one.
                *w = Worker { id: Some(e.id.to_string()), watched: w.watched, ..new() };
            }
            if w.listed_start != e.ready_at && e.ready_at > 0 {
                let old = std::mem::replace(w, new());
                (w.id, w.own, w.own_memory, w.own_count) = (old.id, old.own, old.own_memory, old.own_count);
                (w.unstarted, w.watched, w.probe_out) = (old.unstarted, old.watched, old.probe_out);
                (w.probe_at, w.used) = (old.probe_at, old.used);
            }
            w.place = e.id.bytes().fold(0, |h, b| mix(h ^ u64::from(b)));
            w.salt = e.id.bytes().fold(e.ready_at, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
            (w.zone, w.kind, w.cell, w.state) = (e.zone, e.kind, e.cell, e.state);
            (w.listed_start, w.ready_at) = (e.ready_at, w.ready_at.max(e.ready_at));
            (w.size, w.warm, w.jobs) = (e.size, e.warm, e.jobs);
            w.listed = e.state == WorkerState::Ready;
        }
        if renamed {
            let workers = &self.workers;
            self.by_id.sort_by(|a, b| workers[a.0 as usize].id.cmp(&workers[b.0 as usize].id));
        }
    }
}

/// Share of its slots that others use of the mean worker, and when anything last told of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanUse {
    pub(crate) share: f64,
    pub(crate) at: Micros,
}

impl MeanUse {
    pub(crate) fn step(&mut self, now: Micros, seen: f64, weight: f64) {
        self.share += weight * (seen - self.share);
        self.at = now;
    }

    /// What is left of it by now, where nothing has told of it since, and it fades over this time (µs).
    pub(crate) fn fade(&self, now: Micros, over: f64) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / over).exp()
    }
}

/// Jobs ended a second, and the share of the cores in use, on the mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    pub(crate) rate: f64,
    pub(crate) busy: f64,
}

impl Health {
    pub(crate) fn step(&mut self, rate: f64, busy: f64, weight: f64) {
        self.rate += weight * (rate - self.rate);
        self.busy += weight * (busy - self.busy);
    }
}
