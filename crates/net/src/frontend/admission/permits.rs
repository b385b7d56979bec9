//! Permits for client connections. Connections up to a limit are served, a number of spare ones get
//! only overload responses, and all others are closed at once.
//!
//! At the limit, a new connection evicts the one whose loss affects its client least. Evicted
//! connections linger until the client has read the final response. At most as many linger as there
//! are spare permits, so that a flood of new connections cannot occupy all sockets.

use super::connection::ClientConnection;
use super::eviction::Eviction;
use pumiceway_memory::{Holder, MemoryBudget};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Admits client connections to a frontend.
pub struct Admission {
    max_served: usize,
    spare: usize,
    memory: MemoryBudget,
    table: Mutex<PermitTable>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PermitId(u64);

#[derive(Default)]
struct PermitTable {
    last_id: u64,
    admitted: BTreeMap<PermitId, Arc<ClientConnection>>,
    /// Evicted and rejected connections that linger until the client has read the final response.
    /// They do not count towards the limit.
    lingering: BTreeMap<PermitId, Arc<ClientConnection>>,
}

impl PermitTable {
    fn next_id(&mut self) -> PermitId {
        self.last_id += 1;
        PermitId(self.last_id)
    }

    /// Removes the connection that is to be evicted first, if any may be evicted.
    fn remove_first_to_evict(&mut self, now: Instant) -> Option<(PermitId, Arc<ClientConnection>)> {
        let candidates = self
            .admitted
            .iter()
            .filter_map(|(&id, connection)| Some((connection.eviction_priority(now)?, id)));
        let (_, first) = candidates.min()?;
        self.admitted.remove_entry(&first)
    }

    /// Adds a lingering connection. If there are more than `max_lingering`, the oldest are closed.
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

/// How a new connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Its requests are served.
    Served,
    /// Each of its requests gets an overload response.
    Overloaded,
    /// It is closed with an overload response, before any request.
    Rejected,
}

/// The permit of a connection; released when it is dropped.
pub struct ConnectionPermit {
    admission: Arc<Admission>,
    id: PermitId,
    /// The state of the connection.
    pub connection: Arc<ClientConnection>,
    /// How the connection is handled.
    pub decision: AdmissionDecision,
}

impl Admission {
    /// Creates permits for `max_served` connections, and for `spare` more that get only overload
    /// responses. The connections draw their memory from this budget.
    pub fn new(max_served: usize, spare: usize, memory: MemoryBudget) -> Arc<Admission> {
        Arc::new(Admission {
            max_served,
            spare,
            memory,
            table: Mutex::default(),
        })
    }

    fn table(&self) -> MutexGuard<'_, PermitTable> {
        self.table
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Number of connections that hold a permit.
    #[cfg(test)]
    pub(super) fn admitted(&self) -> usize {
        self.table().admitted.len()
    }

    /// Decides how to handle a new connection. At the limit, another connection is evicted for it
    /// if possible.
    pub fn admit(self: &Arc<Admission>, now: Instant) -> ConnectionPermit {
        let mut table = self.table();
        if table.admitted.len() >= self.max_served {
            self.evict_one(&mut table, now);
        }
        let decision = self.decision(table.admitted.len());
        let id = table.next_id();
        let account = self.memory.open(Holder::Connection, now.into_std());
        let connection = Arc::new(ClientConnection::new(now, account));
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
