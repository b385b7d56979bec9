//! The dispatcher on sockets: frontends for clients, upstream connections to endpoints, discovery,
//! and the event loop that runs the core between them.

pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod upstream;
