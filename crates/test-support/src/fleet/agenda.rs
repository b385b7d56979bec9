//! The events of a simulation, in the order of simulated time.
//!
//! Events of the same moment happen in the order in which they were scheduled, so a simulation
//! depends on nothing but its plan.

use super::clients::SimulatedRequest;
use pumiceway_core::{AttemptId, Event, RequestHandle};
use pumiceway_decisions::api::Timestamp;
use std::collections::BTreeMap;

/// One process of an instance. What is addressed to an earlier process of it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Incarnation {
    pub instance: usize,
    /// Counts the processes of the instance, from 1.
    pub number: u32,
}

/// An attempt, which is named by its process alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    pub incarnation: Incarnation,
    pub attempt: AttemptId,
}

/// A watch that a process has asked for. Each one replaces those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchId {
    pub incarnation: Incarnation,
    /// Counts the watches of the process, from 1.
    pub number: u32,
}

pub(super) enum SimulationEvent {
    /// A client begins a new request.
    ClientArrives,
    /// A client retries after an overload response.
    ClientRetries(SimulatedRequest),
    /// The time of a request is over.
    DeadlinePasses(RequestHandle),
    /// A core gets an event.
    Delivered(Incarnation, Event),
    /// The timer that was set for this time fires, unless it was set anew.
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
    /// The next step of what happens during the day.
    DayStep(usize),
    InstanceStarts(usize),
    /// The supervisor kills a process that has not stopped in time.
    StopForced(Incarnation),
}

/// The events that are yet to happen.
#[derive(Default)]
pub(super) struct Agenda {
    events: BTreeMap<(Timestamp, u64), SimulationEvent>,
    last_sequence: u64,
}

impl Agenda {
    /// A number that is larger than all before. Requests and events share one sequence.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    pub fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        let sequence = self.next_sequence();
        self.events.insert((at, sequence), event);
    }

    /// Takes the next event off, and the time when it happens.
    pub fn pop(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
