//! What the tests of all crates share.
//!
//! [`scenario`] is a small language for exchanges with a dispatcher on loopback, and [`Peer`] one
//! side of a connection in them. [`fleet`] simulates a whole fleet in one process, and
//! [`processes`] plays faults over real processes.

pub mod fleet;
mod gearman;
mod listing;
mod peer;
pub mod processes;
pub mod scenario;

pub use gearman::run_gearman_echo_worker;
pub use listing::{endpoint_line, listing};
pub use peer::{Peer, serve_each};
pub use scenario::{SETTINGS, ScenarioRunner};
