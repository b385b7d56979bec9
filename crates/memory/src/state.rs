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
    /// What other accounts return if this one gives up.
    releases: usize,
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
    /// What revoked accounts still hold and release, by kind.
    returning_by: [usize; Holder::ALL.len()],
    highest: usize,
    revoked_count: u64,
    last_id: u64,
    accounts: BTreeMap<AccountId, Account>,
    /// Those that wait for memory, in the order in which they get it.
    waiting: Vec<Waiter>,
}

/// An account that waits for memory.
struct Waiter {
    id: AccountId,
    holder: Holder,
    bytes: usize,
    /// Woken when memory is returned.
    waker: Option<Waker>,
}

impl State {
    pub(crate) fn new(total: usize) -> State {
        State {
            total,
            drawn: 0,
            drawn_by: [0; Holder::ALL.len()],
            returning_by: [0; Holder::ALL.len()],
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
            releases: 0,
            since: now,
            standing: Standing::Revocable,
            waker: None,
        };
        self.accounts.insert(id, account);
        id
    }

    /// Draws an amount, or revokes the accounts that have to give up for it: those with the highest
    /// burden, which may be this one. An account that has to wait gets its place in the queue, so that
    /// none that comes later is served first.
    pub(crate) fn draw(&mut self, id: AccountId, bytes: usize, now: Instant) -> Draw {
        let Some(account) = self.accounts.get(&id) else {
            return Draw::Revoked;
        };
        if account.standing == Standing::Revoked {
            return Draw::Revoked;
        }
        let is_settled = account.standing == Standing::Settled;
        let (holder, held) = (account.holder, account.held + bytes);
        while let Some((scope, excess)) = self.excess(id, holder, held, bytes) {
            if excess <= self.being_returned(scope) {
                self.enqueue(id, holder, bytes);
                return Draw::Waiting;
            }
            let first = self.first_to_revoke(id, bytes, scope, now);
            if first == id && is_settled {
                // It waits for others that are settled.
                self.enqueue(id, holder, bytes);
                return Draw::Waiting;
            }
            self.revoke(first);
            if first == id {
                return Draw::Revoked;
            }
        }
        self.stop_waiting(id);
        self.add(id, bytes, now);
        Draw::Drawn
    }

    /// By how much a draw exceeds a limit, and whose memory counts towards that limit. `held` is what
    /// the account would hold. What those ahead in the queue wait for counts as drawn.
    fn excess(
        &self,
        id: AccountId,
        holder: Holder,
        held: usize,
        bytes: usize,
    ) -> Option<(Scope, usize)> {
        let ahead = |scope| bytes + self.awaited_ahead_of(id, scope);
        let over_total = (self.drawn + ahead(Scope::All)).saturating_sub(self.total);
        let limit = holder.limit(self.total, held);
        let drawn = self.drawn_by[holder as usize];
        let over_limit = (drawn + ahead(Scope::Kind(holder))).saturating_sub(limit);
        if over_limit > 0 && limit < self.total {
            Some((Scope::Kind(holder), over_limit))
        } else if over_total > 0 {
            Some((Scope::All, over_total))
        } else {
            None
        }
    }

    /// What the accounts that are ahead of this one in the queue wait for.
    fn awaited_ahead_of(&self, id: AccountId, scope: Scope) -> usize {
        let ahead = self.waiting.iter().take_while(|waiter| waiter.id != id);
        let in_scope = ahead.filter(|waiter| scope.includes(waiter.holder));
        in_scope.map(|waiter| waiter.bytes).sum()
    }

    fn enqueue(&mut self, id: AccountId, holder: Holder, bytes: usize) {
        match self.waiting.iter_mut().find(|waiter| waiter.id == id) {
            Some(waiter) => waiter.bytes = bytes,
            None => self.waiting.push(Waiter {
                id,
                holder,
                bytes,
                waker: None,
            }),
        }
    }

    /// Removes an account from the queue; returns whether it waited.
    fn stop_waiting(&mut self, id: AccountId) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|waiter| waiter.id != id);
        self.waiting.len() < waiting
    }

    /// Wakes all that wait; they draw in the order of the queue.
    fn wake_waiting(&mut self) {
        let wakers = self
            .waiting
            .iter_mut()
            .filter_map(|waiter| waiter.waker.take());
        wakers.for_each(Waker::wake);
    }

    /// What revoked accounts still hold and release.
    fn being_returned(&self, scope: Scope) -> usize {
        match scope {
            Scope::Kind(holder) => self.returning_by[holder as usize],
            Scope::All => self.returning_by.iter().sum(),
        }
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
            let bytes = account.held + account.releases + drawn;
            Burden::new(bytes, account.since, now)
        };
        let revocable = self.accounts.iter().filter(|&(_, account)| {
            account.standing == Standing::Revocable && scope.includes(account.holder)
        });
        let first = revocable.max_by_key(|&(&id, account)| burden(id, account));
        first.map_or(drawing, |(&id, _)| id)
    }

    fn revoke(&mut self, id: AccountId) {
        self.stop_waiting(id);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.standing = Standing::Revoked;
            self.returning_by[account.holder as usize] += account.held + account.releases;
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
        if account.standing == Standing::Revoked {
            self.returning_by[account.holder as usize] += bytes;
        }
    }

    pub(crate) fn set_releases(&mut self, id: AccountId, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut account.releases, bytes);
        if account.standing == Standing::Revoked {
            let returning = &mut self.returning_by[account.holder as usize];
            *returning = *returning + bytes - before;
        }
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
        if account.standing == Standing::Revoked {
            self.returning_by[account.holder as usize] -= bytes;
        }
        if bytes > 0 {
            self.wake_waiting();
        }
    }

    pub(crate) fn close(&mut self, id: AccountId) {
        let was_waiting = self.stop_waiting(id);
        self.set_releases(id, 0);
        self.subtract(id, usize::MAX);
        if was_waiting {
            // Those behind it in the queue may draw what it waited for.
            self.wake_waiting();
        }
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
            match standing {
                // It is never woken again, and would keep the memory of its task.
                Standing::Settled => account.waker = None,
                // Those that wait may have it revoked.
                Standing::Revocable => self.wake_waiting(),
                Standing::Revoked => {}
            }
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

    /// Registers the task that is woken when memory is returned for which the account waits.
    pub(crate) fn wait(&mut self, id: AccountId, waker: &Waker) {
        if let Some(waiter) = self.waiting.iter_mut().find(|waiter| waiter.id == id) {
            waiter.waker = Some(waker.clone());
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
