//! Log lines: one macro over eprintln, bounded in rate so that a fault that repeats cannot flood the log.

use std::sync::Mutex;
use std::time::Instant;

/// Lines a second that are written, and how many may come at once.
const RATE: f64 = 20.0;
const BURST: f64 = 100.0;

/// Lines that may still be written, and how many were left out.
#[derive(Debug)]
pub struct Quota {
    tokens: f64,
    at: Option<Instant>,
    left_out: u64,
}

impl Quota {
    /// A full quota.
    pub const fn new() -> Quota {
        Quota { tokens: BURST, at: None, left_out: 0 }
    }

    /// Whether a line may be written now; with how many were left out since the last one.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        if self.tokens < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

impl Default for Quota {
    fn default() -> Quota {
        Quota::new()
    }
}

static QUOTA: Mutex<Quota> = Mutex::new(Quota::new());

/// Whether the process may write a line now; see [`Quota::take`].
pub fn admit() -> Option<u64> {
    QUOTA.lock().map_or(None, |mut quota| quota.take(Instant::now()))
}

/// Writes a line to the log, unless too many came before it.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        match $crate::log::admit() {
            Some(0) => eprintln!($($part)*),
            Some(left_out) => eprintln!("{} ({left_out} lines left out)", format_args!($($part)*)),
            None => {}
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    // Guards against a fault that repeats and floods the log.
    #[test]
    fn a_flood_is_cut_off_and_counted() {
        let (mut quota, start) = (Quota::new(), Instant::now());
        let written = (0..1_000).filter(|_| quota.take(start).is_some()).count();
        assert_eq!(written, BURST as usize);
        assert_eq!(quota.take(start + Duration::from_secs(1)), Some(1_000 - BURST as u64));
    }
}
