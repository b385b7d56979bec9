//! Crowds of troublesome clients: many connections to one dispatcher, each of which makes the
//! dispatcher hold as much memory, for as long, as it can.
//!
//! One thread drives a whole crowd. A connection that the dispatcher has closed is opened again.

use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time between two steps of the connections of a crowd.
const STEP_INTERVAL: Duration = Duration::from_millis(1);
/// The largest body that a request may have.
const BODY_BYTES: usize = 64 << 10;
/// A head of this many bytes is within the limits of most servers.
const HEAD_BYTES: usize = 15 << 10;
/// Slow bodies follow a head that is written at once, together with some bytes of them.
const HEAD_IN_ONE_WRITE: usize = 200;
/// The number of requests that a flood sends in one write.
const FLOOD_BATCH: u64 = 50;
/// Reads per step, each of [`READ_BYTES`], so that one connection does not hold up the others.
const READS_PER_STEP: usize = 4;
const READ_BYTES: usize = 64 << 10;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// They send nothing.
    Silent,
    /// They send the head of a request byte by byte.
    SlowHead,
    /// They send a head of very many short fields, without its end.
    ManyFields,
    /// They send a part of a head with a long field, and stop.
    LongField,
    /// They send half of a large request, and stop.
    HalfBody,
    /// They send a large body byte by byte.
    SlowBody,
    /// They send a large body in chunks of one byte.
    SlowChunks,
    /// They send large requests and wait for the responses.
    LargeBodies,
    /// They send requests and never read the responses.
    UnreadResponses,
    /// They send small requests, which no endpoint can serve, as fast as they can.
    UnsoundFlood,
    /// They send sound requests under ever new ids as fast as they can, without waiting for responses.
    NewIdFlood,
    /// They ask for the readiness as fast as they can, without waiting for responses.
    ReadinessFlood,
}

impl Conduct {
    /// Every conduct.
    pub const ALL: &[Conduct] = &[
        Conduct::Silent,
        Conduct::SlowHead,
        Conduct::ManyFields,
        Conduct::LongField,
        Conduct::HalfBody,
        Conduct::SlowBody,
        Conduct::SlowChunks,
        Conduct::LargeBodies,
        Conduct::UnreadResponses,
        Conduct::UnsoundFlood,
        Conduct::NewIdFlood,
        Conduct::ReadinessFlood,
    ];

    /// The bytes that a step writes at most, after this many bytes of the message.
    fn bytes_per_step(self, written: usize) -> usize {
        match self {
            Conduct::SlowBody | Conduct::SlowChunks if written == 0 => HEAD_IN_ONE_WRITE,
            Conduct::SlowHead | Conduct::SlowBody => 1,
            Conduct::SlowChunks => CHUNK.len(),
            _ => usize::MAX,
        }
    }

    fn reads_responses(self) -> bool {
        self != Conduct::UnreadResponses
    }

    /// Whether the clients send the next message without waiting for a response.
    pub fn is_flood(self) -> bool {
        matches!(
            self,
            Conduct::UnsoundFlood | Conduct::NewIdFlood | Conduct::ReadinessFlood
        )
    }

    /// What a client sends after it has sent the previous message.
    fn message(self, names: &mut Names) -> Vec<u8> {
        match self {
            Conduct::Silent => vec![],
            Conduct::SlowHead => head(names, &long_field()),
            Conduct::LongField => without_end(head(names, &long_field())),
            Conduct::ManyFields => without_end(head(names, &short_fields())),
            Conduct::HalfBody => body_request(names, BODY_BYTES / 2),
            Conduct::SlowBody | Conduct::LargeBodies => body_request(names, BODY_BYTES),
            Conduct::SlowChunks => {
                let head = head(names, "Transfer-Encoding: chunked\r\n");
                [&head[..], &CHUNK.repeat(BODY_BYTES)].concat()
            }
            Conduct::UnreadResponses => body_request(names, 0),
            Conduct::UnsoundFlood => (0..FLOOD_BATCH)
                .flat_map(|_| {
                    format!(
                        "POST /no-class-{}/k HTTP/1.1\r\nHost: x\r\n\r\n",
                        names.next()
                    )
                    .into_bytes()
                })
                .collect(),
            Conduct::NewIdFlood => (0..FLOOD_BATCH)
                .flat_map(|_| body_request(names, 0))
                .collect(),
            Conduct::ReadinessFlood => {
                b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(FLOOD_BATCH as usize)
            }
        }
    }
}

/// A field that takes most of a head.
fn long_field() -> String {
    format!("a: {}\r\n", "x".repeat(HEAD_BYTES))
}

/// As many fields as a head can have.
fn short_fields() -> String {
    SHORT_FIELD.repeat(HEAD_BYTES / SHORT_FIELD.len())
}

/// A head without the empty line at its end.
fn without_end(head: Vec<u8>) -> Vec<u8> {
    head[..head.len() - "\r\n".len()].to_vec()
}

const SHORT_FIELD: &str = "a:b\r\n";
/// A chunk of one byte.
const CHUNK: &[u8] = b"1\r\nx\r\n";

/// Names that no other request has.
struct Names {
    prefix: String,
    count: u64,
}

impl Names {
    fn next(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.prefix, self.count)
    }
}

fn head(names: &mut Names, fields: &str) -> Vec<u8> {
    let id = names.next();
    format!(
        "POST /rate-push/{id} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining-Ms: 10000\r\n{fields}\r\n"
    )
    .into_bytes()
}

/// A request that announces a body of [`BODY_BYTES`], with this many bytes of it. Without any, it
/// announces none.
fn body_request(names: &mut Names, bytes: usize) -> Vec<u8> {
    let announced = if bytes == 0 { 0 } else { BODY_BYTES };
    let head = head(names, &format!("Content-Length: {announced}\r\n"));
    [&head[..], &vec![b'x'; bytes]].concat()
}

/// Runs a crowd of this many connections to the address that `address` returns, until `is_over`.
pub fn run(
    conduct: Conduct,
    connections: usize,
    name: &str,
    address: impl Fn() -> Option<SocketAddr>,
    is_over: impl Fn() -> bool,
) {
    let mut names = Names {
        prefix: name.to_owned(),
        count: 0,
    };
    let mut clients: Vec<CrowdClient> = Vec::new();
    clients.resize_with(connections, CrowdClient::default);
    while !is_over() {
        let step_ends_at = Instant::now() + STEP_INTERVAL;
        if let Some(address) = address() {
            for client in &mut clients {
                client.step(conduct, address, &mut names);
            }
        }
        std::thread::sleep(step_ends_at.saturating_duration_since(Instant::now()));
    }
}

/// One connection of a crowd.
#[derive(Default)]
struct CrowdClient {
    stream: Option<TcpStream>,
    message: Vec<u8>,
    written: usize,
}

impl CrowdClient {
    fn step(&mut self, conduct: Conduct, address: SocketAddr, names: &mut Names) {
        if self.stream.is_none() {
            self.stream = connect(address);
            self.message = conduct.message(names);
            self.written = 0;
        }
        if conduct.reads_responses() && self.has_ended() {
            self.stream = None;
            return;
        }
        if !self.write(conduct) {
            self.stream = None;
        } else if conduct.is_flood() && self.written == self.message.len() {
            self.message = conduct.message(names);
            self.written = 0;
        }
    }

    /// Reads and discards what has arrived. Returns whether the other side has closed the connection.
    fn has_ended(&mut self) -> bool {
        let mut buffer = [0; READ_BYTES];
        let Some(stream) = &mut self.stream else {
            return true;
        };
        for _ in 0..READS_PER_STEP {
            match stream.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return !is_pending(&error),
            }
        }
        false
    }

    /// Writes the next bytes of the message. Returns false if the connection has failed.
    fn write(&mut self, conduct: Conduct) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let rest = &self.message[self.written..];
        let next = &rest[..rest.len().min(conduct.bytes_per_step(self.written))];
        match stream.write(next) {
            Ok(written) => {
                self.written += written;
                true
            }
            Err(error) => is_pending(&error),
        }
    }
}

/// Whether an operation could not be completed yet, because the connection is being established or
/// its buffers are full or empty.
fn is_pending(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted
    )
}

/// Begins to connect, without waiting.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_nonblocking(true).ok()?;
    socket.set_tcp_nodelay(true).ok()?;
    // In progress, unless it has failed already.
    let _ = socket.connect(&address.into());
    Some(socket.into())
}
