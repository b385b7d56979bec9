//! Classes of request and the tenants that send them.

use super::{KindId, ZoneId};
use serde::Deserialize;
use std::time::Duration;

/// A tenant that shares the endpoints with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within its quota, over all dispatchers together.
    pub quota_per_second: f64,
}

/// The endpoints that recognise and drop a repeat of a request with an idempotency key.
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

/// What running a request of a class twice may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// A repeat is dropped by the endpoints of `scope`, for `window` from the first attempt that
    /// may have run.
    Keyed {
        /// The endpoints that drop a repeat.
        scope: DeduplicationScope,
        /// How long they remember the key.
        window: Duration,
    },
    /// A request must never run twice.
    NonIdempotent,
}

/// A class of request: its value, its objective and its constraints.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// A response within this time, plus `objective_stretch` times the request's own work, meets
    /// the objective.
    pub latency_objective: Duration,
    /// The share of the request's own work by which the objective grows.
    pub objective_stretch: f64,
    /// How long a client waits for its response, over all its attempts.
    pub deadline: Duration,
    /// Endpoints that order their queue by priority start the highest first; 0 for all where they
    /// do not.
    pub queue_priority: u32,
    /// How long a request may be queued here; `None`: for as long as it is believed to meet its
    /// objective.
    pub max_queue_time: Option<Duration>,
    /// The only zones that may serve the class; `None`: any. An empty list allows none.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// The only machine kinds that may serve the class; `None`: any. An empty list allows none.
    pub allowed_kinds: Option<Vec<KindId>>,
}

impl Class {
    /// Whether an endpoint of this zone and kind may serve the class.
    pub fn allows(&self, zone: ZoneId, kind: KindId) -> bool {
        self.allowed_zones
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&zone))
            && self
                .allowed_kinds
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&kind))
    }
}
