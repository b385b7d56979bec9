//! The state of a balancer: plain data, counters and running means. The decisions based on it are
//! made in the module `policy`.

mod endpoint;
mod estimates;
mod request;

pub(crate) use endpoint::{Endpoint, USAGE_TIME_CONSTANT_US};
pub(crate) use estimates::{LEARNING_RATE, Throughput, ZoneUsage};
pub(crate) use request::{Attempt, Request};

use crate::api::{
    EndpointEntry, EndpointId, EndpointState, FunctionSet, KindId, ListKind, RequestId, Settings,
    Timestamp, ZoneId,
};
use crate::math::{fnv1a, hash_text};
use crate::rules::Execution;
use estimates::{ClassEstimate, RequestRate, SlotsEstimate, learn_slots};
use std::collections::BTreeMap;
use std::time::Duration;

/// Initial estimate of the time between two requests.
const INITIAL_REQUEST_GAP_US: f64 = 1_000_000.0;
/// Initial estimate of the time that a health check takes.
const INITIAL_HEALTH_CHECK_US: f64 = 10_000.0;
/// Initial estimate of the share of an endpoint's slots that other dispatchers use.
const INITIAL_ZONE_USAGE: f64 = 0.5;

/// What the entries of an endpoint list have changed.
pub(crate) enum ListChange {
    /// Only the functions of some endpoints; those that any of them now lists or no longer lists.
    Functions(FunctionSet),
    /// Anything else, or nothing.
    Endpoints,
}

/// The state of a balancer.
pub(crate) struct BalancerState {
    /// Indexed by [`EndpointId`].
    pub(crate) endpoints: Vec<Endpoint>,
    /// Every endpoint ever listed, ordered by name.
    pub(crate) by_name: Vec<EndpointId>,
    /// Endpoints that are examined on each tick: those with attempts of this dispatcher in flight,
    /// and those that are suspected or ejected.
    pub(crate) monitored: Vec<EndpointId>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests waiting for an endpoint; sorted by descending value when the queue is served.
    pub(crate) queue: Vec<RequestId>,
    /// For each tenant.
    pub(crate) tenant_rates: Vec<RequestRate>,
    pub(crate) last_request_at: Timestamp,
    /// When the last idempotent request arrived; before the first one, when the first endpoint list
    /// was received.
    pub(crate) last_idempotent_at: Timestamp,
    /// When to subscribe to the endpoint list again.
    pub(crate) subscribe_at: Option<Timestamp>,
    /// Consecutive failures of subscriptions.
    pub(crate) subscribe_failures: u32,
    /// When the timer fires.
    pub(crate) timer_at: Option<Timestamp>,
    /// When this process last resumed after a stall. Silence of an endpoint before that is not
    /// evidence of a failure.
    pub(crate) resumed_at: Timestamp,
    /// Connections that were idle for this long are closed instead of reused; zero for no limit.
    pub(crate) idle_connection_limit: Duration,
    /// When that limit expires.
    pub(crate) idle_connection_limit_until: Timestamp,
    /// An attempt is in flight that has not reported its start yet.
    pub(crate) awaits_start: bool,
    /// For each class.
    pub(crate) classes: Vec<ClassEstimate>,
    /// Estimated slots of an endpoint, for each machine kind; 0 if unknown.
    pub(crate) kind_slots: Vec<f64>,
    /// Ratio of actual to expected running time, for each machine kind. Where endpoints report
    /// starts, the time in their queues is left out.
    pub(crate) kind_run_ratio: Vec<f64>,
    /// Mean running time of a request, in microseconds.
    pub(crate) mean_run_us: f64,
    /// Mean slots of a request.
    pub(crate) mean_slots: f64,
    /// Mean time between two requests, in microseconds.
    pub(crate) request_gap_us: f64,
    /// Mean time that a successful health check takes, in microseconds.
    pub(crate) health_check_us: f64,
    /// Number of health checks that may be sent on behalf of requests; each arriving request adds
    /// to it.
    pub(crate) health_check_credit: f64,
    /// Position of the periodic health checks in the preference order of the first class.
    pub(crate) refresh_cursor: usize,
    /// Number of periodic health checks that may be sent.
    pub(crate) refresh_credit: f64,
    /// When that credit was last updated.
    pub(crate) refresh_credited_at: Option<Timestamp>,
    /// Mean time between two changes of an endpoint's load report, in microseconds.
    pub(crate) report_interval_us: f64,
    /// For each zone, the mean use of an endpoint by other dispatchers.
    pub(crate) zone_usage: Vec<ZoneUsage>,
    /// Mean throughput of the endpoints that report it.
    pub(crate) fleet_throughput: Throughput,
}

impl BalancerState {
    /// A state without endpoints, with this initial credit for health checks.
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

    /// Adds an endpoint to the monitored ones.
    pub(crate) fn monitor(&mut self, id: EndpointId) {
        if !std::mem::replace(&mut self.endpoint_mut(id).is_monitored, true) {
            self.monitored.push(id);
        }
    }

    /// Records that an attempt is sent. Returns how long the connections to its endpoint had been
    /// idle; `None` for an unknown request.
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

    /// Records progress of an attempt; the first progress also marks its start.
    pub(crate) fn record_progress(&mut self, now: Timestamp, id: RequestId, attempt_index: usize) {
        let request = self.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt_index)) {
            if !attempt.has_started {
                attempt.started_at = now;
            }
            attempt.has_started = true;
            attempt.last_heard_at = now;
        }
    }

    /// Marks the attempts that have not reported their start within `max_start_delay` of the send,
    /// and returns their zones. Attempts that are already marked are left out.
    pub(crate) fn mark_missed_starts(
        &mut self,
        now: Timestamp,
        max_start_delay: Duration,
    ) -> Vec<ZoneId> {
        let resumed_at = self.resumed_at;
        let mut zones = Vec::new();
        for attempt in self
            .requests
            .values_mut()
            .flat_map(|request| &mut request.attempts)
        {
            let unstarted =
                attempt.is_in_flight() && !attempt.has_started && !attempt.start_was_missed;
            if unstarted && now > attempt.sent_at.max(resumed_at) + max_start_delay {
                attempt.start_was_missed = true;
                zones.push(attempt.zone);
            }
        }
        zones
    }

    /// Removes a request that is done and has no attempt in flight.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_done && !request.has_attempt_in_flight())
        {
            self.requests.remove(&id);
            self.queue.retain(|queued| *queued != id);
        }
    }

    /// Applies entries of the endpoint list. Endpoints that a whole list leaves out are gone.
    pub(crate) fn apply_list(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
    ) -> ListChange {
        let change = self.change_by(kind, entries);
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
        change
    }

    /// What these entries would change.
    fn change_by(&self, kind: ListKind, entries: &[EndpointEntry]) -> ListChange {
        let mut changed = FunctionSet::default();
        for entry in entries {
            let known = self.endpoints.get(entry.endpoint.index());
            let known = known.filter(|known| known.differs_in_functions_only(entry));
            let Some(known) = known.filter(|_| kind == ListKind::Delta) else {
                return ListChange::Endpoints;
            };
            changed.extend(&known.functions.symmetric_difference(entry.functions));
        }
        if changed.is_empty() {
            ListChange::Endpoints
        } else {
            ListChange::Functions(changed)
        }
    }

    /// Applies one entry of the endpoint list. Returns whether the name under its id has changed.
    fn apply_entry(&mut self, now: Timestamp, entry: &EndpointEntry) -> bool {
        let index = entry.endpoint.index();
        let len = self.endpoints.len().max(index + 1);
        self.endpoints.resize_with(len, || Endpoint::new(now));
        let endpoint = &mut self.endpoints[index];
        let is_renamed = endpoint.name.as_deref() != Some(entry.name);
        if is_renamed {
            if endpoint.name.is_none() {
                self.by_name.push(entry.endpoint);
            }
            // The id remains in `monitored` until the next tick removes it.
            let mut renamed = Endpoint::new(now);
            renamed.name = Some(entry.name.to_owned());
            renamed.is_monitored = endpoint.is_monitored;
            *endpoint = renamed;
        }
        if endpoint.listed_started_at != entry.started_at && entry.started_at > Timestamp::ORIGIN {
            endpoint.reset_after_restart(now);
        }
        endpoint.name_hash = hash_text(entry.name);
        endpoint.process_hash = fnv1a(entry.started_at.as_micros(), entry.name);
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
        endpoint.functions.clone_from(entry.functions);
        endpoint.cell = entry.cell;
        endpoint.state = entry.state;
        endpoint.listed_started_at = entry.started_at;
        endpoint.started_at = endpoint.started_at.max(entry.started_at);
        endpoint.relative_size = entry.relative_size;
        endpoint.skips_slow_start = entry.skips_slow_start;
        endpoint.max_concurrent = entry.max_concurrent;
        is_renamed
    }

    /// Updates the running-time estimates from a request that was served.
    ///
    /// Where the class has a maximum queue time, a wrong initial estimate would persist for
    /// hundreds of requests. The first samples are therefore averaged with equal weight, and the
    /// time of requests still in flight is added to the total, as short requests end first.
    pub(crate) fn learn_run(
        &mut self,
        now: Timestamp,
        class: usize,
        latency_us: f64,
        has_max_queue_time: bool,
    ) {
        self.mean_run_us += LEARNING_RATE * (latency_us - self.mean_run_us);
        self.classes[class].record_sample(latency_us);
        if !has_max_queue_time {
            return;
        }
        if self.classes[class].has_few_samples() {
            let requests_of_class = self
                .requests
                .values()
                .filter(|request| request.class.0 == class);
            let in_flight_us: u64 = requests_of_class
                .map(|request| request.time_in_flight_us(now))
                .sum();
            self.classes[class].average_all_samples(in_flight_us as f64);
        }
        if let Some(mean_run_us) = ClassEstimate::initial_mean_run_us(&self.classes) {
            self.mean_run_us = mean_run_us;
        }
    }

    /// Updates the estimated slots of a kind from a load report.
    pub(crate) fn learn_slots(&mut self, kind: KindId, free_slots: Option<f64>) -> SlotsEstimate {
        learn_slots(&mut self.kind_slots[kind.0], free_slots)
    }
}

impl Request {
    /// Total time since the sends of its attempts in flight, in microseconds.
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
