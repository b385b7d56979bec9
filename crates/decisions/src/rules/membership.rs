//! How long an endpoint list may be used: a lease, held from the time at which its source has shown
//! it to be current.
//!
//! Only what a source has said renews a lease. Silence renews nothing, whatever its reason: a call
//! that fails, a watch that ends or one that is silent may each hide a change.

use crate::api::{Settings, Timestamp};
use std::time::Duration;

/// A dispatcher counts as notified of a change this long after discovery had it and could be
/// reached, whether or not the change arrived.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The same after a new configuration has moved discovery.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A process may be held up for this long between reading the clock and writing.
const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);

/// What a source of endpoints has said, or failed to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSignal {
    /// It sent a list, a change, or that nothing has changed.
    Confirmed,
    /// It sent a list older than one it has sent before: what has changed since is unknown.
    Outdated,
    /// Its watch has ended, has sent something unusable, or was given up after a silence.
    WatchEnded,
    /// A call for a watch or a list failed, in whatever way.
    CallFailed,
}

/// How long the list of a source holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// After the last message of a watch that is open, or silent and not yet given up.
    watched: Duration,
    /// Once the watch has ended.
    unwatched: UnwatchedTerm,
}

/// How long a list holds without an open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnwatchedTerm {
    /// This long after the last message.
    AfterLastMessage(Duration),
    /// This long after the end of the watch: an agent beside the dispatcher counts as having
    /// notified it at once, watched or not.
    AfterWatchEnd(Duration),
}

impl LeaseTerms {
    /// The terms that the settings give for the discovery service.
    pub fn for_discovery(settings: &Settings) -> LeaseTerms {
        let unwatched = if !settings.polls_discovery {
            UnwatchedTerm::AfterWatchEnd(settings.drain_grace.saturating_sub(MAX_PROCESS_STALL))
        } else if settings.max_poll_interval.is_zero() {
            UnwatchedTerm::AfterLastMessage(NOTIFIED_WITHIN)
        } else {
            UnwatchedTerm::AfterLastMessage(settings.max_poll_interval.min(NOTIFIED_WITHIN))
        };
        LeaseTerms {
            watched: NOTIFIED_WITHIN,
            unwatched,
        }
    }

    /// The terms of a source with a session of its own, whose end it notices: its list holds as
    /// long as that of a watch, however the session ends.
    pub fn for_session() -> LeaseTerms {
        LeaseTerms {
            watched: NOTIFIED_WITHIN,
            unwatched: UnwatchedTerm::AfterLastMessage(NOTIFIED_WITHIN),
        }
    }
}

/// The lease on the list of one source.
///
/// A list is used only while it is confirmed. The list in a configuration is not, unless there is
/// no discovery service that could: its age is unknown, and a new process counts as notified of
/// every change from its first moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// `None`: the source is present for as long as it lists anything, and its list does not
    /// expire.
    terms: Option<LeaseTerms>,
    state: LeaseState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaseState {
    /// The source has said nothing yet.
    #[default]
    Unconfirmed,
    /// The list was current at `as_of`; the lease ends at `expires_at`.
    Confirmed {
        as_of: Timestamp,
        expires_at: Timestamp,
    },
}

impl Lease {
    /// Sets the terms by which the list expires from now on. What the source has sent before holds
    /// no longer than after a move of discovery.
    pub fn set_terms(&mut self, now: Timestamp, terms: LeaseTerms) {
        self.terms = Some(terms);
        if let LeaseState::Confirmed { expires_at, .. } = &mut self.state {
            *expires_at = (*expires_at).min(now + NOTIFIED_AFTER_MOVE);
        }
    }

    /// Takes in a signal of the source.
    ///
    /// `as_of` is the earliest time at which the signal can have been true: for a message, when it
    /// can have been sent; for the end of a watch, when the watch was last seen open or was given
    /// up.
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
            LeaseSignal::Confirmed => self.confirm(as_of, terms),
            LeaseSignal::WatchEnded => self.end_watch(as_of, terms),
            // A crowded discovery fails calls in the same way as one that is down, and only the
            // second has nothing to tell: a failure renews nothing.
            LeaseSignal::CallFailed | LeaseSignal::Outdated => {}
        }
    }

    /// Renews the lease, unless the message was read late: it must not take back what is known
    /// since.
    fn confirm(&mut self, as_of: Timestamp, terms: LeaseTerms) {
        let is_stale =
            matches!(self.state, LeaseState::Confirmed { as_of: known, .. } if known > as_of);
        if !is_stale {
            self.state = LeaseState::Confirmed {
                as_of,
                expires_at: as_of + terms.watched,
            };
        }
    }

    /// Shortens the lease to what holds without a watch; it never prolongs it.
    fn end_watch(&mut self, as_of: Timestamp, terms: LeaseTerms) {
        let LeaseState::Confirmed {
            as_of: known,
            expires_at,
        } = &mut self.state
        else {
            return;
        };
        let end = match terms.unwatched {
            UnwatchedTerm::AfterLastMessage(term) => *known + term,
            UnwatchedTerm::AfterWatchEnd(term) => as_of + term,
        };
        *expires_at = (*expires_at).min(end);
    }

    /// Whether the list may be used.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        matches!(self.state, LeaseState::Confirmed { expires_at, .. } if now < expires_at)
    }

    /// When the lease ends unless it is renewed; `None` where it does not end or is not confirmed.
    pub fn expires_at(&self) -> Option<Timestamp> {
        match self.state {
            LeaseState::Confirmed { expires_at, .. } if expires_at < Timestamp::MAX => {
                Some(expires_at)
            }
            _ => None,
        }
    }
}
