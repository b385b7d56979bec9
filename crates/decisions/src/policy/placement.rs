//! Placement: the walk of the script, what is held, and in which order that goes.

use super::Balancer;
use super::validity::FADES;
use crate::api::*;
use crate::rules::Permission;
use crate::state::*;

/// Where instances outnumber workers, those first that keep so many slots free: others see the same report,
/// and while it is believed a worker of four slots starts about two jobs.
const SPARE: f64 = 2.0;
/// Probes that are sent for one request before it is placed on belief alone.
const PROBES_FOR_ONE: u32 = 4;
/// Reports refreshed within this share of a mean running time tell of the present.
const LIVELY: f64 = 0.33;
/// News of a worker is taken as fresh for this share of a mean running time.
const FRESH: f64 = 0.25;
/// The rate of a tenant is taken over this time.
const TENANT_RATE: f64 = 2_000_000.0;

/// What the walk of the script found.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Choice {
    Send(WorkerId),
    /// The first valid worker, which we have no fresh news of.
    Ask(WorkerId),
    /// An answer of its own is awaited.
    Wait,
    Nobody,
}

impl Balancer {
    fn choose(&self, now: Micros, r: &Request, permission: &Permission, last: bool) -> Choice {
        let (thin, asks) = (self.thin(), self.asks());
        // Prevents: all attempts of a job go to workers of a lost home zone, one after the other.
        let dark = thin && self.s.my_zone.is_some_and(|zone| self.dark(zone));
        // Prevents: a job pays for a crossing just before home frees a slot.
        let aim = self.s.classes[r.class.0].aim as f64;
        let cross = dark || now as f64 >= r.start as f64 + aim * self.s.prices.cross_zone.min(0.5);
        let lively = asks && self.m.report_period < LIVELY * self.m.mean_run;
        let fresh = now.saturating_sub((FRESH * self.m.mean_run) as Micros);
        let walk = self.walk(now, r, cross, dark);
        let spares = if thin { &[SPARE, 0.0][..] } else { &[0.0] };
        for (&spare, &(_, id)) in spares.iter().flat_map(|s| walk.iter().map(move |at| (s, at))) {
            let w = self.m.w(id);
            // Prevents: when the fleet is full on the mean, workers nobody has heard of are never found free.
            // Only where reports are younger than jobs: older ones show room that others have taken since.
            let unknown = lively && now as f64 > w.report_at as f64 + FADES;
            let valid = self.starts_now(now, w, r, spare);
            if !valid && !unknown || !self.able(now, id, r, permission) {
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
            } else if r.probes < PROBES_FOR_ONE && self.m.probe_credit >= 1.0 {
                return Choice::Ask(id);
            } else if valid {
                return Choice::Send(id);
            }
        }
        // The followup is seldom open. Prevents: jobs that may wait long fill the queues of all workers, and
        // those that may not, though worth more for a slot's time, never meet a free slot. What finds no room
        // is held, and refused when it is too late to start.
        let soon = |w| self.able(now, w, r, permission) && self.starts_soon(now, self.m.w(w), r);
        let all = self.tags[r.class.0].script.iter().map(|&(_, w)| w);
        all.filter(|_| last && cross && !thin).find(|&w| soon(w)).map_or(Choice::Nobody, Choice::Send)
    }

    /// Tries to send; anything but `Send` leaves the request where it is.
    pub(super) fn place(&mut self, now: Micros, id: RequestId, last: bool, out: &mut Vec<Action>) -> Choice {
        let r = &self.m.requests[&id];
        let permission = self.permission(now, r);
        if permission.send.is_err() || now >= r.deadline {
            return Choice::Wait;
        }
        let choice = self.choose(now, r, &permission, last);
        match choice {
            Choice::Ask(worker) => {
                self.m.probe_credit -= 1.0;
                self.m.requests.entry(id).and_modify(|r| r.probes += 1);
                self.probe(now, worker, out);
            }
            Choice::Send(worker) => {
                self.m.waiting_start |= self.s.tells_start;
                self.spend_cold(now, worker, id);
                let idle = self.m.book(now, id, worker, self.s.tells_start);
                // Prevents: a job is sent on a connection that was dropped unseen while it lay unused.
                let limit = self.m.idle_limit;
                if limit > 0 && idle >= Some(limit) && self.m.w(worker).own_count == 1 {
                    out.push(Action::Disconnect { worker });
                }
                out.push(Action::Send { request: id, worker, timeout: None });
            }
            Choice::Wait | Choice::Nobody => {}
        }
        choice
    }

    /// Latest start that probably still meets the aim.
    pub(super) fn latest_start(&self, r: &Request) -> Micros {
        let class = &self.s.classes[r.class.0];
        let last = r.deadline.saturating_sub(2 * self.tick_length());
        if let Some(wait) = class.wait {
            // Prevents: a wrong belief refuses what has most of its time left.
            let run = if self.m.classes[r.class.0].served > 0 { self.expected_run(r) as Micros } else { 0 };
            return (r.start + wait).min(last.saturating_sub(run.min(class.deadline / 2)));
        }
        // Prevents: waits that swell the learnt running time swell the waits we allow. Hence the bound.
        let slack = (0.5 * (class.stretch - 1.2).max(0.0) * self.expected_run(r)).min(class.aim as f64);
        (r.start + class.aim + slack as Micros).min(last)
    }

    /// Worth for a slot's time.
    fn value(&self, r: &Request) -> f64 {
        r.worth / (r.slots * r.work.map_or(self.m.classes[r.class.0].run, |_| 1.0))
    }

    /// What part of its worth a request of this tenant keeps: which ones are beyond its share nobody here can
    /// tell, only how many. Prevents: the flood of one tenant takes the slots of all others.
    pub(super) fn share(&mut self, now: Micros, tenant: Option<TenantId>) -> f64 {
        let over = self.s.over_share_worth;
        let Some(TenantId(t)) = tenant else { return if self.s.tenants.is_empty() { 1.0 } else { over } };
        let quota = self.s.tenants[t].quota / self.s.instances as f64;
        let inside = (quota / self.m.rate(now, t, TENANT_RATE)).min(1.0);
        inside + (1.0 - inside) * over
    }

    /// Places held requests, most worth for a slot's time first, and ends those that are too late.
    pub(super) fn serve_held(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.m.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.m.held);
        held.retain(|id| self.m.requests.get(id).is_some_and(|r| !r.answered));
        let value = |id: &RequestId| self.value(&self.m.requests[id]);
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
}
