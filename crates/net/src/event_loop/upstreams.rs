//! The HTTP clients for all endpoints and the socket limit that they share.

use crate::config::SocketBudget;
use crate::upstream::{PoolSettings, UpstreamClient};
use pumiceway_decisions::api::{EndpointId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_memory::MemoryBudget;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// When no socket is free, the idle connections of one in this many endpoints without an attempt in
/// flight are closed.
const EVICTION_DIVISOR: usize = 4;

/// The HTTP clients for all endpoints.
pub(super) struct Upstreams {
    pool: PoolSettings,
    clients: HashMap<EndpointId, PooledClient>,
    /// Holds one permit per socket to an endpoint.
    sockets: Arc<Semaphore>,
    max_sockets: usize,
    /// From which responses draw their memory.
    memory: MemoryBudget,
}

struct PooledClient {
    client: UpstreamClient,
    last_used_at: Timestamp,
}

impl Upstreams {
    pub(super) fn new(
        settings: &DeploymentSettings,
        sockets: &SocketBudget,
        memory: MemoryBudget,
    ) -> Upstreams {
        Upstreams {
            pool: PoolSettings::new(settings, sockets),
            clients: HashMap::new(),
            sockets: Arc::new(Semaphore::new(sockets.outbound)),
            max_sockets: sockets.outbound,
            memory,
        }
    }

    /// The maximum number of sockets to all endpoints together.
    pub(super) fn max_sockets(&self) -> usize {
        self.max_sockets
    }

    /// The number of endpoints that have a client.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.clients.len()
    }

    /// The number of sockets that are not in use.
    #[cfg(test)]
    pub(super) fn free_sockets(&self) -> usize {
        self.sockets.available_permits()
    }

    /// Returns the client for an endpoint, creating one if there is none or its address has
    /// changed.
    pub(super) fn client(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        address: &str,
    ) -> UpstreamClient {
        let Upstreams {
            pool,
            clients,
            sockets,
            memory,
            ..
        } = self;
        let new = || UpstreamClient::new(address, *pool, sockets, memory);
        let pooled = clients.entry(endpoint).or_insert_with(|| PooledClient {
            client: new(),
            last_used_at: now,
        });
        if pooled.client.address() != address {
            pooled.client = new();
        }
        pooled.last_used_at = now;
        pooled.client.clone()
    }

    /// Drops the client for an endpoint, which closes its idle connections.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId) {
        self.clients.remove(&endpoint);
    }

    /// Ensures that a socket is free or is about to be. If there is none, the least recently used
    /// quarter of the endpoints that are not in `busy` loses its idle connections. Returns false only
    /// if no socket is free and there is no such endpoint.
    pub(super) fn ensure_free_socket(&mut self, busy: &HashSet<EndpointId>) -> bool {
        if self.sockets.available_permits() > 0 {
            return true;
        }
        let idle = self
            .clients
            .iter()
            .filter(|(endpoint, _)| !busy.contains(endpoint));
        let mut idle: Vec<_> = idle
            .map(|(&endpoint, pooled)| (pooled.last_used_at, endpoint))
            .collect();
        idle.sort_unstable();
        for (_, endpoint) in idle.iter().take(idle.len().div_ceil(EVICTION_DIVISOR)) {
            self.clients.remove(endpoint);
        }
        !idle.is_empty()
    }
}
