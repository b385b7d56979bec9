//! Checks the invariants over what the endpoints and the clients have seen in a play.

use super::clients::{Connection, End, Sent};
use super::discovery::{ChangeToNotify, NotificationLimits};
use super::endpoints::{Arrival, ListChange, ListedStatus};
use super::{ProcessRun, TestFleet};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Within what time a change of the list counts as notified.
const NOTIFICATION_LIMITS: NotificationLimits = NotificationLimits {
    after_reachable: Duration::from_secs(6),
    after_move: Duration::from_secs(4),
};
/// Nothing goes to an endpoint later than this after a dispatcher was notified that it leaves.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A response comes no later than this after the client's remaining time.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client has disconnected.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(100);
/// A client that stops in the middle of a request gets an error or a close within this time.
const INCOMPLETE_REQUEST_LIMIT: Duration = Duration::from_secs(3);
/// An endpoint is given at most this much more than the client's remaining time.
const MAX_REMAINING_EXCESS: Duration = Duration::from_millis(150);
/// What a busy machine may add to each of these before we see it.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(250);

/// The result of a play.
#[derive(Debug, Default)]
pub struct RuleReport {
    /// How many requests were sent.
    pub requests: usize,
    /// How many of them were served.
    pub served: usize,
    /// Each broken invariant, with its time in seconds.
    pub broken: Vec<String>,
}

/// Judges a play that is over.
pub fn check_rules(world: &TestFleet, sent: &[Sent]) -> RuleReport {
    let mut judge = Judge {
        world,
        broken: std::mem::take(&mut *world.broken.lock().unwrap()),
    };
    let by_id: HashMap<&str, &Sent> = sent
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    let arrivals = world.endpoints.arrivals();
    let mut forwarded: HashMap<&str, &Arrival> = HashMap::new();
    for arrival in &arrivals {
        let Some(request) = by_id.get(arrival.id.as_str()) else {
            continue;
        };
        let is_repeated = forwarded.insert(&arrival.id, arrival).is_some();
        judge.check_arrival(request, arrival, is_repeated);
    }
    for request in sent {
        let is_forwarded = forwarded.contains_key(request.id.as_str());
        judge.check_end(request, is_forwarded);
    }
    RuleReport {
        requests: sent.len(),
        served: sent.iter().filter(|request| is_served(request)).count(),
        broken: judge.broken,
    }
}

fn is_served(request: &Sent) -> bool {
    matches!(&request.end, End::Response(line) if line.contains(" 200 "))
}

struct Judge<'a> {
    world: &'a TestFleet,
    broken: Vec<String>,
}

impl Judge<'_> {
    fn breaks(&mut self, at: Instant, description: String) {
        let at = (at - self.world.start).as_secs_f64();
        self.broken.push(format!("{at:.3} {description}"));
    }

    fn check_arrival(&mut self, request: &Sent, arrival: &Arrival, is_repeated: bool) {
        let (id, endpoint) = (&arrival.id, arrival.endpoint);
        if let Some(late) = self.late_after_notification(request, arrival) {
            let dispatcher = request.dispatcher;
            self.breaks(
                arrival.at,
                format!(
                    "drain: {id} went from d{dispatcher} to w{endpoint:02} {late:?} after the notification"
                ),
            );
        }
        if is_repeated && request.is_non_idempotent {
            let description = format!("duplicate: {id} ran again, on w{endpoint:02}");
            self.breaks(arrival.at, description);
        }
        let remaining = (request.at + request.remaining).saturating_duration_since(arrival.at);
        let max_remaining = remaining + MAX_REMAINING_EXCESS + MEASUREMENT_SLACK;
        if let Some(given) = arrival.remaining.filter(|&given| given > max_remaining) {
            self.breaks(
                arrival.at,
                format!("deadline: {id} was given {given:?}, {remaining:?} remaining"),
            );
        }
        let latest = request.ended_at + MAX_DISCONNECT_DELAY + MEASUREMENT_SLACK;
        if request.end == End::Disconnected && arrival.at > latest {
            let description = format!("lost: {id} was sent on after its client had disconnected");
            self.breaks(arrival.at, description);
        }
    }

    fn check_end(&mut self, request: &Sent, is_forwarded: bool) {
        if let Some(reason) = self.unanswered(request, is_forwarded) {
            let description = format!("lost: {} at d{}: {reason}", request.id, request.dispatcher);
            self.breaks(request.at, description);
        }
    }

    /// The process of a dispatcher at this time.
    fn process_run(&self, dispatcher: usize, at: Instant) -> Option<ProcessRun> {
        let runs = self.world.dispatchers[dispatcher].runs.lock().unwrap();
        let mut latest_first = runs.iter().rev();
        latest_first.find(|run| run.started_at <= at).copied()
    }

    /// How long after the notification that its endpoint leaves a request arrived there, if it was
    /// later than the grace allows.
    fn late_after_notification(&self, request: &Sent, arrival: &Arrival) -> Option<Duration> {
        let leaves = self.leaving_change(arrival)?;
        let process_started_at = self.process_run(request.dispatcher, request.at)?.started_at;
        let change = ChangeToNotify {
            process_started_at,
            changed_at: leaves.at,
            version: leaves.version,
        };
        let link = &self.world.dispatchers[request.dispatcher].link;
        let notified_at = link.notified_at(&change, &NOTIFICATION_LIMITS)?;
        let latest = notified_at.max(process_started_at) + DRAIN_GRACE + MEASUREMENT_SLACK;
        (arrival.at > latest).then(|| arrival.at - notified_at)
    }

    /// The change since which the endpoint of an arrival leaves; none if it is ready.
    fn leaving_change(&self, arrival: &Arrival) -> Option<ListChange> {
        let changes = self.world.endpoints.changes();
        changes
            .into_iter()
            .rev()
            .filter(|change| change.endpoint == arrival.endpoint && change.at <= arrival.at)
            .take_while(|change| change.status != ListedStatus::Ready)
            .last()
    }

    /// Why a request counts as lost.
    fn unanswered(&self, request: &Sent, is_forwarded: bool) -> Option<&'static str> {
        let run = self.process_run(request.dispatcher, request.at)?;
        let seen_until = request.ended_at + MEASUREMENT_SLACK;
        let was_killed = run
            .killed_at
            .is_some_and(|killed_at| request.at <= killed_at && killed_at <= seen_until);
        // A killed process may lose what it has in flight, unless it was asked to stop before.
        if was_killed && run.terminated_at.is_none() {
            return None;
        }
        if request.is_incomplete {
            let latest = request.at + INCOMPLETE_REQUEST_LIMIT + MEASUREMENT_SLACK;
            return (request.ended_at > latest).then_some("an incomplete request is left open");
        }
        let latest = request.at + request.remaining + MAX_RESPONSE_DELAY + MEASUREMENT_SLACK;
        let is_late = request.ended_at > latest;
        match request.end {
            End::NoResponse if was_killed => Some("no response when the process was killed"),
            End::NoResponse if is_late => Some("no response"),
            // It may cross the close of a connection between two requests, and is not read.
            End::NoResponse if request.connection == Connection::Kept && !is_forwarded => None,
            End::NoResponse if !is_forwarded && self.is_crowded(request) => None,
            End::NoResponse => Some("closed without a response"),
            End::Response(_) if is_late => Some("response too late"),
            _ => None,
        }
    }

    /// Whether idle connections filled the dispatcher's sockets then. New ones may be closed
    /// unread.
    fn is_crowded(&self, request: &Sent) -> bool {
        let dispatcher = &self.world.dispatchers[request.dispatcher];
        let times = dispatcher.crowded_times.lock().unwrap();
        times
            .iter()
            .any(|time| time.from <= request.ended_at && request.at <= time.to + MEASUREMENT_SLACK)
    }
}
