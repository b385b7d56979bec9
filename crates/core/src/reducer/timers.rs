//! Pending timers. The event loop keeps a single timer, for the earliest of them;
//! [`Effect::SetTimer`] moves it whenever the earliest one changes.

use crate::{AttemptId, Core, Effect};
use pumiceway_decisions::api::{self, RequestId, Timestamp};
use std::collections::BTreeSet;

/// The kinds of timers. Timers that are due at the same time fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A request must get its final response.
    RequestDeadline(RequestId),
    /// Requested by the balancer ([`Action::SetTimer`](api::Action::SetTimer)).
    Balancer,
    /// The frontends must close.
    CloseFrontends,
    /// A lease may have expired.
    Lease,
    /// The dispatcher reports that it is ready even without a confirmed endpoint list.
    ReadyWithoutList,
}

/// All pending timers.
#[derive(Default)]
pub(super) struct Timers {
    entries: BTreeSet<(Timestamp, Timer)>,
    /// When the balancer's timer fires; there is at most one.
    balancer_at: Option<Timestamp>,
    /// When the lease timer fires; there is at most one.
    lease_at: Option<Timestamp>,
    /// When the event loop's timer fires.
    armed_at: Option<Timestamp>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.entries.insert((at, timer));
    }

    pub(super) fn cancel(&mut self, at: Timestamp, timer: Timer) {
        self.entries.remove(&(at, timer));
    }

    /// Sets the balancer's timer, replacing any earlier one.
    pub(super) fn set_balancer(&mut self, at: Timestamp) {
        if let Some(earlier) = self.balancer_at.replace(at) {
            self.cancel(earlier, Timer::Balancer);
        }
        self.set(at, Timer::Balancer);
    }

    /// Sets the lease timer unless it is already set. If the lease is renewed before the timer
    /// fires, the timer finds nothing expired and is set again.
    pub(super) fn set_lease_if_unset(&mut self, at: Option<Timestamp>) {
        if self.lease_at.is_none() {
            self.lease_at = at;
            self.entries.extend(at.map(|at| (at, Timer::Lease)));
        }
    }

    /// Records that the event loop's timer has fired and is no longer set.
    fn disarm(&mut self) {
        self.armed_at = None;
    }

    /// Removes and returns the earliest timer if it is due.
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

    /// Has the event loop set its timer if the earliest pending timer has changed.
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
                Timer::Lease => self.refresh_leases(now, effects),
                Timer::ReadyWithoutList => self.report_ready(effects),
            }
            self.run_balancer(now, effects);
        }
    }
}
