//! The machine kinds of worker sessions.
//!
//! A worker names its functions, and with them a set of classes. The decisions know no such sets,
//! but classes that allow certain machine kinds only; so each set gets a kind of its own.

use pumiceway_decisions::api::{ClassId, KindId, Settings, ZoneId};

/// Classes that worker sessions can be distinguished by. Each set of them is a kind, so the number
/// of kinds doubles with each class.
pub const MAX_CLASSES: usize = 6;

/// The kinds of worker sessions, one for each non-empty set of classes, and their zone.
#[derive(Clone, Copy, Debug)]
pub struct SessionKinds {
    first: usize,
    zone: ZoneId,
}

impl SessionKinds {
    /// Adds the kinds to the settings; `None` if there are more than [`MAX_CLASSES`].
    pub fn add(settings: &mut Settings) -> Option<SessionKinds> {
        let class_count = settings.classes.len();
        if class_count > MAX_CLASSES {
            return None;
        }
        let kinds = SessionKinds {
            first: settings.kind_count,
            zone: settings.home_zone.unwrap_or_default(),
        };
        let sets = 1..1usize << class_count;
        settings.kind_count += sets.len();
        for (index, class) in settings.classes.iter_mut().enumerate() {
            let allowed = class
                .allowed_kinds
                .get_or_insert_with(|| (0..kinds.first).map(KindId).collect());
            let sets_with_class = sets.clone().filter(|set| set & (1 << index) != 0);
            allowed.extend(sets_with_class.map(|set| kinds.of_set(set)));
        }
        Some(kinds)
    }

    /// The kind of a session with these classes; `None` if there are none.
    pub(super) fn of(&self, classes: impl Iterator<Item = ClassId>) -> Option<KindId> {
        let set = classes.fold(0, |set, class| set | 1 << class.0);
        (set > 0).then(|| self.of_set(set))
    }

    /// The kind of a session that is gone.
    pub(super) fn any(&self) -> KindId {
        KindId(self.first)
    }

    pub(super) fn zone(&self) -> ZoneId {
        self.zone
    }

    /// The kind of a set of classes, which has a bit for each and is not empty.
    fn of_set(&self, set: usize) -> KindId {
        KindId(self.first + set - 1)
    }
}
