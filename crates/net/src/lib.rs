//! The dispatcher on sockets: fronts for clients, next hops, discovery, and the shell that runs the core between them.

pub mod config;
pub mod discovery;
pub mod front;
pub mod hop;
pub mod shell;
