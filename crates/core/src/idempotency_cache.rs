//! The idempotency cache: running requests and cached responses by unique id, for clients that send
//! a request again under the same unique id.

use crate::{ClientResponse, Failure, UniqueId};
use pumiceway_decisions::api::{RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Limits of the idempotency cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyCacheLimits {
    /// How long a response is cached. Default: 10 minutes.
    pub retention: Duration,
    /// Maximum number of unique ids, of running requests and cached responses together. Default:
    /// 10,000.
    pub max_entries: usize,
    /// Maximum number of concurrent requests with a unique id. Such a request continues when its
    /// client disconnects, so without a limit they would accumulate. Default: 256.
    pub max_running: usize,
    /// Maximum total size of the cached results in bytes. Default: 16 MiB.
    pub max_bytes: usize,
}

impl Default for IdempotencyCacheLimits {
    fn default() -> IdempotencyCacheLimits {
        IdempotencyCacheLimits {
            retention: Duration::from_secs(600),
            max_entries: 10_000,
            max_running: 256,
            max_bytes: 16 << 20,
        }
    }
}

/// The result of looking up a unique id.
#[derive(Debug, PartialEq)]
pub(crate) enum Lookup {
    /// The id is unknown, and there is room for its request.
    New,
    /// The id is unknown, and the cache is full.
    Full,
    /// Its request is running.
    Running(RequestId),
    /// Its request got this response.
    Cached(ClientResponse),
}

/// Entries by unique id. None is evicted before it expires: while the cache is full, requests with
/// new unique ids are shed.
pub(crate) struct IdempotencyCache {
    limits: IdempotencyCacheLimits,
    entries: HashMap<UniqueId, Entry>,
    /// The unique ids of cached responses by expiry time; the insert count makes the keys unique.
    expiries: BTreeMap<(Timestamp, u64), UniqueId>,
    cached_bytes: usize,
    running: usize,
    insert_count: u64,
}

enum Entry {
    Running(RequestId),
    Cached(ClientResponse),
}

impl IdempotencyCache {
    pub(crate) fn new(limits: IdempotencyCacheLimits) -> IdempotencyCache {
        IdempotencyCache {
            limits,
            entries: HashMap::new(),
            expiries: BTreeMap::new(),
            cached_bytes: 0,
            running: 0,
            insert_count: 0,
        }
    }

    pub(crate) fn look_up(&mut self, now: Timestamp, id: &UniqueId) -> Lookup {
        self.expire(now);
        match self.entries.get(id) {
            Some(Entry::Running(request)) => Lookup::Running(*request),
            Some(Entry::Cached(response)) => Lookup::Cached(response.clone()),
            // No entry is evicted to make room: its request may have run, and could then run again.
            None if self.is_full() => Lookup::Full,
            None => Lookup::New,
        }
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_entries || self.running >= self.limits.max_running
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records that the request of a unique id is running.
    pub(crate) fn begin(&mut self, id: UniqueId, request: RequestId) {
        self.running += 1;
        self.entries.insert(id, Entry::Running(request));
    }

    /// Caches the response of a running request. A response after which a retry is harmless is not
    /// cached; a result that does not fit is cached as [`Failure::ResultNotCached`].
    pub(crate) fn complete(&mut self, now: Timestamp, id: UniqueId, response: &ClientResponse) {
        self.running = self.running.saturating_sub(1);
        let cached = match response {
            ClientResponse::Overloaded { .. } | ClientResponse::Rejected(_) => {
                self.entries.remove(&id);
                return;
            }
            ClientResponse::Served(result)
                if self.cached_bytes + result.len() > self.limits.max_bytes =>
            {
                ClientResponse::Failed(Failure::ResultNotCached)
            }
            ClientResponse::Served(result) => {
                self.cached_bytes += result.len();
                response.clone()
            }
            ClientResponse::Failed(_) => response.clone(),
        };
        self.insert_count += 1;
        self.expiries
            .insert((now + self.limits.retention, self.insert_count), id.clone());
        self.entries.insert(id, Entry::Cached(cached));
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(first) = self
            .expiries
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            if let Some(Entry::Cached(ClientResponse::Served(result))) =
                self.entries.remove(&first.remove())
            {
                self.cached_bytes -= result.len();
            }
        }
    }
}

#[cfg(test)]
mod tests;
