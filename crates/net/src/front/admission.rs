//! Admission: which connections of clients are held, for how long, and what their bytes look like on the way.
//!
//! A connection has a [`Seat`] that knows what it is at. Its bytes pass a [`Tap`], which counts them before the
//! HTTP parser sees them: a parser hides repeated lengths, and what has come behind a request.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A whole request has come within this time of the connection, or of its own first byte on a later one.
pub const REQUEST: Duration = Duration::from_secs(2);
/// A client takes its answer within this time.
const ANSWER: Duration = Duration::from_secs(10);
/// A connection between two requests stays open for this long.
const IDLE: Duration = Duration::from_secs(120);
/// After the last answer a client has this long to read it, while what it still sends is thrown away; and at
/// most so much of it.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 4 << 20;
/// With no room left, connections are closed that have held no whole request for this long.
const UNUSED: Duration = Duration::from_millis(50);
const UNUSED_BETWEEN: Duration = Duration::from_secs(1);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Its first request has not come whole.
    First,
    /// Between two requests.
    Idle,
    /// A later request has begun to come.
    Reading,
    /// A request is held.
    Holding,
    /// An answer goes out.
    Answering,
    /// The last answer is out.
    Closing,
}

/// A connection's place among those that are held.
pub struct Seat {
    state: Mutex<State>,
    leave: Notify,
}

struct State {
    at: At,
    since: Instant,
    /// It has held a request.
    used: bool,
    /// It goes to make room for another.
    sent_away: bool,
    message: Message,
}

impl Seat {
    fn new(now: Instant) -> Seat {
        let state =
            State { at: At::First, since: now, used: false, sent_away: false, message: Message::default() };
        Seat { state: Mutex::new(state), leave: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn go(&self, at: At) {
        let mut state = self.state();
        (state.at, state.since) = (at, Instant::now());
    }

    /// When patience with the connection ends, whatever it is at.
    pub fn due(&self) -> Instant {
        let state = self.state();
        let patience = match state.at {
            At::First | At::Reading => REQUEST,
            At::Idle => IDLE,
            // The core bounds this.
            At::Holding => Duration::from_secs(48 * 60 * 60),
            At::Answering => ANSWER,
            At::Closing => LINGER,
        };
        state.since + patience
    }

    /// The request has come whole.
    pub fn holds(&self) {
        self.go(At::Holding);
        self.state().used = true;
    }

    /// Its answer goes out.
    pub fn answers(&self) {
        self.go(At::Answering);
    }

    /// What is wrong with the head that has come.
    pub fn head_fault(&self) -> Option<&'static str> {
        self.state().message.head_fault()
    }

    /// Whether more has come than a request whose body is this long.
    pub fn excess(&self, body: Option<u64>) -> bool {
        self.state().message.excess(body)
    }

    /// Waits until the place is wanted for another.
    pub async fn wanted(&self) {
        self.leave.notified().await;
    }

    /// How soon it should go when there is no room: the smaller the sooner.
    fn use_of(&self, now: Instant) -> Option<(u8, Instant)> {
        let state = self.state();
        let (rank, least) = match state.at {
            At::Closing => (0, UNUSED),
            // Prevents: connections that asked whether this is ready, and stay, take up the room.
            At::Idle if !state.used => (0, Duration::ZERO),
            At::First | At::Reading => (1, UNUSED),
            At::Idle => (2, UNUSED_BETWEEN),
            At::Holding | At::Answering => return None,
        };
        (now.saturating_duration_since(state.since) >= least).then_some((rank, state.since))
    }
}

/// The connections of clients that are held.
pub struct Admission {
    room: usize,
    spare: usize,
    held: Mutex<(u64, BTreeMap<u64, Arc<Seat>>)>,
}

/// A place that is free again when dropped.
pub struct Place {
    admission: Arc<Admission>,
    number: u64,
    /// The seat.
    pub seat: Arc<Seat>,
    /// Whether its requests are served; otherwise there was room for a busy answer only.
    pub served: bool,
}

impl Admission {
    /// Room for so many connections, and for a few more that only get a busy answer.
    pub fn new(room: usize, spare: usize) -> Arc<Admission> {
        Arc::new(Admission { room, spare, held: Mutex::default() })
    }

    /// A place for a new connection. Prevents: those who hold connections and ask for nothing turn away those
    /// who do ask.
    pub fn admit(self: &Arc<Admission>, now: Instant) -> Option<Place> {
        let mut held = self.held.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (last, seats) = &mut *held;
        if seats.len() >= self.room {
            let unused = seats.iter().filter_map(|(&number, seat)| Some((seat.use_of(now)?, number)));
            if let Some((_, number)) = unused.min() {
                seats.remove(&number).inspect(|seat| {
                    seat.state().sent_away = true;
                    seat.leave.notify_one();
                });
            }
        }
        if seats.len() >= self.room + self.spare {
            return None;
        }
        let served = seats.len() < self.room;
        *last += 1;
        let seat = Arc::new(Seat::new(now));
        seats.insert(*last, seat.clone());
        Some(Place { admission: self.clone(), number: *last, seat, served })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut held = self.admission.held.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        held.1.remove(&self.number);
    }
}

/// Advice to come back where too many connections are open, in seconds.
pub const COME_BACK: &str = "1";

/// What a connection gets that there is no room to read a request of.
fn busy() -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {COME_BACK}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Closes a new connection for which there is no place, with a busy answer to whatever it was to ask, as far as
/// that takes no waiting.
pub fn turn_away(stream: TcpStream) {
    let Ok(mut stream) = stream.into_std() else { return };
    // Prevents: a close with unread bytes resets the connection before the answer is read.
    let mut part = [0; 16 << 10];
    let _ = stream.read(&mut part);
    let _ = stream.write(busy().as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
}

/// What has come of a message.
#[derive(Debug, Default)]
struct Message {
    /// Bytes, and those of the head once it is whole.
    come: u64,
    head: Option<u64>,
    /// Lines of the head that are whole; of the present one its length and its beginning.
    lines: usize,
    length: usize,
    begins: Vec<u8>,
    lengths: usize,
    coded: bool,
    odd: bool,
}

/// As much of a line is kept as tells the two headers that frame a body.
const BEGINNING: usize = "transfer-encoding:".len();

impl Message {
    fn take(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.come += 1;
            if self.head.is_some() {
                continue;
            }
            if byte != b'\n' {
                // Prevents: a target with a fragment or raw bytes is passed on in another form than it came in.
                self.odd |=
                    self.lines == 0 && (byte == b'#' || !(b' '..=b'~').contains(&byte) && byte != b'\r');
                self.length += usize::from(byte != b'\r');
                if self.begins.len() < BEGINNING {
                    self.begins.push(byte.to_ascii_lowercase());
                }
                continue;
            }
            match self.length {
                0 if self.lines > 0 => self.head = Some(self.come),
                0 => {}
                _ => {
                    self.lines += 1;
                    self.lengths += usize::from(self.begins.starts_with(b"content-length:"));
                    self.coded |= self.begins.starts_with(b"transfer-encoding:");
                }
            }
            self.length = 0;
            self.begins.clear();
        }
    }

    fn head_fault(&self) -> Option<&'static str> {
        match self {
            // It was read along with the one before it.
            Message { head: None, .. } => Some("a request before the answer to the last one"),
            Message { odd: true, .. } => Some("bytes in the path"),
            Message { lengths: 1.., coded: true, .. } => Some("Content-Length beside Transfer-Encoding"),
            Message { lengths: 2.., .. } => Some("Content-Length twice"),
            _ => None,
        }
    }

    fn excess(&self, body: Option<u64>) -> bool {
        matches!((self.head, body), (Some(head), Some(body)) if !self.coded && self.come > head.saturating_add(body))
    }
}

/// A connection whose bytes are watched on their way to the HTTP parser.
pub struct Tap {
    stream: TcpStream,
    seat: Arc<Seat>,
    thrown_away: usize,
}

impl Tap {
    /// Watches a connection.
    pub fn new(stream: TcpStream, seat: Arc<Seat>) -> Tap {
        Tap { stream, seat, thrown_away: 0 }
    }
}

impl Drop for Tap {
    /// Prevents: a client whose request was on its way is left without an answer when its connection makes room.
    fn drop(&mut self) {
        let state = self.seat.state();
        if state.sent_away && matches!(state.at, At::First | At::Reading) {
            let _ = self.stream.try_write(busy().as_bytes());
        }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let come = &buf.filled()[before..];
        let mut state = self.seat.state();
        if state.at == At::Idle && !come.is_empty() {
            (state.at, state.since) = (At::Reading, Instant::now());
        }
        state.message.take(come);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tap {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        let mut state = self.seat.state();
        if state.at == At::Answering {
            (state.at, state.since) = (At::Idle, Instant::now());
            state.message = Message::default();
        }
        Poll::Ready(Ok(()))
    }

    /// Prevents: a close with unread bytes resets the connection, and the answer is lost before it is read.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.seat.state().at != At::Closing {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.seat.go(At::Closing);
        }
        let mut part = [0; 16 << 10];
        loop {
            let mut buf = ReadBuf::new(&mut part);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            self.thrown_away += buf.filled().len();
            if buf.filled().is_empty() || self.thrown_away > LINGER_MOST {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

#[cfg(test)]
mod tests;
