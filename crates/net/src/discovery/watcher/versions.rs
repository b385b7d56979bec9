//! The versions of a discovery service.
//!
//! Versions only rise, so a lower one than before comes from a service that lags behind itself, and
//! must not bring back an endpoint that has left. But a service may also restart its numbers: if it
//! sends lower versions only for long enough, they are accepted.

use std::time::Duration;
use tokio::time::Instant;

/// How a version compares with those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionOrder {
    /// At least the highest version so far.
    Current,
    /// Below the highest version so far.
    Outdated,
    /// Below the highest version so far, for so long that the service counts from here.
    Renumbered,
}

/// The versions that were received from a service.
#[derive(Debug)]
pub(super) struct ListVersions {
    last: Option<u64>,
    /// The highest version; it is above the last one while the service lags behind itself.
    highest: Option<u64>,
    /// When the first of the versions below the highest was received, if no other came since.
    outdated_since: Option<Instant>,
}

impl ListVersions {
    /// Starts at the version of the list that is known already.
    pub(super) fn new(known: Option<u64>) -> ListVersions {
        ListVersions {
            last: known,
            highest: known,
            outdated_since: None,
        }
    }

    /// The version that was received last.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the service is at a version below the highest one that it has sent.
    pub(super) fn is_outdated(&self) -> bool {
        self.highest > self.last
    }

    /// Notes a version, as it was at this time or later.
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
