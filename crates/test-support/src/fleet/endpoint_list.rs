//! The endpoint list: its history, the content of each version, and when an instance counts as
//! notified of a change.

use super::NOTIFICATION_LIMIT;
use super::event_queue::SimulationEvent;
use super::plan::{Deployment, Disruption, InjectedFault};
use super::simulation::Simulation;
use pumiceway_core::{Endpoint, EndpointAddress, EndpointListUpdate, EndpointSource, Event};
use pumiceway_decisions::api::{EndpointState, FunctionSet, Timestamp, ZoneId};
use std::time::Duration;

/// A pushed change reaches the agent beside an instance after a delay between these two.
const MIN_PUSH_DELAY: Duration = Duration::from_secs(1);
const MAX_PUSH_DELAY: Duration = Duration::from_secs(4);
/// A watch of the discovery service delivers a change after at least this delay, plus up to
/// `WATCH_DELAY_SPREAD`.
const MIN_WATCH_DELAY: Duration = Duration::from_millis(5);
const WATCH_DELAY_SPREAD: Duration = Duration::from_millis(100);
/// Replaces `MAX_PUSH_DELAY` and `WATCH_DELAY_SPREAD` under [`Disruption::ListsDelayed`].
const DELAYED_LIST_DELAY: Duration = Duration::from_millis(5_500);

/// A change of the endpoint list.
pub(super) struct ListChange {
    pub at: Timestamp,
    pub endpoint: usize,
}

/// The event that delivers an update from discovery to a core.
pub(super) fn list_updated(as_of: Timestamp, update: EndpointListUpdate) -> Event {
    Event::EndpointListUpdated {
        source: EndpointSource::Discovery,
        as_of,
        update,
    }
}

impl Simulation {
    /// The state of an endpoint in a version of the list.
    pub fn state_at(&self, endpoint: usize, version: usize) -> EndpointState {
        let endpoint = &self.endpoints[endpoint];
        let mut latest_first = endpoint.states.iter().rev();
        match latest_first.find(|listed| listed.change < version) {
            Some(listed) => listed.state,
            None if endpoint.is_initial => EndpointState::Ready,
            None => EndpointState::Gone,
        }
    }

    /// The start time of an endpoint in a version of the list.
    fn started_at(&self, endpoint: usize, version: usize) -> Timestamp {
        if self.plan.injects(InjectedFault::StartTimeOmitted) {
            return Timestamp::ORIGIN;
        }
        let mut latest_first = self.endpoints[endpoint].starts.iter().rev();
        latest_first
            .find(|start| start.change < version)
            .map_or(Timestamp::ORIGIN, |start| start.ready_at)
    }

    /// The entry of an endpoint in a version of the list.
    pub fn list_entry(&self, endpoint: usize, version: usize) -> Endpoint {
        let simulated = &self.endpoints[endpoint];
        let relative_size = match self.plan.deployment {
            Deployment::Polled => 1.0,
            // The weights in these lists fall with load, so they are not used as sizes.
            Deployment::Pushed => 0.0,
        };
        Endpoint {
            name: format!("h{endpoint:03}"),
            address: EndpointAddress::Network(endpoint.to_string()),
            zone: ZoneId(simulated.zone),
            kind: simulated.kind,
            functions: FunctionSet::default(),
            cell: None,
            state: self.state_at(endpoint, version),
            started_at: self.started_at(endpoint, version),
            relative_size,
            skips_slow_start: false,
            max_concurrent: None,
        }
    }

    /// When an instance was notified, or counts as notified, that an endpoint is draining or gone;
    /// none if the endpoint is ready.
    pub fn leave_notified_at(&self, instance: usize, endpoint: usize) -> Option<Timestamp> {
        let started_at = self.instances[instance].started_at;
        let endpoint = &self.endpoints[endpoint];
        let last = endpoint.states.last()?;
        if last.state == EndpointState::Ready {
            return None;
        }
        let limit = self.changes[last.change].at + NOTIFICATION_LIMIT;
        let notified_at = endpoint.notified_at.get(&instance).copied();
        if !self.settings.polls_discovery {
            // A new process counts as notified at once of the list that its agent has.
            return Some(notified_at.map_or(limit, |at| at.max(started_at)));
        }
        // The limit holds no matter when the process started: by then it should have polled.
        let by_this_process = notified_at.filter(|&at| at >= started_at);
        Some(by_this_process.map_or(limit, |at| at.min(limit)))
    }

    /// Changes the state of an endpoint in the list. The change reaches each instance with a delay.
    pub fn change_state(&mut self, index: usize, state: EndpointState) {
        let change = self.changes.len();
        self.changes.push(ListChange {
            at: self.now,
            endpoint: index,
        });
        self.endpoints[index].change_state(change, state, self.now);
        for instance in 0..self.instances.len() {
            if !self.settings.polls_discovery {
                self.push_to_agent(instance, change + 1);
            } else if self.instances[instance].has_watch {
                self.send_on_watch(instance, change + 1);
            }
        }
    }

    fn push_to_agent(&mut self, instance: usize, version: usize) {
        let max_delay = self.max_list_delay(MAX_PUSH_DELAY);
        let delay = self.draw_duration(MIN_PUSH_DELAY, max_delay);
        let event = SimulationEvent::ListReachesAgent { instance, version };
        self.schedule(delay, event);
    }

    fn send_on_watch(&mut self, instance: usize, version: usize) {
        let spread = self.max_list_delay(WATCH_DELAY_SPREAD);
        let delay = MIN_WATCH_DELAY + self.draw_duration(Duration::ZERO, spread);
        let incarnation = self.current_incarnation(instance);
        let event = SimulationEvent::ListReachesInstance(incarnation, version);
        self.schedule(delay, event);
    }

    fn max_list_delay(&self, usual: Duration) -> Duration {
        match self.plan.disruption {
            Disruption::ListsDelayed => DELAYED_LIST_DELAY,
            _ => usual,
        }
    }

    /// Draws a duration between the two, in whole microseconds.
    fn draw_duration(&mut self, min: Duration, max: Duration) -> Duration {
        let micros = self.rng.u64(min.as_micros() as u64..max.as_micros() as u64);
        Duration::from_micros(micros)
    }
}
