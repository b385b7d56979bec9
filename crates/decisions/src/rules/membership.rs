//! How long a list of endpoints may be used: a lease, held from the time for which its source has shown it to
//! be current.
//!
//! Only what a source has said renews a lease. That nothing was heard, whatever the reason, renews nothing: a
//! call that fails, a watch that ends or one that is silent may each hide a change.

use crate::api::{Micros, Settings};

/// A change of the list counts as notified this long after discovery had it and could be reached, whether
/// or not it arrived.
const NOTIFIED_WITHIN: Micros = 6_000_000;
/// The same after a new configuration has moved discovery.
const NOTIFIED_AFTER_MOVE: Micros = 4_000_000;
/// A process may be held up for this long between reading the clock and writing.
const HELD_UP: Micros = 150_000;

/// What a source has let us know, or failed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It told a list, a change, or that nothing has changed.
    Confirmed,
    /// It told a list that is older than one it has told before. Nobody knows what has changed since.
    Outdated,
    /// Its watch has ended, has said something that can't be used, or is given up as it says nothing any
    /// more.
    WatchEnded,
    /// A call for a watch or a list failed, in whatever way.
    CallFailed,
}

/// For how long a source's list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// After the last word on a watch that stands, or is silent and not yet given up.
    watched: Micros,
    /// Once the watch has ended.
    unwatched: Unwatched,
}

/// For how long a list holds once no watch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unwatched {
    /// So long after the last word: so long a dispatcher without a watch is held to its list.
    AfterLastWord(Micros),
    /// So long after the watch ended: what an agent beside the dispatcher has counts as notified at once,
    /// watched or not.
    AfterEnd(Micros),
}

impl LeaseTerms {
    /// What the settings give for the discovery service.
    pub fn of(settings: &Settings) -> LeaseTerms {
        let unwatched = match (settings.list_by_asking, settings.ask_within) {
            (false, _) => Unwatched::AfterEnd(settings.drain_grace.saturating_sub(HELD_UP)),
            (true, 0) => Unwatched::AfterLastWord(NOTIFIED_WITHIN),
            (true, ask_within) => Unwatched::AfterLastWord(ask_within.min(NOTIFIED_WITHIN)),
        };
        LeaseTerms { watched: NOTIFIED_WITHIN, unwatched }
    }

    /// For a source whose word has to be renewed and that tells of its own end: its list holds for as long as
    /// that of a watch, however its session ends.
    pub fn of_session() -> LeaseTerms {
        LeaseTerms { watched: NOTIFIED_WITHIN, unwatched: Unwatched::AfterLastWord(NOTIFIED_WITHIN) }
    }
}

/// The lease on what one source has listed.
///
/// A list is used only while it is confirmed. The list in a configuration is not: nobody knows how old it is,
/// and what has changed since counts as notified from the first moment of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// `None`: the source is present for as long as it lists anything, and its list does not expire.
    terms: Option<LeaseTerms>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// No word has come yet.
    #[default]
    Unconfirmed,
    /// Since when it is known to have been current, and when that is too long ago.
    Confirmed { since: Micros, until: Micros },
}

impl Lease {
    /// A new configuration says where the source is: its list expires by these terms, and what it told before
    /// holds no longer than after a move.
    pub fn set_terms(&mut self, now: Micros, terms: LeaseTerms) {
        self.terms = Some(terms);
        if let State::Confirmed { until, .. } = &mut self.state {
            *until = (*until).min(now + NOTIFIED_AFTER_MOVE);
        }
    }

    /// Takes in what the source has let us know. `since` is the earliest time at which it can have been so:
    /// for a word, when it can have been said; for the end of a watch, when that was last seen to stand or
    /// was given up.
    pub fn note(&mut self, since: Micros, contact: Contact) {
        let Some(terms) = self.terms else {
            if contact == Contact::Confirmed {
                self.state = State::Confirmed { since, until: Micros::MAX };
            }
            return;
        };
        match (contact, &mut self.state) {
            (Contact::Confirmed, State::Unconfirmed) => self.confirm(since, terms),
            // Prevents: a word that was said long ago, and is read late, takes back what is known since.
            (Contact::Confirmed, State::Confirmed { since: known, .. }) if *known <= since => {
                self.confirm(since, terms);
            }
            (Contact::WatchEnded, State::Confirmed { since: known, until }) => {
                let ends = match terms.unwatched {
                    Unwatched::AfterLastWord(time) => known.saturating_add(time),
                    Unwatched::AfterEnd(time) => since.saturating_add(time),
                };
                *until = (*until).min(ends);
            }
            // A crowded discovery fails calls in the same way as one that is down, and only the second has
            // nothing to tell: what nobody has shown renews nothing.
            (Contact::CallFailed | Contact::Outdated, _) => {}
            (Contact::Confirmed | Contact::WatchEnded, _) => {}
        }
    }

    fn confirm(&mut self, since: Micros, terms: LeaseTerms) {
        self.state = State::Confirmed { since, until: since.saturating_add(terms.watched) };
    }

    /// Whether the list may be used.
    pub fn valid(&self, now: Micros) -> bool {
        matches!(self.state, State::Confirmed { until, .. } if now < until)
    }

    /// When it expires, unless it is confirmed anew; `None` where it does not or is not confirmed.
    pub fn expires(&self) -> Option<Micros> {
        match self.state {
            State::Confirmed { until, .. } if until < Micros::MAX => Some(until),
            _ => None,
        }
    }
}
