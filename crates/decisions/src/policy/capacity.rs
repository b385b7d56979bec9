//! What load an endpoint is believed to have, and when it would start a request.
//!
//! Capacity is counted in slots, and in memory where a request takes some: an endpoint has as much
//! memory as it has slots. What our own attempts
//! take is known; what other dispatchers take is believed from load reports, and that belief fades
//! to the mean of the zone, as an endpoint without news would otherwise look for good as empty, or
//! as full, as it was then.

use super::Balancer;
use crate::api::Timestamp;
use crate::math::decay;
use crate::state::{Endpoint, Request};
use crate::time::micros_f64;

/// Time constant with which belief about other dispatchers' use of an endpoint fades to the mean of
/// its zone.
pub(super) const LOAD_ESTIMATE_TIME_CONSTANT_US: f64 = 2_000_000.0;
/// A request may lack this much of a slot: belief is a mean, and slots come whole.
const SLOT_TOLERANCE: f64 = 0.5;
/// An endpoint known by the mean of its zone alone is full at this mean use: the mean names none
/// that has capacity.
const FULL_AT_ZONE_USAGE: f64 = 0.5;
/// The share of its objective that a request which queues at an endpoint keeps for its run.
const RUN_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// A request of several slots may lack less than this many at the endpoint where it queues for
/// them.
const MAX_MISSING_SLOTS: f64 = 1.0;

impl Balancer {
    /// Slots of an endpoint; where not known, as many as the request takes.
    pub(super) fn slots_of(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        let slots = self.state.kind_slots[endpoint.kind.0];
        if slots == 0.0 {
            request.slots.max(1.0)
        } else {
            slots
        }
    }

    /// The capacity left beside this request, in slots or, if that is less, in memory; below 0 it
    /// would queue.
    fn spare_capacity(&self, now: Timestamp, endpoint: &Endpoint, request: &Request) -> f64 {
        let total = self.slots_of(endpoint, request);
        let slots =
            total - endpoint.own_slots - self.others_slots(now, endpoint, total) - request.slots;
        let memory = total - endpoint.own_memory - endpoint.others_memory - request.memory;
        if request.memory > 0.0 {
            slots.min(memory)
        } else {
            slots
        }
    }

    /// Slots of an endpoint that other dispatchers are believed to use now, of this many.
    fn others_slots(&self, now: Timestamp, endpoint: &Endpoint, total: f64) -> f64 {
        let mean = self.mean_others_slots(now, endpoint, total);
        let age_us = now.micros_since(endpoint.reported_at) as f64;
        mean + (endpoint.others_slots - mean) * decay(age_us, LOAD_ESTIMATE_TIME_CONSTANT_US)
    }

    /// What other dispatchers use of an endpoint of which nothing else is known.
    fn mean_others_slots(&self, now: Timestamp, endpoint: &Endpoint, total: f64) -> f64 {
        let uses_zone_mean = self.uses_zone_mean(endpoint);
        // Where nobody reports, a guess that nothing can correct would keep all requests from idle
        // endpoints.
        let never_reported = endpoint.reported_at == Timestamp::ORIGIN
            && !uses_zone_mean
            && (!self.can_poll_load() || self.relies_on_health_checks(endpoint));
        // Slow start leaves an endpoint nearly empty.
        if never_reported || self.time_in_slow_start(now, endpoint).is_some() {
            return 0.0;
        }
        let usage = self.state.zone_usage[endpoint.zone.0];
        if uses_zone_mean {
            // Fades, as a zone once full gets nothing that would show it to be free.
            let remaining = usage.remaining(now, LOAD_ESTIMATE_TIME_CONSTANT_US);
            return (total - SLOT_TOLERANCE) * usage.share / FULL_AT_ZONE_USAGE * remaining;
        }
        total * usage.share
    }

    /// Where load cannot be polled and dispatchers outnumber endpoints, most endpoints are known by
    /// the mean of those that reported: taken for empty, they would get a burst that fills all
    /// their queues.
    pub(super) fn uses_zone_mean(&self, endpoint: &Endpoint) -> bool {
        self.is_large_unpolled_fleet() && self.state.kind_slots[endpoint.kind.0] > 0.0
    }

    /// Whether no endpoint of its kind has reported yet, in a large fleet: until then, health
    /// checks alone decide.
    pub(super) fn relies_on_health_checks(&self, endpoint: &Endpoint) -> bool {
        self.is_large_polled_fleet() && self.state.kind_slots[endpoint.kind.0] == 0.0
    }

    /// Whether an endpoint would start the request now and keep this many slots free, or all it
    /// has.
    pub(super) fn would_start_now(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        request: &Request,
        spare_slots: f64,
    ) -> bool {
        // An endpoint that takes requests one by one takes them whatever their size.
        if let Some(max_concurrent) = endpoint.max_concurrent {
            return endpoint.own_attempts < max_concurrent as usize;
        }
        let spare_slots = spare_slots
            .min(self.slots_of(endpoint, request) - request.slots)
            .max(0.0);
        !self.has_late_start(now, endpoint)
            && self.spare_capacity(now, endpoint, request) >= spare_slots - SLOT_TOLERANCE
    }

    /// Whether an attempt of ours should have reported its start by now: the endpoint has a queue.
    fn has_late_start(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let first = endpoint.unstarted_sends.first();
        first.is_some_and(|&sent_at| now > self.idle_response_due_at(sent_at))
    }

    /// Whether an endpoint would start the request from its queue while that still meets the
    /// objective.
    ///
    /// Only where nobody reports its slots; and for a request of several slots that lacks less than
    /// one, while none is queued here: that many are seldom free at once unless the request waits
    /// for them at the head of a queue.
    pub(super) fn would_start_soon(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        request: &Request,
    ) -> bool {
        // An endpoint without a queue would reject it, and is avoided for a while after that.
        if endpoint.max_concurrent.is_some() || self.has_late_start(now, endpoint) {
            return false;
        }
        let spare = self.spare_capacity(now, endpoint, request);
        let waits_for_last_slots =
            request.slots > 1.0 && self.state.queue.is_empty() && spare > -MAX_MISSING_SLOTS;
        let slots_unknown = self.state.kind_slots[endpoint.kind.0] == 0.0;
        if !waits_for_last_slots && !slots_unknown {
            return false;
        }
        let wait_us = -spare * self.state.mean_run_us / self.slots_of(endpoint, request);
        let objective_us = micros_f64(self.settings.classes[request.class.0].latency_objective);
        let latest_start_us =
            self.latest_start(request).as_micros() as f64 - RUN_SHARE_OF_OBJECTIVE * objective_us;
        now.as_micros() as f64 + wait_us <= latest_start_us
    }
}
