//! Closing a connection to an endpoint from outside of hyper, and what has been seen on it.
//!
//! hyper notices only at the next line of a response that nobody wants it any more, and until then
//! the attempt runs on at the endpoint. Requests on a connection are numbered from 1, so that
//! whoever aborts one cannot close the connection under a later one.

use atomic_waker::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::Waker;

/// The number of a request before it has one.
pub(super) const NO_REQUEST: u64 = 0;

/// The most bytes before the head of a response has been handed out: interim responses (1xx) and
/// the head. hyper may read up to 408 KiB ahead, so the limit leaves room for that.
const MAX_BYTES_BEFORE_RESPONSE: usize = 1 << 20;

/// Closes a connection; shared by the connection and the attempts on it.
#[derive(Clone, Default)]
pub(super) struct ConnectionAbortHandle(Arc<ConnectionState>);

#[derive(Default)]
struct ConnectionState {
    closed: AtomicBool,
    /// The number of the last request.
    last_request: AtomicU64,
    /// The number of the last request whose response has begun.
    last_response: AtomicU64,
    /// Read for the last request before its response began.
    bytes_before_response: AtomicUsize,
    /// Not a byte of the last request has been written.
    unwritten: AtomicBool,
    reader: AtomicWaker,
}

impl ConnectionAbortHandle {
    /// The next request is about to be written. Returns its number on this connection.
    pub(super) fn begin_request(&self) -> u64 {
        self.0.unwritten.store(true, Ordering::Relaxed);
        self.0.bytes_before_response.store(0, Ordering::Relaxed);
        self.0.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// The response to this request has begun. That may become known only after the response to a
    /// later one has begun, too.
    pub(super) fn begin_response(&self, request: u64) {
        self.0.last_response.fetch_max(request, Ordering::Relaxed);
    }

    /// Whether any response has begun on the connection.
    pub(super) fn has_had_response(&self) -> bool {
        self.0.last_response.load(Ordering::Relaxed) > NO_REQUEST
    }

    /// Whether not a byte of this request has been written. If so none ever is: the connection is
    /// closed.
    pub(super) fn close_if_unwritten(&self, request: u64) -> bool {
        let is_unwritten =
            self.0.last_request.load(Ordering::Relaxed) == request && self.is_unwritten();
        if is_unwritten {
            self.abort(request);
        }
        is_unwritten
    }

    /// Closes the connection at once, unless it carries a later request by now. Before a request
    /// has its number, the connection is for it alone.
    pub(super) fn abort(&self, request: u64) {
        if request == NO_REQUEST || self.0.last_request.load(Ordering::Relaxed) == request {
            self.close();
            self.0.reader.wake();
        }
    }

    /// Lets nothing more be read or written.
    pub(super) fn close(&self) {
        self.0.closed.store(true, Ordering::Release);
    }

    /// Whether nothing may be read or written any more.
    pub(super) fn is_closed(&self) -> bool {
        self.0.closed.load(Ordering::Acquire)
    }

    /// Whether not a byte of the last request has been written.
    pub(super) fn is_unwritten(&self) -> bool {
        self.0.unwritten.load(Ordering::Relaxed)
    }

    /// Some of the last request has been written.
    pub(super) fn set_written(&self) {
        self.0.unwritten.store(false, Ordering::Relaxed);
    }

    /// Who is woken when the connection is aborted.
    pub(super) fn register_reader(&self, waker: &Waker) {
        self.0.reader.register(waker);
    }

    /// Counts bytes that were read. Returns whether too many came before the response.
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
