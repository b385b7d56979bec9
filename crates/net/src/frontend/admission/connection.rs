//! The state of a client connection: its phase, the timeout of that phase, and whether it may end.
//!
//! A request of which any byte was read must get a final response, whatever ends its connection: a
//! client cannot tell a request that was read from one that crossed the close. The HTTP parser
//! counts a connection as idle until the head of a request is complete, and closes it without a
//! response when it is told to shut down. Therefore the parser is never told; the phase, which
//! follows the bytes, decides when a connection ends ([`ClientConnection::due_end`]) and which
//! final response is due ([`ClientConnection::final_response`]).
//!
//! The state is shared by the tasks that serve, evict and close the connection. Each phase has its
//! own timeout, which starts when the connection enters the phase.

use super::close::{EndReason, FinalResponse};
use super::eviction::{Eviction, EvictionPriority};
use super::framing::{FramingError, MessageFraming};
use super::phase::{ConnectionPhase, REQUEST_TIMEOUT};
use super::unread::read_unreported;
use pumiceway_memory::{MemoryAccount, Revoked};
use std::future::poll_fn;
use std::io;
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limit of the bytes outside of requests that are discarded; beyond it the connection is closed.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// What a connection takes without the HTTP parser.
const CONNECTION_BYTES: usize = 4 << 10;
/// What the buffers of the HTTP parser take once bytes were received, and what they take once a
/// request has not been received in one read.
const BUFFER_BYTES: usize = 16 << 10;
const GROWN_BUFFER_BYTES: usize = 24 << 10;
/// The start of an interim response, which the parser writes to ask for a body.
const INTERIM_STATUS: &[u8] = b"HTTP/1.1 100 ";

/// A client connection that has a permit.
pub struct ClientConnection {
    state: Mutex<ConnectionState>,
    eviction_changed: Notify,
}

struct ConnectionState {
    phase: ConnectionPhase,
    /// When the connection entered the phase.
    since: Instant,
    /// At least one request was submitted.
    has_carried_request: bool,
    eviction: Eviction,
    /// The frontend is closing: the connection carries at most the request that has begun, and that
    /// request must have its response by this time.
    respond_by: Option<Instant>,
    /// Bytes outside of requests that were discarded since the last response.
    discarded_bytes: usize,
    message: MessageFraming,
    /// Bytes that were read from the socket and not passed to the HTTP parser yet.
    read_ahead: Vec<u8>,
    /// What the connection and the buffers of the HTTP parser take. It may be revoked while no
    /// complete request waits for its response.
    memory: MemoryAccount,
}

impl ConnectionState {
    fn is_evicted(&self) -> bool {
        self.eviction > Eviction::None || self.memory.is_revoked()
    }

    /// Whether no request has begun on the connection since the last response.
    fn is_unused(&self) -> bool {
        let is_receiving = self.phase.is_receiving_request();
        self.phase == ConnectionPhase::Idle || (is_receiving && self.message.is_empty())
    }

    fn enter(&mut self, phase: ConnectionPhase) {
        self.phase = phase;
        self.since = Instant::now();
        if phase.may_be_given_up() {
            self.memory.unsettle(self.since.into_std());
        } else {
            // One that is revoked already ends after its response.
            let _ = self.memory.settle(self.since.into_std());
        }
    }

    /// What the connection has to draw before it may read.
    fn missing_buffer_bytes(&self) -> usize {
        let buffers = if self.message.is_empty() {
            BUFFER_BYTES
        } else {
            GROWN_BUFFER_BYTES
        };
        (CONNECTION_BYTES + buffers).saturating_sub(self.memory.held())
    }
}

impl ClientConnection {
    pub(super) fn new(now: Instant, mut memory: MemoryAccount) -> ClientConnection {
        // The number of connections bounds these.
        memory.draw_settled(CONNECTION_BYTES, now.into_std());
        memory.unsettle(now.into_std());
        ClientConnection {
            state: Mutex::new(ConnectionState {
                phase: ConnectionPhase::FirstRequest,
                since: now,
                has_carried_request: false,
                eviction: Eviction::None,
                respond_by: None,
                discarded_bytes: 0,
                message: MessageFraming::default(),
                read_ahead: Vec::new(),
                memory,
            }),
            eviction_changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(super) fn enter(&self, phase: ConnectionPhase) {
        self.state().enter(phase);
    }

    /// When the timeout of the current phase expires. At the shutdown an incomplete request is
    /// given up earlier, because its final response must be sent before the process may be killed.
    pub fn phase_deadline(&self) -> Instant {
        let state = self.state();
        let deadline = state.since + state.phase.timeout();
        match state.respond_by {
            Some(respond_by) if state.phase.is_receiving_request() => deadline.min(respond_by),
            _ => deadline,
        }
    }

    /// When the current request has to be complete.
    pub fn request_deadline(&self) -> Instant {
        self.state().since + REQUEST_TIMEOUT
    }

    /// Why a connection ends whose phase has timed out.
    pub fn timeout_reason(&self) -> EndReason {
        let state = self.state();
        if state.respond_by.is_some() && state.phase.is_receiving_request() {
            EndReason::ShuttingDown
        } else {
            EndReason::TimedOut
        }
    }

    /// Records that a complete request was received: the connection now waits for the response.
    pub fn request_received(&self) {
        let mut state = self.state();
        state.enter(ConnectionPhase::AwaitingResponse);
        state.has_carried_request = true;
    }

    /// Records that the response is about to be written.
    pub fn response_started(&self) {
        self.enter(ConnectionPhase::WritingResponse);
    }

    /// Draws what the buffers of the HTTP parser need for the next read.
    pub(super) fn poll_draw_buffers(&self, cx: &mut Context<'_>) -> Poll<Result<(), Revoked>> {
        let mut state = self.state();
        match state.missing_buffer_bytes() {
            0 => Poll::Ready(Ok(())),
            missing => state
                .memory
                .poll_draw(missing, std::time::Instant::now(), cx),
        }
    }

    /// Returns the memory of a connection that is being closed. What it still takes is little, and
    /// others may wait for it for as long as the client does not close its side.
    pub(super) fn return_memory(&self) {
        let mut state = self.state();
        let held = state.memory.held();
        state.memory.give_back(held);
    }

    /// Records bytes that the HTTP parser writes. While a request is incomplete, these are its own
    /// response to a request that it cannot read, or an interim response.
    pub(super) fn written(&self, bytes: &[u8]) {
        let mut state = self.state();
        if state.phase.is_receiving_request() && !bytes.starts_with(INTERIM_STATUS) {
            state.enter(ConnectionPhase::WritingResponse);
        }
    }

    /// Records that all written bytes were passed to the operating system. If that completes a
    /// response, the connection becomes idle, unless the parser already holds bytes of the next
    /// request.
    pub(super) fn flushed(&self) {
        let mut state = self.state();
        if state.phase != ConnectionPhase::WritingResponse {
            return;
        }
        state.discarded_bytes = 0;
        if state.message.has_next_message() {
            state.message = MessageFraming::pipelined();
            state.enter(ConnectionPhase::ReadingRequest);
        } else {
            state.message = MessageFraming::default();
            state.enter(ConnectionPhase::Idle);
        }
    }

    /// Records that the parser has read the head of a request. `body_bytes` is the length of its
    /// body, if known.
    pub fn head_parsed(&self, body_bytes: Option<u64>) {
        self.state().message.head_parsed(body_bytes);
    }

    /// Records bytes that are passed to the HTTP parser.
    pub(super) fn received(&self, bytes: &[u8]) {
        let mut state = self.state();
        if state.phase == ConnectionPhase::Idle && !bytes.is_empty() {
            state.enter(ConnectionPhase::ReadingRequest);
        }
        state.message.observe(bytes);
    }

    /// Records bytes that were discarded because they belong to no request.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` if the discarded bytes exceed the limit.
    pub(super) fn discarded(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.state();
        state.discarded_bytes += bytes;
        if state.discarded_bytes > MAX_DISCARDED_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    pub(super) fn is_awaiting_response(&self) -> bool {
        self.state().phase == ConnectionPhase::AwaitingResponse
    }

    /// The name of the phase in log lines.
    pub fn phase_name(&self) -> &'static str {
        self.state().phase.as_str()
    }

    /// Number of bytes of the current request that were received.
    pub fn request_bytes(&self) -> u64 {
        self.state().message.received_bytes()
    }

    /// Records that the frontend is closing. A request that has begun must have its response by
    /// `respond_by`.
    pub fn shut_down(&self, respond_by: Instant) {
        self.state().respond_by = Some(respond_by);
    }

    /// Whether the connection is evicted.
    pub fn is_evicted(&self) -> bool {
        self.state().is_evicted()
    }

    /// Whether the next response is the last one on the connection. After a pipelined request it is
    /// unknown how many bytes of another one the parser holds.
    pub fn closes_after_response(&self) -> bool {
        let state = self.state();
        state.respond_by.is_some() || state.is_evicted() || state.message.is_pipelined()
    }

    /// Why a connection ends whose client cannot be read from any more: it has disconnected, or has
    /// sent too many bytes outside of requests.
    pub fn disconnect_reason(&self) -> EndReason {
        if self.state().discarded_bytes > MAX_DISCARDED_BYTES {
            EndReason::ExcessBytes
        } else {
            EndReason::Completed
        }
    }

    /// Reads what the client has sent on an unused connection and the reactor has not reported yet.
    /// Returns whether there is anything, which the parser then has to read.
    pub fn has_unreported_bytes(&self, stream: &TcpStream) -> bool {
        let mut state = self.state();
        if state.is_unused() {
            state.read_ahead.extend(read_unreported(stream));
        }
        !state.read_ahead.is_empty()
    }

    /// Whether bytes were read ahead.
    pub fn has_read_ahead(&self) -> bool {
        !self.state().read_ahead.is_empty()
    }

    /// Moves bytes that were read ahead to the parser's buffer. Returns whether there are any.
    pub(super) fn take_read_ahead(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut state = self.state();
        let length = state.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&state.read_ahead[..length]);
        state.read_ahead.drain(..length);
        length > 0
    }

    /// Why the connection has to end now, because it is evicted or the frontend is closing; `None`
    /// if it may go on. A request that was received is always answered first. At the shutdown, a
    /// request of which a byte was received is read to its end, too.
    pub fn due_end(&self) -> Option<EndReason> {
        let state = self.state();
        let is_receiving = state.phase.is_receiving_request();
        let may_be_given_up = is_receiving || state.is_unused();
        if state.memory.is_revoked() && may_be_given_up {
            Some(EndReason::MemoryShort)
        } else if state.is_evicted() && may_be_given_up {
            Some(EndReason::Evicted)
        } else if state.respond_by.is_some() && state.is_unused() {
            Some(EndReason::ShuttingDown)
        } else {
            None
        }
    }

    /// Checks that the head of the current request frames the request unambiguously.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is ambiguous.
    pub fn check_head(&self) -> Result<(), FramingError> {
        self.state().message.check_head()
    }

    /// Whether bytes after the current request were received. `body_bytes` is the length of its
    /// body, if known.
    pub fn has_excess(&self, body_bytes: Option<u64>) -> bool {
        let state = self.state();
        state.discarded_bytes > 0 || state.message.has_excess(body_bytes)
    }

    /// Waits until the connection is evicted to admit another one, or its memory is revoked.
    pub async fn eviction_requested(&self) {
        tokio::select! {
            () = self.wait_for_eviction(Eviction::Graceful) => {}
            Revoked = poll_fn(|cx| self.state().memory.poll_revoked(cx)) => {}
        }
    }

    pub(super) async fn wait_for_eviction(&self, eviction: Eviction) {
        while self.state().eviction < eviction {
            self.eviction_changed.notified().await;
        }
    }

    pub(super) fn evict(&self, eviction: Eviction) {
        let mut state = self.state();
        state.eviction = state.eviction.max(eviction);
        self.eviction_changed.notify_one();
    }

    /// The final response that is due if the connection ends now for this reason.
    pub fn final_response(&self, reason: EndReason) -> Option<FinalResponse> {
        let state = self.state();
        if reason == EndReason::ExcessBytes && state.phase == ConnectionPhase::AwaitingResponse {
            return Some(FinalResponse::Failed);
        }
        if !state.phase.is_receiving_request() {
            return None;
        }
        match reason {
            EndReason::Malformed => Some(FinalResponse::BadRequest),
            EndReason::TimedOut if state.message.is_empty() => None,
            EndReason::TimedOut => Some(FinalResponse::RequestTimeout),
            EndReason::Evicted | EndReason::MemoryShort | EndReason::ShuttingDown => {
                Some(FinalResponse::Overloaded)
            }
            EndReason::Completed | EndReason::ExcessBytes => None,
        }
    }

    /// The priority of the connection for eviction; `None` if it must not be evicted.
    pub(super) fn eviction_priority(&self, now: Instant) -> Option<EvictionPriority> {
        let state = self.state();
        EvictionPriority::of(state.phase, state.has_carried_request, state.since, now)
    }
}
