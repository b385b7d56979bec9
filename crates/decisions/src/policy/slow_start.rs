//! How much may be sent to an endpoint that has just started.
//!
//! An endpoint starts with a share of its capacity, and fails when all dispatchers together send it
//! more than a multiple of its present capacity within a window. Dispatchers do not communicate, so
//! each computes on its own what it may send. The window is divided into turns of equal length, the
//! budget of a turn is divided into grants, and a hash of the endpoint, its start time and the turn
//! decides which dispatchers get the grants. The shares of all dispatchers add up to the budget.

use super::Balancer;
use crate::api::{EndpointId, RequestId, Timestamp};
use crate::math::{golden_multiple, unit_hash};
use crate::state::{Endpoint, Request};
use crate::time::{divide, micros_f64, whole_micros};
use std::time::Duration;

/// Number of turns in a window.
const TURNS_PER_WINDOW: u64 = 2;
/// A sliding window overlaps one turn more than it contains, so a turn grants the budget of a
/// window divided by this.
const TURNS_OVERLAPPING_WINDOW: u64 = TURNS_PER_WINDOW + 1;
/// The grant for requests with a work hint, as a multiple of the longest mean running time of a
/// class. It is the same for all of them: if it depended on the request, there would always be a
/// request small enough for the share of any dispatcher.
const HINTED_GRANT: f64 = 2.0;
/// A request is sent to an endpoint in slow start only if its objective exceeds its expected
/// running time at the present capacity by this factor.
const OBJECTIVE_MARGIN: f64 = 1.2;

impl Balancer {
    /// Whether this dispatcher's share of the budget of an endpoint in slow start allows the
    /// request; true for any other endpoint.
    pub(super) fn has_slow_start_budget(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        request: &Request,
    ) -> bool {
        let Some(age) = self.time_in_slow_start(now, endpoint) else {
            return true;
        };
        let capacity_share = self.capacity_share(age);
        if self.misses_objective(capacity_share, request) {
            return false;
        }
        let cost = self.slow_start_cost(endpoint, request);
        let grant = if request.work_hint.is_some() {
            HINTED_GRANT * self.longest_run_us()
        } else {
            cost
        };
        let window_us = whole_micros(self.settings.overload_window) as f64;
        let budget = self.settings.overload_multiple
            * capacity_share
            * self.slots_of(endpoint, request)
            * window_us;
        let grants = budget / TURNS_OVERLAPPING_WINDOW as f64 / grant;
        // A single request that is known to be very heavy could overload the endpoint by itself.
        if grants < 1.0 {
            return false;
        }
        let turn = self.slow_start_turn(age);
        endpoint.slow_start_spent_in(turn) + cost <= self.own_grants(endpoint, turn, grants) * grant
    }

    /// Charges a request to this dispatcher's share before it is sent; does nothing for an endpoint
    /// that is not in slow start.
    pub(super) fn spend_slow_start_budget(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        request: RequestId,
    ) {
        let endpoint = self.state.endpoint(id);
        let Some(age) = self.time_in_slow_start(now, endpoint) else {
            return;
        };
        let cost = self.slow_start_cost(endpoint, &self.state.requests[&request]);
        let turn = self.slow_start_turn(age);
        let endpoint = self.state.endpoint_mut(id);
        endpoint.slow_start_spent = endpoint.slow_start_spent_in(turn) + cost;
        endpoint.slow_start_turn = turn;
    }

    /// Time since the start of an endpoint in slow start; `None` for any other endpoint.
    pub(super) fn time_in_slow_start(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
    ) -> Option<Duration> {
        let overload_configured =
            self.settings.overload_multiple > 0.0 && !self.settings.overload_window.is_zero();
        let start_is_known = endpoint.started_at > Timestamp::ORIGIN;
        let age = now.saturating_duration_since(endpoint.started_at);
        let in_slow_start = overload_configured
            && !endpoint.skips_slow_start
            && start_is_known
            && age < self.settings.slow_start_duration;
        in_slow_start.then_some(age)
    }

    /// The share of its capacity that an endpoint has at this age; it grows linearly to 1.
    fn capacity_share(&self, age: Duration) -> f64 {
        let initial = self.settings.slow_start_share;
        initial + (1.0 - initial) * micros_f64(age) / micros_f64(self.settings.slow_start_duration)
    }

    /// Whether a request would miss its objective at this share of the capacity even if it started
    /// at once.
    fn misses_objective(&self, capacity_share: f64, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let objective_runs = class.objective_stretch
            + micros_f64(class.latency_objective) / self.expected_run_us(request);
        capacity_share * objective_runs < OBJECTIVE_MARGIN
    }

    /// What a request takes of the budget, in slot-microseconds. An endpoint of a slow kind is
    /// granted fewer requests than one of a fast kind with as many slots.
    fn slow_start_cost(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        self.expected_run_us(request) * self.state.kind_run_ratio[endpoint.kind.0] * request.slots
    }

    /// The longest mean running time of a class, in microseconds.
    fn longest_run_us(&self) -> f64 {
        self.state
            .classes
            .iter()
            .map(|class| class.run_us)
            .fold(0.0, f64::max)
    }

    /// The number of the turn at this age. The turns of each dispatcher have an offset of their
    /// own, so that requests queued for a turn are not all sent at once.
    fn slow_start_turn(&self, age: Duration) -> u64 {
        let length_us =
            whole_micros(divide(self.settings.overload_window, TURNS_PER_WINDOW)).max(1);
        let offset_us =
            length_us * self.settings.instance_index as u64 / self.settings.instance_count as u64;
        (whole_micros(age) + offset_us) / length_us
    }

    /// How many of the grants of a turn belong to this dispatcher. The remainder is spread evenly,
    /// however the indices of dispatchers are assigned to zones.
    fn own_grants(&self, endpoint: &Endpoint, turn: u64, grants: f64) -> f64 {
        let offset = unit_hash(endpoint.process_hash ^ turn);
        let position = (golden_multiple(self.settings.instance_index) + offset).fract();
        let share = grants / self.settings.instance_count as f64;
        share.floor() + f64::from(position < share.fract())
    }
}
