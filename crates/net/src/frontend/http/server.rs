//! The accept loop, which gives each connection a permit and a task of its own.
//!
//! On shutdown, the connections in the backlog of the listener are accepted too, because closing
//! the listener would reset them.

use super::connection::serve_connection;
use super::{HttpFrontend, routes};
use crate::config::SocketBudget;
use crate::frontend::admission::{Admission, AdmissionDecision};
use crate::frontend::listener::{ACCEPT_RETRY_DELAY, accept_backlog};
use crate::frontend::{CloseSignal, wait_for_close};
use axum::Router;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{error, warn};

/// Accepts connections and serves each in a task of its own.
pub(super) struct Server {
    router: Router,
    admission: Arc<Admission>,
    sockets: SocketBudget,
    closing: CloseSignal,
    /// Cloned into the task of each connection; nothing is ever sent.
    open_connections: mpsc::Sender<()>,
    /// Ends once all clones of `open_connections` are dropped.
    all_closed: mpsc::Receiver<()>,
}

impl Server {
    /// Creates a server without connections.
    pub(super) fn new(
        frontend: HttpFrontend,
        sockets: SocketBudget,
        closing: CloseSignal,
    ) -> Server {
        let (open_connections, all_closed) = mpsc::channel(1);
        Server {
            admission: Admission::new(sockets.inbound, sockets.spare, frontend.memory.clone()),
            router: routes::router(frontend),
            sockets,
            closing,
            open_connections,
            all_closed,
        }
    }

    /// Accepts connections until the frontends are to close, and then waits until the last one has ended.
    pub(super) async fn run(mut self, listener: TcpListener) {
        self.accept_until_closing(&listener).await;
        for stream in accept_backlog(listener) {
            self.spawn_connection(stream);
        }
        drop(self.open_connections);
        let _ = self.all_closed.recv().await;
    }

    async fn accept_until_closing(&self, listener: &TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(stream),
                    Err(error) => {
                        error!(frontend = "http", reason = %error, "failed to accept a connection");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                _ = wait_for_close(&mut closing) => return,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let permit = self.admission.admit(Instant::now());
        let router = self.router_for(permit.decision);
        let closing = self.closing.clone();
        let open_connection = self.open_connections.clone();
        tokio::spawn(async move {
            serve_connection(stream, router, permit, closing).await;
            drop(open_connection);
        });
    }

    /// The router for the requests of a connection; `None` if the connection is to be closed before
    /// any request.
    fn router_for(&self, decision: AdmissionDecision) -> Option<Router> {
        match decision {
            AdmissionDecision::Served => Some(self.router.clone()),
            AdmissionDecision::Overloaded => {
                warn!(
                    frontend = "http",
                    limit = self.sockets.inbound,
                    "too many connections: requests on this connection get an overload response"
                );
                Some(routes::overload_router())
            }
            AdmissionDecision::Rejected => {
                warn!(
                    frontend = "http",
                    limit = self.sockets.inbound + self.sockets.spare,
                    "too many connections: closing this connection with an overload response"
                );
                None
            }
        }
    }
}
