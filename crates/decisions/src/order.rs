//! Orders and shares that instances work out alone: arithmetic, no decision.

use crate::api::{Micros, WorkerId};

/// The greatest number that divides both.
pub(crate) fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Bits in no order, the same wherever they are worked out; 53 of them. Unlike figures stay unlike.
pub(crate) fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (n ^ (n >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11
}

/// What a key's jobs are about is fetched by one in so many workers, and by so many at least.
const FETCHED_BY: usize = 4;
const FETCHED_LEAST: usize = 4;
/// For this share of its aim a job waits for one of these, before it goes to any other.
pub(crate) const WAITS_FOR_THEM: f64 = 0.3;

/// Leaves the workers that a key's jobs go to, in any order, by the places that all instances know them at.
pub(crate) fn first_for(key: u64, order: &mut Vec<(u8, WorkerId)>, place: impl Fn(WorkerId) -> u64) {
    let most = (order.len() / FETCHED_BY).max(FETCHED_LEAST);
    if most < order.len() {
        order.select_nth_unstable_by_key(most, |&(_, id)| mix(key ^ place(id)));
        order.truncate(most);
    }
}

/// Probes that go round the workers unasked, one for each request, and at first one for each worker: all that where
/// there are three workers to an instance, nothing where instances outnumber them, and in between in proportion.
#[derive(Default)]
pub(crate) struct Round {
    saved: f64,
    at: Option<Micros>,
}

impl Round {
    /// Lets time pass up to now; `gap` is the mean time (µs) between two requests.
    pub(crate) fn fill(&mut self, now: Micros, gap: f64, workers: usize, instances: usize) {
        let share = (1.5 * (1.0 - instances as f64 / workers.max(1) as f64)).clamp(0.0, 1.0);
        let most = share * workers as f64;
        let new = match self.at {
            Some(at) if share < 1.0 => now.saturating_sub(at) as f64 / gap.max(1.0) * share,
            _ => most,
        };
        self.saved = (self.saved + new).min(most);
        if workers > 0 {
            self.at = Some(now);
        }
    }

    /// Takes one out; whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        let some = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(some));
        some
    }
}
