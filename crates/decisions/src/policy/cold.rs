//! Cold workers: what all instances may send is shared out by turns that each works out alone.

use super::Balancer;
use crate::api::*;
use crate::arith::golden;
use crate::state::*;

/// Turns in a tipping window. It slides, so it meets one more: all those together hand out the budget.
const TURNS: u64 = 2;
/// What hinted jobs are granted on a cold worker at a time, in mean jobs of the heaviest class.
const HINTED_GRANT: f64 = 2.0;
/// How much sooner than its aim a job should end on a worker as cold as the settings allow.
const MARGIN: f64 = 1.2;

impl Balancer {
    /// Prevents: a restarted worker that all instances find empty is sent so much that it falls over. What
    /// all may send in a window is shared out by turns, worked out alone from the worker's id and age.
    pub(super) fn cold_room(&self, now: Micros, w: &Worker, r: &Request) -> bool {
        let Some(age) = self.cold_age(now, w) else { return true };
        let warm = self.s.cold_from + (1.0 - self.s.cold_from) * age as f64 / self.s.cold_for as f64;
        // Prevents: a job meets a worker so weak that it misses its aim there even if it starts at once.
        let class = &self.s.classes[r.class.0];
        if warm * (class.stretch + class.aim as f64 / self.expected_run(r)) < MARGIN {
            return false;
        }
        let budget = self.s.tip_multiple * warm * self.slots_of(w, r) * self.s.fall_window as f64;
        // Prevents: heavy jobs count like light ones; and of jobs with hints there is always one small enough
        // for any instance's share. Hence one size of grant for all of those.
        let cost = self.cold_cost(w, r);
        let heaviest = self.m.classes.iter().map(|c| c.run).fold(0.0, f64::max);
        let grant = if r.work.is_some() { HINTED_GRANT * heaviest } else { cost };
        let grants = budget / (TURNS + 1) as f64 / grant;
        // Prevents: one job known to be very heavy pushes the worker over all by itself.
        if grants < 1.0 {
            return false;
        }
        let turn = self.cold_turn(age);
        // Spread evenly over instances however their numbers are dealt to zones.
        let turned = (w.salt ^ turn).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
        let place = (golden(self.s.me) + turned as f64 / (1u64 << 53) as f64).fract();
        let share = grants / self.s.instances as f64;
        let mine = share.floor() + f64::from(place < share.fract());
        let used = if w.cold_turn == turn { w.cold_used } else { 0.0 };
        used + cost <= mine * grant
    }

    /// Books what a job takes of our share, before it goes to a worker that may be cold.
    pub(super) fn spend_cold(&mut self, now: Micros, worker: WorkerId, id: RequestId) {
        let Some(age) = self.cold_age(now, self.m.w(worker)) else { return };
        let (cost, turn) = (self.cold_cost(self.m.w(worker), &self.m.requests[&id]), self.cold_turn(age));
        let w = self.m.wm(worker);
        w.cold_used = if w.cold_turn == turn { w.cold_used + cost } else { cost };
        w.cold_turn = turn;
    }

    /// Prevents: a slow machine is granted as many jobs as a fast one with as many slots.
    fn cold_cost(&self, w: &Worker, r: &Request) -> f64 {
        self.expected_run(r) * self.m.kind_pace[w.kind.0] * r.slots
    }

    /// Prevents: jobs held for a turn all go at once as it opens. Each instance's turns have their own start.
    fn cold_turn(&self, age: Micros) -> u64 {
        let length = (self.s.fall_window / TURNS).max(1);
        (age + length * self.s.me as u64 / self.s.instances as u64) / length
    }

    pub(super) fn cold_age(&self, now: Micros, w: &Worker) -> Option<Micros> {
        let age = now.saturating_sub(w.ready_at);
        let falls = self.s.tip_multiple > 0.0 && self.s.fall_window > 0;
        (falls && !w.warm && w.ready_at > 0 && age < self.s.cold_for).then_some(age)
    }
}
