//! A fleet of real dispatcher processes on loopback under random, overlapping faults, judged by the
//! invariants.
//!
//! Everything around the processes is a stand-in of this crate: [`service`] is the discovery
//! service that all share, and [`discovery`] what one dispatcher sees of it; [`endpoints`] serve
//! the jobs that [`clients`] send. [`faults`] draws a schedule from a seed and plays it, and
//! [`judge`] checks what the endpoints and the clients have seen.

pub mod clients;
mod conditions;
pub mod discovery;
mod dispatcher;
pub mod endpoints;
pub mod faults;
pub mod judge;
mod program;
pub mod service;
mod world;

pub use conditions::{Conditions, Lists};
pub use dispatcher::{CrowdedTime, Dispatcher, ProcessRun};
pub use program::{field, is_ready, serve};
pub use world::World;
