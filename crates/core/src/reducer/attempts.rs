//! Attempts in flight. Each has exactly one outcome, with which it is removed; later updates and
//! outcomes of the same attempt are ignored.

use super::requests::OpenRequest;
use super::timers::Timer;
use crate::{
    AttemptId, AttemptOutcome, AttemptUpdate, ClientResponse, Core, Effect, EndpointAddress,
    Rejection,
};
use pumiceway_decisions::api::{
    self, AttemptProgress, AttemptResult, EndpointId, Idempotency, LoadReport, Outcome, Progress,
    RequestId, Timestamp,
};
use pumiceway_decisions::rules::{self, AttemptRecord, Denial, Execution};
use std::time::Duration;

/// Attempts time out this long before the client's deadline, which leaves time for the final
/// response to arrive.
pub(super) const ATTEMPT_MARGIN: Duration = Duration::from_millis(25);
/// How long non-idempotent requests avoid idle connections after one was found closed.
const IDLE_CONNECTION_AVOIDANCE: Duration = Duration::from_secs(30);

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    request: RequestId,
    attempt_index: usize,
    endpoint: EndpointId,
    sent_at: Timestamp,
    /// When the attempt times out.
    timeout_at: Timestamp,
}

/// The fields of [`Action::Send`](api::Action::Send).
pub(super) struct SendParams {
    pub(super) request: RequestId,
    pub(super) endpoint: EndpointId,
    /// Timeout of the attempt; with `None` or zero, only the deadline of the request applies.
    pub(super) timeout: Option<Duration>,
}

impl Core {
    pub(super) fn send(&mut self, now: Timestamp, send: &SendParams, effects: &mut Vec<Effect>) {
        let attempt = AttemptId(self.next_id());
        // Checked before the attempt is recorded, which would otherwise count against its own
        // limit.
        let permission = self.send_permission(now, send);
        let address = self.endpoints.address(send.endpoint).cloned();
        let (zone, cell) = self.endpoints.zone_and_cell(send.endpoint);
        let Some(request) = self.requests.get_mut(&send.request) else {
            return;
        };
        let attempt_index = request.attempts.len();
        let endpoint = send.endpoint;
        let execution = Execution::InFlight;
        request.attempts.push(AttemptRecord {
            endpoint,
            zone,
            cell,
            sent_at: now,
            execution,
        });
        let latest = request.deadline.saturating_sub(ATTEMPT_MARGIN);
        let timeout = send.timeout.filter(|timeout| !timeout.is_zero());
        let timeout_at = timeout.map_or(latest, |timeout| latest.min(now + timeout));
        let permission = if timeout_at <= now {
            Err(Denial::DeadlinePassed)
        } else {
            permission
        };
        let in_flight = InFlightAttempt {
            request: send.request,
            attempt_index,
            endpoint,
            sent_at: now,
            timeout_at,
        };
        self.attempts.insert(attempt, in_flight);
        match (address, permission) {
            (Some(address), Ok(write_by)) => {
                effects.push(self.start_attempt(now, attempt, address, write_by));
            }
            (_, permission) => {
                if let Err(denial) = permission {
                    self.record_denial(denial, effects);
                }
                self.end_attempt(now, attempt, Outcome::NotSent, None);
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        address: EndpointAddress,
        write_by: Option<Timestamp>,
    ) -> Effect {
        let InFlightAttempt {
            request,
            attempt_index,
            endpoint,
            timeout_at,
            ..
        } = self.attempts[&attempt];
        let request = &self.requests[&request];
        self.timers.set(timeout_at, Timer::AttemptTimeout(attempt));
        let until_deadline = request.deadline.saturating_duration_since(now);
        // A non-idempotent request cannot be retried if the endpoint has already closed the idle
        // connection on which it is sent.
        let is_non_idempotent = self.settings.classes[request.function.class.0].idempotency
            == Idempotency::NonIdempotent;
        Effect::StartAttempt {
            attempt,
            attempt_index,
            endpoint,
            address,
            function: request.function,
            job: request.job.clone(),
            remaining: until_deadline.min(timeout_at.saturating_duration_since(now)),
            dedicated_connection: now < self.avoid_idle_connections_until && is_non_idempotent,
            write_by,
        }
    }

    /// Whether a request may be sent to an endpoint now, and the latest time to write its first
    /// byte (`None`: no limit).
    fn send_permission(
        &self,
        now: Timestamp,
        send: &SendParams,
    ) -> Result<Option<Timestamp>, Denial> {
        let request = self
            .requests
            .get(&send.request)
            .filter(|request| !request.is_done);
        let request = request.ok_or(Denial::RequestDone)?;
        let (zone, cell) = self.endpoints.zone_and_cell(send.endpoint);
        self.permission(now, request).check_endpoint(zone, cell)?;
        if !self.endpoints.lists(send.endpoint, request.function) {
            return Err(Denial::FunctionNotListed);
        }
        self.endpoints.write_permission(now, send.endpoint)
    }

    /// What the rules permit for a request after its attempts so far.
    pub(super) fn permission(&self, now: Timestamp, request: &OpenRequest) -> rules::Permission {
        rules::attempt_permission(
            now,
            &self.settings,
            request.function.class,
            request.attempts.iter().copied(),
        )
    }

    pub(super) fn cancel_attempt(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt_index: usize,
        effects: &mut Vec<Effect>,
    ) {
        let is_match = |attempt: &InFlightAttempt| {
            attempt.request == request && attempt.attempt_index == attempt_index
        };
        let found = self.attempts.iter().find(|(_, attempt)| is_match(attempt));
        if let Some((&attempt, _)) = found {
            effects.push(Effect::AbortAttempt { attempt });
            self.end_attempt(now, attempt, Outcome::Cancelled, None);
        }
    }

    pub(super) fn on_attempt_timeout(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::AbortAttempt { attempt });
        self.end_attempt(now, attempt, Outcome::Timeout, None);
    }

    pub(super) fn on_attempt_updated(
        &mut self,
        attempt: AttemptId,
        update: &AttemptUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return;
        };
        let InFlightAttempt {
            request,
            attempt_index,
            endpoint,
            ..
        } = *in_flight;
        let progress = match update {
            AttemptUpdate::Started => Progress::Started,
            AttemptUpdate::Fraction(fraction) => Progress::Fraction(*fraction),
            AttemptUpdate::Data(_) | AttemptUpdate::Warning(_) => Progress::Fraction(0.0),
        };
        if let Some(open) = self.requests.get(&request) {
            let forward = |&handle| Effect::ForwardUpdate {
                handle,
                update: update.clone(),
            };
            effects.extend(open.handles.iter().map(forward));
        }
        let progress = AttemptProgress {
            request,
            attempt_index,
            endpoint,
            progress,
        };
        self.notify_balancer(api::Event::AttemptProgressed(progress));
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.attempts.get(&attempt).map(|attempt| attempt.request) else {
            return;
        };
        let outcome = match outcome {
            AttemptOutcome::Served(result) => {
                self.respond(now, request, &ClientResponse::Served(result), effects);
                Outcome::Success
            }
            AttemptOutcome::InvalidJob => {
                // Not retried: the job would be invalid at any other endpoint as well.
                let response = ClientResponse::Rejected(Rejection::InvalidJob);
                self.respond(now, request, &response, effects);
                Outcome::Error
            }
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Rejected => Outcome::Rejected,
            AttemptOutcome::UnprovenRejection => Outcome::UnprovenRejection,
            AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
            AttemptOutcome::NotSent => Outcome::NotSent,
            AttemptOutcome::Reset => Outcome::Reset,
            AttemptOutcome::IdleConnectionReset => {
                self.avoid_idle_connections_until = now + IDLE_CONNECTION_AVOIDANCE;
                Outcome::Reset
            }
            AttemptOutcome::TimedOut => Outcome::Timeout,
        };
        self.end_attempt(now, attempt, outcome, report);
    }

    /// Removes an attempt, records its outcome and notifies the balancer.
    fn end_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let InFlightAttempt {
            request,
            attempt_index,
            endpoint,
            sent_at,
            timeout_at,
        } = ended;
        self.timers
            .cancel(timeout_at, Timer::AttemptTimeout(attempt));
        let mut request_done = true;
        if let Some(open) = self.requests.get_mut(&request) {
            let never_ran = outcome.never_ran();
            open.attempts[attempt_index].execution = if never_ran {
                Execution::NeverRan
            } else {
                Execution::MayHaveRun
            };
            request_done = open.is_done;
        }
        let latency = now.saturating_duration_since(sent_at);
        let result = AttemptResult {
            request,
            attempt_index,
            endpoint,
            outcome,
            latency,
            request_done,
            report,
        };
        self.notify_balancer(api::Event::AttemptEnded(result));
        self.remove_if_finished(request);
    }
}
