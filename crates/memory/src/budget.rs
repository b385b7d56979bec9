//! The budget, from which accounts are opened.

use crate::account::MemoryAccount;
use crate::policy::Holder;
use crate::state::State;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A memory budget. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Mutex<State>>);

/// How much of a budget is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryReport {
    /// The size of the budget.
    pub total: usize,
    /// What is drawn.
    pub drawn: usize,
    /// The most that has been drawn at any time.
    pub highest: usize,
    /// How many accounts have been revoked.
    pub revoked: u64,
    /// What is drawn for each kind of holder, in the order of [`Holder::ALL`].
    pub by_holder: [usize; Holder::ALL.len()],
}

impl MemoryBudget {
    /// Creates a budget of this size.
    pub fn new(total: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Mutex::new(State::new(total))))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Opens an account that holds nothing yet and may be revoked.
    pub fn open(&self, holder: Holder, now: Instant) -> MemoryAccount {
        let id = self.state().open(holder, now);
        MemoryAccount::new(self.clone(), id)
    }

    /// How much is in use.
    pub fn report(&self) -> MemoryReport {
        let state = self.state();
        MemoryReport {
            total: state.total(),
            drawn: state.drawn(),
            highest: state.highest(),
            revoked: state.revoked_count(),
            by_holder: state.drawn_by(),
        }
    }
}
