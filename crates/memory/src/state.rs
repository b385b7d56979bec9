//! The state of a budget: its accounts, and those that wait for memory.

use crate::policy::{Burden, Holder};
use std::collections::BTreeMap;
use std::task::Waker;
use std::time::Instant;

/// Identifies an account of a budget; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AccountId(u64);

/// Whether an account may be revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It may be revoked.
    Revocable,
    /// What it holds is needed to complete what was begun.
    Settled,
    /// It has to give up what it holds.
    Revoked,
}

/// The result of an attempt to draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Draw {
    /// The amount was drawn.
    Drawn,
    /// Others have been revoked, and the amount may be drawn once they have given up.
    Waiting,
    /// The account itself has been revoked.
    Revoked,
}

/// Whose memory has to shrink for a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// All holders of a kind.
    Kind(Holder),
    All,
}

impl Scope {
    fn includes(self, holder: Holder) -> bool {
        self == Scope::All || self == Scope::Kind(holder)
    }
}

struct Account {
    holder: Holder,
    held: usize,
    /// Since when it holds what it holds.
    since: Instant,
    standing: Standing,
    /// Woken when the account is revoked.
    waker: Option<Waker>,
}

pub(crate) struct State {
    total: usize,
    drawn: usize,
    drawn_by: [usize; Holder::ALL.len()],
    highest: usize,
    revoked_count: u64,
    last_id: u64,
    accounts: BTreeMap<AccountId, Account>,
    /// Woken when memory is returned.
    waiting: Vec<Waker>,
}

impl State {
    pub(crate) fn new(total: usize) -> State {
        State {
            total,
            drawn: 0,
            drawn_by: [0; Holder::ALL.len()],
            highest: 0,
            revoked_count: 0,
            last_id: 0,
            accounts: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    pub(crate) fn open(&mut self, holder: Holder, now: Instant) -> AccountId {
        self.last_id += 1;
        let id = AccountId(self.last_id);
        let account = Account {
            holder,
            held: 0,
            since: now,
            standing: Standing::Revocable,
            waker: None,
        };
        self.accounts.insert(id, account);
        id
    }

    /// Draws an amount, or revokes the accounts that have to give up for it: those with the highest
    /// burden, which may be this one.
    pub(crate) fn draw(&mut self, id: AccountId, bytes: usize, now: Instant) -> Draw {
        let Some(account) = self.accounts.get(&id) else {
            return Draw::Revoked;
        };
        if account.standing == Standing::Revoked {
            return Draw::Revoked;
        }
        let (holder, held) = (account.holder, account.held + bytes);
        while let Some((scope, excess)) = self.excess(holder, held, bytes) {
            if excess <= self.being_returned(scope) {
                return Draw::Waiting;
            }
            let first = self.first_to_revoke(id, bytes, scope, now);
            self.revoke(first);
            if first == id {
                return Draw::Revoked;
            }
        }
        self.add(id, bytes, now);
        Draw::Drawn
    }

    /// By how much a draw exceeds a limit, and whose memory counts towards that limit. `held` is what
    /// the account would hold.
    fn excess(&self, holder: Holder, held: usize, bytes: usize) -> Option<(Scope, usize)> {
        let over_total = (self.drawn + bytes).saturating_sub(self.total);
        let limit = holder.limit(self.total, held);
        let over_limit = (self.drawn_by[holder as usize] + bytes).saturating_sub(limit);
        if over_limit > 0 {
            Some((Scope::Kind(holder), over_limit))
        } else if over_total > 0 {
            Some((Scope::All, over_total))
        } else {
            None
        }
    }

    /// What revoked accounts still hold.
    fn being_returned(&self, scope: Scope) -> usize {
        let revoked = self.accounts.values().filter(|account| {
            account.standing == Standing::Revoked && scope.includes(account.holder)
        });
        revoked.map(|account| account.held).sum()
    }

    /// The account with the highest burden, where the account that draws counts with what it would
    /// hold; that one, if no other may be revoked.
    fn first_to_revoke(
        &self,
        drawing: AccountId,
        bytes: usize,
        scope: Scope,
        now: Instant,
    ) -> AccountId {
        let burden = |id: AccountId, account: &Account| {
            let drawn = if id == drawing { bytes } else { 0 };
            Burden::new(account.held + drawn, account.since, now)
        };
        let revocable = self.accounts.iter().filter(|&(_, account)| {
            account.standing == Standing::Revocable && scope.includes(account.holder)
        });
        let first = revocable.max_by_key(|&(&id, account)| burden(id, account));
        first.map_or(drawing, |(&id, _)| id)
    }

    fn revoke(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.standing = Standing::Revoked;
            self.revoked_count += 1;
            if let Some(waker) = account.waker.take() {
                waker.wake();
            }
        }
    }

    /// Draws an amount that must not be refused.
    pub(crate) fn add(&mut self, id: AccountId, bytes: usize, now: Instant) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        if account.held == 0 {
            account.since = now;
        }
        account.held += bytes;
        self.drawn += bytes;
        self.highest = self.highest.max(self.drawn);
        self.drawn_by[account.holder as usize] += bytes;
    }

    /// Returns an amount, or all that the account holds if that is less.
    pub(crate) fn subtract(&mut self, id: AccountId, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(account.held);
        account.held -= bytes;
        self.drawn -= bytes;
        self.drawn_by[account.holder as usize] -= bytes;
        if bytes > 0 {
            self.waiting.drain(..).for_each(Waker::wake);
        }
    }

    pub(crate) fn close(&mut self, id: AccountId) {
        self.subtract(id, usize::MAX);
        self.accounts.remove(&id);
    }

    /// Changes whether an account may be revoked, unless it has been revoked already. Its memory
    /// counts as held since `now`.
    pub(crate) fn set_standing(&mut self, id: AccountId, standing: Standing, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&id)
            && account.standing != Standing::Revoked
        {
            account.standing = standing;
            account.since = now;
        }
    }

    pub(crate) fn held(&self, id: AccountId) -> usize {
        self.accounts.get(&id).map_or(0, |account| account.held)
    }

    pub(crate) fn is_revoked(&self, id: AccountId) -> bool {
        let account = self.accounts.get(&id);
        account.is_none_or(|account| account.standing == Standing::Revoked)
    }

    /// Registers the task that is woken when the account is revoked.
    pub(crate) fn register(&mut self, id: AccountId, waker: &Waker) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waker = Some(waker.clone());
        }
    }

    /// Registers a task that is woken when memory is returned.
    pub(crate) fn wait(&mut self, waker: &Waker) {
        if !self.waiting.iter().any(|waiting| waiting.will_wake(waker)) {
            self.waiting.push(waker.clone());
        }
    }

    pub(crate) fn total(&self) -> usize {
        self.total
    }

    pub(crate) fn drawn(&self) -> usize {
        self.drawn
    }

    pub(crate) fn highest(&self) -> usize {
        self.highest
    }

    pub(crate) fn revoked_count(&self) -> u64 {
        self.revoked_count
    }

    /// What all accounts of each kind hold, in the order of [`Holder::ALL`].
    pub(crate) fn drawn_by(&self) -> [usize; Holder::ALL.len()] {
        self.drawn_by
    }
}
