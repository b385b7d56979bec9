//! When an endpoint is checked.
//!
//! - Before a request is sent without a recent update of the endpoint (see the module `selection`):
//!   each request adds credit for a few checks, and credit may be saved up.
//! - When a connection to the endpoint failed, and when its ejection ends.
//! - When the endpoint is silent for several mean running times with an attempt of this dispatcher
//!   in flight.
//! - In rotation, so that something is known of the endpoints that are not at the head of the
//!   preference order. With three endpoints per dispatcher or more, each endpoint is checked once
//!   in the time in which as many requests arrive as there are endpoints. With fewer, a smaller
//!   share of the endpoints is checked, down to none where dispatchers outnumber endpoints: there,
//!   all dispatchers would send to the few endpoints that old reports show as empty.

use super::Balancer;
use crate::api::{Action, EndpointId, HealthCheckResult, Outcome, RequestId, Timestamp};
use crate::time::{divide, from_micros_f64, micros_f64};
use std::time::Duration;

/// Health checks that each request adds to the credit.
pub(super) const CREDIT_PER_REQUEST: f64 = 2.0;
/// The most health checks that may be saved up.
pub(super) const MAX_CREDIT: f64 = 8.0;
/// Silence, in mean running times, after which an endpoint with an attempt of this dispatcher in
/// flight is checked.
const MAX_SILENCE_RUNS: f64 = 3.0;
/// Endpoints that one tick considers for a refresh.
const REFRESHES_PER_TICK: usize = 16;
/// The shortest time between two refreshes of one endpoint.
const MIN_REFRESH_INTERVAL_US: f64 = 500_000.0;
/// The share of the endpoints that are refreshed is this multiple of (endpoints - dispatchers) /
/// endpoints, limited to the range from 0 to 1.
const REFRESH_SHARE_SLOPE: f64 = 1.5;
/// EWMA weight of a health check in the mean time that one takes.
const CHECK_DURATION_EWMA_WEIGHT: f64 = 0.1;

impl Balancer {
    /// Starts a health check of an endpoint.
    pub(super) fn check_health(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = self.state.endpoint_mut(id);
        endpoint.health_check_in_flight = true;
        endpoint.health_checked_at = now;
        actions.push(Action::CheckHealth { endpoint: id });
    }

    /// Checks the endpoint that a request is about to be sent to, and charges the check to the
    /// credit.
    pub(super) fn check_for_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        self.state.health_check_credit -= 1.0;
        if let Some(request) = self.state.requests.get_mut(&id) {
            request.health_checks += 1;
        }
        self.check_health(now, endpoint, actions);
    }

    /// Handles the end of a health check.
    pub(super) fn on_health_checked(
        &mut self,
        now: Timestamp,
        result: HealthCheckResult,
        actions: &mut Vec<Action>,
    ) {
        let HealthCheckResult {
            endpoint: id,
            outcome,
            latency,
            report,
        } = result;
        self.state.endpoint_mut(id).health_check_in_flight = false;
        match outcome {
            Outcome::Success => {
                self.on_check_passed(now, id);
                self.state.health_check_us +=
                    CHECK_DURATION_EWMA_WEIGHT * (micros_f64(latency) - self.state.health_check_us);
                if let Some(report) = report {
                    self.on_load_report(now, id, report);
                }
            }
            // The endpoint is alive; it only rejected a health check beyond its limit. This does
            // not end its suspicion or ejection.
            Outcome::Rejected | Outcome::UnprovenRejection => {
                self.state.endpoint_mut(id).last_heard_at = now;
            }
            Outcome::NotSent => {}
            Outcome::Error
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::Cancelled => self.on_check_failed(now, id),
        }
        self.serve_queue(now, actions);
    }

    /// Ends the suspicion or ejection of an endpoint whose health check succeeded.
    ///
    /// An ejected endpoint may have restarted without the endpoint list showing it yet, so it is
    /// treated as one in slow start. This includes an endpoint that merely could not be reached.
    fn on_check_passed(&mut self, now: Timestamp, id: EndpointId) {
        let endpoint = self.state.endpoint_mut(id);
        endpoint.last_heard_at = now;
        let was_excluded = endpoint.excluded_until.take().is_some();
        if was_excluded && endpoint.ejections > 0 {
            endpoint.on_probation = true;
            endpoint.started_at = endpoint.started_at.max(endpoint.last_failure_at);
        }
    }

    /// Ejects an endpoint whose health check failed. A check that was sent before a stall of this
    /// process proves nothing, unless the endpoint was already suspected or ejected.
    fn on_check_failed(&mut self, now: Timestamp, id: EndpointId) {
        let resumed_at = self.state.resumed_at;
        let endpoint = self.state.endpoint_mut(id);
        if endpoint.excluded_until.is_some() || endpoint.health_checked_at >= resumed_at {
            endpoint.last_failure_at = now;
            self.eject(now, id);
        }
    }

    /// Checks monitored endpoints that are silent or whose ejection has ended, and stops monitoring
    /// those that no longer need it.
    pub(super) fn check_monitored(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let silence = from_micros_f64(MAX_SILENCE_RUNS * self.state.mean_run_us);
        let mut monitored = std::mem::take(&mut self.state.monitored);
        monitored.retain(|&id| {
            let is_due = self.is_check_due(now, id, silence);
            let endpoint = self.state.endpoint_mut(id);
            let has_attempts = endpoint.own_attempts > 0;
            endpoint.is_monitored =
                endpoint.is_ready() && (has_attempts || endpoint.excluded_until.is_some());
            let remains_monitored = endpoint.is_monitored;
            if remains_monitored && is_due && !endpoint.health_check_in_flight {
                self.recheck(now, id, actions);
            }
            remains_monitored
        });
        self.state.monitored = monitored;
    }

    fn is_check_due(&self, now: Timestamp, id: EndpointId, silence: Duration) -> bool {
        let endpoint = self.state.endpoint(id);
        if let Some(excluded_until) = endpoint.excluded_until {
            return now >= excluded_until;
        }
        let is_silent = endpoint.last_heard_at.max(self.state.resumed_at) + silence <= now;
        let no_recent_check = endpoint.health_checked_at + divide(silence, 2) <= now;
        endpoint.own_attempts > 0 && is_silent && no_recent_check
    }

    /// Checks a monitored endpoint. Where health checks are not allowed, an endpoint whose ejection
    /// has ended is put on probation at once.
    fn recheck(&mut self, now: Timestamp, id: EndpointId, actions: &mut Vec<Action>) {
        if self.settings.health_checks {
            return self.check_health(now, id, actions);
        }
        let endpoint = self.state.endpoint_mut(id);
        endpoint.on_probation |= endpoint.excluded_until.take().is_some();
    }

    /// Checks endpoints in rotation, in the preference order of the first class.
    pub(super) fn refresh_reports(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let count = self
            .preferences
            .first()
            .map_or(0, super::preference::PreferenceOrder::len);
        if !self.can_poll_load() || count == 0 {
            return;
        }
        let gap_us = self.state.request_gap_us;
        let interval = from_micros_f64((gap_us * count as f64).max(MIN_REFRESH_INTERVAL_US));
        self.accrue_refresh_credit(now, count);
        for _ in 0..count.min(REFRESHES_PER_TICK) {
            self.state.refresh_cursor = (self.state.refresh_cursor + 1) % count;
            let id = self.preferences[0].candidates()[self.state.refresh_cursor].endpoint;
            let endpoint = self.state.endpoint(id);
            let is_due = endpoint.reported_at + interval <= now
                && endpoint.health_checked_at + interval <= now;
            let may_check = !endpoint.health_check_in_flight && endpoint.excluded_until.is_none();
            if is_due && may_check && self.state.refresh_credit >= 1.0 {
                self.state.refresh_credit -= 1.0;
                self.check_health(now, id, actions);
            }
        }
    }

    /// Adds credit for the rotation: for each mean time between requests that has passed, one check
    /// times the share of the endpoints that are refreshed. The credit is full at the first call
    /// and where all endpoints are refreshed.
    fn accrue_refresh_credit(&mut self, now: Timestamp, count: usize) {
        let surplus_share = 1.0 - self.settings.instance_count as f64 / count as f64;
        let refresh_share = (REFRESH_SHARE_SLOPE * surplus_share).clamp(0.0, 1.0);
        let max_credit = refresh_share * count as f64;
        let accrued = match self.state.refresh_credited_at.replace(now) {
            Some(since) if refresh_share < 1.0 => {
                now.micros_since(since) as f64 / self.state.request_gap_us.max(1.0) * refresh_share
            }
            _ => max_credit,
        };
        self.state.refresh_credit = (self.state.refresh_credit + accrued).min(max_credit);
    }
}
