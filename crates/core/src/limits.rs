//! Limits of what the core keeps, which bound its memory.

use crate::IdempotencyCacheLimits;
use std::time::Duration;

/// Limits of what the core keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreLimits {
    /// Limits of the idempotency cache.
    pub cache: IdempotencyCacheLimits,
    /// Maximum number of requests that are remembered because they must not run again, open ones
    /// included. While it is reached, requests of classes that must not be repeated are shed.
    /// Default: 65,536.
    pub max_consumed_ids: usize,
    /// How long such a request is remembered after it has ended, and after each time that it is
    /// submitted again; longer if a deadline or deduplication window is. Default: 5 minutes.
    pub consumed_id_lifetime: Duration,
    /// Maximum number of endpoints that are kept, including those that were gone a short time ago.
    /// Further ones are left out. Default: 65,536.
    pub max_endpoints: usize,
}

impl Default for CoreLimits {
    fn default() -> CoreLimits {
        CoreLimits {
            cache: IdempotencyCacheLimits::default(),
            max_consumed_ids: 65_536,
            consumed_id_lifetime: Duration::from_secs(300),
            max_endpoints: 65_536,
        }
    }
}
