//! Executes the effects of a core in the simulation.

use super::attempts::NETWORK_DELAY;
use super::event_queue::{AttemptKey, Incarnation, SimulationEvent, WatchId};
use super::plan::InjectedFault;
use super::simulation::Simulation;
use pumiceway_core::{
    ClientResponse, Core, Effect, EndpointAddress, Event, HealthCheckId, RequestHandle,
};
use pumiceway_decisions::api::{EndpointId, Outcome, Timestamp};
use std::time::Duration;

/// The factor by which [`InjectedFault::DiscoveryCallsSlow`] delays calls to discovery.
const SLOW_CALL_FACTOR: u32 = 10;

/// The index of an endpoint in the simulation, which serves as its address. Endpoint ids differ
/// between cores.
pub(super) fn endpoint_index(address: &EndpointAddress) -> usize {
    address.to_string().parse().unwrap_or(usize::MAX)
}

/// The result of a health check.
struct HealthCheckRun {
    outcome: Outcome,
    duration: Duration,
}

impl Simulation {
    pub fn execute_effect(&mut self, incarnation: Incarnation, effect: Effect) {
        let instance = incarnation.instance;
        match effect {
            Effect::StartAttempt {
                attempt,
                address,
                job,
                ..
            } => {
                let key = AttemptKey {
                    incarnation,
                    attempt,
                };
                self.start_attempt(key, endpoint_index(&address), &job);
            }
            Effect::AbortAttempt { attempt } => self.abort_attempt(AttemptKey {
                incarnation,
                attempt,
            }),
            Effect::Respond { handle, response } => self.respond(incarnation, handle, response),
            Effect::CheckHealth {
                endpoint,
                check,
                address,
            } => self.check_health(incarnation, endpoint, check, endpoint_index(&address)),
            Effect::CloseIdleConnections { endpoint } => {
                self.close_idle_connections(instance, endpoint);
            }
            Effect::WatchDiscovery { .. } => self.watch_discovery(incarnation),
            Effect::SetTimer { at } => self.set_timer(incarnation, at),
            Effect::CloseFrontends { .. } => self.close_frontends(incarnation),
            Effect::Exit => self.exit(incarnation),
            Effect::ReportReady => self.instances[instance].is_ready = true,
            Effect::ForwardUpdate { .. } | Effect::Warn { .. } | Effect::LogLease { .. } => {}
        }
    }

    fn respond(
        &mut self,
        incarnation: Incarnation,
        handle: RequestHandle,
        response: ClientResponse,
    ) {
        let is_failure = matches!(response, ClientResponse::Failed(_));
        let response = if is_failure && self.plan.injects(InjectedFault::FailureSentAsOverloaded) {
            ClientResponse::Overloaded { retry_after: None }
        } else {
            response
        };
        self.receive_response(incarnation, handle, &response);
        if self.plan.injects(InjectedFault::ResponseRepeated) && handle.0 % 1_000 == 7 {
            self.receive_response(incarnation, handle, &response);
        }
    }

    fn check_health(
        &mut self,
        incarnation: Incarnation,
        endpoint: EndpointId,
        check: HealthCheckId,
        index: usize,
    ) {
        self.summary.health_checks += 1;
        let instance = incarnation.instance;
        self.take_connection(instance, index);
        let HealthCheckRun { outcome, duration } = self.health_check_run(instance, index);
        let is_success = outcome == Outcome::Success;
        let report = is_success.then(|| self.endpoints[index].load_report(self.now));
        if is_success {
            self.keep_connection(instance, index, self.now + duration);
        }
        let checked = Event::HealthChecked {
            endpoint,
            check,
            outcome,
            report,
        };
        self.schedule(duration, SimulationEvent::Delivered(incarnation, checked));
    }

    fn health_check_run(&self, instance: usize, endpoint: usize) -> HealthCheckRun {
        if self.is_reachable(instance, endpoint) {
            HealthCheckRun {
                outcome: Outcome::Success,
                duration: 2 * NETWORK_DELAY,
            }
        } else if !self.endpoints[endpoint].is_alive {
            HealthCheckRun {
                outcome: Outcome::ConnectFailed,
                duration: NETWORK_DELAY,
            }
        } else {
            HealthCheckRun {
                outcome: Outcome::Timeout,
                duration: self.settings.connect_timeout,
            }
        }
    }

    fn close_idle_connections(&mut self, instance: usize, endpoint: EndpointId) {
        let core = self.instances[instance].core.as_ref();
        let overview = core.map(Core::overview).unwrap_or_default();
        if let Some(listed) = overview.endpoints.get(endpoint.0 as usize) {
            let index = endpoint_index(&listed.address);
            self.instances[instance].idle_connections.remove(&index);
        }
    }

    fn watch_discovery(&mut self, incarnation: Incarnation) {
        let draw = self.rng.f64();
        let instance = &mut self.instances[incarnation.instance];
        let scheduled = if instance.watches_requested > 0 {
            instance.call_schedule.first_moved(draw)
        } else {
            instance.call_schedule.first(draw)
        };
        instance.watches_requested += 1;
        let watch = WatchId {
            incarnation,
            number: instance.watches_requested,
        };
        let delay = if self.plan.injects(InjectedFault::DiscoveryCallsSlow) {
            scheduled * SLOW_CALL_FACTOR
        } else {
            scheduled
        };
        self.schedule(delay, SimulationEvent::DiscoveryCalled(watch));
    }

    fn set_timer(&mut self, incarnation: Incarnation, at: Timestamp) {
        self.instances[incarnation.instance].timer = Some(at);
        if incarnation.instance == 0 && self.plan.injects(InjectedFault::TimerLost) {
            return;
        }
        let delay = at.saturating_duration_since(self.now);
        self.schedule(delay, SimulationEvent::TimerExpires(incarnation, at));
    }

    fn close_frontends(&mut self, incarnation: Incarnation) {
        self.instances[incarnation.instance].frontends_open = false;
        if self.plan.injects(InjectedFault::EarlyExit) {
            self.exit(incarnation);
        } else {
            self.close_frontends_if_unused(incarnation);
        }
    }
}
