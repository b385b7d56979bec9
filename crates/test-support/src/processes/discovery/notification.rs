//! Determines when a dispatcher counts as notified of a change of the list.
//!
//! Without an agent, that is when the change was sent to the dispatcher, or a limit after discovery
//! was reachable with the change, whichever is earlier. With an agent, it is as soon as the agent
//! has the change, unless the dispatcher's watch is silent or discovery has moved since a list was
//! last sent.

use super::{DiscoveryLink, Move};
use crate::processes::ListDelivery;
use std::time::{Duration, Instant};

/// The times after which a dispatcher counts as notified of a change.
pub struct NotificationLimits {
    /// The time from when discovery was reachable with the change, or a watch became silent.
    pub after_reachable: Duration,
    /// The time from when a new configuration moved discovery.
    pub after_move: Duration,
}

/// A change of the list, and the process that has to be notified of it.
pub struct ChangeToNotify {
    /// When the process was started.
    pub process_started_at: Instant,
    /// When the list was changed.
    pub changed_at: Instant,
    /// The version of the list that includes the change.
    pub version: u64,
}

/// A watch that sends nothing.
struct SilentWatch {
    since: Instant,
    closed_at: Option<Instant>,
}

impl DiscoveryLink {
    /// When a process counts as notified of a change: the earliest of when the change was sent to
    /// it, a limit after discovery was reachable with the change, and a limit after a move since
    /// which nothing was sent. None if discovery was not reachable and nothing was sent.
    pub fn notified_at(
        &self,
        change: &ChangeToNotify,
        limits: &NotificationLimits,
    ) -> Option<Instant> {
        let reachable_at = self.service.reachable_from(change.changed_at);
        let after_move = reachable_at.and_then(|at| self.move_limit_at(change, at, limits));
        let after_reachable = match self.lists {
            ListDelivery::Polled => reachable_at.map(|at| at + limits.after_reachable),
            ListDelivery::Pushed if after_move.is_some() => None,
            ListDelivery::Pushed => reachable_at.map(|at| self.agent_notified_at(at, limits)),
        };
        let sent_at = self.sent_at(change);
        [after_reachable, after_move, sent_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// When the dispatcher counts as notified of a change that its agent has at this time: at once,
    /// unless the watch that is open at this time is silent.
    fn agent_notified_at(&self, at: Instant, limits: &NotificationLimits) -> Instant {
        let Some(silent) = self.silent_watch(at) else {
            return at;
        };
        let closed_at = silent.closed_at;
        (silent.since + limits.after_reachable)
            .max(at)
            .min(closed_at.unwrap_or(at + limits.after_reachable))
    }

    fn sent_at(&self, change: &ChangeToNotify) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let mut sent = state.sent_versions.iter();
        let first = sent
            .find(|sent| sent.at >= change.process_started_at && sent.version >= change.version)?;
        Some(first.at)
    }

    /// When the process counts as notified, because of a move, of a change with which discovery was
    /// reachable from `reachable_at` on. A move counts only if the process was notified of it, and
    /// had not been sent a list since the move when discovery became reachable with the change.
    fn move_limit_at(
        &self,
        change: &ChangeToNotify,
        reachable_at: Instant,
        limits: &NotificationLimits,
    ) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let moves = &state.moves;
        let limit_after = |(index, moved): (usize, &Move)| {
            if moved.at < change.process_started_at {
                return None;
            }
            // A list that was sent at the address of a later move counts for this move as well.
            let later = moves[index..].iter();
            let first_list_at = later.filter_map(|later| later.first_list_at).min();
            // A list that was sent later includes the change, and is covered by `sent_at`.
            let was_sent_before = first_list_at.is_some_and(|at| at <= reachable_at);
            (!was_sent_before).then(|| (moved.at + limits.after_move).max(reachable_at))
        };
        moves.iter().enumerate().filter_map(limit_after).min()
    }

    /// The watch that was open at this time, if it was silent or became silent later.
    fn silent_watch(&self, at: Instant) -> Option<SilentWatch> {
        let state = self.state.lock().unwrap();
        let mut latest_first = state.watches.iter().rev();
        let open = latest_first.find(|watch| {
            watch.opened_at <= at && watch.closed_at.is_none_or(|closed_at| closed_at > at)
        })?;
        Some(SilentWatch {
            since: open.silent_since?,
            closed_at: open.closed_at,
        })
    }
}
