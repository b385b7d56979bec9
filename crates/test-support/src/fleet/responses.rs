//! Responses to clients, and the rules for them: exactly one response for each request, before the
//! deadline, and no overload response if the job may have run.
//!
//! A client retries after an overload response.

use super::clients::SimulatedRequest;
use super::event_queue::{Incarnation, SimulationEvent};
use super::plan::Disruption;
use super::simulation::Simulation;
use pumiceway_core::{ClientResponse, RequestHandle};
use pumiceway_decisions::api::{Class, DeduplicationScope, Idempotency, Timestamp};
use std::time::Duration;

/// A client retries at most this many times, and waits this long if the response names no time.
const MAX_RETRIES: u32 = 2;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Impatient clients divide the wait that an overload response asks for by this.
const IMPATIENT_DIVISOR: u32 = 4;

impl Simulation {
    /// Handles the response to a client, and checks it against the rules.
    pub fn receive_response(
        &mut self,
        incarnation: Incarnation,
        handle: RequestHandle,
        response: &ClientResponse,
    ) {
        let open = self.requests.get_mut(&handle);
        let Some(open) = open.filter(|open| open.incarnation == incarnation) else {
            return self.record_violation(format!("a response to an unknown request: {handle:?}"));
        };
        if !std::mem::take(&mut open.awaits_response) {
            return self.record_violation(format!("a second response: {response:?}"));
        }
        let (submitted_at, request) = (open.submitted_at, open.request);
        let class = &self.settings.classes[request.requirements.class];
        let is_on_time = self.now <= objective_end(&request, class);
        let may_repeat = may_repeat_anywhere(class);
        if self.now > submitted_at + class.deadline {
            self.record_violation(format!("a response after the deadline: {response:?}"));
        }
        self.instances[incarnation.instance].open_connections -= 1;
        match response {
            ClientResponse::Served(_) => {
                self.summary.served += 1;
                if is_on_time {
                    self.add_weight(&request, |weights| &mut weights.earned);
                }
            }
            ClientResponse::Overloaded { retry_after } => {
                self.summary.overloaded += 1;
                if !may_repeat {
                    self.check_never_ran(handle);
                }
                self.schedule_retry(request, *retry_after);
            }
            ClientResponse::Failed(_) => self.summary.failed += 1,
            ClientResponse::Rejected(reason) => {
                self.record_violation(format!("rejected: {reason}"))
            }
        }
        self.close_frontends_if_unused(incarnation);
    }

    /// Records a violation if the job of a request with an overload response may have run: the
    /// client will retry it.
    fn check_never_ran(&mut self, handle: RequestHandle) {
        let job = self.jobs.get(&handle.0);
        if job.is_some_and(|job| !job.possible_executions.is_empty()) {
            self.record_violation(format!(
                "job {} has an overload response, and may have run",
                handle.0
            ));
        }
    }

    fn schedule_retry(&mut self, request: SimulatedRequest, retry_after: Option<Duration>) {
        if request.retries >= MAX_RETRIES {
            return;
        }
        let requested = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let delay = if self.plan.disruption == Disruption::ImpatientClients {
            requested / IMPATIENT_DIVISOR
        } else {
            requested
        };
        let retry = SimulatedRequest {
            retries: request.retries + 1,
            ..request
        };
        self.schedule(delay, SimulationEvent::ClientRetries(retry));
    }

    pub fn deadline_passes(&mut self, handle: RequestHandle) {
        let Some(open) = self.requests.remove(&handle) else {
            return;
        };
        if open.awaits_response && self.is_current(open.incarnation) {
            let class = open.request.requirements.class;
            self.record_violation(format!(
                "no response to {} of class {class} in time",
                handle.0
            ));
        }
    }
}

/// The end of the latency objective: later responses do not earn the weight of the request.
fn objective_end(request: &SimulatedRequest, class: &Class) -> Timestamp {
    let stretched_work_us = class.objective_stretch * request.requirements.work_us;
    request.first_submitted_at
        + class.latency_objective
        + Duration::from_micros(stretched_work_us as u64)
}

/// Whether a job of a class may be repeated at any endpoint after it may have run.
fn may_repeat_anywhere(class: &Class) -> bool {
    matches!(
        class.idempotency,
        Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            }
    )
}
