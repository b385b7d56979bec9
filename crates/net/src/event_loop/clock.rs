//! The clock of the core.

use pumiceway_decisions::api::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that is set to wall-clock time once, when it is created. Steps of the wall
/// clock do not affect the core, and timestamps can still be compared with the start times of
/// endpoints, which discovery reports in wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Wall-clock time at `started`, in microseconds since the Unix epoch.
    unix_micros: u64,
}

impl Clock {
    /// Creates a clock that is set to the current wall-clock time.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_micros: unix.as_micros() as u64,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts an instant to a timestamp. Instants before the clock was created are clamped to its
    /// start.
    pub fn timestamp(&self, at: Instant) -> Timestamp {
        let elapsed = at.saturating_duration_since(self.started);
        Timestamp::from_micros(self.unix_micros + elapsed.as_micros() as u64)
    }

    /// Converts a timestamp to an instant. Timestamps before the clock was created are clamped to
    /// its start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.started + Duration::from_micros(at.as_micros().saturating_sub(self.unix_micros))
    }
}
