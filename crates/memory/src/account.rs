//! The account of one holder.

use crate::budget::MemoryBudget;
use crate::state::{AccountId, Draw, Standing};
use std::task::{Context, Poll};
use std::time::Instant;

/// The account was revoked: its holder has to give up what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("memory is short")]
pub struct Revoked;

/// Why an amount was not drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrawError {
    /// Others have to give up memory first; the draw may be tried again.
    #[error("memory is short for the moment")]
    Waiting,
    /// The account was revoked.
    #[error(transparent)]
    Revoked(#[from] Revoked),
}

/// What one holder has drawn from a budget; returned when it is dropped.
pub struct MemoryAccount {
    budget: MemoryBudget,
    id: AccountId,
}

impl MemoryAccount {
    pub(crate) fn new(budget: MemoryBudget, id: AccountId) -> MemoryAccount {
        MemoryAccount { budget, id }
    }

    /// Draws an amount if it is available. If not, others are revoked, or this account if its burden
    /// is the highest and it is not settled. Until it draws again or is dropped, the account has a
    /// place in the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if the amount is not available yet, or the account was revoked.
    pub fn try_draw(&mut self, bytes: usize, now: Instant) -> Result<(), DrawError> {
        match self.budget.state().draw(self.id, bytes, now) {
            Draw::Drawn => Ok(()),
            Draw::Waiting => Err(DrawError::Waiting),
            Draw::Revoked => Err(DrawError::Revoked(Revoked)),
        }
    }

    /// Draws an amount as soon as it is available.
    ///
    /// # Errors
    ///
    /// Ready with an error if the account was revoked.
    pub fn poll_draw(
        &mut self,
        bytes: usize,
        now: Instant,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), Revoked>> {
        let mut state = self.budget.state();
        match state.draw(self.id, bytes, now) {
            Draw::Drawn => Poll::Ready(Ok(())),
            Draw::Revoked => Poll::Ready(Err(Revoked)),
            Draw::Waiting => {
                state.register(self.id, cx.waker());
                state.wait(self.id, cx.waker());
                Poll::Pending
            }
        }
    }

    /// Draws an amount that must not be refused. The account can no longer be revoked.
    pub fn draw_settled(&mut self, bytes: usize, now: Instant) {
        let mut state = self.budget.state();
        state.set_standing(self.id, Standing::Settled, now);
        state.add(self.id, bytes, now);
    }

    /// Draws an amount that must not be refused, whether or not the account may be revoked.
    pub fn draw_unrefused(&mut self, bytes: usize, now: Instant) {
        self.budget.state().add(self.id, bytes, now);
    }

    /// Declares how much other accounts, which may be settled, return if this one gives up. It counts
    /// towards the burden of this one.
    pub fn set_releases(&mut self, bytes: usize) {
        self.budget.state().set_releases(self.id, bytes);
    }

    /// Returns an amount.
    pub fn give_back(&mut self, bytes: usize) {
        self.budget.state().subtract(self.id, bytes);
    }

    /// Declares that what is held is needed to complete what was begun: the account can no longer be
    /// revoked.
    ///
    /// # Errors
    ///
    /// Returns an error if the account was revoked before.
    pub fn settle(&mut self, now: Instant) -> Result<(), Revoked> {
        let mut state = self.budget.state();
        if state.is_revoked(self.id) {
            return Err(Revoked);
        }
        state.set_standing(self.id, Standing::Settled, now);
        Ok(())
    }

    /// Declares that the account may be revoked again. What it holds counts as held since `now`.
    pub fn unsettle(&mut self, now: Instant) {
        let mut state = self.budget.state();
        state.set_standing(self.id, Standing::Revocable, now);
    }

    /// What the account holds.
    pub fn held(&self) -> usize {
        self.budget.state().held(self.id)
    }

    /// Whether the account was revoked.
    pub fn is_revoked(&self) -> bool {
        self.budget.state().is_revoked(self.id)
    }

    /// Ready once the account is revoked.
    pub fn poll_revoked(&self, cx: &mut Context<'_>) -> Poll<Revoked> {
        let mut state = self.budget.state();
        if state.is_revoked(self.id) {
            return Poll::Ready(Revoked);
        }
        state.register(self.id, cx.waker());
        Poll::Pending
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.budget.state().close(self.id);
    }
}
