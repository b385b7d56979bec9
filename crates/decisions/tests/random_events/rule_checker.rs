//! Checks the actions of a balancer against the rules of sending and responding.

use super::common::MS;
use super::zone;
use pumiceway_decisions::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that the balancer sent.
pub struct SentAttempt {
    pub endpoint: u32,
    pub sent_at: Timestamp,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    fn in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that has arrived, and its attempts.
pub struct RequestRecord {
    pub class: usize,
    pub deadline: Timestamp,
    /// It has its final response, or its client has disconnected.
    pub done: bool,
    pub attempts: Vec<SentAttempt>,
}

/// An attempt in flight, identified by its request and its number.
pub struct InFlight {
    pub request: RequestId,
    pub attempt_index: usize,
    pub endpoint: u32,
}

/// Checks every action against the rules.
pub struct RuleChecker {
    pub settings: Settings,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// The endpoints that are draining or gone according to the balancer's list.
    pub not_ready: BTreeSet<u32>,
}

impl RuleChecker {
    /// A checker for a balancer with these settings, without requests and with all endpoints ready.
    pub fn new(settings: Settings) -> RuleChecker {
        RuleChecker {
            settings,
            requests: BTreeMap::new(),
            not_ready: BTreeSet::new(),
        }
    }

    /// Checks and records the actions that the balancer returned at this time.
    pub fn check(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send {
                    request, endpoint, ..
                } => self.check_send(now, request, endpoint.0),
                Action::Shed { request, .. } => self.check_shed(request),
                Action::Fail { request } => self.check_final_response(request),
                _ => {}
            }
        }
        for (request, record) in &self.requests {
            assert!(
                record.done || now <= record.deadline + 20 * MS,
                "{request:?} has no response in time"
            );
        }
    }

    fn check_send(&mut self, now: Timestamp, request: RequestId, endpoint: u32) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("only requests that have arrived are sent");
        assert!(!record.done, "sent after its final response");
        assert!(now < record.deadline, "sent after the deadline");
        assert!(
            !self.not_ready.contains(&endpoint),
            "sent to an endpoint that is draining or gone"
        );
        assert!(
            record.attempts.len() < self.settings.max_attempts,
            "too many attempts"
        );
        let in_flight = record
            .attempts
            .iter()
            .filter(|attempt| attempt.in_flight())
            .count();
        assert!(in_flight < 2, "more than two attempts in flight");
        let first_that_may_have_run = record.attempts.iter().find(|attempt| !attempt.never_ran());
        if let Some(first) = first_that_may_have_run {
            match self.settings.classes[record.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a non-idempotent request that may have run was sent again")
                }
                Idempotency::Keyed { scope, window } => {
                    assert!(
                        now <= first.sent_at + window,
                        "sent after its deduplication window"
                    );
                    let same_zone = zone(first.endpoint) == zone(endpoint);
                    assert!(
                        scope == DeduplicationScope::All || same_zone,
                        "sent outside its deduplication group"
                    );
                }
            }
        }
        record.attempts.push(SentAttempt {
            endpoint,
            sent_at: now,
            outcome: None,
        });
    }

    fn check_shed(&mut self, request: RequestId) {
        let record = self
            .requests
            .get(&request)
            .expect("only requests that have arrived are shed");
        let never_ran = record.attempts.iter().all(SentAttempt::never_ran);
        let repeat_is_harmless = matches!(
            self.settings.classes[record.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            never_ran || repeat_is_harmless,
            "shed a request that may have run"
        );
        self.check_final_response(request);
    }

    fn check_final_response(&mut self, request: RequestId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("only requests that have arrived get a final response");
        assert!(!record.done, "two final responses");
        record.done = true;
    }

    /// The attempts in flight of the requests that match `predicate`.
    pub fn in_flight(&self, predicate: impl Fn(&RequestRecord) -> bool) -> Vec<InFlight> {
        let mut in_flight = Vec::new();
        for (&request, record) in &self.requests {
            if !predicate(record) {
                continue;
            }
            for (attempt_index, attempt) in record.attempts.iter().enumerate() {
                if attempt.in_flight() {
                    in_flight.push(InFlight {
                        request,
                        attempt_index,
                        endpoint: attempt.endpoint,
                    });
                }
            }
        }
        in_flight
    }
}
