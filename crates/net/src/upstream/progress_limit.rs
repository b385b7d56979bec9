//! How many lines an endpoint may send before the last one, and which of them are passed on.
//!
//! Updates go into the queue of the event loop, which has no bound: an endpoint that sends lines
//! without end would fill it and delay everyone else.

use std::time::Duration;
use tokio::time::Instant;

/// Lines before the last one may take up this many bytes, and as many more as the rate allows. An
/// endpoint that reports its progress ten times a second needs a hundredth of the rate.
const MAX_BURST_BYTES: u64 = 64 << 10;
const MAX_BYTES_PER_SECOND: u64 = 64 << 10;
/// Fractions are passed on no more often than this: the decisions use no finer ones.
const MIN_FRACTION_INTERVAL: Duration = Duration::from_millis(50);

/// An endpoint sent more lines before its last one than an attempt may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many lines before the last one")]
pub(super) struct TooManyLines;

/// The limit for one attempt.
pub(super) struct ProgressLimit {
    began_at: Instant,
    bytes: u64,
    start_reported: bool,
    last_fraction_at: Option<Instant>,
}

impl ProgressLimit {
    /// The limit for an attempt whose response begins now.
    pub(super) fn new(now: Instant) -> ProgressLimit {
        ProgressLimit {
            began_at: now,
            bytes: 0,
            start_reported: false,
            last_fraction_at: None,
        }
    }

    /// Counts a line that is not the last, of this many bytes.
    ///
    /// # Errors
    ///
    /// Too many bytes came in this time.
    pub(super) fn count_line(&mut self, now: Instant, bytes: usize) -> Result<(), TooManyLines> {
        self.bytes += bytes as u64;
        let elapsed_ms = (now - self.began_at).as_millis() as u64;
        let earned = elapsed_ms.saturating_mul(MAX_BYTES_PER_SECOND) / 1_000;
        if self.bytes > MAX_BURST_BYTES.saturating_add(earned) {
            return Err(TooManyLines);
        }
        Ok(())
    }

    /// Whether the start of the job is to be passed on: the first time only.
    pub(super) fn passes_start(&mut self) -> bool {
        !std::mem::replace(&mut self.start_reported, true)
    }

    /// Whether a fraction that came now is to be passed on.
    pub(super) fn passes_fraction(&mut self, now: Instant) -> bool {
        let due = self
            .last_fraction_at
            .is_none_or(|last| now - last >= MIN_FRACTION_INTERVAL);
        if due {
            self.last_fraction_at = Some(now);
        }
        due
    }
}
