//! What happens when a request arrives and when it ends.

use super::Balancer;
use super::health_checks::{CREDIT_PER_REQUEST, MAX_CREDIT};
use super::selection::{EndpointQueueing, Selection};
use crate::api::{Action, Idempotency, IncomingRequest, RequestId, Timestamp};
use crate::state::{LEARNING_RATE, Request};

/// EWMA weight of a sample in the mean time between requests.
const REQUEST_GAP_EWMA_WEIGHT: f64 = 0.1;
/// A longer time between two requests counts as this.
const MAX_REQUEST_GAP_US: u64 = 1_000_000;

impl Balancer {
    /// Records a request that has arrived, and sends it or queues it.
    pub(super) fn on_request_arrived(
        &mut self,
        now: Timestamp,
        incoming: IncomingRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = incoming.request;
        self.record_arrival(now, &incoming);
        let request = self.new_request(now, incoming);
        self.state.requests.insert(id, request);
        if !matches!(
            self.try_send(now, id, EndpointQueueing::Avoided, actions),
            Selection::Send(_)
        ) {
            self.enqueue(now, id, actions);
        }
    }

    /// Updates the estimates and the health check credit that depend on arriving requests.
    fn record_arrival(&mut self, now: Timestamp, incoming: &IncomingRequest) {
        let state = &mut self.state;
        let gap_us = now
            .micros_since(state.last_request_at)
            .min(MAX_REQUEST_GAP_US) as f64;
        state.request_gap_us += REQUEST_GAP_EWMA_WEIGHT * (gap_us - state.request_gap_us);
        state.last_request_at = now;
        state.health_check_credit =
            (state.health_check_credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
        if self.settings.classes[incoming.class.0].idempotency == Idempotency::Idempotent {
            state.last_idempotent_at = now;
        }
        state.mean_slots += LEARNING_RATE * (incoming.slots - state.mean_slots);
        let class = &mut state.classes[incoming.class.0];
        class.longest_remaining = class.longest_remaining.max(incoming.remaining);
    }

    /// Creates the record of a request.
    ///
    /// A retry by a client arrives with less remaining time than its first attempt did. The
    /// difference to the longest remaining time in the class gives the time of that first attempt.
    fn new_request(&mut self, now: Timestamp, incoming: IncomingRequest) -> Request {
        let longest_remaining = self.state.classes[incoming.class.0].longest_remaining;
        let class_weight = self.settings.classes[incoming.class.0].priority_weight;
        Request {
            class: incoming.class,
            function: incoming.function,
            started_at: now.saturating_sub(longest_remaining.saturating_sub(incoming.remaining)),
            deadline: now + incoming.remaining,
            slots: incoming.slots,
            memory: incoming.memory,
            work_hint: incoming.work_hint,
            priority_weight: class_weight * self.count_against_quota(now, incoming.tenant),
            affinity_key: incoming.affinity_key,
            attempts: Vec::new(),
            is_done: false,
            health_checks: 0,
        }
    }

    /// Ends a request that has its final response or whose client has disconnected. Cancels the
    /// attempts that are still in flight, if cancellation is allowed.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(&id) else {
            return;
        };
        let was_done = std::mem::replace(&mut request.is_done, true);
        if !was_done && self.settings.cancellation {
            for (attempt_index, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    actions.push(Action::Cancel {
                        request: id,
                        attempt_index,
                    });
                }
            }
        }
        self.state.remove_if_finished(id);
    }
}
