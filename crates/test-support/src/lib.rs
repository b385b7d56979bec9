//! Support for the tests of all crates.
//!
//! [`scenario`] is a small language for message exchanges with a dispatcher on loopback, and
//! [`Peer`] is one side of a connection in them. [`fleet`] simulates a whole fleet in one process,
//! and [`processes`] injects faults into a fleet of real processes.

pub mod fleet;
mod gearman;
mod listing;
mod peer;
pub mod processes;
pub mod scenario;

pub use gearman::{encode as encode_packet, run_gearman_echo_worker};
pub use listing::{endpoint_line, listing};
pub use peer::{Peer, serve_each};
pub use scenario::{SETTINGS, ScenarioRunner};
