//! When a dispatcher calls discovery.
//!
//! A service that is polled is shared by all dispatchers and works through their calls in turn. A
//! call that has waited too long has failed, but costs its work all the same, so a fleet that calls
//! faster than it is served is never served again. The callers do not know of each other: each
//! draws its time at random, from a span that grows with the fleet and with failures.
//!
//! Where lists are pushed, the address is that of an agent beside this dispatcher alone. It
//! responds at once and at no cost, and what it has counts as notified whether it was called or
//! not, so nothing is gained by waiting.

use pumiceway_decisions::settings::{DeploymentSettings, DiscoveryMode};
use std::time::Duration;

/// The mean interval between the calls of all dispatchers together, when all begin at once.
const FLEET_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// What discovery has to send counts as notified after this time, whether it arrived or not.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The same after a new configuration has moved discovery.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The longest wait for a first call that a request waits for.
const MAX_DEMAND_WAIT: Duration = Duration::from_millis(500);
/// The shortest wait between a call that has ended and the next.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Each failure in a row doubles the span to draw from, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// An agent is called again within this many times the shortest wait, so that one that is not up
/// yet is not called without pause.
const MAX_AGENT_WAITS: u32 = 2;
/// A watch that was open for longer than this was served, whether anything changed or not.
const SERVED_AFTER: Duration = Duration::from_millis(2_500);
/// The fleet sizes that a span is computed for; one dispatcher waits as if it had a peer.
const MIN_INSTANCES: usize = 2;
const MAX_INSTANCES: u32 = 1 << 20;

/// When one dispatcher calls discovery.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    /// The span that a wait is drawn from while calls succeed.
    spread: Duration,
    /// The longest span after failures.
    max_spread: Duration,
    /// Failures in a row, up to [`MAX_DOUBLINGS`].
    failures: u32,
    is_agent: bool,
}

impl CallSchedule {
    /// The schedule for these settings.
    pub fn from_settings(settings: &DeploymentSettings) -> CallSchedule {
        match settings.discovery {
            DiscoveryMode::Polled => CallSchedule::new(
                settings.instance_count,
                Duration::from_micros(settings.rules.max_poll_interval_us),
            ),
            DiscoveryMode::Pushed => CallSchedule::agent(),
        }
    }

    /// For an agent beside this dispatcher, however large the fleet is.
    pub fn agent() -> CallSchedule {
        CallSchedule {
            spread: Duration::ZERO,
            max_spread: Duration::ZERO,
            failures: 0,
            is_agent: true,
        }
    }

    /// For one of this many dispatchers that share a service. `max_poll_interval` is the time after
    /// which a dispatcher counts as notified without a call; zero for never.
    pub fn new(instances: usize, max_poll_interval: Duration) -> CallSchedule {
        let instances = instances.clamp(MIN_INSTANCES, MAX_INSTANCES as usize);
        let instances = u32::try_from(instances).unwrap_or(MAX_INSTANCES);
        let max_poll_interval = if max_poll_interval.is_zero() {
            Duration::MAX
        } else {
            max_poll_interval
        };
        // Half of the interval, as the call takes the rest: a dispatcher that counts as notified
        // before it has called would send to endpoints that have gone.
        let spread = (FLEET_CALL_INTERVAL * instances).min(max_poll_interval / 2);
        let doubled = spread.saturating_mul(1 << MAX_DOUBLINGS);
        CallSchedule {
            spread,
            max_spread: doubled.min(max_poll_interval),
            failures: 0,
            is_agent: false,
        }
    }

    /// The wait before the first call; `draw` is uniform from 0 to 1.
    pub fn first(&self, draw: f64) -> Duration {
        self.spread.mul_f64(draw)
    }

    /// The wait before the first call once a request waits for the list, if that is shorter than
    /// the rest of [`CallSchedule::first`].
    ///
    /// Processes that restart together would otherwise reject requests for seconds. Those without
    /// requests keep their turn, so calls come no faster than requests do.
    pub fn on_demand(&self, draw: f64) -> Duration {
        self.spread.min(MAX_DEMAND_WAIT).mul_f64(draw)
    }

    /// The wait before the first call at a new address.
    ///
    /// Shorter than [`CallSchedule::first`], as a new configuration reaches dispatchers one by one,
    /// and the old address soon ends its watches.
    pub fn first_moved(&self, draw: f64) -> Duration {
        self.spread.min(NOTIFIED_AFTER_MOVE / 4).mul_f64(draw)
    }

    /// The wait before the next call after one has ended. Its watch was open for `open_for`, zero
    /// if the call was never answered; `served` if it sent a new version.
    pub fn next(&mut self, open_for: Duration, served: bool, draw: f64) -> Duration {
        self.count_failures(open_for, served);
        if self.is_agent {
            let waits = 1 << self.failures.saturating_sub(1);
            return MIN_WAIT * waits.min(MAX_AGENT_WAITS);
        }
        let spread = match self.failures {
            // What changes between two watches counts as notified before longer.
            0 => self.spread.min(NOTIFIED_AFTER / 2),
            failures => self
                .spread
                .saturating_mul(1 << failures)
                .min(self.max_spread),
        };
        MIN_WAIT + spread.mul_f64(draw)
    }

    fn count_failures(&mut self, open_for: Duration, served: bool) {
        self.failures = if served || open_for > SERVED_AFTER {
            0
        } else {
            (self.failures + 1).min(MAX_DOUBLINGS)
        };
    }
}

#[cfg(test)]
mod tests;
