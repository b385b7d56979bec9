//! The session of one worker.

use super::SessionKinds;
use crate::frontend::gearman::outbox::Outbox;
use pumiceway_core::{AttemptId, Endpoint, EndpointAddress, Job};
use pumiceway_decisions::api::{ClassId, EndpointState, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The relative size of a session: a worker for one job at a time, beside machines of several
/// cores.
const RELATIVE_SIZE: f64 = 0.25;

/// An attempt that the worker is to grab.
pub(super) struct OfferedJob {
    pub attempt: AttemptId,
    pub class: ClassId,
    pub job: Arc<Job>,
}

pub(super) struct Session {
    pub outbox: Outbox,
    /// The number in the endpoint's name.
    pub endpoint_number: u64,
    pub opened_at: Timestamp,
    /// The name that the worker gives itself.
    pub client_id: String,
    /// The classes of its functions, and their names.
    pub abilities: BTreeMap<usize, String>,
    /// The worker sleeps until it is woken with a NOOP packet.
    pub is_sleeping: bool,
    pub offered: Option<OfferedJob>,
    /// The jobs that the worker runs, by handle; `None` once the attempt was aborted.
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
            is_sleeping: false,
            offered: None,
            running: HashMap::new(),
        }
    }

    pub fn can_do(&self, class: ClassId) -> bool {
        self.abilities.contains_key(&class.0)
    }

    pub fn is_busy(&self) -> bool {
        self.offered.is_some() || !self.running.is_empty()
    }

    pub fn is_offered(&self, attempt: AttemptId) -> bool {
        self.offered
            .as_ref()
            .is_some_and(|offered| offered.attempt == attempt)
    }

    /// The session as an endpoint.
    pub fn endpoint(
        &self,
        session: u64,
        state: EndpointState,
        kinds: &SessionKinds,
        skips_slow_start: bool,
    ) -> Endpoint {
        let kind = kinds.of(self.abilities.keys().map(|&class| ClassId(class)));
        Endpoint {
            name: format!("gearman:{:04}", self.endpoint_number),
            address: EndpointAddress::Session(session),
            zone: kinds.zone(),
            kind: kind.unwrap_or(kinds.any()),
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

    /// A worker that still runs an aborted job drains: only the session knows that it is busy, and
    /// would reject every attempt.
    fn effective_state(&self, state: EndpointState) -> EndpointState {
        let runs_aborted_job = self.running.values().any(Option::is_none);
        if state == EndpointState::Ready && runs_aborted_job {
            EndpointState::Draining
        } else {
            state
        }
    }

    /// The line of the admin command `workers`.
    pub fn line(&self, session: u64) -> String {
        let functions: String = self
            .abilities
            .values()
            .map(|function| format!(" {function}"))
            .collect();
        let peer = self.outbox.peer();
        let client_id = &self.client_id;
        format!("{session} {peer} {client_id} :{functions}\n")
    }
}
