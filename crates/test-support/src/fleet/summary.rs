//! What is counted over the fleet, and the violated rules.

use super::endpoint::SimulatedEndpoint;
use super::micros_f64;
use super::simulation::Simulation;
use pumiceway_decisions::api::{Settings, Timestamp};
use std::time::Duration;

/// What is sent to an endpoint in slow start counts only where so many parts of all parts of it, at
/// least, come from instances that know of the start.
const MIN_KNOWING_PARTS: f64 = 2.0;
const ALL_PARTS: f64 = 3.0;
/// The window in which calls to discovery are counted.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Priority weight that was served within the latency objective, and that was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    pub earned_weight: f64,
    pub requested_weight: f64,
}

/// What was counted over the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests that reached an instance, each retry of a client among them.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that had an overload response.
    pub overloaded: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Health checks of endpoints.
    pub health_checks: usize,
    /// Connections to endpoints that were opened.
    pub connections: usize,
    /// Jobs that were resumed after an endpoint had suspended them.
    pub resumed_jobs: usize,
    /// The most work that an endpoint in slow start was sent within a window, as a share of what
    /// overloads it.
    pub peak_slow_start_load: f64,
    /// Calls to discovery in the second with the most calls.
    pub peak_discovery_calls: usize,
    /// The longest time until a process had its first list.
    pub max_first_list_delay: Duration,
    /// The longest time until an instance with a list was notified of a change.
    pub max_change_delay: Duration,
    /// All requests. The retries of a client count as one.
    pub service: Service,
    /// The same by class.
    pub service_by_class: Vec<Service>,
    /// The same by tenant, for requests within its quota.
    pub service_by_tenant: Vec<Service>,
    /// Violated rules, each with its time.
    pub violations: Vec<String>,
}

/// Work that was sent to an endpoint during its slow start.
pub(super) struct SlowStartSend {
    pub at: Timestamp,
    pub work_us: f64,
    /// The instance was notified of the start.
    pub knows_start: bool,
}

impl SlowStartSend {
    fn knowing_work_us(&self) -> f64 {
        if self.knows_start { self.work_us } else { 0.0 }
    }
}

impl Simulation {
    pub fn summarize(mut self) -> Summary {
        for (endpoint, sends) in &self.slow_start_sends {
            let load = peak_load(&self.endpoints[*endpoint], sends, &self.settings);
            self.summary.peak_slow_start_load = self.summary.peak_slow_start_load.max(load);
        }
        self.discovery_calls.sort_unstable();
        self.summary.peak_discovery_calls = peak_calls(&self.discovery_calls);
        self.summary
    }
}

/// The most work of a window, as a share of what overloads an endpoint in the middle of it.
fn peak_load(endpoint: &SimulatedEndpoint, sends: &[SlowStartSend], settings: &Settings) -> f64 {
    let window = settings.overload_window;
    let mut first = 0;
    let mut work_us = 0.0;
    let mut knowing_work_us = 0.0;
    let mut peak: f64 = 0.0;
    for send in sends {
        work_us += send.work_us;
        knowing_work_us += send.knowing_work_us();
        while sends[first].at + window <= send.at {
            work_us -= sends[first].work_us;
            knowing_work_us -= sends[first].knowing_work_us();
            first += 1;
        }
        if knowing_work_us < work_us * MIN_KNOWING_PARTS / ALL_PARTS {
            continue;
        }
        let middle = send.at.saturating_sub(window / 2).max(endpoint.ready_at);
        let factor = endpoint.slow_start_factor(middle).unwrap_or(1.0);
        let overload_us =
            settings.overload_multiple * factor * endpoint.capacity() * micros_f64(window);
        peak = peak.max(work_us / overload_us);
    }
    peak
}

/// The most calls in any second. The calls are in order.
fn peak_calls(calls: &[Timestamp]) -> usize {
    let calls_from = |from: &Timestamp| {
        let window = *from..*from + CALL_WINDOW;
        calls.iter().filter(|call| window.contains(call)).count()
    };
    calls.iter().map(calls_from).max().unwrap_or(0)
}
