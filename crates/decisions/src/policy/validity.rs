//! Validity: which workers the rules leave open to a request, and which of them would start it.

use super::Balancer;
use crate::api::*;
use crate::rules::{self, Permission};
use crate::state::*;

/// Belief about others' use of a worker fades to the fleet's mean over this time.
pub(super) const FADES: f64 = 2_000_000.0;
/// A job may lack so much of a slot of what is believed free: belief is a mean, and slots come whole.
const NEARLY: f64 = 0.5;
/// Known by the mean alone, a worker in use to this share counts as full: the mean names none that has room.
const HALF: f64 = 0.5;
/// A worker back from failure is left to safe requests, unless none has come for this long.
const TRIAL_OF_SAFE: Micros = 10_000_000;

impl Balancer {
    /// What the rules permit for a request.
    pub(super) fn permission(&self, now: Micros, r: &Request) -> Permission {
        rules::permission(now, &self.s, r.class, r.attempts.iter().map(Attempt::facts))
    }

    /// Whether a worker may be sent this request at all, however full it is.
    pub(super) fn able(&self, now: Micros, id: WorkerId, r: &Request, permission: &Permission) -> bool {
        let w = self.m.w(id);
        let unsafe_now =
            || self.s.classes[r.class.0].effect != Effect::Safe && now < self.m.last_safe + TRIAL_OF_SAFE;
        w.state == WorkerState::Ready
            && w.bad_until.is_none()
            && now >= w.full_until
            && permission.send_to(w.zone, w.cell).is_ok()
            && !((w.trial || self.failing(w)) && (w.own_count > 0 || unsafe_now()))
            && !r.attempts.iter().any(|a| a.worker == id && a.fate != Fate::NeverRan)
            && self.cold_room(now, w, r)
    }

    pub(super) fn slots_of(&self, w: &Worker, r: &Request) -> f64 {
        match self.m.kind_slots[w.kind.0] {
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
        let unseen = self.unseen(w);
        let blind = w.report_at == 0 && !unseen && (!self.asks() || self.unreported(w));
        let empty = blind || self.cold_age(now, w).is_some();
        let mean = self.m.mean_use[w.zone.0];
        let mean = match empty {
            true => 0.0,
            // Prevents: a fleet that was full is taken for full for good, as nothing is sent that would tell.
            false if unseen => (total - NEARLY) * mean.share / HALF * mean.fade(now, FADES),
            false => total * mean.share,
        };
        let age = now.saturating_sub(w.report_at) as f64;
        mean + (w.others - mean) * (-age / FADES).exp()
    }

    /// Where nobody may be asked and instances outnumber workers, most are known by the mean of those that
    /// reported. Prevents: each worker that has not reported to us is taken for empty, and a burst finds so
    /// many of them that it fills all their queues.
    pub(super) fn unseen(&self, w: &Worker) -> bool {
        self.unasked() && self.m.kind_slots[w.kind.0] > 0.0
    }

    /// Prevents: until the first reports come, all that a large fleet is handed is held and then refused.
    pub(super) fn unreported(&self, w: &Worker) -> bool {
        self.thin() && self.m.kind_slots[w.kind.0] == 0.0
    }

    /// A named block's test: it would start now, and leave so many slots free where the worker has as many.
    pub(super) fn starts_now(&self, now: Micros, w: &Worker, r: &Request, spare: f64) -> bool {
        // Prevents: a job too large for any worker's slots is never sent to those that take jobs one by one.
        if let Some(jobs) = w.jobs {
            return w.own_count < jobs as usize;
        }
        let spare = spare.min(self.slots_of(w, r) - r.slots).max(0.0);
        !self.has_queue(now, w) && self.room(now, w, r) >= spare - NEARLY
    }

    /// A job of ours should have told of its start by now.
    fn has_queue(&self, now: Micros, w: &Worker) -> bool {
        w.unstarted.first().is_some_and(|&sent| now > sent.max(self.m.awake) + self.prompt())
    }

    /// The followup's looser test: it would start while that still meets the aim. For workers of whose slots
    /// nobody tells; and for a job of several slots that lacks less than one, while nothing worth more is
    /// held: so many are seldom free at once unless it waits for them at the head of a queue.
    pub(super) fn starts_soon(&self, now: Micros, w: &Worker, r: &Request) -> bool {
        let wait = -self.room(now, w, r) * self.m.mean_run / self.slots_of(w, r);
        let latest = self.latest_start(r) as f64 - self.s.classes[r.class.0].aim as f64 / 2.0;
        let large = r.slots > 1.0 && self.m.held.is_empty() && self.room(now, w, r) > -1.0;
        // Prevents: a job sent to a worker that keeps no queue is turned away, and closes it for a while.
        w.jobs.is_none()
            && (large || self.m.kind_slots[w.kind.0] == 0.0)
            && !self.has_queue(now, w)
            && now as f64 + wait <= latest
    }

    pub(super) fn expected_run(&self, r: &Request) -> f64 {
        r.work.map_or(self.m.classes[r.class.0].run, |w| w as f64)
    }
}
