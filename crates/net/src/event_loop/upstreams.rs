//! The HTTP clients of all endpoints, and the sockets that they share.

use crate::config::SocketBudget;
use crate::upstream::{PoolSettings, UpstreamClient};
use pumiceway_decisions::api::{EndpointId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Where no socket is left, one in this many of the endpoints without an attempt in flight lose
/// their idle connections at a time.
const EVICTED_DIVISOR: usize = 4;

/// The clients of all endpoints.
pub(super) struct Upstreams {
    pool: PoolSettings,
    clients: HashMap<EndpointId, PooledClient>,
    /// A permit for each socket to an endpoint.
    sockets: Arc<Semaphore>,
    max_sockets: usize,
}

struct PooledClient {
    client: UpstreamClient,
    last_used_at: Timestamp,
}

impl Upstreams {
    pub(super) fn new(settings: &DeploymentSettings, sockets: &SocketBudget) -> Upstreams {
        Upstreams {
            pool: PoolSettings::new(settings, sockets),
            clients: HashMap::new(),
            sockets: Arc::new(Semaphore::new(sockets.outbound)),
            max_sockets: sockets.outbound,
        }
    }

    /// Sockets to all endpoints together.
    pub(super) fn max_sockets(&self) -> usize {
        self.max_sockets
    }

    /// Endpoints that have a client.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Sockets that are not in use.
    #[cfg(test)]
    pub(super) fn free_sockets(&self) -> usize {
        self.sockets.available_permits()
    }

    /// The client of an endpoint; a new one where its address has changed.
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
            ..
        } = self;
        let new = || UpstreamClient::new(address, *pool, sockets);
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

    /// Closes the idle connections to an endpoint.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId) {
        self.clients.remove(&endpoint);
    }

    /// Sees to it that a socket is free, or is about to be: of the endpoints without an attempt in
    /// flight, those that were not used for longest lose their idle connections. Returns false only
    /// if there is no such endpoint.
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
        for (_, endpoint) in idle.iter().take(idle.len().div_ceil(EVICTED_DIVISOR)) {
            self.clients.remove(endpoint);
        }
        !idle.is_empty()
    }
}
