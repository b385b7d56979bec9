//! Which endpoint gets a request: the first in the preference order that would start it now.
//!
//! Inputs: the preference order, what the rules permit, the estimated capacity of each endpoint,
//! and the age of that estimate. An endpoint without a recent update is checked first, so that a
//! request is not sent to an endpoint that has lost its capacity since the update. Other zones are
//! considered once the request has waited for a share of its latency objective, so that it does not
//! pay for crossing zones just before an endpoint in the home zone has capacity.

use super::Balancer;
use super::capacity::LOAD_ESTIMATE_TIME_CONSTANT_US;
use super::preference::Candidate;
use crate::api::{Action, EndpointId, RequestId, Timestamp};
use crate::rules::Permission;
use crate::state::Request;
use crate::time::{from_micros_f64, micros_f64};

/// In a large fleet where load can be polled, an endpoint that keeps this many slots free is
/// preferred: other dispatchers see the same report, and more than one may act on it before the
/// next.
const SPARE_SLOTS: f64 = 2.0;
/// Health checks sent for one request before it is sent based on the estimate alone.
const MAX_CHECKS_PER_REQUEST: u32 = 4;
/// Load reports count as current if the interval between their changes is below this share of a
/// mean running time.
const CURRENT_REPORT_INTERVAL_RUNS: f64 = 0.33;
/// An update of an endpoint is recent for this share of a mean running time.
const RECENT_UPDATE_RUNS: f64 = 0.25;
/// A request waits for the home zone for a share of its latency objective. The share equals the
/// price of crossing zones, but is at most this.
const MAX_HOME_ZONE_WAIT: f64 = 0.5;

/// Whether a request may be sent to an endpoint where it would be queued.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum EndpointQueueing {
    /// It may, where it would still meet its objective.
    Allowed,
    /// It may not; it waits until an endpoint would start it at once.
    Avoided,
}

/// Where a request is sent.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Selection {
    /// To this endpoint.
    Send(EndpointId),
    /// To this endpoint once a health check has shown that it has capacity.
    CheckFirst(EndpointId),
    /// Nowhere yet: a health check is in flight, or no attempt may be sent.
    Wait,
    /// Nowhere yet: no endpoint would start it now.
    NoCapacity,
}

/// What is the same for all endpoints that are considered for a request.
struct SelectionContext<'a> {
    now: Timestamp,
    request: &'a Request,
    permission: &'a Permission,
    /// An update at this time or later is recent.
    recent_since: Timestamp,
    /// Whether load reports change often enough to count as current.
    reports_are_current: bool,
}

impl Balancer {
    /// Sends a request if an endpoint would start it now or, where `endpoint_queueing` allows it,
    /// from its queue. With any selection but [`Selection::Send`], the request is not sent.
    pub(super) fn try_send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint_queueing: EndpointQueueing,
        actions: &mut Vec<Action>,
    ) -> Selection {
        self.prepare_order(self.state.requests[&id].function);
        let request = &self.state.requests[&id];
        let permission = self.permission(now, request);
        if permission.send.is_err() || now >= request.deadline {
            return Selection::Wait;
        }
        let selection = self.select(now, request, &permission, endpoint_queueing);
        match selection {
            Selection::CheckFirst(endpoint) => self.check_for_request(now, id, endpoint, actions),
            Selection::Send(endpoint) => self.send(now, id, endpoint, actions),
            Selection::Wait | Selection::NoCapacity => {}
        }
        selection
    }

    fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let reports_start = self.settings.reports_start;
        self.state.awaits_start |= reports_start;
        self.spend_slow_start_budget(now, endpoint, id);
        let idle = self.state.start_attempt(now, id, endpoint, reports_start);
        // The endpoint, or a device on the network path, may have dropped a connection that was
        // idle for this long.
        let limit = self.state.idle_connection_limit;
        let only_attempt = self.state.endpoint(endpoint).own_attempts == 1;
        if !limit.is_zero() && idle >= Some(limit) && only_attempt {
            actions.push(Action::CloseIdleConnections { endpoint });
        }
        actions.push(Action::Send {
            request: id,
            endpoint,
            timeout: None,
        });
    }

    fn select(
        &self,
        now: Timestamp,
        request: &Request,
        permission: &Permission,
        endpoint_queueing: EndpointQueueing,
    ) -> Selection {
        let is_large_polled_fleet = self.is_large_polled_fleet();
        let home_zone_is_lost = is_large_polled_fleet
            && self
                .settings
                .home_zone
                .is_some_and(|zone| self.is_zone_lost(zone));
        let across_zones = home_zone_is_lost || self.may_cross_zones(now, request);
        let context = SelectionContext {
            now,
            request,
            permission,
            recent_since: now
                .saturating_sub(from_micros_f64(RECENT_UPDATE_RUNS * self.state.mean_run_us)),
            reports_are_current: self.reports_are_current(),
        };
        let candidates = self.candidates_for(now, request, across_zones, home_zone_is_lost);
        let spare_slots_by_pass: &[f64] = if is_large_polled_fleet {
            &[SPARE_SLOTS, 0.0]
        } else {
            &[0.0]
        };
        for &spare_slots in spare_slots_by_pass {
            let mut endpoints = candidates.iter().map(|candidate| candidate.endpoint);
            if let Some(selection) =
                endpoints.find_map(|id| self.evaluate(&context, id, spare_slots))
            {
                return selection;
            }
        }
        let may_queue = endpoint_queueing == EndpointQueueing::Allowed;
        if may_queue && across_zones && !is_large_polled_fleet {
            return self.select_for_queueing(&context);
        }
        Selection::NoCapacity
    }

    /// Whether load reports change often enough to count as current.
    pub(super) fn reports_are_current(&self) -> bool {
        self.can_poll_load()
            && self.state.report_interval_us < CURRENT_REPORT_INTERVAL_RUNS * self.state.mean_run_us
    }

    fn may_cross_zones(&self, now: Timestamp, request: &Request) -> bool {
        let objective_us = micros_f64(self.settings.classes[request.class.0].latency_objective);
        let home_wait = self.settings.prices.cross_zone.min(MAX_HOME_ZONE_WAIT);
        now.micros_since(request.started_at) as f64 >= objective_us * home_wait
    }

    /// Decides whether to send a request to one endpoint, to check the endpoint first or to wait
    /// for a check of it. `None`: the next endpoint is considered.
    fn evaluate(
        &self,
        context: &SelectionContext,
        id: EndpointId,
        spare_slots: f64,
    ) -> Option<Selection> {
        let SelectionContext { now, request, .. } = *context;
        let endpoint = self.state.endpoint(id);
        // Without a recent report, the estimated load is close to the mean of the zone. While that
        // mean leaves no capacity, the endpoint would never be found free, so it is checked. This
        // is done only where reports are current: others show capacity that other dispatchers have
        // taken since.
        let load_is_unknown = context.reports_are_current
            && now.micros_since(endpoint.reported_at) as f64 > LOAD_ESTIMATE_TIME_CONSTANT_US;
        let would_start = self.would_start_now(now, endpoint, request, spare_slots);
        if !would_start && !load_is_unknown
            || !self.is_eligible(now, id, request, context.permission)
        {
            return None;
        }
        let check_is_recent = self.relies_on_health_checks(endpoint)
            && endpoint.health_checked_at >= context.recent_since
            && !endpoint.health_check_in_flight;
        let has_recent_update = endpoint.reported_at >= context.recent_since || check_is_recent;
        if would_start && (has_recent_update || !self.can_poll_load()) {
            return Some(Selection::Send(id));
        }
        if endpoint.health_check_in_flight {
            let response_due = self.idle_response_due_at(endpoint.health_checked_at);
            return (now <= response_due).then_some(Selection::Wait);
        }
        if request.health_checks < MAX_CHECKS_PER_REQUEST && self.state.health_check_credit >= 1.0 {
            return Some(Selection::CheckFirst(id));
        }
        would_start.then_some(Selection::Send(id))
    }

    /// Selects the first endpoint whose queue would start the request while that still meets its
    /// objective.
    ///
    /// `would_start_soon` rarely allows this. Otherwise requests that can wait for long would fill
    /// the queues of all endpoints, and requests that cannot, even if worth more per slot-time,
    /// would never find a free slot.
    fn select_for_queueing(&self, context: &SelectionContext) -> Selection {
        let SelectionContext {
            now,
            request,
            permission,
            ..
        } = *context;
        let would_start_soon = |candidate: &&Candidate| {
            self.is_eligible(now, candidate.endpoint, request, permission)
                && self.would_start_soon(now, self.state.endpoint(candidate.endpoint), request)
        };
        let found = self
            .order_for(request)
            .candidates()
            .iter()
            .find(would_start_soon);
        found.map_or(Selection::NoCapacity, |candidate| {
            Selection::Send(candidate.endpoint)
        })
    }
}
