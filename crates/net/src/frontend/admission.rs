//! Admission: which connections of clients are held, for how long, and what their bytes look like
//! on the way.
//!
//! A connection has a [`ClientConnection`] that knows what it is at. Its bytes pass a
//! [`InspectedStream`], which counts them before the HTTP parser sees them: a parser hides repeated
//! lengths, and what has come behind a request. Whatever ends a connection, it is closed in one
//! place, [`close`]: with a last word where an answer is owed, and never over bytes that nobody has
//! read.

use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A whole request has come within this time of the connection, or of its own first byte on a later
/// one.
pub const REQUEST: Duration = Duration::from_secs(2);
/// A client takes its answer within this time.
const ANSWER: Duration = Duration::from_secs(10);
/// A connection between two requests stays open for this long.
const IDLE: Duration = Duration::from_secs(120);
/// After the last answer a client has this long to read it, while what it still sends is thrown
/// away.
const LINGER: Duration = Duration::from_secs(1);
/// At most so much that nobody asked for is read of a connection and thrown away.
const UNASKED_MOST: usize = 4 << 20;
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

/// Whether a connection's place is wanted for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Leave {
    No,
    /// It goes, with a last word.
    Soon,
    /// It has had its time for that.
    AtOnce,
}

/// A connection's place among those that are held.
pub struct ClientConnection {
    state: Mutex<State>,
    leave: Notify,
}

struct State {
    at: At,
    since: Instant,
    /// It has held a request.
    used: bool,
    leave: Leave,
    /// Bytes that came and that nobody asked for, thrown away.
    unasked: usize,
    message: Message,
}

impl ClientConnection {
    fn new(now: Instant) -> ClientConnection {
        let (leave, message) = (Leave::No, Message::default());
        let state = State {
            at: At::First,
            since: now,
            used: false,
            leave,
            unasked: 0,
            message,
        };
        ClientConnection {
            state: Mutex::new(state),
            leave: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
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
        let state = self.state();
        state.unasked > 0 || state.message.excess(body)
    }

    /// Waits until the place is wanted for another.
    pub async fn wanted(&self) {
        self.told_to_leave(Leave::Soon).await;
    }

    async fn told_to_leave(&self, how: Leave) {
        while self.state().leave < how {
            self.leave.notified().await;
        }
    }

    fn send_away(&self, how: Leave) {
        let mut state = self.state();
        state.leave = state.leave.max(how);
        self.leave.notify_one();
    }

    /// Nothing has come of a first request.
    pub fn untouched(&self) -> bool {
        let state = self.state();
        state.at == At::First && state.message.come == 0
    }

    /// What is still owed to the client when we end its connection now: a busy answer where it goes
    /// to make room or with the process, and word that its request took too long where it does so
    /// for our patience.
    pub fn owed(&self, end: End) -> Option<String> {
        let state = self.state();
        match (end, state.at) {
            (End::Impatient, At::First | At::Reading) if state.message.come > 0 => Some(last_word(
                "408 Request Timeout",
                "",
                "the request took too long",
            )),
            (End::Wanted | End::Stopping, At::First | At::Reading) => Some(last_word(
                "503 Service Unavailable",
                &format!("retry-after: {COME_BACK}\r\n"),
                "",
            )),
            _ => None,
        }
    }

    /// Takes what came while a request is held: nobody asked for it. Ready once the client has
    /// gone.
    ///
    /// Prevents: a client that sends something behind its request, and goes, is not noticed, as the
    /// parser reads no further while it has bytes that it can't use yet.
    pub fn poll_gone(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.state().at == At::Holding {
            ready!(stream.poll_read_ready(cx))?;
            // Only here, as each poll of a connection comes by, and hardly any finds something to
            // read.
            let mut part = [0; 16 << 10];
            match stream.try_read(&mut part) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(n) => self.unasked(n)?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
        Poll::Pending
    }

    fn unasked(&self, n: usize) -> io::Result<()> {
        let mut state = self.state();
        state.unasked += n;
        match state.unasked > UNASKED_MOST {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
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

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its client has what it wanted, or has gone.
    Over,
    /// Our patience with it has ended.
    Impatient,
    /// Its place is wanted for another.
    Wanted,
    /// The process stops.
    Stopping,
}

/// The connections of clients that are held.
pub struct Admission {
    room: usize,
    spare: usize,
    held: Mutex<Held>,
}

#[derive(Default)]
struct Held {
    last: u64,
    seats: BTreeMap<u64, Arc<ClientConnection>>,
    /// Those that have their last word, or are to get it at once: as many as there are spare
    /// places.
    leaving: BTreeMap<u64, Arc<ClientConnection>>,
}

impl Held {
    /// Prevents: a flood of new connections holds as many sockets as it likes, each for as long as
    /// it takes to close.
    fn leaves(&mut self, number: u64, seat: Arc<ClientConnection>, most: usize) {
        self.leaving.insert(number, seat);
        while self.leaving.len() > most {
            let Some((_, first)) = self.leaving.pop_first() else {
                return;
            };
            first.send_away(Leave::AtOnce);
        }
    }
}

/// What there is room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// To be served.
    Served,
    /// For a busy answer to each of its requests.
    Busy,
    /// For a busy answer that waits for no request.
    None,
}

/// A place that is free again when dropped.
pub struct ConnectionPermit {
    admission: Arc<Admission>,
    number: u64,
    /// The seat.
    pub seat: Arc<ClientConnection>,
    /// What there was room for.
    pub room: Room,
}

impl Admission {
    /// Room for so many connections, and for a few more that only get a busy answer.
    pub fn new(room: usize, spare: usize) -> Arc<Admission> {
        Arc::new(Admission {
            room,
            spare,
            held: Mutex::default(),
        })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A place for a new connection. Prevents: those who hold connections and ask for nothing turn
    /// away those who do ask.
    pub fn admit(self: &Arc<Admission>, now: Instant) -> ConnectionPermit {
        let mut held = self.held();
        if held.seats.len() >= self.room {
            let unused = held
                .seats
                .iter()
                .filter_map(|(&number, seat)| Some((seat.use_of(now)?, number)));
            let first = unused
                .min()
                .and_then(|(_, number)| held.seats.remove_entry(&number));
            if let Some((number, seat)) = first {
                seat.send_away(Leave::Soon);
                held.leaves(number, seat, self.spare);
            }
        }
        let room = match held.seats.len() {
            n if n < self.room => Room::Served,
            n if n < self.room + self.spare => Room::Busy,
            _ => Room::None,
        };
        held.last += 1;
        let (number, seat) = (held.last, Arc::new(ClientConnection::new(now)));
        match room {
            Room::None => held.leaves(number, seat.clone(), self.spare),
            Room::Served | Room::Busy => drop(held.seats.insert(number, seat.clone())),
        }
        ConnectionPermit {
            admission: self.clone(),
            number,
            seat,
            room,
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut held = self.admission.held();
        held.seats.remove(&self.number);
        held.leaving.remove(&self.number);
    }
}

/// Advice to come back where too many connections are open, in seconds.
pub const COME_BACK: &str = "1";

/// An answer that no parser makes any more, as the last thing on a connection.
fn last_word(status: &str, header: &str, text: &str) -> String {
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\n{header}connection: close\r\ncontent-length: {length}\r\n\r\n{text}"
    )
}

/// Closes a connection whose parser has let go of it: a last word, the end of our sending, and then
/// whatever the client still sends is read and thrown away until it has closed too.
///
/// Prevents: a close over unread bytes resets the connection, and the answer is lost before it is
/// read; and what is read after the end of our sending is sent on, though no answer can come back.
pub async fn close(stream: &TcpStream, seat: &ClientConnection, last_word: Option<String>) {
    seat.go(At::Closing);
    let socket = SockRef::from(stream);
    if let Some(text) = last_word {
        // Where not even this can be written, the client reads nothing. It is no matter of waiting:
        // the socket may not have been looked at yet, and its place may be wanted at once.
        let _ = socket.send(text.as_bytes());
    }
    let _ = socket.shutdown(Shutdown::Write);
    let drained = async {
        let mut part = [0; 16 << 10];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut part) {
                Ok(0) => return,
                Ok(n) if seat.unasked(n).is_ok() => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) | Err(_) => return,
            }
        }
    };
    tokio::select! {
        () = drained => {}
        () = sleep_until(seat.due()) => {}
        () = seat.told_to_leave(Leave::AtOnce) => {}
    }
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
                // Prevents: a target with a fragment or raw bytes is passed on in another form than
                // it came in.
                self.odd |= self.lines == 0
                    && (byte == b'#' || !(b' '..=b'~').contains(&byte) && byte != b'\r');
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
            Message {
                lengths: 1..,
                coded: true,
                ..
            } => Some("Content-Length beside Transfer-Encoding"),
            Message { lengths: 2.., .. } => Some("Content-Length twice"),
            _ => None,
        }
    }

    fn excess(&self, body: Option<u64>) -> bool {
        matches!((self.head, body), (Some(head), Some(body)) if !self.coded && self.come > head.saturating_add(body))
    }
}

/// A connection whose bytes are watched on their way to the HTTP parser.
pub struct InspectedStream {
    stream: Arc<TcpStream>,
    seat: Arc<ClientConnection>,
}

impl InspectedStream {
    /// Watches a connection.
    pub fn new(stream: Arc<TcpStream>, seat: Arc<ClientConnection>) -> InspectedStream {
        InspectedStream { stream, seat }
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.seat.state().at == At::Holding {
            return self.seat.poll_gone(&self.stream, cx);
        }
        let before = buf.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Ok(_) => break,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
        let come = &buf.filled()[before..];
        let mut state = self.seat.state();
        if state.at == At::Idle && !come.is_empty() {
            (state.at, state.since) = (At::Reading, Instant::now());
        }
        state.message.take(come);
        Poll::Ready(Ok(()))
    }
}

impl InspectedStream {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// What is written has gone to the system.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.seat.state();
        if state.at == At::Answering {
            (state.at, state.since, state.unasked) = (At::Idle, Instant::now(), 0);
            state.message = Message::default();
        }
        Poll::Ready(Ok(()))
    }

    /// The one that closes it is [`close`].
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
