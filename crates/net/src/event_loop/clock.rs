//! The clock that the core is told.

use pumiceway_decisions::api::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock time at the start, and from then on monotonic: steps of the wall clock do not reach
/// the core. The start times of endpoints, which discovery gives in wall-clock time, can still be
/// compared with it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Microseconds since the Unix epoch at the start.
    unix_micros: u64,
}

impl Clock {
    /// A clock that shows wall-clock time now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_micros: unix.as_micros() as u64,
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// A moment on this clock; its start for an earlier one.
    pub fn timestamp(&self, at: Instant) -> Timestamp {
        let elapsed = at.saturating_duration_since(self.started);
        Timestamp::from_micros(self.unix_micros + elapsed.as_micros() as u64)
    }

    /// The moment at which this clock shows a time.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.started + Duration::from_micros(at.as_micros().saturating_sub(self.unix_micros))
    }
}
