//! A test host for the balancer, with default settings and endpoint entries.
#![allow(dead_code)] // each test file uses only some of the helpers

use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;
use std::time::Duration;

/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);
/// The time on the host's clock at which every test starts.
pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// A class with a latency objective of 200 ms and a deadline of 5 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        priority_weight: 1.0,
        latency_objective: 200 * MS,
        objective_stretch: 2.0,
        deadline: 5_000 * MS,
        queue_priority: 0,
        max_queue_time: None,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

/// Settings of a single dispatcher with one class and two zones; its home zone is the first.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone_count: 2,
        home_zone: Some(ZoneId(0)),
        kind_count: 1,
        classes: vec![class(idempotency)],
        functions: vec![],
        tenants: vec![],
        over_quota_weight: 1.0,
        prices: Prices::default(),
        load_reports: LoadReportSource::Responses,
        polls_discovery: false,
        max_poll_interval: 10_000 * MS,
        drain_grace: 500 * MS,
        health_checks: true,
        cancellation: true,
        hedging: true,
        retry_after: true,
        max_retry_after: 2_000 * MS,
        max_attempts: 3,
        connect_timeout: 100 * MS,
        connection_idle_timeout: 15_000 * MS,
        timer_resolution: 5 * MS,
        reports_start: false,
        progress_interval: 1_000 * MS,
        slow_start_share: 0.3,
        slow_start_duration: 8_000 * MS,
        overload_multiple: 3.0,
        overload_window: 2_000 * MS,
        max_queued: 0,
    }
}

/// The same settings for a deployment without health checks and load reports.
pub fn settings_without_reports(idempotency: Idempotency) -> Settings {
    Settings {
        health_checks: false,
        load_reports: LoadReportSource::None,
        ..settings(idempotency)
    }
}

/// The entry of a ready endpoint that started long ago. Names sort in the order of the ids.
pub fn entry(endpoint: u32, zone: usize) -> EndpointEntry<'static> {
    const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        name: NAMES[endpoint as usize],
        zone: ZoneId(zone),
        kind: KindId(0),
        functions: FunctionSet::empty(),
        cell: Some(zone as u64),
        state: EndpointState::Ready,
        started_at: Timestamp::ORIGIN,
        relative_size: 1.0,
        skips_slow_start: false,
        max_concurrent: None,
    }
}

/// The entry of an endpoint that was removed from the list.
pub fn gone_entry(endpoint: u32) -> EndpointEntry<'static> {
    EndpointEntry {
        state: EndpointState::Gone,
        ..entry(endpoint, 0)
    }
}

/// A host for one balancer. It keeps the clock and collects actions, and does not simulate
/// endpoints.
pub struct TestHost {
    balancer: Balancer,
    /// The current time on the host's clock.
    pub now: Timestamp,
    next_request: u64,
    /// The class of each request, indexed by its id.
    classes: Vec<usize>,
    /// The work hint of each request, indexed by its id.
    work_hints: Vec<Option<Duration>>,
    /// Free slots and memory that health checks report in [`TestHost::submit`].
    pub reported_free: f64,
    /// The work hint of the next requests.
    pub work_hint: Option<Duration>,
    /// The affinity key of the next requests.
    pub affinity_key: Option<u64>,
    /// The tenant of the next requests.
    pub tenant: Option<TenantId>,
    /// The additional function of the next requests.
    pub function: Option<FunctionId>,
}

impl TestHost {
    /// A host whose balancer has these endpoints on its list, each of which has reported `slots`
    /// free slots and as much free memory.
    pub fn new(settings: Settings, endpoints: &[EndpointEntry], slots: f64) -> TestHost {
        let mut host = TestHost {
            balancer: Balancer::new(settings, 7).unwrap(),
            now: START,
            next_request: 0,
            classes: vec![],
            work_hints: vec![],
            reported_free: slots,
            work_hint: None,
            affinity_key: None,
            tenant: None,
            function: None,
        };
        host.update_endpoints(ListKind::Bootstrap, endpoints);
        for entry in endpoints {
            host.report_free(entry.endpoint.0, slots);
        }
        host
    }

    /// Passes an event to the balancer at the current time.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Passes an endpoint list, or a change to it, to the balancer.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: &[EndpointEntry]) -> Vec<Action> {
        self.handle(Event::EndpointList { kind, entries })
    }

    /// A health check succeeds and reports `free` free slots and as much free memory.
    pub fn report_free(&mut self, endpoint: u32, free: f64) -> Vec<Action> {
        let report = LoadReport {
            free_slots: Some(free),
            free_memory: Some(free),
            ..LoadReport::default()
        };
        self.health_checked(endpoint, Outcome::Success, Some(report))
    }

    /// A health check ends, one millisecond after it was sent.
    pub fn health_checked(
        &mut self,
        endpoint: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        self.handle(Event::HealthChecked(HealthCheckResult {
            endpoint: EndpointId(endpoint),
            outcome,
            latency: MS,
            report,
        }))
    }

    /// A request arrives. The health checks that this triggers get no response.
    pub fn arrive(&mut self, class: usize, slots: f64) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.classes.push(class);
        self.work_hints.push(self.work_hint);
        let actions = self.handle(Event::RequestArrived(IncomingRequest {
            request,
            class: ClassId(class),
            function: self.function,
            remaining: 5_000 * MS,
            slots,
            memory: 0.0,
            work_hint: self.work_hint,
            tenant: self.tenant,
            affinity_key: self.affinity_key,
        }));
        (request, actions)
    }

    /// A request arrives. The health checks that this triggers succeed and report
    /// [`TestHost::reported_free`].
    pub fn submit(&mut self, class: usize, slots: f64) -> (RequestId, Vec<Action>) {
        let (request, mut actions) = self.arrive(class, slots);
        let mut position = 0;
        while position < actions.len() {
            if let Action::CheckHealth { endpoint } = actions[position] {
                actions.extend(self.report_free(endpoint.0, self.reported_free));
            }
            position += 1;
        }
        (request, actions)
    }

    /// Submits `count` requests of class 0 with one slot each; returns the endpoint to which each
    /// was sent.
    pub fn submit_many(&mut self, count: usize) -> Vec<Option<u32>> {
        (0..count)
            .map(|_| sent_to(&self.submit(0, 1.0).1))
            .collect()
    }

    /// An attempt ends with a latency of 50 ms. A success is the final response to its request.
    pub fn attempt_finished(
        &mut self,
        request: RequestId,
        attempt_index: usize,
        endpoint: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt_index,
            endpoint: EndpointId(endpoint),
            outcome,
            latency: 50 * MS,
            request_done: outcome == Outcome::Success,
            report: None,
        }))
    }

    /// The first attempt of a request succeeds, with this latency.
    pub fn attempt_succeeded(
        &mut self,
        request: RequestId,
        endpoint: u32,
        latency: Duration,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt_index: 0,
            endpoint: EndpointId(endpoint),
            outcome: Outcome::Success,
            latency,
            request_done: true,
            report: None,
        }))
    }

    /// An attempt reports that its request has started.
    pub fn attempt_started(
        &mut self,
        request: RequestId,
        attempt_index: usize,
        endpoint: u32,
    ) -> Vec<Action> {
        self.handle(Event::AttemptProgressed(AttemptProgress {
            request,
            attempt_index,
            endpoint: EndpointId(endpoint),
            progress: Progress::Started,
        }))
    }

    /// The class with which a request arrived.
    pub fn class_of(&self, request: RequestId) -> usize {
        self.classes[request.0 as usize]
    }

    /// The work hint with which a request arrived.
    pub fn work_hint_of(&self, request: RequestId) -> Option<Duration> {
        self.work_hints[request.0 as usize]
    }

    /// Advances the clock in steps of 20 ms and fires the timer at each.
    ///
    /// Health checks of the endpoints in `responsive` succeed without a load report; the others
    /// time out.
    pub fn advance(&mut self, span: Duration, responsive: &[u32]) -> Vec<Action> {
        let end = self.now + span;
        let mut all_actions = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            let mut actions = self.handle(Event::TimerFired);
            let mut position = 0;
            while position < actions.len() {
                if let Action::CheckHealth { endpoint } = actions[position] {
                    let outcome = if responsive.contains(&endpoint.0) {
                        Outcome::Success
                    } else {
                        Outcome::Timeout
                    };
                    actions.extend(self.health_checked(endpoint.0, outcome, None));
                }
                position += 1;
            }
            all_actions.extend(actions);
        }
        all_actions
    }
}

/// The action that sends a request to an endpoint.
pub fn send_action(request: RequestId, endpoint: u32) -> Action {
    Action::Send {
        request,
        endpoint: EndpointId(endpoint),
        timeout: None,
    }
}

/// The endpoint of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.0),
        _ => None,
    })
}

/// Whether the request was shed.
pub fn is_shed(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Shed { request, .. } if *request == id))
}

/// Whether the request was failed.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { request } if *request == id))
}
