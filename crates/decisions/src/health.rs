//! How workers and zones fare, worked out from reports and from what was heard: arithmetic, no decision.

use crate::api::{Report, ZoneId};
use crate::state::Worker;

/// The reports of a worker are averaged over this time (µs); those of all by this step.
const SMOOTHING: f64 = 2_000_000.0;
const STEP: f64 = 0.05;
/// Used less than this, a worker has no pace to speak of.
const IN_USE: f64 = 0.3;
/// One that ends less than this share of what the mean worker ends for the same use is slow: it runs jobs 2.5 times
/// as long or longer, or its cores are taken by others.
const SLOW: f64 = 0.4;

/// Weight of a new figure, so long (µs) after the one before, in a mean over this time (µs).
pub(crate) fn catch_up(apart: f64, over: f64) -> f64 {
    1.0 - (-apart / over).exp()
}

/// Jobs ended a second, and the share of the cores in use, on the mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    rate: f64,
    busy: f64,
}

impl Health {
    /// Takes a report of one worker in, so long (µs) after the one before; `all` is the mean over workers.
    pub(crate) fn note(&mut self, report: &Report, apart: f64, all: &mut Health) {
        let (Some(rate), Some(busy)) = (report.rate, report.busy) else { return };
        self.step(rate, busy, catch_up(apart, SMOOTHING));
        all.step(rate, busy, STEP);
    }

    fn step(&mut self, rate: f64, busy: f64, weight: f64) {
        self.rate += weight * (rate - self.rate);
        self.busy += weight * (busy - self.busy);
    }

    /// Whether it crawls beside the mean worker.
    pub(crate) fn slow(&self, all: &Health) -> bool {
        self.busy > IN_USE && self.rate * all.busy < SLOW * all.rate * self.busy
    }
}

/// So many workers of a zone that do not answer, and none that has since, tell of the zone.
const SILENT: usize = 2;

/// Whether a whole zone seems lost.
pub(crate) fn dark(workers: &[Worker], zone: ZoneId) -> bool {
    let here = || workers.iter().filter(|w| w.listed && w.zone == zone);
    let heard = here().map(|w| w.heard).max().unwrap_or(0);
    here().filter(|w| w.bad_until.is_some() && w.down_at > heard).count() >= SILENT
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against each of many instances having to find out by jobs of its own that a worker crawls.
    #[test]
    fn one_report_tells_a_worker_that_is_in_use_and_ends_little() {
        let report = |rate, busy| Report { rate: Some(rate), busy: Some(busy), ..Report::default() };
        let (mut all, mut normal) = (Health::default(), Health::default());
        (0..40).for_each(|_| normal.note(&report(1.9, 0.9), 500_000.0, &mut all));
        let after_one = |rate, busy| {
            let mut worker = Health::default();
            worker.note(&report(rate, busy), f64::MAX, &mut all.clone());
            worker.slow(&all)
        };
        assert!(after_one(0.2, 0.9) && !after_one(1.2, 0.9), "slow by its pace");
        assert!(!after_one(0.0, 0.1), "idle");
        assert!(!normal.slow(&all));
        let mut silent = Health::default();
        silent.note(&Report::default(), 1.0, &mut all);
        assert!(!silent.slow(&all) && !silent.slow(&Health::default()));
    }
}
