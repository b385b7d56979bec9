//! Sets of functions, and what one worker can do.

use super::JobFunction;
use pumiceway_decisions::api::FunctionSet;

/// A set of functions, default and additional ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobFunctionSet {
    /// The classes whose default functions are in the set, as a bit mask of their indices.
    pub(super) default_classes: usize,
    /// The additional functions.
    pub(super) additional: FunctionSet,
}

impl JobFunctionSet {
    /// Whether the set has no functions.
    pub fn is_empty(&self) -> bool {
        self.default_classes == 0 && self.additional.is_empty()
    }

    /// Whether a function is in the set.
    pub fn contains(&self, function: JobFunction) -> bool {
        match function.additional {
            None => self.default_classes & class_bit(function) != 0,
            Some(additional) => self.additional.contains(additional),
        }
    }

    /// Adds a function. Returns whether it was not in the set before.
    pub fn insert(&mut self, function: JobFunction) -> bool {
        let is_new = !self.contains(function);
        match function.additional {
            None => self.default_classes |= class_bit(function),
            Some(additional) => self.additional.insert(additional),
        }
        is_new
    }

    /// Removes a function, if it is in the set.
    pub fn remove(&mut self, function: JobFunction) {
        match function.additional {
            None => self.default_classes &= !class_bit(function),
            Some(additional) => self.additional.remove(additional),
        }
    }

    /// The functions of this set that are not in the other.
    pub(super) fn difference(&self, other: &JobFunctionSet) -> JobFunctionSet {
        JobFunctionSet {
            default_classes: self.default_classes & !other.default_classes,
            additional: self.additional.difference(&other.additional),
        }
    }
}

fn class_bit(function: JobFunction) -> usize {
    1 << function.class.0
}

/// What a worker can do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Abilities {
    /// The functions that it can do.
    pub functions: JobFunctionSet,
    /// It asks for the unique ids of its jobs; supposed until it does not.
    pub takes_unique_ids: bool,
}

impl Default for Abilities {
    fn default() -> Abilities {
        Abilities {
            functions: JobFunctionSet::default(),
            takes_unique_ids: true,
        }
    }
}
