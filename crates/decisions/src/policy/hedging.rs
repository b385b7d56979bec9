//! When a request gets a second attempt beside its first, and which of the two is cancelled.
//!
//! A request is hedged when its only attempt has not started promptly, is overdue, or is at an
//! ejected endpoint: it would be lost with an endpoint that hangs, or wait in a queue that an old
//! load report did not show while another endpoint is free. Once an attempt starts, the ones that
//! have not are cancelled.

use super::Balancer;
use super::selection::EndpointQueue;
use crate::api::{Action, AttemptProgress, Progress, RequestId, Timestamp};
use crate::state::{Attempt, Request};

impl Balancer {
    /// An attempt has reported its start, or how far it is.
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
        self.note_alive(now, endpoint);
        if progress == Progress::Started {
            self.on_start(now, request, attempt_index, endpoint);
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

    /// Sends a second attempt of each request that needs one, where an endpoint would start it now.
    pub(super) fn hedge(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.settings.hedging {
            return;
        }
        let moves_unstarted = self.settings.reports_start && self.settings.cancellation;
        let mut open_requests = self.state.requests.values();
        self.state.awaits_start = moves_unstarted
            && open_requests.any(|request| request.attempts.iter().any(is_unstarted));
        let needs_hedge =
            |request: &Request| !request.is_done && self.needs_hedge(now, request, moves_unstarted);
        let requests = self
            .state
            .requests
            .iter()
            .filter(|(_, request)| needs_hedge(request));
        let ids: Vec<RequestId> = requests.map(|(&id, _)| id).collect();
        for id in ids {
            self.try_send(now, id, EndpointQueue::Avoided, actions);
        }
    }

    fn needs_hedge(&self, now: Timestamp, request: &Request, moves_unstarted: bool) -> bool {
        let Some(attempt) = request.only_attempt_in_flight() else {
            return false;
        };
        let prompt_start_by = self.prompt_by(attempt.sent_at);
        let is_late = moves_unstarted && !attempt.has_started && now >= prompt_start_by;
        is_late
            || attempt.is_overdue
            || self
                .state
                .endpoint(attempt.endpoint)
                .ejected_until
                .is_some()
    }
}

fn is_unstarted(attempt: &Attempt) -> bool {
    attempt.is_in_flight() && !attempt.has_started
}
