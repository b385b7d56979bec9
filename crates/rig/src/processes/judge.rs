//! The invariants, over what workers and clients have seen in a play.

use super::clients::{End, REMAINING, Sent};
use super::workers::{Arrival, Status};
use super::{Life, World};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Nothing goes to a worker later than this after we were notified that it leaves.
const GRACE: Duration = Duration::from_millis(500);
/// An answer comes no later than this after the client's time.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client has left.
const LEFT: Duration = Duration::from_millis(100);
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
        let Some(request) = by_id.get(arrival.id.as_str()) else { continue };
        let at = (arrival.at - world.start).as_secs_f64();
        let worker = arrival.worker;
        if let Some(late) = after_notice(world, request, arrival) {
            let (d, id) = (request.dispatcher, &arrival.id);
            broken.push(format!(
                "{at:.3} drain: {id} went from d{d} to w{worker:02} {late:?} after the notice"
            ));
        }
        if request.once && first.insert(&arrival.id, arrival).is_some() {
            broken.push(format!("{at:.3} duplicate: {} ran again, on w{worker:02}", arrival.id));
        }
        if request.end == End::Left && arrival.at > request.ended + LEFT + SLACK {
            broken.push(format!("{at:.3} lost: {} was sent on after its client had left", arrival.id));
        }
    }
    for request in sent {
        if let Some(what) = unanswered(world, request) {
            let at = (request.at - world.start).as_secs_f64();
            broken.push(format!("{at:.3} lost: {} at d{}: {what}", request.id, request.dispatcher));
        }
    }
    let served = |s: &&Sent| matches!(&s.end, End::Answered(line) if line.contains(" 200 "));
    Verdict { requests: sent.len(), served: sent.iter().filter(served).count(), broken }
}

/// The life of a dispatcher in which something happened.
fn life(world: &World, dispatcher: usize, at: Instant) -> Option<Life> {
    let lives = world.dispatchers[dispatcher].lives.lock().unwrap();
    lives.iter().rev().find(|life| life.from <= at).copied()
}

/// How long after the grace a request went to a worker that leaves.
fn after_notice(world: &World, request: &Sent, arrival: &Arrival) -> Option<Duration> {
    let changes = world.workers.changes();
    let last = changes.iter().rev().find(|c| c.worker == arrival.worker && c.at <= arrival.at)?;
    if last.status == Status::Ready {
        return None;
    }
    // It leaves since the first change in a row that says so.
    let before = changes.iter().rev().filter(|c| c.worker == arrival.worker && c.at <= arrival.at);
    let leaves = before.take_while(|c| c.status != Status::Ready).last()?;
    let started = life(world, request.dispatcher, request.at)?.from;
    let link = &world.dispatchers[request.dispatcher].link;
    let notified = link.notified(started, leaves.at, leaves.version, NOTIFIED_WITHIN)?;
    let latest = notified.max(started) + GRACE + SLACK;
    (arrival.at > latest).then(|| arrival.at - notified)
}

/// Why a request counts as lost.
fn unanswered(world: &World, request: &Sent) -> Option<&'static str> {
    let life = life(world, request.dispatcher, request.at)?;
    // What a killed process held is lost with it; and a stopping one may be met by a request that it has not read.
    if life.leaves.is_some_and(|leaves| life.killed && leaves <= request.ended || leaves <= request.at) {
        return None;
    }
    let late = request.ended > request.at + REMAINING + LATE_ANSWER + SLACK;
    match request.end {
        End::Nothing => Some("no answer"),
        End::Answered(_) if late => Some("answered too late"),
        _ => None,
    }
}
