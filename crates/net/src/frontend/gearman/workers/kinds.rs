//! Machine kinds that express which classes a worker session can serve.
//!
//! The functions of a worker determine a set of classes. The eligibility rules do not know such
//! sets, but a class may allow certain machine kinds only. Each set of classes therefore gets its
//! own machine kind, and every class allows the kinds of the sets that contain it.

use pumiceway_decisions::api::{ClassId, Idempotency, KindId, Settings, ZoneId};

/// Maximum number of classes of a deployment with worker sessions: each set of classes is a kind,
/// so the number of kinds doubles with each class.
pub const MAX_CLASSES: usize = 6;

/// The kinds of worker sessions, one for each non-empty set of classes, and their zone.
#[derive(Clone, Copy, Debug)]
pub struct SessionKinds {
    /// Index of the first of these kinds; the others follow it.
    first_kind: usize,
    zone: ZoneId,
    /// The classes with idempotency keys, as a bit mask of their indices.
    keyed_classes: usize,
}

impl SessionKinds {
    /// Adds the kinds to the settings; `None` if there are more than [`MAX_CLASSES`] classes.
    pub fn add(settings: &mut Settings) -> Option<SessionKinds> {
        let class_count = settings.classes.len();
        if class_count > MAX_CLASSES {
            return None;
        }
        let kinds = SessionKinds {
            first_kind: settings.kind_count,
            zone: settings.home_zone.unwrap_or_default(),
            keyed_classes: keyed_classes(settings),
        };
        let class_sets = 1..1usize << class_count;
        settings.kind_count += class_sets.len();
        for (index, class) in settings.classes.iter_mut().enumerate() {
            let allowed = class
                .allowed_kinds
                .get_or_insert_with(|| (0..kinds.first_kind).map(KindId).collect());
            let sets_with_class = class_sets.clone().filter(|set| set & (1 << index) != 0);
            allowed.extend(sets_with_class.map(|set| kinds.kind_of_set(set)));
        }
        Some(kinds)
    }

    /// The kind of a session with these classes; `None` if there are none.
    pub(super) fn kind_of(&self, classes: impl Iterator<Item = ClassId>) -> Option<KindId> {
        let class_set = classes.fold(0, |set, class| set | 1 << class.0);
        (class_set > 0).then(|| self.kind_of_set(class_set))
    }

    /// The kind of a session without classes, whose endpoint is gone.
    pub(super) fn placeholder(&self) -> KindId {
        KindId(self.first_kind)
    }

    pub(super) fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Whether a worker has to be told the idempotency key of a job of this class, as its unique id.
    pub(super) fn is_keyed(&self, class: ClassId) -> bool {
        self.keyed_classes & (1 << class.0) != 0
    }

    /// The kind of a non-empty set of classes, given as a bit mask of their indices.
    fn kind_of_set(&self, class_set: usize) -> KindId {
        KindId(self.first_kind + class_set - 1)
    }
}

fn keyed_classes(settings: &Settings) -> usize {
    let is_keyed = |idempotency| matches!(idempotency, Idempotency::Keyed { .. });
    let classes = settings.classes.iter().enumerate();
    classes
        .filter(|(_, class)| is_keyed(class.idempotency))
        .fold(0, |set, (index, _)| set | 1 << index)
}
