//! The stream between the socket and the HTTP parser, which inspects the bytes that are read.

use super::connection::ClientConnection;
use super::discard::poll_disconnected;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that records the reads and writes of the HTTP parser in the state of its connection.
pub struct InspectedStream {
    stream: Arc<TcpStream>,
    connection: Arc<ClientConnection>,
}

impl InspectedStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: Arc<TcpStream>, connection: Arc<ClientConnection>) -> InspectedStream {
        InspectedStream { stream, connection }
    }

    fn poll_read_with(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_awaiting_response() {
            return poll_disconnected(&self.stream, &self.connection, cx);
        }
        let filled = buffer.filled().len();
        if !self.connection.take_read_ahead(buffer) {
            ready!(self.poll_read_with(cx, buffer))?;
        }
        self.connection.received(&buffer.filled()[filled..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.written(buffer);
        self.poll_write_with(cx, |stream| stream.try_write(buffer))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = buffers.iter().find(|buffer| !buffer.is_empty());
        self.connection.written(first.map_or(&[], |buffer| buffer));
        self.poll_write_with(cx, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Writes are not buffered, so a flush only indicates that the response was written and the
    /// connection becomes idle.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    /// Does nothing, because only [`close`](super::close()) closes a connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
