//! Functions: kinds of work within a class that only some endpoints can do.

use super::FunctionId;
use crate::bit_set::BitSet;

/// A set of additional functions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FunctionSet(BitSet);

static EMPTY: FunctionSet = FunctionSet(BitSet::new());

impl FunctionSet {
    /// A set without functions.
    pub fn empty() -> &'static FunctionSet {
        &EMPTY
    }

    /// Whether the set has no functions.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the function is in the set.
    pub fn contains(&self, function: FunctionId) -> bool {
        self.0.contains(function.0)
    }

    /// Adds a function.
    pub fn insert(&mut self, function: FunctionId) {
        self.0.insert(function.0);
    }

    /// Removes a function, if it is in the set.
    pub fn remove(&mut self, function: FunctionId) {
        self.0.remove(function.0);
    }

    /// Adds the functions of another set.
    pub fn extend(&mut self, other: &FunctionSet) {
        self.0 = self.0.combine(&other.0, |own, others| own | others);
    }

    /// The functions of this set that are not in the other.
    #[must_use]
    pub fn difference(&self, other: &FunctionSet) -> FunctionSet {
        FunctionSet(self.0.combine(&other.0, |own, others| own & !others))
    }

    /// The functions that are in exactly one of the two sets.
    #[must_use]
    pub fn symmetric_difference(&self, other: &FunctionSet) -> FunctionSet {
        FunctionSet(self.0.combine(&other.0, |own, others| own ^ others))
    }

    /// Whether any function is in both sets.
    pub fn intersects(&self, other: &FunctionSet) -> bool {
        self.0.intersects(&other.0)
    }

    /// The functions of the set, the lowest id first.
    pub fn iter(&self) -> impl Iterator<Item = FunctionId> {
        self.0.iter().map(FunctionId)
    }
}

impl FromIterator<FunctionId> for FunctionSet {
    fn from_iter<T: IntoIterator<Item = FunctionId>>(functions: T) -> FunctionSet {
        FunctionSet(functions.into_iter().map(|function| function.0).collect())
    }
}
