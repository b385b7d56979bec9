//! The result of a simulation: totals over the fleet, and rule violations.

use super::endpoint::SimulatedEndpoint;
use super::micros_f64;
use super::simulation::Simulation;
use pumiceway_decisions::api::{Settings, Timestamp};
use std::time::Duration;

/// The load of an endpoint in slow start counts only if at least this share of it (two thirds) was
/// sent by instances that were notified of the start.
const MIN_NOTIFIED_NUMERATOR: f64 = 2.0;
const MIN_NOTIFIED_DENOMINATOR: f64 = 3.0;
/// The window over which calls to discovery are counted.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Totals of priority weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightTotals {
    /// The weight of requests that were served within the latency objective.
    pub earned: f64,
    /// The weight of all requests.
    pub requested: f64,
}

/// The result of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests that reached an instance, including retries.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that received an overload response.
    pub overloaded: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Health checks of endpoints.
    pub health_checks: usize,
    /// Connections to endpoints that were opened.
    pub connections: usize,
    /// Jobs that were resumed after an endpoint had suspended them.
    pub resumed_jobs: usize,
    /// The most work that was sent to an endpoint in slow start within an overload window, as a
    /// share of the work that overloads the endpoint.
    pub peak_slow_start_load: f64,
    /// The largest number of calls to discovery within a second.
    pub peak_discovery_calls: usize,
    /// The longest time until a process received its first list.
    pub max_first_list_delay: Duration,
    /// The longest time until an instance with a list was notified of a change.
    pub max_change_delay: Duration,
    /// The weights of all requests. A request and its retries count once.
    pub weights: WeightTotals,
    /// The weights by class.
    pub weights_by_class: Vec<WeightTotals>,
    /// The weights by tenant, of requests within the tenant's quota.
    pub weights_by_tenant: Vec<WeightTotals>,
    /// Rule violations, each with its time.
    pub violations: Vec<String>,
}

/// Work that was sent to an endpoint during its slow start.
pub(super) struct SlowStartSend {
    pub at: Timestamp,
    pub work_us: f64,
    /// Whether the sending instance was notified of the start.
    pub sender_notified: bool,
}

impl SlowStartSend {
    fn notified_work_us(&self) -> f64 {
        if self.sender_notified {
            self.work_us
        } else {
            0.0
        }
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

/// The most work within a window, as a share of the work that overloads the endpoint at its
/// capacity in the middle of the window.
fn peak_load(endpoint: &SimulatedEndpoint, sends: &[SlowStartSend], settings: &Settings) -> f64 {
    let window = settings.overload_window;
    let mut first = 0;
    let mut work_us = 0.0;
    let mut notified_work_us = 0.0;
    let mut peak: f64 = 0.0;
    for send in sends {
        work_us += send.work_us;
        notified_work_us += send.notified_work_us();
        while sends[first].at + window <= send.at {
            work_us -= sends[first].work_us;
            notified_work_us -= sends[first].notified_work_us();
            first += 1;
        }
        if notified_work_us < work_us * MIN_NOTIFIED_NUMERATOR / MIN_NOTIFIED_DENOMINATOR {
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

/// The largest number of calls within a second. The calls are sorted.
fn peak_calls(calls: &[Timestamp]) -> usize {
    let calls_from = |from: &Timestamp| {
        let window = *from..*from + CALL_WINDOW;
        calls.iter().filter(|call| window.contains(call)).count()
    };
    calls.iter().map(calls_from).max().unwrap_or(0)
}
