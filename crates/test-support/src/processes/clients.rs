//! Clients: they keep connections open and use them for as long as these stay open, some leave
//! before the answer, and some stop in the middle of a request.

use super::World;
use crate::Peer;
use fastrand::Rng;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A client pauses for up to this long between two requests.
const PAUSE_MOST_MS: u64 = 60;
/// One in so many leaves early, within so long; at once where clients leave in a burst.
const LEAVERS: u32 = 8;
const LEAVES_WITHIN_MS: u64 = 60;
/// One in so many stops in the middle of its request and stays.
const STOPS_HALFWAY: u32 = 40;
/// One in so many uses a new connection although it has one open.
const NEW_CONNECTION: u32 = 5;

/// How a request ended, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered, with the first line of the answer.
    Answered(String),
    /// Its client has left.
    Left,
    /// Its connection ended, or stayed silent, without an answer.
    Nothing,
}

/// What it was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A connection of its own.
    New,
    /// One kept from an earlier request, whose end it may cross.
    Kept,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Which dispatcher had it.
    pub dispatcher: usize,
    /// Its `X-Txn`.
    pub id: String,
    /// Its class may run once only.
    pub once: bool,
    /// What it was sent on.
    pub connection: Connection,
    /// Its client stopped in the middle of it.
    pub halfway: bool,
    /// When it was sent.
    pub at: Instant,
    /// How long its client waits.
    pub remaining: Duration,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

/// Starts so many clients; what each has seen comes with its end.
pub fn start(world: &Arc<World>, count: u64, seed: u64) -> Vec<JoinHandle<Vec<Sent>>> {
    let client = |number: u64| {
        let world = world.clone();
        let rng = Rng::with_seed(seed ^ (number << 32));
        let client = Client {
            world,
            number,
            rng,
            open: HashMap::new(),
            seen: vec![],
        };
        std::thread::spawn(move || client.run())
    };
    (0..count).map(client).collect()
}

struct Client {
    world: Arc<World>,
    number: u64,
    rng: Rng,
    /// Connections that are open, by dispatcher.
    open: HashMap<usize, Peer>,
    seen: Vec<Sent>,
}

impl Client {
    fn run(mut self) -> Vec<Sent> {
        while !self.world.over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(self.rng.u64(..PAUSE_MOST_MS)));
            let dispatcher = self.rng.usize(..self.world.dispatchers.len());
            let new = self.rng.u32(..NEW_CONNECTION) == 0;
            let kept = self.open.remove(&dispatcher).filter(|_| !new);
            let (peer, connection) = match kept {
                // Closed between two requests, which the client has seen.
                Some(peer) if peer.closed() => continue,
                Some(peer) => (peer, Connection::Kept),
                None => match self.connect(dispatcher) {
                    Some(peer) => (peer, Connection::New),
                    None => continue,
                },
            };
            self.request(dispatcher, peer, connection);
        }
        self.seen
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
        let (id, once) = (
            format!("{}-{}", self.number, self.seen.len()),
            self.rng.u32(..5) < 2,
        );
        let class = if once { "booking-import" } else { "rate-push" };
        let remaining = self.world.conditions.remaining(once);
        let halfway = self.rng.u32(..STOPS_HALFWAY) == 0;
        let at = Instant::now();
        match halfway {
            true => peer.send(&format!(
                "raw POST /{class}/k HTTP/1.1\\r\\nHost: x\\r\\nX-Txn: {id}\\r\\n"
            )),
            false => peer.send(&format!("POST /{class}/k {id} {} x", remaining.as_millis())),
        }
        let bursts = self.world.burst.load(Ordering::Relaxed);
        let end = if !halfway && (bursts || self.rng.u32(..LEAVERS) == 0) {
            if !bursts {
                std::thread::sleep(Duration::from_millis(self.rng.u64(..LEAVES_WITHIN_MS)));
            }
            drop(peer);
            End::Left
        } else {
            match peer.message() {
                Ok(answer) => {
                    if !answer.to_lowercase().contains("connection: close") {
                        self.open.insert(dispatcher, peer);
                    }
                    End::Answered(answer.lines().next().unwrap_or_default().to_owned())
                }
                Err(_) => End::Nothing,
            }
        };
        let ended = Instant::now();
        self.seen.push(Sent {
            dispatcher,
            id,
            once,
            connection,
            halfway,
            at,
            remaining,
            ended,
            end,
        });
    }
}
