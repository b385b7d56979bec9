//! How a load report updates the estimates for an endpoint.
//!
//! A report gives the slots and memory in use, by this dispatcher and by others, and the
//! throughput. What other dispatchers use is kept as a moving average for the endpoint, and as a
//! mean for its zone. A report that is as old as requests take to run says little more than the
//! mean of the zone, so reports have less weight the longer the interval between them.

use super::Balancer;
use crate::api::{EndpointId, LoadReport, Timestamp};
use crate::math::{decay, ewma_weight};
use crate::state::USAGE_TIME_CONSTANT_US;

/// Time constant, in mean running times, with which a report loses weight as the interval between
/// reports grows.
const REPORT_LIFETIME_RUNS: f64 = 3.0;
/// Time constant of the throughput of an endpoint.
const THROUGHPUT_TIME_CONSTANT_US: f64 = 2_000_000.0;
/// EWMA weight of a report in the mean throughput of all endpoints.
const FLEET_THROUGHPUT_EWMA_WEIGHT: f64 = 0.05;
/// EWMA weight of a report in the mean usage of the endpoints of its zone.
const ZONE_USAGE_EWMA_WEIGHT: f64 = 0.05;
/// The largest usage by other dispatchers that counts in that mean, as a multiple of the slots.
const MAX_ZONE_USAGE: f64 = 2.0;

/// The weights with which a report updates the estimated usage by other dispatchers.
#[derive(Clone, Copy)]
struct ReportWeights {
    /// Weight of the report against the mean of the zone, from 0 to 1; `None`: the mean is not
    /// used.
    against_zone_mean: Option<f64>,
    /// Weight of the result against the previous estimate, from 0 to 1.
    against_estimate: f64,
}

impl Balancer {
    /// Updates the estimates for an endpoint, its kind and its zone from a load report.
    pub(super) fn on_load_report(&mut self, now: Timestamp, id: EndpointId, report: LoadReport) {
        let endpoint = self.state.endpoint(id);
        let kind = endpoint.kind;
        let elapsed_us = now.micros_since(endpoint.reported_at) as f64;
        let usage_weight = ewma_weight(elapsed_us, USAGE_TIME_CONSTANT_US);
        let weights = self.report_weights(now, id, usage_weight);
        let learnt = self.state.learn_slots(kind, report.free_slots);
        self.learn_throughput(id, &report, elapsed_us);
        self.store_report(now, id, report);
        if let Some(free_slots) = report.free_slots {
            let busy_slots = self.busy_slots(&report, learnt.slots, free_slots);
            self.learn_others_slots(now, id, learnt.slots, busy_slots, weights);
        }
        if let Some(free_memory) = report.free_memory {
            let endpoint = self.state.endpoint_mut(id);
            let others_memory = (learnt.slots - free_memory - endpoint.own_memory).max(0.0);
            endpoint.others_memory += usage_weight * (others_memory - endpoint.others_memory);
        }
        if !learnt.were_known {
            self.rebuild_preferences();
        }
    }

    /// Returns how much a report counts.
    ///
    /// An old report shows capacity that other dispatchers have taken since, so it is averaged with
    /// the mean of the zone. The mean is not used in slow start, nor in a large fleet where load
    /// can be polled: there, a request that takes a whole endpoint would never find one, and spare
    /// slots make up for what has changed.
    fn report_weights(&self, now: Timestamp, id: EndpointId, usage_weight: f64) -> ReportWeights {
        let is_large_polled_fleet = self.is_large_polled_fleet();
        let in_slow_start = self
            .time_in_slow_start(now, self.state.endpoint(id))
            .is_some();
        let lifetime_us = REPORT_LIFETIME_RUNS * self.state.mean_run_us;
        ReportWeights {
            against_zone_mean: if in_slow_start || is_large_polled_fleet {
                None
            } else {
                Some(decay(self.state.report_interval_us, lifetime_us))
            },
            against_estimate: if is_large_polled_fleet {
                1.0
            } else {
                usage_weight
            },
        }
    }

    fn learn_throughput(&mut self, id: EndpointId, report: &LoadReport, elapsed_us: f64) {
        if let (Some(rate), Some(utilization)) =
            (report.requests_per_second, report.cpu_utilization)
        {
            let weight = ewma_weight(elapsed_us, THROUGHPUT_TIME_CONSTANT_US);
            self.state
                .endpoint_mut(id)
                .throughput
                .learn(rate, utilization, weight);
            self.state
                .fleet_throughput
                .learn(rate, utilization, FLEET_THROUGHPUT_EWMA_WEIGHT);
        }
    }

    /// Stores the load of a report without the throughput, which differs from report to report even
    /// where the load was not refreshed.
    fn store_report(&mut self, now: Timestamp, id: EndpointId, report: LoadReport) {
        let load = LoadReport {
            requests_per_second: None,
            cpu_utilization: None,
            ..report
        };
        let state = &mut self.state;
        state.endpoints[id.index()].record_report(now, load, &mut state.report_interval_us);
    }

    /// Slots in use or needed by queued requests. Free slots are never reported as less than 0, so
    /// by them alone an endpoint with a long queue would seem about to become free.
    fn busy_slots(&self, report: &LoadReport, slots: f64, free_slots: f64) -> f64 {
        let in_flight_slots = report
            .in_flight
            .map_or(0.0, |requests| requests * self.state.mean_slots);
        (slots - free_slots + report.queued.unwrap_or(0.0)).max(in_flight_slots)
    }

    /// Updates the estimated usage by other dispatchers, of the endpoint and of its zone.
    fn learn_others_slots(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        slots: f64,
        busy_slots: f64,
        weights: ReportWeights,
    ) {
        let endpoint = &mut self.state.endpoints[id.index()];
        let zone = &mut self.state.zone_usage[endpoint.zone.0];
        let reported = (busy_slots - endpoint.own_slots_mean).max(0.0);
        zone.learn(
            now,
            (reported / slots.max(1.0)).min(MAX_ZONE_USAGE),
            ZONE_USAGE_EWMA_WEIGHT,
        );
        let mean = zone.share * slots;
        let estimate = weights
            .against_zone_mean
            .map_or(reported, |weight| mean + weight * (reported - mean));
        endpoint.others_slots += weights.against_estimate * (estimate - endpoint.others_slots);
    }
}
