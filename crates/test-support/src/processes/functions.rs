//! Functions of the classes: workers that can do some of them, and clients that submit jobs of several
//! functions of one class under one unique id.
//!
//! The name of such a job tells its function and its unique id, and its result is its name.

use super::clients::RequestEnd;
use super::endpoints::Arrival;
use super::gearman_peers::{DEFAULT_FUNCTIONS, Submitted, submit};
use super::identities::KEYED_CLASS;
use super::jobs::{self, Cost};
use super::{Dispatcher, TestFleet};
use std::time::Instant;

/// The functions of the dispatchers and their classes. The first of a class has its name.
pub(super) const FUNCTIONS: [(&str, &str); 7] = [
    ("rate-push", "rate-push"),
    ("close-sales", "rate-push"),
    ("open-sales", "rate-push"),
    ("booking-import", "booking-import"),
    ("booking-cancel", "booking-import"),
    (KEYED_CLASS, KEYED_CLASS),
    ("room-release", KEYED_CLASS),
];
/// The functions that a worker can do who can do some only.
pub const WORKER_FUNCTIONS: &[&[&str]] = &[
    &["close-sales"],
    &["rate-push", "open-sales"],
    &["booking-cancel", "close-sales"],
    &["booking-import", "room-release"],
    &["open-sales", KEYED_CLASS],
];
/// Separates the parts of the name of a job.
const SEPARATOR: char = '~';
const PREFIX: &str = "function";

/// The class of a function, or of an HTTP request.
pub(super) fn class_of(function: &str) -> &str {
    let known = FUNCTIONS.iter().find(|(name, _)| *name == function);
    known.map_or(function, |(_, class)| class)
}

/// The function and the unique id of a job with this name; `None` for other jobs.
pub(super) fn parse_name(job: &str) -> Option<(&str, &str)> {
    let mut parts = job.split(SEPARATOR);
    let is_named = parts.next() == Some(PREFIX);
    parts.next().zip(parts.next()).filter(|_| is_named)
}

fn job_name(function: &str, unique_id: &str) -> String {
    [PREFIX, function, unique_id].join(&SEPARATOR.to_string())
}

/// The description of a violation: the job ran as another function than it was submitted for.
pub(super) fn check_arrival(arrival: &Arrival) -> Option<String> {
    let (function, _) = parse_name(&arrival.job)?;
    let is_wrong = arrival.class != function;
    is_wrong.then(|| format!("lost: {} ran as {}", arrival.job, arrival.class))
}

/// Submits jobs of all functions of a class under one unique id, at the same time, until this time.
pub(super) fn run_client(fleet: &TestFleet, dispatcher: &Dispatcher, until: Instant) {
    let mut classes = DEFAULT_FUNCTIONS.iter().cycle();
    while Instant::now() < until
        && let Some(class) = classes.next()
    {
        let unique_id = fleet.unique_name("shared");
        let functions = FUNCTIONS.iter().filter(|(_, other)| other == class);
        let submitted: Vec<(String, Option<Submitted>)> = functions
            .map(|(function, _)| {
                let name = job_name(function, &unique_id);
                let body = jobs::body(&name, Cost::Named);
                (name, submit(dispatcher, function, &unique_id, &body))
            })
            .collect();
        for (name, submitted) in submitted {
            let Some(submitted) = submitted else {
                continue;
            };
            let (request, result) = submitted.wait(fleet, class);
            let is_served = request.end == RequestEnd::Response("WORK_COMPLETE".to_owned());
            if is_served && result != name {
                fleet.record_violation(format!("lost: {name} was told the result {result}"));
            }
            fleet.record_sent(request);
        }
    }
}
