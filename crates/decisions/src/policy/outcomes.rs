//! What the outcome of an attempt shows about its endpoint and its class.
//!
//! A response shows that the endpoint is alive, and whether it returns errors. A rejection excludes
//! the endpoint for a while, and a failed connection makes it suspected. A request that was served
//! is a sample of the running time of its class.

use super::Balancer;
use crate::api::{Action, AttemptResult, EndpointId, Outcome, Timestamp};
use crate::state::{Attempt, LEARNING_RATE};
use crate::time::micros_f64;
use std::time::Duration;

/// An endpoint that rejected a request gets no other for this long.
pub(super) const REJECTION_BACKOFF: Duration = Duration::from_secs(1);
/// EWMA weight of a response in the error rate of its endpoint.
const ERROR_RATE_EWMA_WEIGHT: f64 = 0.2;

impl Balancer {
    /// Updates the error rate of an endpoint that has responded, and marks the endpoint as alive.
    pub(super) fn record_response(&mut self, now: Timestamp, result: &AttemptResult) {
        if !matches!(
            result.outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected | Outcome::UnprovenRejection
        ) {
            return;
        }
        self.mark_alive(now, result.endpoint);
        let is_error = f64::from(u8::from(result.outcome == Outcome::Error));
        let error_rate = &mut self.state.endpoint_mut(result.endpoint).error_rate;
        *error_rate += ERROR_RATE_EWMA_WEIGHT * (is_error - *error_rate);
    }

    /// Learns the running time from a success. After a rejection or a cancellation in its queue, an
    /// endpoint gets no request for a back-off; after a failed connection, it is suspected.
    pub(super) fn learn_from_outcome(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        match result.outcome {
            Outcome::Success => self.learn_running_time(now, result, attempt),
            Outcome::Rejected | Outcome::UnprovenRejection => {
                self.state.endpoint_mut(result.endpoint).backoff_until = now + REJECTION_BACKOFF;
            }
            Outcome::ConnectFailed | Outcome::Reset => self.suspect(now, result.endpoint, actions),
            Outcome::Cancelled if !attempt.has_started => {
                let start_due_at = self.idle_response_due_at(attempt.sent_at);
                if now > start_due_at {
                    self.back_off_after_queue_cancellation(now, result.endpoint);
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
        // Until a request of the class has been served, the expected running time is only a guess,
        // and the ratio to it says nothing about the kind.
        if self.state.classes[class].served > 0 {
            let kind = self.state.endpoint(result.endpoint).kind;
            let ratio = &mut self.state.kind_run_ratio[kind.0];
            *ratio += LEARNING_RATE * (micros_f64(run) / expected_us - *ratio);
        }
        let has_max_queue_time = self.settings.classes[class].max_queue_time.is_some();
        self.state
            .learn_run(now, class, micros_f64(result.latency), has_max_queue_time);
    }

    /// Records that an endpoint has responded or made progress with a request, which ends its
    /// suspicion, ejection and probation.
    pub(super) fn mark_alive(&mut self, now: Timestamp, id: EndpointId) {
        let endpoint = self.state.endpoint_mut(id);
        endpoint.last_heard_at = now;
        endpoint.last_response_at = now;
        endpoint.last_used_at = now;
        endpoint.on_probation = false;
        endpoint.ejections = 0;
        endpoint.excluded_until = None;
    }
}
