//! Notices that a peer has closed its side, although bytes that it sent before are still unread.
//!
//! A read returns the end of the stream only behind all bytes before it, and a client that leaves may
//! have written megabytes. Work for it must not be begun until they are read.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// Whether the peer has closed its side, as far as the reactor has reported it.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    // Ready at once, unless the stream is neither readable nor writable.
    let ready = pin!(stream.ready(Interest::READABLE | Interest::WRITABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => ready.is_ok_and(Ready::is_read_closed),
        Poll::Pending => false,
    }
}
