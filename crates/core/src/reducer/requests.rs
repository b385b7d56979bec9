//! Open requests, from their submission to their final response.
//!
//! A request is kept until it is done and has no attempt in flight. Clients that send a request
//! again join the open one, by its unique id or by its request id with the same content.

use super::attempts::ATTEMPT_MARGIN;
use super::timers::Timer;
use crate::idempotency_cache::Lookup;
use crate::{
    ClientRequest, ClientResponse, Core, Effect, Failure, Job, Rejection, RequestHandle, UniqueId,
};
use pumiceway_decisions::api::{
    self, Class, ClassId, Idempotency, IncomingRequest, RequestId, Timestamp,
};
use pumiceway_decisions::rules::{AttemptRecord, Execution};
use std::sync::Arc;
use std::time::Duration;

/// The final response is given this long before the client's deadline, as it has to arrive before
/// it. Attempts end 15 ms earlier, so that the decisions can still choose the response.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// A request until it is over.
pub(super) struct OpenRequest {
    pub(super) class: ClassId,
    pub(super) deadline: Timestamp,
    pub(super) job: Arc<Job>,
    unique_id: Option<UniqueId>,
    /// The clients that wait for its response.
    pub(super) handles: Vec<RequestHandle>,
    pub(super) attempts: Vec<AttemptRecord>,
    /// It has its final response, or nobody waits for one.
    pub(super) is_done: bool,
}

impl OpenRequest {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.execution == Execution::InFlight)
    }

    /// Whether an attempt may have had an effect, or may yet.
    fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.execution != Execution::NeverRan)
    }

    /// Whether a request with the same request id is the same request, sent again.
    fn is_repeated_by(&self, request: &ClientRequest) -> bool {
        let without_unique_id = self.unique_id.is_none() && request.unique_id.is_none();
        without_unique_id && !self.is_done && self.class == request.class && self.job == request.job
    }
}

/// The time at which a response is owed at once.
fn respond_at(deadline: Timestamp) -> Timestamp {
    deadline.saturating_sub(FINAL_RESPONSE_MARGIN)
}

/// How long the id of a request that may have run is remembered: for as long as a client may wait
/// for its response, or endpoints recognise a repeat. `None`: it may run any number of times.
fn consumed_id_lifetime(class: &Class) -> Option<Duration> {
    match class.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::Keyed { window, .. } => Some(class.deadline.max(window)),
        Idempotency::NonIdempotent => Some(class.deadline),
    }
}

impl Core {
    pub(super) fn on_submitted(
        &mut self,
        now: Timestamp,
        handle: RequestHandle,
        request: ClientRequest,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(unique_id) = &request.unique_id {
            match self.cache.look_up(now, unique_id) {
                Lookup::New => {}
                Lookup::Running(running) => return self.join_running(running, handle),
                Lookup::Cached(response) => {
                    return effects.push(Effect::Respond { handle, response });
                }
                Lookup::Full => {
                    let response = ClientResponse::Overloaded {
                        retry_after: self.retry_after,
                    };
                    return effects.push(Effect::Respond { handle, response });
                }
            }
        }
        let remaining = self.bounded_remaining(&request);
        let deadline = self.shutdown.deadline(now, remaining);
        if let Some(&open) = self.request_ids.get(&request.job.id) {
            self.join_repeated(open, handle, &request, deadline, effects);
        } else if self.consumed_ids.contains(now, &request.job.id) {
            let response = ClientResponse::Failed(Failure::MayHaveRunBefore);
            effects.push(Effect::Respond { handle, response });
        } else {
            self.open(handle, request, remaining, deadline);
        }
    }

    /// A client that would wait for longer than its class allows would make all others look as if
    /// they had waited.
    fn bounded_remaining(&self, request: &ClientRequest) -> Duration {
        let class = self.settings.classes.get(request.class.0);
        class.map_or(request.remaining, |class| {
            request.remaining.min(class.deadline)
        })
    }

    fn open(
        &mut self,
        handle: RequestHandle,
        request: ClientRequest,
        remaining: Duration,
        deadline: Timestamp,
    ) {
        let id = RequestId(self.next_id());
        self.request_ids.insert(request.job.id.clone(), id);
        if let Some(unique_id) = &request.unique_id {
            self.cache.begin(unique_id.clone(), id);
        }
        self.timers
            .set(respond_at(deadline), Timer::RequestDeadline(id));
        self.waiting.insert(handle, id);
        self.notify_balancer(api::Event::RequestArrived(IncomingRequest {
            request: id,
            class: request.class,
            // The whole time, also during a shutdown: a shorter one would look like a request sent
            // again.
            remaining: remaining.saturating_sub(ATTEMPT_MARGIN),
            slots: request.slots,
            memory: request.memory,
            work_hint: None,
            tenant: request.tenant,
            affinity_key: request.job.affinity_key(),
        }));
        let open = OpenRequest {
            class: request.class,
            deadline,
            job: request.job,
            unique_id: request.unique_id,
            handles: vec![handle],
            attempts: vec![],
            is_done: false,
        };
        self.requests.insert(id, open);
    }

    /// A client that lost its connection sends its request again.
    fn join_running(&mut self, id: RequestId, handle: RequestHandle) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.handles.push(handle);
            self.waiting.insert(handle, id);
        }
    }

    /// A request id is submitted that is open: the same request joins it, another one is rejected.
    fn join_repeated(
        &mut self,
        id: RequestId,
        handle: RequestHandle,
        repeat: &ClientRequest,
        deadline: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let request = self
            .requests
            .get_mut(&id)
            .filter(|request| request.is_repeated_by(repeat));
        let Some(request) = request else {
            let response = ClientResponse::Rejected(Rejection::IdInUse);
            return effects.push(Effect::Respond { handle, response });
        };
        request.handles.push(handle);
        self.waiting.insert(handle, id);
        // The client that waits for the shortest time has to get its response in time.
        if deadline < request.deadline {
            self.timers
                .cancel(respond_at(request.deadline), Timer::RequestDeadline(id));
            self.timers
                .set(respond_at(deadline), Timer::RequestDeadline(id));
            request.deadline = deadline;
        }
    }

    /// Without a unique id nobody can ask for the response any more; with one, the request goes on
    /// for whoever sends it again.
    pub(super) fn on_client_disconnected(&mut self, now: Timestamp, handle: RequestHandle) {
        let Some(id) = self.waiting.remove(&handle) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.handles.retain(|waiting| *waiting != handle);
        if request.handles.is_empty() && request.unique_id.is_none() && !request.is_done {
            self.consume_id(now, id);
            self.finish(id);
            self.notify_balancer(api::Event::ClientDisconnected { request: id });
        }
    }

    pub(super) fn on_request_deadline(
        &mut self,
        now: Timestamp,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        // The decisions say whether it is shed or has failed.
        self.notify_balancer(api::Event::DeadlineReached { request: id });
        self.run_balancer(now, effects);
        // Whatever they say, the client gets a response.
        let response = ClientResponse::Failed(Failure::NotServed);
        self.respond(now, id, &response, effects);
        self.notify_balancer(api::Event::ClientDisconnected { request: id });
    }

    /// Gives all clients of a request their final response, unless they have one.
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
        if let Some(unique_id) = request.unique_id.clone() {
            self.cache.complete(now, unique_id, response);
        }
        for handle in std::mem::take(&mut request.handles) {
            self.waiting.remove(&handle);
            effects.push(Effect::Respond {
                handle,
                response: response.clone(),
            });
        }
        // After any other response, a retry is harmless.
        if matches!(
            response,
            ClientResponse::Served(_) | ClientResponse::Failed(_)
        ) {
            self.consume_id(now, id);
        }
        self.finish(id);
    }

    /// Remembers the id of a request that is over and may have run, unless its class may run any
    /// number of times.
    fn consume_id(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.unique_id.is_some() || !request.may_have_run() {
            return;
        }
        let class = self.settings.classes.get(request.class.0);
        if let Some(lifetime) = class.and_then(consumed_id_lifetime) {
            self.consumed_ids.insert(now + lifetime, &request.job.id);
        }
    }

    /// No response is owed for the request any more.
    fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_done = true;
            self.timers
                .cancel(respond_at(request.deadline), Timer::RequestDeadline(id));
        }
        self.forget_if_over(id);
    }

    /// Forgets a request that is done and has no attempt in flight. Not before: where attempts
    /// cannot be cancelled, its id could be sent twice at once.
    pub(super) fn forget_if_over(&mut self, id: RequestId) {
        let is_over = |request: &OpenRequest| request.is_done && !request.has_attempt_in_flight();
        if self.requests.get(&id).is_some_and(is_over)
            && let Some(request) = self.requests.remove(&id)
        {
            self.request_ids.remove(&request.job.id);
        }
    }
}
