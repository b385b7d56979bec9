//! Tracks the list versions of a discovery service.
//!
//! Versions normally only increase. A lower version than before comes from a service that lags
//! behind what it has already sent, and must not restore an endpoint that is gone. A service may
//! also restart its numbering: if it sends only lower versions for long enough, they are accepted.

use std::time::Duration;
use tokio::time::Instant;

/// How a version compares with those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionOrder {
    /// At least the highest version so far.
    Current,
    /// Below the highest version so far.
    Outdated,
    /// Below the highest version so far, for so long that the service has restarted its numbering.
    Renumbered,
}

/// The versions that were received from a service.
#[derive(Debug)]
pub(super) struct ListVersions {
    last: Option<u64>,
    /// The highest version; above `last` while the service lags behind.
    highest: Option<u64>,
    /// When the first lower version was received, if only lower ones have been received since.
    outdated_since: Option<Instant>,
}

impl ListVersions {
    /// Starts at the version of the list that is already known, if any.
    pub(super) fn new(known: Option<u64>) -> ListVersions {
        ListVersions {
            last: known,
            highest: known,
            outdated_since: None,
        }
    }

    /// Returns the version that was received last.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the service is at a lower version than the highest one that it has sent.
    pub(super) fn is_outdated(&self) -> bool {
        self.highest > self.last
    }

    /// Records a version and compares it with those before. `as_of` is the earliest time at which
    /// the service can have been at this version.
    pub(super) fn observe(
        &mut self,
        version: u64,
        as_of: Instant,
        renumbered_after: Duration,
    ) -> VersionOrder {
        self.last = Some(version);
        if self.highest <= Some(version) {
            self.restart_at(version);
            return VersionOrder::Current;
        }
        let outdated_since = *self.outdated_since.get_or_insert(Instant::now());
        if as_of.saturating_duration_since(outdated_since) < renumbered_after {
            return VersionOrder::Outdated;
        }
        self.restart_at(version);
        VersionOrder::Renumbered
    }

    fn restart_at(&mut self, version: u64) {
        self.highest = Some(version);
        self.outdated_since = None;
    }
}

#[cfg(test)]
mod tests;
