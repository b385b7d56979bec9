//! Clients: one request to a connection, some of which leave before the answer.

use super::World;
use crate::Peer;
use fastrand::Rng;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits, as it tells the dispatcher.
pub const REMAINING: Duration = Duration::from_millis(2_500);
/// A client pauses for up to this long between two requests.
const PAUSE_MOST_MS: u64 = 60;
/// One in so many leaves early, within so long.
const LEAVERS: u32 = 8;
const LEAVES_WITHIN_MS: u64 = 60;

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

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Which dispatcher had it.
    pub dispatcher: usize,
    /// Its `X-Txn`.
    pub id: String,
    /// Its class may run once only.
    pub once: bool,
    /// When it was sent.
    pub at: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

/// Starts so many clients; what each has seen comes with its end.
pub fn start(world: &Arc<World>, count: u64, seed: u64) -> Vec<JoinHandle<Vec<Sent>>> {
    let client = |number: u64| {
        let world = world.clone();
        std::thread::spawn(move || run(&world, number, Rng::with_seed(seed ^ (number << 32))))
    };
    (0..count).map(client).collect()
}

fn run(world: &World, number: u64, mut rng: Rng) -> Vec<Sent> {
    let mut seen = Vec::new();
    while !world.over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(rng.u64(..PAUSE_MOST_MS)));
        let dispatcher = rng.usize(..world.dispatchers.len());
        let address = world.dispatchers[dispatcher].address.lock().unwrap().clone();
        let Some(stream) = address.and_then(|at| TcpStream::connect(at).ok()) else { continue };
        let (id, once) = (format!("{number}-{}", seen.len()), rng.u32(..5) < 2);
        let class = if once { "booking-import" } else { "rate-push" };
        let mut peer = Peer::new(stream);
        let at = Instant::now();
        peer.send(&format!("POST /{class}/k {id} {} x", REMAINING.as_millis()));
        let end = if rng.u32(..LEAVERS) == 0 {
            std::thread::sleep(Duration::from_millis(rng.u64(..LEAVES_WITHIN_MS)));
            drop(peer);
            End::Left
        } else {
            match peer.message() {
                Ok(answer) => End::Answered(answer.lines().next().unwrap_or_default().to_owned()),
                Err(_) => End::Nothing,
            }
        };
        seen.push(Sent { dispatcher, id, once, at, ended: Instant::now(), end });
    }
    seen
}
