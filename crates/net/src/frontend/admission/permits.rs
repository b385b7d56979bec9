//! The permits of client connections: up to a limit they are served, some more get only an overload
//! response, and the others are closed at once.
//!
//! At the limit a new connection evicts the one that is easiest to miss. Evicted connections still
//! linger for their final response; no more of them than there are spare permits, so that a flood
//! of new connections cannot hold sockets.

use super::connection::{ClientConnection, Eviction};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// The client connections of a frontend.
pub struct Admission {
    max_served: usize,
    spare: usize,
    table: Mutex<PermitTable>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PermitId(u64);

#[derive(Default)]
struct PermitTable {
    last_id: u64,
    admitted: BTreeMap<PermitId, Arc<ClientConnection>>,
    /// Connections that no longer count, or never did, and linger for their final response.
    lingering: BTreeMap<PermitId, Arc<ClientConnection>>,
}

impl PermitTable {
    fn next_id(&mut self) -> PermitId {
        self.last_id += 1;
        PermitId(self.last_id)
    }

    /// Takes the permit of the connection that is to be evicted first, if any may be.
    fn remove_first_to_evict(&mut self, now: Instant) -> Option<(PermitId, Arc<ClientConnection>)> {
        let candidates = self
            .admitted
            .iter()
            .filter_map(|(&id, connection)| Some((connection.eviction_priority(now)?, id)));
        let (_, first) = candidates.min()?;
        self.admitted.remove_entry(&first)
    }

    /// Lets a connection linger; beyond the limit, the oldest ones no longer do.
    fn linger(&mut self, id: PermitId, connection: Arc<ClientConnection>, max_lingering: usize) {
        self.lingering.insert(id, connection);
        while self.lingering.len() > max_lingering {
            let Some((_, oldest)) = self.lingering.pop_first() else {
                return;
            };
            oldest.evict(Eviction::Immediate);
        }
    }
}

/// What a new connection is admitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Its requests are served.
    Served,
    /// Each of its requests gets an overload response.
    Overloaded,
    /// It gets an overload response before any request, and is closed.
    Rejected,
}

/// The permit of a connection. Dropped, it is free for another.
pub struct ConnectionPermit {
    admission: Arc<Admission>,
    id: PermitId,
    /// The state of the connection.
    pub connection: Arc<ClientConnection>,
    /// What the connection is admitted to.
    pub decision: AdmissionDecision,
}

impl Admission {
    /// Permits for `max_served` connections, and for `spare` more that get only an overload
    /// response.
    pub fn new(max_served: usize, spare: usize) -> Arc<Admission> {
        Arc::new(Admission {
            max_served,
            spare,
            table: Mutex::default(),
        })
    }

    fn table(&self) -> MutexGuard<'_, PermitTable> {
        self.table
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Number of connections that have a permit.
    #[cfg(test)]
    pub(super) fn admitted(&self) -> usize {
        self.table().admitted.len()
    }

    /// Admits a new connection, and evicts another for it if that is needed and possible.
    pub fn admit(self: &Arc<Admission>, now: Instant) -> ConnectionPermit {
        let mut table = self.table();
        if table.admitted.len() >= self.max_served {
            self.evict_one(&mut table, now);
        }
        let decision = self.decision(table.admitted.len());
        let id = table.next_id();
        let connection = Arc::new(ClientConnection::new(now));
        if decision == AdmissionDecision::Rejected {
            table.linger(id, connection.clone(), self.spare);
        } else {
            table.admitted.insert(id, connection.clone());
        }
        ConnectionPermit {
            admission: self.clone(),
            id,
            connection,
            decision,
        }
    }

    fn evict_one(&self, table: &mut PermitTable, now: Instant) {
        if let Some((id, connection)) = table.remove_first_to_evict(now) {
            connection.evict(Eviction::Graceful);
            table.linger(id, connection, self.spare);
        }
    }

    fn decision(&self, admitted: usize) -> AdmissionDecision {
        if admitted < self.max_served {
            AdmissionDecision::Served
        } else if admitted < self.max_served + self.spare {
            AdmissionDecision::Overloaded
        } else {
            AdmissionDecision::Rejected
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut table = self.admission.table();
        table.admitted.remove(&self.id);
        table.lingering.remove(&self.id);
    }
}
