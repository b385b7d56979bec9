//! Ids of requests that are over, may have run and must not run again.
//!
//! A client whose connection broke under its request, and that sends the request once more after
//! the first was forgotten, would otherwise have it run twice.

use pumiceway_decisions::api::Timestamp;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// At most this many ids are known; beyond it, the one that expires next is forgotten.
const MAX_IDS: usize = 4096;

#[derive(Default)]
pub(crate) struct ConsumedIds {
    ids: HashSet<Arc<str>>,
    /// When each is forgotten.
    expiries: BTreeSet<(Timestamp, Arc<str>)>,
}

impl ConsumedIds {
    /// Whether a request with this id must not run.
    pub(crate) fn contains(&mut self, now: Timestamp, id: &str) -> bool {
        self.forget_while(|expires_at, _| expires_at <= now);
        self.ids.contains(id)
    }

    pub(crate) fn insert(&mut self, expires_at: Timestamp, id: &str) {
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.expiries.insert((expires_at, id));
        }
        self.forget_while(|_, count| count > MAX_IDS);
    }

    fn forget_while(&mut self, is_over: impl Fn(Timestamp, usize) -> bool) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| is_over(*expires_at, self.expiries.len()))
        {
            if let Some((_, id)) = self.expiries.pop_first() {
                self.ids.remove(&id);
            }
        }
    }
}
