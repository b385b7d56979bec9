//! The event loop: executes the effects of the core and feeds their results back to it as events.
//!
//! The core is a state machine without I/O; this module is the asynchronous layer around it. One
//! task owns the core and everything in flight, so no locks are needed. Frontends, attempts and
//! health checks run as separate tasks and send [`LoopMessage`]s. Endpoint lists arrive through
//! separate channels with a capacity of one update, so that a source that sends continuously is
//! subject to back-pressure. Pending messages are handled before the timer.

mod clock;
mod dispatcher;
mod effects;
mod endpoint_memory;
mod memory_log;
mod upstreams;
mod watch;

pub use clock::Clock;
pub use dispatcher::Dispatcher;

use crate::config::{Reload, SocketBudget};
use crate::discovery::{ListLimits, SourceUpdate};
use crate::frontend::gearman::workers::WorkerSessions;
use crate::frontend::{EventSender, FrontendState, LoopMessage};
use crate::upstream::AttemptConnection;
use endpoint_memory::EndpointMemory;
use memory_log::MemoryLog;
use pumiceway_core::{
    AttemptId, AttemptUpdate, ClientRequest, ClientResponse, Core, Endpoint, EndpointListUpdate,
    EndpointSource, Event, Job, JobFunction, RequestHandle,
};
use pumiceway_decisions::api::{EndpointId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_memory::MemoryBudget;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::{mpsc, oneshot, watch as watch_channel};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tracing::debug;
use upstreams::Upstreams;
use watch::WatchTask;

/// Maximum number of messages handled per batch.
const MAX_BATCH_MESSAGES: usize = 1_024;
/// Capacity of the channel of a source of endpoints. While the channel is full, the source stops
/// reading; otherwise a service that sends continuously would exhaust the memory.
const SOURCE_CHANNEL_CAPACITY: usize = 1;

/// The channels that the event loop receives from.
struct Inputs {
    messages: mpsc::UnboundedReceiver<LoopMessage>,
    zookeeper: mpsc::Receiver<SourceUpdate>,
    reloads: mpsc::UnboundedReceiver<Reload>,
}

/// A client that is waiting for its response.
struct PendingClient {
    response: oneshot::Sender<ClientResponse>,
    /// Receives progress, if the client subscribed to it.
    updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    job: Arc<Job>,
    function: JobFunction,
    submitted_at: Timestamp,
}

/// An attempt in flight over HTTP.
struct RunningAttempt {
    endpoint: EndpointId,
    connection: AttemptConnection,
    task: AbortHandle,
}

/// Owns the core and everything in flight.
struct EventLoop {
    clock: Clock,
    core: Core,
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    /// The worker sessions, if the Gearman frontend is enabled.
    workers: Option<WorkerSessions>,
    upstreams: Upstreams,
    /// From which all holders of memory draw.
    memory: MemoryBudget,
    memory_log: MemoryLog,
    endpoint_memory: EndpointMemory,
    /// What endpoint lists may take.
    lists: ListLimits,
    attempts: HashMap<AttemptId, RunningAttempt>,
    clients: HashMap<RequestHandle, PendingClient>,
    /// Whether the dispatcher reports itself as ready.
    ready: Arc<AtomicBool>,
    /// Closes the frontends.
    close_frontends: watch_channel::Sender<FrontendState>,
    /// When the core's timer fires, if it is set.
    timer: Option<Timestamp>,
    exit: bool,
    /// The watch whose updates renew the lease on the endpoint list.
    watch: Option<WatchTask>,
    /// The watch at the new address after a reload has changed the address of discovery. It
    /// replaces `watch` at its first update other than `Lost`.
    next_watch: Option<WatchTask>,
}

impl EventLoop {
    /// Creates an event loop without endpoints and without a Gearman frontend.
    fn new(
        clock: Clock,
        core: Core,
        events: EventSender,
        settings: Arc<DeploymentSettings>,
        sockets: &SocketBudget,
        lists: ListLimits,
    ) -> EventLoop {
        let memory = lists.memory.clone();
        EventLoop {
            clock,
            core,
            events,
            upstreams: Upstreams::new(&settings, sockets, memory.clone()),
            memory_log: MemoryLog::default(),
            endpoint_memory: EndpointMemory::new(&memory),
            memory,
            lists,
            settings,
            workers: None,
            attempts: HashMap::new(),
            clients: HashMap::new(),
            ready: Arc::default(),
            close_frontends: watch_channel::channel(FrontendState::Open).0,
            timer: None,
            exit: false,
            watch: None,
            next_watch: None,
        }
    }

    fn load_bootstrap_list(
        &mut self,
        bootstrap_list: Vec<Endpoint>,
        list_version: Option<u64>,
        discovery: Option<String>,
    ) {
        let (source, as_of) = (EndpointSource::Discovery, self.clock.now());
        let update = EndpointListUpdate::Bootstrap(bootstrap_list);
        self.process_event(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        });
        if discovery.is_none() {
            // Without a discovery service nothing else would confirm the list; an empty delta
            // confirms it permanently.
            let update = EndpointListUpdate::Delta(vec![]);
            self.process_event(Event::EndpointListUpdated {
                source,
                as_of,
                update,
            });
        }
        self.process_event(Event::Configured {
            discovery,
            list_version,
            restart_required: vec![],
        });
    }

    async fn run(&mut self, shutdown: impl Future<Output = ()>, mut inputs: Inputs) {
        let mut shutdown = std::pin::pin!(shutdown);
        let mut shutting_down = false;
        let mut batch = Vec::new();
        while !self.exit {
            self.memory_log.update(&self.memory);
            let timer = self
                .timer
                .map(|at| Instant::from_std(self.clock.instant(at)));
            let timer_fires = sleep_until(timer.unwrap_or_else(Instant::now));
            tokio::select! {
                _ = inputs.messages.recv_many(&mut batch, MAX_BATCH_MESSAGES) => self.handle_batch(&mut batch),
                Some(update) = inputs.zookeeper.recv() => self.on_source_update(update),
                update = WatchTask::next(&mut self.watch) => self.on_watch_update(update),
                update = WatchTask::next(&mut self.next_watch) => self.on_next_watch_update(update),
                Some(Reload { discovery, restart_required }) = inputs.reloads.recv() => {
                    let discovery = Some(discovery);
                    self.process_event(Event::Configured { discovery, list_version: None, restart_required });
                }
                () = timer_fires, if timer.is_some() => {
                    batch.extend(std::iter::from_fn(|| inputs.messages.try_recv().ok()).take(MAX_BATCH_MESSAGES));
                    self.on_timer(&mut batch);
                }
                () = shutdown.as_mut(), if !shutting_down => {
                    shutting_down = true;
                    self.process_event(Event::ShutdownRequested);
                }
            }
        }
    }

    /// Handles the timer and the messages that were pending when it fired. The messages are handled
    /// first: after a response or a disconnection among them, the timer may no longer cause a
    /// timeout or an attempt.
    fn on_timer(&mut self, batch: &mut Vec<LoopMessage>) {
        // Cleared before the messages are handled, because they may set the timer again.
        self.timer = None;
        self.handle_batch(batch);
        self.process_event(Event::TimerFired);
    }

    /// Handles messages in order without yielding in between: no task that they spawn runs before
    /// all of them are handled.
    fn handle_batch(&mut self, batch: &mut Vec<LoopMessage>) {
        for message in batch.drain(..) {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: LoopMessage) {
        match message {
            LoopMessage::Event(event) => {
                if let Event::AttemptEnded {
                    attempt, outcome, ..
                } = &event
                {
                    debug!(
                        attempt = attempt.0,
                        outcome = outcome.as_str(),
                        "attempt ended"
                    );
                    self.attempts.remove(attempt);
                }
                self.process_event(event);
            }
            LoopMessage::Submitted {
                handle,
                request,
                response,
                updates,
            } => {
                self.on_submitted(handle, request, response, updates);
            }
            LoopMessage::CaughtUp(answer) => drop(answer.send(())),
            // The receiver may have been dropped.
            LoopMessage::OverviewRequested(response) => drop(response.send(self.core.overview())),
        }
    }

    fn on_submitted(
        &mut self,
        handle: RequestHandle,
        request: ClientRequest,
        response: oneshot::Sender<ClientResponse>,
        updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    ) {
        let (job, function) = (request.job.clone(), request.function);
        let submitted_at = self.clock.now();
        self.clients.insert(
            handle,
            PendingClient {
                response,
                updates,
                job,
                function,
                submitted_at,
            },
        );
        if let Some(watch) = &self.watch {
            watch.notify_demand();
        }
        self.process_event(Event::RequestSubmitted { handle, request });
    }

    fn on_source_update(
        &mut self,
        SourceUpdate {
            source,
            as_of,
            update,
        }: SourceUpdate,
    ) {
        let as_of = self.clock.timestamp(as_of.into_std());
        self.process_event(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        });
    }

    /// Handles an update from the current watch. While a watch at a new address is being opened,
    /// the one at the previous address no longer renews the lease on the list.
    fn on_watch_update(&mut self, update: SourceUpdate) {
        if self.next_watch.is_some() {
            let SourceUpdate { source, update, .. } = update;
            self.process_event(Event::PreviousSourceUpdated { source, update });
        } else {
            self.on_source_update(update);
        }
    }

    /// Handles an update from the watch at the new address. Its first update other than `Lost`
    /// makes it the current watch; the one at the previous address is dropped.
    fn on_next_watch_update(&mut self, update: SourceUpdate) {
        if !matches!(update.update, EndpointListUpdate::Lost(_)) {
            self.watch = self.next_watch.take();
        }
        self.on_source_update(update);
    }

    /// Passes an event to the core and executes the resulting effects.
    fn process_event(&mut self, event: Event) {
        if let Event::ClientDisconnected { handle } = &event {
            self.clients.remove(handle);
        }
        let may_change_list = matches!(
            event,
            Event::EndpointListUpdated { .. } | Event::PreviousSourceUpdated { .. }
        );
        let now = self.clock.now();
        for effect in self.core.reduce(now, event) {
            self.execute(effect);
        }
        if may_change_list {
            self.endpoint_memory.set_count(self.core.endpoint_count());
        }
    }
}

#[cfg(test)]
mod tests;
