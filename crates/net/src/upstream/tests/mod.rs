//! Tests of the upstream client against endpoints on loopback.

mod aborts;
mod health_checks;
mod load_reports;
mod responses;
mod reuse;
mod settings;
mod support;
mod unfinished_responses;
mod write_deadlines;
