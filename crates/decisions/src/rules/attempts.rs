//! Whether a request may be sent, sent again or shed. To shed a request invites its client to
//! retry, so it is permitted only if a retry by the client is harmless.

use super::Denial;
use crate::api::{
    ClassId, DeduplicationScope, EndpointId, Idempotency, Settings, Timestamp, ZoneId,
};

/// What is known about the effect of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It has no outcome yet.
    InFlight,
    /// It provably had no effect.
    NeverRan,
    /// It may have had an effect.
    MayHaveRun,
}

/// The facts about an attempt that the rules depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Zone of the endpoint at that time.
    pub zone: ZoneId,
    /// Cell of the endpoint at that time.
    pub cell: Option<u64>,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// What is known about its effect.
    pub execution: Execution,
}

/// The endpoints that recognise a further attempt of a request as a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeduplicationGroup {
    scope: DeduplicationScope,
    /// The first attempt that may have run.
    first: AttemptRecord,
}

impl DeduplicationGroup {
    /// Whether an endpoint in this zone and cell belongs to the group.
    pub fn contains(&self, zone: ZoneId, cell: Option<u64>) -> bool {
        match self.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => zone == self.first.zone,
            DeduplicationScope::Cell => cell.is_some() && cell == self.first.cell,
        }
    }
}

/// What the rules permit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permission {
    /// Whether it may be shed, because a retry by its client would be harmless.
    pub may_shed: bool,
    /// Whether it may be sent (again). `Ok(None)`: to any endpoint; `Ok(Some(_))`: only to those
    /// that recognise a repeat.
    pub send: Result<Option<DeduplicationGroup>, Denial>,
}

impl Permission {
    /// Checks whether it may be sent to an endpoint in this zone and cell.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn check_endpoint(&self, zone: ZoneId, cell: Option<u64>) -> Result<(), Denial> {
        match self.send? {
            Some(group) if !group.contains(zone, cell) => Err(Denial::MayHaveRun),
            _ => Ok(()),
        }
    }
}

/// Returns what the rules permit for a request of this class, after these attempts.
pub fn attempt_permission(
    now: Timestamp,
    settings: &Settings,
    class: ClassId,
    attempts: impl Iterator<Item = AttemptRecord>,
) -> Permission {
    let mut count = 0;
    let mut in_flight = 0;
    let mut first_possible_run = None;
    for attempt in attempts {
        count += 1;
        in_flight += usize::from(attempt.execution == Execution::InFlight);
        if attempt.execution != Execution::NeverRan {
            first_possible_run = first_possible_run.or(Some(attempt));
        }
    }
    let max_in_flight = 1 + usize::from(settings.hedging);
    let exhausted = count >= settings.max_attempts || in_flight >= max_in_flight;
    let another_attempt = if exhausted {
        Err(Denial::NoFurtherAttempt)
    } else {
        Ok(None)
    };
    match (first_possible_run, settings.classes[class.0].idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => Permission {
            may_shed: true,
            send: another_attempt,
        },
        (Some(_), Idempotency::NonIdempotent) => Permission {
            may_shed: false,
            send: Err(Denial::MayHaveRun),
        },
        (Some(first), Idempotency::Keyed { scope, window }) => {
            // A repeat has to arrive within the window, and setting up its connection may take up
            // to the connect timeout.
            let in_window = now + settings.connect_timeout < first.sent_at + window;
            let send = if in_window {
                another_attempt.map(|_| Some(DeduplicationGroup { scope, first }))
            } else {
                Err(Denial::MayHaveRun)
            };
            Permission {
                may_shed: scope == DeduplicationScope::All,
                send,
            }
        }
    }
}
