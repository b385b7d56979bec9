//! What is known of one endpoint.

use super::Throughput;
use crate::api::{EndpointState, KindId, LoadReport, Timestamp, ZoneId};
use crate::math::ewma_weight;

/// Time constant of the mean use of an endpoint: shorter ones would follow the length of a single
/// request.
pub(crate) const USAGE_TIME_CONSTANT_US: f64 = 1_000_000.0;
/// Steps by which the interval between two reports is learnt: when a report that repeats shows it
/// to be longer, and when one that changes shows it to be shorter.
const LONGER_INTERVAL_STEP: f64 = 0.5;
const SHORTER_INTERVAL_STEP: f64 = 0.2;

/// What is known of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// `None` before it is first listed.
    pub(crate) name: Option<String>,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: Option<u64>,
    pub(crate) relative_size: f64,
    pub(crate) state: EndpointState,
    pub(crate) skips_slow_start: bool,
    pub(crate) max_concurrent: Option<u32>,
    /// When its process last started, as the list says.
    pub(crate) listed_started_at: Timestamp,
    /// The same, or later where it was seen to fail and recover.
    pub(crate) started_at: Timestamp,
    /// Hash of its name alone.
    pub(crate) name_hash: u64,
    /// Hash of its name and start, the same on every dispatcher.
    pub(crate) process_hash: u64,

    /// Among [`BalancerState::monitored`](super::BalancerState::monitored).
    pub(crate) is_monitored: bool,

    /// What our own attempts in flight take of it.
    pub(crate) own_slots: f64,
    pub(crate) own_memory: f64,
    pub(crate) own_attempts: usize,
    /// Moving average of `own_slots`.
    pub(crate) own_slots_mean: f64,
    own_slots_mean_at: Timestamp,
    /// When the attempts were sent that have not reported their start, where endpoints report it.
    pub(crate) unstarted_sends: Vec<Timestamp>,

    /// What other dispatchers are believed to take of it.
    pub(crate) others_slots: f64,
    pub(crate) others_memory: f64,
    /// Its last load report, and when it came; [`Timestamp::ORIGIN`]: none has come.
    pub(crate) report: LoadReport,
    pub(crate) reported_at: Timestamp,
    pub(crate) throughput: Throughput,

    /// It gets no request until then, as it rejected one for lack of capacity.
    pub(crate) rejects_until: Timestamp,
    /// Share of its responses that were errors, recent ones weighted most.
    pub(crate) error_rate: f64,
    /// Attempts in a row that were cancelled in its queue, although it seemed to have capacity.
    pub(crate) queue_cancellations: u32,

    /// When it last said anything.
    pub(crate) last_heard_at: Timestamp,
    /// When an attempt of ours last made progress or ended there.
    pub(crate) last_response_at: Timestamp,
    /// When a connection to it was last used.
    pub(crate) last_used_at: Timestamp,

    /// It gets nothing until a health check, or progress of an attempt, brings it back. Ejected: it
    /// is checked again from then on. Suspected, with no `ejections`: the time of the suspicion.
    pub(crate) ejected_until: Option<Timestamp>,
    /// Ejections since it last responded.
    pub(crate) ejections: u32,
    /// When a health check of it last failed.
    pub(crate) last_failure_at: Timestamp,
    /// Back from ejection: one request at a time until it responds.
    pub(crate) on_probation: bool,
    pub(crate) health_check_in_flight: bool,
    pub(crate) health_checked_at: Timestamp,

    /// The slow-start turn in which we last sent to it, and the work sent in it, in
    /// slot-microseconds.
    pub(crate) slow_start_turn: u64,
    pub(crate) slow_start_spent: f64,
}

impl Endpoint {
    /// An endpoint of which nothing is known yet.
    pub(super) fn new(now: Timestamp) -> Endpoint {
        Endpoint {
            own_slots_mean_at: now,
            last_heard_at: now,
            ..Endpoint::default()
        }
    }

    /// Its process has started anew: only our own attempts, connections and health checks are still
    /// known.
    pub(super) fn restart(&mut self, now: Timestamp) {
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

    /// Takes in a load report, and from it how often reports change: one that repeats has not been
    /// refreshed since.
    pub(crate) fn note_report(
        &mut self,
        now: Timestamp,
        report: LoadReport,
        interval_us: &mut f64,
    ) {
        let since_last_us = now.micros_since(self.reported_at) as f64;
        if self.report == report && 2.0 * since_last_us > *interval_us {
            *interval_us += LONGER_INTERVAL_STEP * (2.0 * since_last_us - *interval_us);
        } else if self.report != report && since_last_us < *interval_us {
            *interval_us -= SHORTER_INTERVAL_STEP * (*interval_us - since_last_us);
        }
        self.report = report;
        self.reported_at = now;
        self.update_own_mean(now);
    }

    /// Accepts requests, as the list says.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// The work sent to it in a slow-start turn, in slot-microseconds.
    pub(crate) fn slow_start_spent_in(&self, turn: u64) -> f64 {
        if self.slow_start_turn == turn {
            self.slow_start_spent
        } else {
            0.0
        }
    }

    /// An attempt is sent: reserves what it takes.
    pub(super) fn reserve(&mut self, now: Timestamp, slots: f64, memory: f64) {
        self.update_own_mean(now);
        self.own_slots += slots;
        self.own_memory += memory;
        self.own_attempts += 1;
        self.last_used_at = now;
    }

    /// An attempt that was sent then no longer takes anything.
    pub(crate) fn release(&mut self, now: Timestamp, sent_at: Timestamp, slots: f64, memory: f64) {
        self.unstarted_sends.retain(|&at| at != sent_at);
        self.update_own_mean(now);
        self.own_slots = (self.own_slots - slots).max(0.0);
        self.own_memory = (self.own_memory - memory).max(0.0);
        self.own_attempts = self.own_attempts.saturating_sub(1);
    }

    fn update_own_mean(&mut self, now: Timestamp) {
        let elapsed_us = now.micros_since(self.own_slots_mean_at) as f64;
        let weight = ewma_weight(elapsed_us, USAGE_TIME_CONSTANT_US);
        self.own_slots_mean += weight * (self.own_slots - self.own_slots_mean);
        self.own_slots_mean_at = now;
    }
}
