//! Machine kinds that express the default functions of which classes a worker may run.
//!
//! The eligibility rules do not know sets of classes, but a class may allow certain machine kinds
//! only. Each set of classes therefore gets its own machine kind, and every class allows the kinds
//! of the sets that contain it.

use pumiceway_decisions::api::{KindId, Settings};

/// Maximum number of classes of a deployment with workers: each set of classes is a kind, so the
/// number of kinds doubles with each class.
pub const MAX_CLASSES: usize = 6;

/// The kinds of workers, one for each set of classes: first the non-empty sets, then the empty one, of
/// workers that can do additional functions only.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerKinds {
    /// Index of the first of these kinds; the others follow it.
    first_kind: usize,
    /// Number of non-empty sets.
    set_count: usize,
}

impl WorkerKinds {
    /// Adds the kinds to the settings; `None` if there are more than [`MAX_CLASSES`] classes.
    pub(super) fn add(settings: &mut Settings) -> Option<WorkerKinds> {
        let class_count = settings.classes.len();
        if class_count > MAX_CLASSES {
            return None;
        }
        let class_sets = 1..1usize << class_count;
        let kinds = WorkerKinds {
            first_kind: settings.kind_count,
            set_count: class_sets.len(),
        };
        settings.kind_count += kinds.set_count + 1;
        for (index, class) in settings.classes.iter_mut().enumerate() {
            let allowed = class
                .allowed_kinds
                .get_or_insert_with(|| (0..kinds.first_kind).map(KindId).collect());
            let sets_with_class = class_sets.clone().filter(|set| set & (1 << index) != 0);
            allowed.extend(sets_with_class.map(|set| kinds.kind_of_set(set)));
        }
        Some(kinds)
    }

    /// The first of these kinds.
    pub(super) fn first(self) -> KindId {
        KindId(self.first_kind)
    }

    /// The kind of a set of classes, given as a bit mask of their indices.
    pub(super) fn kind_of_set(self, class_set: usize) -> KindId {
        let position = class_set.checked_sub(1).unwrap_or(self.set_count);
        KindId(self.first_kind + position)
    }
}
