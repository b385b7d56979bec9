//! Discovery as one dispatcher sees it: its watches and calls can fail in ways of their own, and it
//! can move.

use super::Lists;
use super::service::{Failure, Service};
use crate::{Peer, serve_each};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often a watch looks for changes.
const LOOK: Duration = Duration::from_millis(10);
/// The addresses that it can be at in turn.
const ADDRESSES: usize = 3;
/// A service that lags behind itself has caught up after this time; an agent beside the dispatcher
/// sooner, as what it has counts at once.
const LAGS: Duration = Duration::from_millis(1_500);
const LAGS_BESIDE: Duration = Duration::from_millis(200);
/// A call that hangs is held for so long.
const HANGS: Duration = Duration::from_secs(8);

/// What becomes of the watches that stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// They say nothing any more.
    Silent,
    /// The same after half a line.
    HalfLine,
    /// They are reset.
    Reset,
    /// They end.
    Ended,
}

/// What becomes of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// They are never answered.
    Unanswered,
    /// The head of the answer comes, then empty lines as on a watch that has nothing to tell.
    HeadAndHeartbeats,
    /// The answer comes byte by byte.
    Trickles,
    /// The answer is a whole list from before the last changes.
    Outdated,
}

/// What is at an address that discovery has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// It goes on as before.
    Alive,
    /// Its watches end and calls fail.
    Dead,
    /// Its watches say nothing any more, and calls are not answered.
    Silent,
}

/// A watch that was opened.
struct Watched {
    opened: Instant,
    /// Since when it says nothing.
    silent: Option<Instant>,
    closed: Option<Instant>,
}

/// A move to another address.
struct Move {
    at: Instant,
    address: usize,
    /// When the dispatcher was first told anything there.
    heard: Option<Instant>,
}

/// One dispatcher's discovery.
pub struct Link {
    service: Arc<Service>,
    lists: Lists,
    addresses: [String; ADDRESSES],
    state: Mutex<State>,
}

struct State {
    /// Which of the addresses serves, and what is at the others.
    serves: usize,
    left: [Left; ADDRESSES],
    /// What became of watches that were opened before this.
    lost: Option<(Instant, WatchLoss)>,
    /// Changes are not told on watches until then.
    late_until: Option<Instant>,
    /// What becomes of calls until then.
    fault: Option<(Instant, CallFault)>,
    /// When each version was written, with those before it.
    written: Vec<(Instant, u64)>,
    watches: Vec<Watched>,
    moves: Vec<Move>,
}

impl Link {
    /// One to this service, or to an agent that it pushes its list to.
    pub fn start(service: Arc<Service>, lists: Lists) -> Arc<Link> {
        let listeners = [(); ADDRESSES].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = listeners
            .each_ref()
            .map(|l| l.local_addr().unwrap().to_string());
        let state = State {
            serves: 0,
            left: [Left::Dead; ADDRESSES],
            lost: None,
            late_until: None,
            fault: None,
            written: vec![],
            watches: vec![],
            moves: vec![],
        };
        let link = Arc::new(Link {
            service,
            lists,
            addresses,
            state: Mutex::new(state),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let link = link.clone();
            serve_each(listener, move |peer| link.answer(number, peer));
        }
        link
    }

    fn answer(&self, number: usize, mut peer: Peer) {
        let Ok(request) = peer.message() else { return };
        match self.at(number) {
            Left::Alive => {}
            Left::Dead => return refuse(peer, Failure::Unavailable),
            Left::Silent => return std::thread::sleep(HANGS),
        }
        let fault = self
            .state
            .lock()
            .unwrap()
            .fault
            .filter(|(until, _)| Instant::now() < *until);
        let fault = fault.map(|(_, fault)| fault);
        if fault == Some(CallFault::Unanswered) {
            return std::thread::sleep(HANGS);
        }
        let index = request.split("index=").nth(1).map(|rest| {
            let digits = rest.split(' ').next().unwrap_or_default();
            digits.parse().unwrap_or(0)
        });
        let lines = index.map_or(self.service.workers.count(), |index| {
            self.service.workers.changed_since(index)
        });
        let turn = match self.lists {
            Lists::Asked => self.service.take_turn(lines),
            // An agent beside the dispatcher serves nobody else.
            Lists::Pushed => self
                .service
                .is_up()
                .then_some(())
                .ok_or(Failure::Unavailable),
        };
        if let Err(failure) = turn {
            return refuse(peer, failure);
        }
        // It has given the call up: nothing can be told on it any more.
        if peer.closed() {
            return;
        }
        match (fault, index) {
            (Some(CallFault::HeadAndHeartbeats), _) => self.says_nothing(number, peer),
            (Some(CallFault::Trickles), _) => self.trickles(peer),
            (Some(CallFault::Outdated), _) => self.tells_outdated(number, peer, index.is_some()),
            (_, None) => {
                let (version, list) = self.service.workers.whole_list_at();
                peer.send(&format!("json {list}"));
                self.wrote(number, version);
            }
            (_, Some(index)) => self.watch(number, peer, index),
        }
    }

    /// A watch: what has changed since this version, then what changes.
    fn watch(&self, number: usize, mut peer: Peer, index: u64) {
        peer.send("200");
        self.follow(number, peer, index);
    }

    fn follow(&self, number: usize, mut peer: Peer, index: u64) {
        let (opened, mut spoke) = (Instant::now(), Instant::now());
        let (mut version, first) = self.service.workers.changes_since(index);
        peer.send(&format!("+ {first}"));
        self.wrote(number, version);
        let watch = {
            let mut state = self.state.lock().unwrap();
            state.watches.push(Watched {
                opened,
                silent: None,
                closed: None,
            });
            state.watches.len() - 1
        };
        let mut half = false;
        while self.stands(number) && !peer.closed() {
            std::thread::sleep(LOOK);
            let (loss, late) = {
                let state = self.state.lock().unwrap();
                let silent = (state.serves != number).then_some(WatchLoss::Silent);
                let silent = silent.filter(|_| state.left[number] == Left::Silent);
                let loss = state
                    .lost
                    .filter(|(at, _)| opened < *at)
                    .map(|(_, loss)| loss)
                    .or(silent);
                (
                    loss,
                    state.late_until.is_some_and(|until| Instant::now() < until),
                )
            };
            match loss {
                Some(WatchLoss::Reset) => {
                    self.closed(watch);
                    return peer.reset();
                }
                Some(WatchLoss::Ended) => break,
                Some(loss) => {
                    self.state.lock().unwrap().watches[watch]
                        .silent
                        .get_or_insert(Instant::now());
                    if loss == WatchLoss::HalfLine && !std::mem::replace(&mut half, true) {
                        peer.send("raw c\\r\\n{\"index\":123\\r\\n");
                    }
                    continue;
                }
                None => {}
            }
            if self.service.workers.version() > version && !late {
                let (now, changes) = self.service.workers.changes_since(version);
                peer.send(&format!("+ {changes}"));
                self.wrote(number, now);
                (version, spoke) = (now, Instant::now());
            } else if spoke.elapsed() >= HEARTBEAT {
                peer.send("raw 1\\r\\n\\n\\r\\n");
                spoke = Instant::now();
            }
        }
        self.closed(watch);
    }

    fn says_nothing(&self, number: usize, mut peer: Peer) {
        peer.send("200");
        while self.stands(number) && !peer.closed() {
            std::thread::sleep(HEARTBEAT);
            peer.send("raw 1\\r\\n\\n\\r\\n");
        }
    }

    fn trickles(&self, mut peer: Peer) {
        peer.send("200");
        let (_, first) = self.service.workers.changes_since(0);
        for byte in first.chars() {
            if peer.closed() {
                return;
            }
            peer.send(&format!("raw 1\\r\\n{byte}\\r\\n"));
            std::thread::sleep(LOOK * 20);
        }
    }

    /// A service that lags behind what it has told: its list is some versions old, and it catches
    /// up some time later.
    fn tells_outdated(&self, number: usize, mut peer: Peer, watched: bool) {
        let (version, list) = self.service.workers.list_before_last_change();
        if !watched {
            peer.send(&format!("json {list}"));
            return self.wrote(number, version);
        }
        peer.send("200");
        peer.send(&format!("+ {list}"));
        self.wrote(number, version);
        std::thread::sleep(match self.lists {
            Lists::Asked => LAGS,
            Lists::Pushed => LAGS_BESIDE,
        });
        // It has given the watch up meanwhile.
        if peer.closed() {
            return;
        }
        self.follow(number, peer, version);
    }

    fn closed(&self, watch: usize) {
        self.state.lock().unwrap().watches[watch].closed = Some(Instant::now());
    }

    /// What a call finds at this address.
    fn at(&self, number: usize) -> Left {
        let state = self.state.lock().unwrap();
        if state.serves == number {
            Left::Alive
        } else {
            state.left[number]
        }
    }

    /// Whether watches go on at this address, told or silent.
    fn stands(&self, number: usize) -> bool {
        self.service.is_up() && self.at(number) != Left::Dead
    }

    fn wrote(&self, number: usize, version: u64) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.written.push((now, version));
        for moved in state
            .moves
            .iter_mut()
            .filter(|moved| moved.address == number)
        {
            moved.heard.get_or_insert(now);
        }
    }

    /// Where it is.
    pub fn address(&self) -> String {
        self.addresses[self.state.lock().unwrap().serves].clone()
    }

    /// What stands now is lost.
    pub fn lose_watches(&self, loss: WatchLoss) {
        self.state.lock().unwrap().lost = Some((Instant::now(), loss));
    }

    /// Changes are told this much later on watches, which go on.
    pub fn tell_late(&self, time: Duration) {
        self.state.lock().unwrap().late_until = Some(Instant::now() + time);
    }

    /// Calls go wrong for this time.
    pub fn fail_calls(&self, fault: CallFault, time: Duration) {
        self.state.lock().unwrap().fault = Some((Instant::now() + time, fault));
    }

    /// It is at its next address from now on; this is at the old one.
    pub fn move_away(&self, left: Left) {
        let mut state = self.state.lock().unwrap();
        let old = state.serves;
        state.left[old] = left;
        state.serves = (old + 1) % ADDRESSES;
    }

    /// The dispatcher has been told of the last move.
    pub fn moved(&self) {
        let mut state = self.state.lock().unwrap();
        let address = state.serves;
        state.moves.push(Move {
            at: Instant::now(),
            address,
            heard: None,
        });
    }

    /// When a change counts as notified to a process that was started at this time: when it was
    /// written to it, so long after discovery had it and could be reached, or after a move that it
    /// has not heard from since.
    pub fn notified(
        &self,
        started: Instant,
        changed: Instant,
        version: u64,
        terms: &Terms,
    ) -> Option<Instant> {
        let reached = self.service.reachable_from(changed);
        let moved = reached.and_then(|at| self.after_move(started, at, terms));
        let counts = match (self.lists, moved) {
            (Lists::Asked, _) => reached.map(|at| at + terms.within),
            (Lists::Pushed, Some(_)) => moved,
            (Lists::Pushed, None) => reached.map(|at| self.counts_beside(at, terms)),
        };
        [counts, moved, self.written(started, version)]
            .into_iter()
            .flatten()
            .min()
    }

    /// When what an agent has since this time counts: at once, unless a watch stands that is
    /// silent.
    fn counts_beside(&self, at: Instant, terms: &Terms) -> Instant {
        match self.silence(at) {
            Some((silent, closed)) => (silent + terms.within)
                .max(at)
                .min(closed.unwrap_or(at + terms.within)),
            None => at,
        }
    }

    fn written(&self, started: Instant, version: u64) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        state
            .written
            .iter()
            .find(|(at, v)| *at >= started && *v >= version)
            .map(|(at, _)| *at)
    }

    /// When a change that discovery had at this time counts for a move in force then, or in the
    /// time after it.
    fn after_move(&self, started: Instant, reached: Instant, terms: &Terms) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let since = state
            .moves
            .iter()
            .enumerate()
            .filter(|(_, moved)| moved.at >= started);
        let counts = since.filter_map(|(n, moved)| {
            // Whatever was heard at a later address stands for this one as well.
            let heard = state.moves[n..]
                .iter()
                .filter_map(|later| later.heard)
                .min();
            // What is heard there after the change tells it, which counts by itself.
            let counts = (moved.at + terms.after_move).max(reached);
            heard.is_none_or(|heard| heard > reached).then_some(counts)
        });
        counts.min()
    }

    /// Since when the watch that stood at this time was silent, and when it was closed.
    fn silence(&self, at: Instant) -> Option<(Instant, Option<Instant>)> {
        let state = self.state.lock().unwrap();
        let stood = |w: &&Watched| w.opened <= at && w.closed.is_none_or(|closed| closed > at);
        let last = state.watches.iter().rfind(stood)?;
        last.silent.map(|silent| (silent, last.closed))
    }
}

/// Within what time news counts as notified.
pub struct Terms {
    /// After discovery had it and could be reached, or a watch fell silent.
    pub within: Duration,
    /// After a new configuration has moved discovery.
    pub after_move: Duration,
}

fn refuse(mut peer: Peer, failure: Failure) {
    match failure {
        Failure::Unavailable => {
            peer.send("raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n");
        }
        Failure::Reset => peer.reset(),
    }
}
