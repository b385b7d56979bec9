//! The HTTP frontend: clients hand in jobs with `POST` requests, on axum and hyper.
//!
//! It reads each request into a [`ClientRequest`](pumiceway_core::ClientRequest), submits it to the
//! core, and maps the [`ClientResponse`](pumiceway_core::ClientResponse) to an HTTP response. How
//! many connections there are, and for how long, is up to [`admission`](super::admission).

mod connection;
mod request;
mod response;
mod routes;
mod server;

use super::EventSender;
use crate::config::SocketBudget;
use pumiceway_decisions::settings::DeploymentSettings;
use server::Server;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use request::{MAX_BODY_BYTES, RequestError};

/// Set once the frontends are to close.
pub type CloseSignal = watch::Receiver<bool>;

/// Waits until the frontends are to close.
pub async fn wait_for_close(closing: &mut CloseSignal) {
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

/// The HTTP frontend.
#[derive(Clone)]
pub struct HttpFrontend {
    /// Sends requests to the core.
    pub events: EventSender,
    /// The settings, for the classes and tenants that requests name.
    pub settings: Arc<DeploymentSettings>,
    /// Whether requests can be served.
    pub ready: Arc<AtomicBool>,
}

impl HttpFrontend {
    /// Serves clients until `closing` is set, and then until the last connection has ended.
    pub async fn serve(self, listener: TcpListener, sockets: SocketBudget, closing: CloseSignal) {
        Server::new(self, sockets, closing).run(listener).await;
    }
}
