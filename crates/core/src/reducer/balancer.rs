//! The decisions: what they are told, and how their actions are carried out.
//!
//! Each action is checked against the rules once more. The decisions ask the same rules, so a
//! denial is a fault of theirs, unless a response or a deadline has crossed the decision.

use super::attempts::SendRequest;
use crate::{ClientResponse, Core, Effect, Failure, HealthCheckId, Warning};
use pumiceway_decisions::api::{
    self, Action, EndpointId, HealthCheckResult, ListKind, LoadReport, Outcome, RequestId,
    Timestamp,
};
use pumiceway_decisions::rules::Denial;
use std::time::Duration;

/// The shortest timer of the decisions: endpoints that answer health checks at once would make them
/// run without pause.
const MIN_BALANCER_TIMER: Duration = Duration::from_millis(1);

/// What the balancer is to be told. Lists borrow the endpoint set, so their entries are built when
/// they are told.
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

    pub(super) fn notify_balancer_list(&mut self, kind: ListKind, endpoints: Vec<EndpointId>) {
        self.balancer_inputs
            .push_back(BalancerInput::List { kind, endpoints });
    }

    /// Tells the balancer all it is to be told, and carries out its actions.
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
                self.carry_out(now, action, effects);
            }
        }
    }

    fn carry_out(&mut self, now: Timestamp, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => {
                self.send(
                    now,
                    &SendRequest {
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
            } => self.cancel(now, request, attempt_index, effects),
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
            // Discovery is watched from the first configuration on, at a pace of its own.
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
        let response = if may_shed {
            ClientResponse::Overloaded { retry_after }
        } else {
            self.note_denial(Denial::MayHaveRun, effects);
            ClientResponse::Failed(Failure::NotServed)
        };
        self.respond(now, request, &response, effects);
    }

    fn check_health(&mut self, now: Timestamp, endpoint: EndpointId, effects: &mut Vec<Effect>) {
        let check = HealthCheckId(self.next_id());
        if let Err(denial) = self.endpoints.write_permission(now, endpoint) {
            self.note_denial(denial, effects);
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

    /// Counts a decision that the rules do not permit, and warns, unless a response or the deadline
    /// may simply have come first.
    pub(super) fn note_denial(&mut self, denial: Denial, effects: &mut Vec<Effect>) {
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
