//! Tracks an attempt and the connection that carries it.
//!
//! An attempt reports at most one outcome. Its abort may race with its end, and whichever comes
//! first wins: an abort after the end leaves the connection open, because the connection may
//! already carry another request.

use super::client::AttemptObserver;
use super::connection_abort::{ConnectionAbortHandle, NO_REQUEST};
use super::request_body::RequestBody;
use super::response::AttemptEnd;
use hyper::Request;
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Handle to an attempt and its connection, which is known once the pool has assigned one. Clones
/// share the same state.
#[derive(Clone)]
pub struct AttemptConnection {
    captured: CaptureConnection,
    state: Arc<AttemptState>,
}

#[derive(Default)]
struct AttemptState {
    /// The attempt was aborted, or its outcome was reported.
    ended: AtomicBool,
    /// Number of the request on its connection; [`NO_REQUEST`] until it is about to be written.
    request_number: AtomicU64,
    /// The write deadline passed before the request could be written.
    missed_write_deadline: AtomicBool,
}

impl AttemptConnection {
    pub(super) fn new(request: &mut Request<RequestBody>) -> AttemptConnection {
        AttemptConnection {
            captured: capture_connection(request),
            state: Arc::default(),
        }
    }

    /// Ends the attempt and closes its connection, unless the attempt has already ended.
    pub fn abort(&self) {
        if self.end() {
            self.close();
        }
    }

    /// Marks the attempt as ended. Returns `false` if it had already ended.
    pub(super) fn end(&self) -> bool {
        !self.state.ended.swap(true, Ordering::Relaxed)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.state.ended.load(Ordering::Relaxed)
    }

    /// Ends the attempt and reports its outcome, unless the attempt has already ended.
    pub(super) fn report_end(&self, observer: &mut impl AttemptObserver, end: AttemptEnd) {
        if self.end() {
            observer.ended(end.outcome, end.report);
        }
    }

    /// Closes the attempt's connection, unless the connection already carries a later request.
    pub(super) fn close(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.abort(self.request_number());
        }
    }

    /// Assigns the request its number: it is the next one to be written to the connection.
    pub(super) fn begin_request(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            self.state
                .request_number
                .store(abort_handle.begin_request(), Ordering::Relaxed);
        }
    }

    /// Records that the head of the response was received.
    pub(super) fn begin_response(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.begin_response(self.request_number());
        }
    }

    /// Records that the write deadline passed before the request could be written.
    pub(super) fn set_missed_write_deadline(&self) {
        self.state
            .missed_write_deadline
            .store(true, Ordering::Relaxed);
    }

    pub(super) fn missed_write_deadline(&self) -> bool {
        self.state.missed_write_deadline.load(Ordering::Relaxed)
    }

    /// Whether the pool assigned a connection to the attempt.
    pub(super) fn is_connected(&self) -> bool {
        self.captured.connection_metadata().is_some()
    }

    /// Returns whether no byte of the request was written. In that case the connection is closed,
    /// so that none can be written later.
    pub(super) fn close_if_unwritten(&self) -> bool {
        let request_number = self.request_number();
        self.abort_handle().is_some_and(|abort_handle| {
            request_number != NO_REQUEST && abort_handle.close_if_unwritten(request_number)
        })
    }

    /// Whether a response to any request was received on the connection. Before the attempt has its
    /// own response, this means that the connection was reused.
    pub(super) fn has_received_response(&self) -> bool {
        self.abort_handle()
            .is_some_and(|abort_handle| abort_handle.has_received_response())
    }

    /// Whether the status of the response proves what became of this request: a response without a
    /// request id may otherwise be a late one to an earlier request on the connection.
    pub(super) fn status_is_proof(&self) -> bool {
        self.abort_handle()
            .is_some_and(|abort_handle| abort_handle.was_rested(self.request_number()))
    }

    fn request_number(&self) -> u64 {
        self.state.request_number.load(Ordering::Relaxed)
    }

    fn abort_handle(&self) -> Option<ConnectionAbortHandle> {
        let mut extensions = hyper::http::Extensions::new();
        self.captured
            .connection_metadata()
            .as_ref()?
            .get_extras(&mut extensions);
        extensions.remove::<ConnectionAbortHandle>()
    }
}
