//! The bodies of jobs: the name of the job, by which its runs are recognised whatever id or key they
//! come under, and what it costs to run it.

use std::time::Duration;

/// How long a job takes.
const DURATION: Duration = Duration::from_millis(10);
/// How long a slow job takes: shorter than the shortest deadline.
const SLOW_DURATION: Duration = Duration::from_millis(300);
/// The length of a large result.
const LARGE_RESULT_BYTES: usize = 60_000;
const SLOW: &str = "#slow";
const LARGE: &str = "#large";
const NAMED: &str = "#named";

/// What a job costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// It is quick, and its result is short.
    Usual,
    /// It takes long.
    Slow,
    /// Its result is large.
    Large,
    /// It is quick, and its result is its name.
    Named,
}

/// The body of a job.
pub fn body(name: &str, cost: Cost) -> String {
    let suffix = match cost {
        Cost::Usual => "",
        Cost::Slow => SLOW,
        Cost::Large => LARGE,
        Cost::Named => NAMED,
    };
    format!("{name}{suffix}")
}

/// The name of the job with this body.
pub(super) fn name(body: &str) -> &str {
    let suffixes = [SLOW, LARGE, NAMED];
    let without_suffix = suffixes.iter().find_map(|suffix| body.strip_suffix(suffix));
    without_suffix.unwrap_or(body)
}

/// Runs the job with this body. Returns its result.
pub(super) fn run(body: &str) -> String {
    let is_slow = body.ends_with(SLOW);
    std::thread::sleep(if is_slow { SLOW_DURATION } else { DURATION });
    if body.ends_with(LARGE) {
        "r".repeat(LARGE_RESULT_BYTES)
    } else if body.ends_with(NAMED) {
        name(body).to_owned()
    } else {
        "yes".to_owned()
    }
}
