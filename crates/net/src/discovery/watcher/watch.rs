//! The state of a watch that the service has opened.

use std::time::Duration;
use tokio::time::Instant;

/// An empty line is a heartbeat if nothing else came for this long before it. Right before or after
/// a message it is only a part of the layout, and must not confirm what the message may take back.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_secs(1);

/// A watch that the service has opened.
#[derive(Debug)]
pub(super) struct Watch {
    /// When the call was begun.
    pub(super) called_at: Instant,
    /// When the head of the response came.
    pub(super) opened_at: Instant,
    /// When the watch was last seen to be open.
    pub(super) last_seen_open: Instant,
    /// The watch has sent what changed since the version that it was requested from.
    pub(super) is_up_to_date: bool,
    last_update: Instant,
}

impl Watch {
    /// A watch that has just been opened, by a call that was begun at this time.
    pub(super) fn open(called_at: Instant) -> Watch {
        let opened_at = Instant::now();
        Watch {
            called_at,
            opened_at,
            last_seen_open: called_at,
            is_up_to_date: false,
            last_update: opened_at,
        }
    }

    /// The watch has sent an update.
    pub(super) fn updated(&mut self) {
        self.last_update = Instant::now();
    }

    /// Whether an empty line that comes now says that nothing has changed.
    pub(super) fn accepts_heartbeat(&self) -> bool {
        // Before the first message, changes since the requested version are still to come.
        self.is_up_to_date && self.last_update.elapsed() >= MIN_HEARTBEAT_GAP
    }
}
