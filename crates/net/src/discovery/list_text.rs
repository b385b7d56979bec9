//! The text of an endpoint list, whose memory is drawn from the budget while the list is read and
//! parsed.
//!
//! A list of a few megabytes can name so many endpoints that parsing it takes tens of megabytes.
//! Therefore the endpoints are counted, and their memory is drawn, before the text is parsed.

use super::list_message::ListMessage;
use super::watcher::{MalformedMessage, WatchError};
use pumiceway_memory::{AccountedBuffer, Holder, MemoryBudget, Revoked};
use std::future::poll_fn;
use std::time::Instant;

/// What an endpoint takes in a parsed list and in the update that is made from it.
const PARSED_ENDPOINT_BYTES: usize = 512;
/// Maximum length of a list or of a message of a watch, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// What endpoint lists may take.
#[derive(Clone)]
pub struct ListLimits {
    /// From which lists draw their memory.
    pub memory: MemoryBudget,
    /// Maximum number of endpoints in one message.
    pub max_endpoints: usize,
}

impl Default for ListLimits {
    /// No limits but the maximum length of a message.
    fn default() -> ListLimits {
        ListLimits {
            memory: MemoryBudget::new(usize::MAX),
            max_endpoints: usize::MAX,
        }
    }
}

/// The received part of a list or of another message.
pub(super) struct ListText {
    text: AccountedBuffer,
    max_endpoints: usize,
    /// What was drawn to parse the text.
    parsed_bytes: usize,
}

impl ListText {
    /// Creates an empty text.
    pub(super) fn new(limits: &ListLimits) -> ListText {
        let now = Instant::now();
        let mut account = limits.memory.open(Holder::EndpointList, now);
        // A list is never given up for the sake of clients, who need it.
        let _ = account.settle(now);
        ListText {
            text: AccountedBuffer::new(account),
            max_endpoints: limits.max_endpoints,
            parsed_bytes: 0,
        }
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too long or there is no memory for it.
    pub(super) async fn extend(&mut self, part: &[u8]) -> Result<(), WatchError> {
        if self.text.len() + part.len() > MAX_MESSAGE_BYTES {
            return Err(MalformedMessage::TooLong.into());
        }
        self.text.extend(part, Instant::now).await?;
        Ok(())
    }

    /// Whether there is no text.
    pub(super) fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Whether the text consists of white space.
    pub(super) fn is_blank(&self) -> bool {
        !self.text.any(|byte| !byte.is_ascii_whitespace())
    }

    /// Parses the text. The memory of the list is drawn until the text is cleared.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a list, it names too many endpoints, or there is no
    /// memory for them.
    pub(super) async fn parse(&mut self) -> Result<ListMessage, WatchError> {
        let objects = self.text.count(b'{');
        // One is the list itself.
        if objects > self.max_endpoints.saturating_add(1) {
            return Err(MalformedMessage::TooManyEndpoints(self.max_endpoints).into());
        }
        self.draw_parsed(objects * PARSED_ENDPOINT_BYTES).await?;
        Ok(serde_json::from_reader(self.text.reader()).map_err(MalformedMessage::from)?)
    }

    async fn draw_parsed(&mut self, bytes: usize) -> Result<(), Revoked> {
        let account = self.text.account_mut();
        poll_fn(|cx| account.poll_draw(bytes, Instant::now(), cx)).await?;
        self.parsed_bytes += bytes;
        Ok(())
    }

    /// Drops the text, and returns its memory and that of the list.
    pub(super) fn clear(&mut self) {
        self.text.clear();
        let parsed_bytes = std::mem::take(&mut self.parsed_bytes);
        self.text.account_mut().give_back(parsed_bytes);
    }
}
