//! The life of a request: from its coming to its final answer.

use super::Balancer;
use super::belief::ERRORS_STEP;
use super::placement::Choice;
use crate::api::*;
use crate::state::*;

/// Probes that one request pays for.
const PROBES_PER_REQUEST: f64 = 2.0;
/// A `full` answer closes a worker for this long.
pub(super) const FULL_PAUSE: Micros = 1_000_000;
/// How long a limit to unused connections, learnt from a lost job, is believed.
const IDLE_LIMIT_HOLDS: Micros = 20_000_000;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Micros, e: Incoming, out: &mut Vec<Action>) {
        let Incoming { request: id, class, left, slots, memory, work, tenant, key } = e;
        self.m.gap += 0.1 * (now.saturating_sub(self.m.last_request).min(1_000_000) as f64 - self.m.gap);
        self.m.last_request = now;
        self.m.probe_credit = (self.m.probe_credit + PROBES_PER_REQUEST).min(super::probes::SAVED);
        if self.s.classes[class.0].effect == Effect::Safe {
            self.m.last_safe = now;
        }
        self.m.mean_slots += LEARN * (slots - self.m.mean_slots);
        let belief = &mut self.m.classes[class.0];
        belief.most_left = belief.most_left.max(left);
        let (start, deadline) = (now.saturating_sub(belief.most_left - left), now + left);
        let worth = self.s.classes[class.0].worth * self.share(now, tenant);
        let (attempts, answered, probes) = (Vec::new(), false, 0);
        let r =
            Request { class, start, deadline, slots, memory, work, worth, key, attempts, answered, probes };
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

    pub(super) fn on_outcome(&mut self, now: Micros, e: Outcome, out: &mut Vec<Action>) {
        let Outcome { request: id, attempt, worker, status, latency, closed, report } = e;
        let Some(expected) = self.m.requests.get(&id).map(|r| self.expected_run(r).max(1.0)) else { return };
        let Some(r) = self.m.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.fate == Fate::Out) else { return };
        a.fate = if status.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (class, slots, memory) = (r.class.0, r.slots, r.memory);
        let (sent, overdue, waited) = (a.sent, a.overdue, !a.started);
        let ran = if a.started { now - a.began } else { latency };
        if !overdue {
            self.m.free(now, worker, sent, slots, memory);
        }
        if matches!(status, Status::Ok | Status::Error | Status::Full) {
            self.alive(now, worker);
            let errors = &mut self.m.wm(worker).errors;
            *errors += ERRORS_STEP * (f64::from(u8::from(status == Status::Error)) - *errors);
        }
        match status {
            Status::Ok => {
                let pace = &mut self.m.kind_pace[self.m.workers[worker.0 as usize].kind.0];
                // Prevents: a pace is learnt from a running time that was only guessed.
                if self.m.classes[class].served > 0 {
                    *pace += LEARN * (ran as f64 / expected - *pace);
                }
                self.m.learn(now, class, latency as f64, self.s.classes[class].wait.is_some());
            }
            Status::Full => self.m.wm(worker).full_until = now + FULL_PAUSE,
            Status::ConnectFailed | Status::Reset => self.suspect(now, worker, out),
            Status::Cancelled if waited && now > sent.max(self.m.awake) + self.prompt() => {
                self.blocked(now, worker);
            }
            Status::Error | Status::Timeout | Status::Cancelled | Status::Moot => {}
        }
        if let Some(report) = report {
            self.on_report(now, worker, report);
        }
        if closed || status == Status::Ok {
            self.close(id, out);
        } else {
            let r = &self.m.requests[&id];
            if !r.answered && !r.attempts.iter().any(|a| a.fate == Fate::Out) {
                if self.permission(now, r).send.is_err() || now >= r.deadline {
                    self.give_up(now, id, out);
                } else if !self.m.held.contains(&id) {
                    self.m.held.push(id);
                }
            }
        }
        self.m.forget(id);
        self.serve_held(now, out);
    }

    /// The final answer for a request that will not be served.
    pub(super) fn give_up(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        // Prevents: clients that were refused together come back together.
        let most = self.s.max_retry_after;
        let retry_after = self.s.retry_after.then(|| self.rng.u64(most / 2..=most));
        let Some(r) = self.m.requests.get(&id).filter(|r| !r.answered) else { return };
        out.push(match self.permission(now, r).refuse {
            true => Action::Refuse { request: id, retry_after },
            false => Action::Fail { request: id },
        });
        self.close(id, out);
    }

    /// The request has its final answer: call off what is still out.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.m.requests.get_mut(&id) else { return };
        let off = !std::mem::replace(&mut r.answered, true) && self.s.cancel;
        let open = r.attempts.iter().enumerate().filter(|(_, a)| off && a.fate == Fate::Out);
        out.extend(open.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        self.m.forget(id);
    }

    /// Prevents: a lost answer keeps its slots for ever, and a worker whose answers get lost is cleared by
    /// probes that it does answer. Where no progress is told, nothing is overdue.
    pub(super) fn find_overdue(&mut self, now: Micros) {
        let (mut found, every) = (Vec::new(), self.s.progress_every);
        for r in self.m.requests.values_mut().filter(|_| every > 0) {
            // Without hint or start note a silent job may as well wait in a queue.
            let unhinted = if self.s.tells_start { every } else { 3 * every };
            let patience = r.work.map_or(unhinted, |w| every.min(2 * w)) + self.s.classes[r.class.0].aim;
            for a in r.attempts.iter_mut().filter(|a| a.fate == Fate::Out && !a.overdue) {
                a.overdue = now > a.heard.max(self.m.awake) + patience;
                if a.overdue {
                    found.push((*a, r.slots, r.memory));
                }
            }
        }
        for (a, slots, memory) in found {
            self.m.free(now, a.worker, a.sent, slots, memory);
            let tick = self.tick_length();
            let w = self.m.wm(a.worker);
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
    pub(super) fn call_off_others(&mut self, id: RequestId, started: usize, out: &mut Vec<Action>) {
        let Some(r) = self.m.requests.get(&id).filter(|_| self.s.cancel) else { return };
        for (n, a) in r.attempts.iter().enumerate() {
            if n != started && a.fate == Fate::Out && !a.started {
                out.push(Action::Cancel { request: id, attempt: n });
            }
        }
    }

    /// Prevents: a safe job is lost with the worker that hangs or died silently, or waits in a queue that old
    /// reports did not show while another worker is free.
    pub(super) fn send_copies(&mut self, now: Micros, out: &mut Vec<Action>) {
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
            if waits || a.overdue || self.m.w(a.worker).bad_until.is_some() {
                late.push(id);
            }
        }
        for id in late {
            self.place(now, id, false, out);
        }
    }
}
