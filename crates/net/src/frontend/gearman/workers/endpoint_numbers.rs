//! The numbers in the names of the endpoints of sessions.
//!
//! The numbers of closed sessions are reused; otherwise each worker that reconnects would leave an
//! endpoint behind. But a job that may have run at an endpoint is not repeated there. A worker that
//! got the number of one that was lost with a job would be taken for it, and a job whose only worker
//! connects again would wait for another one in vain. So such a number is reserved for as long as
//! the job may be repeated.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Maximum number of reserved numbers; with one more, the one whose reservation ends first is free.
const MAX_RESERVED: usize = 256;

#[derive(Default)]
pub(super) struct EndpointNumbers {
    /// Those of open sessions.
    in_use: BTreeSet<u64>,
    /// Those of sessions that were lost with a job, and when their reservation ends.
    reserved: BTreeMap<u64, Instant>,
}

impl EndpointNumbers {
    /// Takes the lowest number that is free.
    pub(super) fn allocate(&mut self, now: Instant) -> u64 {
        self.reserved.retain(|_, ends_at| *ends_at > now);
        let is_free =
            |number: &u64| !self.in_use.contains(number) && !self.reserved.contains_key(number);
        let number = (0..).find(is_free).unwrap_or_default();
        self.in_use.insert(number);
        number
    }

    /// Gives back the number of a session, which is reserved until then if the session was lost with
    /// a job.
    pub(super) fn release(&mut self, number: u64, reserved_until: Option<Instant>) {
        self.in_use.remove(&number);
        let Some(reserved_until) = reserved_until else {
            return;
        };
        self.reserved.insert(number, reserved_until);
        if self.reserved.len() > MAX_RESERVED
            && let Some(first) = self.first_to_end()
        {
            self.reserved.remove(&first);
        }
    }

    fn first_to_end(&self) -> Option<u64> {
        let reserved = self.reserved.iter();
        let first = reserved.min_by_key(|(_, ends_at)| **ends_at);
        first.map(|(number, _)| *number)
    }
}

#[cfg(test)]
mod tests;
