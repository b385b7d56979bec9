//! Running estimates: of classes, of kinds of endpoint, of tenants and of zones.

use crate::api::{Class, Timestamp};
use crate::math::decay;
use crate::time::micros_f64;
use std::time::Duration;

/// Weight of a new sample in the running means of requests.
pub(crate) const LEARNING_RATE: f64 = 0.03;
/// This many first samples are averaged with equal weight instead.
const EARLY_SAMPLES: u32 = 30;
/// Reports with more than this share of a kind's slots free are samples of its slots, and the step
/// to one.
const NEARLY_ALL_FREE: f64 = 0.85;
const SLOTS_STEP: f64 = 0.1;
/// Reports with more than this multiple of a kind's slots free show the estimate to be far off, and
/// the step to one.
const FAR_MORE_FREE: f64 = 1.4;
const FAR_MORE_STEP: f64 = 0.3;

const MICROS_PER_SECOND: f64 = 1e6;

/// What is learnt of a class.
pub(crate) struct ClassEstimate {
    /// Running time as seen from here, from the send to the response and with the queue of the
    /// endpoint, in microseconds; a guess until a request was served.
    pub(crate) run_us: f64,
    /// Requests served.
    pub(crate) served: u32,
    /// Sum of the running times of the requests served, in microseconds.
    total_run_us: f64,
    /// The longest remaining time that a request came with: that of a client's first attempt.
    pub(crate) longest_remaining: Duration,
}

impl ClassEstimate {
    /// Guesses the running time from the objective.
    pub(super) fn new(class: &Class) -> ClassEstimate {
        ClassEstimate {
            run_us: micros_f64(class.latency_objective).max(1.0),
            served: 0,
            total_run_us: 0.0,
            longest_remaining: Duration::ZERO,
        }
    }

    pub(super) fn learn(&mut self, latency_us: f64) {
        self.served = self.served.saturating_add(1);
        self.run_us += LEARNING_RATE * (latency_us - self.run_us);
        self.total_run_us += latency_us;
    }

    /// Whether few requests were served so far.
    pub(super) fn is_early(&self) -> bool {
        self.served <= EARLY_SAMPLES
    }

    /// Averages all samples so far, and the time that requests still in flight have taken.
    pub(super) fn average_early(&mut self, in_flight_us: f64) {
        self.run_us = (self.total_run_us + in_flight_us) / f64::from(self.served);
    }

    /// The mean running time over all classes, while few requests were served in all.
    pub(super) fn early_mean(classes: &[ClassEstimate]) -> Option<f64> {
        let served = |class: &ClassEstimate| f64::from(class.served);
        let all: f64 = classes.iter().map(served).sum();
        (all <= f64::from(EARLY_SAMPLES)).then(|| {
            classes
                .iter()
                .map(|class| class.run_us * served(class))
                .sum::<f64>()
                / all
        })
    }
}

/// What a load report has shown of the slots of its kind.
pub(crate) struct LearntSlots {
    /// They were known before.
    pub(crate) were_known: bool,
    /// What they are believed to be now.
    pub(crate) slots: f64,
}

/// Takes in the free slots that an endpoint of a kind reports.
///
/// A single noisy report must not make every endpoint of its kind look larger for good, so the
/// estimate follows the mean of the reports that show an endpoint nearly idle.
pub(super) fn learn_slots(slots: &mut f64, free_slots: Option<f64>) -> LearntSlots {
    let were_known = *slots > 0.0;
    match free_slots {
        Some(free) if !were_known => *slots = free,
        Some(free) if free > FAR_MORE_FREE * *slots => *slots += FAR_MORE_STEP * (free - *slots),
        Some(free) if free > NEARLY_ALL_FREE * *slots => *slots += SLOTS_STEP * (free - *slots),
        _ => {}
    }
    LearntSlots {
        were_known,
        slots: *slots,
    }
}

/// Requests per second of a tenant, as a moving average.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestRate {
    per_second: f64,
    updated_at: Timestamp,
}

impl RequestRate {
    /// Counts one request, and returns the rate with it.
    pub(crate) fn count(&mut self, now: Timestamp, time_constant_us: f64) -> f64 {
        let elapsed_us = now.micros_since(self.updated_at) as f64;
        self.per_second = self.per_second * decay(elapsed_us, time_constant_us)
            + MICROS_PER_SECOND / time_constant_us;
        self.updated_at = now;
        self.per_second
    }
}

/// What other dispatchers use of the mean endpoint of a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneUsage {
    /// Share of its slots; above 1 with a queue.
    pub(crate) share: f64,
    /// When anything last showed it.
    pub(crate) updated_at: Timestamp,
}

impl ZoneUsage {
    /// Moves the estimate towards a sample, by this share of the way.
    pub(crate) fn learn(&mut self, now: Timestamp, sample: f64, weight: f64) {
        self.share += weight * (sample - self.share);
        self.updated_at = now;
    }

    /// What is left of the estimate by now, as a fraction, where nothing has shown it since.
    pub(crate) fn remaining(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        decay(now.micros_since(self.updated_at) as f64, time_constant_us)
    }
}

/// How much an endpoint completes for how much it is in use, as moving averages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Throughput {
    /// Requests completed per second.
    pub(crate) requests_per_second: f64,
    /// CPU utilization, 0 to about 1.
    pub(crate) cpu_utilization: f64,
}

impl Throughput {
    /// Moves both averages towards a sample, by this share of the way.
    pub(crate) fn learn(&mut self, requests_per_second: f64, cpu_utilization: f64, weight: f64) {
        self.requests_per_second += weight * (requests_per_second - self.requests_per_second);
        self.cpu_utilization += weight * (cpu_utilization - self.cpu_utilization);
    }
}
