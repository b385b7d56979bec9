//! What the time until a request starts shows about its endpoint.
//!
//! Where endpoints report starts, such a report is only milliseconds old. A prompt start shows that
//! other dispatchers left capacity free, and a late one that the endpoint has a queue. Based on
//! load reports that are a second old, requests would continue to be sent into that queue.

use super::Balancer;
use super::outcomes::REJECTION_BACKOFF;
use crate::api::{EndpointId, RequestId, Timestamp};
use crate::time::whole_micros;

/// The back-off from an endpoint that kept a request in its queue is doubled at most this many
/// times.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// The most zone usage that a prompt start indicates.
const USAGE_AT_PROMPT_START: f64 = 0.3;
/// The least zone usage that a late start indicates.
const USAGE_AT_LATE_START: f64 = 1.5;
/// EWMA weight of a prompt or a late start in the zone usage.
const START_SIGNAL_EWMA_WEIGHT: f64 = 0.2;

impl Balancer {
    /// Updates the estimated usage by other dispatchers when an attempt reports its start.
    pub(super) fn on_attempt_started(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt_index: usize,
        id: EndpointId,
    ) {
        let Some(request) = self.state.requests.get(&request) else {
            return;
        };
        let Some(attempt) = request.attempts.get(attempt_index) else {
            return;
        };
        if !attempt.is_in_flight() || attempt.has_started {
            return;
        }
        let endpoint = self.state.endpoint(id);
        let slots = request.slots;
        let slots_without_ours = self.slots_of(endpoint, request) - endpoint.own_slots;
        let sent_at = attempt.sent_at;
        let is_prompt = now <= sent_at + self.idle_response_time();
        if is_prompt && !attempt.start_was_missed && self.uses_zone_mean(endpoint) {
            let zone = &mut self.state.zone_usage[attempt.zone.0];
            zone.learn(
                now,
                zone.share.min(USAGE_AT_PROMPT_START),
                START_SIGNAL_EWMA_WEIGHT,
            );
        }
        let endpoint = self.state.endpoint_mut(id);
        endpoint.unstarted_sends.retain(|&at| at != sent_at);
        if is_prompt {
            endpoint.queue_cancellations = 0;
            endpoint.others_slots = endpoint.others_slots.min(slots_without_ours.max(0.0));
        } else {
            endpoint.others_slots = endpoint.others_slots.max(slots_without_ours + slots);
        }
    }

    /// Raises the estimated usage of the zones in which starts have not been reported in time.
    ///
    /// Where load cannot be polled, a burst would fill the queues of all endpoints before the first
    /// response, and with it a load report, shows this. Late starts show it at once.
    pub(super) fn record_missed_starts(&mut self, now: Timestamp) {
        if !self.settings.reports_start || !self.is_large_unpolled_fleet() {
            return;
        }
        for zone in self
            .state
            .mark_missed_starts(now, self.idle_response_time())
        {
            let zone = &mut self.state.zone_usage[zone.0];
            zone.learn(
                now,
                zone.share.max(USAGE_AT_LATE_START),
                START_SIGNAL_EWMA_WEIGHT,
            );
        }
    }

    /// Backs off from an endpoint in whose queue an attempt was cancelled.
    ///
    /// An endpoint may report free slots that the request at the head of its queue does not fit
    /// into. Without the back-off, each of many dispatchers would send it requests that wait behind
    /// that head, cancel them, and keep no record of the queue.
    pub(super) fn back_off_after_queue_cancellation(&mut self, now: Timestamp, id: EndpointId) {
        if !self.settings.reports_start || !self.is_large_polled_fleet() {
            return;
        }
        let doublings = self
            .state
            .endpoint(id)
            .queue_cancellations
            .min(MAX_BACKOFF_DOUBLINGS);
        let backoff_us = whole_micros(REJECTION_BACKOFF) << doublings;
        let jittered = self.random_duration(backoff_us * 3 / 4..=backoff_us * 5 / 4);
        let endpoint = self.state.endpoint_mut(id);
        endpoint.queue_cancellations += 1;
        endpoint.backoff_until = endpoint.backoff_until.max(now + jittered);
    }
}
