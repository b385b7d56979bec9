//! Clients, which reuse open connections. Some disconnect before the response, some pause in the
//! middle of a request, and some stop there.

use super::TestFleet;
use crate::Peer;
use fastrand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The pause of a client between two requests is shorter than this.
const MAX_PAUSE_MS: u64 = 60;
/// The client of one in this many requests disconnects early, within this time. In a burst of
/// disconnects all clients disconnect at once.
const DISCONNECT_ONE_IN: u32 = 8;
const DISCONNECT_WITHIN_MS: u64 = 60;
/// For one in this many requests, the client stops in the middle of the request and stays connected.
const INCOMPLETE_ONE_IN: u32 = 40;
/// For one in this many requests, the client pauses in the middle of the request, for a time within
/// these limits. The whole request arrives before its timeout of 2 s.
const SLOW_ONE_IN: u32 = 40;
const MIN_SLOW_PAUSE_MS: u64 = 20;
const MAX_SLOW_PAUSE_MS: u64 = 1_500;
/// How often a client that pauses checks whether its connection was closed.
const PAUSE_POLL: Duration = Duration::from_millis(2);
/// A request is longer than this.
const MIN_REQUEST_BYTES: usize = 90;
/// One in this many requests is sent on a new connection even if one is open.
const NEW_CONNECTION_ONE_IN: u32 = 5;
/// The share of requests that are of the non-idempotent class.
const NON_IDEMPOTENT_NUMERATOR: u32 = 2;
const NON_IDEMPOTENT_DENOMINATOR: u32 = 5;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a response, whose first line this is.
    Response(String),
    /// Its client disconnected.
    Disconnected,
    /// Its connection was closed, or remained silent, without a response.
    NoResponse,
}

impl RequestEnd {
    /// With this response.
    fn from_response(response: &str) -> RequestEnd {
        RequestEnd::Response(response.lines().next().unwrap_or_default().to_owned())
    }

    /// Reads the response, if one comes.
    pub(super) fn read_from(peer: &mut Peer) -> RequestEnd {
        let response = peer.read_message();
        response.map_or(RequestEnd::NoResponse, |response| {
            RequestEnd::from_response(&response)
        })
    }

    /// Whether its job was done, over HTTP.
    pub(super) fn is_served(&self) -> bool {
        matches!(self, RequestEnd::Response(line) if line.contains(" 200 "))
    }
}

/// The connection that a request was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A new connection.
    New,
    /// A connection of an earlier request, which may be closed while this request is sent.
    Reused,
}

/// How a client writes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// All of it at once.
    AtOnce,
    /// A part of it, and the rest after a pause, unless the dispatcher has closed the connection or
    /// has responded by then.
    Slow,
    /// A part of it, and then nothing more.
    Incomplete,
}

/// The record of a request by its client.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The index of the dispatcher.
    pub dispatcher: usize,
    /// Its `X-Txn`.
    pub id: String,
    /// Whether its class is the non-idempotent one.
    pub is_non_idempotent: bool,
    /// The connection that it was sent on.
    pub connection: Connection,
    /// How its client wrote it.
    pub pace: Pace,
    /// When its first byte was sent.
    pub begun_at: Instant,
    /// When its last byte was sent.
    pub at: Instant,
    /// How long its client waits.
    pub remaining: Duration,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: RequestEnd,
}

/// Starts this many clients. Each thread returns the requests that its client has sent.
pub fn start(fleet: &Arc<TestFleet>, count: u64, seed: u64) -> Vec<JoinHandle<Vec<SentRequest>>> {
    let client = |number: u64| {
        let client = Client {
            fleet: fleet.clone(),
            number,
            rng: Rng::with_seed(seed ^ (number << 32)),
            open_connections: HashMap::new(),
            sent: vec![],
        };
        std::thread::spawn(move || client.run())
    };
    (0..count).map(client).collect()
}

struct Client {
    fleet: Arc<TestFleet>,
    number: u64,
    rng: Rng,
    /// Its open connections, by dispatcher.
    open_connections: HashMap<usize, Peer>,
    sent: Vec<SentRequest>,
}

impl Client {
    fn run(mut self) -> Vec<SentRequest> {
        while !self.fleet.clients_stopped.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(self.rng.u64(..MAX_PAUSE_MS)));
            let dispatcher = self.rng.usize(..self.fleet.dispatchers.len());
            let wants_new = self.rng.u32(..NEW_CONNECTION_ONE_IN) == 0;
            let reusable = self
                .open_connections
                .remove(&dispatcher)
                .filter(|_| !wants_new);
            let (peer, connection) = match reusable {
                // The connection was closed between two requests, which the client notices.
                Some(peer) if peer.is_closed() => continue,
                Some(peer) => (peer, Connection::Reused),
                None => match self.fleet.dispatchers[dispatcher].connect() {
                    Some(peer) => (peer, Connection::New),
                    None => continue,
                },
            };
            self.request(dispatcher, peer, connection);
        }
        self.sent
    }

    fn request(&mut self, dispatcher: usize, mut peer: Peer, connection: Connection) {
        let id = format!("{}-{}", self.number, self.sent.len());
        let is_non_idempotent =
            self.rng.u32(..NON_IDEMPOTENT_DENOMINATOR) < NON_IDEMPOTENT_NUMERATOR;
        let class = if is_non_idempotent {
            "booking-import"
        } else {
            "rate-push"
        };
        let remaining = self.fleet.conditions.remaining(is_non_idempotent);
        let pace = self.draw_pace();
        let message = format!("POST /{class}/k {id} {} x", remaining.as_millis());
        let begun_at = Instant::now();
        match pace {
            Pace::AtOnce => peer.send(&message),
            Pace::Slow => self.send_slowly(&mut peer, &message),
            Pace::Incomplete => peer.send(&format!("first {} {message}", self.draw_part())),
        }
        let at = Instant::now();
        let is_burst = self.fleet.disconnect_burst.load(Ordering::Relaxed);
        let may_disconnect = pace == Pace::AtOnce;
        let disconnects = may_disconnect && (is_burst || self.rng.u32(..DISCONNECT_ONE_IN) == 0);
        let end = if disconnects {
            self.disconnect(peer, is_burst)
        } else {
            self.await_response(dispatcher, peer)
        };
        self.sent.push(SentRequest {
            dispatcher,
            id,
            is_non_idempotent,
            connection,
            pace,
            begun_at,
            at,
            remaining,
            ended_at: Instant::now(),
            end,
        });
    }

    fn draw_pace(&mut self) -> Pace {
        if self.rng.u32(..INCOMPLETE_ONE_IN) == 0 {
            Pace::Incomplete
        } else if self.rng.u32(..SLOW_ONE_IN) == 0 {
            Pace::Slow
        } else {
            Pace::AtOnce
        }
    }

    /// The number of bytes before a pause: at least one, and not the whole request.
    fn draw_part(&mut self) -> usize {
        self.rng.usize(1..MIN_REQUEST_BYTES)
    }

    fn send_slowly(&mut self, peer: &mut Peer, message: &str) {
        let part = self.draw_part();
        peer.send(&format!("first {part} {message}"));
        let pause = self.rng.u64(MIN_SLOW_PAUSE_MS..MAX_SLOW_PAUSE_MS);
        let until = Instant::now() + Duration::from_millis(pause);
        while Instant::now() < until && !peer.is_closed() {
            std::thread::sleep(PAUSE_POLL);
        }
        peer.send(&format!("after {part} {message}"));
    }

    fn disconnect(&mut self, peer: Peer, at_once: bool) -> RequestEnd {
        if !at_once {
            let wait = self.rng.u64(..DISCONNECT_WITHIN_MS);
            std::thread::sleep(Duration::from_millis(wait));
        }
        drop(peer);
        RequestEnd::Disconnected
    }

    fn await_response(&mut self, dispatcher: usize, mut peer: Peer) -> RequestEnd {
        let Ok(response) = peer.read_message() else {
            return RequestEnd::NoResponse;
        };
        if !response.to_lowercase().contains("connection: close") {
            self.open_connections.insert(dispatcher, peer);
        }
        RequestEnd::from_response(&response)
    }
}
