//! The shutdown, from the signal to the exit.
//!
//! The signal is SIGTERM or SIGINT. Some time after it, the supervisor may kill the process with
//! SIGKILL; how long after depends on the longest deadline of all classes. The schedule ends before
//! SIGKILL. If the longest deadline is 3 s or more:
//!
//! | time after the signal | what happens |
//! | --- | --- |
//! | 0 s | the shutdown starts; requests are still accepted and served, as clients may not know of it yet |
//! | 0.6 s | requests that arrive from now on get their response within the schedule, even if their deadline is later |
//! | 2.0 s | the frontends close: no new connections, and idle ones are closed |
//! | 3.4 s | all requests that arrived after 0.6 s have got their responses, those that are still incomplete too |
//! | 3.7 s | earliest SIGKILL |
//!
//! The process exits as soon as the frontends are closed and no client waits for a response.

use super::timers::Timer;
use crate::{Core, Effect};
use pumiceway_decisions::api::{Settings, Timestamp};
use std::time::Duration;

/// Requests that arrive within this time of the signal keep their deadline, as clients may not know
/// of the shutdown yet.
const LATE_REQUEST_AFTER: Duration = Duration::from_millis(600);
/// The supervisor waits at least this much longer than the longest deadline before it sends
/// SIGKILL; of the longest deadline, at most [`MAX_COUNTED_DEADLINE`] counts.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// A longer deadline does not delay SIGKILL any further.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The frontends close this long before SIGKILL. Not earlier: while another dispatcher restarts,
/// clients may have no other dispatcher to connect to.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_700);
/// Requests that arrive late get their responses at least this long before SIGKILL.
const RESPOND_BEFORE_KILL: Duration = Duration::from_millis(300);

/// The times of a shutdown, relative to the signal.
#[derive(Clone, Copy)]
struct Schedule {
    /// Requests that arrive later than this have a deadline of `respond_by` at the latest.
    late_request_after: Duration,
    close_frontends_after: Duration,
    respond_by: Duration,
}

impl Schedule {
    fn new(settings: &Settings) -> Schedule {
        let longest_deadline = settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default();
        let kill_after = KILL_AFTER_DEADLINE + longest_deadline.min(MAX_COUNTED_DEADLINE);
        Schedule {
            late_request_after: LATE_REQUEST_AFTER,
            close_frontends_after: kill_after
                .saturating_sub(CLOSE_BEFORE_KILL)
                .max(LATE_REQUEST_AFTER),
            respond_by: kill_after.saturating_sub(RESPOND_BEFORE_KILL),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// The signal has arrived; the frontends are still open.
    Draining {
        /// When the signal arrived.
        since: Timestamp,
    },
    /// The frontends are closing or closed.
    Closing {
        /// When the signal arrived.
        since: Timestamp,
    },
    Exited,
}

/// The state of the shutdown.
pub(super) struct Shutdown {
    schedule: Schedule,
    phase: Phase,
    /// Tracked separately from the phase, as the frontends may close before
    /// [`Effect::CloseFrontends`].
    frontends_closed: bool,
}

impl Shutdown {
    pub(super) fn new(settings: &Settings) -> Shutdown {
        Shutdown {
            schedule: Schedule::new(settings),
            phase: Phase::Serving,
            frontends_closed: false,
        }
    }

    pub(super) fn record_frontends_closed(&mut self) {
        self.frontends_closed = true;
    }

    /// The deadline of a request that arrives now with this remaining time; shortened for requests
    /// that arrive late in a shutdown.
    pub(super) fn deadline(&self, now: Timestamp, remaining: Duration) -> Timestamp {
        let deadline = now + remaining;
        match self.phase {
            Phase::Draining { since } | Phase::Closing { since }
                if now > since + self.schedule.late_request_after =>
            {
                deadline.min(since + self.schedule.respond_by)
            }
            _ => deadline,
        }
    }
}

impl Core {
    /// Starts the shutdown; does nothing if it has already started.
    pub(super) fn on_shutdown_requested(&mut self, now: Timestamp) {
        if self.shutdown.phase == Phase::Serving {
            self.shutdown.phase = Phase::Draining { since: now };
            let close_at = now + self.shutdown.schedule.close_frontends_after;
            self.timers.set(close_at, Timer::CloseFrontends);
        }
    }

    pub(super) fn close_frontends(&mut self, effects: &mut Vec<Effect>) {
        if let Phase::Draining { since } = self.shutdown.phase {
            self.shutdown.phase = Phase::Closing { since };
            effects.push(Effect::CloseFrontends {
                respond_by: since + self.shutdown.schedule.respond_by,
            });
        }
    }

    pub(super) fn exit_if_drained(&mut self, effects: &mut Vec<Effect>) {
        let is_closing = matches!(self.shutdown.phase, Phase::Closing { .. });
        if is_closing && self.shutdown.frontends_closed && self.waiting.is_empty() {
            self.shutdown.phase = Phase::Exited;
            effects.push(Effect::Exit);
        }
    }
}
