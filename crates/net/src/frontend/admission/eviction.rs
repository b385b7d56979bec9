//! Which connections may be evicted to admit another one, and in which order.

use super::phase::ConnectionPhase;
use std::time::Duration;
use tokio::time::Instant;

/// Time in its phase after which a connection may be evicted while it is closing or receiving a
/// request.
const MIN_AGE_WITHOUT_REQUEST: Duration = Duration::from_millis(50);
/// Idle time after which a connection that has carried a request may be evicted.
const MIN_IDLE_AFTER_REQUEST: Duration = Duration::from_secs(1);

/// Whether a connection is evicted to admit another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eviction {
    /// The connection is not evicted.
    None,
    /// The connection gets a final response and lingers until the client has read it.
    Graceful,
    /// The connection is closed without lingering.
    Immediate,
}

/// Order of eviction: the connection with the smallest value is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionPriority {
    rank: EvictionRank,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    ClosingOrNeverUsed,
    ReceivingRequest,
    Idle,
}

impl EvictionPriority {
    /// The priority of a connection in this phase; `None` if it must not be evicted.
    pub(super) fn of(
        phase: ConnectionPhase,
        has_carried_request: bool,
        since: Instant,
        now: Instant,
    ) -> Option<EvictionPriority> {
        let (rank, min_age) = match phase {
            ConnectionPhase::Closing => (EvictionRank::ClosingOrNeverUsed, MIN_AGE_WITHOUT_REQUEST),
            // The client has sent only readiness requests.
            ConnectionPhase::Idle if !has_carried_request => {
                (EvictionRank::ClosingOrNeverUsed, Duration::ZERO)
            }
            ConnectionPhase::FirstRequest | ConnectionPhase::ReadingRequest => {
                (EvictionRank::ReceivingRequest, MIN_AGE_WITHOUT_REQUEST)
            }
            ConnectionPhase::Idle => (EvictionRank::Idle, MIN_IDLE_AFTER_REQUEST),
            ConnectionPhase::AwaitingResponse | ConnectionPhase::WritingResponse => return None,
        };
        let age = now.saturating_duration_since(since);
        (age >= min_age).then_some(EvictionPriority { rank, since })
    }
}
