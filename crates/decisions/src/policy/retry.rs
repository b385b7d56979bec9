//! When a request is retried, and when it ends without being served.
//!
//! A request whose attempt failed is queued for another attempt if the rules permit one and its
//! deadline has not passed. Otherwise it gets its final response: it is shed if a retry by the
//! client is harmless (with a `Retry-After`, if the settings enable it), and fails if not.

use super::Balancer;
use crate::api::{Action, AttemptResult, Outcome, RequestId, Timestamp};
use crate::rules::Execution;
use crate::state::Attempt;
use crate::time::whole_micros;
use std::time::Duration;

impl Balancer {
    /// Handles the end of an attempt. The result of an attempt that had already ended is ignored.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        let Some(attempt) = self.record_execution(&result) else {
            return;
        };
        self.release_attempt(now, id, &attempt);
        self.record_response(now, &result);
        self.learn_from_outcome(now, &result, &attempt, actions);
        if let Some(report) = result.report {
            self.on_load_report(now, result.endpoint, report);
        }
        if result.request_done || result.outcome == Outcome::Success {
            self.finish(id, actions);
        } else {
            self.retry_or_give_up(now, id, actions);
        }
        self.state.remove_if_finished(id);
        self.serve_queue(now, actions);
    }

    /// Records whether an attempt that has ended may have run. Returns the attempt as it was
    /// before; `None` if it had already ended or is not known.
    fn record_execution(&mut self, result: &AttemptResult) -> Option<Attempt> {
        let request = self.state.requests.get_mut(&result.request)?;
        let attempt = request
            .attempts
            .get_mut(result.attempt_index)
            .filter(|attempt| attempt.is_in_flight())?;
        let before = *attempt;
        attempt.execution = if result.outcome.never_ran() {
            Execution::NeverRan
        } else {
            Execution::MayHaveRun
        };
        Some(before)
    }

    /// Releases the capacity reserved for an attempt. That of an overdue attempt was released when
    /// it became overdue.
    fn release_attempt(&mut self, now: Timestamp, id: RequestId, attempt: &Attempt) {
        if attempt.is_overdue {
            return;
        }
        let request = &self.state.requests[&id];
        let (slots, memory) = (request.slots, request.memory);
        self.state
            .endpoint_mut(attempt.endpoint)
            .release(now, attempt.sent_at, slots, memory);
    }

    fn retry_or_give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.state.requests[&id];
        if request.is_done || request.has_attempt_in_flight() {
            return;
        }
        if self.permission(now, request).send.is_err() || now >= request.deadline {
            self.give_up(now, id, actions);
        } else if !self.state.queue.contains(&id) {
            self.state.queue.push(id);
        }
    }

    /// Sheds or fails a request that will not be served, unless it already has its final response.
    pub(super) fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let retry_after = self.random_retry_after();
        let Some(request) = self
            .state
            .requests
            .get(&id)
            .filter(|request| !request.is_done)
        else {
            return;
        };
        actions.push(if self.permission(now, request).may_shed {
            Action::Shed {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.finish(id, actions);
    }

    /// A random back-off, so that clients whose requests were shed together do not return together.
    fn random_retry_after(&mut self) -> Option<Duration> {
        if !self.settings.retry_after {
            return None;
        }
        let longest = whole_micros(self.settings.max_retry_after);
        Some(self.random_duration(longest / 2..=longest))
    }
}
