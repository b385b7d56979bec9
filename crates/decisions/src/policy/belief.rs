//! What is believed of workers and zones, from what they send and from their silence.

use super::Balancer;
use super::life::FULL_PAUSE;
use crate::api::*;
use crate::arith::catch_up;
use crate::state::*;

/// Where instances outnumber workers, a job that did not start at once and was called off closes its worker
/// as a `full` answer does; for twice as long with each further one in a row, so often at most.
const LATE_DOUBLINGS: u32 = 2;
/// First and longest wait before a worker that failed is tried again.
const RETRIAL: (Micros, Micros) = (250_000, 4_000_000);
/// Mean running times after which a report says little of the present.
const REPORT_LIVES: f64 = 3.0;
/// The pace of a worker is averaged over this time (µs); that of all by this step.
const PACE: f64 = 2_000_000.0;
const PACE_STEP: f64 = 0.05;
/// Used less than this, a worker has no pace to speak of. One that ends less than the second share of what
/// the mean worker ends for the same use runs jobs 2.5 times as long or longer, or others have its cores.
const IN_USE: f64 = 0.3;
const SLOW: f64 = 0.4;
/// What a prompt and a late start tell of the mean worker's use, at least; and the step to it.
const STARTS: (f64, f64, f64) = (0.3, 1.5, 0.2);
/// More errors than this share, and twice the others', tell of a worker; and the step to an answer.
const ERRORS: f64 = 0.1;
pub(super) const ERRORS_STEP: f64 = 0.2;
/// So many workers of a zone that do not answer, and none that has since, tell of the zone.
const SILENT: usize = 2;

impl Balancer {
    /// Whether a worker crawls beside the mean one.
    pub(super) fn slow(&self, w: &Worker) -> bool {
        w.health.busy > IN_USE
            && w.health.rate * self.m.health.busy < SLOW * self.m.health.rate * w.health.busy
    }

    /// Prevents: a worker that fails jobs at once always has room, and draws all jobs to itself. Jobs that
    /// are wrong fail wherever they go.
    pub(super) fn failing(&self, w: &Worker) -> bool {
        let all = || self.m.workers.iter().filter(|w| w.listed).map(|w| w.errors);
        let others = || (all().sum::<f64>() - w.errors) / (all().count() as f64 - 1.0);
        w.errors > ERRORS && w.errors > ERRORS + 2.0 * others()
    }

    /// Whether a whole zone seems lost.
    pub(super) fn dark(&self, zone: ZoneId) -> bool {
        let here = || self.m.workers.iter().filter(|w| w.listed && w.zone == zone);
        let heard = here().map(|w| w.heard).max().unwrap_or(0);
        here().filter(|w| w.bad_until.is_some() && w.down_at > heard).count() >= SILENT
    }

    pub(super) fn alive(&mut self, now: Micros, worker: WorkerId) {
        let w = self.m.wm(worker);
        (w.heard, w.answered, w.used) = (now, now, now);
        (w.trial, w.strikes, w.bad_until) = (false, 0, None);
    }

    /// Prevents: a slow or dropped connection counts as a dead worker. A probe, sent at once, tells more.
    pub(super) fn suspect(&mut self, now: Micros, worker: WorkerId, out: &mut Vec<Action>) {
        if !self.s.probes {
            return self.condemn(now, worker);
        }
        if self.m.w(worker).bad_until.is_none() {
            self.m.wm(worker).bad_until = Some(now);
            self.m.watch(worker);
            // Prevents: a worker that has left, and whose job broke with it, is asked for a sign of life.
            if self.m.w(worker).listed && !self.m.w(worker).probe_out {
                self.probe(now, worker, out);
            }
        }
    }

    pub(super) fn condemn(&mut self, now: Micros, worker: WorkerId) {
        let w = self.m.wm(worker);
        let wait = (RETRIAL.0 << w.strikes.min(8)).min(RETRIAL.1);
        w.strikes += 1;
        w.bad_until = Some(now + wait);
        self.m.watch(worker);
    }

    /// Prevents: a worker shows free slots that the head of its queue does not fit into. Each of many
    /// instances sends it jobs that wait behind that head, calls them off, and forgets what it has seen.
    pub(super) fn blocked(&mut self, now: Micros, worker: WorkerId) {
        if !self.s.tells_start || !self.thin() {
            return;
        }
        let w = self.m.wm(worker);
        let pause = FULL_PAUSE << w.late.min(LATE_DOUBLINGS);
        w.late += 1;
        w.full_until = w.full_until.max(now + self.rng.u64(pause * 3 / 4..=pause * 5 / 4));
    }

    /// A job of ours has told of its start, or of how far it is.
    pub(super) fn on_note(&mut self, now: Micros, e: Progress, out: &mut Vec<Action>) {
        let Progress { request, attempt, worker, note } = e;
        self.alive(now, worker);
        if note == Note::Started {
            self.on_start(now, request, attempt, worker);
            self.call_off_others(request, attempt, out);
        }
        self.m.hear(now, request, attempt);
    }

    /// Prevents: reports a second old send a stream of jobs to a worker whose queue our own last job is in.
    /// A start is news that is milliseconds old: at once means that others left room, late means a queue.
    fn on_start(&mut self, now: Micros, id: RequestId, attempt: usize, worker: WorkerId) {
        let prompt = self.prompt();
        let Some(r) = self.m.requests.get(&id) else { return };
        let Some(a) = r.attempts.get(attempt).filter(|a| a.fate == Fate::Out && !a.started) else { return };
        let room = self.slots_of(self.m.w(worker), r) - self.m.w(worker).own;
        let (sent, slots, zone, late) = (a.sent, r.slots, a.zone, a.late);
        if now <= sent + prompt && !late && self.unseen(self.m.w(worker)) {
            let mean = &mut self.m.mean_use[zone.0];
            mean.step(now, mean.share.min(STARTS.0), STARTS.2);
        }
        let w = self.m.wm(worker);
        w.unstarted.retain(|&at| at != sent);
        if now <= sent + prompt {
            w.late = 0;
            w.others = w.others.min(room.max(0.0));
        } else {
            w.others = w.others.max(room + slots);
        }
    }

    /// Prevents: where nobody may be asked, a burst fills the queues of all workers before the first answers,
    /// and reports with them, tell of it. A start that is late tells at once.
    pub(super) fn on_late_starts(&mut self, now: Micros) {
        let (tell, prompt) = (self.s.tells_start && self.unasked(), self.prompt());
        for zone in tell.then(|| self.m.late_starts(now, prompt)).into_iter().flatten() {
            let mean = &mut self.m.mean_use[zone.0];
            mean.step(now, mean.share.max(STARTS.1), STARTS.2);
        }
    }

    pub(super) fn on_report(&mut self, now: Micros, worker: WorkerId, report: Report) {
        let mean_slots = self.m.mean_slots;
        let trust = (-self.m.report_period / (REPORT_LIVES * self.m.mean_run)).exp();
        let cold = self.cold_age(now, self.m.w(worker)).is_some();
        let thin = self.thin();
        let kind = self.m.w(worker).kind;
        let (known, slots) = self.m.learn_slots(kind, report.free_slots);
        let w = &mut self.m.workers[worker.0 as usize];
        let apart = now.saturating_sub(w.report_at) as f64;
        if let (Some(rate), Some(busy)) = (report.rate, report.busy) {
            w.health.step(rate, busy, catch_up(apart, PACE));
            self.m.health.step(rate, busy, PACE_STEP);
        }
        let report = Report { rate: None, busy: None, ..report };
        w.note_report(now, report, &mut self.m.report_period);
        let weight = catch_up(apart, OTHERS_SMOOTHING);
        if let Some(free) = report.free_slots {
            // Prevents: free slots stop at 0, so a deep queue looks like a full worker about to be free.
            let held = report.in_flight.map_or(0.0, |n| n * mean_slots);
            let busy = (slots - free + report.waiting.unwrap_or(0.0)).max(held);
            let seen = (busy - w.own_average).max(0.0);
            let mean_use = &mut self.m.mean_use[w.zone.0];
            mean_use.step(now, (seen / slots.max(1.0)).min(2.0), 0.05);
            let mean = mean_use.share * slots;
            // Prevents: what a report showed before others took it is counted as room. What is as old as a
            // job tells of little but the mean. Not where instances outnumber workers: there a job that takes
            // a whole worker would never find one, and slots to spare make up for what has changed.
            let believed = match cold || thin {
                true => seen,
                false => mean + trust * (seen - mean),
            };
            w.others += if thin { 1.0 } else { weight } * (believed - w.others);
        }
        if let Some(free) = report.free_memory {
            w.others_memory += weight * ((slots - free - w.own_memory).max(0.0) - w.others_memory);
        }
        if !known {
            self.rebuild_script();
        }
    }
}
