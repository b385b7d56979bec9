//! Points in time on the host's clock.
//!
//! The crate never reads a clock: the host passes the current time with each event. Points in time
//! are [`Timestamp`]s and spans are [`Duration`]s, so the compiler rejects code that mixes them up.
//!
//! ```
//! use pumiceway_decisions::api::Timestamp;
//! use std::time::Duration;
//!
//! let sent_at = Timestamp::from_micros(1_000_000);
//! let now = sent_at + Duration::from_millis(30);
//! assert_eq!(now.saturating_duration_since(sent_at), Duration::from_millis(30));
//! ```

use std::fmt;
use std::ops::{Add, AddAssign};
use std::time::Duration;

/// A point on the host's monotonic clock, in microseconds since an origin chosen by the host.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock. Fields whose documentation says so use it for "long ago" or
    /// "never".
    pub const ORIGIN: Timestamp = Timestamp(0);
    /// Later than any event.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a timestamp this many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since an earlier timestamp; zero if that one is not earlier.
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }

    /// Subtracts a duration, saturating at [`Timestamp::ORIGIN`].
    pub const fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(span)))
    }

    /// Microseconds since an earlier timestamp; zero if that one is not earlier.
    pub(crate) const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The addition saturates at [`Timestamp::MAX`].
impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(span)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.0)
    }
}

/// The duration in whole microseconds, rounded down and saturating at `u64::MAX`. All timestamps
/// and settings have this resolution.
pub(crate) const fn whole_micros(span: Duration) -> u64 {
    let micros = span.as_micros();
    if micros > u64::MAX as u128 {
        u64::MAX
    } else {
        micros as u64
    }
}

/// The duration in whole microseconds as a floating-point number, for running means and ratios.
pub(crate) fn micros_f64(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// The duration of this many microseconds, rounded down; zero for a negative number.
pub(crate) fn from_micros_f64(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}

/// Divides a duration by an integer, rounding down to whole microseconds.
pub(crate) fn divide(span: Duration, divisor: u64) -> Duration {
    Duration::from_micros(whole_micros(span) / divisor)
}
