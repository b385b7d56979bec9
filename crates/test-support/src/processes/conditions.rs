//! What holds throughout a play: how lists arrive, the deadlines, and the limit of sockets.

use crate::SETTINGS;
use std::time::Duration;

/// A client waits at most this long.
const MAX_REMAINING: Duration = Duration::from_millis(2_500);
/// A process that was asked to stop may be killed so long after the longest deadline, of which at
/// most the second counts.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// The deadlines of the idempotent and of the non-idempotent class: those of [`SETTINGS`], and
/// short ones.
const USUAL_DEADLINES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(6)];
const SHORT_DEADLINES: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(1)];
/// The limits of sockets that are drawn.
const MANY_SOCKETS: usize = 1_024;
const FEW_SOCKETS: usize = 128;

/// How endpoint lists reach the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Each dispatcher polls the discovery service.
    Polled,
    /// An agent beside each dispatcher is pushed them.
    Pushed,
}

impl ListDelivery {
    /// The settings of the scenarios, as those of one dispatcher of a fleet.
    pub fn settings(self, instance: usize, instance_count: usize) -> String {
        let mode = match self {
            ListDelivery::Polled => "subscribe",
            ListDelivery::Pushed => "automatic",
        };
        let rules = r#""rules":{"ask-within-us":10000000,"drain-grace-us":500000}"#;
        let fields = format!(
            r#"{rules},"discovery":"{mode}","n-instances":{instance_count},"me":{instance}"#
        );
        SETTINGS.replacen(r#""rules":{}"#, &fields, 1)
    }
}

/// What holds throughout a play.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// How lists reach the dispatchers.
    pub lists: ListDelivery,
    /// The deadline of the idempotent class, and of the non-idempotent one.
    pub deadlines: [Duration; 2],
    /// The limit of sockets of a dispatcher.
    pub sockets: usize,
}

impl Conditions {
    /// Those of a seed.
    pub fn draw(seed: u64) -> Conditions {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let lists = if seed.is_multiple_of(2) {
            ListDelivery::Polled
        } else {
            ListDelivery::Pushed
        };
        let deadlines = if rng.u32(..3) == 0 {
            SHORT_DEADLINES
        } else {
            USUAL_DEADLINES
        };
        let sockets = if rng.bool() {
            MANY_SOCKETS
        } else {
            FEW_SOCKETS
        };
        Conditions {
            lists,
            deadlines,
            sockets,
        }
    }

    /// How long the client of a class waits.
    pub fn remaining(&self, is_non_idempotent: bool) -> Duration {
        self.deadlines[usize::from(is_non_idempotent)].min(MAX_REMAINING)
    }

    /// How long after SIGTERM a process may be killed.
    pub(super) fn kill_after(&self) -> Duration {
        let longest = self.deadlines[0].max(self.deadlines[1]);
        longest.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    pub(super) fn settings(&self, instance: usize, instance_count: usize) -> String {
        let [idempotent, non_idempotent] = self
            .deadlines
            .map(|deadline| format!(r#""deadline-us":{}"#, deadline.as_micros()));
        let settings = self.lists.settings(instance, instance_count);
        settings
            .replacen(r#""deadline-us":5000000"#, &idempotent, 1)
            .replacen(r#""deadline-us":6000000"#, &non_idempotent, 1)
    }
}
