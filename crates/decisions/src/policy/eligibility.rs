//! Which endpoints may be sent a request at all, whatever their capacity.
//!
//! Inputs: the state of the endpoint, what the rules permit for the request, and the estimated
//! health of the endpoint. An endpoint on probation, or one that returns errors, gets one request
//! at a time, and only idempotent ones while any arrive: a request that is lost or fails there may
//! then be repeated elsewhere.

use super::Balancer;
use crate::api::{EndpointId, EndpointState, Idempotency, Timestamp};
use crate::rules::{self, Execution, Permission};
use crate::state::{Attempt, Endpoint, Request};
use std::time::Duration;

/// An endpoint on probation gets only idempotent requests, unless none has arrived for this long.
const IDEMPOTENT_TRAFFIC_TIMEOUT: Duration = Duration::from_secs(10);

impl Balancer {
    /// What the rules permit for a request after its attempts so far.
    pub(super) fn permission(&self, now: Timestamp, request: &Request) -> Permission {
        rules::attempt_permission(
            now,
            &self.settings,
            request.class,
            request.attempts.iter().map(Attempt::record),
        )
    }

    /// Whether an endpoint may be sent this request.
    pub(super) fn is_eligible(
        &self,
        now: Timestamp,
        id: EndpointId,
        request: &Request,
        permission: &Permission,
    ) -> bool {
        let endpoint = self.state.endpoint(id);
        endpoint.state == EndpointState::Ready
            && endpoint.excluded_until.is_none()
            && now >= endpoint.backoff_until
            && permission
                .check_endpoint(endpoint.zone, endpoint.cell)
                .is_ok()
            && self.passes_probation(now, endpoint, request)
            && !may_have_run_at(request, id)
            && self.has_slow_start_budget(now, endpoint, request)
    }

    /// Whether the limits on an endpoint that is on probation or failing allow the request; true
    /// for any other endpoint.
    fn passes_probation(&self, now: Timestamp, endpoint: &Endpoint, request: &Request) -> bool {
        if !endpoint.on_probation && !self.is_failing(endpoint) {
            return true;
        }
        let is_idempotent =
            self.settings.classes[request.class.0].idempotency == Idempotency::Idempotent;
        let has_idempotent_traffic =
            now < self.state.last_idempotent_at + IDEMPOTENT_TRAFFIC_TIMEOUT;
        endpoint.own_attempts == 0 && (is_idempotent || !has_idempotent_traffic)
    }
}

/// Whether an attempt of the request may have run at this endpoint, or is still in flight there.
fn may_have_run_at(request: &Request, id: EndpointId) -> bool {
    let sent =
        |attempt: &Attempt| attempt.endpoint == id && attempt.execution != Execution::NeverRan;
    request.attempts.iter().any(sent)
}
