//! The rate limit of log lines.
//!
//! A repeating fault must not fill the disk. Token buckets admit a limited number of lines per
//! second, and lines that are not admitted are counted as dropped.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// The default number of lines per second that each bucket admits.
const DEFAULT_LINES_PER_SECOND: f64 = 20.0;
/// The default number of lines that each bucket admits at once.
const DEFAULT_BURST: f64 = 100.0;

/// A token bucket, which is initially full.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Creates a bucket that holds at most `capacity` tokens.
    pub const fn new(tokens_per_second: f64, capacity: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_second,
            capacity,
            tokens: capacity,
            refilled_at: None,
        }
    }

    /// Takes a token; returns false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_seconds = self.refilled_at.map_or(0.0, |refilled_at| {
            now.saturating_duration_since(refilled_at).as_secs_f64()
        });
        self.refilled_at = Some(now);
        let refilled = self.tokens + elapsed_seconds * self.tokens_per_second;
        self.tokens = refilled.min(self.capacity);
    }
}

/// Limits the rate of log lines. Warnings and errors have a separate bucket, so that lines of lower
/// levels cannot use up their tokens.
#[derive(Clone)]
pub struct RateLimit(Arc<Buckets>);

struct Buckets {
    warnings: Mutex<TokenBucket>,
    lower_levels: Mutex<TokenBucket>,
    dropped: AtomicU64,
}

impl Default for RateLimit {
    /// 20 lines per second and 100 at once, in each bucket.
    fn default() -> RateLimit {
        RateLimit::new(DEFAULT_LINES_PER_SECOND, DEFAULT_BURST)
    }
}

impl fmt::Debug for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RateLimit")
            .field("dropped", &self.0.dropped)
            .finish_non_exhaustive()
    }
}

impl RateLimit {
    /// Creates a limit of `lines_per_second`, and of `burst` lines at once, in each bucket.
    pub fn new(lines_per_second: f64, burst: f64) -> RateLimit {
        let bucket = || Mutex::new(TokenBucket::new(lines_per_second, burst));
        RateLimit(Arc::new(Buckets {
            warnings: bucket(),
            lower_levels: bucket(),
            dropped: AtomicU64::new(0),
        }))
    }

    /// Returns how many lines were dropped since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.0.dropped.swap(0, Ordering::Relaxed)
    }

    /// Counts lines as dropped.
    pub(crate) fn add_dropped(&self, lines: u64) {
        self.0.dropped.fetch_add(lines, Ordering::Relaxed);
    }

    /// Whether a line of this level is admitted; counts it as dropped if not.
    fn admits(&self, level: Level, now: Instant) -> bool {
        let bucket = if level <= Level::WARN {
            &self.0.warnings
        } else {
            &self.0.lower_levels
        };
        let is_admitted = bucket
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .try_take(now);
        if !is_admitted {
            self.add_dropped(1);
        }
        is_admitted
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.admits(*event.metadata().level(), Instant::now())
    }
}
