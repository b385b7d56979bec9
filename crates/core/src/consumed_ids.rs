//! Consumed ids: the identities of done requests that may have run and must not run again.
//!
//! A client may send its request again at any time: after its connection broke, or the moment it was
//! turned away, over and over. Its deadline says nothing about that. So an identity is remembered for
//! one time, whatever its class, from when its request ended or was last sent again. None is forgotten
//! before, however many follow; the reducer opens a request only while there is room for its identity.
//!
//! Identities are kept as fingerprints, in generations: those of one period are forgotten together.

use crate::request::Identity;
use pumiceway_decisions::api::Timestamp;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// A generation takes the identities of one in this many parts of the lifetime. By as much longer
/// than the lifetime they may be remembered.
const GENERATIONS_PER_LIFETIME: u32 = 8;

/// Stands for an identity. Among a million, two have the same with a probability below one in ten
/// million, and clients cannot choose one, as the hasher has random keys.
type Fingerprint = u64;

pub(crate) struct ConsumedIds {
    max_ids: usize,
    lifetime: Duration,
    hasher: RandomState,
    /// The oldest first.
    generations: VecDeque<Generation>,
}

/// The identities that were recorded in one period.
struct Generation {
    /// When the next generation begins.
    ends_at: Timestamp,
    ids: HashSet<Fingerprint>,
}

impl ConsumedIds {
    pub(crate) fn new(max_ids: usize, lifetime: Duration) -> ConsumedIds {
        ConsumedIds {
            max_ids,
            lifetime,
            hasher: RandomState::new(),
            generations: VecDeque::new(),
        }
    }

    /// Whether there is room for another identity, beside those of `open` requests, each of which may
    /// be consumed.
    pub(crate) fn has_room(&mut self, now: Timestamp, open: usize) -> bool {
        self.expire(now);
        let remembered: usize = self.generations.iter().map(|each| each.ids.len()).sum();
        remembered + open < self.max_ids
    }

    /// Whether a request that is sent now must not run again. If so, its identity is remembered anew.
    pub(crate) fn renew(&mut self, now: Timestamp, id: &Identity) -> bool {
        self.expire(now);
        let fingerprint = self.hasher.hash_one(id);
        let is_consumed = self.forget(fingerprint);
        if is_consumed {
            self.remember(now, fingerprint);
        }
        is_consumed
    }

    pub(crate) fn insert(&mut self, now: Timestamp, id: &Identity) {
        let fingerprint = self.hasher.hash_one(id);
        self.forget(fingerprint);
        self.remember(now, fingerprint);
    }

    fn remember(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let has_ended = |generation: &Generation| generation.ends_at <= now;
        if self.generations.back().is_none_or(has_ended) {
            self.generations.push_back(Generation {
                ends_at: now + self.lifetime / GENERATIONS_PER_LIFETIME,
                ids: HashSet::new(),
            });
        }
        if let Some(current) = self.generations.back_mut() {
            current.ids.insert(fingerprint);
        }
    }

    /// Forgets an identity; returns whether it was remembered.
    fn forget(&mut self, fingerprint: Fingerprint) -> bool {
        let mut latest_first = self.generations.iter_mut().rev();
        latest_first.any(|generation| generation.ids.remove(&fingerprint))
    }

    fn expire(&mut self, now: Timestamp) {
        let lifetime = self.lifetime;
        let is_expired = |generation: &Generation| generation.ends_at + lifetime <= now;
        while self.generations.front().is_some_and(is_expired) {
            self.generations.pop_front();
        }
    }
}
