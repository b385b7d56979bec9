//! Discovery as one dispatcher sees it: it can be down, fall silent, and move to its other address.

use super::workers::Workers;
use crate::{Peer, serve_each};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often a watch looks for changes.
const LOOK: Duration = Duration::from_millis(10);
/// A call that finds discovery down is refused after this time.
const REFUSED_AFTER: Duration = Duration::from_millis(100);

/// One dispatcher's discovery.
pub struct Link {
    workers: Arc<Workers>,
    addresses: [String; 2],
    state: Mutex<State>,
}

struct State {
    /// Which of the addresses serves.
    serves: usize,
    /// When it went up and down in turn; it is up after an odd number.
    turns: Vec<Instant>,
    /// It answers calls so late.
    delay: Duration,
    /// Watches that were opened before this say nothing any more.
    silent_before: Option<Instant>,
    /// When each version was written, with those before it.
    written: Vec<(Instant, u64)>,
}

impl State {
    fn up(&self) -> bool {
        self.turns.len() % 2 == 1
    }
}

impl Link {
    /// One that is up.
    pub fn start(workers: Arc<Workers>) -> Arc<Link> {
        let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = listeners.each_ref().map(|l| l.local_addr().unwrap().to_string());
        let turns = vec![Instant::now()];
        let (delay, silent_before, written) = (Duration::ZERO, None, vec![]);
        let state = State { serves: 0, turns, delay, silent_before, written };
        let link = Arc::new(Link { workers, addresses, state: Mutex::new(state) });
        for (number, listener) in listeners.into_iter().enumerate() {
            let link = link.clone();
            serve_each(listener, move |peer| link.answer(number, peer));
        }
        link
    }

    fn answer(&self, number: usize, mut peer: Peer) {
        let Ok(request) = peer.message() else { return };
        let delay = self.state.lock().unwrap().delay;
        std::thread::sleep(delay);
        if !self.serves(number) {
            std::thread::sleep(REFUSED_AFTER);
            return peer.send("raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n");
        }
        let Some(index) = request.split("index=").nth(1) else {
            let version = self.workers.version();
            peer.send(&format!("json {}", self.workers.whole_list()));
            return self.wrote(version);
        };
        let index = index.split(' ').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        peer.send("200");
        let (opened, mut spoke) = (Instant::now(), Instant::now());
        let (mut version, first) = self.workers.changes_since(index);
        peer.send(&format!("+ {first}"));
        self.wrote(version);
        while self.serves(number) && !peer.closed() {
            std::thread::sleep(LOOK);
            if self.state.lock().unwrap().silent_before.is_some_and(|at| opened < at) {
                continue;
            }
            if self.workers.version() > version {
                let (now, changes) = self.workers.changes_since(version);
                peer.send(&format!("+ {changes}"));
                self.wrote(now);
                (version, spoke) = (now, Instant::now());
            } else if spoke.elapsed() >= HEARTBEAT {
                peer.send("raw 1\\r\\n\\n\\r\\n");
                spoke = Instant::now();
            }
        }
    }

    fn serves(&self, number: usize) -> bool {
        let state = self.state.lock().unwrap();
        state.up() && state.serves == number
    }

    fn wrote(&self, version: u64) {
        self.state.lock().unwrap().written.push((Instant::now(), version));
    }

    /// Where it is.
    pub fn address(&self) -> String {
        self.addresses[self.state.lock().unwrap().serves].clone()
    }

    /// It goes up or down; its watches end with it.
    pub fn set_up(&self, up: bool) {
        let mut state = self.state.lock().unwrap();
        if state.up() != up {
            state.turns.push(Instant::now());
        }
    }

    /// It answers calls so late from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// The watches that stand say nothing any more.
    pub fn fall_silent(&self) {
        self.state.lock().unwrap().silent_before = Some(Instant::now());
    }

    /// It is at its other address from now on; the watches at this one end.
    pub fn move_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.serves = 1 - state.serves;
    }

    /// When a change counts as notified to a process that was started at this time: when it was written to it, or this
    /// long after discovery had it and could be reached.
    pub fn notified(
        &self,
        started: Instant,
        changed: Instant,
        version: u64,
        within: Duration,
    ) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let written = state.written.iter().find(|(at, v)| *at >= started && *v >= version).map(|(at, _)| *at);
        let reached = state.turns.chunks(2).find_map(|turn| {
            let counts = changed.max(turn[0]) + within;
            turn.get(1).is_none_or(|&down| counts <= down).then_some(counts)
        });
        written.into_iter().chain(reached).min()
    }
}
