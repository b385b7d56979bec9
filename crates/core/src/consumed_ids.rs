//! Consumed ids: the request ids of done requests that may have run and must not run again.
//!
//! Without them, a request could run twice: a client whose connection broke may send its request
//! again after the first one has ended and was removed. No id is removed before it expires, however
//! many follow; the reducer opens a request only while there is room for its id.

use pumiceway_decisions::api::Timestamp;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

pub(crate) struct ConsumedIds {
    max_ids: usize,
    ids: HashSet<Arc<str>>,
    /// When each id expires.
    expiries: BTreeSet<(Timestamp, Arc<str>)>,
}

impl ConsumedIds {
    pub(crate) fn new(max_ids: usize) -> ConsumedIds {
        ConsumedIds {
            max_ids,
            ids: HashSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Whether there is room for another id, beside those of `open` requests, each of which may be
    /// consumed.
    pub(crate) fn has_room(&mut self, now: Timestamp, open: usize) -> bool {
        self.expire(now);
        self.ids.len() + open < self.max_ids
    }

    /// Whether a request with this id must not run again.
    pub(crate) fn contains(&mut self, now: Timestamp, id: &str) -> bool {
        self.expire(now);
        self.ids.contains(id)
    }

    pub(crate) fn insert(&mut self, expires_at: Timestamp, id: &str) {
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.expiries.insert((expires_at, id));
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            if let Some((_, id)) = self.expiries.pop_first() {
                self.ids.remove(&id);
            }
        }
    }
}
