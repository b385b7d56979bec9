//! The invariants, over what workers and clients have seen in a play.

use super::clients::{Connection, End, Sent};
use super::discovery::Terms;
use super::workers::{Arrival, Outcome};
use super::{Life, World};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Within what time news counts as notified.
const TERMS: Terms = Terms {
    within: Duration::from_secs(6),
    after_move: Duration::from_secs(4),
};
/// Nothing goes to a worker later than this after we were notified that it leaves.
const GRACE: Duration = Duration::from_millis(500);
/// An answer comes no later than this after the client's time.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client has left.
const LEFT: Duration = Duration::from_millis(100);
/// A client that stops in the middle of a request gets its error or a close within this time.
const HALFWAY: Duration = Duration::from_secs(3);
/// A worker is told at most what is left to the client and this.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// What a busy machine may add to each of these before we see it.
const SLACK: Duration = Duration::from_millis(250);

/// What a play came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Requests, and those that were served.
    pub requests: usize,
    /// Of these, served.
    pub served: usize,
    /// Each broken invariant, with its time in seconds.
    pub broken: Vec<String>,
}

/// Judges a play that is over.
pub fn judge(world: &World, sent: &[Sent]) -> Verdict {
    let arrivals = world.workers.arrivals();
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|s| (s.id.as_str(), s)).collect();
    let mut broken = std::mem::take(&mut *world.broken.lock().unwrap());
    let mut first: HashMap<&str, &Arrival> = HashMap::new();
    for arrival in &arrivals {
        let Some(request) = by_id.get(arrival.id.as_str()) else {
            continue;
        };
        let at = (arrival.at - world.start).as_secs_f64();
        let worker = arrival.worker;
        if let Some(late) = after_notice(world, request, arrival) {
            let (d, id) = (request.dispatcher, &arrival.id);
            broken.push(format!(
                "{at:.3} drain: {id} went from d{d} to w{worker:02} {late:?} after the notice"
            ));
        }
        if first.insert(&arrival.id, arrival).is_some() && request.once {
            broken.push(format!(
                "{at:.3} duplicate: {} ran again, on w{worker:02}",
                arrival.id
            ));
        }
        let left = (request.at + request.remaining).saturating_duration_since(arrival.at);
        if arrival
            .told
            .is_some_and(|told| told > left + TOLD_SLACK + SLACK)
        {
            broken.push(format!(
                "{at:.3} deadline: {} told {:?}, {left:?} left",
                arrival.id, arrival.told
            ));
        }
        if request.end == End::Left && arrival.at > request.ended + LEFT + SLACK {
            broken.push(format!(
                "{at:.3} lost: {} was sent on after its client had left",
                arrival.id
            ));
        }
    }
    for request in sent {
        let forwarded = first.contains_key(request.id.as_str());
        if let Some(what) = unanswered(world, request, forwarded) {
            let at = (request.at - world.start).as_secs_f64();
            broken.push(format!(
                "{at:.3} lost: {} at d{}: {what}",
                request.id, request.dispatcher
            ));
        }
    }
    let served = |s: &&Sent| matches!(&s.end, End::Answered(line) if line.contains(" 200 "));
    Verdict {
        requests: sent.len(),
        served: sent.iter().filter(served).count(),
        broken,
    }
}

/// The life of a dispatcher in which something happened.
fn life(world: &World, dispatcher: usize, at: Instant) -> Option<Life> {
    let lives = world.dispatchers[dispatcher].lives.lock().unwrap();
    lives.iter().rev().find(|life| life.from <= at).copied()
}

/// How long after the grace a request went to a worker that leaves.
fn after_notice(world: &World, request: &Sent, arrival: &Arrival) -> Option<Duration> {
    let changes = world.workers.changes();
    let last = changes
        .iter()
        .rev()
        .find(|c| c.worker == arrival.worker && c.at <= arrival.at)?;
    if last.status == Outcome::Ready {
        return None;
    }
    // It leaves since the first change in a row that says so.
    let before = changes
        .iter()
        .rev()
        .filter(|c| c.worker == arrival.worker && c.at <= arrival.at);
    let leaves = before.take_while(|c| c.status != Outcome::Ready).last()?;
    let started = life(world, request.dispatcher, request.at)?.from;
    let link = &world.dispatchers[request.dispatcher].link;
    let (changed, version) = (leaves.at, leaves.version);
    let notified = link.notified(started, changed, version, &TERMS)?;
    let latest = notified.max(started) + GRACE + SLACK;
    (arrival.at > latest).then(|| arrival.at - notified)
}

/// Why a request counts as lost; `forwarded` if a worker has seen it.
fn unanswered(world: &World, request: &Sent, forwarded: bool) -> Option<&'static str> {
    let life = life(world, request.dispatcher, request.at)?;
    let killed = life
        .killed
        .filter(|&killed| request.at <= killed && killed <= request.ended + SLACK);
    // What a killed process held is lost with it without fault, unless it was told to stop before.
    if killed.is_some() && life.terminated.is_none() {
        return None;
    }
    if request.halfway {
        return (request.ended > request.at + HALFWAY + SLACK)
            .then_some("half a request is left open");
    }
    let late = request.ended > request.at + request.remaining + LATE_ANSWER + SLACK;
    match request.end {
        End::Nothing if killed.is_some() => Some("no answer when the process was killed"),
        End::Nothing if late => Some("no answer"),
        // It may cross the close of a connection between two requests, and is not read.
        End::Nothing if request.connection == Connection::Kept && !forwarded => None,
        End::Nothing if !forwarded && crowded(world, request) => None,
        End::Nothing => Some("closed without an answer"),
        End::Answered(_) if late => Some("answered too late"),
        _ => None,
    }
}

/// Whether idle connections filled the dispatcher's descriptors then: new ones may be shut unread.
fn crowded(world: &World, request: &Sent) -> bool {
    let crowds = world.dispatchers[request.dispatcher].crowds.lock().unwrap();
    crowds
        .iter()
        .any(|(from, to)| *from <= request.ended && request.at <= *to + SLACK)
}
