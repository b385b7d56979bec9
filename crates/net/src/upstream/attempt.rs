//! The connection of an attempt, and how far the attempt has come.
//!
//! An attempt has one outcome at most. Its abort and its end may cross, and the first of the two
//! decides: an abort that comes after the end leaves the connection open, as it may carry another
//! request.

use super::client::AttemptObserver;
use super::connection_abort::{ConnectionAbortHandle, NO_REQUEST};
use super::request_body::RequestBody;
use super::response::AttemptEnd;
use hyper::Request;
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The connection of an attempt, once it has one. Clones share it.
#[derive(Clone)]
pub struct AttemptConnection {
    captured: CaptureConnection,
    state: Arc<AttemptState>,
}

#[derive(Default)]
struct AttemptState {
    /// It has been aborted, or its outcome has been reported.
    ended: AtomicBool,
    /// The number of its request on its connection; [`NO_REQUEST`] before it is written.
    request: AtomicU64,
    /// The time by which it had to be written was over before it could be.
    late: AtomicBool,
}

impl AttemptConnection {
    pub(super) fn new(request: &mut Request<RequestBody>) -> AttemptConnection {
        AttemptConnection {
            captured: capture_connection(request),
            state: Arc::default(),
        }
    }

    /// Closes the connection that the attempt is on, unless the attempt has ended.
    pub fn abort(&self) {
        if self.end() {
            self.close();
        }
    }

    /// Ends the attempt. Returns whether it had not ended before.
    pub(super) fn end(&self) -> bool {
        !self.state.ended.swap(true, Ordering::Relaxed)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.state.ended.load(Ordering::Relaxed)
    }

    /// Ends the attempt and reports how, unless it has ended before.
    pub(super) fn report_end(&self, observer: &mut impl AttemptObserver, end: AttemptEnd) {
        if self.end() {
            observer.ended(end.outcome, end.report);
        }
    }

    /// Closes its connection, unless that carries a later request.
    pub(super) fn close(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.abort(self.request());
        }
    }

    /// Its request is the next that its connection writes.
    pub(super) fn begin_request(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            self.state
                .request
                .store(abort_handle.begin_request(), Ordering::Relaxed);
        }
    }

    /// Its response has begun.
    pub(super) fn begin_response(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.begin_response(self.request());
        }
    }

    /// The time by which it had to be written is over.
    pub(super) fn set_late(&self) {
        self.state.late.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_late(&self) -> bool {
        self.state.late.load(Ordering::Relaxed)
    }

    /// Whether it got a connection.
    pub(super) fn is_connected(&self) -> bool {
        self.captured.connection_metadata().is_some()
    }

    /// Whether not a byte of its request was written to its connection. If so none ever is: the
    /// connection is closed.
    pub(super) fn close_if_unwritten(&self) -> bool {
        let request = self.request();
        self.abort_handle().is_some_and(|abort_handle| {
            request != NO_REQUEST && abort_handle.close_if_unwritten(request)
        })
    }

    /// Whether any response has begun on its connection: before its own, that of an earlier
    /// request.
    pub(super) fn has_had_response(&self) -> bool {
        self.abort_handle()
            .is_some_and(|abort_handle| abort_handle.has_had_response())
    }

    fn request(&self) -> u64 {
        self.state.request.load(Ordering::Relaxed)
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
