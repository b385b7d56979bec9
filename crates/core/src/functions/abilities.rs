//! What one worker can do.

use super::JobFunction;
use pumiceway_decisions::api::FunctionSet;

/// The functions that a worker can do, and whether it is told the unique ids of its jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Abilities {
    /// The classes whose default functions it can do, as a bit mask of their indices.
    pub(super) default_classes: usize,
    /// The additional functions that it can do.
    pub(super) additional: FunctionSet,
    /// It asks for the unique ids of its jobs; supposed until it does not.
    pub takes_unique_ids: bool,
}

impl Default for Abilities {
    fn default() -> Abilities {
        Abilities {
            default_classes: 0,
            additional: FunctionSet::default(),
            takes_unique_ids: true,
        }
    }
}

impl Abilities {
    /// Whether the worker can do nothing.
    pub fn is_empty(&self) -> bool {
        self.default_classes == 0 && self.additional.is_empty()
    }

    /// Whether the worker can do a function.
    pub fn contains(&self, function: JobFunction) -> bool {
        match function.additional {
            None => self.default_classes & class_bit(function) != 0,
            Some(additional) => self.additional.contains(additional),
        }
    }

    /// Adds a function. Returns whether the worker could not do it before.
    pub fn insert(&mut self, function: JobFunction) -> bool {
        let is_new = !self.contains(function);
        match function.additional {
            None => self.default_classes |= class_bit(function),
            Some(additional) => self.additional.insert(additional),
        }
        is_new
    }

    /// Removes a function, if the worker can do it.
    pub fn remove(&mut self, function: JobFunction) {
        match function.additional {
            None => self.default_classes &= !class_bit(function),
            Some(additional) => self.additional.remove(additional),
        }
    }

    /// Removes all functions.
    pub fn clear(&mut self) {
        self.default_classes = 0;
        self.additional = FunctionSet::default();
    }

    /// The same worker without the functions in `others`.
    pub(super) fn without(&self, others: &Abilities) -> Abilities {
        Abilities {
            default_classes: self.default_classes & !others.default_classes,
            additional: self.additional.difference(&others.additional),
            takes_unique_ids: self.takes_unique_ids,
        }
    }
}

fn class_bit(function: JobFunction) -> usize {
    1 << function.class.0
}
