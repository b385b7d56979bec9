//! Timers. The host keeps the next one only: whenever it changes, the host is told.

use crate::{AttemptId, Core, Effect};
use pumiceway_decisions::api::{self, RequestId, Timestamp};
use std::collections::BTreeSet;

/// What is due. Timers of the same time fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt is no longer waited for.
    AttemptTimeout(AttemptId),
    /// A response is owed at once.
    RequestDeadline(RequestId),
    /// The decisions have asked for it.
    Balancer,
    /// The frontends are to close.
    CloseFrontends,
    /// A lease may have ended.
    Lease,
    /// The process reports that it is ready even without an endpoint list.
    ReadyWithoutList,
}

/// All timers that are set.
#[derive(Default)]
pub(super) struct Timers {
    entries: BTreeSet<(Timestamp, Timer)>,
    /// The timer of the decisions, of which there is one at most.
    balancer_at: Option<Timestamp>,
    /// The timer of the leases, likewise.
    lease_at: Option<Timestamp>,
    /// The timer that the host keeps.
    armed_at: Option<Timestamp>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.entries.insert((at, timer));
    }

    pub(super) fn cancel(&mut self, at: Timestamp, timer: Timer) {
        self.entries.remove(&(at, timer));
    }

    /// Sets the timer of the decisions, in place of any earlier one.
    pub(super) fn set_balancer(&mut self, at: Timestamp) {
        if let Some(earlier) = self.balancer_at.replace(at) {
            self.cancel(earlier, Timer::Balancer);
        }
        self.set(at, Timer::Balancer);
    }

    /// Sets the timer of the leases unless one is set; a lease that is renewed meanwhile is looked
    /// at again then.
    pub(super) fn set_lease_unless_set(&mut self, at: Option<Timestamp>) {
        if self.lease_at.is_none() {
            self.lease_at = at;
            self.entries.extend(at.map(|at| (at, Timer::Lease)));
        }
    }

    /// The timer of the host has fired, so it is no longer set.
    fn disarm(&mut self) {
        self.armed_at = None;
    }

    /// Takes the next timer that is due.
    fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, timer) = *self.entries.first().filter(|(at, _)| *at <= now)?;
        self.entries.remove(&(at, timer));
        match timer {
            Timer::Balancer => self.balancer_at = None,
            Timer::Lease => self.lease_at = None,
            _ => {}
        }
        Some(timer)
    }

    /// Has the host set its timer, if the next one has changed.
    pub(super) fn arm(&mut self, effects: &mut Vec<Effect>) {
        let next = self.entries.first().map(|(at, _)| *at);
        if let Some(at) = next.filter(|_| next != self.armed_at) {
            effects.push(Effect::SetTimer { at });
        }
        self.armed_at = next;
    }
}

impl Core {
    pub(super) fn on_timer_fired(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.timers.disarm();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::AttemptTimeout(attempt) => self.on_attempt_timeout(now, attempt, effects),
                Timer::RequestDeadline(request) => self.on_request_deadline(now, request, effects),
                Timer::Balancer => self.notify_balancer(api::Event::TimerFired),
                Timer::CloseFrontends => self.close_frontends(effects),
                Timer::Lease => self.review_leases(now, effects),
                Timer::ReadyWithoutList => self.report_ready(effects),
            }
            self.run_balancer(now, effects);
        }
    }
}
