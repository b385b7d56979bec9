//! A connection to a next hop that can be cut from outside, and the connector that opens it.

use atomic_waker::AtomicWaker;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower_service::Service;

/// So much may come before the head of an answer: interim answers (1xx) and the head. hyper buffers
/// 408 KiB at most, and may have read on so far before the head is handed out.
const BEFORE_ANSWER: usize = 1 << 20;

/// Cuts a line. Prevents: hyper notices only at the next line of the answer that nobody wants it
/// any more, and until then the branch is still out at the next hop.
#[derive(Clone, Default)]
pub struct ConnectionAbort(Arc<ConnectionState>);

#[derive(Default)]
struct ConnectionState {
    done: AtomicBool,
    /// The requests it was given so far; the last one's number.
    turn: AtomicU64,
    /// Of the requests whose answer has begun, the last one's number.
    answered: AtomicU64,
    /// What was read for the last request before its answer began, in bytes.
    before: AtomicUsize,
    /// Not a byte of the last one has been written.
    unwritten: AtomicBool,
    reader: AtomicWaker,
}

impl ConnectionAbort {
    /// The answer to this request has begun. A later one's may have, too: it may be heard of after
    /// that.
    pub fn answered(&self, turn: u64) {
        self.0.answered.fetch_max(turn, Ordering::Relaxed);
    }

    /// Whether an answer had come on the connection.
    pub fn used(&self) -> bool {
        self.0.answered.load(Ordering::Relaxed) > 0
    }

    /// The next request is about to be written; its number on this connection, from 1.
    pub fn begin(&self) -> u64 {
        self.0.unwritten.store(true, Ordering::Relaxed);
        self.0.before.store(0, Ordering::Relaxed);
        self.0.turn.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether not a byte of this request has been written. If so none ever is: the connection
    /// ends.
    pub fn never_wrote(&self, turn: u64) -> bool {
        let never =
            self.0.turn.load(Ordering::Relaxed) == turn && self.0.unwritten.load(Ordering::Relaxed);
        if never {
            self.cut(turn);
        }
        never
    }

    /// Ends the connection at once, unless it carries a later request by now. Before a request has
    /// its number (0), the connection waits for it alone.
    pub fn cut(&self, turn: u64) {
        if turn == 0 || self.0.turn.load(Ordering::Relaxed) == turn {
            self.0.done.store(true, Ordering::Release);
            self.0.reader.wake();
        }
    }
}

/// A connection to a next hop.
pub struct UpstreamConnection {
    stream: TcpStream,
    abort: ConnectionAbort,
    /// Its part of the descriptors.
    _socket: OwnedSemaphorePermit,
}

impl UpstreamConnection {
    fn check(&self) -> io::Result<()> {
        match self.abort.0.done.load(Ordering::Acquire) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Prevents: a next hop that sends interim answers without end, which hyper skips, takes the
    /// whole loop for as long as it is listened to.
    fn check_read(&self, read: usize) -> io::Result<()> {
        let cut = &self.abort.0;
        let waits = cut.answered.load(Ordering::Relaxed) < cut.turn.load(Ordering::Relaxed);
        if waits && cut.before.fetch_add(read, Ordering::Relaxed) + read > BEFORE_ANSWER {
            cut.done.store(true, Ordering::Release);
            return Err(io::Error::other("interim answers without end"));
        }
        Ok(())
    }

    /// Before the first byte of a request, looks whether the other side has closed or has sent what
    /// nobody asked for. Prevents: a request is lost as one that may have run, written to a
    /// connection that was dead before it; and what came late for the request before is taken as
    /// its answer. The runtime may not have heard of it yet, so the socket itself is asked; what it
    /// gives is of no use, so it may be taken out.
    fn check_write(&self) -> io::Result<()> {
        self.check()?;
        let cut = &self.abort.0;
        if cut.unwritten.load(Ordering::Relaxed) {
            let socket = SockRef::from(&self.stream);
            let mut socket: &Socket = &socket;
            let quiet =
                matches!(socket.read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            if !quiet {
                cut.done.store(true, Ordering::Release);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(())
    }

    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            self.abort.0.unwritten.store(false, Ordering::Relaxed);
        }
        written
    }
}

impl Connection for UpstreamConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.abort.clone())
    }
}

impl AsyncRead for UpstreamConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.abort.0.reader.register(cx.waker());
        self.check()?;
        let held = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.check_read(buf.filled().len() - held)?;
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
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(written)
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

/// Opens lines to one next hop, within a time.
#[derive(Clone)]
pub struct Connector {
    /// How long a connection may take to come up.
    pub patience: Duration,
    /// A permit for each socket that may be open.
    pub sockets: Arc<Semaphore>,
}

impl Service<Uri> for Connector {
    type Response = TokioIo<UpstreamConnection>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<TokioIo<UpstreamConnection>>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (patience, sockets) = (self.patience, self.sockets.clone());
        Box::pin(async move {
            let host = uri
                .host()
                .unwrap_or_default()
                .trim_matches(['[', ']'])
                .to_owned();
            let open = async {
                // One that is just being closed for us gives its own back in a moment.
                let socket = sockets.acquire_owned().await.map_err(io::Error::other)?;
                let stream = TcpStream::connect((host, uri.port_u16().unwrap_or(80))).await?;
                io::Result::Ok((socket, stream))
            };
            let (socket, stream) = tokio::time::timeout(patience, open).await??;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(UpstreamConnection {
                stream,
                abort: ConnectionAbort::default(),
                _socket: socket,
            }))
        })
    }
}
