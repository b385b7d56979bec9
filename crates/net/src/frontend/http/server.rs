//! The accept loop: each connection gets a permit and a task of its own.
//!
//! On shutdown the connections that the operating system has already accepted are served too, as
//! closing the listener would reset them.

use super::connection::serve_connection;
use super::{CloseSignal, HttpFrontend, routes, wait_for_close};
use crate::config::SocketBudget;
use crate::frontend::admission::{Admission, AdmissionDecision};
use axum::Router;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{error, warn};

/// Pause after a failed accept, which for want of descriptors would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections that the system has accepted and that are taken over at the shutdown, at most.
const MAX_ACCEPTED_ON_CLOSE: usize = 1_024;

/// Accepts connections and serves them.
pub(super) struct Server {
    router: Router,
    admission: Arc<Admission>,
    sockets: SocketBudget,
    closing: CloseSignal,
    /// Each connection holds a clone for as long as it is open.
    open_connections: mpsc::Sender<()>,
    all_closed: mpsc::Receiver<()>,
}

impl Server {
    /// A server without connections.
    pub(super) fn new(
        frontend: HttpFrontend,
        sockets: SocketBudget,
        closing: CloseSignal,
    ) -> Server {
        let (open_connections, all_closed) = mpsc::channel(1);
        Server {
            router: routes::router(frontend),
            admission: Admission::new(sockets.inbound, sockets.spare),
            sockets,
            closing,
            open_connections,
            all_closed,
        }
    }

    /// Serves connections until `closing` is set, and then until the last of them has ended.
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
                        error!(frontend = "http", reason = %error, "cannot accept a connection");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = wait_for_close(&mut closing) => return,
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

    /// What serves the requests of a connection; `None` if it is to be closed before any.
    fn router_for(&self, room: AdmissionDecision) -> Option<Router> {
        match room {
            AdmissionDecision::Served => Some(self.router.clone()),
            AdmissionDecision::Overloaded => {
                warn!(
                    frontend = "http",
                    limit = self.sockets.inbound,
                    "too many connections: requests on this one get an overload response"
                );
                Some(routes::overload_router())
            }
            AdmissionDecision::Rejected => {
                warn!(
                    frontend = "http",
                    limit = self.sockets.inbound + self.sockets.spare,
                    "too many connections: this one is closed with an overload response"
                );
                None
            }
        }
    }
}

/// Accepts the connections that wait in the backlog of the listener, and closes it.
fn accept_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    std::iter::from_fn(|| listener.accept().ok())
        .take(MAX_ACCEPTED_ON_CLOSE)
        .filter_map(|(stream, _)| into_tokio(stream))
        .collect()
}

fn into_tokio(stream: std::net::TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
