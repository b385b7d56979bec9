//! What a load report tells about an endpoint.
//!
//! A report gives the slots and memory in use, by us and by others, and the throughput. What others
//! use is kept for the endpoint as a moving average, and for its zone as a mean. A report as old as
//! a request tells of little but the mean of the zone, so it counts the less, the longer the
//! interval between reports is.

use super::Balancer;
use crate::api::{EndpointId, LoadReport, Timestamp};
use crate::math::{decay, ewma_weight};
use crate::state::USAGE_TIME_CONSTANT_US;

/// Mean running times after which a report says little of the present.
const REPORT_LIFETIME_RUNS: f64 = 3.0;
/// Time constant of an endpoint's throughput, and the step of the mean one's.
const THROUGHPUT_TIME_CONSTANT_US: f64 = 2_000_000.0;
const FLEET_THROUGHPUT_STEP: f64 = 0.05;
/// Step of the mean use of a zone's endpoints, and the largest use that counts, as a share of the
/// slots.
const REPORT_STEP: f64 = 0.05;
const MAX_ZONE_USAGE: f64 = 2.0;

/// How far a report is believed.
#[derive(Clone, Copy)]
struct Trust {
    /// Weight of the report against the mean of the zone, from 0 to 1; `None`: the mean does not
    /// count.
    report: Option<f64>,
    /// Weight of the new belief against the previous one, from 0 to 1.
    step: f64,
}

impl Balancer {
    pub(super) fn on_report(&mut self, now: Timestamp, id: EndpointId, report: LoadReport) {
        let endpoint = self.state.endpoint(id);
        let kind = endpoint.kind;
        let elapsed_us = now.micros_since(endpoint.reported_at) as f64;
        let usage_weight = ewma_weight(elapsed_us, USAGE_TIME_CONSTANT_US);
        let trust = self.trust_in_report(now, id, usage_weight);
        let learnt = self.state.learn_slots(kind, report.free_slots);
        self.learn_throughput(id, &report, elapsed_us);
        self.note_report(now, id, report);
        if let Some(free_slots) = report.free_slots {
            let busy_slots = self.busy_slots(&report, learnt.slots, free_slots);
            self.learn_others_slots(now, id, learnt.slots, busy_slots, trust);
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

    /// An old report shows capacity that others have taken since. Not where dispatchers outnumber
    /// endpoints: there a request that takes a whole endpoint would never find one, and spare slots
    /// make up for what has changed.
    fn trust_in_report(&self, now: Timestamp, id: EndpointId, usage_weight: f64) -> Trust {
        let is_large_polled_fleet = self.is_large_polled_fleet();
        let in_slow_start = self
            .time_in_slow_start(now, self.state.endpoint(id))
            .is_some();
        let lifetime_us = REPORT_LIFETIME_RUNS * self.state.mean_run_us;
        Trust {
            report: if in_slow_start || is_large_polled_fleet {
                None
            } else {
                Some(decay(self.state.report_interval_us, lifetime_us))
            },
            step: if is_large_polled_fleet {
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
                .learn(rate, utilization, FLEET_THROUGHPUT_STEP);
        }
    }

    /// Keeps the report of the load; the throughput differs from report to report even where the
    /// load was not refreshed.
    fn note_report(&mut self, now: Timestamp, id: EndpointId, report: LoadReport) {
        let load = LoadReport {
            requests_per_second: None,
            cpu_utilization: None,
            ..report
        };
        let state = &mut self.state;
        state.endpoints[id.index()].record_report(now, load, &mut state.report_interval_us);
    }

    /// Slots in use and queued for. Free slots stop at 0, so a long queue would look like an
    /// endpoint about to be free.
    fn busy_slots(&self, report: &LoadReport, slots: f64, free_slots: f64) -> f64 {
        let in_flight_slots = report
            .in_flight
            .map_or(0.0, |requests| requests * self.state.mean_slots);
        (slots - free_slots + report.queued.unwrap_or(0.0)).max(in_flight_slots)
    }

    fn learn_others_slots(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        slots: f64,
        busy_slots: f64,
        trust: Trust,
    ) {
        let endpoint = &mut self.state.endpoints[id.index()];
        let zone = &mut self.state.zone_usage[endpoint.zone.0];
        let reported = (busy_slots - endpoint.own_slots_mean).max(0.0);
        zone.learn(
            now,
            (reported / slots.max(1.0)).min(MAX_ZONE_USAGE),
            REPORT_STEP,
        );
        let mean = zone.share * slots;
        let believed = trust
            .report
            .map_or(reported, |weight| mean + weight * (reported - mean));
        endpoint.others_slots += trust.step * (believed - endpoint.others_slots);
    }
}
