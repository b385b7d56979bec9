//! Checks the records of the endpoints and clients of a run against the invariants.

use super::clients::{Connection, Pace, RequestEnd, SentRequest};
use super::discovery::{ChangeToNotify, NotificationLimits};
use super::endpoints::{Arrival, ListChange, ListedStatus};
use super::returning::Departure;
use super::{Dispatcher, ProcessRun, TestFleet, identity_checks};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// The times after which a dispatcher counts as notified of a change of the list.
const NOTIFICATION_LIMITS: NotificationLimits = NotificationLimits {
    after_reachable: Duration::from_secs(6),
    after_move: Duration::from_secs(4),
};
/// A dispatcher sends nothing to an endpoint later than this after it was notified that the endpoint
/// leaves.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A response arrives no later than this after the end of the client's remaining time.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client has disconnected.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(100);
/// A client that stops in the middle of a request receives an error response, or its connection is
/// closed, within this time.
const INCOMPLETE_REQUEST_LIMIT: Duration = Duration::from_secs(3);
/// A dispatcher reads the first bytes of a request within this time, even if it is held up.
const READ_WITHIN: Duration = Duration::from_millis(150);
/// The remaining time that is sent to an endpoint exceeds the client's by at most this.
const MAX_REMAINING_EXCESS: Duration = Duration::from_millis(150);
/// A process takes at most this share of its memory limit.
const MAX_MEMORY_SHARE: f64 = 0.8;
/// The delay that a busy machine may add to each measurement.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(250);

/// The result of a run.
#[derive(Debug, Default)]
pub struct RuleReport {
    /// How many requests were sent.
    pub requests: usize,
    /// How many of them were served.
    pub served: usize,
    /// How many of them were sent at once by a client that waited for the response.
    pub awaited: usize,
    /// How many of these were served.
    pub awaited_served: usize,
    /// The longest time that such a client waited.
    pub longest_wait: Duration,
    /// The highest share of its memory limit that a process took.
    pub memory_share: f64,
    /// The violations of invariants, each with its time in seconds.
    pub violations: Vec<String>,
}

/// Checks a run that has ended.
pub fn check_rules(fleet: &TestFleet, sent: &[SentRequest]) -> RuleReport {
    let mut checker = RuleChecker {
        fleet,
        violations: std::mem::take(&mut *fleet.violations.lock().unwrap()),
    };
    let arrivals = fleet.endpoints.arrivals();
    checker.check_sent(sent, &arrivals);
    let is_served = |request: &&SentRequest| request.end.is_served();
    let awaited = || sent.iter().filter(|request| is_awaited(request));
    let waits = awaited().map(|request| request.ended_at - request.at);
    for dispatcher in &fleet.dispatchers {
        checker.check_memory(dispatcher);
    }
    for departure in &*fleet.departures.lock().unwrap() {
        checker.check_departure(departure, &arrivals);
    }
    for (at, description) in identity_checks::check(fleet, &arrivals, MEASUREMENT_SLACK) {
        checker.record_violation(at, description);
    }
    for request in &*fleet.sent.lock().unwrap() {
        checker.check_end(request, false);
    }
    RuleReport {
        requests: sent.len(),
        served: sent.iter().filter(is_served).count(),
        awaited: awaited().count(),
        awaited_served: awaited().filter(is_served).count(),
        longest_wait: waits.max().unwrap_or_default(),
        memory_share: highest_memory_share(fleet),
        violations: checker.violations,
    }
}

/// Whether a request may have been on its way when the dispatcher closed its idle connection; it is
/// then not read. A request whose first part was sent long before the end was read.
fn may_cross_close(request: &SentRequest) -> bool {
    let is_paused = request.pace != Pace::AtOnce;
    let read_for_sure_at = request.begun_at + READ_WITHIN + MEASUREMENT_SLACK;
    request.connection == Connection::Reused && !(is_paused && request.ended_at > read_for_sure_at)
}

/// The highest share of its limit, files counted, that any process took.
fn highest_memory_share(fleet: &TestFleet) -> f64 {
    let limit = (fleet.conditions.memory_mb << 20) as f64;
    let records = fleet
        .dispatchers
        .iter()
        .flat_map(Dispatcher::memory_records);
    records.fold(0.0, |highest, record| {
        highest.max(record.peak.total as f64 / limit)
    })
}

fn is_awaited(request: &SentRequest) -> bool {
    request.pace == Pace::AtOnce && request.end != RequestEnd::Disconnected
}

struct RuleChecker<'a> {
    fleet: &'a TestFleet,
    violations: Vec<String>,
}

impl RuleChecker<'_> {
    fn record_violation(&mut self, at: Instant, description: String) {
        let at = (at - self.fleet.started_at).as_secs_f64();
        self.violations.push(format!("{at:.3} {description}"));
    }

    fn check_arrival(&mut self, request: &SentRequest, arrival: &Arrival, is_repeated: bool) {
        let (id, endpoint) = (&arrival.id, arrival.endpoint);
        if let Some(late) = self.late_after_notification(request, arrival) {
            let dispatcher = request.dispatcher;
            self.record_violation(
                arrival.at,
                format!(
                    "drain: {id} went from d{dispatcher} to w{endpoint:02} {late:?} after the notification"
                ),
            );
        }
        if is_repeated && request.is_non_idempotent {
            let description = format!("duplicate: {id} ran again, on w{endpoint:02}");
            self.record_violation(arrival.at, description);
        }
        let remaining = (request.at + request.remaining).saturating_duration_since(arrival.at);
        let max_remaining = remaining + MAX_REMAINING_EXCESS + MEASUREMENT_SLACK;
        if let Some(given) = arrival.remaining.filter(|&given| given > max_remaining) {
            self.record_violation(
                arrival.at,
                format!(
                    "deadline: {id} was given {given:?} by d{}, {remaining:?} remaining",
                    request.dispatcher
                ),
            );
        }
        let latest = request.ended_at + MAX_DISCONNECT_DELAY + MEASUREMENT_SLACK;
        if request.end == RequestEnd::Disconnected && arrival.at > latest {
            let description = format!("lost: {id} was sent on after its client had disconnected");
            self.record_violation(arrival.at, description);
        }
    }

    /// Checks each run of the requests of sound clients, and how the requests ended.
    fn check_sent(&mut self, sent: &[SentRequest], arrivals: &[Arrival]) {
        let by_id: HashMap<&str, &SentRequest> = sent
            .iter()
            .map(|request| (request.id.as_str(), request))
            .collect();
        let mut forwarded: HashSet<&str> = HashSet::new();
        for arrival in arrivals {
            let Some(request) = by_id.get(arrival.id.as_str()) else {
                continue;
            };
            let is_repeated = !forwarded.insert(&arrival.id);
            self.check_arrival(request, arrival, is_repeated);
        }
        for request in sent {
            let is_forwarded = forwarded.contains(request.id.as_str());
            self.check_end(request, is_forwarded);
        }
    }

    fn check_end(&mut self, request: &SentRequest, is_forwarded: bool) {
        if let Some(reason) = self.unanswered(request, is_forwarded) {
            let waited = request.ended_at - request.at;
            let (id, dispatcher) = (&request.id, request.dispatcher);
            let description = format!("lost: {id} at d{dispatcher}: {reason}, after {waited:?}");
            self.record_violation(request.at, description);
        }
    }

    /// Checks that each process of a dispatcher has stayed within its share of the memory limit.
    fn check_memory(&mut self, dispatcher: &Dispatcher) {
        let conditions = &self.fleet.conditions;
        let limit = (conditions.memory_mb << 20) as f64 * MAX_MEMORY_SHARE;
        for record in dispatcher.memory_records() {
            let peak = if conditions.counts_files {
                record.peak.total
            } else {
                record.peak.anonymous
            };
            if peak as f64 > limit {
                let at = record.peak_at.unwrap_or(self.fleet.started_at);
                let description = format!("memory: d{} took {:?}", dispatcher.number, record.peak);
                self.record_violation(at, description);
            }
        }
    }

    /// Checks that nothing was sent on for a client after it had left, and that its job, which is
    /// not idempotent, ran once although it came again.
    fn check_departure(&mut self, departure: &Departure, arrivals: &[Arrival]) {
        let id = &departure.id;
        let of_departure = arrivals.iter().filter(|arrival| arrival.id == *id);
        let at: Vec<Instant> = of_departure.map(|arrival| arrival.at).collect();
        let latest = departure.left_at + MAX_DISCONNECT_DELAY + MEASUREMENT_SLACK;
        let is_late = |at: &&Instant| **at > latest && **at < departure.returned_at;
        if let Some(&late) = at.iter().find(is_late) {
            let description = format!("lost: {id} was sent on after its client had left");
            self.record_violation(late, description);
        }
        if let Some(&again) = at.get(1) {
            let description = format!("duplicate: {id} ran again after its client came again");
            self.record_violation(again, description);
        }
    }

    /// The process of a dispatcher that was started last before this time.
    fn process_run(&self, dispatcher: usize, at: Instant) -> Option<ProcessRun> {
        let runs = self.fleet.dispatchers[dispatcher].runs.lock().unwrap();
        let mut latest_first = runs.iter().rev();
        latest_first.find(|run| run.started_at <= at).copied()
    }

    /// The time from the notification that an endpoint leaves until a request arrived there, if it
    /// is longer than the grace.
    fn late_after_notification(
        &self,
        request: &SentRequest,
        arrival: &Arrival,
    ) -> Option<Duration> {
        let leaving_change = self.leaving_change(arrival)?;
        let process_started_at = self.process_run(request.dispatcher, request.at)?.started_at;
        let change = ChangeToNotify {
            process_started_at,
            changed_at: leaving_change.at,
            version: leaving_change.version,
        };
        let link = &self.fleet.dispatchers[request.dispatcher].link;
        let notified_at = link.notified_at(&change, &NOTIFICATION_LIMITS)?;
        let latest = notified_at.max(process_started_at) + DRAIN_GRACE + MEASUREMENT_SLACK;
        (arrival.at > latest).then(|| arrival.at - notified_at)
    }

    /// The change by which the endpoint of an arrival left; none if the endpoint was ready.
    fn leaving_change(&self, arrival: &Arrival) -> Option<ListChange> {
        let changes = self.fleet.endpoints.changes();
        changes
            .into_iter()
            .rev()
            .filter(|change| change.endpoint == arrival.endpoint && change.at <= arrival.at)
            .take_while(|change| change.status != ListedStatus::Ready)
            .last()
    }

    /// The reason why a request counts as lost, if it does.
    fn unanswered(&self, request: &SentRequest, is_forwarded: bool) -> Option<&'static str> {
        let run = self.process_run(request.dispatcher, request.begun_at)?;
        let seen_until = request.ended_at + MEASUREMENT_SLACK;
        let was_killed = run
            .killed_at
            .is_some_and(|killed_at| request.begun_at <= killed_at && killed_at <= seen_until);
        // A killed process may lose what it has in flight, unless it was asked to stop before.
        if was_killed && run.terminated_at.is_none() {
            return None;
        }
        if request.pace == Pace::Incomplete {
            return self.unanswered_incomplete(request);
        }
        let latest = request.at + request.remaining + MAX_RESPONSE_DELAY + MEASUREMENT_SLACK;
        let is_late = request.ended_at > latest;
        match request.end {
            RequestEnd::NoResponse if was_killed => Some("no response when the process was killed"),
            RequestEnd::NoResponse if is_late => Some("no response"),
            // The dispatcher may close an idle connection while a request is on its way; the request
            // is then not read.
            RequestEnd::NoResponse if !is_forwarded && may_cross_close(request) => None,
            RequestEnd::NoResponse if !is_forwarded && self.sockets_are_exhausted(request) => None,
            RequestEnd::NoResponse => Some("closed without a response"),
            RequestEnd::Response(_) if is_late => Some("response too late"),
            _ => None,
        }
    }

    /// The reason why a request that its client never completed counts as lost, if it does.
    fn unanswered_incomplete(&self, request: &SentRequest) -> Option<&'static str> {
        let latest = request.at + INCOMPLETE_REQUEST_LIMIT + MEASUREMENT_SLACK;
        if request.ended_at > latest {
            return Some("an incomplete request is left open");
        }
        let is_closed = request.end == RequestEnd::NoResponse;
        let is_allowed = may_cross_close(request) || self.sockets_are_exhausted(request);
        (is_closed && !is_allowed).then_some("an incomplete request is closed without a response")
    }

    /// Whether idle connections exhausted the dispatcher's sockets during a request. New connections
    /// may then be closed without being read.
    fn sockets_are_exhausted(&self, request: &SentRequest) -> bool {
        let dispatcher = &self.fleet.dispatchers[request.dispatcher];
        let exhaustions = dispatcher.socket_exhaustions.lock().unwrap();
        exhaustions.iter().any(|period| {
            period.from <= request.ended_at && request.at <= period.to + MEASUREMENT_SLACK
        })
    }
}
