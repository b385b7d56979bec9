//! Settings of three different deployments, each with one class per kind of idempotency.

use super::{MS, class, settings};
use pumiceway_decisions::api::{
    Class, DeduplicationScope, Idempotency, LoadReportSource, Settings,
};
use std::time::Duration;

/// Index of the idempotent class.
pub const IDEMPOTENT: usize = 0;
/// Index of the class with idempotency keys.
pub const KEYED: usize = 1;
/// Index of the non-idempotent class.
pub const NON_IDEMPOTENT: usize = 2;

/// The settings in which the deployments differ.
struct Variant {
    scope: DeduplicationScope,
    deduplication_window_ms: u32,
    /// Deadlines of the idempotent, the keyed and the non-idempotent class.
    deadlines_ms: [u32; 3],
    max_attempts: usize,
    /// `None`: overload responses carry no back-off.
    max_retry_after_ms: Option<u32>,
    cancellation: bool,
}

impl Variant {
    fn settings(self) -> Settings {
        let window = self.deduplication_window_ms * MS;
        let keyed = Idempotency::Keyed {
            scope: self.scope,
            window,
        };
        let kinds = [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent];
        let class_with = |(idempotency, deadline_ms): (Idempotency, u32)| {
            let deadline: Duration = deadline_ms * MS;
            Class {
                latency_objective: deadline,
                deadline,
                ..class(idempotency)
            }
        };
        Settings {
            classes: kinds
                .into_iter()
                .zip(self.deadlines_ms)
                .map(class_with)
                .collect(),
            health_checks: false,
            load_reports: LoadReportSource::None,
            hedging: false,
            retry_after: self.max_retry_after_ms.is_some(),
            max_retry_after: self.max_retry_after_ms.unwrap_or(0) * MS,
            max_attempts: self.max_attempts,
            cancellation: self.cancellation,
            ..settings(Idempotency::Idempotent)
        }
    }
}

/// The settings of the deployments: deadlines from 0.3 to 20 s, deduplication windows from 0.8 to
/// 7.5 s with each scope, 1 to 6 attempts, and with and without back-off and cancellation.
pub fn deployments() -> [Settings; 3] {
    [
        Variant {
            scope: DeduplicationScope::All,
            deduplication_window_ms: 800,
            deadlines_ms: [300, 2_000, 1_000],
            max_attempts: 1,
            max_retry_after_ms: Some(500),
            cancellation: true,
        },
        Variant {
            scope: DeduplicationScope::Zone,
            deduplication_window_ms: 7_500,
            deadlines_ms: [5_000, 5_000, 15_000],
            max_attempts: 3,
            max_retry_after_ms: None,
            cancellation: false,
        },
        Variant {
            scope: DeduplicationScope::Cell,
            deduplication_window_ms: 2_000,
            deadlines_ms: [20_000, 20_000, 20_000],
            max_attempts: 6,
            max_retry_after_ms: Some(2_000),
            cancellation: true,
        },
    ]
    .map(Variant::settings)
}
