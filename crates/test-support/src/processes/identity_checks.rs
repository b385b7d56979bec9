//! Checks the runs of jobs by their names against the invariants, whatever ids and keys they came
//! under.

use super::endpoints::Arrival;
use super::identities::{KEYED_CLASS, RepeatedRequest};
use super::{TestFleet, functions};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A client with the id of another's open request gets an error, or a close, within this time.
const STRANGER_LIMIT: Duration = Duration::from_secs(3);
/// Endpoints recognise a repeat by its key for this long.
pub(super) const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(4);
/// The name of the jobs of sound clients, which are recognised by their ids.
const COMMON_JOB: &str = "x";

/// A violation of an invariant, and when it was seen.
pub(super) type Violation = (Instant, String);

/// Checks the runs of all jobs that have names of their own.
pub(super) fn check(fleet: &TestFleet, arrivals: &[Arrival], slack: Duration) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    let named = arrivals.iter().filter(|arrival| arrival.job != COMMON_JOB);
    for arrival in named {
        runs.entry(&arrival.job).or_default().push(arrival);
    }
    let mut violations: Vec<Violation> = Vec::new();
    for runs in runs.values() {
        let [first, again @ ..] = &runs[..] else {
            continue;
        };
        violations.extend(first_told_another_key(runs));
        let wrong = runs
            .iter()
            .find_map(|run| Some((run.at, functions::check_arrival(run)?)));
        violations.extend(wrong);
        let is_late = |run: &Arrival| run.at > first.at + DEDUPLICATION_WINDOW + slack;
        let must_not_run = |run: &&&Arrival| match functions::class_of(&run.class) {
            "booking-import" => true,
            KEYED_CLASS => is_late(run),
            _ => false,
        };
        if let Some(run) = again.iter().find(must_not_run) {
            let description = format!("duplicate: {} of {} ran again", run.job, run.class);
            violations.push((run.at, description));
        }
    }
    for request in &*fleet.repeated.lock().unwrap() {
        let run_count = runs.get(request.id.as_str()).map_or(0, Vec::len);
        let violation = check_repeated(request, run_count, slack);
        violations.extend(violation.map(|text| (Instant::now(), text)));
    }
    violations
}

/// Endpoints are told the key that the client sent, and no other, with each attempt.
fn first_told_another_key(runs: &[&Arrival]) -> Option<Violation> {
    let is_keyed = |run: &&&Arrival| functions::class_of(&run.class) == KEYED_CLASS;
    let mut keyed = runs.iter().filter(is_keyed);
    let sent_key = |run: &Arrival| {
        let of_function = functions::parse_name(&run.job);
        of_function.map_or(run.job.clone(), |(_, unique_id)| unique_id.to_owned())
    };
    let run = keyed.find(|run| run.key != Some(sent_key(run)))?;
    let description = format!("duplicate: {} came under the key {:?}", run.job, run.key);
    Some((run.at, description))
}

fn check_repeated(request: &RepeatedRequest, run_count: usize, slack: Duration) -> Option<String> {
    let RepeatedRequest {
        id,
        is_non_idempotent,
        served,
        longest_wait,
    } = request;
    if *served > run_count {
        Some(format!(
            "lost: {id} ran {run_count} times, and {served} clients were served"
        ))
    } else if *is_non_idempotent && run_count > 1 {
        Some(format!("duplicate: {id} ran {run_count} times"))
    } else if *longest_wait > STRANGER_LIMIT + slack {
        Some(format!(
            "lost: a client with the id {id} of another waited {longest_wait:?}"
        ))
    } else {
        None
    }
}
