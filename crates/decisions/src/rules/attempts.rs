//! Whether a request may be sent, once more or to another endpoint, or refused with the promise that it
//! had no effect.

use super::Denial;
use crate::api::{ClassId, Effect, Group, Micros, Settings, WorkerId, ZoneId};

/// What is known of how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// No outcome yet.
    Out,
    /// It provably had no effect.
    NeverRan,
    /// It may have had an effect.
    MayHaveRun,
}

/// An attempt of a request, as the rules look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAttempt {
    /// Where it went.
    pub endpoint: WorkerId,
    /// Zone of the endpoint at that time.
    pub zone: ZoneId,
    /// Cell of the endpoint at that time.
    pub cell: Option<u64>,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended.
    pub fate: Fate,
}

/// The endpoints that recognise a repeat of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatGroup {
    group: Group,
    first: EarlierAttempt,
}

impl RepeatGroup {
    /// Whether an endpoint in this zone and cell is one of them.
    pub fn contains(&self, zone: ZoneId, cell: Option<u64>) -> bool {
        match self.group {
            Group::All => true,
            Group::Zone => zone == self.first.zone,
            Group::Cell => cell.is_some() && cell == self.first.cell,
        }
    }
}

/// What the rules permit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permission {
    /// It may be refused: trying again is harmless.
    pub refuse: bool,
    /// It may be sent (again): to any endpoint, or only to those that recognise a repeat.
    pub send: Result<Option<RepeatGroup>, Denial>,
}

impl Permission {
    /// Whether it may be sent to an endpoint in this zone and cell.
    pub fn send_to(&self, zone: ZoneId, cell: Option<u64>) -> Result<(), Denial> {
        match self.send? {
            Some(group) if !group.contains(zone, cell) => Err(Denial::MayHaveRun),
            _ => Ok(()),
        }
    }
}

/// What the rules permit for a request of this class, after these attempts.
pub fn permission(
    now: Micros,
    settings: &Settings,
    class: ClassId,
    attempts: impl Iterator<Item = EarlierAttempt>,
) -> Permission {
    let (mut count, mut out, mut first) = (0, 0, None);
    for attempt in attempts {
        count += 1;
        out += usize::from(attempt.fate == Fate::Out);
        if attempt.fate != Fate::NeverRan {
            first = first.or(Some(attempt));
        }
    }
    let room = count < settings.max_attempts && out < 1 + usize::from(settings.second_copies);
    let more = if room { Ok(None) } else { Err(Denial::AttemptsUsedUp) };
    match (first, settings.classes[class.0].effect) {
        (None, _) | (_, Effect::Safe) => Permission { refuse: true, send: more },
        (Some(_), Effect::Unsafe) => Permission { refuse: false, send: Err(Denial::MayHaveRun) },
        (Some(first), Effect::Keyed { group, window }) => {
            // Prevents: a repeat decided in the window arrives after it, on a connection that comes up late.
            let in_time = now + settings.connect_timeout < first.sent + window;
            let send = match in_time {
                true => more.map(|_| Some(RepeatGroup { group, first })),
                false => Err(Denial::MayHaveRun),
            };
            Permission { refuse: group == Group::All, send }
        }
    }
}
