//! The Gearman frontend.
//!
//! A connection may be that of a client, of a worker, of both, or of an operator who types admin
//! commands. The jobs of clients are requests like any other; the session of a worker is an
//! endpoint like any other.

mod admin;
mod clients;
pub mod codec;
mod connection;
mod outbox;
pub mod workers;

pub use outbox::Outbox;

use crate::config::{Function, GearmanConfig};
use crate::frontend::EventSender;
use crate::frontend::admission::{Admission, AdmissionDecision};
use crate::frontend::http::{CloseSignal, wait_for_close};
use clients::JobStatuses;
use connection::Accepted;
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

/// The time between an accept that failed, as without free descriptors, and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The functions that clients and workers may name.
pub struct Functions(BTreeMap<String, Function>);

impl Functions {
    /// The class of a function.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.get(name).map(|function| function.class)
    }

    fn get(&self, name: &str) -> Option<Function> {
        self.0.get(name).copied()
    }
}

/// The frontend.
#[derive(Clone)]
pub struct GearmanFrontend {
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    functions: Arc<Functions>,
    workers: WorkerSessions,
    max_connections: usize,
    max_jobs: usize,
    /// Jobs of all clients that are in progress.
    jobs: Arc<AtomicUsize>,
    statuses: JobStatuses,
}

impl GearmanFrontend {
    /// A frontend over these worker sessions.
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
            jobs: Arc::default(),
            statuses: JobStatuses::default(),
        }
    }

    /// Serves connections until `closing` is set, and then until the clients among them have their
    /// responses.
    pub async fn serve(
        self,
        listener: TcpListener,
        mut closing: CloseSignal,
        now: impl Fn() -> Timestamp,
    ) {
        let admission = Admission::new(self.max_connections, 0);
        let (shutdown_guard, mut all_dropped) = mpsc::channel(1);
        let mut session = 0;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_close(&mut closing) => break,
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
            session += 1;
            let accepted = Accepted {
                session,
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
        let _ = all_dropped.recv().await;
    }
}
