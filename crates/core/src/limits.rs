//! Limits of what the core keeps, which bound its memory.

use crate::IdempotencyCacheLimits;

/// Limits of what the core keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreLimits {
    /// Limits of the idempotency cache.
    pub cache: IdempotencyCacheLimits,
    /// Maximum number of request ids that must not run again, those of open requests included.
    /// While it is reached, requests of classes that must not be repeated are shed. Default: 16,384.
    pub max_consumed_ids: usize,
    /// Maximum number of endpoints that are kept, including those that were gone a short time ago.
    /// Further ones are left out. Default: 65,536.
    pub max_endpoints: usize,
}

impl Default for CoreLimits {
    fn default() -> CoreLimits {
        CoreLimits {
            cache: IdempotencyCacheLimits::default(),
            max_consumed_ids: 16_384,
            max_endpoints: 65_536,
        }
    }
}
