//! The parameters of a test run: how lists are delivered, the deadlines, and the limits on sockets
//! and memory.

use super::identities::KEYED_CLASS;
use super::identity_checks::DEDUPLICATION_WINDOW;
use crate::SETTINGS;
use std::time::Duration;

/// The longest time that a client waits.
const MAX_REMAINING: Duration = Duration::from_millis(2_500);
/// A process that was asked to stop may be killed this long after the longest deadline, which
/// counts as at most `MAX_COUNTED_DEADLINE`.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// The deadlines of the idempotent class and of the non-idempotent class: those of [`SETTINGS`],
/// and short ones.
const USUAL_DEADLINES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(6)];
const SHORT_DEADLINES: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(1)];
/// The socket limits to draw from.
const MANY_SOCKETS: usize = 1_024;
const FEW_SOCKETS: usize = 128;
/// The memory limits to draw from, in MiB.
const MEMORY_LIMITS_MB: [u64; 3] = [32, 64, 192];

/// How endpoint lists reach the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Each dispatcher polls the discovery service.
    Polled,
    /// Lists are pushed to an agent beside each dispatcher.
    Pushed,
}

impl ListDelivery {
    /// [`SETTINGS`] for one dispatcher of a fleet.
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

/// The tenants, as the settings name them.
pub(super) const TENANTS: [&str; 2] = ["acme", "other"];
const TENANT_SETTINGS: &str =
    r#""tenants":[{"name":"acme","quota-per-s":9},{"name":"other","quota-per-s":9}],"#;

/// The parameters of a test run, which do not change during the run.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// How endpoint lists reach the dispatchers.
    pub lists: ListDelivery,
    /// The deadline of the idempotent class, and of the non-idempotent one.
    pub deadlines: [Duration; 2],
    /// The longest time that a client waits.
    pub max_remaining: Duration,
    /// The socket limit of a dispatcher.
    pub sockets: usize,
    /// The memory limit of a dispatcher, in MiB.
    pub memory_mb: u64,
    /// Whether the pages of the program count towards the memory. Those of a debug build are many times
    /// as many as those of the deployed one.
    pub counts_files: bool,
    /// Whether dispatchers check the health of endpoints.
    pub health_checks: bool,
    /// Whether dispatchers have a Gearman frontend.
    pub gearman: bool,
    /// Whether the settings have tenants, so that the sound clients belong to none of them.
    pub tenants: bool,
}

impl Conditions {
    /// Draws the conditions of a seed.
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
            max_remaining: MAX_REMAINING,
            sockets,
            memory_mb: *rng.choice(&MEMORY_LIMITS_MB).unwrap(),
            health_checks: rng.bool(),
            counts_files: true,
            gearman: rng.bool(),
            tenants: rng.bool(),
        }
    }

    /// The time that the client of a request waits, by class.
    pub fn remaining(&self, is_non_idempotent: bool) -> Duration {
        self.deadlines[usize::from(is_non_idempotent)].min(self.max_remaining)
    }

    /// The deadline of a class.
    pub(super) fn deadline(&self, class: &str) -> Duration {
        self.deadlines[usize::from(class == "booking-import")]
    }

    /// The time from SIGTERM until a process may be killed.
    pub(super) fn kill_after(&self) -> Duration {
        let longest = self.deadlines[0].max(self.deadlines[1]);
        longest.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// The settings of a dispatcher.
    pub(super) fn settings(&self, instance: usize, instance_count: usize) -> String {
        let [idempotent, non_idempotent] = self
            .deadlines
            .map(|deadline| format!(r#""deadline-us":{}"#, deadline.as_micros()));
        let limits = format!(r#""limits":{{"probes":{},"#, self.health_checks);
        let settings = self.lists.settings(instance, instance_count);
        // A third class, whose deadline is that of the idempotent one.
        let keyed = format!(
            r#""points":3.0,"semantics":"non_idempotent"}},{{"name":"{KEYED_CLASS}","aim-us":1500000,{idempotent},
            "points":3.0,"semantics":"idempotency_key","dedup-scope":"all","window-us":{}}}]"#,
            DEDUPLICATION_WINDOW.as_micros()
        );
        let tenants = if self.tenants { TENANT_SETTINGS } else { "" };
        settings
            .replacen('{', &format!("{{{tenants}"), 1)
            .replacen(r#""points":3.0,"semantics":"non_idempotent"}]"#, &keyed, 1)
            .replacen(r#""limits":{"#, &limits, 1)
            .replacen(r#""deadline-us":5000000"#, &idempotent, 1)
            .replacen(r#""deadline-us":6000000"#, &non_idempotent, 1)
    }
}
