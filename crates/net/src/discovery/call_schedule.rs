//! When to call discovery. Where it is asked, it is one service for all dispatchers and works
//! through calls in turn; one that has waited too long has failed, but is worked through all the
//! same. So a fleet that calls faster than it is served is never served again: the pace has to come
//! from the callers, who do not know of each other.
//!
//! Where lists are pushed, the address is that of an agent beside this dispatcher alone. It answers
//! at once and at no cost, and what it has counts as told whether it was asked or not: nothing is
//! gained by waiting.

use pumiceway_decisions::settings::{DeploymentSettings, DiscoveryMode};
use std::time::Duration;

/// All dispatchers together call this often when they all begin at once: each draws its time from
/// as many of these as there are dispatchers.
const EACH: Duration = Duration::from_millis(50);
/// Whatever discovery has to tell counts as told after this time, whether it arrived or not; and
/// after this one where a new configuration has moved it.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_MOVED: Duration = Duration::from_secs(4);
/// A first call that a request waits for is drawn from this time at most.
const DEMAND_MOST: Duration = Duration::from_millis(500);
/// The least wait between a call that has ended and the next.
const LEAST: Duration = Duration::from_millis(50);
/// Each failure in a row doubles the time that is drawn from, up to this many times its beginning.
const DOUBLINGS: u32 = 3;
/// An agent is called again within this many times the least wait, however often it has failed.
const AGENT_MOST: u32 = 2;
/// A watch that has stood for so long counts as served, whether anything changed or not.
const STOOD: Duration = Duration::from_millis(2_500);

/// The pace of one dispatcher's calls.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    spread: Duration,
    most: Duration,
    failures: u32,
    agent: bool,
}

impl CallSchedule {
    /// What the settings ask for. Prevents: a dispatcher among many leaves what its own agent has
    /// unread for seconds, as if it shared the agent with all of them, and sends to what counts as
    /// told to be gone.
    pub fn of(conf: &DeploymentSettings) -> CallSchedule {
        match conf.discovery {
            DiscoveryMode::Polled => CallSchedule::new(
                conf.instance_count,
                Duration::from_micros(conf.rules.max_poll_interval_us),
            ),
            DiscoveryMode::Pushed => CallSchedule::agent(),
        }
    }

    /// For an agent beside this dispatcher, that lists are pushed to.
    pub fn agent() -> CallSchedule {
        CallSchedule {
            spread: Duration::ZERO,
            most: Duration::ZERO,
            failures: 0,
            agent: true,
        }
    }

    /// For one of this many dispatchers, which counts as told after `ask_within` without a call
    /// (zero: never).
    ///
    /// Prevents: a large fleet draws from so long a time that a dispatcher counts as told before it
    /// has asked, and sends to what has gone. Hence half of that time at most; the call takes the
    /// rest.
    pub fn new(instances: usize, ask_within: Duration) -> CallSchedule {
        let each = EACH * u32::try_from(instances.clamp(2, 1 << 20)).unwrap_or(1 << 20);
        let told = if ask_within.is_zero() {
            Duration::MAX
        } else {
            ask_within
        };
        let spread = each.min(told / 2);
        let most = spread.saturating_mul(1 << DOUBLINGS).min(told);
        CallSchedule {
            spread,
            most,
            failures: 0,
            agent: false,
        }
    }

    /// The wait before the first call; `draw` is uniform from 0 to 1.
    pub fn first(&self, draw: f64) -> Duration {
        self.spread.mul_f64(draw)
    }

    /// The wait before the first call of a process that a request waits in, if its own turn is
    /// later.
    ///
    /// Prevents: processes that are restarted together refuse what they are sent while they wait
    /// for a turn of seconds. Those with nothing to send keep their turn, so the calls come no
    /// faster than requests do.
    pub fn on_demand(&self, draw: f64) -> Duration {
        self.spread.min(DEMAND_MOST).mul_f64(draw)
    }

    /// The wait before the first call at a new address: a new configuration reaches dispatchers one
    /// by one, and the old address soon ends its watches.
    pub fn first_moved(&self, draw: f64) -> Duration {
        self.spread.min(TOLD_MOVED / 4).mul_f64(draw)
    }

    /// The wait before the next call, when one has ended whose watch `stood` for so long, not at
    /// all if it was never answered; `served` when it brought news.
    pub fn next(&mut self, stood: Duration, served: bool, draw: f64) -> Duration {
        self.failures = if served || stood > STOOD {
            0
        } else {
            (self.failures + 1).min(DOUBLINGS)
        };
        if self.agent {
            // Prevents: an agent that is not up yet is called without pause.
            return LEAST * (1 << self.failures.saturating_sub(1)).min(AGENT_MOST);
        }
        // Prevents: what is told between two watches counts as told before the second begins.
        let spread = match self.failures {
            0 => self.spread.min(TOLD / 2),
            n => self.spread.saturating_mul(1 << n).min(self.most),
        };
        LEAST + spread.mul_f64(draw)
    }
}

#[cfg(test)]
mod tests;
