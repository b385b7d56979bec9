//! What happens at the arrival and at the end of a request.

use super::Balancer;
use super::health_checks::{CREDIT_PER_REQUEST, MAX_CREDIT};
use super::selection::{EndpointQueue, Selection};
use crate::api::{Action, Idempotency, IncomingRequest, RequestId, Timestamp};
use crate::state::{LEARNING_RATE, Request};

/// Step of the mean time between requests, and the longest time that counts.
const REQUEST_GAP_STEP: f64 = 0.1;
const MAX_REQUEST_GAP_US: u64 = 1_000_000;

impl Balancer {
    /// Takes a request in, and sends it or queues it.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        incoming: IncomingRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = incoming.request;
        self.note_arrival(now, &incoming);
        let request = self.open(now, incoming);
        self.state.requests.insert(id, request);
        if !matches!(
            self.try_send(now, id, EndpointQueue::Avoided, actions),
            Selection::Send(_)
        ) {
            self.enqueue(now, id, actions);
        }
    }

    fn note_arrival(&mut self, now: Timestamp, incoming: &IncomingRequest) {
        let state = &mut self.state;
        let gap_us = now
            .micros_since(state.last_request_at)
            .min(MAX_REQUEST_GAP_US) as f64;
        state.request_gap_us += REQUEST_GAP_STEP * (gap_us - state.request_gap_us);
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

    /// A client that sends its request again has less time left than at its first attempt: the
    /// difference to the longest remaining time of the class tells when it first came.
    fn open(&mut self, now: Timestamp, incoming: IncomingRequest) -> Request {
        let longest_remaining = self.state.classes[incoming.class.0].longest_remaining;
        let class_weight = self.settings.classes[incoming.class.0].priority_weight;
        Request {
            class: incoming.class,
            started_at: now.saturating_sub(longest_remaining.saturating_sub(incoming.remaining)),
            deadline: now + incoming.remaining,
            slots: incoming.slots,
            memory: incoming.memory,
            work_hint: incoming.work_hint,
            priority_weight: class_weight * self.quota_weight(now, incoming.tenant),
            affinity_key: incoming.affinity_key,
            attempts: Vec::new(),
            is_done: false,
            health_checks: 0,
        }
    }

    /// The request has its final response, or nobody waits for one: cancels what is still in
    /// flight.
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
