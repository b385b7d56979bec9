//! What happens during a day, step by step: instances that are killed or restarted, endpoints that
//! are replaced, lost or silent, and tenants that send too much.

use super::agenda::SimulationEvent;
use super::attempts::NETWORK_DELAY;
use super::endpoint::{Placement, SimulatedEndpoint};
use super::plan::Day;
use super::simulation::Simulation;
use pumiceway_core::{AttemptOutcome, Event};
use pumiceway_decisions::api::EndpointState;
use std::time::Duration;

/// How long killed instances are down; longer if endpoints drain meanwhile.
const KILLED_DOWN: Duration = Duration::from_millis(400);
const KILLED_DOWN_FOR_DRAIN: Duration = Duration::from_secs(7);
/// Instances are killed whose index modulo ten is below this.
const KILLED_IN_TEN: usize = 7;
/// A rolling restart and an addition of endpoints have this many steps.
const ROLLING_STEPS: usize = 10;
const RESTART_STEP: Duration = Duration::from_millis(800);
const ADDITION_STEP: Duration = Duration::from_millis(500);
/// A new configuration reaches all instances in this many steps.
const MOVE_STEPS: usize = 16;
const MOVE_STEP: Duration = Duration::from_millis(500);
/// Endpoints are replaced in this many steps, if their index modulo ten is below this.
const REPLACEMENT_STEPS: usize = 7;
const REPLACEMENT_STEP: Duration = Duration::from_secs(1);
const REPLACED_IN_TEN: usize = 6;
/// A lost zone is listed as gone after the first time, and back after the second.
const ZONE_LISTED_GONE: Duration = Duration::from_secs(2);
const ZONE_RETURNS: Duration = Duration::from_secs(3);
/// One endpoint in so many is silent, for so long.
const SILENT_ONE_IN: usize = 5;
const SILENT_FOR: Duration = Duration::from_secs(6);
/// One endpoint in so many drains.
const DRAINING_ONE_IN: usize = 3;
/// How long a tenant sends too much.
const FLOOD_LENGTH: Duration = Duration::from_secs(6);

impl Simulation {
    /// Does one step of the day, and schedules the next if there is one.
    pub fn day_step(&mut self, step: usize) {
        let next = match self.plan.day {
            Day::Calm | Day::ZonePartitioned | Day::ImpatientClients => None,
            Day::TenantFlood => self.flood_step(),
            Day::InstancesKilled => self.kill_step(),
            Day::InstancesKilledBeforeDrain => self.kill_and_drain_step(step),
            Day::RollingRestart => self.rolling_restart_step(step),
            Day::DiscoveryMoved => self.move_step(step),
            Day::EndpointsReplaced => self.replacement_step(step),
            Day::ZoneLost => self.zone_step(step),
            Day::EndpointsSilent => self.silence_step(step),
            Day::EndpointsAdded => self.addition_step(step),
            Day::ListsDelayed => self.drain_step(),
        };
        if let Some(delay) = next {
            self.schedule(delay, SimulationEvent::DayStep(step + 1));
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
            self.schedule(KILLED_DOWN, SimulationEvent::InstanceStarts(instance));
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
        Some(KILLED_DOWN_FOR_DRAIN)
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
        (step + 1 < ROLLING_STEPS).then_some(RESTART_STEP)
    }

    fn move_step(&mut self, step: usize) -> Option<Duration> {
        let instances = 0..self.plan.instances;
        for instance in instances.filter(|instance| instance % MOVE_STEPS == step) {
            let configured = Event::Configured {
                discovery: Some("elsewhere".to_owned()),
                list_version: None,
                restart_required: vec![],
            };
            self.deliver(self.current_incarnation(instance), configured);
        }
        self.replace_endpoint(self.plan.endpoints * step / MOVE_STEPS);
        (step + 1 < MOVE_STEPS).then_some(MOVE_STEP)
    }

    fn replacement_step(&mut self, step: usize) -> Option<Duration> {
        let count = self.plan.endpoints;
        let is_replaced = |endpoint: &usize| {
            endpoint % 10 < REPLACED_IN_TEN && endpoint * REPLACEMENT_STEPS / count == step
        };
        for endpoint in (0..count).filter(is_replaced) {
            self.replace_endpoint(endpoint);
        }
        (step + 1 < REPLACEMENT_STEPS).then_some(REPLACEMENT_STEP)
    }

    fn zone_step(&mut self, step: usize) -> Option<Duration> {
        for endpoint in (0..self.endpoints.len()).step_by(self.settings.zone_count) {
            match step {
                0 => self.kill_endpoint(endpoint),
                1 => self.change_state(endpoint, EndpointState::Gone),
                _ => self.return_endpoint(endpoint),
            }
        }
        match step {
            0 => Some(ZONE_LISTED_GONE),
            1 => Some(ZONE_RETURNS),
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
        (step + 1 < ROLLING_STEPS).then_some(ADDITION_STEP)
    }

    fn kill_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_alive = false;
        for key in self.endpoints[endpoint].lose_all() {
            if self.attempts.contains_key(&key) {
                self.end_attempt(key, AttemptOutcome::Reset, NETWORK_DELAY);
            }
        }
        for instance in &mut self.instances {
            instance.idle_connections.remove(&endpoint);
        }
    }

    fn return_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.is_alive = true;
        endpoint.ready_at = self.now;
        self.change_state(index, EndpointState::Ready);
    }

    /// An endpoint that has not changed so far drains, and another one of its zone is added.
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
