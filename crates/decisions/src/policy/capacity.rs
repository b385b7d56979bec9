//! How loaded an endpoint is estimated to be, and when it would start a request.
//!
//! Capacity is counted in slots and, for requests that take memory, also in memory. The unit of
//! memory is a slot's worth, so an endpoint has as many units of memory as slots. What this
//! dispatcher's own attempts take is known. What other dispatchers take is estimated from load
//! reports, and the estimate decays to the mean of the zone. Without the decay, an endpoint that
//! sends no more reports would look forever as empty, or as full, as at its last one.

use super::Balancer;
use crate::api::Timestamp;
use crate::math::decay;
use crate::state::{Endpoint, Request};
use crate::time::micros_f64;

/// Time constant with which the estimated usage of an endpoint by other dispatchers decays to the
/// mean of its zone.
pub(super) const LOAD_ESTIMATE_TIME_CONSTANT_US: f64 = 2_000_000.0;
/// An endpoint counts as having capacity if it lacks at most this much of a slot: the estimate is a
/// mean with a fraction, but the slots in use are whole.
const SLOT_TOLERANCE: f64 = 0.5;
/// An endpoint estimated from the mean of its zone alone counts as full at this mean usage: the
/// mean does not show which endpoints have capacity.
const FULL_AT_ZONE_USAGE: f64 = 0.5;
/// The share of its objective that a request queued at an endpoint keeps for its running time.
const RUN_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// A request of several slots may be queued at an endpoint where it lacks fewer than this many.
const MAX_MISSING_SLOTS: f64 = 1.0;

impl Balancer {
    /// Number of slots of an endpoint; if not known, as many as the request takes and at least one.
    pub(super) fn slots_of(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        let slots = self.state.kind_slots[endpoint.kind.0];
        if slots == 0.0 {
            request.slots.max(1.0)
        } else {
            slots
        }
    }

    /// The capacity that remains beside this request, in slots or, if that is less, in memory. If
    /// it is negative, the request would be queued.
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

    /// How many of the `total` slots of an endpoint other dispatchers are estimated to use now.
    fn others_slots(&self, now: Timestamp, endpoint: &Endpoint, total: f64) -> f64 {
        let mean = self.mean_others_slots(now, endpoint, total);
        let age_us = now.micros_since(endpoint.reported_at) as f64;
        mean + (endpoint.others_slots - mean) * decay(age_us, LOAD_ESTIMATE_TIME_CONSTANT_US)
    }

    /// How many of the `total` slots of an endpoint other dispatchers are estimated to use if it
    /// has sent no recent report. The estimate from its reports decays to this.
    fn mean_others_slots(&self, now: Timestamp, endpoint: &Endpoint, total: f64) -> f64 {
        let uses_zone_mean = self.uses_zone_mean(endpoint);
        // Where no endpoint reports, a guess that nothing can correct would keep all requests away
        // from idle endpoints.
        let never_reported = endpoint.reported_at == Timestamp::ORIGIN
            && !uses_zone_mean
            && (!self.can_poll_load() || self.relies_on_health_checks(endpoint));
        // An endpoint in slow start is nearly empty.
        if never_reported || self.time_in_slow_start(now, endpoint).is_some() {
            return 0.0;
        }
        let usage = self.state.zone_usage[endpoint.zone.0];
        if uses_zone_mean {
            // The estimate decays: a zone once estimated as full would get no request that could
            // show it to be free.
            let remaining = usage.remaining(now, LOAD_ESTIMATE_TIME_CONSTANT_US);
            return (total - SLOT_TOLERANCE) * usage.share / FULL_AT_ZONE_USAGE * remaining;
        }
        total * usage.share
    }

    /// Whether the usage of an endpoint is estimated from the mean of the endpoints of its zone
    /// that have reported.
    ///
    /// Where load cannot be polled and dispatchers outnumber endpoints, this holds for most
    /// endpoints: assumed to be empty, they would get a burst that fills all their queues.
    pub(super) fn uses_zone_mean(&self, endpoint: &Endpoint) -> bool {
        self.is_large_unpolled_fleet() && self.state.kind_slots[endpoint.kind.0] > 0.0
    }

    /// Whether no endpoint of its kind has reported yet, in a large fleet where load can be polled.
    /// Until one has, health checks alone decide whether the endpoint gets requests.
    pub(super) fn relies_on_health_checks(&self, endpoint: &Endpoint) -> bool {
        self.is_large_polled_fleet() && self.state.kind_slots[endpoint.kind.0] == 0.0
    }

    /// Whether an endpoint would start the request now and keep `spare_slots` free. At an endpoint
    /// with too few slots for both, all slots beside the request have to be free.
    pub(super) fn would_start_now(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        request: &Request,
        spare_slots: f64,
    ) -> bool {
        // The limit on concurrent requests applies whatever their size.
        if let Some(max_concurrent) = endpoint.max_concurrent {
            return endpoint.own_attempts < max_concurrent as usize;
        }
        let spare_slots = spare_slots
            .min(self.slots_of(endpoint, request) - request.slots)
            .max(0.0);
        !self.has_late_start(now, endpoint)
            && self.spare_capacity(now, endpoint, request) >= spare_slots - SLOT_TOLERANCE
    }

    /// Whether an attempt of this dispatcher has not reported its start in time, which shows that
    /// the endpoint has a queue.
    fn has_late_start(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let first = endpoint.unstarted_sends.first();
        first.is_some_and(|&sent_at| now > self.idle_response_due_at(sent_at))
    }

    /// Whether an endpoint would start the request from its queue while that still meets the
    /// objective.
    ///
    /// True only in two cases: no endpoint of the kind has reported its slots, or the request takes
    /// several slots, of which less than one is missing, and this dispatcher has no request queued.
    /// In the second case, that many slots are seldom free at once unless the request waits for
    /// them at the head of the endpoint's queue.
    pub(super) fn would_start_soon(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        request: &Request,
    ) -> bool {
        // An endpoint with a limit on concurrent requests has no queue: it would reject the
        // request, and then get no other for a while.
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
