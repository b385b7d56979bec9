//! The records that the decisions keep: plain data, counters and running means. No decision is
//! taken here.

mod endpoint;
mod estimates;
mod request;

pub(crate) use endpoint::{Endpoint, USAGE_TIME_CONSTANT_US};
pub(crate) use estimates::{LEARNING_RATE, Throughput, ZoneUsage};
pub(crate) use request::{Attempt, Request};

use crate::api::{
    EndpointEntry, EndpointId, EndpointState, KindId, ListKind, RequestId, Settings, Timestamp,
    ZoneId,
};
use crate::math::{fnv1a, hash_text};
use crate::rules::Execution;
use estimates::{ClassEstimate, LearntSlots, RequestRate, learn_slots};
use std::collections::BTreeMap;
use std::time::Duration;

/// First guess of the time between two requests.
const INITIAL_REQUEST_GAP_US: f64 = 1_000_000.0;
/// First guess of the time that a health check takes.
const INITIAL_HEALTH_CHECK_US: f64 = 10_000.0;
/// First guess of the share of its slots that other dispatchers use of an endpoint.
const INITIAL_ZONE_USAGE: f64 = 0.5;

/// What a balancer remembers and has learnt.
pub(crate) struct BalancerState {
    /// By [`EndpointId`].
    pub(crate) endpoints: Vec<Endpoint>,
    /// Every endpoint ever listed, in the order of names.
    pub(crate) by_name: Vec<EndpointId>,
    /// Endpoints that each tick looks after: those with attempts of ours in flight, and ejected
    /// ones.
    pub(crate) monitored: Vec<EndpointId>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for an endpoint, the most valuable first once sorted.
    pub(crate) queue: Vec<RequestId>,
    /// For each tenant.
    pub(crate) tenant_rates: Vec<RequestRate>,
    pub(crate) last_request_at: Timestamp,
    /// When the last idempotent request arrived; before the first, when the first list did.
    pub(crate) last_idempotent_at: Timestamp,
    /// When to subscribe to the endpoint list again.
    pub(crate) subscribe_at: Option<Timestamp>,
    pub(crate) subscribe_failures: u32,
    /// When the timer fires.
    pub(crate) timer_at: Option<Timestamp>,
    /// When the process last resumed after a stall: silence before that proves nothing.
    pub(crate) resumed_at: Timestamp,
    /// Connections idle for this long are not trusted; zero: any may be used.
    pub(crate) idle_connection_limit: Duration,
    pub(crate) idle_connection_limit_until: Timestamp,
    /// An attempt is in flight whose start is still to be reported.
    pub(crate) awaits_start: bool,
    /// For each class.
    pub(crate) classes: Vec<ClassEstimate>,
    /// Slots of an endpoint, for each kind; 0 where not known.
    pub(crate) kind_slots: Vec<f64>,
    /// Running time on each kind of endpoint as a multiple of the expected one; without time in
    /// queue where starts are reported.
    pub(crate) kind_run_ratio: Vec<f64>,
    /// Mean running time of a request, in microseconds.
    pub(crate) mean_run_us: f64,
    /// Mean slots of a request.
    pub(crate) mean_slots: f64,
    /// Mean time between two requests, in microseconds.
    pub(crate) request_gap_us: f64,
    /// Mean time that a successful health check takes, in microseconds.
    pub(crate) health_check_us: f64,
    /// Health checks that arrived requests have paid for.
    pub(crate) health_check_credit: f64,
    /// Where the round of refreshing health checks stands in the first class's preference order.
    pub(crate) refresh_cursor: usize,
    /// Health checks saved up for that round, and up to when.
    pub(crate) refresh_credit: f64,
    pub(crate) refresh_credited_at: Option<Timestamp>,
    /// Mean time between two changes of an endpoint's load report, in microseconds.
    pub(crate) report_interval_us: f64,
    /// What other dispatchers use of the mean endpoint, for each zone.
    pub(crate) zone_usage: Vec<ZoneUsage>,
    /// Of the mean endpoint that reports it.
    pub(crate) fleet_throughput: Throughput,
}

impl BalancerState {
    /// A state that knows no endpoint yet, with this many health checks saved up.
    pub(crate) fn new(settings: &Settings, health_check_credit: f64) -> BalancerState {
        let classes: Vec<_> = settings.classes.iter().map(ClassEstimate::new).collect();
        let initial_usage = ZoneUsage {
            share: INITIAL_ZONE_USAGE,
            updated_at: Timestamp::ORIGIN,
        };
        BalancerState {
            endpoints: Vec::new(),
            by_name: Vec::new(),
            monitored: Vec::new(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            tenant_rates: vec![RequestRate::default(); settings.tenants.len()],
            last_request_at: Timestamp::ORIGIN,
            last_idempotent_at: Timestamp::ORIGIN,
            subscribe_at: None,
            subscribe_failures: 0,
            timer_at: None,
            resumed_at: Timestamp::ORIGIN,
            idle_connection_limit: Duration::ZERO,
            idle_connection_limit_until: Timestamp::ORIGIN,
            awaits_start: false,
            mean_run_us: classes.iter().map(|class| class.run_us).sum::<f64>()
                / classes.len() as f64,
            classes,
            kind_slots: vec![0.0; settings.kind_count],
            kind_run_ratio: vec![1.0; settings.kind_count],
            mean_slots: 1.0,
            request_gap_us: INITIAL_REQUEST_GAP_US,
            health_check_us: INITIAL_HEALTH_CHECK_US,
            health_check_credit,
            refresh_cursor: 0,
            refresh_credit: 0.0,
            refresh_credited_at: None,
            report_interval_us: 0.0,
            zone_usage: vec![initial_usage; settings.zone_count.max(1)],
            fleet_throughput: Throughput::default(),
        }
    }

    pub(crate) fn endpoint(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.index()]
    }

    pub(crate) fn endpoint_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.index()]
    }

    /// Adds an endpoint to those that each tick looks after.
    pub(crate) fn monitor(&mut self, id: EndpointId) {
        if !std::mem::replace(&mut self.endpoint_mut(id).is_monitored, true) {
            self.monitored.push(id);
        }
    }

    /// Records an attempt that is sent. Returns how long the connections to its endpoint had been
    /// idle; `None` for a request that is not known.
    pub(crate) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint_id: EndpointId,
        reports_start: bool,
    ) -> Option<Duration> {
        let request = self.requests.get_mut(&id)?;
        let endpoint = &mut self.endpoints[endpoint_id.index()];
        let idle = now.saturating_duration_since(endpoint.last_used_at);
        endpoint.reserve(now, request.slots, request.memory);
        if reports_start {
            endpoint.unstarted_sends.push(now);
        }
        request
            .attempts
            .push(Attempt::new(now, endpoint_id, endpoint, idle));
        self.monitor(endpoint_id);
        Some(idle)
    }

    /// Records that an attempt, which has thereby started, was heard of.
    pub(crate) fn note_progress(&mut self, now: Timestamp, id: RequestId, attempt_index: usize) {
        let request = self.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt_index)) {
            if !attempt.has_started {
                attempt.started_at = now;
            }
            attempt.has_started = true;
            attempt.last_heard_at = now;
        }
    }

    /// Marks the attempts whose start is overdue by now, and returns the zone of each; an attempt
    /// is returned once.
    pub(crate) fn mark_missed_starts(&mut self, now: Timestamp, prompt: Duration) -> Vec<ZoneId> {
        let resumed_at = self.resumed_at;
        let mut zones = Vec::new();
        for attempt in self
            .requests
            .values_mut()
            .flat_map(|request| &mut request.attempts)
        {
            let unstarted =
                attempt.is_in_flight() && !attempt.has_started && !attempt.start_was_missed;
            if unstarted && now > attempt.sent_at.max(resumed_at) + prompt {
                attempt.start_was_missed = true;
                zones.push(attempt.zone);
            }
        }
        zones
    }

    /// Drops a request that is done and has no attempt in flight.
    pub(crate) fn forget_if_over(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_done && !request.has_attempt_in_flight())
        {
            self.requests.remove(&id);
            self.queue.retain(|queued| *queued != id);
        }
    }

    /// Takes in entries of the endpoint list.
    pub(crate) fn apply_list(&mut self, now: Timestamp, kind: ListKind, entries: &[EndpointEntry]) {
        if matches!(kind, ListKind::Snapshot | ListKind::Bootstrap) {
            for endpoint in &mut self.endpoints {
                endpoint.state = EndpointState::Gone;
            }
        }
        let mut names_changed = false;
        for entry in entries {
            names_changed |= self.apply_entry(now, entry);
        }
        if names_changed {
            let endpoints = &self.endpoints;
            self.by_name
                .sort_by(|a, b| endpoints[a.index()].name.cmp(&endpoints[b.index()].name));
        }
    }

    /// Returns whether the handle stands for another name from now on.
    fn apply_entry(&mut self, now: Timestamp, entry: &EndpointEntry) -> bool {
        let index = entry.endpoint.index();
        let row_count = self.endpoints.len().max(index + 1);
        self.endpoints.resize_with(row_count, || Endpoint::new(now));
        let endpoint = &mut self.endpoints[index];
        let is_renamed = endpoint.name.as_deref() != Some(entry.name);
        if is_renamed {
            if endpoint.name.is_none() {
                self.by_name.push(entry.endpoint);
            }
            // It stays among the monitored ones until the next tick.
            let mut renamed = Endpoint::new(now);
            renamed.name = Some(entry.name.to_owned());
            renamed.is_monitored = endpoint.is_monitored;
            *endpoint = renamed;
        }
        if endpoint.listed_started_at != entry.started_at && entry.started_at > Timestamp::ORIGIN {
            endpoint.restart(now);
        }
        endpoint.name_hash = hash_text(entry.name);
        endpoint.process_hash = fnv1a(entry.started_at.as_micros(), entry.name);
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
        endpoint.cell = entry.cell;
        endpoint.state = entry.state;
        endpoint.listed_started_at = entry.started_at;
        endpoint.started_at = endpoint.started_at.max(entry.started_at);
        endpoint.relative_size = entry.relative_size;
        endpoint.skips_slow_start = entry.skips_slow_start;
        endpoint.max_concurrent = entry.max_concurrent;
        is_renamed
    }

    /// Learns the running time of a class from a request that was served.
    ///
    /// Of the first requests the short ones end first. Where requests are queued for a time of
    /// their class's own, a first guess far off would be believed for hundreds of requests, so the
    /// first ones count together with those still in flight: total time over the number served.
    pub(crate) fn learn_run(
        &mut self,
        now: Timestamp,
        class: usize,
        latency_us: f64,
        has_max_queue_time: bool,
    ) {
        self.mean_run_us += LEARNING_RATE * (latency_us - self.mean_run_us);
        self.classes[class].learn(latency_us);
        if !has_max_queue_time {
            return;
        }
        if self.classes[class].is_early() {
            let of_class = self
                .requests
                .values()
                .filter(|request| request.class.0 == class);
            let in_flight_us: u64 = of_class.map(|request| request.time_in_flight_us(now)).sum();
            self.classes[class].average_early(in_flight_us as f64);
        }
        if let Some(mean_run_us) = ClassEstimate::early_mean(&self.classes) {
            self.mean_run_us = mean_run_us;
        }
    }

    /// Learns the slots of a kind from a load report.
    pub(crate) fn learn_slots(&mut self, kind: KindId, free_slots: Option<f64>) -> LearntSlots {
        learn_slots(&mut self.kind_slots[kind.0], free_slots)
    }
}

impl Request {
    fn time_in_flight_us(&self, now: Timestamp) -> u64 {
        let in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.execution == Execution::InFlight);
        in_flight
            .map(|attempt| now.micros_since(attempt.sent_at))
            .sum()
    }
}
