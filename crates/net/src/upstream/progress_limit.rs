//! Rate limit for the progress lines of a response, and throttling of the updates that they cause.
//!
//! Updates are sent to the event loop over an unbounded channel. Without a limit, an endpoint that
//! keeps sending lines would fill the channel and delay all other requests.

use std::time::Duration;
use tokio::time::Instant;

/// Bytes of progress lines that a response may contain regardless of its duration.
const MAX_BURST_BYTES: u64 = 64 << 10;
/// Further bytes of progress lines for each second of the response. An endpoint that reports its
/// progress ten times a second needs a hundredth of this rate.
const MAX_BYTES_PER_SECOND: u64 = 64 << 10;
/// Shortest interval between two reported fractions. The decision logic needs no finer resolution.
const MIN_FRACTION_INTERVAL: Duration = Duration::from_millis(50);

/// An endpoint exceeded the rate limit for progress lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many lines before the final line")]
pub(super) struct TooManyLines;

/// Rate limit and throttling for the progress lines of one attempt.
pub(super) struct ProgressLimit {
    started_at: Instant,
    received_bytes: u64,
    start_reported: bool,
    last_fraction_at: Option<Instant>,
}

impl ProgressLimit {
    /// Creates the limit for a response that begins at `now`.
    pub(super) fn new(now: Instant) -> ProgressLimit {
        ProgressLimit {
            started_at: now,
            received_bytes: 0,
            start_reported: false,
            last_fraction_at: None,
        }
    }

    /// Counts a line before the final one.
    ///
    /// # Errors
    ///
    /// Returns [`TooManyLines`] if the received bytes exceed the limit for the elapsed time.
    pub(super) fn count_line(&mut self, now: Instant, bytes: usize) -> Result<(), TooManyLines> {
        self.received_bytes += bytes as u64;
        let elapsed_ms = (now - self.started_at).as_millis() as u64;
        let rate_allowance = elapsed_ms.saturating_mul(MAX_BYTES_PER_SECOND) / 1_000;
        if self.received_bytes > MAX_BURST_BYTES.saturating_add(rate_allowance) {
            return Err(TooManyLines);
        }
        Ok(())
    }

    /// Returns whether to report that the job has started; `true` on the first call only.
    pub(super) fn should_report_start(&mut self) -> bool {
        !std::mem::replace(&mut self.start_reported, true)
    }

    /// Returns whether to report a fraction that was received at `now`.
    pub(super) fn should_report_fraction(&mut self, now: Instant) -> bool {
        let due = self
            .last_fraction_at
            .is_none_or(|last| now - last >= MIN_FRACTION_INTERVAL);
        if due {
            self.last_fraction_at = Some(now);
        }
        due
    }
}
