//! Carries out the disruption of a simulation, step by step: instances that are killed or
//! restarted, endpoints that are replaced, lost or silent, and tenants that exceed their quota.

use super::attempts::NETWORK_DELAY;
use super::endpoint::{Placement, SimulatedEndpoint};
use super::event_queue::SimulationEvent;
use super::plan::Disruption;
use super::simulation::Simulation;
use pumiceway_core::{AttemptOutcome, Event};
use pumiceway_decisions::api::EndpointState;
use std::time::Duration;

/// How long killed instances are down. The second one applies if endpoints drain meanwhile.
const KILLED_DOWNTIME: Duration = Duration::from_millis(400);
const KILLED_DOWNTIME_FOR_DRAIN: Duration = Duration::from_secs(7);
/// An instance is killed if its index modulo ten is below this.
const KILLED_IN_TEN: usize = 7;
/// A rolling restart and the addition of endpoints each have this many steps.
const ROLLING_STEPS: usize = 10;
const RESTART_STEP_INTERVAL: Duration = Duration::from_millis(800);
const ADDITION_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// A new configuration reaches all instances in this many steps.
const DISCOVERY_MOVE_STEPS: usize = 16;
const DISCOVERY_MOVE_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Endpoints are replaced in this many steps. An endpoint is replaced if its index modulo ten is
/// below `REPLACED_IN_TEN`.
const REPLACEMENT_STEPS: usize = 7;
const REPLACEMENT_STEP_INTERVAL: Duration = Duration::from_secs(1);
const REPLACED_IN_TEN: usize = 6;
/// The time from the loss of a zone until its endpoints are listed as gone, and from then until they
/// are ready again.
const ZONE_LISTED_GONE_AFTER: Duration = Duration::from_secs(2);
const ZONE_RESTORED_AFTER: Duration = Duration::from_secs(3);
/// One in this many endpoints is silent, for this long.
const SILENT_ONE_IN: usize = 5;
const SILENT_FOR: Duration = Duration::from_secs(6);
/// One in this many endpoints drains.
const DRAINING_ONE_IN: usize = 3;
/// How long a tenant exceeds its quota.
const FLOOD_LENGTH: Duration = Duration::from_secs(6);

impl Simulation {
    /// Carries out one step of the disruption, and schedules the next step if there is one.
    pub fn disruption_step(&mut self, step: usize) {
        let next = match self.plan.disruption {
            Disruption::None | Disruption::ZonePartitioned | Disruption::ImpatientClients => None,
            Disruption::TenantFlood => self.flood_step(),
            Disruption::InstancesKilled => self.kill_step(),
            Disruption::InstancesKilledBeforeDrain => self.kill_and_drain_step(step),
            Disruption::RollingRestart => self.rolling_restart_step(step),
            Disruption::DiscoveryMoved => self.discovery_move_step(step),
            Disruption::EndpointsReplaced => self.replacement_step(step),
            Disruption::ZoneLost => self.zone_loss_step(step),
            Disruption::EndpointsSilent => self.silence_step(step),
            Disruption::EndpointsAdded => self.addition_step(step),
            Disruption::ListsDelayed => self.drain_step(),
        };
        if let Some(delay) = next {
            self.schedule(delay, SimulationEvent::DisruptionStep(step + 1));
        }
    }

    fn flood_step(&mut self) -> Option<Duration> {
        self.flood_ends_at = self.now + FLOOD_LENGTH;
        None
    }

    fn killed_instances(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.plan.instances).filter(|instance| instance % 10 < KILLED_IN_TEN)
    }

    fn kill_step(&mut self) -> Option<Duration> {
        for instance in self.killed_instances() {
            self.kill_instance(instance);
            self.schedule(KILLED_DOWNTIME, SimulationEvent::InstanceStarts(instance));
        }
        None
    }

    fn kill_and_drain_step(&mut self, step: usize) -> Option<Duration> {
        if step > 0 {
            for instance in self.killed_instances() {
                self.start_instance(instance);
            }
            return None;
        }
        for instance in self.killed_instances() {
            self.kill_instance(instance);
        }
        self.drain_step();
        Some(KILLED_DOWNTIME_FOR_DRAIN)
    }

    fn drain_step(&mut self) -> Option<Duration> {
        for endpoint in (0..self.endpoints.len()).step_by(DRAINING_ONE_IN) {
            self.change_state(endpoint, EndpointState::Draining);
        }
        None
    }

    fn rolling_restart_step(&mut self, step: usize) -> Option<Duration> {
        let count = self.plan.instances;
        let stopped = (0..count).filter(|instance| instance * ROLLING_STEPS / count == step);
        for instance in stopped {
            self.request_stop(instance);
        }
        self.replace_endpoint(self.plan.endpoints * step / ROLLING_STEPS);
        (step + 1 < ROLLING_STEPS).then_some(RESTART_STEP_INTERVAL)
    }

    fn discovery_move_step(&mut self, step: usize) -> Option<Duration> {
        let instances = 0..self.plan.instances;
        for instance in instances.filter(|instance| instance % DISCOVERY_MOVE_STEPS == step) {
            let configured = Event::Configured {
                discovery: Some("elsewhere".to_owned()),
                list_version: None,
                restart_required: vec![],
            };
            self.deliver(self.current_incarnation(instance), configured);
        }
        self.replace_endpoint(self.plan.endpoints * step / DISCOVERY_MOVE_STEPS);
        (step + 1 < DISCOVERY_MOVE_STEPS).then_some(DISCOVERY_MOVE_STEP_INTERVAL)
    }

    fn replacement_step(&mut self, step: usize) -> Option<Duration> {
        let count = self.plan.endpoints;
        let is_replaced = |endpoint: &usize| {
            endpoint % 10 < REPLACED_IN_TEN && endpoint * REPLACEMENT_STEPS / count == step
        };
        for endpoint in (0..count).filter(is_replaced) {
            self.replace_endpoint(endpoint);
        }
        (step + 1 < REPLACEMENT_STEPS).then_some(REPLACEMENT_STEP_INTERVAL)
    }

    fn zone_loss_step(&mut self, step: usize) -> Option<Duration> {
        for endpoint in (0..self.endpoints.len()).step_by(self.settings.zone_count) {
            match step {
                0 => self.kill_endpoint(endpoint),
                1 => self.change_state(endpoint, EndpointState::Gone),
                _ => self.restore_endpoint(endpoint),
            }
        }
        match step {
            0 => Some(ZONE_LISTED_GONE_AFTER),
            1 => Some(ZONE_RESTORED_AFTER),
            _ => None,
        }
    }

    fn silence_step(&mut self, step: usize) -> Option<Duration> {
        let begins = step == 0;
        for endpoint in self.endpoints.iter_mut().step_by(SILENT_ONE_IN) {
            endpoint.is_silent = begins;
        }
        begins.then_some(SILENT_FOR)
    }

    fn addition_step(&mut self, step: usize) -> Option<Duration> {
        let endpoints = 0..self.plan.endpoints;
        for endpoint in endpoints.filter(|endpoint| endpoint % ROLLING_STEPS == step) {
            self.add_endpoint(endpoint % self.settings.zone_count);
        }
        (step + 1 < ROLLING_STEPS).then_some(ADDITION_STEP_INTERVAL)
    }

    fn kill_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_alive = false;
        for key in self.endpoints[endpoint].drop_all_runs() {
            if self.attempts.contains_key(&key) {
                self.end_attempt(key, AttemptOutcome::Reset, NETWORK_DELAY);
            }
        }
        for instance in &mut self.instances {
            instance.idle_connections.remove(&endpoint);
        }
    }

    fn restore_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.is_alive = true;
        endpoint.ready_at = self.now;
        self.change_state(index, EndpointState::Ready);
    }

    /// Drains an endpoint and adds another one in its zone, unless the state of the endpoint has
    /// been changed before.
    fn replace_endpoint(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].states.is_empty() {
            self.change_state(endpoint, EndpointState::Draining);
            self.add_endpoint(self.endpoints[endpoint].zone);
        }
    }

    fn add_endpoint(&mut self, zone: usize) {
        let index = self.endpoints.len();
        let placement = Placement {
            zone,
            index,
            is_initial: false,
            ready_at: self.now,
        };
        let endpoint = SimulatedEndpoint::new(placement, &self.settings, &self.workload);
        self.endpoints.push(endpoint);
        self.change_state(index, EndpointState::Ready);
    }
}
