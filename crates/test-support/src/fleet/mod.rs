//! A deterministic simulation of a whole fleet in one process.
//!
//! Many [`Core`](pumiceway_core::Core)s share a simulated clock, simulated endpoints with slots,
//! queues and slow start, and one endpoint list that reaches each core with its own delay. There is
//! no I/O and no real time: the same [`Plan`] always produces the same [`Summary`], which holds
//! totals over the fleet and every rule violation.

mod attempts;
mod clients;
mod discovery;
mod disruptions;
mod effects;
mod endpoint;
mod endpoint_list;
mod event_queue;
mod instances;
mod plan;
mod responses;
mod settings;
mod simulation;
mod summary;
mod workload;

pub use plan::{DISRUPTIONS, Deployment, Disruption, InjectedFault, Plan, disruptions};
pub use settings::settings;
pub use summary::{Summary, WeightTotals};

use simulation::Simulation;
use std::time::Duration;

/// An instance may start attempts at an endpoint until this long after it was notified, or counts
/// as notified, that the endpoint is draining or gone.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An instance counts as notified of a change this long after discovery received the change.
pub const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// Simulates a fleet from the start until all requests have ended, and summarizes the result.
pub fn simulate(plan: Plan) -> Summary {
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.summarize()
}

/// A duration in microseconds, for ratios.
fn micros_f64(duration: Duration) -> f64 {
    duration.as_micros() as f64
}
