//! Per-endpoint state: list data, load, health and slow start.

use super::Throughput;
use crate::api::{
    EndpointEntry, EndpointState, FunctionSet, KindId, LoadReport, Timestamp, ZoneId,
};
use crate::math::ewma_weight;

/// Time constant of the moving averages of an endpoint's used slots. With a shorter one, the
/// averages would follow single requests.
pub(crate) const USAGE_TIME_CONSTANT_US: f64 = 1_000_000.0;
/// Weight of a new sample in the estimated interval between refreshed reports, where an unchanged
/// report shows that the interval is longer than estimated.
const LONGER_INTERVAL_WEIGHT: f64 = 0.5;
/// The same where a changed report shows that the interval is shorter than estimated.
const SHORTER_INTERVAL_WEIGHT: f64 = 0.2;

/// State of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// `None` before it is first listed.
    pub(crate) name: Option<String>,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    /// The additional functions that it can run.
    pub(crate) functions: FunctionSet,
    pub(crate) cell: Option<u64>,
    pub(crate) relative_size: f64,
    pub(crate) state: EndpointState,
    pub(crate) skips_slow_start: bool,
    pub(crate) max_concurrent: Option<u32>,
    /// When its process last started, according to the list.
    pub(crate) listed_started_at: Timestamp,
    /// The listed start, or the last failure before a recovery if that is later: the process may
    /// have restarted since.
    pub(crate) started_at: Timestamp,
    /// Hash of its name alone.
    pub(crate) name_hash: u64,
    /// Hash of its name and listed start, the same on every dispatcher.
    pub(crate) process_hash: u64,

    /// Whether [`BalancerState::monitored`](super::BalancerState::monitored) contains it.
    pub(crate) is_monitored: bool,

    /// Slots used by this dispatcher's attempts in flight.
    pub(crate) own_slots: f64,
    /// Memory used by them, in slots' worth.
    pub(crate) own_memory: f64,
    /// Number of these attempts.
    pub(crate) own_attempts: usize,
    /// Moving average of `own_slots`.
    pub(crate) own_slots_mean: f64,
    own_slots_mean_at: Timestamp,
    /// Send times of this dispatcher's attempts that have not reported their start; empty where
    /// endpoints do not report starts.
    pub(crate) unstarted_sends: Vec<Timestamp>,

    /// Estimated slots used by other dispatchers.
    pub(crate) others_slots: f64,
    /// Estimated memory used by other dispatchers, in slots' worth.
    pub(crate) others_memory: f64,
    /// Its last load report.
    pub(crate) report: LoadReport,
    /// When that report was received; [`Timestamp::ORIGIN`] before the first.
    pub(crate) reported_at: Timestamp,
    pub(crate) throughput: Throughput,

    /// It gets no request before this time, because it rejected one for lack of capacity, or
    /// because one was cancelled in its queue.
    pub(crate) backoff_until: Timestamp,
    /// Exponentially weighted share of its responses that were errors.
    pub(crate) error_rate: f64,
    /// Consecutive attempts that were cancelled in its queue although it appeared to have capacity.
    pub(crate) queue_cancellations: u32,

    /// When it last sent a response, progress or the result of a health check.
    pub(crate) last_heard_at: Timestamp,
    /// When one of this dispatcher's attempts last got a response or made progress there.
    pub(crate) last_response_at: Timestamp,
    /// When a connection to it was last used.
    pub(crate) last_used_at: Timestamp,

    /// Set while the endpoint is suspected or ejected; it then gets no request, also after this
    /// time, from which on a health check is due. For an ejected endpoint, this is the end of its
    /// back-off; for a suspected one (`ejections` is 0), the time at which it was suspected. A
    /// successful health check, or progress or a response of an attempt, clears it.
    pub(crate) excluded_until: Option<Timestamp>,
    /// Ejections since it last responded.
    pub(crate) ejections: u32,
    /// When a health check of it last failed.
    pub(crate) last_failure_at: Timestamp,
    /// It gets one request at a time until it responds, because its ejection has ended or because
    /// an attempt there has become overdue.
    pub(crate) on_probation: bool,
    pub(crate) health_check_in_flight: bool,
    /// When its last health check was sent.
    pub(crate) health_checked_at: Timestamp,

    /// The slow-start turn in which this dispatcher last sent to it.
    pub(crate) slow_start_turn: u64,
    /// Work that this dispatcher sent in that turn, in slot-microseconds.
    pub(crate) slow_start_spent: f64,
}

impl Endpoint {
    /// The state of an endpoint that was never listed.
    pub(super) fn new(now: Timestamp) -> Endpoint {
        Endpoint {
            own_slots_mean_at: now,
            last_heard_at: now,
            ..Endpoint::default()
        }
    }

    /// Resets the state after a restart of the endpoint's process. Keeps the name and what this
    /// dispatcher tracks itself: its attempts, connections and health checks.
    pub(super) fn reset_after_restart(&mut self, now: Timestamp) {
        let before = std::mem::replace(self, Endpoint::new(now));
        self.name = before.name;
        self.is_monitored = before.is_monitored;
        self.own_slots = before.own_slots;
        self.own_memory = before.own_memory;
        self.own_attempts = before.own_attempts;
        self.unstarted_sends = before.unstarted_sends;
        self.last_used_at = before.last_used_at;
        self.health_check_in_flight = before.health_check_in_flight;
        self.health_checked_at = before.health_checked_at;
    }

    /// Records a load report and updates the estimated interval between refreshed reports. A report
    /// equal to the previous one counts as not refreshed.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        report: LoadReport,
        interval_us: &mut f64,
    ) {
        let since_last_us = now.micros_since(self.reported_at) as f64;
        if self.report == report && 2.0 * since_last_us > *interval_us {
            *interval_us += LONGER_INTERVAL_WEIGHT * (2.0 * since_last_us - *interval_us);
        } else if self.report != report && since_last_us < *interval_us {
            *interval_us -= SHORTER_INTERVAL_WEIGHT * (*interval_us - since_last_us);
        }
        self.report = report;
        self.reported_at = now;
        self.update_own_slots_mean(now);
    }

    /// Whether this entry lists other functions than are known, and changes nothing else.
    pub(super) fn differs_in_functions_only(&self, entry: &EndpointEntry) -> bool {
        self.functions != *entry.functions
            && self.name.as_deref() == Some(entry.name)
            && self.zone == entry.zone
            && self.kind == entry.kind
            && self.cell == entry.cell
            && self.state == entry.state
            && self.listed_started_at == entry.started_at
            && self.relative_size.to_bits() == entry.relative_size.to_bits()
            && self.skips_slow_start == entry.skips_slow_start
            && self.max_concurrent == entry.max_concurrent
    }

    /// Whether the list says that it accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Work that this dispatcher sent to it in a slow-start turn, in slot-microseconds.
    pub(crate) fn slow_start_spent_in(&self, turn: u64) -> f64 {
        if self.slow_start_turn == turn {
            self.slow_start_spent
        } else {
            0.0
        }
    }

    /// Reserves the slots and memory of an attempt that is being sent.
    pub(super) fn reserve(&mut self, now: Timestamp, slots: f64, memory: f64) {
        self.update_own_slots_mean(now);
        self.own_slots += slots;
        self.own_memory += memory;
        self.own_attempts += 1;
        self.last_used_at = now;
    }

    /// Releases the slots and memory of an attempt that was sent at `sent_at`.
    pub(crate) fn release(&mut self, now: Timestamp, sent_at: Timestamp, slots: f64, memory: f64) {
        self.unstarted_sends.retain(|&at| at != sent_at);
        self.update_own_slots_mean(now);
        self.own_slots = (self.own_slots - slots).max(0.0);
        self.own_memory = (self.own_memory - memory).max(0.0);
        self.own_attempts = self.own_attempts.saturating_sub(1);
    }

    fn update_own_slots_mean(&mut self, now: Timestamp) {
        let elapsed_us = now.micros_since(self.own_slots_mean_at) as f64;
        let weight = ewma_weight(elapsed_us, USAGE_TIME_CONSTANT_US);
        self.own_slots_mean += weight * (self.own_slots - self.own_slots_mean);
        self.own_slots_mean_at = now;
    }
}
