//! A connection to an endpoint that can be closed from outside.
//!
//! A request whose connection was dead before its first byte has provably not run. So before that
//! byte the socket itself is read: if it is not silent, nothing is written and the connection ends.

use super::connection_abort::ConnectionAbortHandle;
use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::{SockRef, Socket};
use std::io::{self, Read};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    stream: TcpStream,
    abort_handle: ConnectionAbortHandle,
    /// Counts its socket among those that may be open.
    _permit: OwnedSemaphorePermit,
}

impl UpstreamConnection {
    /// A connection that is up.
    pub(super) fn new(stream: TcpStream, permit: OwnedSemaphorePermit) -> UpstreamConnection {
        UpstreamConnection {
            stream,
            abort_handle: ConnectionAbortHandle::default(),
            _permit: permit,
        }
    }

    fn check_open(&self) -> io::Result<()> {
        if self.abort_handle.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Bounds what is read before a response. hyper skips interim responses: an endpoint that sends
    /// them without end would keep the thread busy for as long as the attempt lasts.
    fn check_read(&self, bytes: usize) -> io::Result<()> {
        if self.abort_handle.count_read(bytes) {
            self.abort_handle.close();
            return Err(io::Error::other("interim responses without end"));
        }
        Ok(())
    }

    /// Before the first byte of a request, checks that the endpoint has neither closed the
    /// connection nor sent anything: that would be taken as the response to this request.
    fn check_write(&self) -> io::Result<()> {
        self.check_open()?;
        if self.abort_handle.is_unwritten() && !self.is_silent() {
            self.abort_handle.close();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Whether there is nothing to read. The runtime may not have seen an event of the socket yet,
    /// so the socket itself is read; a byte that is there is of no use to anyone and may get lost.
    fn is_silent(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        let mut socket: &Socket = &socket;
        matches!(socket.read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
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
        self.check_read(buf.filled().len() - filled_before)?;
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
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(&written);
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
