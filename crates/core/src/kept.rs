//! What became of transactions whose clients may hand them in again under the same identity.

use super::Answer;
use pumiceway_decisions::api::{Micros, RequestId};
use std::collections::{BTreeMap, HashMap};

/// What a client calls a transaction by.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Identity(pub String);

/// How much is kept, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// An answer is kept this long.
    pub time: Micros,
    /// At most this many transactions are known, running ones included.
    pub entries: usize,
    /// And this many run at once. Prevents: jobs whose clients have left pile up without bound.
    pub running: usize,
    /// Results kept hold at most this many bytes together.
    pub bytes: usize,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention { time: 600_000_000, entries: 10_000, running: 256, bytes: 16 << 20 }
    }
}

/// What is known of an identity.
#[derive(Debug, PartialEq)]
pub(super) enum Known {
    /// Nothing, and there is room to take it.
    New,
    /// Nothing, and there is no room.
    NoRoom,
    /// It is running.
    Running(RequestId),
    /// It had this answer.
    Over(Answer),
}

pub(super) struct Kept {
    limits: Retention,
    known: HashMap<Identity, Entry>,
    /// Ended entries by when they are forgotten.
    ends: BTreeMap<(Micros, u64), Identity>,
    bytes: usize,
    running: usize,
    count: u64,
}

enum Entry {
    Running(RequestId),
    Over(Answer),
}

impl Kept {
    pub(super) fn new(limits: Retention) -> Kept {
        Kept { limits, known: HashMap::new(), ends: BTreeMap::new(), bytes: 0, running: 0, count: 0 }
    }

    pub(super) fn look_up(&mut self, now: Micros, identity: &Identity) -> Known {
        self.expire(now);
        match self.known.get(identity) {
            Some(Entry::Running(request)) => Known::Running(*request),
            Some(Entry::Over(answer)) => Known::Over(answer.clone()),
            // Prevents: room is made by forgetting an import that may have run, which then runs again.
            None if self.known.len() >= self.limits.entries || self.running >= self.limits.running => {
                Known::NoRoom
            }
            None => Known::New,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    pub(super) fn begin(&mut self, identity: Identity, request: RequestId) {
        self.running += 1;
        self.known.insert(identity, Entry::Running(request));
    }

    /// The transaction has its answer. A busy answer is not kept: trying again is harmless.
    pub(super) fn end(&mut self, now: Micros, identity: Identity, answer: &Answer) {
        self.running = self.running.saturating_sub(1);
        let mut answer = answer.clone();
        match &answer {
            Answer::Busy { .. } | Answer::Rejected(_) => {
                self.known.remove(&identity);
                return;
            }
            Answer::Served(result) if self.bytes + result.len() > self.limits.bytes => {
                answer = Answer::Failed("served before; its result was too large to keep");
            }
            Answer::Served(result) => self.bytes += result.len(),
            Answer::Failed(_) => {}
        }
        self.count += 1;
        self.ends.insert((now + self.limits.time, self.count), identity.clone());
        self.known.insert(identity, Entry::Over(answer));
    }

    fn expire(&mut self, now: Micros) {
        while let Some(first) = self.ends.first_entry().filter(|e| e.key().0 <= now) {
            if let Some(Entry::Over(Answer::Served(result))) = self.known.remove(&first.remove()) {
                self.bytes -= result.len();
            }
        }
    }
}

#[cfg(test)]
mod tests;
