//! When a request gets a second attempt while its first is in flight, and which of the two is
//! cancelled.
//!
//! A request is hedged when its only attempt in flight is late to start, is overdue, or is at an
//! endpoint that is suspected or ejected. It would otherwise be lost with an endpoint that hangs,
//! or wait in a queue that an old load report did not show while another endpoint is free. It is
//! not hedged if the settings do not allow it, if the rules permit no further attempt, or while no
//! eligible endpoint would start it now.
//!
//! Late starts count only where endpoints report starts and attempts can be cancelled. Once an
//! attempt starts, the attempts that have not started are cancelled, if cancellation is allowed.

use super::Balancer;
use super::selection::EndpointQueueing;
use crate::api::{Action, AttemptProgress, Progress, RequestId, Timestamp};
use crate::state::{Attempt, Request};

impl Balancer {
    /// Handles the progress of an attempt: its start, or the fraction that is done.
    pub(super) fn on_progress(
        &mut self,
        now: Timestamp,
        progress: AttemptProgress,
        actions: &mut Vec<Action>,
    ) {
        let AttemptProgress {
            request,
            attempt_index,
            endpoint,
            progress,
        } = progress;
        self.mark_alive(now, endpoint);
        if progress == Progress::Started {
            self.on_attempt_started(now, request, attempt_index, endpoint);
            self.cancel_other_attempts(request, attempt_index, actions);
        }
        self.state.record_progress(now, request, attempt_index);
    }

    fn cancel_other_attempts(&self, id: RequestId, started: usize, actions: &mut Vec<Action>) {
        if !self.settings.cancellation {
            return;
        }
        let Some(request) = self.state.requests.get(&id) else {
            return;
        };
        for (attempt_index, attempt) in request.attempts.iter().enumerate() {
            if attempt_index != started && is_unstarted(attempt) {
                actions.push(Action::Cancel {
                    request: id,
                    attempt_index,
                });
            }
        }
    }

    /// Sends a second attempt of each request that needs one, if the rules permit it and an
    /// endpoint would start it now.
    pub(super) fn hedge(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.settings.hedging {
            return;
        }
        let hedges_late_starts = self.settings.reports_start && self.settings.cancellation;
        let mut open_requests = self.state.requests.values();
        self.state.awaits_start = hedges_late_starts
            && open_requests.any(|request| request.attempts.iter().any(is_unstarted));
        let needs_hedge = |request: &Request| {
            !request.is_done && self.needs_hedge(now, request, hedges_late_starts)
        };
        let requests = self
            .state
            .requests
            .iter()
            .filter(|(_, request)| needs_hedge(request));
        let ids: Vec<RequestId> = requests.map(|(&id, _)| id).collect();
        for id in ids {
            self.try_send(now, id, EndpointQueueing::Avoided, actions);
        }
    }

    /// Whether a request has exactly one attempt in flight, and that attempt is late to start,
    /// overdue, or at a suspected or ejected endpoint.
    fn needs_hedge(&self, now: Timestamp, request: &Request, hedges_late_starts: bool) -> bool {
        let Some(attempt) = request.only_attempt_in_flight() else {
            return false;
        };
        let start_due_at = self.idle_response_due_at(attempt.sent_at);
        let start_is_late = hedges_late_starts && !attempt.has_started && now >= start_due_at;
        start_is_late
            || attempt.is_overdue
            || self
                .state
                .endpoint(attempt.endpoint)
                .excluded_until
                .is_some()
    }
}

fn is_unstarted(attempt: &Attempt) -> bool {
    attempt.is_in_flight() && !attempt.has_started
}
