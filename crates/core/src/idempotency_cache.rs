//! The idempotency cache: what has become of requests that clients may send again under the same
//! unique id.

use crate::{ClientResponse, Failure, UniqueId};
use pumiceway_decisions::api::{RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How much the idempotency cache holds, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// A response is cached for this long. Default: 10 minutes.
    pub time: Duration,
    /// Unique ids that are known at once, of running requests and of cached responses. Default:
    /// 10,000.
    pub entries: usize,
    /// Requests with a unique id that run at once; without a bound, those whose clients have left
    /// would pile up. Default: 256.
    pub running: usize,
    /// Bytes of all cached results together. Default: 16 MiB.
    pub bytes: usize,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            time: Duration::from_secs(600),
            entries: 10_000,
            running: 256,
            bytes: 16 << 20,
        }
    }
}

/// What is known of a unique id.
#[derive(Debug, PartialEq)]
pub(crate) enum Lookup {
    /// Nothing, and there is capacity for its request.
    New,
    /// Nothing, and there is no capacity.
    Full,
    /// Its request is running.
    Running(RequestId),
    /// Its request had this response.
    Cached(ClientResponse),
}

/// Responses by unique id. Nothing is evicted early: with the cache full, new unique ids are shed.
pub(crate) struct IdempotencyCache {
    limits: Retention,
    entries: HashMap<UniqueId, Entry>,
    /// Cached responses by when they expire, and a number that keeps equal times apart.
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
    pub(crate) fn new(limits: Retention) -> IdempotencyCache {
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
            // Evicting a request that may have run, to make room, would let it run again.
            None if self.is_full() => Lookup::Full,
            None => Lookup::New,
        }
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.entries || self.running >= self.limits.running
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The request of a unique id runs from now on.
    pub(crate) fn begin(&mut self, id: UniqueId, request: RequestId) {
        self.running += 1;
        self.entries.insert(id, Entry::Running(request));
    }

    /// The request has its response. One that makes a retry harmless is not cached; a result for
    /// which there is no room is cached as a failure that says so.
    pub(crate) fn complete(&mut self, now: Timestamp, id: UniqueId, response: &ClientResponse) {
        self.running = self.running.saturating_sub(1);
        let cached = match response {
            ClientResponse::Overloaded { .. } | ClientResponse::Rejected(_) => {
                self.entries.remove(&id);
                return;
            }
            ClientResponse::Served(result)
                if self.cached_bytes + result.len() > self.limits.bytes =>
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
            .insert((now + self.limits.time, self.insert_count), id.clone());
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
