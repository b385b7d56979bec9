//! A connection to an endpoint that can be closed through an abort handle.
//!
//! A request has provably not run if its connection failed before the first byte was written.
//! Therefore the socket is read directly before that byte: if it has data or has reached its end,
//! nothing is written and the connection is closed.
//!
//! An endpoint may respond to one request twice, and the second response may arrive after the next
//! request was written. A status names no request, so it proves something about the next one only if
//! the connection had rested, with nothing to read, before that was written.

use super::connection_abort::ConnectionAbortHandle;
use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::{SockRef, Socket};
use std::io::{self, Read};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection has rested if nothing was received on it for this long: much longer than a second
/// response comes after the first.
const REST_TIME: Duration = Duration::from_millis(250);

/// A TCP connection to an endpoint, with its abort handle.
pub(super) struct UpstreamConnection {
    stream: TcpStream,
    abort_handle: ConnectionAbortHandle,
    /// When bytes were received last; `None` on a new connection.
    received_at: Option<Instant>,
    /// Held while the connection is open; limits the number of open sockets.
    _permit: OwnedSemaphorePermit,
}

impl UpstreamConnection {
    /// Wraps an established connection.
    pub(super) fn new(stream: TcpStream, permit: OwnedSemaphorePermit) -> UpstreamConnection {
        UpstreamConnection {
            stream,
            abort_handle: ConnectionAbortHandle::default(),
            received_at: None,
            _permit: permit,
        }
    }

    fn check_open(&self) -> io::Result<()> {
        if self.abort_handle.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Limits the bytes that are read before a response. hyper skips interim (1xx) responses, so an
    /// endpoint that never stops sending them would keep the thread busy until the attempt ends.
    fn check_read(&self, bytes: usize) -> io::Result<()> {
        if self.abort_handle.count_read(bytes) {
            self.abort_handle.close();
            return Err(io::Error::other(
                "too many bytes of interim responses before the response",
            ));
        }
        Ok(())
    }

    /// Before the first byte of a request, checks that the endpoint has neither closed the
    /// connection nor sent data, which would be taken for the response to this request.
    fn check_write(&self) -> io::Result<()> {
        self.check_open()?;
        if !self.abort_handle.is_unwritten() {
            return Ok(());
        }
        if !self.has_no_input() {
            self.abort_handle.close();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.abort_handle.set_rested(self.is_rested());
        Ok(())
    }

    /// Whether the connection is new or has rested.
    fn is_rested(&self) -> bool {
        self.received_at
            .is_none_or(|received_at| received_at.elapsed() >= REST_TIME)
    }

    /// Whether the socket is open and has nothing to read. Reads the socket directly, because the
    /// runtime may not have polled its readiness yet. A byte that is read is lost, which does no
    /// harm: the caller closes the connection.
    fn has_no_input(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        let mut socket: &Socket = &socket;
        matches!(socket.read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.abort_handle.set_written();
        }
    }
}

impl Connection for UpstreamConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.abort_handle.clone())
    }
}

impl AsyncRead for UpstreamConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.abort_handle.register_reader(cx.waker());
        self.check_open()?;
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received_bytes = buf.filled().len() - filled_before;
        if received_bytes > 0 {
            self.received_at = Some(Instant::now());
        }
        self.check_read(received_bytes)?;
        read
    }
}

impl AsyncWrite for UpstreamConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
