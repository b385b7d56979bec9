//! Which requests this dispatcher queues, in which order, and which it sheds.
//!
//! A request that no endpoint would start now is queued, ordered by priority weight per slot-time,
//! the highest first. It leaves the queue unserved when it could no longer start in time to meet
//! its objective or, where its class has a `max_queue_time`, when that time has passed or when too
//! little time is left for it to run before its deadline. Where the length of the queue is limited,
//! the least valuable request leaves it when the limit is exceeded. A request that leaves the queue
//! unserved is shed, or fails if a retry by its client would not be harmless.

use super::Balancer;
use super::functions::EndpointsWithRoom;
use super::selection::{EndpointQueueing, Selection};
use crate::api::{Action, ClassId, FunctionId, RequestId, Timestamp};
use crate::state::Request;
use crate::time::{divide, from_micros_f64, micros_f64};
use std::collections::BTreeMap;

/// The latest start of a request is at least this many ticks before its deadline.
const TICKS_BEFORE_DEADLINE: u32 = 2;
/// Only the part of the objective stretch above this counts as slack, which may be spent in the
/// queue.
const STRETCH_WITHOUT_SLACK: f64 = 1.2;
/// The share of the slack that may be spent in the queue. A larger share would reinforce itself:
/// it would raise the learnt running time, from which the slack is computed.
const SLACK_SHARE: f64 = 0.5;

/// A request that no endpoint would start. A later one of its class and function that takes as much
/// would not be started either.
struct Unplaceable {
    slots: f64,
    memory: f64,
    started_at: Timestamp,
}

impl Unplaceable {
    fn of(request: &Request) -> Unplaceable {
        let Request {
            slots,
            memory,
            started_at,
            ..
        } = *request;
        Unplaceable {
            slots,
            memory,
            started_at,
        }
    }

    /// Whether `request`, of the same class and function, is a later one that takes at least as much,
    /// and so would not be started either.
    fn covers(&self, request: &Request) -> bool {
        self.slots <= request.slots
            && self.memory <= request.memory
            && self.started_at <= request.started_at
    }
}

/// The requests that no endpoint would start, by class and function: an endpoint that has no room for
/// one function may have room for another.
#[derive(Default)]
struct UnplaceableRequests(BTreeMap<(ClassId, Option<FunctionId>), Vec<Unplaceable>>);

impl UnplaceableRequests {
    fn covers(&self, request: &Request) -> bool {
        let others = self.0.get(&(request.class, request.function));
        others.is_some_and(|others| others.iter().any(|other| other.covers(request)))
    }

    fn insert(&mut self, request: &Request) {
        let others = self.0.entry((request.class, request.function)).or_default();
        others.push(Unplaceable::of(request));
    }
}

impl Balancer {
    /// Queues a request that has arrived and could not be sent.
    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        self.state.queue.push(id);
        self.serve_queue(now, actions);
        let max_queued = self.settings.max_queued;
        while max_queued > 0 && self.state.queue.len() > max_queued {
            if let Some(least_valuable) = self.state.queue.pop() {
                self.give_up(now, least_valuable, actions);
            }
        }
    }

    /// Sends queued requests, the most valuable first, and sheds or fails those that are too late.
    pub(super) fn serve_queue(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.state.queue.is_empty() {
            return;
        }
        // Bounds the work per event, which would otherwise grow with the number of queued requests
        // times the number of endpoints.
        let mut unplaceable = UnplaceableRequests::default();
        let mut with_room = EndpointsWithRoom::default();
        for id in self.take_sorted_queue() {
            let request = &self.state.requests[&id];
            let is_first_attempt = request.attempts.is_empty();
            let is_covered = is_first_attempt && unplaceable.covers(request);
            if !is_covered && self.may_have_room(id, &mut with_room) {
                match self.try_send(now, id, EndpointQueueing::Allowed, actions) {
                    Selection::Send(endpoint) => {
                        with_room.record_send(&self.state, endpoint);
                        continue;
                    }
                    Selection::NoCapacity if is_first_attempt => {
                        unplaceable.insert(&self.state.requests[&id]);
                    }
                    Selection::NoCapacity | Selection::CheckFirst(_) | Selection::Wait => {}
                }
            }
            if now >= self.latest_start(&self.state.requests[&id]) {
                self.give_up(now, id, actions);
            } else {
                self.state.queue.push(id);
            }
        }
    }

    /// Empties the queue, and returns its requests sorted by value density, the highest first.
    /// Requests of the same density stay in the order of the queue.
    fn take_sorted_queue(&mut self) -> Vec<RequestId> {
        let mut queue = std::mem::take(&mut self.state.queue);
        queue.retain(|id| {
            self.state
                .requests
                .get(id)
                .is_some_and(|request| !request.is_done)
        });
        let with_density = |id| (self.value_density(&self.state.requests[&id]), id);
        let mut queue: Vec<_> = queue.into_iter().map(with_density).collect();
        queue.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        queue.into_iter().map(|(_, id)| id).collect()
    }

    /// When a queued request is given up if it has not been sent.
    ///
    /// Without a `max_queue_time`, this is the latest start that probably still meets the
    /// objective. With one, it is the end of that time, or the latest start that leaves the
    /// expected running time before the deadline if that is earlier.
    pub(super) fn latest_start(&self, request: &Request) -> Timestamp {
        let class = &self.settings.classes[request.class.0];
        let expected_run_us = self.expected_run_us(request);
        let latest = request
            .deadline
            .saturating_sub(TICKS_BEFORE_DEADLINE * self.tick_interval());
        if let Some(max_queue_time) = class.max_queue_time {
            // A running time that is only a guess, or far too long, would shed requests that have
            // most of their time left.
            let is_learnt = self.state.classes[request.class.0].served > 0;
            let run = from_micros_f64(if is_learnt { expected_run_us } else { 0.0 });
            let run = run.min(divide(class.deadline, 2));
            return (request.started_at + max_queue_time).min(latest.saturating_sub(run));
        }
        let stretch = (class.objective_stretch - STRETCH_WITHOUT_SLACK).max(0.0);
        let slack_us =
            (SLACK_SHARE * stretch * expected_run_us).min(micros_f64(class.latency_objective));
        (request.started_at + class.latency_objective + from_micros_f64(slack_us)).min(latest)
    }

    /// Priority weight per slot-time. With a work hint the weight is already one per unit of work;
    /// otherwise the running time of the class is used.
    fn value_density(&self, request: &Request) -> f64 {
        let run = request
            .work_hint
            .map_or(self.state.classes[request.class.0].run_us, |_| 1.0);
        request.priority_weight / (request.slots * run)
    }

    /// The expected running time of a request, in microseconds.
    pub(super) fn expected_run_us(&self, request: &Request) -> f64 {
        request
            .work_hint
            .map_or(self.state.classes[request.class.0].run_us, micros_f64)
    }
}
