//! Contents together with the account that pays for them.

use crate::account::{MemoryAccount, Revoked};
use bytes::Bytes;
use std::future::poll_fn;
use std::time::Instant;

/// The smallest capacity of a buffer that is not empty.
const MIN_CAPACITY: usize = 512;

/// A buffer that draws its capacity from a budget.
pub struct AccountedBuffer {
    content: Vec<u8>,
    account: MemoryAccount,
}

impl AccountedBuffer {
    /// Creates an empty buffer.
    pub fn new(account: MemoryAccount) -> AccountedBuffer {
        AccountedBuffer {
            content: Vec::new(),
            account,
        }
    }

    /// Appends data, as soon as there is memory for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the account was revoked.
    pub async fn extend(&mut self, data: &[u8], now: impl Fn() -> Instant) -> Result<(), Revoked> {
        let more = self.missing_capacity(data.len());
        if more > 0 {
            poll_fn(|cx| self.account.poll_draw(more, now(), cx)).await?;
            let capacity = self.content.capacity() + more;
            self.content.reserve_exact(capacity - self.content.len());
        }
        self.content.extend_from_slice(data);
        Ok(())
    }

    /// By how much the capacity has to grow for this many bytes more. It doubles, so that a content
    /// that arrives in many parts is seldom moved.
    fn missing_capacity(&self, bytes: usize) -> usize {
        let needed = self.content.len() + bytes;
        let capacity = self.content.capacity();
        if needed <= capacity {
            return 0;
        }
        needed.max(2 * capacity).max(MIN_CAPACITY) - capacity
    }

    /// The content.
    pub fn content(&self) -> &[u8] {
        &self.content
    }

    /// Whether there is no content.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// The account.
    pub fn account(&mut self) -> &mut MemoryAccount {
        &mut self.account
    }

    /// Drops the content and returns its memory.
    pub fn clear(&mut self) {
        let capacity = self.content.capacity();
        self.content = Vec::new();
        self.account.give_back(capacity);
    }

    /// The content, which can no longer be revoked. Its memory is returned when the last clone of it
    /// is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the account was revoked before.
    pub fn into_bytes(mut self, now: Instant) -> Result<Bytes, Revoked> {
        self.account.settle(now)?;
        let capacity = self.content.capacity();
        self.content.shrink_to_fit();
        self.account.give_back(capacity - self.content.capacity());
        Ok(Bytes::from_owner(self))
    }

    /// Replaces the content by a text that was made from it, which can no longer be revoked.
    pub fn replace_by(mut self, text: String, now: Instant) -> AccountedText {
        self.clear();
        self.account.draw_settled(text.capacity(), now);
        AccountedText {
            text,
            _account: self.account,
        }
    }
}

impl AsRef<[u8]> for AccountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// A text together with the account that pays for it.
pub struct AccountedText {
    text: String,
    _account: MemoryAccount,
}

impl From<AccountedText> for Bytes {
    /// The memory is returned when the last clone is dropped.
    fn from(text: AccountedText) -> Bytes {
        Bytes::from_owner(text)
    }
}

impl AsRef<[u8]> for AccountedText {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}
