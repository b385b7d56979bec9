//! Probes and ticks.

use super::Balancer;
use crate::api::*;

/// Silence, in mean running times, after which a worker with our work out is asked for a sign of life.
const SILENCE: f64 = 3.0;
/// Probes that requests have paid for which may be saved up.
pub(super) const SAVED: f64 = 8.0;
/// Workers looked at in a tick, whether they want a refreshing probe.
const REFRESHED_A_TICK: usize = 16;

impl Balancer {
    pub(super) fn on_probed(&mut self, now: Micros, e: Probed, out: &mut Vec<Action>) {
        let Probed { worker, status, latency, report } = e;
        let awake = self.m.awake;
        let w = self.m.wm(worker);
        w.probe_out = false;
        if status == Status::Ok {
            w.heard = now;
            // Prevents: a worker that was down and is back before the list tells is taken for warm and pushed
            // over. Also holds for a cut link, where it costs the use of workers that never stopped.
            if w.bad_until.take().is_some() && w.strikes > 0 {
                w.trial = true;
                w.ready_at = w.ready_at.max(w.down_at);
            }
            self.m.probe_time += 0.1 * (latency as f64 - self.m.probe_time);
            if let Some(report) = report {
                self.on_report(now, worker, report);
            }
        } else if status == Status::Full {
            // Prevents: a worker that only answers no more probes at once counts as dead.
            w.heard = now;
        } else if status != Status::Moot && (w.bad_until.is_some() || w.probe_at >= awake) {
            // Prevents: a worker that did not answer a probe is sent the next job all the same.
            w.down_at = now;
            self.condemn(now, worker);
        }
        self.serve_held(now, out);
    }

    pub(super) fn probe(&mut self, now: Micros, worker: WorkerId, out: &mut Vec<Action>) {
        let w = self.m.wm(worker);
        (w.probe_out, w.probe_at) = (true, now);
        out.push(Action::Probe { worker });
    }

    pub(super) fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.m.ask_at.is_some_and(|at| now >= at) {
            self.m.ask_at = None;
            out.push(Action::Subscribe);
        }
        let (silence, probes, awake) = ((SILENCE * self.m.mean_run) as Micros, self.s.probes, self.m.awake);
        let mut watched = std::mem::take(&mut self.m.watched);
        watched.retain(|&id| {
            let w = self.m.wm(id);
            w.watched = w.listed && (w.own_count > 0 || w.bad_until.is_some());
            let quiet = w.heard.max(awake) + silence <= now && w.probe_at + silence / 2 <= now;
            let due = w.bad_until.map_or(w.own_count > 0 && quiet, |at| now >= at);
            if w.watched && due && !w.probe_out {
                w.trial |= !probes && w.bad_until.take().is_some();
                if probes {
                    self.probe(now, id, out);
                }
            }
            self.m.w(id).watched
        });
        self.m.watched = watched;
        self.refresh(now, out);
        self.on_late_starts(now);
        self.find_overdue(now);
        self.send_copies(now, out);
        self.serve_held(now, out);
    }

    /// Prevents: nothing is known of workers beyond the heads. Probes go round the first tag, one for each
    /// request, and at first one for each worker: all that where there are three workers to an instance, in
    /// proportion less down to nothing where instances outnumber them: there all would go to the few that old
    /// news shows empty.
    fn refresh(&mut self, now: Micros, out: &mut Vec<Action>) {
        let n = self.tags.first().map_or(0, |t| t.script.len());
        if !self.asks() || n == 0 {
            return;
        }
        let each = (self.m.gap * n as f64).max(500_000.0) as Micros;
        let share = (1.5 * (1.0 - self.s.instances as f64 / n as f64)).clamp(0.0, 1.0);
        let most = share * n as f64;
        self.m.round += match self.m.round_at.replace(now) {
            Some(at) if share < 1.0 => now.saturating_sub(at) as f64 / self.m.gap.max(1.0) * share,
            _ => most,
        };
        self.m.round = self.m.round.min(most);
        for _ in 0..n.min(REFRESHED_A_TICK) {
            self.m.refresh_at = (self.m.refresh_at + 1) % n;
            let (_, id) = self.tags[0].script[self.m.refresh_at];
            let w = self.m.w(id);
            let due = w.report_at + each <= now && w.probe_at + each <= now;
            if due && !w.probe_out && w.bad_until.is_none() && self.m.round >= 1.0 {
                self.m.round -= 1.0;
                self.probe(now, id, out);
            }
        }
    }
}
