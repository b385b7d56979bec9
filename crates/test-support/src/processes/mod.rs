//! A fleet of real dispatcher processes on loopback under random, overlapping faults, judged by the
//! invariants.
//!
//! Everything around the processes is a stand-in of this crate: [`service`] is the discovery
//! service that all share, and [`discovery`] what one dispatcher sees of it; [`endpoints`] serve
//! the jobs that [`clients`] send. [`faults`] draws a schedule from a seed and plays it, and
//! [`rule_checker`] checks what the endpoints and the clients have seen.

pub mod clients;
mod conditions;
pub mod discovery;
mod dispatcher;
pub mod endpoints;
pub mod faults;
mod program;
pub mod rule_checker;
pub mod service;
mod test_fleet;

pub use conditions::{Conditions, ListDelivery};
pub use dispatcher::{CrowdedTime, Dispatcher, ProcessRun};
pub use program::{field, is_ready, serve};
pub use test_fleet::TestFleet;
