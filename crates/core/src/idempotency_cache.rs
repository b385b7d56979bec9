//! The idempotency cache: running requests and cached responses by unique id, for clients that send
//! a request again under the same unique id.

use crate::request::UniqueId;
use crate::{ClientResponse, Failure};
use pumiceway_decisions::api::{RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
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
    /// Maximum total size of the entries without their results, in bytes. Default: 16 MiB.
    pub max_entry_bytes: usize,
}

impl Default for IdempotencyCacheLimits {
    fn default() -> IdempotencyCacheLimits {
        IdempotencyCacheLimits {
            retention: Duration::from_secs(600),
            max_entries: 10_000,
            max_running: 256,
            max_bytes: 16 << 20,
            max_entry_bytes: 16 << 20,
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

/// What an entry takes beside its unique id, of which there are two copies: a small result included.
const ENTRY_BYTES: usize = 768;

fn entry_bytes(id: &UniqueId) -> usize {
    ENTRY_BYTES + 2 * id.name.len()
}

/// Entries by unique id. While the cache is full, responses to idempotent requests are evicted, those
/// first that expire first. No other entry is evicted before it expires: if there are only others,
/// requests with new unique ids are shed.
pub(crate) struct IdempotencyCache {
    limits: IdempotencyCacheLimits,
    entries: HashMap<UniqueId, Entry>,
    /// The unique ids of cached responses by expiry time.
    expiries: BTreeMap<ExpiryKey, UniqueId>,
    /// Those of the expiries that are of responses to idempotent requests.
    evictable: BTreeSet<ExpiryKey>,
    cached_bytes: usize,
    entry_bytes: usize,
    running: usize,
    insert_count: u64,
}

/// When a cached response expires, and the insert count, which makes the key unique.
type ExpiryKey = (Timestamp, u64);

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
            evictable: BTreeSet::new(),
            cached_bytes: 0,
            entry_bytes: 0,
            running: 0,
            insert_count: 0,
        }
    }

    pub(crate) fn look_up(&mut self, now: Timestamp, id: &UniqueId) -> Lookup {
        self.expire(now);
        match self.entries.get(id) {
            Some(Entry::Running(request)) => return Lookup::Running(*request),
            Some(Entry::Cached(response)) => return Lookup::Cached(response.clone()),
            None => {}
        }
        if self.make_room(id) {
            Lookup::New
        } else {
            Lookup::Full
        }
    }

    /// Evicts responses that may be evicted until there is room for another entry. Returns whether
    /// there is. A request that must not be repeated keeps its entry, as it may have run.
    fn make_room(&mut self, id: &UniqueId) -> bool {
        while !self.has_room(id) {
            let Some(first) = self.evictable.first().copied() else {
                return false;
            };
            self.remove_cached(first);
        }
        self.running < self.limits.max_running
    }

    /// Evicts results of idempotent requests for one that must not be repeated.
    fn make_room_for_result(&mut self, bytes: usize, is_idempotent: bool) {
        while !is_idempotent
            && self.cached_bytes + bytes > self.limits.max_bytes
            && let Some(first) = self.evictable.first().copied()
        {
            self.remove_cached(first);
        }
    }

    fn has_room(&self, id: &UniqueId) -> bool {
        self.entries.len() < self.limits.max_entries
            && self.entry_bytes + entry_bytes(id) <= self.limits.max_entry_bytes
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records that the request of a unique id is running.
    pub(crate) fn begin(&mut self, id: UniqueId, request: RequestId) {
        self.running += 1;
        self.entry_bytes += entry_bytes(&id);
        self.entries.insert(id, Entry::Running(request));
    }

    /// Removes a running request that has not run.
    pub(crate) fn forget(&mut self, id: &UniqueId) {
        if let Some(Entry::Running(_)) = self.entries.get(id) {
            self.running = self.running.saturating_sub(1);
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &UniqueId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.entry_bytes -= entry_bytes(id);
        if let Entry::Cached(ClientResponse::Served(result)) = entry {
            self.cached_bytes -= result.len();
        }
    }

    fn remove_cached(&mut self, key: ExpiryKey) {
        self.evictable.remove(&key);
        if let Some(id) = self.expiries.remove(&key) {
            self.remove(&id);
        }
    }

    /// Caches the response of a running request. A response after which a retry is harmless is not
    /// cached; a result that does not fit is cached as [`Failure::ResultNotCached`].
    pub(crate) fn complete(
        &mut self,
        now: Timestamp,
        id: UniqueId,
        response: &ClientResponse,
        is_idempotent: bool,
    ) {
        self.running = self.running.saturating_sub(1);
        if let ClientResponse::Served(result) = response {
            self.make_room_for_result(result.len(), is_idempotent);
        }
        let cached = match response {
            ClientResponse::Overloaded { .. } | ClientResponse::Rejected(_) => {
                self.remove(&id);
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
        let key = (now + self.limits.retention, self.insert_count);
        self.expiries.insert(key, id.clone());
        if is_idempotent {
            self.evictable.insert(key);
        }
        self.entries.insert(id, Entry::Cached(cached));
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((&key, _)) = self.expiries.first_key_value()
            && key.0 <= now
        {
            self.remove_cached(key);
        }
    }
}

#[cfg(test)]
mod tests;
