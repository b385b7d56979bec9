//! Schedules the calls of a dispatcher to discovery.
//!
//! A polled service is shared by all dispatchers and handles their calls sequentially. A call that
//! times out still costs the service its full work, so a fleet that calls faster than the service
//! can respond would keep it overloaded indefinitely. Dispatchers do not coordinate: each waits for
//! a random delay from a window that grows with the size of the fleet and with consecutive
//! failures.
//!
//! Where lists are pushed, the address is that of a local agent which serves only this dispatcher.
//! It responds immediately and at negligible cost, and the changes that it holds count as notified
//! whether it was called or not. A delay would therefore have no benefit.

use pumiceway_decisions::settings::{DeploymentSettings, DiscoveryMode};
use std::time::Duration;

/// Mean interval between the calls of the whole fleet when all dispatchers start together.
const FLEET_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// A dispatcher counts as notified of a change this long after discovery had the change and could
/// be reached, whether or not the change arrived. Copy of a limit of the leases; see
/// [`LeaseTerms`](pumiceway_decisions::rules::LeaseTerms).
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The same limit after a reload that changed the address of discovery.
const MAX_NOTIFICATION_DELAY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Maximum delay of the first call while a request is waiting for the list.
const MAX_ON_DEMAND_DELAY: Duration = Duration::from_millis(500);
/// Minimum delay between the end of a call and the next call.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Each consecutive failure doubles the window of random delays, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// The delay before an agent is called again grows with consecutive failures to at most this
/// multiple of [`MIN_DELAY`], which avoids a busy loop while an agent is not up yet.
const MAX_AGENT_DELAY_FACTOR: u32 = 2;
/// A watch that was open for longer than this counts as successful even if it sent no new version.
const MIN_SUCCESSFUL_WATCH: Duration = Duration::from_millis(2_500);
/// The size of the fleet is clamped to this range. A single dispatcher uses the delays of a fleet
/// of two.
const MIN_INSTANCES: usize = 2;
const MAX_INSTANCES: u32 = 1 << 20;

/// The call schedule of one dispatcher.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    /// The window of random delays while calls succeed.
    window: Duration,
    /// The largest window after failures.
    max_window: Duration,
    /// Consecutive failures, up to [`MAX_DOUBLINGS`].
    failures: u32,
    is_agent: bool,
}

impl CallSchedule {
    /// Creates the schedule for these settings.
    pub fn from_settings(settings: &DeploymentSettings) -> CallSchedule {
        match settings.discovery {
            DiscoveryMode::Polled => CallSchedule::new(
                settings.instance_count,
                Duration::from_micros(settings.rules.max_poll_interval_us),
            ),
            DiscoveryMode::Pushed => CallSchedule::agent(),
        }
    }

    /// Creates the schedule for a local agent; it does not depend on the size of the fleet.
    pub fn agent() -> CallSchedule {
        CallSchedule {
            window: Duration::ZERO,
            max_window: Duration::ZERO,
            failures: 0,
            is_agent: true,
        }
    }

    /// Creates the schedule for one of `instances` dispatchers that share a service.
    /// `max_poll_interval` is the time after which a dispatcher counts as notified without a call;
    /// zero means never.
    pub fn new(instances: usize, max_poll_interval: Duration) -> CallSchedule {
        let instances = instances.clamp(MIN_INSTANCES, MAX_INSTANCES as usize);
        let instances = u32::try_from(instances).unwrap_or(MAX_INSTANCES);
        let max_poll_interval = if max_poll_interval.is_zero() {
            Duration::MAX
        } else {
            max_poll_interval
        };
        // At most half of the interval; the rest is left for the call itself. A dispatcher that
        // counts as notified before its call completes would send requests to endpoints that are
        // gone.
        let window = (FLEET_CALL_INTERVAL * instances).min(max_poll_interval / 2);
        let doubled = window.saturating_mul(1 << MAX_DOUBLINGS);
        CallSchedule {
            window,
            max_window: doubled.min(max_poll_interval),
            failures: 0,
            is_agent: false,
        }
    }

    /// Returns the delay before the first call. `random` is uniformly distributed between 0 and 1.
    pub fn first(&self, random: f64) -> Duration {
        self.window.mul_f64(random)
    }

    /// Returns the delay before the first call, counted from when a request starts to wait for the
    /// list. The caller limits it to the delay of [`CallSchedule::first`].
    ///
    /// Without this shorter delay, processes that restart together would shed requests for seconds.
    /// Processes without requests keep their original delay, so the calls do not outnumber the
    /// requests.
    pub fn on_demand(&self, random: f64) -> Duration {
        self.window.min(MAX_ON_DEMAND_DELAY).mul_f64(random)
    }

    /// Returns the delay before the first call to a new address.
    ///
    /// It is shorter than [`CallSchedule::first`], because a new configuration reaches the
    /// dispatchers one after another and the service at the old address soon ends its watches.
    pub fn first_moved(&self, random: f64) -> Duration {
        self.window
            .min(MAX_NOTIFICATION_DELAY_AFTER_MOVE / 4)
            .mul_f64(random)
    }

    /// Returns the delay between the end of a call and the next call. `open_for` is how long the
    /// watch of the ended call was open, zero if the call was not answered; `has_advanced` is
    /// whether the list version has increased.
    pub fn next(&mut self, open_for: Duration, has_advanced: bool, random: f64) -> Duration {
        self.count_failures(open_for, has_advanced);
        if self.is_agent {
            let factor = 1 << self.failures.saturating_sub(1);
            return MIN_DELAY * factor.min(MAX_AGENT_DELAY_FACTOR);
        }
        let window = match self.failures {
            // With a longer delay, the dispatcher could count as notified of a change between the
            // two watches before it has called again.
            0 => self.window.min(MAX_NOTIFICATION_DELAY / 2),
            failures => self
                .window
                .saturating_mul(1 << failures)
                .min(self.max_window),
        };
        MIN_DELAY + window.mul_f64(random)
    }

    fn count_failures(&mut self, open_for: Duration, has_advanced: bool) {
        self.failures = if has_advanced || open_for > MIN_SUCCESSFUL_WATCH {
            0
        } else {
            (self.failures + 1).min(MAX_DOUBLINGS)
        };
    }
}

#[cfg(test)]
mod tests;
