//! Running estimates for classes, machine kinds, tenants, zones and throughput.

use crate::api::{Class, Timestamp};
use crate::math::decay;
use crate::time::micros_f64;
use std::time::Duration;

/// Weight of a new sample in the exponential moving averages over requests.
pub(crate) const LEARNING_RATE: f64 = 0.03;
/// Up to this many samples, all of them are averaged with equal weight instead.
const INITIAL_SAMPLES: u32 = 30;
/// A report counts as a sample of a kind's slots when more than this share of the estimated slots
/// is free.
const NEARLY_IDLE_SHARE: f64 = 0.85;
/// Weight of such a sample.
const NEARLY_IDLE_WEIGHT: f64 = 0.1;
/// A report with more than this multiple of the estimated slots free shows that the estimate is far
/// too low.
const UNDERESTIMATE_RATIO: f64 = 1.4;
/// Weight of such a sample.
const UNDERESTIMATE_WEIGHT: f64 = 0.3;

const MICROS_PER_SECOND: f64 = 1e6;

/// Estimates for one class.
pub(crate) struct ClassEstimate {
    /// Running time as this dispatcher sees it, in microseconds: from the send to the response,
    /// including time in the endpoint's queue. Initially the latency objective.
    pub(crate) run_us: f64,
    /// Requests served.
    pub(crate) served: u32,
    /// Sum of the running times of the requests served, in microseconds.
    total_run_us: f64,
    /// The longest remaining time of any request on arrival, taken to be that of a client's first
    /// attempt.
    pub(crate) longest_remaining: Duration,
}

impl ClassEstimate {
    /// An estimate without samples: the running time is assumed to equal the objective.
    pub(super) fn new(class: &Class) -> ClassEstimate {
        ClassEstimate {
            run_us: micros_f64(class.latency_objective).max(1.0),
            served: 0,
            total_run_us: 0.0,
            longest_remaining: Duration::ZERO,
        }
    }

    /// Records the latency of a request that was served.
    pub(super) fn record_sample(&mut self, latency_us: f64) {
        self.served = self.served.saturating_add(1);
        self.run_us += LEARNING_RATE * (latency_us - self.run_us);
        self.total_run_us += latency_us;
    }

    /// Whether all samples still count with equal weight.
    pub(super) fn has_few_samples(&self) -> bool {
        self.served <= INITIAL_SAMPLES
    }

    /// Sets the running time to the mean of all samples, with the time that requests still in
    /// flight have taken added to the total.
    pub(super) fn average_all_samples(&mut self, in_flight_us: f64) {
        self.run_us = (self.total_run_us + in_flight_us) / f64::from(self.served);
    }

    /// The mean running time over all classes, weighted by requests served; `None` once more than
    /// `INITIAL_SAMPLES` requests were served in total.
    pub(super) fn initial_mean_run_us(classes: &[ClassEstimate]) -> Option<f64> {
        let served = |class: &ClassEstimate| f64::from(class.served);
        let total_served: f64 = classes.iter().map(served).sum();
        (total_served <= f64::from(INITIAL_SAMPLES)).then(|| {
            classes
                .iter()
                .map(|class| class.run_us * served(class))
                .sum::<f64>()
                / total_served
        })
    }
}

/// The estimated slots of a kind after a load report.
pub(crate) struct SlotsEstimate {
    /// Whether there was an estimate before the report.
    pub(crate) were_known: bool,
    /// The estimate including the report.
    pub(crate) slots: f64,
}

/// Updates the estimated slots of a kind from the free slots that one of its endpoints reports.
///
/// The estimate is a moving average over the reports of nearly idle endpoints, so that a single
/// noisy report does not permanently overestimate every endpoint of the kind.
pub(super) fn learn_slots(slots: &mut f64, free_slots: Option<f64>) -> SlotsEstimate {
    let were_known = *slots > 0.0;
    match free_slots {
        Some(free) if !were_known => *slots = free,
        Some(free) if free > UNDERESTIMATE_RATIO * *slots => {
            *slots += UNDERESTIMATE_WEIGHT * (free - *slots);
        }
        Some(free) if free > NEARLY_IDLE_SHARE * *slots => {
            *slots += NEARLY_IDLE_WEIGHT * (free - *slots);
        }
        _ => {}
    }
    SlotsEstimate {
        were_known,
        slots: *slots,
    }
}

/// Request rate of a tenant, as an exponential moving average.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestRate {
    per_second: f64,
    updated_at: Timestamp,
}

impl RequestRate {
    /// Counts one request and returns the updated rate in requests per second.
    pub(crate) fn count(&mut self, now: Timestamp, time_constant_us: f64) -> f64 {
        let elapsed_us = now.micros_since(self.updated_at) as f64;
        self.per_second = self.per_second * decay(elapsed_us, time_constant_us)
            + MICROS_PER_SECOND / time_constant_us;
        self.updated_at = now;
        self.per_second
    }
}

/// Estimated use of the endpoints of a zone by other dispatchers, on average.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneUsage {
    /// Share of an endpoint's slots that they use; above 1 if requests are queued there.
    pub(crate) share: f64,
    /// When the last sample was recorded.
    pub(crate) updated_at: Timestamp,
}

impl ZoneUsage {
    /// Records a sample, with a weight from 0 to 1.
    pub(crate) fn learn(&mut self, now: Timestamp, sample: f64, weight: f64) {
        self.share += weight * (sample - self.share);
        self.updated_at = now;
    }

    /// The factor by which the estimate has decayed since its last sample.
    pub(crate) fn remaining(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        decay(now.micros_since(self.updated_at) as f64, time_constant_us)
    }
}

/// Completed requests and CPU utilization of an endpoint, as moving averages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Throughput {
    /// Requests completed per second.
    pub(crate) requests_per_second: f64,
    /// CPU utilization, 0 to about 1.
    pub(crate) cpu_utilization: f64,
}

impl Throughput {
    /// Records a sample of both, with a weight from 0 to 1.
    pub(crate) fn learn(&mut self, requests_per_second: f64, cpu_utilization: f64, weight: f64) {
        self.requests_per_second += weight * (requests_per_second - self.requests_per_second);
        self.cpu_utilization += weight * (cpu_utilization - self.cpu_utilization);
    }
}
