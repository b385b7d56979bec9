//! Checks the rules of sending and responding with random but legal sequences of events, from fixed
//! seeds.
//!
//! Endpoints are not simulated: outcomes, progress, list changes and disconnects are random, and
//! only the balancer's actions are checked.

#[path = "../common/mod.rs"]
mod common;
mod rule_checker;

use common::*;
use fastrand::Rng;
use pumiceway_decisions::api::*;
use rule_checker::{InFlight, RequestRecord, RuleChecker};
use std::time::Duration;

/// Number of endpoints in the deployment.
const ENDPOINT_COUNT: u32 = 6;

/// Outcomes of attempts; success has twice the probability of any other.
const OUTCOMES: [Outcome; 10] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::UnprovenRejection,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The zone of an endpoint.
fn zone(endpoint: u32) -> usize {
    endpoint as usize % 2
}

/// A balancer, the checker of its actions and the source of random events.
struct RandomRun {
    rng: Rng,
    host: TestHost,
    checker: RuleChecker,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let settings = random_run_settings(seed);
        let endpoints: Vec<_> = (0..ENDPOINT_COUNT)
            .map(|number| entry(number, zone(number)))
            .collect();
        RandomRun {
            rng: Rng::with_seed(seed),
            host: TestHost::new(settings.clone(), &endpoints, 2.0),
            checker: RuleChecker::new(settings),
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.host.handle(event);
        self.checker.check(self.host.now, &actions);
    }

    fn step(&mut self) {
        self.host.now += Duration::from_millis(self.rng.u64(0..15));
        self.time_out_overdue_attempts();
        match self.rng.u32(0..100) {
            0..35 => self.request_arrives(),
            35..75 => self.attempt_finishes(),
            75..78 => self.endpoint_changes(),
            78..80 => self.handle(Event::EndpointList {
                kind: ListKind::SourceLost,
                entries: &[],
            }),
            80..83 => self.client_disconnects(),
            83..88 => self.attempt_progresses(),
            88..92 => self.health_check_finishes(),
            _ => {}
        }
        self.handle(Event::TimerFired);
    }

    /// Times out attempts at the deadline before any other event, as a real host does.
    fn time_out_overdue_attempts(&mut self) {
        let now = self.host.now;
        for attempt in self.checker.in_flight(|record| record.deadline <= now) {
            self.finish(&attempt, Outcome::Timeout);
        }
    }

    fn request_arrives(&mut self) {
        let class = self.rng.usize(0..5);
        let remaining = Duration::from_millis(self.rng.u64(100..1_500));
        let request = RequestId(self.checker.requests.len() as u64);
        let record = RequestRecord {
            class,
            deadline: self.host.now + remaining,
            done: false,
            attempts: Vec::new(),
        };
        self.checker.requests.insert(request, record);
        let slots = f64::from(self.rng.u32(1..3));
        self.handle(Event::RequestArrived(IncomingRequest {
            request,
            class: ClassId(class),
            function: None,
            remaining,
            slots,
            memory: 0.5,
            work_hint: None,
            tenant: None,
            affinity_key: None,
        }));
    }

    fn attempt_finishes(&mut self) {
        let in_flight = self.checker.in_flight(|_| true);
        if !in_flight.is_empty() {
            let attempt = &in_flight[self.rng.usize(0..in_flight.len())];
            let outcome = OUTCOMES[self.rng.usize(0..OUTCOMES.len())];
            self.finish(attempt, outcome);
        }
    }

    fn finish(&mut self, attempt: &InFlight, outcome: Outcome) {
        let record = self
            .checker
            .requests
            .get_mut(&attempt.request)
            .expect("attempts in flight belong to recorded requests");
        let sent_attempt = &mut record.attempts[attempt.attempt_index];
        sent_attempt.outcome = Some(outcome);
        let latency = self
            .host
            .now
            .saturating_duration_since(sent_attempt.sent_at);
        record.done |= outcome == Outcome::Success;
        let result = AttemptResult {
            request: attempt.request,
            attempt_index: attempt.attempt_index,
            endpoint: EndpointId(attempt.endpoint),
            outcome,
            latency,
            request_done: record.done,
            report: Some(LoadReport {
                free_slots: Some(1.0),
                ..LoadReport::default()
            }),
        };
        self.handle(Event::AttemptEnded(result));
    }

    fn endpoint_changes(&mut self) {
        let endpoint = self.rng.u32(0..ENDPOINT_COUNT);
        let states = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let state = states[self.rng.usize(0..3)];
        let started_at = if self.rng.bool() {
            self.host.now
        } else {
            Timestamp::ORIGIN
        };
        match state {
            EndpointState::Ready => self.checker.not_ready.remove(&endpoint),
            _ => self.checker.not_ready.insert(endpoint),
        };
        let changed = EndpointEntry {
            state,
            started_at,
            ..entry(endpoint, zone(endpoint))
        };
        self.handle(Event::EndpointList {
            kind: ListKind::Delta,
            entries: &[changed],
        });
    }

    /// A client disconnects. Its request may have ended long ago, or may never have arrived.
    fn client_disconnects(&mut self) {
        let request_count = self.checker.requests.len() as u64;
        let request = RequestId(self.rng.u64(0..=request_count));
        if let Some(record) = self.checker.requests.get_mut(&request) {
            record.done = true;
        }
        self.handle(Event::ClientDisconnected { request });
    }

    /// Reports progress of a random attempt, which is usually not in flight.
    fn attempt_progresses(&mut self) {
        let request = RequestId(self.rng.u64(0..200));
        let attempt_index = self.rng.usize(0..3);
        let endpoint = EndpointId(self.rng.u32(0..ENDPOINT_COUNT));
        self.handle(Event::AttemptProgressed(AttemptProgress {
            request,
            attempt_index,
            endpoint,
            progress: Progress::Fraction(0.5),
        }));
    }

    fn health_check_finishes(&mut self) {
        let outcome = if self.rng.bool() {
            Outcome::Success
        } else {
            Outcome::Timeout
        };
        let endpoint = EndpointId(self.rng.u32(0..ENDPOINT_COUNT));
        self.handle(Event::HealthChecked(HealthCheckResult {
            endpoint,
            outcome,
            latency: MS,
            report: None,
        }));
    }
}

/// Settings with one class for each kind of idempotency; other properties depend on the seed.
fn random_run_settings(seed: u64) -> Settings {
    let mut settings = settings(Idempotency::Idempotent);
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: 700 * MS,
    };
    for idempotency in [
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ] {
        settings.classes.push(class(idempotency));
    }
    for class in &mut settings.classes {
        class.deadline = 1_500 * MS;
    }
    settings.reports_start = seed.is_multiple_of(2);
    settings.polls_discovery = seed.is_multiple_of(3);
    settings.health_checks = !seed.is_multiple_of(5);
    settings
}

#[test]
fn rules_hold_for_random_sequences_of_events() {
    for seed in 0..12 {
        check_random_run(seed);
    }
}

fn check_random_run(seed: u64) {
    let mut run = RandomRun::new(seed);
    for _ in 0..1_500 {
        run.step();
    }
    let records = run.checker.requests.values();
    let done = records.filter(|record| record.done).count();
    assert!(done > 250, "only {done} requests were done");
}

#[test]
fn balancer_is_deterministic_and_independent_of_other_balancers() {
    let run = |with_other_balancer: bool| {
        let mut settings = settings(Idempotency::Idempotent);
        settings.polls_discovery = true;
        let mut host = TestHost::new(settings.clone(), &[entry(0, 0), entry(1, 1)], 1.0);
        let mut other = TestHost::new(settings, &[entry(1, 0)], 1.0);
        let mut actions = Vec::new();
        for _ in 0..50 {
            if with_other_balancer {
                other.submit_many(3);
            }
            actions.extend(host.submit(0, 1.0).1);
            actions.extend(host.advance(100 * MS, &[0]));
        }
        actions
    };
    assert_eq!(run(false), run(true));
}
