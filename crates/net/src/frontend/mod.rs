//! The frontends: how clients hand in requests and get their responses. All frontends submit to the
//! same core.

pub mod admission;
pub mod gearman;
pub mod http;

use pumiceway_core::{
    AttemptUpdate, ClientRequest, ClientResponse, Event, Failure, Overview, RequestHandle,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// What frontends and running tasks send to the event loop.
#[derive(Debug)]
pub enum LoopMessage {
    /// An event for the core.
    Event(Event),
    /// A client has submitted a request and waits for its response.
    Submitted {
        /// The client.
        handle: RequestHandle,
        /// Its request.
        request: ClientRequest,
        /// Where the response goes.
        response: oneshot::Sender<ClientResponse>,
        /// Where the progress of attempts goes, if the client wants it.
        updates: Option<mpsc::UnboundedSender<AttemptUpdate>>,
    },
    /// An operator wants to see the state of the dispatcher.
    OverviewRequested(oneshot::Sender<Overview>),
}

/// Sends events and requests to the event loop.
#[derive(Clone, Debug)]
pub struct EventSender {
    messages: mpsc::UnboundedSender<LoopMessage>,
    next_handle: Arc<AtomicU64>,
}

impl EventSender {
    /// A sender, and the channel that its messages come out of.
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
        // An event loop that has ended needs no events.
        let _ = self.messages.send(LoopMessage::Event(event));
    }

    /// The state of the dispatcher; empty if the event loop has ended.
    pub async fn overview(&self) -> Overview {
        let (sender, receiver) = oneshot::channel();
        let _ = self.messages.send(LoopMessage::OverviewRequested(sender));
        receiver.await.unwrap_or_default()
    }

    /// Submits a request; the progress of its attempts goes to `updates`.
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

/// The response to a request that was submitted. Dropped before it has come, the client has
/// disconnected.
pub struct PendingResponse {
    events: EventSender,
    handle: RequestHandle,
    receiver: oneshot::Receiver<ClientResponse>,
    has_response: bool,
}

impl PendingResponse {
    /// What the core knows the client by.
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
