//! The dispatcher on sockets: fronts for clients, next hops, discovery, and the shell that runs the
//! core between them.

pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod upstream;
