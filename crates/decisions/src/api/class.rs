//! Request classes and tenants.

use super::{KindId, ZoneId};
use serde::Deserialize;
use std::time::Duration;

/// A tenant: a group of clients with a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all dispatchers together.
    pub quota_per_second: f64,
}

/// The endpoints that detect and drop a repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// The effect of running a request of a class more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// A repeat is dropped by the endpoints of `scope`, for `window` from the first attempt that
    /// may have run.
    Keyed {
        /// The endpoints that drop a repeat.
        scope: DeduplicationScope,
        /// How long they store the key.
        window: Duration,
    },
    /// A request must not run twice.
    NonIdempotent,
}

/// A class of requests with the same value, objectives and constraints.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The effect of a repeat.
    pub idempotency: Idempotency,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The latency objective: a response within this time, plus `objective_stretch` times the
    /// request's own work, meets it.
    pub latency_objective: Duration,
    /// Multiple of the request's own work that is added to the latency objective.
    pub objective_stretch: f64,
    /// How long a client waits for its response, over all its attempts.
    pub deadline: Duration,
    /// Priority in the queue of an endpoint; the highest starts first. 0 for all classes if
    /// endpoints do not order their queues by priority.
    pub queue_priority: u32,
    /// How long a request may be queued by the dispatcher; `None`: as long as it is expected to
    /// meet its objective.
    pub max_queue_time: Option<Duration>,
    /// The zones that may serve the class; `None` for all. An empty list allows none.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// The machine kinds that may serve the class; `None` for all. An empty list allows none.
    pub allowed_kinds: Option<Vec<KindId>>,
}

impl Class {
    /// Whether an endpoint of this zone may serve the class, if its kind or its functions allow it.
    pub fn allows_zone(&self, zone: ZoneId) -> bool {
        self.allowed_zones
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&zone))
    }

    /// Whether an endpoint of this zone and kind may serve the class. Requests of its additional
    /// functions are served by the endpoints that list the function instead, whatever their kind.
    pub fn allows(&self, zone: ZoneId, kind: KindId) -> bool {
        self.allows_zone(zone)
            && self
                .allowed_kinds
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&kind))
    }
}
