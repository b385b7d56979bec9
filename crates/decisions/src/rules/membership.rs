//! How long an endpoint list may be used: under a lease, from the time at which its source has
//! shown the list to be current.
//!
//! Only messages from the source renew a lease. Silence renews nothing, whatever its cause: a call
//! that fails, a watch that ends or a watch that is silent may each hide a change.

use crate::api::{Settings, Timestamp};
use std::time::Duration;

/// By the rules of the service, a dispatcher counts as notified of a change this long after
/// discovery had the change and could be reached, whether or not the change arrived. The drain
/// grace starts when it counts as notified.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The same limit after a new configuration has moved discovery.
const MAX_NOTIFICATION_DELAY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A process may be stalled for this long between reading the clock and writing.
const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);

/// A message from a source of endpoints, or the failure to get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSignal {
    /// It sent a list or a change, or reported that nothing has changed.
    Confirmed,
    /// It sent a list older than an earlier one: what has changed since is not known.
    Outdated,
    /// Its watch ended, sent something unusable, or was abandoned after a silence.
    WatchEnded,
    /// A call for a watch or a list failed for any reason.
    CallFailed,
}

/// How long the list of a source remains valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// While a watch is open, the list remains valid for this long after its last message. A silent
    /// watch counts as open until it is abandoned.
    watched: Duration,
    /// How long the list remains valid once the watch has ended.
    unwatched: UnwatchedTerm,
}

/// How long a list remains valid without an open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnwatchedTerm {
    /// This long after the last message.
    AfterLastMessage(Duration),
    /// This long after the end of the watch. Where a local agent pushes the list, a dispatcher
    /// counts as notified of a change at once, whether or not it is watching.
    AfterWatchEnd(Duration),
}

impl LeaseTerms {
    /// The terms for the discovery service under these settings.
    pub fn for_discovery(settings: &Settings) -> LeaseTerms {
        let unwatched = if !settings.polls_discovery {
            UnwatchedTerm::AfterWatchEnd(settings.drain_grace.saturating_sub(MAX_PROCESS_STALL))
        } else if settings.max_poll_interval.is_zero() {
            UnwatchedTerm::AfterLastMessage(MAX_NOTIFICATION_DELAY)
        } else {
            UnwatchedTerm::AfterLastMessage(settings.max_poll_interval.min(MAX_NOTIFICATION_DELAY))
        };
        LeaseTerms {
            watched: MAX_NOTIFICATION_DELAY,
            unwatched,
        }
    }

    /// The terms for a source with a session of its own, whose end the dispatcher notices: its list
    /// remains valid for as long as that of a watch, however the session ends.
    pub fn for_session() -> LeaseTerms {
        LeaseTerms {
            watched: MAX_NOTIFICATION_DELAY,
            unwatched: UnwatchedTerm::AfterLastMessage(MAX_NOTIFICATION_DELAY),
        }
    }
}

/// The lease on the list of one source.
///
/// A list is used only while it is confirmed. The list in a configuration is not confirmed, because
/// its age is not known and a new process counts as notified of every change from its start. Only
/// where there is no discovery service that could confirm it does it count as confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// `None`: once the source has confirmed its list, the list does not expire.
    terms: Option<LeaseTerms>,
    state: LeaseState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaseState {
    /// The source has not confirmed its list yet.
    #[default]
    Unconfirmed,
    /// The list was current at `as_of`; the lease expires at `expires_at`.
    Confirmed {
        as_of: Timestamp,
        expires_at: Timestamp,
    },
}

impl Lease {
    /// Sets the terms under which the list expires from now on. If the list is valid now, it
    /// expires after `MAX_NOTIFICATION_DELAY_AFTER_MOVE` at the latest: new terms are also set when
    /// a new configuration has moved discovery.
    pub fn set_terms(&mut self, now: Timestamp, terms: LeaseTerms) {
        self.terms = Some(terms);
        if let LeaseState::Confirmed { expires_at, .. } = &mut self.state {
            *expires_at = (*expires_at).min(now + MAX_NOTIFICATION_DELAY_AFTER_MOVE);
        }
    }

    /// Updates the lease on a signal from the source.
    ///
    /// `as_of` is the earliest time at which the signal can have been true: for a message, the
    /// earliest time at which it can have been sent; for the end of a watch, when the watch was
    /// last seen open or was abandoned.
    pub fn record_signal(&mut self, as_of: Timestamp, signal: LeaseSignal) {
        let Some(terms) = self.terms else {
            if signal == LeaseSignal::Confirmed {
                self.state = LeaseState::Confirmed {
                    as_of,
                    expires_at: Timestamp::MAX,
                };
            }
            return;
        };
        match signal {
            LeaseSignal::Confirmed => self.renew(as_of, terms),
            LeaseSignal::WatchEnded => self.end_watch(as_of, terms),
            // An overloaded discovery service fails calls in the same way as one that is down, and
            // only the one that is down has no changes to report. A failed call therefore renews
            // nothing.
            LeaseSignal::CallFailed | LeaseSignal::Outdated => {}
        }
    }

    /// Renews the lease. A message that was read late is ignored, as it must not override what has
    /// become known since.
    fn renew(&mut self, as_of: Timestamp, terms: LeaseTerms) {
        let is_stale =
            matches!(self.state, LeaseState::Confirmed { as_of: latest, .. } if latest > as_of);
        if !is_stale {
            self.state = LeaseState::Confirmed {
                as_of,
                expires_at: as_of + terms.watched,
            };
        }
    }

    /// Shortens the lease to the time for which the list remains valid without a watch; never
    /// extends it.
    fn end_watch(&mut self, as_of: Timestamp, terms: LeaseTerms) {
        let LeaseState::Confirmed {
            as_of: latest,
            expires_at,
        } = &mut self.state
        else {
            return;
        };
        let end = match terms.unwatched {
            UnwatchedTerm::AfterLastMessage(term) => *latest + term,
            UnwatchedTerm::AfterWatchEnd(term) => as_of + term,
        };
        *expires_at = (*expires_at).min(end);
    }

    /// Whether the list may be used.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        matches!(self.state, LeaseState::Confirmed { expires_at, .. } if now < expires_at)
    }

    /// When the lease expires unless it is renewed; `None` if it does not expire or is not
    /// confirmed.
    pub fn expires_at(&self) -> Option<Timestamp> {
        match self.state {
            LeaseState::Confirmed { expires_at, .. } if expires_at < Timestamp::MAX => {
                Some(expires_at)
            }
            _ => None,
        }
    }
}
