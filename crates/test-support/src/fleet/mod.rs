//! A deterministic simulation of a whole fleet in one process.
//!
//! Many [`Core`](pumiceway_core::Core)s share a simulated clock, simulated endpoints with slots,
//! queues and a slow start, and one endpoint list that reaches each of them with a delay of its
//! own. There is no I/O and no real time: the same [`Plan`] always has the same [`Summary`], which
//! counts over the fleet and lists each violated rule.

mod agenda;
mod attempts;
mod clients;
mod discovery;
mod effects;
mod endpoint;
mod endpoint_list;
mod faults;
mod instances;
mod plan;
mod responses;
mod settings;
mod simulation;
mod summary;
mod workload;

pub use plan::{DAYS, Day, Deployment, InjectedFault, Plan, days};
pub use settings::settings;
pub use summary::{Service, Summary};

use simulation::Simulation;
use std::time::Duration;

/// Nothing new goes to an endpoint later than this after an instance was notified, or counts as
/// notified, that the endpoint drains or is gone.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An instance counts as notified of a change this long after discovery has it.
pub const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// Plays a day of a fleet and sums it up.
pub fn play(plan: Plan) -> Summary {
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.summarize()
}

/// A span in microseconds, for ratios.
fn micros_f64(span: Duration) -> f64 {
    span.as_micros() as f64
}
