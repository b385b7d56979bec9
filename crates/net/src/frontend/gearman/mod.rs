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
pub mod workers;

pub use outbox::Outbox;

use crate::config::{Function, GearmanConfig};
use crate::frontend::admission::{Admission, AdmissionDecision};
use crate::frontend::{CloseSignal, EventSender, wait_for_close};
use clients::JobStatuses;
use connection::AcceptedConnection;
use pumiceway_decisions::api::{ClassId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{error, warn};
use workers::WorkerSessions;

/// Delay before the next accept after one has failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The configured functions, by name.
pub struct Functions(BTreeMap<String, Function>);

impl Functions {
    /// Returns the class of a function; `None` if the function is not configured.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.get(name).map(|function| function.class)
    }

    fn get(&self, name: &str) -> Option<Function> {
        self.0.get(name).copied()
    }
}

/// Serves Gearman clients, workers and admin commands on one listener.
#[derive(Clone)]
pub struct GearmanFrontend {
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    functions: Arc<Functions>,
    workers: WorkerSessions,
    max_connections: usize,
    max_jobs: usize,
    /// Number of jobs in progress, of all clients.
    job_count: Arc<AtomicUsize>,
    statuses: JobStatuses,
}

impl GearmanFrontend {
    /// Creates a frontend that registers its workers in `workers`.
    pub fn new(
        events: EventSender,
        settings: Arc<DeploymentSettings>,
        config: GearmanConfig,
        workers: WorkerSessions,
    ) -> GearmanFrontend {
        GearmanFrontend {
            events,
            settings,
            functions: Arc::new(Functions(config.functions)),
            workers,
            max_connections: config.connections,
            max_jobs: config.jobs,
            job_count: Arc::default(),
            statuses: JobStatuses::default(),
        }
    }

    /// Accepts and serves connections until `closing` is set, then waits until all jobs of clients
    /// have their responses.
    pub async fn serve(
        self,
        listener: TcpListener,
        mut closing: CloseSignal,
        now: impl Fn() -> Timestamp,
    ) {
        let admission = Admission::new(self.max_connections, 0);
        // Nothing is sent: the channel closes once every connection has dropped its guard.
        let (shutdown_guard, mut guards) = mpsc::channel(1);
        let mut session_id = 0;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = wait_for_close(&mut closing) => break,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    error!(frontend = "gearman", reason = %error, "a connection cannot be accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let permit = admission.admit(Instant::now());
            if permit.decision != AdmissionDecision::Served {
                warn!(
                    frontend = "gearman",
                    %peer,
                    max_connections = self.max_connections,
                    "too many connections are open; closing this one"
                );
                continue;
            }
            session_id += 1;
            let accepted = AcceptedConnection {
                session_id,
                opened_at: now(),
                stream,
                peer: peer.to_string(),
                closing: closing.clone(),
                shutdown_guard: shutdown_guard.clone(),
            };
            let frontend = self.clone();
            tokio::spawn(async move {
                connection::serve(&frontend, accepted, &permit.connection).await;
                drop(permit);
            });
        }
        drop((listener, shutdown_guard));
        let _ = guards.recv().await;
    }
}
