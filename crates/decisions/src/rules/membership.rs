//! How long a list of endpoints may be used: a lease, held for as long as discovery confirms it.

use crate::api::{Micros, Settings};

/// A change of the list counts as notified this long after discovery had it and could be reached, whether
/// or not it arrived.
const NOTIFIED_WITHIN: Micros = 6_000_000;
/// The same after a new configuration has moved discovery.
const NOTIFIED_AFTER_MOVE: Micros = 4_000_000;

/// What a source has let us know, or failed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It told a list, a change, or that nothing has changed.
    Confirmed,
    /// It could not be reached, or said that it can't serve: it has notified nobody. It is asked again, and
    /// the outcome of that known, within this time.
    Unreachable(Micros),
    /// It was reached and told nothing that can be used.
    Unusable,
}

/// For how long a source's list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// After the last word on a watch that stands.
    watched: Micros,
    /// After the last word, once no watch stands.
    unwatched: Micros,
}

impl LeaseTerms {
    /// What the settings give for the discovery service.
    pub fn of(settings: &Settings) -> LeaseTerms {
        let asked = settings.list_by_asking && settings.ask_within > 0;
        let unwatched = if asked { settings.ask_within.min(NOTIFIED_WITHIN) } else { NOTIFIED_WITHIN };
        LeaseTerms { watched: NOTIFIED_WITHIN, unwatched }
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
    /// When the source last confirmed it, and when that is too long ago.
    Confirmed { at: Micros, until: Micros },
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

    /// Takes in what the source has let us know.
    pub fn note(&mut self, now: Micros, contact: Contact) {
        let Some(terms) = self.terms else {
            if contact == Contact::Confirmed {
                self.state = State::Confirmed { at: now, until: Micros::MAX };
            }
            return;
        };
        match (contact, &mut self.state) {
            (Contact::Confirmed, state) => {
                *state = State::Confirmed { at: now, until: now.saturating_add(terms.watched) };
            }
            // What was missed before this was known would be missed for good: one that has expired stays so.
            (Contact::Unreachable(again), State::Confirmed { until, .. }) if now < *until => {
                *until = (*until).max(now.saturating_add(terms.unwatched.max(again)));
            }
            (Contact::Unusable, State::Confirmed { at, until }) => {
                *until = (*until).min(at.saturating_add(terms.unwatched));
            }
            (Contact::Unreachable(_) | Contact::Unusable, _) => {}
        }
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
