//! Open requests, from their submission to their final response.
//!
//! A request is kept until it is done and has no attempt in flight. Its unique id stands for the job:
//! whoever submits it again joins the open request. Its request id stands for this one submission:
//! every other submission under it is rejected, since its client may be another one.

use super::attempts::ATTEMPT_MARGIN;
use super::timers::Timer;
use crate::idempotency_cache::Lookup;
use crate::request::{Identity, UniqueId};
use crate::{
    ClientRequest, ClientResponse, Core, Effect, Failure, Job, JobFunction, Rejection,
    RequestHandle,
};
use pumiceway_decisions::api::{
    self, ClassId, Idempotency, IncomingRequest, RequestId, Settings, Timestamp,
};
use pumiceway_decisions::rules::{AttemptRecord, Execution};
use std::sync::Arc;
use std::time::Duration;

/// The final response is sent this long before the client's deadline so that it arrives in time.
/// Attempts time out 15 ms earlier, so that the balancer can still choose the response.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// A request that is not done or still has an attempt in flight.
pub(super) struct OpenRequest {
    pub(super) function: JobFunction,
    pub(super) deadline: Timestamp,
    pub(super) job: Arc<Job>,
    /// By what it is recognised if it is submitted again.
    identity: Option<Identity>,
    /// The clients that wait for the response.
    pub(super) handles: Vec<RequestHandle>,
    pub(super) attempts: Vec<AttemptRecord>,
    /// The final response has been sent, or no client waits for one.
    pub(super) is_done: bool,
}

impl OpenRequest {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.execution == Execution::InFlight)
    }

    /// The unique id of its job, if it has one.
    pub(super) fn unique_id(&self) -> Option<&UniqueId> {
        match &self.identity {
            Some(Identity::Job(unique_id)) => Some(unique_id),
            Some(Identity::Request(_)) | None => None,
        }
    }

    /// Whether any attempt may have run or may still run.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.execution != Execution::NeverRan)
    }
}

/// When a request with this deadline must get its final response.
fn final_response_at(deadline: Timestamp) -> Timestamp {
    deadline.saturating_sub(FINAL_RESPONSE_MARGIN)
}

/// How long a request that may have run is remembered: at least this long, at least while a client
/// may wait for its response, and for keyed classes also while endpoints deduplicate repeats.
pub(super) fn consumed_id_lifetime(settings: &Settings, at_least: Duration) -> Duration {
    let times = settings
        .classes
        .iter()
        .map(|class| match class.idempotency {
            Idempotency::Keyed { window, .. } => class.deadline.max(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => class.deadline,
        });
    times.fold(at_least, Duration::max)
}

fn is_idempotent(settings: &Settings, class: ClassId) -> bool {
    let class = settings.classes.get(class.0);
    class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
}

/// What becomes of a submission.
enum Admission {
    /// It opens a request.
    Opens,
    /// It joins this open request.
    Joins(RequestId),
    /// It gets this response at once.
    Ends(ClientResponse),
}

impl Core {
    pub(super) fn on_request_submitted(
        &mut self,
        now: Timestamp,
        handle: RequestHandle,
        request: ClientRequest,
        effects: &mut Vec<Effect>,
    ) {
        let identity = request.identity();
        match self.admit(now, &request, identity.as_ref()) {
            Admission::Opens => self.open_request(now, handle, request, identity),
            Admission::Joins(open) => self.join(open, handle),
            Admission::Ends(response) => effects.push(Effect::Respond { handle, response }),
        }
    }

    /// Decides whether a submission repeats an earlier one, and whether a new request can be remembered
    /// for as long as it has to be.
    fn admit(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        identity: Option<&Identity>,
    ) -> Admission {
        let is_consumed = identity.is_some_and(|identity| self.consumed_ids.renew(now, identity));
        let lookup = match identity {
            Some(Identity::Job(unique_id)) => self.cache.look_up(now, unique_id),
            Some(Identity::Request(_)) | None => Lookup::New,
        };
        let must_not_repeat =
            identity.is_some() && !is_idempotent(&self.settings, request.function.class);
        let response = match lookup {
            Lookup::Running(running) => return Admission::Joins(running),
            Lookup::Cached(response) => response,
            Lookup::New | Lookup::Full if is_consumed => {
                ClientResponse::Failed(Failure::MayHaveRunBefore)
            }
            Lookup::New | Lookup::Full if self.request_ids.contains(&request.job.id) => {
                ClientResponse::Rejected(Rejection::IdInUse)
            }
            Lookup::New if !must_not_repeat || self.has_room_for_id(now) => {
                return Admission::Opens;
            }
            Lookup::New | Lookup::Full => ClientResponse::Overloaded {
                retry_after: self.retry_after,
            },
        };
        Admission::Ends(response)
    }

    fn has_room_for_id(&mut self, now: Timestamp) -> bool {
        self.consumed_ids.has_room(now, self.requests.len())
    }

    /// Whether a request must not run again, although its client may ask for it.
    pub(super) fn must_not_run_again(&self, request: &OpenRequest) -> bool {
        request.may_have_run() && !is_idempotent(&self.settings, request.function.class)
    }

    /// The remaining time, limited to the deadline of the class. The balancer derives the age of a
    /// request from the longest remaining time it has seen. One that exceeds the deadline would
    /// make all later requests look as if they had been sent long ago.
    fn limited_remaining(&self, request: &ClientRequest) -> Duration {
        let class = self.settings.classes.get(request.function.class.0);
        class.map_or(request.remaining, |class| {
            request.remaining.min(class.deadline)
        })
    }

    fn open_request(
        &mut self,
        now: Timestamp,
        handle: RequestHandle,
        request: ClientRequest,
        identity: Option<Identity>,
    ) {
        let remaining = self.limited_remaining(&request);
        let deadline = self.shutdown.deadline(now, remaining);
        let id = RequestId(self.next_id());
        self.request_ids.insert(request.job.id.clone());
        if let Some(Identity::Job(unique_id)) = &identity {
            self.cache.begin(unique_id.clone(), id);
        }
        self.timers
            .set(final_response_at(deadline), Timer::RequestDeadline(id));
        self.waiting.insert(handle, id);
        self.notify_balancer(api::Event::RequestArrived(IncomingRequest {
            request: id,
            class: request.function.class,
            function: request.function.additional,
            // Not shortened by a shutdown: the balancer would take a request with less remaining
            // time for one that its client has sent again.
            remaining: remaining.saturating_sub(ATTEMPT_MARGIN),
            slots: request.slots,
            memory: request.memory,
            work_hint: None,
            tenant: request.tenant,
            affinity_key: request.job.affinity_key(),
        }));
        let open = OpenRequest {
            function: request.function,
            deadline,
            job: request.job,
            identity,
            handles: vec![handle],
            attempts: vec![],
            is_done: false,
        };
        self.requests.insert(id, open);
    }

    /// Adds a client that sends a running request again under its unique id.
    fn join(&mut self, id: RequestId, handle: RequestHandle) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.handles.push(handle);
            self.waiting.insert(handle, id);
        }
    }

    /// Finishes the request once its last client has disconnected: it is not sent again, and the
    /// balancer cancels its attempts in flight if the settings allow it. With a unique id, a request
    /// that may have run continues up to its deadline instead, as a client may still ask for the
    /// response by that id.
    pub(super) fn on_client_disconnected(&mut self, now: Timestamp, handle: RequestHandle) {
        let Some(id) = self.waiting.remove(&handle) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.handles.retain(|waiting| *waiting != handle);
        let continues = request.unique_id().is_some() && request.may_have_run();
        if request.handles.is_empty() && !continues && !request.is_done {
            if let Some(unique_id) = request.unique_id() {
                self.cache.forget(unique_id);
            }
            self.remember_consumed_id(now, id);
            self.finish_request(id);
            self.notify_balancer(api::Event::ClientDisconnected { request: id });
        }
    }

    pub(super) fn on_request_deadline(
        &mut self,
        now: Timestamp,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        // The balancer decides whether the request is shed or fails.
        self.notify_balancer(api::Event::DeadlineReached { request: id });
        self.run_balancer(now, effects);
        // Fallback, in case the balancer gave no response.
        let response = ClientResponse::Failed(Failure::NotServed);
        self.respond(now, id, &response, effects);
        // Makes the balancer end the request, in case it gave no response.
        self.notify_balancer(api::Event::ClientDisconnected { request: id });
    }

    /// Sends the final response to all clients of a request, unless the request is already done.
    pub(super) fn respond(
        &mut self,
        now: Timestamp,
        id: RequestId,
        response: &ClientResponse,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.is_done)
        else {
            return;
        };
        if let Some(unique_id) = request.unique_id().cloned() {
            let is_idempotent = is_idempotent(&self.settings, request.function.class);
            self.cache.complete(now, unique_id, response, is_idempotent);
        }
        for handle in std::mem::take(&mut request.handles) {
            self.waiting.remove(&handle);
            effects.push(Effect::Respond {
                handle,
                response: response.clone(),
            });
        }
        // After `Rejected` a retry is harmless, so the id stays usable.
        if !matches!(response, ClientResponse::Rejected(_)) {
            self.remember_consumed_id(now, id);
        }
        self.finish_request(id);
    }

    /// Remembers a done request that may have run, so that it does not run again, unless its class is
    /// idempotent. Where endpoints recognise a repeat, its client may have been told to retry; that is
    /// a new request, with the same key.
    fn remember_consumed_id(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Some(identity) = &request.identity
            && self.must_not_run_again(request)
        {
            self.consumed_ids.insert(now, identity);
        }
    }

    /// Marks a request as done and cancels its deadline timer.
    fn finish_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_done = true;
            self.timers.cancel(
                final_response_at(request.deadline),
                Timer::RequestDeadline(id),
            );
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that is done and has no attempt in flight. If it were removed while an
    /// attempt that cannot be cancelled is still in flight, its client could send it again under
    /// the same id, and it would be in flight twice.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |request: &OpenRequest| request.is_done && !request.has_attempt_in_flight();
        if self.requests.get(&id).is_some_and(is_finished)
            && let Some(request) = self.requests.remove(&id)
        {
            self.request_ids.remove(&request.job.id);
        }
    }
}
