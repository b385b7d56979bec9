//! What a next hop may say before its last line, and how much of that is passed on.

use std::time::Duration;
use tokio::time::Instant;

/// Lines before the last one may take up so many bytes, and so many more in each second. A next hop
/// that tells of its progress ten times a second needs a hundredth of it.
const SAID_MOST: u64 = 64 << 10;
const SAID_EACH: u64 = 64 << 10;
/// Shares of progress are passed on no more often: the decisions look no more often than that.
const SHARES: Duration = Duration::from_millis(50);

/// Keeps a next hop that talks without end from filling the queue to the core.
pub struct ProgressLimit {
    since: Instant,
    said: u64,
    started: bool,
    shared: Option<Instant>,
}

impl ProgressLimit {
    /// Nothing said yet.
    pub fn start(now: Instant) -> ProgressLimit {
        ProgressLimit {
            since: now,
            said: 0,
            started: false,
            shared: None,
        }
    }

    /// Takes in a line that is not the last, or says that these are too many.
    pub fn take(&mut self, now: Instant, bytes: usize) -> Result<(), String> {
        self.said += bytes as u64;
        let millis = (now - self.since).as_millis() as u64;
        match self.said > SAID_MOST.saturating_add(millis.saturating_mul(SAID_EACH) / 1_000) {
            true => Err("lines without end".into()),
            false => Ok(()),
        }
    }

    /// Whether the start is to be told: once.
    pub fn starts(&mut self) -> bool {
        !std::mem::replace(&mut self.started, true)
    }

    /// Whether a share is to be told now.
    pub fn shares(&mut self, now: Instant) -> bool {
        let due = self.shared.is_none_or(|at| now - at >= SHARES);
        if due {
            self.shared = Some(now);
        }
        due
    }
}
