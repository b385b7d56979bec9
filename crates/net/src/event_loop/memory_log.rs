//! Logs how much of the memory budget is in use, and when memory was short.

use pumiceway_memory::{Holder, MemoryBudget, MemoryReport};
use tracing::{info, warn};

/// A new high is logged once for each of this many parts of the budget.
const STEPS: usize = 8;

/// Remembers what was logged.
#[derive(Default)]
pub(super) struct MemoryLog {
    /// The step of the highest use so far.
    step: usize,
    /// How many accounts had been revoked.
    revoked: u64,
}

impl MemoryLog {
    /// Logs what has changed.
    pub(super) fn update(&mut self, budget: &MemoryBudget) {
        let report = budget.report();
        let step = report.highest * STEPS / report.total.max(1);
        if step > self.step {
            self.step = step;
            info!(
                total = report.total,
                highest = report.highest,
                held = describe(&report),
                "memory use has reached a new high"
            );
        }
        if report.revoked > self.revoked {
            warn!(
                revoked = report.revoked - self.revoked,
                total = report.total,
                held = describe(&report),
                "memory is short: what held the most for the longest time is given up"
            );
            self.revoked = report.revoked;
        }
    }
}

/// What each kind of holder holds.
fn describe(report: &MemoryReport) -> String {
    let holders = Holder::ALL.iter().zip(report.by_holder);
    let parts: Vec<String> = holders
        .map(|(holder, bytes)| format!("{}={bytes}", holder.as_str()))
        .collect();
    parts.join(",")
}
