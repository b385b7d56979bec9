//! Clients: they keep connections open and use them for as long as these stay open, some disconnect
//! before the response, and some stop in the middle of a request.

use super::TestFleet;
use crate::Peer;
use fastrand::Rng;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A client pauses for less than this between two requests.
const MAX_PAUSE_MS: u64 = 60;
/// One in so many requests is given up early, within this time; at once in a burst.
const DISCONNECT_ONE_IN: u32 = 8;
const DISCONNECT_WITHIN_MS: u64 = 60;
/// One in so many clients stops in the middle of its request and stays.
const INCOMPLETE_ONE_IN: u32 = 40;
/// One in so many uses a new connection although it has one open.
const NEW_CONNECTION_ONE_IN: u32 = 5;
/// So many of so many requests are of the non-idempotent class.
const NON_IDEMPOTENT: u32 = 2;
const NON_IDEMPOTENT_OF: u32 = 5;

/// How a request ended, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a response, of which this is the first line.
    Response(String),
    /// Its client has disconnected.
    Disconnected,
    /// Its connection ended, or stayed silent, without a response.
    NoResponse,
}

/// The connection that a request was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A new one.
    New,
    /// One that was kept from an earlier request, and may be closed as this one is sent.
    Kept,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The index of the dispatcher.
    pub dispatcher: usize,
    /// Its `X-Txn`.
    pub id: String,
    /// Its class is the non-idempotent one.
    pub is_non_idempotent: bool,
    /// What it was sent on.
    pub connection: Connection,
    /// Its client stopped in the middle of it.
    pub is_incomplete: bool,
    /// When it was sent.
    pub at: Instant,
    /// How long its client waits.
    pub remaining: Duration,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: End,
}

/// Starts so many clients. Each thread returns what its client has seen.
pub fn start(world: &Arc<TestFleet>, count: u64, seed: u64) -> Vec<JoinHandle<Vec<Sent>>> {
    let client = |number: u64| {
        let client = Client {
            world: world.clone(),
            number,
            rng: Rng::with_seed(seed ^ (number << 32)),
            kept: HashMap::new(),
            sent: vec![],
        };
        std::thread::spawn(move || client.run())
    };
    (0..count).map(client).collect()
}

struct Client {
    world: Arc<TestFleet>,
    number: u64,
    rng: Rng,
    /// Its open connections, by dispatcher.
    kept: HashMap<usize, Peer>,
    sent: Vec<Sent>,
}

impl Client {
    fn run(mut self) -> Vec<Sent> {
        while !self.world.over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(self.rng.u64(..MAX_PAUSE_MS)));
            let dispatcher = self.rng.usize(..self.world.dispatchers.len());
            let wants_new = self.rng.u32(..NEW_CONNECTION_ONE_IN) == 0;
            let kept = self.kept.remove(&dispatcher).filter(|_| !wants_new);
            let (peer, connection) = match kept {
                // Closed between two requests, which the client has seen.
                Some(peer) if peer.is_closed() => continue,
                Some(peer) => (peer, Connection::Kept),
                None => match self.connect(dispatcher) {
                    Some(peer) => (peer, Connection::New),
                    None => continue,
                },
            };
            self.request(dispatcher, peer, connection);
        }
        self.sent
    }

    fn connect(&self, dispatcher: usize) -> Option<Peer> {
        let address = self.world.dispatchers[dispatcher]
            .address
            .lock()
            .unwrap()
            .clone();
        Some(Peer::new(TcpStream::connect(address?).ok()?))
    }

    fn request(&mut self, dispatcher: usize, mut peer: Peer, connection: Connection) {
        let id = format!("{}-{}", self.number, self.sent.len());
        let is_non_idempotent = self.rng.u32(..NON_IDEMPOTENT_OF) < NON_IDEMPOTENT;
        let class = if is_non_idempotent {
            "booking-import"
        } else {
            "rate-push"
        };
        let remaining = self.world.conditions.remaining(is_non_idempotent);
        let is_incomplete = self.rng.u32(..INCOMPLETE_ONE_IN) == 0;
        let at = Instant::now();
        if is_incomplete {
            peer.send(&format!(
                "raw POST /{class}/k HTTP/1.1\\r\\nHost: x\\r\\nX-Txn: {id}\\r\\n"
            ));
        } else {
            peer.send(&format!("POST /{class}/k {id} {} x", remaining.as_millis()));
        }
        let is_burst = self.world.disconnect_burst.load(Ordering::Relaxed);
        let disconnects = !is_incomplete && (is_burst || self.rng.u32(..DISCONNECT_ONE_IN) == 0);
        let end = if disconnects {
            self.disconnect(peer, is_burst)
        } else {
            self.await_response(dispatcher, peer)
        };
        self.sent.push(Sent {
            dispatcher,
            id,
            is_non_idempotent,
            connection,
            is_incomplete,
            at,
            remaining,
            ended_at: Instant::now(),
            end,
        });
    }

    fn disconnect(&mut self, peer: Peer, at_once: bool) -> End {
        if !at_once {
            let wait = self.rng.u64(..DISCONNECT_WITHIN_MS);
            std::thread::sleep(Duration::from_millis(wait));
        }
        drop(peer);
        End::Disconnected
    }

    fn await_response(&mut self, dispatcher: usize, mut peer: Peer) -> End {
        let Ok(response) = peer.read_message() else {
            return End::NoResponse;
        };
        if !response.to_lowercase().contains("connection: close") {
            self.kept.insert(dispatcher, peer);
        }
        End::Response(response.lines().next().unwrap_or_default().to_owned())
    }
}
