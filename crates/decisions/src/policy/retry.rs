//! When a request is sent again, and when it is given up.
//!
//! A request whose attempt failed is queued for another attempt if the rules permit one and its
//! deadline has not passed. Otherwise it gets its final response: shed with a `Retry-After` where a
//! retry by the client is harmless, failed where an attempt may have run.

use super::Balancer;
use crate::api::{Action, AttemptResult, EndpointId, Outcome, RequestId, Timestamp};
use crate::rules::Execution;
use crate::state::{Attempt, LEARNING_RATE};
use crate::time::{micros_f64, whole_micros};
use std::time::Duration;

/// An endpoint that rejected a request gets no other for this long.
pub(super) const REJECTION_BACKOFF: Duration = Duration::from_secs(1);
/// Step of an endpoint's error rate with each response.
const ERROR_RATE_STEP: f64 = 0.2;

impl Balancer {
    /// An attempt has ended. Results of attempts that have ended before are ignored.
    pub(super) fn on_attempt_finished(
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
        self.note_response(now, &result);
        self.learn_from_outcome(now, &result, &attempt, actions);
        if let Some(report) = result.report {
            self.on_report(now, result.endpoint, report);
        }
        if result.request_done || result.outcome == Outcome::Success {
            self.finish(id, actions);
        } else {
            self.retry_or_give_up(now, id, actions);
        }
        self.state.forget_if_over(id);
        self.serve_queue(now, actions);
    }

    /// Returns the attempt as it was before its end; `None` if it has ended before.
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

    fn note_response(&mut self, now: Timestamp, result: &AttemptResult) {
        if !matches!(
            result.outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected
        ) {
            return;
        }
        self.note_alive(now, result.endpoint);
        let is_error = f64::from(u8::from(result.outcome == Outcome::Error));
        let error_rate = &mut self.state.endpoint_mut(result.endpoint).error_rate;
        *error_rate += ERROR_RATE_STEP * (is_error - *error_rate);
    }

    fn learn_from_outcome(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        match result.outcome {
            Outcome::Success => self.learn_running_time(now, result, attempt),
            Outcome::Rejected => {
                self.state.endpoint_mut(result.endpoint).rejects_until = now + REJECTION_BACKOFF;
            }
            Outcome::ConnectFailed | Outcome::Reset => self.suspect(now, result.endpoint, actions),
            Outcome::Cancelled if !attempt.has_started => {
                let prompt_start =
                    attempt.sent_at.max(self.state.resumed_at) + self.prompt_response_time();
                if now > prompt_start {
                    self.note_cancelled_in_queue(now, result.endpoint);
                }
            }
            Outcome::Error | Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn learn_running_time(&mut self, now: Timestamp, result: &AttemptResult, attempt: &Attempt) {
        let request = &self.state.requests[&result.request];
        let class = request.class.0;
        let expected_us = self.expected_run_us(request).max(1.0);
        let run = if attempt.has_started {
            now.saturating_duration_since(attempt.started_at)
        } else {
            result.latency
        };
        // A ratio to a running time that was only guessed says nothing about the kind.
        if self.state.classes[class].served > 0 {
            let kind = self.state.endpoint(result.endpoint).kind;
            let ratio = &mut self.state.kind_run_ratio[kind.0];
            *ratio += LEARNING_RATE * (micros_f64(run) / expected_us - *ratio);
        }
        let has_max_queue_time = self.settings.classes[class].max_queue_time.is_some();
        self.state
            .learn_run(now, class, micros_f64(result.latency), has_max_queue_time);
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

    /// Gives the final response to a request that will not be served.
    pub(super) fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let retry_after = self.draw_retry_after();
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

    /// A random back-off, so that clients that were shed together do not return together.
    fn draw_retry_after(&mut self) -> Option<Duration> {
        if !self.settings.retry_after {
            return None;
        }
        let longest = whole_micros(self.settings.max_retry_after);
        Some(self.random_duration(longest / 2..=longest))
    }

    /// An endpoint has made progress with a request or ended it.
    pub(super) fn note_alive(&mut self, now: Timestamp, id: EndpointId) {
        let endpoint = self.state.endpoint_mut(id);
        endpoint.last_heard_at = now;
        endpoint.last_response_at = now;
        endpoint.last_used_at = now;
        endpoint.on_probation = false;
        endpoint.ejections = 0;
        endpoint.ejected_until = None;
    }
}
