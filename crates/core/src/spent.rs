//! Ids of transactions that are over, may have run and must not run again.

use pumiceway_decisions::api::Micros;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// At most so many are known; beyond it the one that would be forgotten next goes first.
pub(super) const SPENT_MOST: usize = 4096;

#[derive(Default)]
pub(super) struct Spent {
    ids: HashSet<Arc<str>>,
    /// By when each is forgotten.
    ends: BTreeSet<(Micros, Arc<str>)>,
}

impl Spent {
    /// Whether it may not run. Prevents: a client whose connection broke under its request, and that sends it once
    /// more after we let go of the first, has it run twice.
    pub(super) fn holds(&mut self, now: Micros, id: &str) -> bool {
        self.forget(|first, _| first <= now);
        self.ids.contains(id)
    }

    pub(super) fn keep(&mut self, until: Micros, id: &str) {
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.ends.insert((until, id));
        }
        self.forget(|_, known| known > SPENT_MOST);
    }

    fn forget(&mut self, over: impl Fn(Micros, usize) -> bool) {
        while self.ends.first().is_some_and(|(first, _)| over(*first, self.ends.len())) {
            if let Some((_, id)) = self.ends.pop_first() {
                self.ids.remove(&id);
            }
        }
    }
}
