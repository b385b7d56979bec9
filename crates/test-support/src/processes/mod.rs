//! A fleet of real dispatcher processes on loopback under random, overlapping faults.
//!
//! Everything around the processes is a stand-in of this crate: [`service`] is the discovery
//! service that all dispatchers share, and [`discovery`] is its interface to one dispatcher.
//! [`endpoints`] serve the jobs that [`clients`] send, and [`crowds`] of troublesome clients take
//! what they can get. [`gearman_peers`] are workers and clients of the other protocol, and
//! [`identities`] are clients whose ids or keys are those of other requests. [`memory`] watches the
//! processes. [`faults`] draws a schedule of faults from a seed and injects them, and
//! [`rule_checker`] checks the records of the endpoints and clients against the invariants.

pub mod clients;
mod conditions;
pub mod crowds;
pub mod discovery;
mod dispatcher;
pub mod endpoints;
pub mod faults;
pub mod functions;
pub mod gearman_peers;
pub mod identities;
mod identity_checks;
pub mod jobs;
pub mod lengthy;
pub mod memory;
pub mod pressure;
mod program;
pub mod returning;
pub mod rule_checker;
pub mod service;
mod test_fleet;
pub mod throttle;

pub use conditions::{Conditions, ListDelivery};
pub use dispatcher::{Dispatcher, ProcessRun, SocketExhaustion};
pub use program::{field, is_ready, serve};
pub use test_fleet::TestFleet;
