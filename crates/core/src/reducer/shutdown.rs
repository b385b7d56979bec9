//! The shutdown, from the signal to the exit.
//!
//! The supervisor may force the end (SIGKILL), at a time after the signal that follows from the
//! longest deadline. The schedule is laid out before that end; with a longest deadline of 3 s or
//! more:
//!
//! | time after the signal | what happens |
//! | --- | --- |
//! | 0 s | the dispatcher goes on accepting and serving, for clients that have not heard of the shutdown |
//! | 0.6 s | requests that arrive from now on get their response within the schedule, whatever their deadline |
//! | 2.0 s | the frontends close: no new connections, and idle ones are closed |
//! | 3.4 s | all requests that arrived after 0.6 s have their responses |
//! | 3.7 s | the end may be forced |
//!
//! The process exits once the frontends are closed and no client waits.

use super::timers::Timer;
use crate::{Core, Effect};
use pumiceway_decisions::api::{Settings, Timestamp};
use std::time::Duration;

/// Clients that have not heard of the shutdown still come for this long.
const LATE_REQUEST_AFTER: Duration = Duration::from_millis(600);
/// The end is forced no sooner than this long after the longest deadline ...
const FORCED_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// ... of which no more than this counts.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The frontends close this long before the forced end. Not earlier: while another dispatcher
/// restarts there may be no other to go to.
const CLOSE_BEFORE_END: Duration = Duration::from_millis(1_700);
/// Responses are given this long before the forced end.
const RESPOND_BEFORE_END: Duration = Duration::from_millis(300);

/// Times of a shutdown after the signal.
#[derive(Clone, Copy)]
struct Schedule {
    /// Requests that arrive later than this get their response by `respond_by`.
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
        let forced_end = FORCED_AFTER_DEADLINE + longest_deadline.min(MAX_DEADLINE);
        Schedule {
            late_request_after: LATE_REQUEST_AFTER,
            close_frontends_after: forced_end
                .saturating_sub(CLOSE_BEFORE_END)
                .max(LATE_REQUEST_AFTER),
            respond_by: forced_end.saturating_sub(RESPOND_BEFORE_END),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// The signal came at this time; the frontends are still open.
    Draining {
        since: Timestamp,
    },
    /// The frontends are closing.
    Closing {
        since: Timestamp,
    },
    Exited,
}

/// The shutdown of a dispatcher.
pub(super) struct Shutdown {
    schedule: Schedule,
    phase: Phase,
    /// The frontends may close before they are told to.
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

    pub(super) fn note_frontends_closed(&mut self) {
        self.frontends_closed = true;
    }

    /// The deadline of a request that arrives now with this time remaining.
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
    /// A second request to shut down changes nothing.
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
        }
        effects.push(Effect::CloseFrontends);
    }

    pub(super) fn exit_if_drained(&mut self, effects: &mut Vec<Effect>) {
        let is_closing = matches!(self.shutdown.phase, Phase::Closing { .. });
        if is_closing && self.shutdown.frontends_closed && self.waiting.is_empty() {
            self.shutdown.phase = Phase::Exited;
            effects.push(Effect::Exit);
        }
    }
}
