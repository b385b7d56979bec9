//! The HTTP frontend, based on axum and hyper, to which clients submit jobs with `POST` requests.
//!
//! It parses each request into a [`ClientRequest`](pumiceway_core::ClientRequest), submits it to
//! the core, and maps the [`ClientResponse`](pumiceway_core::ClientResponse) to an HTTP response.
//! The number of connections and their timeouts are controlled by [`admission`](super::admission).

mod connection;
mod request;
mod response;
mod routes;
mod server;

use super::{CloseSignal, EventSender};
use crate::config::SocketBudget;
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_memory::MemoryBudget;
use server::Server;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::net::TcpListener;

pub use request::{MAX_BODY_BYTES, RequestError};

/// The HTTP frontend.
#[derive(Clone)]
pub struct HttpFrontend {
    /// Sends requests to the core.
    pub events: EventSender,
    /// The settings, which define the classes and tenants of requests.
    pub settings: Arc<DeploymentSettings>,
    /// Whether requests can be served; reported by the readiness route.
    pub ready: Arc<AtomicBool>,
    /// From which connections and requests draw their memory.
    pub memory: MemoryBudget,
}

impl HttpFrontend {
    /// Accepts connections until the frontends are to close, and then serves the open ones until the last has
    /// ended.
    pub async fn serve(self, listener: TcpListener, sockets: SocketBudget, closing: CloseSignal) {
        Server::new(self, sockets, closing).run(listener).await;
    }
}
