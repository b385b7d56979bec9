//! When a silent attempt is presumed lost.
//!
//! Where running requests report progress, an attempt is overdue once it has been silent for longer
//! than the progress interval and its latency objective allow. Its slots are released, and its
//! endpoint is put on probation unless it has responded since the attempt was sent. If the endpoint
//! has been heard from since, the connection is presumed to have failed: for a while, connections
//! that have been idle for nearly as long as that one are closed instead of reused. Where no
//! progress is reported, no attempt is overdue.

use super::Balancer;
use crate::api::{Settings, Timestamp};
use crate::state::{Attempt, Request};
use crate::time::divide;
use std::time::Duration;

/// Progress intervals for which an attempt without a work hint may be silent where endpoints do not
/// report starts: the attempt may still be queued.
const SILENT_INTERVALS_WITHOUT_START: u32 = 3;
/// How long a limit on the idle time of connections remains in effect.
const IDLE_LIMIT_LIFETIME: Duration = Duration::from_secs(20);
/// The limit, in quarters of the idle time of the connection that failed.
const IDLE_LIMIT_QUARTERS: u32 = 3;

/// An attempt that has become overdue, and the capacity reserved for it.
struct OverdueAttempt {
    attempt: Attempt,
    slots: f64,
    memory: f64,
}

impl Balancer {
    /// Releases the capacity reserved for attempts that have become overdue, and updates the state
    /// of their endpoints and the limit on idle connections.
    pub(super) fn release_overdue_attempts(&mut self, now: Timestamp) {
        for overdue in self.mark_overdue(now) {
            let OverdueAttempt {
                attempt,
                slots,
                memory,
            } = overdue;
            let endpoint = self.state.endpoint_mut(attempt.endpoint);
            endpoint.release(now, attempt.sent_at, slots, memory);
            endpoint.on_probation |= endpoint.last_response_at < attempt.sent_at;
            self.limit_idle_connections(now, &attempt);
        }
        if now >= self.state.idle_connection_limit_until {
            self.state.idle_connection_limit = Duration::ZERO;
        }
    }

    /// Marks the attempts that have become overdue since the last call, and returns them.
    fn mark_overdue(&mut self, now: Timestamp) -> Vec<OverdueAttempt> {
        if self.settings.progress_interval.is_zero() {
            return Vec::new();
        }
        let mut overdue = Vec::new();
        let resumed_at = self.state.resumed_at;
        for request in self.state.requests.values_mut() {
            let max_silence = allowed_silence(&self.settings, request);
            let (slots, memory) = (request.slots, request.memory);
            for attempt in &mut request.attempts {
                if !attempt.is_in_flight() || attempt.is_overdue {
                    continue;
                }
                attempt.is_overdue = now > attempt.last_heard_at.max(resumed_at) + max_silence;
                if attempt.is_overdue {
                    overdue.push(OverdueAttempt {
                        attempt: *attempt,
                        slots,
                        memory,
                    });
                }
            }
        }
        overdue
    }

    /// Lowers the limit on idle connections if the connection of an overdue attempt seems to have
    /// failed: it had been idle, the request has not started, and the endpoint has been heard from
    /// since.
    fn limit_idle_connections(&mut self, now: Timestamp, attempt: &Attempt) {
        let was_idle = attempt.connection_idle > 2 * self.tick_interval();
        let endpoint_is_responsive =
            self.state.endpoint(attempt.endpoint).last_heard_at > attempt.sent_at;
        let connection_failed = endpoint_is_responsive && !attempt.has_started && was_idle;
        if !self.settings.reports_start || !connection_failed {
            return;
        }
        let state = &mut self.state;
        let current_limit = if now < state.idle_connection_limit_until {
            state.idle_connection_limit
        } else {
            Duration::MAX
        };
        state.idle_connection_limit =
            current_limit.min(divide(attempt.connection_idle, 4) * IDLE_LIMIT_QUARTERS);
        state.idle_connection_limit_until = now + IDLE_LIMIT_LIFETIME;
    }
}

/// How long an attempt of the request may be silent.
fn allowed_silence(settings: &Settings, request: &Request) -> Duration {
    let interval = settings.progress_interval;
    let silence = match request.work_hint {
        Some(work) => interval.min(2 * work),
        None if settings.reports_start => interval,
        None => SILENT_INTERVALS_WITHOUT_START * interval,
    };
    silence + settings.classes[request.class.0].latency_objective
}
