//! The network layer of the dispatcher: frontends for clients, upstream connections to endpoints,
//! discovery, and the event loop that connects them to the core.

mod body;
pub mod config;
pub mod discovery;
pub mod event_loop;
mod excerpt;
pub mod frontend;
pub mod upstream;
