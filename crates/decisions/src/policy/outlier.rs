//! When an endpoint is suspected, ejected, on probation or avoided, and when a zone is lost.
//!
//! - An endpoint whose connection failed is suspected: nothing is sent to it until a health check
//!   ends.
//! - An endpoint whose health check failed is ejected for a back-off, which doubles with each
//!   ejection in a row, and is checked again after it.
//! - A successful health check brings a suspected endpoint back as it was, and puts an ejected one
//!   on probation: it gets one request at a time until it responds.
//! - Where health checks are not allowed, an endpoint whose connection failed is ejected at once,
//!   and is on probation after the back-off.
//! - An endpoint that has not responded since an attempt that became overdue was sent is put on
//!   probation as well (see the module `overdue`).
//! - A response, or progress of an attempt, ends suspicion, ejection and probation at once. So does
//!   a restart of the endpoint.
//! - An endpoint that completes far fewer requests than the mean one at the same utilization is
//!   slow. It is considered last where dispatchers outnumber endpoints.
//! - An endpoint that returns errors far more often than the others is failing, and gets one
//!   request at a time, as on probation.
//! - A zone is lost when several of its endpoints are ejected and none has been heard from since.

use super::Balancer;
use crate::api::{Action, EndpointId, Timestamp, ZoneId};
use crate::state::Endpoint;
use std::time::Duration;

/// Duration of the first ejection in a row.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Doublings after which the longest ejection is certainly reached.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// CPU utilization below which the throughput of an endpoint says nothing about its speed.
const MIN_UTILIZATION: f64 = 0.3;
/// An endpoint is slow if it completes less than this share of what the mean endpoint completes at
/// the same utilization.
const SLOW_THROUGHPUT_RATIO: f64 = 0.4;
/// An endpoint is failing if its error rate exceeds this by more than a multiple of the mean error
/// rate of the others.
const MIN_ERROR_RATE: f64 = 0.1;
/// That multiple of the mean error rate of the others.
const ERROR_RATE_MULTIPLE: f64 = 2.0;
/// Number of ejected endpoints from which a zone is considered lost.
const MIN_EJECTED_IN_LOST_ZONE: usize = 2;

impl Balancer {
    /// Whether an endpoint is slow compared to the mean one.
    pub(super) fn is_slow(&self, endpoint: &Endpoint) -> bool {
        let own = &endpoint.throughput;
        let mean = &self.state.fleet_throughput;
        own.cpu_utilization > MIN_UTILIZATION
            && own.requests_per_second * mean.cpu_utilization
                < SLOW_THROUGHPUT_RATIO * mean.requests_per_second * own.cpu_utilization
    }

    /// Whether an endpoint returns errors far more often than the others.
    ///
    /// Such an endpoint would always have capacity and attract all requests. The rate is compared
    /// to that of the others because invalid requests fail wherever they are sent.
    pub(super) fn is_failing(&self, endpoint: &Endpoint) -> bool {
        if endpoint.error_rate <= MIN_ERROR_RATE {
            return false;
        }
        let ready = || {
            self.state
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_ready())
        };
        let sum: f64 = ready().map(|endpoint| endpoint.error_rate).sum();
        let mean_of_others = (sum - endpoint.error_rate) / (ready().count() as f64 - 1.0);
        endpoint.error_rate > MIN_ERROR_RATE + ERROR_RATE_MULTIPLE * mean_of_others
    }

    /// Whether a whole zone seems lost.
    pub(super) fn is_zone_lost(&self, zone: ZoneId) -> bool {
        let members = || {
            self.state
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_ready() && endpoint.zone == zone)
        };
        let last_heard_at = members()
            .map(|endpoint| endpoint.last_heard_at)
            .max()
            .unwrap_or_default();
        let is_silent = |endpoint: &&Endpoint| {
            endpoint.excluded_until.is_some() && endpoint.last_failure_at > last_heard_at
        };
        members().filter(is_silent).count() >= MIN_EJECTED_IN_LOST_ZONE
    }

    /// Marks an endpoint as suspected after a connection to it failed. Only the connection may have
    /// failed, so a health check follows at once; without health checks, the endpoint is ejected.
    pub(super) fn suspect(&mut self, now: Timestamp, id: EndpointId, actions: &mut Vec<Action>) {
        if !self.settings.health_checks {
            return self.eject(now, id);
        }
        if self.state.endpoint(id).excluded_until.is_some() {
            return;
        }
        self.state.endpoint_mut(id).excluded_until = Some(now);
        self.state.monitor(id);
        // An endpoint that is draining or gone is no longer checked.
        let endpoint = self.state.endpoint(id);
        if endpoint.is_ready() && !endpoint.health_check_in_flight {
            self.check_health(now, id, actions);
        }
    }

    /// Ejects an endpoint for a back-off.
    pub(super) fn eject(&mut self, now: Timestamp, id: EndpointId) {
        let endpoint = self.state.endpoint_mut(id);
        let doublings = endpoint.ejections.min(MAX_EJECTION_DOUBLINGS);
        let backoff = (MIN_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        endpoint.ejections += 1;
        endpoint.excluded_until = Some(now + backoff);
        self.state.monitor(id);
    }
}
