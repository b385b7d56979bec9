//! Checks the actions of a balancer against the rules of sending and responding.

use super::common::MS;
use super::zone;
use pumiceway_decisions::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that the balancer has sent.
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

/// A request that has arrived.
pub struct RequestRecord {
    pub class: usize,
    pub deadline: Timestamp,
    /// It has its final response, or its client has disconnected.
    pub done: bool,
    pub attempts: Vec<SentAttempt>,
}

/// An attempt in flight, by its request and its number.
pub struct InFlight {
    pub request: RequestId,
    pub attempt_index: usize,
    pub endpoint: u32,
}

/// Checks every action against the rules.
pub struct RuleChecker {
    pub settings: Settings,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// The endpoints that the balancer knows to be draining or gone.
    pub not_ready: BTreeSet<u32>,
}

impl RuleChecker {
    /// A checker for a balancer with these settings and no request yet, all of whose endpoints are
    /// ready.
    pub fn new(settings: Settings) -> RuleChecker {
        RuleChecker {
            settings,
            requests: BTreeMap::new(),
            not_ready: BTreeSet::new(),
        }
    }

    /// Checks and records the actions that the balancer has returned at this time.
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
            .expect("sends name known requests");
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
        assert!(in_flight < 2, "more than one hedge");
        let first_that_may_have_run = record.attempts.iter().find(|attempt| !attempt.never_ran());
        if let Some(first) = first_that_may_have_run {
            match self.settings.classes[record.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a non-idempotent request that may have run was sent again")
                }
                Idempotency::Keyed { scope, window } => {
                    assert!(now <= first.sent_at + window, "sent after its window");
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
            .expect("sheds name known requests");
        let never_ran = record.attempts.iter().all(SentAttempt::never_ran);
        let repeat_is_harmless = matches!(
            self.settings.classes[record.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(never_ran || repeat_is_harmless, "shed what may have run");
        self.check_final_response(request);
    }

    fn check_final_response(&mut self, request: RequestId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("final responses name known requests");
        assert!(!record.done, "two final responses");
        record.done = true;
    }

    /// The attempts in flight of the requests that `selects` accepts.
    pub fn in_flight(&self, selects: impl Fn(&RequestRecord) -> bool) -> Vec<InFlight> {
        let mut all = Vec::new();
        for (&request, record) in &self.requests {
            if !selects(record) {
                continue;
            }
            for (attempt_index, attempt) in record.attempts.iter().enumerate() {
                if attempt.in_flight() {
                    all.push(InFlight {
                        request,
                        attempt_index,
                        endpoint: attempt.endpoint,
                    });
                }
            }
        }
        all
    }
}
