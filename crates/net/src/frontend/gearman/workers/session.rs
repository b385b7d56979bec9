//! The session of one worker.

use crate::frontend::gearman::outbox::Outbox;
use pumiceway_core::{
    Abilities, AttemptId, Endpoint, EndpointAddress, FunctionCatalog, Job, JobFunction,
    WorkerListing,
};
use pumiceway_decisions::api::{EndpointState, FunctionSet, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Relative size of a session: a worker runs one job at a time, while the machines of other
/// endpoints have several cores.
const RELATIVE_SIZE: f64 = 0.25;

/// An attempt that is offered to a worker, which has not grabbed it yet.
pub struct OfferedJob {
    /// The attempt.
    pub attempt: AttemptId,
    /// The function of the job.
    pub function: JobFunction,
    /// The job.
    pub job: Arc<Job>,
    /// When nobody needs its result any more.
    pub ends_by: Instant,
}

/// A job that a worker has grabbed and has not ended.
pub(super) struct RunningJob {
    /// `None` once the attempt is aborted.
    pub attempt: Option<AttemptId>,
    /// When nobody needs its result any more.
    pub ends_by: Instant,
}

/// The state of a worker session.
pub(super) struct Session {
    pub outbox: Outbox,
    /// Number in the name of the session's endpoint.
    pub endpoint_number: u64,
    pub opened_at: Timestamp,
    /// Id that the worker has set with `SET_CLIENT_ID`; `-` if it has set none.
    pub client_id: String,
    /// What the worker can do. It asks for the unique ids of its jobs by `GRAB_JOB_UNIQ`.
    pub abilities: Abilities,
    /// The worker has sent `PRE_SLEEP` and waits for a `NOOP` packet.
    pub is_sleeping: bool,
    pub offered: Option<OfferedJob>,
    /// The jobs that the worker runs, by job handle.
    pub running: HashMap<String, RunningJob>,
}

impl Session {
    pub fn new(outbox: Outbox, endpoint_number: u64, opened_at: Timestamp) -> Session {
        Session {
            outbox,
            endpoint_number,
            opened_at,
            client_id: "-".to_owned(),
            abilities: Abilities::default(),
            is_sleeping: false,
            offered: None,
            running: HashMap::new(),
        }
    }

    pub fn is_busy(&self) -> bool {
        self.offered.is_some() || !self.running.is_empty()
    }

    pub fn is_offered(&self, attempt: AttemptId) -> bool {
        self.offered
            .as_ref()
            .is_some_and(|offered| offered.attempt == attempt)
    }

    /// Describes the session as an endpoint. It is gone while the worker may run no jobs.
    pub fn endpoint(
        &self,
        session_id: u64,
        state: EndpointState,
        catalog: &FunctionCatalog,
        skips_slow_start: bool,
    ) -> Endpoint {
        let listing = catalog.listing(&self.abilities);
        let state = match listing {
            Some(_) => self.effective_state(state),
            None => EndpointState::Gone,
        };
        let WorkerListing { kind, functions } = listing.unwrap_or_else(|| WorkerListing {
            kind: catalog.kind_of_none(),
            functions: FunctionSet::default(),
        });
        Endpoint {
            name: format!("gearman:{:04}", self.endpoint_number),
            address: EndpointAddress::Session(session_id),
            zone: catalog.worker_zone(),
            kind,
            functions,
            cell: None,
            state,
            started_at: self.opened_at,
            relative_size: RELATIVE_SIZE,
            skips_slow_start,
            max_concurrent: Some(1),
        }
    }

    /// A worker that still runs an aborted job is listed as draining: the core does not know that
    /// it is busy, and the session would reject every attempt.
    fn effective_state(&self, state: EndpointState) -> EndpointState {
        let runs_aborted_job = self.running.values().any(|job| job.attempt.is_none());
        if state == EndpointState::Ready && runs_aborted_job {
            EndpointState::Draining
        } else {
            state
        }
    }

    /// The worker's line in the response to the admin command `workers`.
    pub fn admin_line(&self, session_id: u64, catalog: &FunctionCatalog) -> String {
        let functions: String = catalog
            .names_of(&self.abilities)
            .map(|name| format!(" {name}"))
            .collect();
        let peer = self.outbox.peer();
        let client_id = &self.client_id;
        format!("{session_id} {peer} {client_id} :{functions}\n")
    }
}
