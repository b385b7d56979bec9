//! When a change of the list counts as notified to a dispatcher.
//!
//! It does when it was sent, or else after a limit from when discovery could be reached with it. An
//! agent beside the dispatcher counts at once for what it has, except on a watch that is silent.

use super::{DiscoveryLink, Move};
use crate::processes::ListDelivery;
use std::time::{Duration, Instant};

/// Within what time a change counts as notified.
pub struct NotificationLimits {
    /// After discovery could be reached with it, or a watch fell silent.
    pub after_reachable: Duration,
    /// After a new configuration has moved discovery.
    pub after_move: Duration,
}

/// A change, for one process of the dispatcher.
pub struct ChangeToNotify {
    /// When the process was started.
    pub process_started_at: Instant,
    /// When the list was changed.
    pub changed_at: Instant,
    /// The version of the list that the change made.
    pub version: u64,
}

/// A watch that sends nothing.
struct SilentWatch {
    since: Instant,
    closed_at: Option<Instant>,
}

impl DiscoveryLink {
    /// When a change counts as notified to a process: when it was sent to it, or a limit after
    /// discovery could be reached with it, or a limit after a move since which nothing was sent.
    pub fn notified_at(
        &self,
        change: &ChangeToNotify,
        limits: &NotificationLimits,
    ) -> Option<Instant> {
        let reachable_at = self.service.reachable_from(change.changed_at);
        let after_move = reachable_at.and_then(|at| self.limit_after_move(change, at, limits));
        let after_reachable = match self.lists {
            ListDelivery::Polled => reachable_at.map(|at| at + limits.after_reachable),
            ListDelivery::Pushed if after_move.is_some() => None,
            ListDelivery::Pushed => reachable_at.map(|at| self.agent_counts_at(at, limits)),
        };
        let sent_at = self.sent_at(change);
        [after_reachable, after_move, sent_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// When a change counts that an agent has at this time: at once, unless the watch of that time
    /// is silent.
    fn agent_counts_at(&self, at: Instant, limits: &NotificationLimits) -> Instant {
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

    /// When a change that discovery had at this time counts because of a move: one that the process
    /// was notified of, and since which it was sent nothing until the change.
    fn limit_after_move(
        &self,
        change: &ChangeToNotify,
        reachable_at: Instant,
        limits: &NotificationLimits,
    ) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let moves = &state.moves;
        let counts_for = |(index, moved): (usize, &Move)| {
            if moved.at < change.process_started_at {
                return None;
            }
            // A list that was sent at the address of a later move counts for this one as well.
            let later = moves[index..].iter();
            let first_list_at = later.filter_map(|later| later.first_list_at).min();
            // A list that was sent after the change has it, and counts by itself.
            let was_sent_before = first_list_at.is_some_and(|at| at <= reachable_at);
            (!was_sent_before).then(|| (moved.at + limits.after_move).max(reachable_at))
        };
        moves.iter().enumerate().filter_map(counts_for).min()
    }

    /// The watch that was open at this time, if it was silent or became so.
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
