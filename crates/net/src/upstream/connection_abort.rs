//! Closes connections to endpoints from outside hyper, and tracks the requests and responses on
//! them.
//!
//! hyper notices that a response is no longer wanted only when more of the response arrives, and
//! until then the job keeps running at the endpoint. The requests of a connection are numbered from
//! 1, so that aborting one request cannot close the connection while it carries a later one.

use atomic_waker::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::Waker;

/// Stands for a request that has no number yet.
pub(super) const NO_REQUEST: u64 = 0;

/// Limit of the bytes that are read before hyper returns the head of a response: interim responses
/// (1xx) and the head itself. hyper may read up to 408 KiB ahead, and the limit allows for that.
const MAX_BYTES_BEFORE_RESPONSE: usize = 1 << 20;

/// Closes a connection. Shared by the connection and the attempts on it.
#[derive(Clone, Default)]
pub(super) struct ConnectionAbortHandle(Arc<ConnectionState>);

#[derive(Default)]
struct ConnectionState {
    closed: AtomicBool,
    /// Number of the last request.
    last_request: AtomicU64,
    /// Highest number of a request whose response has begun.
    last_response: AtomicU64,
    /// Bytes that were read for the last request before its response began.
    bytes_before_response: AtomicUsize,
    /// No byte of the last request has been written.
    unwritten: AtomicBool,
    /// When the last request was written, the connection was new or had rested.
    was_rested: AtomicBool,
    reader_waker: AtomicWaker,
}

impl ConnectionAbortHandle {
    /// Records that the next request is about to be written. Returns its number.
    pub(super) fn begin_request(&self) -> u64 {
        self.0.unwritten.store(true, Ordering::Relaxed);
        self.0.bytes_before_response.store(0, Ordering::Relaxed);
        self.0.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that the response to a request has begun. May be called after the response to a
    /// later request has begun.
    pub(super) fn begin_response(&self, request_number: u64) {
        self.0
            .last_response
            .fetch_max(request_number, Ordering::Relaxed);
    }

    /// Whether any response has begun on the connection.
    pub(super) fn has_received_response(&self) -> bool {
        self.0.last_response.load(Ordering::Relaxed) > NO_REQUEST
    }

    /// Returns whether no byte of the request was written. In that case the connection is closed,
    /// so that none can be written later.
    pub(super) fn close_if_unwritten(&self, request_number: u64) -> bool {
        let is_unwritten =
            self.0.last_request.load(Ordering::Relaxed) == request_number && self.is_unwritten();
        if is_unwritten {
            self.abort(request_number);
        }
        is_unwritten
    }

    /// Closes the connection at once, unless it already carries a later request. A connection that
    /// is assigned to a request without a number carries no other one.
    pub(super) fn abort(&self, request_number: u64) {
        if request_number == NO_REQUEST
            || self.0.last_request.load(Ordering::Relaxed) == request_number
        {
            self.close();
            self.0.reader_waker.wake();
        }
    }

    /// Makes all later reads and writes fail.
    pub(super) fn close(&self) {
        self.0.closed.store(true, Ordering::Release);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.0.closed.load(Ordering::Acquire)
    }

    /// Whether no byte of the last request has been written.
    pub(super) fn is_unwritten(&self) -> bool {
        self.0.unwritten.load(Ordering::Relaxed)
    }

    /// Records that part of the last request has been written.
    pub(super) fn set_written(&self) {
        self.0.unwritten.store(false, Ordering::Relaxed);
    }

    /// Records whether the connection is new or has rested as the last request is written.
    pub(super) fn set_rested(&self, is_rested: bool) {
        self.0.was_rested.store(is_rested, Ordering::Relaxed);
    }

    /// Whether the connection was new or had rested when the request was written, so that no response
    /// to an earlier request can be taken for its own.
    pub(super) fn was_rested(&self, request_number: u64) -> bool {
        self.0.last_request.load(Ordering::Relaxed) == request_number
            && self.0.was_rested.load(Ordering::Relaxed)
    }

    /// Registers the task that is woken when the connection is aborted.
    pub(super) fn register_reader(&self, waker: &Waker) {
        self.0.reader_waker.register(waker);
    }

    /// Counts bytes that were read, if the last request has no response yet. Returns whether the
    /// bytes read since that request exceed [`MAX_BYTES_BEFORE_RESPONSE`].
    pub(super) fn count_read(&self, bytes: usize) -> bool {
        let state = &self.0;
        let awaits_response = state.last_response.load(Ordering::Relaxed)
            < state.last_request.load(Ordering::Relaxed);
        if !awaits_response {
            return false;
        }
        let before = state
            .bytes_before_response
            .fetch_add(bytes, Ordering::Relaxed);
        before + bytes > MAX_BYTES_BEFORE_RESPONSE
    }
}
