//! Responses to clients, and the rules for them: one for each request, in time, and no overload
//! response where the job may have run.
//!
//! A client retries after an overload response.

use super::agenda::{Incarnation, SimulationEvent};
use super::clients::SimulatedRequest;
use super::plan::Day;
use super::simulation::Simulation;
use pumiceway_core::{ClientResponse, RequestHandle};
use pumiceway_decisions::api::{Class, DeduplicationScope, Idempotency, Timestamp};
use std::time::Duration;

/// A client retries at most this often, and after this time if the response names none.
const MAX_RETRIES: u32 = 2;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Impatient clients wait for this part of the time that they are asked to.
const IMPATIENT_DIVISOR: u32 = 4;

impl Simulation {
    /// A client gets a response, which is checked against the rules for responses.
    pub fn response_arrives(
        &mut self,
        incarnation: Incarnation,
        handle: RequestHandle,
        response: &ClientResponse,
    ) {
        let open = self.requests.get_mut(&handle);
        let Some(open) = open.filter(|open| open.incarnation == incarnation) else {
            return self.violation(format!("a response to an unknown request: {handle:?}"));
        };
        if !std::mem::take(&mut open.awaits_response) {
            return self.violation(format!("a second response: {response:?}"));
        }
        let (submitted_at, request) = (open.submitted_at, open.request);
        let class = &self.settings.classes[request.requirements.class];
        let is_on_time = self.now <= objective_of(&request, class);
        let may_repeat = may_repeat_anywhere(class);
        if self.now > submitted_at + class.deadline {
            self.violation(format!("a response after the deadline: {response:?}"));
        }
        self.instances[incarnation.instance].open_connections -= 1;
        match response {
            ClientResponse::Served(_) => {
                self.summary.served += 1;
                if is_on_time {
                    self.add_weight(&request, |service| &mut service.earned_weight);
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
            ClientResponse::Rejected(reason) => self.violation(format!("rejected: {reason}")),
        }
        self.close_frontends_if_unused(incarnation);
    }

    /// An overload response invites a retry, so its job must not have run.
    fn check_never_ran(&mut self, handle: RequestHandle) {
        let job = self.jobs.get(&handle.0);
        if job.is_some_and(|job| !job.possible_executions.is_empty()) {
            self.violation(format!(
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
        let delay = if self.plan.day == Day::ImpatientClients {
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
            self.violation(format!(
                "no response to {} of class {class} in time",
                handle.0
            ));
        }
    }
}

/// Until when a response earns the weight of its request.
fn objective_of(request: &SimulatedRequest, class: &Class) -> Timestamp {
    let stretched_work_us = class.objective_stretch * request.requirements.work_us;
    request.since + class.latency_objective + Duration::from_micros(stretched_work_us as u64)
}

/// Whether a client may repeat a job of a class that may have run, at any endpoint.
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
