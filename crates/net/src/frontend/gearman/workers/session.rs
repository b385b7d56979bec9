//! The session of one worker.

use super::SessionKinds;
use crate::frontend::gearman::outbox::Outbox;
use pumiceway_core::{AttemptId, Endpoint, EndpointAddress, Job};
use pumiceway_decisions::api::{ClassId, EndpointState, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Relative size of a session: a worker runs one job at a time, while the machines of other
/// endpoints have several cores.
const RELATIVE_SIZE: f64 = 0.25;

/// An attempt that is offered to a worker, which has not grabbed it yet.
pub(super) struct OfferedJob {
    pub attempt: AttemptId,
    pub class: ClassId,
    pub job: Arc<Job>,
}

/// The state of a worker session.
pub(super) struct Session {
    pub outbox: Outbox,
    /// Number in the name of the session's endpoint.
    pub endpoint_number: u64,
    pub opened_at: Timestamp,
    /// Id that the worker has set with `SET_CLIENT_ID`; `-` if it has set none.
    pub client_id: String,
    /// Names of the functions that the worker can do, by the index of their class.
    pub abilities: BTreeMap<usize, String>,
    /// The worker asks for the unique ids of its jobs, by `GRAB_JOB_UNIQ`; supposed until it does not.
    pub takes_unique_ids: bool,
    /// The worker has sent `PRE_SLEEP` and waits for a `NOOP` packet.
    pub is_sleeping: bool,
    pub offered: Option<OfferedJob>,
    /// The attempts whose jobs the worker runs, by job handle; `None` once the attempt is aborted.
    pub running: HashMap<String, Option<AttemptId>>,
}

impl Session {
    pub fn new(outbox: Outbox, endpoint_number: u64, opened_at: Timestamp) -> Session {
        Session {
            outbox,
            endpoint_number,
            opened_at,
            client_id: "-".to_owned(),
            abilities: BTreeMap::new(),
            takes_unique_ids: true,
            is_sleeping: false,
            offered: None,
            running: HashMap::new(),
        }
    }

    pub fn can_do(&self, class: ClassId) -> bool {
        self.abilities.contains_key(&class.0)
    }

    /// Whether the worker may be given jobs of a class that it can do. Those with idempotency keys are
    /// only for workers that are told the key: others would run a repeat again.
    pub fn may_run(&self, class: ClassId, kinds: &SessionKinds) -> bool {
        self.can_do(class) && (self.takes_unique_ids || !kinds.is_keyed(class))
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
        kinds: &SessionKinds,
        skips_slow_start: bool,
    ) -> Endpoint {
        let classes = self.abilities.keys().map(|&class| ClassId(class));
        let kind = kinds.kind_of(classes.filter(|&class| self.may_run(class, kinds)));
        Endpoint {
            name: format!("gearman:{:04}", self.endpoint_number),
            address: EndpointAddress::Session(session_id),
            zone: kinds.zone(),
            kind: kind.unwrap_or(kinds.placeholder()),
            cell: None,
            state: if kind.is_some() {
                self.effective_state(state)
            } else {
                EndpointState::Gone
            },
            started_at: self.opened_at,
            relative_size: RELATIVE_SIZE,
            skips_slow_start,
            max_concurrent: Some(1),
        }
    }

    /// A worker that still runs an aborted job is listed as draining: the core does not know that
    /// it is busy, and the session would reject every attempt.
    fn effective_state(&self, state: EndpointState) -> EndpointState {
        let runs_aborted_job = self.running.values().any(Option::is_none);
        if state == EndpointState::Ready && runs_aborted_job {
            EndpointState::Draining
        } else {
            state
        }
    }

    /// The worker's line in the response to the admin command `workers`.
    pub fn admin_line(&self, session_id: u64) -> String {
        let functions: String = self
            .abilities
            .values()
            .map(|function| format!(" {function}"))
            .collect();
        let peer = self.outbox.peer();
        let client_id = &self.client_id;
        format!("{session_id} {peer} {client_id} :{functions}\n")
    }
}
