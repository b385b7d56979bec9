//! Open requests and their attempts.

use super::Endpoint;
use crate::api::{ClassId, EndpointId, FunctionId, Timestamp, ZoneId};
use crate::rules::{AttemptRecord, Execution};
use std::time::Duration;

/// An open request; kept until it is done and has no attempt in flight.
pub(crate) struct Request {
    pub(crate) class: ClassId,
    /// The additional function that an endpoint needs to run it.
    pub(crate) function: Option<FunctionId>,
    /// When its client first sent it, as derived from the remaining time.
    pub(crate) started_at: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) slots: f64,
    /// In slots' worth.
    pub(crate) memory: f64,
    /// Expected work, as running time on a standard core.
    pub(crate) work_hint: Option<Duration>,
    /// The priority weight of its class, reduced where its tenant exceeds its quota.
    pub(crate) priority_weight: f64,
    pub(crate) affinity_key: Option<u64>,
    pub(crate) attempts: Vec<Attempt>,
    /// It has its final response, or its client has disconnected.
    pub(crate) is_done: bool,
    /// Number of health checks sent for it.
    pub(crate) health_checks: u32,
}

impl Request {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Its attempt in flight, if there is exactly one.
    pub(crate) fn only_attempt_in_flight(&self) -> Option<&Attempt> {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        let first = in_flight.next()?;
        in_flight.next().is_none().then_some(first)
    }
}

/// One send of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Zone of the endpoint at the time of the send. Zone and cell determine the deduplication
    /// group, even if the endpoint is listed elsewhere later.
    pub(crate) zone: ZoneId,
    /// Cell of the endpoint at the time of the send.
    cell: Option<u64>,
    pub(crate) sent_at: Timestamp,
    pub(crate) execution: Execution,
    pub(crate) has_started: bool,
    /// When it reported its start; before that, when it was sent.
    pub(crate) started_at: Timestamp,
    /// When it last reported progress; before that, when it was sent.
    pub(crate) last_heard_at: Timestamp,
    /// Its slots were released because it reported no progress for too long.
    pub(crate) is_overdue: bool,
    /// It did not report its start in time.
    pub(crate) start_was_missed: bool,
    /// How long the connections to its endpoint had been idle when it was sent.
    pub(crate) connection_idle: Duration,
}

impl Attempt {
    pub(super) fn new(
        now: Timestamp,
        id: EndpointId,
        endpoint: &Endpoint,
        connection_idle: Duration,
    ) -> Attempt {
        Attempt {
            endpoint: id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at: now,
            execution: Execution::InFlight,
            has_started: false,
            started_at: now,
            last_heard_at: now,
            is_overdue: false,
            start_was_missed: false,
            connection_idle,
        }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.execution == Execution::InFlight
    }

    /// The attempt as input for the rules.
    pub(crate) fn record(&self) -> AttemptRecord {
        AttemptRecord {
            endpoint: self.endpoint,
            zone: self.zone,
            cell: self.cell,
            sent_at: self.sent_at,
            execution: self.execution,
        }
    }
}
