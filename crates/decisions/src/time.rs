//! Points in time on the host's clock.
//!
//! The decisions never read a clock: the host passes the present time with each event. A
//! [`Timestamp`] is a point on that clock and a [`Duration`] a span of it, so the compiler keeps
//! the two apart.
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

/// A point on the host's monotonic clock, in microseconds since an origin of the host's choosing.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock. Stands for "long ago" or "never" where a field says so.
    pub const ORIGIN: Timestamp = Timestamp(0);
    /// Later than any event.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The point this many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since an earlier point; zero if that point is not earlier.
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }

    /// The point this long before; the origin if the clock does not reach that far back.
    pub const fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(span)))
    }

    /// Microseconds since an earlier point; zero if that point is not earlier.
    pub(crate) const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Saturates at [`Timestamp::MAX`].
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

/// Whole microseconds of a span, the resolution of every clock and setting here.
pub(crate) const fn whole_micros(span: Duration) -> u64 {
    let micros = span.as_micros();
    if micros > u64::MAX as u128 {
        u64::MAX
    } else {
        micros as u64
    }
}

/// A span in microseconds, for running means and ratios.
pub(crate) fn micros_f64(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// The span of this many microseconds, rounded down; zero for a negative number.
pub(crate) fn from_micros_f64(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}

/// The whole microseconds of a fraction of a span.
pub(crate) fn divide(span: Duration, divisor: u64) -> Duration {
    Duration::from_micros(whole_micros(span) / divisor)
}
