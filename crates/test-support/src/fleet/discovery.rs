//! Discovery: a service of limited capacity that all instances share, or an agent beside each
//! instance.
//!
//! An instance calls discovery on its schedule and opens a watch, on which it receives changes and
//! heartbeats. The summary includes the notification delays.

use super::endpoint_list::{ListChange, list_updated};
use super::event_queue::{Incarnation, SimulationEvent, WatchId};
use super::plan::InjectedFault;
use super::simulation::Simulation;
use pumiceway_core::EndpointListUpdate;
use pumiceway_decisions::api::EndpointState;
use pumiceway_decisions::rules::LeaseSignal;
use std::collections::BTreeSet;
use std::time::Duration;

/// The time that the service takes for each call. It serves one call at a time, and is overloaded
/// if all instances restart at the same time.
const CALL_COST: Duration = Duration::from_millis(7);
/// A call that waits longer than this fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The watch duration that the call schedule is given when a watch opens: long enough to count as
/// a success.
const SERVED_WATCH_DURATION: Duration = Duration::from_secs(30);
/// A watch without changes sends a heartbeat this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The delay of lists under [`InjectedFault::ListDelayed`].
const INJECTED_LIST_DELAY: Duration = Duration::from_secs(2);

impl Simulation {
    fn is_current_watch(&self, watch: WatchId) -> bool {
        let instance = &self.instances[watch.incarnation.instance];
        self.is_current(watch.incarnation) && instance.watches_requested == watch.number
    }

    pub fn discovery_called(&mut self, watch: WatchId) {
        if !self.is_current_watch(watch) || self.traffic_has_ended() {
            return;
        }
        if !self.settings.polls_discovery {
            return self.schedule(Duration::ZERO, SimulationEvent::WatchOpened(watch));
        }
        self.discovery_calls.push(self.now);
        self.discovery_free_at = self.discovery_free_at.max(self.now) + CALL_COST;
        let wait = self.discovery_free_at.saturating_duration_since(self.now);
        if wait > CALL_TIMEOUT {
            self.fail_call(watch);
        } else {
            self.schedule(wait, SimulationEvent::WatchOpened(watch));
        }
    }

    fn fail_call(&mut self, watch: WatchId) {
        let instance = watch.incarnation.instance;
        let draw = self.rng.f64();
        let schedule = &mut self.instances[instance].call_schedule;
        let next_call = schedule.next(CALL_TIMEOUT, false, draw);
        let lost = EndpointListUpdate::Lost(LeaseSignal::CallFailed);
        let failed = list_updated(self.now, lost);
        self.schedule(
            CALL_TIMEOUT,
            SimulationEvent::Delivered(watch.incarnation, failed),
        );
        self.schedule(
            CALL_TIMEOUT + next_call,
            SimulationEvent::DiscoveryCalled(watch),
        );
    }

    pub fn watch_opened(&mut self, watch: WatchId) {
        if !self.is_current_watch(watch) {
            return;
        }
        let instance = &mut self.instances[watch.incarnation.instance];
        instance.has_watch = true;
        // Resets the failure count of the schedule. The returned delay is not used: the next call is
        // made only after this watch is lost.
        instance
            .call_schedule
            .next(SERVED_WATCH_DURATION, true, 0.0);
        let version = if self.settings.polls_discovery {
            self.changes.len()
        } else {
            instance.agent_version
        };
        self.list_reaches_instance(watch.incarnation, version);
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::WatchHeartbeat(watch));
    }

    pub fn watch_heartbeat(&mut self, watch: WatchId) {
        let has_watch = self.instances[watch.incarnation.instance].has_watch;
        if !self.is_current_watch(watch) || !has_watch || self.traffic_has_ended() {
            return;
        }
        let unchanged = list_updated(self.now, EndpointListUpdate::Unchanged);
        self.deliver(watch.incarnation, unchanged);
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::WatchHeartbeat(watch));
    }

    pub fn list_reaches_agent(&mut self, instance: usize, version: usize) {
        let from = self.instances[instance].agent_version;
        self.instances[instance].agent_version = from.max(version);
        for change in from..version {
            let endpoint = &mut self.endpoints[self.changes[change].endpoint];
            let is_latest = endpoint
                .states
                .last()
                .is_some_and(|last| last.change == change);
            if is_latest {
                endpoint.notified_at.insert(instance, self.now);
            }
        }
        if self.instances[instance].has_watch {
            self.list_reaches_instance(self.current_incarnation(instance), version);
        }
    }

    pub fn list_reaches_instance(&mut self, incarnation: Incarnation, version: usize) {
        if !self.is_current(incarnation) {
            return;
        }
        let instance = &mut self.instances[incarnation.instance];
        if instance.has_list && version <= instance.list_version {
            return;
        }
        let from = std::mem::replace(&mut instance.list_version, version);
        let is_first = !std::mem::replace(&mut instance.has_list, true);
        self.record_notification(incarnation.instance, from, version, is_first);
        let update = if is_first {
            self.snapshot(version)
        } else {
            self.delta(from, version)
        };
        let delay = if self.plan.injects(InjectedFault::ListDelayed) {
            INJECTED_LIST_DELAY
        } else {
            Duration::ZERO
        };
        let updated = list_updated(self.now, update);
        self.schedule(delay, SimulationEvent::Delivered(incarnation, updated));
    }

    /// Records when an instance was notified of a range of changes, and the longest delay.
    fn record_notification(&mut self, instance: usize, from: usize, to: usize, is_first: bool) {
        let now = self.now;
        let started_at = self.instances[instance].started_at;
        let max_delay = if is_first {
            &mut self.summary.max_first_list_delay
        } else {
            &mut self.summary.max_change_delay
        };
        // The range is empty if the agent has an older version than an earlier process of the
        // instance was notified of.
        let changes = self.changes.get(from..to).unwrap_or_default();
        for &ListChange { at, endpoint } in changes {
            let delay = now.saturating_duration_since(at.max(started_at));
            *max_delay = (*max_delay).max(delay);
            let notified_at = &mut self.endpoints[endpoint].notified_at;
            notified_at.entry(instance).or_insert(now);
        }
        if is_first {
            let delay = now.saturating_duration_since(started_at);
            *max_delay = (*max_delay).max(delay);
        }
    }

    /// The whole list at a version.
    fn snapshot(&self, version: usize) -> EndpointListUpdate {
        let listed = (0..self.endpoints.len())
            .filter(|&endpoint| self.state_at(endpoint, version) != EndpointState::Gone);
        let entries = listed.map(|endpoint| self.list_entry(endpoint, version));
        EndpointListUpdate::Snapshot(entries.collect())
    }

    /// The changes between two versions, with one entry for each changed endpoint.
    fn delta(&self, from: usize, to: usize) -> EndpointListUpdate {
        let changes = self.changes[from..to].iter();
        let changed: BTreeSet<usize> = changes.map(|change| change.endpoint).collect();
        let entries = changed.into_iter();
        let entries = entries.map(|endpoint| self.list_entry(endpoint, to));
        EndpointListUpdate::Delta(entries.collect())
    }
}
