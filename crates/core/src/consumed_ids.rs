//! Consumed ids: the request ids of done requests that may have run and must not run again.
//!
//! Without them, a request could run twice: a client whose connection broke may send its request
//! again after the first one has ended and was removed.

use pumiceway_decisions::api::Timestamp;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// Maximum number of ids kept; beyond it, the id that expires first is removed.
const MAX_IDS: usize = 4096;

#[derive(Default)]
pub(crate) struct ConsumedIds {
    ids: HashSet<Arc<str>>,
    /// When each id expires.
    expiries: BTreeSet<(Timestamp, Arc<str>)>,
}

impl ConsumedIds {
    /// Whether a request with this id must not run again.
    pub(crate) fn contains(&mut self, now: Timestamp, id: &str) -> bool {
        self.remove_while(|expires_at, _| expires_at <= now);
        self.ids.contains(id)
    }

    pub(crate) fn insert(&mut self, expires_at: Timestamp, id: &str) {
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.expiries.insert((expires_at, id));
        }
        self.remove_while(|_, count| count > MAX_IDS);
    }

    fn remove_while(&mut self, should_remove: impl Fn(Timestamp, usize) -> bool) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| should_remove(*expires_at, self.expiries.len()))
        {
            if let Some((_, id)) = self.expiries.pop_first() {
                self.ids.remove(&id);
            }
        }
    }
}
