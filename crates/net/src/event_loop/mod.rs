//! The event loop: carries out the effects of the core, and returns their results to it as events.
//!
//! The core is a state machine without I/O; this is the thin asynchronous part around it. One task
//! owns the core and all that is in flight, so nothing here is locked. Frontends, attempts and
//! health checks run as tasks of their own and send [`LoopMessage`]s. Endpoint lists come through
//! channels of their own, which hold one update, so that a source that sends without end has to
//! wait. Messages that have come go before the timer.

mod clock;
mod dispatcher;
mod effects;
mod upstreams;
mod watch;

pub use clock::Clock;
pub use dispatcher::Dispatcher;

use crate::config::{Reload, SocketBudget};
use crate::discovery::SourceUpdate;
use crate::frontend::gearman::workers::WorkerSessions;
use crate::frontend::{EventSender, LoopMessage};
use crate::upstream::AttemptConnection;
use pumiceway_core::{
    AttemptId, AttemptUpdate, ClientRequest, ClientResponse, Core, Endpoint, EndpointListUpdate,
    EndpointSource, Event, Job, RequestHandle,
};
use pumiceway_decisions::api::{ClassId, EndpointId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::{mpsc, oneshot, watch as watch_channel};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tracing::debug;
use upstreams::Upstreams;
use watch::WatchTask;

/// Messages that are taken in at a time.
const MAX_BATCH_MESSAGES: usize = 1_024;
/// Updates of a source that may wait here. A source that has more waits, and reads no further:
/// otherwise a service that sends without end would fill the memory.
const SOURCE_CHANNEL_CAPACITY: usize = 1;

/// What the event loop waits for.
struct Inputs {
    messages: mpsc::UnboundedReceiver<LoopMessage>,
    zookeeper: mpsc::Receiver<SourceUpdate>,
    reloads: mpsc::UnboundedReceiver<Reload>,
}

/// A client that waits for its response.
struct PendingClient {
    response: oneshot::Sender<ClientResponse>,
    /// Where progress goes, if the client wants any.
    updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    job: Arc<Job>,
    class: ClassId,
    since: Timestamp,
}

/// An attempt in flight over HTTP.
struct RunningAttempt {
    endpoint: EndpointId,
    connection: AttemptConnection,
    task: AbortHandle,
}

/// Owns the core and what it has in flight.
struct EventLoop {
    clock: Clock,
    core: Core,
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    /// The worker sessions, where there is a Gearman frontend.
    workers: Option<WorkerSessions>,
    upstreams: Upstreams,
    attempts: HashMap<AttemptId, RunningAttempt>,
    clients: HashMap<RequestHandle, PendingClient>,
    /// The dispatcher reports itself as ready.
    ready: Arc<AtomicBool>,
    /// Set once the frontends are to close.
    close_frontends: watch_channel::Sender<bool>,
    /// When the core's timer fires.
    timer: Option<Timestamp>,
    exit: bool,
    /// The watch whose updates confirm the list.
    watch: Option<WatchTask>,
    /// After a move of discovery: the watch at its new address, until its first update other than
    /// `Lost`.
    next_watch: Option<WatchTask>,
}

impl EventLoop {
    /// A loop that knows no endpoint yet, without a Gearman frontend.
    fn new(
        clock: Clock,
        core: Core,
        events: EventSender,
        settings: Arc<DeploymentSettings>,
        sockets: &SocketBudget,
    ) -> EventLoop {
        EventLoop {
            clock,
            core,
            events,
            upstreams: Upstreams::new(&settings, sockets),
            settings,
            workers: None,
            attempts: HashMap::new(),
            clients: HashMap::new(),
            ready: Arc::default(),
            close_frontends: watch_channel::channel(false).0,
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
        self.feed(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        });
        if discovery.is_none() {
            // There is no service that could confirm the list, so an empty change confirms it for
            // good.
            let update = EndpointListUpdate::Delta(vec![]);
            self.feed(Event::EndpointListUpdated {
                source,
                as_of,
                update,
            });
        }
        self.feed(Event::Configured {
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
                    self.feed(Event::Configured { discovery, list_version: None, restart_required });
                }
                () = timer_fires, if timer.is_some() => {
                    batch.extend(std::iter::from_fn(|| inputs.messages.try_recv().ok()).take(MAX_BATCH_MESSAGES));
                    self.on_timer(&mut batch);
                }
                () = shutdown.as_mut(), if !shutting_down => {
                    shutting_down = true;
                    self.feed(Event::ShutdownRequested);
                }
            }
        }
    }

    /// The timer has fired, and these messages have come by now. They go first: a response that has
    /// come, or a client's leaving, makes the timeout or the send needless that the timer would
    /// cause.
    fn on_timer(&mut self, batch: &mut Vec<LoopMessage>) {
        // Before the messages, as they may set the timer anew.
        self.timer = None;
        self.handle_batch(batch);
        self.feed(Event::TimerFired);
    }

    /// Takes messages in, in order and in one go: nothing that they start is under way before all
    /// are known.
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
                self.feed(event);
            }
            LoopMessage::Submitted {
                handle,
                request,
                response,
                updates,
            } => {
                self.on_submitted(handle, request, response, updates);
            }
            // Whoever asked may have gone.
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
        let (job, class, since) = (request.job.clone(), request.class, self.clock.now());
        self.clients.insert(
            handle,
            PendingClient {
                response,
                updates,
                job,
                class,
                since,
            },
        );
        if let Some(watch) = &self.watch {
            watch.demand();
        }
        self.feed(Event::RequestSubmitted { handle, request });
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
        self.feed(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        });
    }

    /// After a move of discovery, the watch at its former address no longer confirms the list.
    fn on_watch_update(&mut self, update: SourceUpdate) {
        if self.next_watch.is_some() {
            let SourceUpdate { source, update, .. } = update;
            self.feed(Event::PreviousSourceUpdated { source, update });
        } else {
            self.on_source_update(update);
        }
    }

    /// The watch at the former address is dropped once the one at the new address has sent
    /// something.
    fn on_next_watch_update(&mut self, update: SourceUpdate) {
        if !matches!(update.update, EndpointListUpdate::Lost(_)) {
            self.watch = self.next_watch.take();
        }
        self.on_source_update(update);
    }

    fn feed(&mut self, event: Event) {
        if let Event::ClientDisconnected { handle } = &event {
            self.clients.remove(handle);
        }
        let now = self.clock.now();
        for effect in self.core.reduce(now, event) {
            self.carry_out(effect);
        }
    }
}

#[cfg(test)]
mod tests;
