//! The Gearman frontend.
//!
//! A connection may belong to a client, a worker, both, or an operator who types admin commands.
//! The core treats the jobs of clients like the requests of every other frontend, and the sessions
//! of workers like every other endpoint.

mod admin;
mod clients;
pub mod codec;
mod connection;
mod input;
mod input_end;
mod outbox;
mod payload;
mod turn;
pub mod workers;

pub use outbox::Outbox;

use crate::config::{Function, GearmanConfig};
use crate::frontend::admission::{Admission, AdmissionDecision};
use crate::frontend::listener::{ACCEPT_RETRY_DELAY, accept_backlog};
use crate::frontend::{CloseSignal, EventSender, wait_for_close};
use clients::JobStatuses;
use connection::{AcceptedConnection, ShutdownGuard};
use pumiceway_decisions::api::Timestamp;
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_memory::MemoryBudget;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{error, warn};
use workers::WorkerSessions;

/// Number of connections over the limit, or evicted, that linger until the peer has read why.
pub const SPARE_CONNECTIONS: usize = 4;

/// Serves Gearman clients, workers and admin commands on one listener.
#[derive(Clone)]
pub struct GearmanFrontend {
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    /// The configured functions, by name.
    functions: Arc<BTreeMap<String, Function>>,
    workers: WorkerSessions,
    max_connections: usize,
    max_jobs: usize,
    /// Number of jobs in progress, of all clients.
    job_count: Arc<AtomicUsize>,
    statuses: JobStatuses,
    memory: MemoryBudget,
}

impl GearmanFrontend {
    /// Creates a frontend that registers its workers in `workers` and draws memory from `memory`.
    pub fn new(
        events: EventSender,
        settings: Arc<DeploymentSettings>,
        config: GearmanConfig,
        workers: WorkerSessions,
        memory: MemoryBudget,
    ) -> GearmanFrontend {
        GearmanFrontend {
            events,
            settings,
            functions: Arc::new(config.functions),
            workers,
            max_connections: config.connections,
            max_jobs: config.jobs,
            job_count: Arc::default(),
            statuses: JobStatuses::default(),
            memory,
        }
    }

    /// Accepts and serves connections until the frontends are to close, then waits until all jobs of
    /// clients have their responses.
    pub async fn serve(
        self,
        listener: TcpListener,
        closing: CloseSignal,
        now: impl Fn() -> Timestamp,
    ) {
        // Nothing is sent: the channel closes once every connection has dropped its guard.
        let (shutdown_guard, mut guards) = mpsc::channel(1);
        let mut acceptor = Acceptor {
            admission: Admission::new(self.max_connections, SPARE_CONNECTIONS, self.memory.clone()),
            frontend: self,
            closing,
            now,
            shutdown_guard,
            last_session_id: 0,
        };
        acceptor.accept_until_closing(&listener).await;
        for stream in accept_backlog(listener) {
            acceptor.spawn_connection(stream);
        }
        drop(acceptor);
        let _ = guards.recv().await;
    }
}

/// Accepts connections, and gives each a task of its own.
struct Acceptor<Now> {
    frontend: GearmanFrontend,
    admission: Arc<Admission>,
    closing: CloseSignal,
    now: Now,
    shutdown_guard: ShutdownGuard,
    last_session_id: u64,
}

impl<Now: Fn() -> Timestamp> Acceptor<Now> {
    async fn accept_until_closing(&mut self, listener: &TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = wait_for_close(&mut closing) => return,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(error) => {
                    error!(frontend = "gearman", reason = %error, "a connection cannot be accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn_connection(&mut self, stream: TcpStream) {
        let peer = stream
            .peer_addr()
            .map_or_else(|_| "unknown".to_owned(), |peer| peer.to_string());
        let permit = self.admission.admit(Instant::now());
        let shutdown_guard = self.shutdown_guard.clone();
        if permit.decision != AdmissionDecision::Served {
            warn!(
                frontend = "gearman",
                peer,
                max_connections = self.frontend.max_connections,
                "too many connections are open; closing this one"
            );
            tokio::spawn(async move {
                connection::reject(&stream, &permit.connection).await;
                drop((permit, shutdown_guard));
            });
            return;
        }
        self.last_session_id += 1;
        let accepted = AcceptedConnection {
            session_id: self.last_session_id,
            opened_at: (self.now)(),
            stream,
            peer,
            closing: self.closing.clone(),
            shutdown_guard,
        };
        let frontend = self.frontend.clone();
        tokio::spawn(async move {
            connection::serve(&frontend, accepted, &permit.connection).await;
            drop(permit);
        });
    }
}
