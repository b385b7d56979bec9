//! The interface to the balancer: passes events to it and executes its actions.
//!
//! Each action is checked against the rules again before it is executed. The balancer applies the
//! same rules, so a denial is a bug in the balancer, unless a response or the deadline came between
//! the decision and its execution.

use super::attempts::SendParams;
use crate::{ClientResponse, Core, Effect, Failure, HealthCheckId, Warning};
use pumiceway_decisions::api::{
    self, Action, EndpointId, HealthCheckResult, ListKind, LoadReport, Outcome, RequestId,
    Timestamp,
};
use pumiceway_decisions::rules::Denial;
use std::time::Duration;

/// Lower bound of the balancer's timer: with endpoints that respond to health checks at once, the
/// balancer would otherwise run in a busy loop.
const MIN_BALANCER_TIMER: Duration = Duration::from_millis(1);

/// An input for the balancer. The entries of a list borrow the endpoint set, so they are built only
/// when the balancer handles the input.
pub(super) enum BalancerInput {
    List {
        kind: ListKind,
        endpoints: Vec<EndpointId>,
    },
    Event(api::Event<'static>),
}

/// A health check in flight.
pub(super) struct InFlightHealthCheck {
    pub(super) endpoint: EndpointId,
    sent_at: Timestamp,
}

impl Core {
    pub(super) fn notify_balancer(&mut self, event: api::Event<'static>) {
        self.balancer_inputs.push_back(BalancerInput::Event(event));
    }

    pub(super) fn notify_balancer_of_list(&mut self, kind: ListKind, endpoints: Vec<EndpointId>) {
        self.balancer_inputs
            .push_back(BalancerInput::List { kind, endpoints });
    }

    /// Passes all queued inputs to the balancer and executes the resulting actions.
    pub(super) fn run_balancer(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(input) = self.balancer_inputs.pop_front() {
            match input {
                BalancerInput::Event(event) => self.balancer.handle(now, event, &mut actions),
                BalancerInput::List { kind, endpoints } => {
                    let entries: Vec<_> = endpoints
                        .iter()
                        .map(|&id| self.endpoints.entry(id))
                        .collect();
                    let event = api::Event::EndpointList {
                        kind,
                        entries: &entries,
                    };
                    self.balancer.handle(now, event, &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.execute_action(now, action, effects);
            }
        }
    }

    fn execute_action(&mut self, now: Timestamp, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => {
                self.send(
                    now,
                    &SendParams {
                        request,
                        endpoint,
                        timeout,
                    },
                    effects,
                );
            }
            Action::Cancel {
                request,
                attempt_index,
            } => self.cancel_attempt(now, request, attempt_index, effects),
            Action::Shed {
                request,
                retry_after,
            } => self.shed(now, request, retry_after, effects),
            Action::Fail { request } => {
                let response = ClientResponse::Failed(Failure::NotServed);
                self.respond(now, request, &response, effects);
            }
            Action::CheckHealth { endpoint } => self.check_health(now, endpoint, effects),
            Action::CloseIdleConnections { endpoint } => {
                effects.push(Effect::CloseIdleConnections { endpoint });
            }
            // Nothing to do: discovery is watched from the first configuration on, independently of
            // the balancer.
            Action::Subscribe => {}
            Action::SetTimer { after } => self
                .timers
                .set_balancer(now + after.max(MIN_BALANCER_TIMER)),
            Action::Log(line) => effects.push(Effect::Warn(Warning::Decisions(line))),
        }
    }

    fn shed(
        &mut self,
        now: Timestamp,
        request: RequestId,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let open = self.requests.get(&request).filter(|open| !open.is_done);
        let may_shed = open.is_none_or(|open| self.permission(now, open).may_shed);
        // The client would retry under the same unique id.
        let is_retry_in_vain =
            open.is_some_and(|open| open.unique_id().is_some() && self.must_not_run_again(open));
        let response = if may_shed && !is_retry_in_vain {
            ClientResponse::Overloaded { retry_after }
        } else {
            ClientResponse::Failed(Failure::NotServed)
        };
        if !may_shed {
            self.record_denial(Denial::MayHaveRun, effects);
        }
        self.respond(now, request, &response, effects);
    }

    fn check_health(&mut self, now: Timestamp, endpoint: EndpointId, effects: &mut Vec<Effect>) {
        let check = HealthCheckId(self.next_id());
        if let Err(denial) = self.endpoints.write_permission(now, endpoint) {
            self.record_denial(denial, effects);
            let (outcome, latency, report) = (Outcome::NotSent, Duration::ZERO, None);
            let result = HealthCheckResult {
                endpoint,
                outcome,
                latency,
                report,
            };
            self.notify_balancer(api::Event::HealthChecked(result));
        } else if let Some(address) = self.endpoints.address(endpoint).cloned() {
            self.health_checks.insert(
                check,
                InFlightHealthCheck {
                    endpoint,
                    sent_at: now,
                },
            );
            effects.push(Effect::CheckHealth {
                endpoint,
                check,
                address,
            });
        }
    }

    pub(super) fn on_health_checked(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        check: HealthCheckId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(sent) = self
            .health_checks
            .remove(&check)
            .filter(|sent| sent.endpoint == endpoint)
        else {
            return;
        };
        let latency = now.saturating_duration_since(sent.sent_at);
        let result = HealthCheckResult {
            endpoint,
            outcome,
            latency,
            report,
        };
        self.notify_balancer(api::Event::HealthChecked(result));
    }

    /// Counts a decision that the rules denied, and logs a warning unless a response or the
    /// deadline may just have come first.
    pub(super) fn record_denial(&mut self, denial: Denial, effects: &mut Vec<Effect>) {
        let count = self.denials.entry(denial).or_default();
        *count += 1;
        if !matches!(denial, Denial::RequestDone | Denial::DeadlinePassed) {
            effects.push(Effect::Warn(Warning::DecisionDenied {
                denial,
                count: *count,
            }));
        }
    }
}
