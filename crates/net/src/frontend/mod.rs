//! The frontends, through which clients submit requests and receive responses. All frontends submit
//! to the same core.

pub mod admission;
mod close_signal;
pub mod gearman;
pub mod http;
mod listener;

pub use close_signal::{CloseSignal, FrontendState, wait_for_close};

use pumiceway_core::{
    AttemptUpdate, ClientRequest, ClientResponse, Event, Failure, Overview, RequestHandle,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// A message from a frontend or another task to the event loop.
#[derive(Debug)]
pub enum LoopMessage {
    /// An event for the core.
    Event(Event),
    /// A client has submitted a request and waits for its response.
    Submitted {
        /// The handle of the client that waits for the response.
        handle: RequestHandle,
        /// The request.
        request: ClientRequest,
        /// Receives the response.
        response: oneshot::Sender<ClientResponse>,
        /// Receives the progress of attempts, if the client needs it.
        updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    },
    /// Answered once all messages that were sent before it are handled.
    CaughtUp(oneshot::Sender<()>),
    /// The state of the dispatcher is requested for an operator.
    OverviewRequested(oneshot::Sender<Overview>),
}

/// Sends events and requests to the event loop. Clones send to the same event loop.
#[derive(Clone, Debug)]
pub struct EventSender {
    messages: mpsc::UnboundedSender<LoopMessage>,
    next_handle: Arc<AtomicU64>,
}

impl EventSender {
    /// Creates a sender, and the receiver for the event loop.
    pub fn new() -> (EventSender, mpsc::UnboundedReceiver<LoopMessage>) {
        let (messages, receiver) = mpsc::unbounded_channel();
        (
            EventSender {
                messages,
                next_handle: Arc::default(),
            },
            receiver,
        )
    }

    /// Sends an event to the core.
    pub fn send(&self, event: Event) {
        // Sending fails only if the event loop has ended, which then needs no events.
        let _ = self.messages.send(LoopMessage::Event(event));
    }

    /// Waits until the event loop has handled all messages that were sent before.
    pub async fn caught_up(&self) {
        let (sender, receiver) = oneshot::channel();
        let _ = self.messages.send(LoopMessage::CaughtUp(sender));
        // Fails if the event loop has ended, which then handles nothing more.
        let _ = receiver.await;
    }

    /// Requests the state of the dispatcher; empty if the event loop has ended.
    pub async fn overview(&self) -> Overview {
        let (sender, receiver) = oneshot::channel();
        let _ = self.messages.send(LoopMessage::OverviewRequested(sender));
        receiver.await.unwrap_or_default()
    }

    /// Submits a request. The progress of its attempts is sent to `updates`.
    pub fn submit(
        &self,
        request: ClientRequest,
        updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    ) -> PendingResponse {
        let handle = RequestHandle(self.next_handle.fetch_add(1, Ordering::Relaxed));
        let (response, receiver) = oneshot::channel();
        let _ = self.messages.send(LoopMessage::Submitted {
            handle,
            request,
            response,
            updates,
        });
        PendingResponse {
            events: self.clone(),
            handle,
            receiver,
            has_response: false,
        }
    }
}

/// The pending response to a submitted request. Dropping it before the response has been received
/// reports to the core that the client has disconnected.
pub struct PendingResponse {
    events: EventSender,
    handle: RequestHandle,
    receiver: oneshot::Receiver<ClientResponse>,
    has_response: bool,
}

impl PendingResponse {
    /// The handle by which the core identifies the waiting client.
    pub fn handle(&self) -> RequestHandle {
        self.handle
    }

    /// Waits for the response.
    pub async fn response(mut self) -> ClientResponse {
        let response = (&mut self.receiver).await;
        self.has_response = true;
        response.unwrap_or(ClientResponse::Failed(Failure::DispatcherEnded))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.has_response {
            self.events.send(Event::ClientDisconnected {
                handle: self.handle,
            });
        }
    }
}
