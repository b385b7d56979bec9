//! The stream between the socket and the HTTP parser, which inspects the bytes that are read.

use super::connection::ClientConnection;
use super::discard::poll_disconnected;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Limit of the bytes of one read, which is less than the parser's buffer holds at first.
const MAX_READ_BYTES: usize = 4 << 10;

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

    /// Reads a part of what has arrived. The buffer of the parser grows while reads fill it.
    fn poll_read_part(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = [0; MAX_READ_BYTES];
        let length = buffer.remaining().min(MAX_READ_BYTES);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut part[..length]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(length) => {
                    buffer.put_slice(&part[..length]);
                    return Poll::Ready(Ok(()));
                }
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
            ready!(self.stream.poll_read_ready(cx))?;
            if ready!(self.connection.poll_draw_buffers(cx)).is_err() {
                // The task that serves the connection ends it now.
                return Poll::Pending;
            }
            ready!(self.poll_read_part(cx, buffer))?;
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
