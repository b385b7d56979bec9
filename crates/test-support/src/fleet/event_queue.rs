//! The pending events of a simulation, ordered by simulated time.
//!
//! Events with the same time are handled in the order in which they were scheduled, which keeps
//! simulations deterministic.

use super::clients::SimulatedRequest;
use pumiceway_core::{AttemptId, Event, RequestHandle};
use pumiceway_decisions::api::Timestamp;
use std::collections::BTreeMap;

/// One process of an instance. Events that are addressed to an earlier process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Incarnation {
    pub instance: usize,
    /// The number of this process among all processes of the instance, from 1.
    pub number: u32,
}

/// An attempt. Attempt ids are unique only within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    pub incarnation: Incarnation,
    pub attempt: AttemptId,
}

/// A watch that a process has requested. Each watch replaces the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchId {
    pub incarnation: Incarnation,
    /// The number of this watch among all watches of the process, from 1.
    pub number: u32,
}

pub(super) enum SimulationEvent {
    /// A client sends a new request.
    ClientArrives,
    /// A client retries after an overload response.
    ClientRetries(SimulatedRequest),
    /// The deadline of a request passes.
    DeadlinePasses(RequestHandle),
    /// A core receives an event.
    Delivered(Incarnation, Event),
    /// The timer that was set for this time fires, unless it has been set to another time.
    TimerExpires(Incarnation, Timestamp),
    AttemptArrives(AttemptKey),
    RunEnds {
        endpoint: usize,
        run: u64,
    },
    DiscoveryCalled(WatchId),
    WatchOpened(WatchId),
    WatchHeartbeat(WatchId),
    /// A version of the list reaches an instance on its watch.
    ListReachesInstance(Incarnation, usize),
    /// A version of the list reaches the agent beside an instance.
    ListReachesAgent {
        instance: usize,
        version: usize,
    },
    /// The next step of the disruption.
    DisruptionStep(usize),
    InstanceStarts(usize),
    /// The supervisor kills a process that has not stopped in time.
    StopForced(Incarnation),
}

/// The pending events.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Timestamp, u64), SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Returns the next sequence number. Requests and events share one sequence.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    pub fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        let sequence = self.next_sequence();
        self.events.insert((at, sequence), event);
    }

    /// Removes the next event. Returns it with its time.
    pub fn pop(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
