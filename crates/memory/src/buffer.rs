//! Contents together with the account that pays for them.

use crate::account::{MemoryAccount, Revoked};
use bytes::Bytes;
use std::future::poll_fn;
use std::io::{self, Read};
use std::time::Instant;

/// The capacity of a block. All are of one size, so that whatever is given up makes room for others.
const BLOCK_BYTES: usize = 4 << 10;
/// The smallest capacity of the first block, which may be all that is needed.
const MIN_FIRST_BLOCK_BYTES: usize = 512;

/// A buffer of blocks that are drawn from a budget.
pub struct AccountedBuffer {
    blocks: Vec<Vec<u8>>,
    length: usize,
    account: MemoryAccount,
}

impl AccountedBuffer {
    /// Creates an empty buffer.
    pub fn new(account: MemoryAccount) -> AccountedBuffer {
        AccountedBuffer {
            blocks: Vec::new(),
            length: 0,
            account,
        }
    }

    /// Appends data, as soon as there is memory for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the account was revoked.
    pub async fn extend(&mut self, data: &[u8], now: impl Fn() -> Instant) -> Result<(), Revoked> {
        if self.account.is_revoked() {
            return Err(Revoked);
        }
        let mut rest = data;
        while !rest.is_empty() {
            if self.free_in_last_block() == 0 {
                let capacity = self.next_block_bytes(rest.len());
                poll_fn(|cx| self.account.poll_draw(capacity, now(), cx)).await?;
                self.blocks.push(Vec::with_capacity(capacity));
            }
            let (taken, left) = rest.split_at(rest.len().min(self.free_in_last_block()));
            if let Some(last) = self.blocks.last_mut() {
                last.extend_from_slice(taken);
            }
            self.length += taken.len();
            rest = left;
        }
        Ok(())
    }

    fn free_in_last_block(&self) -> usize {
        let last = self.blocks.last();
        last.map_or(0, |block| block.capacity() - block.len())
    }

    fn next_block_bytes(&self, wanted: usize) -> usize {
        if self.blocks.is_empty() {
            wanted.clamp(MIN_FIRST_BLOCK_BYTES, BLOCK_BYTES)
        } else {
            BLOCK_BYTES
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no content.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Reads the content from its start, without removing it.
    pub fn reader(&self) -> impl Read {
        BlockReader {
            blocks: &self.blocks,
            position: 0,
        }
    }

    /// Whether a part of the content fulfils a condition.
    pub fn any(&self, mut condition: impl FnMut(&u8) -> bool) -> bool {
        self.blocks.iter().flatten().any(&mut condition)
    }

    /// How often a byte occurs in the content.
    pub fn count(&self, byte: u8) -> usize {
        let occurrences = self.blocks.iter().flatten();
        occurrences.filter(|&&occurring| occurring == byte).count()
    }

    /// The account.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// The account, to draw what is needed beside the content.
    pub fn account_mut(&mut self) -> &mut MemoryAccount {
        &mut self.account
    }

    /// Drops the content and returns its memory.
    pub fn clear(&mut self) {
        let capacity = self.blocks.iter().map(Vec::capacity).sum();
        self.blocks = Vec::new();
        self.length = 0;
        self.account.give_back(capacity);
    }

    /// The content in one piece, which can no longer be revoked. Its memory is returned when the last
    /// clone of it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the account was revoked before.
    pub fn into_bytes(mut self, now: Instant) -> Result<Bytes, Revoked> {
        self.account.settle(now)?;
        let mut content = Vec::with_capacity(self.length);
        for block in &self.blocks {
            content.extend_from_slice(block);
        }
        self.clear();
        Ok(AccountedContent::new(content, self.account, now).into())
    }

    /// Replaces the content by one that was made from it, which can no longer be revoked.
    pub fn replace_by(mut self, content: Vec<u8>, now: Instant) -> AccountedContent {
        self.clear();
        AccountedContent::new(content, self.account, now)
    }
}

/// Reads the contents of blocks, one after the other.
struct BlockReader<'a> {
    blocks: &'a [Vec<u8>],
    /// Position in the first of the blocks.
    position: usize,
}

impl Read for BlockReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while let Some((first, rest)) = self.blocks.split_first() {
            let unread = &first[self.position..];
            if !unread.is_empty() {
                let length = unread.len().min(buffer.len());
                buffer[..length].copy_from_slice(&unread[..length]);
                self.position += length;
                return Ok(length);
            }
            self.blocks = rest;
            self.position = 0;
        }
        Ok(0)
    }
}

/// A content in one piece, together with the account that pays for it.
pub struct AccountedContent {
    content: Vec<u8>,
    _account: MemoryAccount,
}

impl AccountedContent {
    fn new(mut content: Vec<u8>, mut account: MemoryAccount, now: Instant) -> AccountedContent {
        content.shrink_to_fit();
        account.draw_settled(content.capacity(), now);
        AccountedContent {
            content,
            _account: account,
        }
    }
}

impl From<AccountedContent> for Bytes {
    /// The memory is returned when the last clone is dropped.
    fn from(content: AccountedContent) -> Bytes {
        Bytes::from_owner(content)
    }
}

impl AsRef<[u8]> for AccountedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
