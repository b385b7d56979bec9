//! The state of a watch that the service has opened.

use std::time::Duration;
use tokio::time::Instant;

/// An empty line is a heartbeat only if nothing was received for this long before it. Next to a
/// message it is merely part of the layout and must not confirm a list that the message may change.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_secs(1);

/// A watch that the service has opened.
#[derive(Debug)]
pub(super) struct Watch {
    /// When the call was started.
    pub(super) called_at: Instant,
    /// When the head of the response was received.
    pub(super) opened_at: Instant,
    /// When the watch was last known to be open.
    pub(super) last_seen_open: Instant,
    /// Whether the watch has sent the changes since the requested version.
    pub(super) is_up_to_date: bool,
    last_update_at: Instant,
}

impl Watch {
    /// Creates a watch that has just been opened by a call that was started at `called_at`.
    pub(super) fn open(called_at: Instant) -> Watch {
        let opened_at = Instant::now();
        Watch {
            called_at,
            opened_at,
            last_seen_open: called_at,
            is_up_to_date: false,
            last_update_at: opened_at,
        }
    }

    /// Records that the watch has sent an update.
    pub(super) fn record_update(&mut self) {
        self.last_update_at = Instant::now();
    }

    /// Returns whether an empty line received now is a heartbeat, which confirms the list.
    pub(super) fn accepts_heartbeat(&self) -> bool {
        // Until the first message, the changes since the requested version are outstanding.
        self.is_up_to_date && self.last_update_at.elapsed() >= MIN_HEARTBEAT_GAP
    }
}
