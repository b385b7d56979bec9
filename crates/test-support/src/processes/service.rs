//! The discovery service that all dispatchers share. It serves one call at a time, and faults can
//! make calls slower or take the service down.

use super::endpoints::Endpoints;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A call that waits longer than this for its turn fails, but still occupies the service for its
/// cost.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The response is a 503.
    Unavailable,
    /// The connection is reset.
    Reset,
}

/// The time that the service needs for a call.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// For each call.
    pub per_call: Duration,
    /// For each line of its response.
    pub per_line: Duration,
}

/// The usual cost, at which a small fleet is served without waiting.
pub const USUAL_COST: Cost = Cost {
    per_call: Duration::from_millis(2),
    per_line: Duration::from_micros(100),
};

/// A period in which the service is up.
struct UpTime {
    from: Instant,
    /// None while the service is still up.
    to: Option<Instant>,
}

/// How calls fail while the service is down.
#[derive(Clone, Copy)]
struct Outage {
    failure: Failure,
    /// The time after which a call fails.
    delay: Duration,
}

/// The discovery service.
pub struct DiscoveryService {
    /// The endpoints that it lists.
    pub endpoints: Arc<Endpoints>,
    state: Mutex<State>,
}

struct State {
    up_times: Vec<UpTime>,
    outage: Outage,
    cost: Cost,
    /// How calls that wait too long fail.
    overload_failure: Failure,
    /// When all calls so far will have been served.
    free_at: Instant,
}

impl State {
    fn is_up(&self) -> bool {
        self.up_times.last().is_some_and(|last| last.to.is_none())
    }
}

/// The place of a call among all calls.
struct Turn {
    ends_at: Instant,
    /// The failure of a call that would wait too long.
    failure: Option<Failure>,
}

impl DiscoveryService {
    /// Creates a service that is up.
    pub fn start(endpoints: Arc<Endpoints>) -> Arc<DiscoveryService> {
        let now = Instant::now();
        let state = State {
            up_times: vec![UpTime {
                from: now,
                to: None,
            }],
            outage: Outage {
                failure: Failure::Unavailable,
                delay: Duration::ZERO,
            },
            cost: USUAL_COST,
            overload_failure: Failure::Unavailable,
            free_at: now,
        };
        Arc::new(DiscoveryService {
            endpoints,
            state: Mutex::new(state),
        })
    }

    /// Waits until the service has served a call whose response has this many lines.
    pub fn wait_for_turn(&self, lines: usize) -> Result<(), Failure> {
        let turn = self.enqueue(lines).map_err(|outage| {
            std::thread::sleep(outage.delay);
            outage.failure
        })?;
        if let Some(failure) = turn.failure {
            std::thread::sleep(MAX_WAIT);
            return Err(failure);
        }
        std::thread::sleep(turn.ends_at.saturating_duration_since(Instant::now()));
        let state = self.state.lock().unwrap();
        if state.is_up() {
            Ok(())
        } else {
            Err(state.outage.failure)
        }
    }

    fn enqueue(&self, lines: usize) -> Result<Turn, Outage> {
        let arrived_at = Instant::now();
        let mut state = self.state.lock().unwrap();
        if !state.is_up() {
            return Err(state.outage);
        }
        let begins_at = state.free_at.max(arrived_at);
        state.free_at = begins_at + state.cost.per_call + state.cost.per_line * lines as u32;
        let waits_too_long = begins_at - arrived_at > MAX_WAIT;
        Ok(Turn {
            ends_at: state.free_at,
            failure: waits_too_long.then_some(state.overload_failure),
        })
    }

    /// Whether the service is up.
    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up()
    }

    /// Takes the service down: its watches end, and calls fail after this delay.
    pub fn go_down(&self, failure: Failure, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        if let Some(last) = state.up_times.last_mut() {
            last.to.get_or_insert_with(Instant::now);
        }
        state.outage = Outage { failure, delay };
    }

    /// Brings the service up again.
    pub fn come_up(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up() {
            state.up_times.push(UpTime {
                from: Instant::now(),
                to: None,
            });
        }
    }

    /// Sets the cost of calls from now on, and how calls that wait too long fail.
    pub fn set_cost(&self, cost: Cost, overload_failure: Failure) {
        let mut state = self.state.lock().unwrap();
        state.cost = cost;
        state.overload_failure = overload_failure;
    }

    /// The first time, from when a change was made, at which the service was up; none if it has not
    /// been up since.
    pub fn reachable_from(&self, changed_at: Instant) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let mut up_times = state.up_times.iter();
        let first = up_times.find(|up_time| up_time.to.is_none_or(|to| to > changed_at))?;
        Some(first.from.max(changed_at))
    }
}
