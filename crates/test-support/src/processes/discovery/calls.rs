//! Serves the calls and watches of a dispatcher, subject to the current faults.

use super::{CallFault, DiscoveryLink, OldAddress, SentVersion, State, Watch, WatchLoss};
use crate::Peer;
use crate::processes::ListDelivery;
use crate::processes::endpoints::ListMessage;
use crate::processes::service::Failure;
use std::time::{Duration, Instant};

/// A watch without changes sends a heartbeat this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How often a watch polls for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);
/// The time between two bytes of a response that is sent byte by byte.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which an outdated service catches up. For an agent it is shorter, and it lacks only
/// changes that are as recent: the dispatcher counts as notified at once of the list that its agent
/// has, and could not know that an older one is meant.
const SERVICE_LAG: Duration = Duration::from_millis(1_500);
const AGENT_LAG: Duration = Duration::from_millis(200);
/// How long a call without a response stays open.
const HANG_DURATION: Duration = Duration::from_secs(8);

/// Chunks of the response to a watch.
const HEARTBEAT_CHUNK: &str = "raw 1\\r\\n\\n\\r\\n";
const PARTIAL_LINE_CHUNK: &str = "raw c\\r\\n{\"index\":123\\r\\n";

/// A watch in progress.
struct WatchStream {
    address: usize,
    peer: Peer,
    opened_at: Instant,
    /// Its index among all watches.
    index: usize,
    /// The version that was sent last.
    version: u64,
    last_sent_at: Instant,
    partial_line_sent: bool,
}

impl State {
    fn call_fault(&self) -> Option<CallFault> {
        let calls_fail = self.calls_fail.as_ref();
        calls_fail
            .filter(|fault| Instant::now() < fault.until)
            .map(|fault| fault.fault)
    }

    /// The state of an address.
    fn address_state(&self, address: usize) -> OldAddress {
        if self.current == address {
            OldAddress::Alive
        } else {
            self.old_addresses[address]
        }
    }

    fn watch_loss(&self, stream: &WatchStream) -> Option<WatchLoss> {
        let lost = self.watches_lost.as_ref();
        let lost = lost.filter(|lost| stream.opened_at < lost.at);
        let is_silent = self.address_state(stream.address) == OldAddress::Silent;
        lost.map(|lost| lost.loss)
            .or(is_silent.then_some(WatchLoss::Silent))
    }

    fn changes_are_delayed(&self) -> bool {
        self.changes_delayed_until
            .is_some_and(|until| Instant::now() < until)
    }
}

impl DiscoveryLink {
    pub(super) fn serve_call(&self, address: usize, mut peer: Peer) {
        let Ok(request) = peer.read_message() else {
            return;
        };
        match self.address_state(address) {
            OldAddress::Alive => {}
            OldAddress::Dead => return refuse(peer, Failure::Unavailable),
            OldAddress::Silent => return std::thread::sleep(HANG_DURATION),
        }
        let fault = self.state.lock().unwrap().call_fault();
        if fault == Some(CallFault::Unanswered) {
            return std::thread::sleep(HANG_DURATION);
        }
        let watch_from = watch_from(&request);
        if let Err(failure) = self.wait_for_turn(watch_from) {
            return refuse(peer, failure);
        }
        // The dispatcher may have given up the call, and would not read a response.
        if peer.is_closed() {
            return;
        }
        match (fault, watch_from) {
            (Some(CallFault::HeadAndHeartbeats), _) => self.send_heartbeats(address, peer),
            (Some(CallFault::Trickles), _) => self.trickle(peer),
            (Some(CallFault::Outdated), None) => {
                self.send_snapshot(address, &mut peer, self.outdated_snapshot());
            }
            (Some(CallFault::Outdated), Some(_)) => self.watch_outdated(address, peer),
            (_, None) => {
                self.send_snapshot(address, &mut peer, self.service.endpoints.snapshot());
            }
            (_, Some(version)) => {
                peer.send("200");
                self.watch(address, peer, version);
            }
        }
    }

    fn outdated_snapshot(&self) -> ListMessage {
        let lag = match self.lists {
            ListDelivery::Polled => None,
            ListDelivery::Pushed => Some(AGENT_LAG),
        };
        self.service.endpoints.outdated_snapshot(lag)
    }

    fn wait_for_turn(&self, watch_from: Option<u64>) -> Result<(), Failure> {
        let endpoints = &self.service.endpoints;
        let lines = match watch_from {
            Some(version) => endpoints.changed_since(version),
            None => endpoints.count(),
        };
        match self.lists {
            ListDelivery::Polled => self.service.wait_for_turn(lines),
            // An agent serves no other dispatcher.
            ListDelivery::Pushed if self.service.is_up() => Ok(()),
            ListDelivery::Pushed => Err(Failure::Unavailable),
        }
    }

    fn send_snapshot(&self, address: usize, peer: &mut Peer, list: ListMessage) {
        peer.send(&format!("json {}", list.text));
        self.record_sent(address, list.version);
    }

    /// Sends a line on a watch whose response head was sent.
    fn send_line(&self, address: usize, peer: &mut Peer, list: &ListMessage) {
        peer.send(&format!("+ {}", list.text));
        self.record_sent(address, list.version);
    }

    /// Serves a watch: sends the changes since this version, and then each new change.
    fn watch(&self, address: usize, mut peer: Peer, from: u64) {
        let opened_at = Instant::now();
        let first = self.service.endpoints.delta_since(from);
        self.send_line(address, &mut peer, &first);
        let mut stream = WatchStream {
            address,
            peer,
            opened_at,
            index: self.record_opened(opened_at),
            version: first.version,
            last_sent_at: opened_at,
            partial_line_sent: false,
        };
        while self.is_served(address) && !stream.peer.is_closed() {
            std::thread::sleep(WATCH_POLL);
            let (loss, changes_are_delayed) = {
                let state = self.state.lock().unwrap();
                (state.watch_loss(&stream), state.changes_are_delayed())
            };
            match loss {
                Some(WatchLoss::Reset) => {
                    self.record_closed(stream.index);
                    return stream.peer.reset();
                }
                Some(WatchLoss::Ended) => break,
                Some(WatchLoss::PartialLine) => self.silence(&mut stream, true),
                Some(WatchLoss::Silent) => self.silence(&mut stream, false),
                None => self.send_changes(&mut stream, changes_are_delayed),
            }
        }
        self.record_closed(stream.index);
    }

    fn silence(&self, stream: &mut WatchStream, after_partial_line: bool) {
        self.state.lock().unwrap().watches[stream.index]
            .silent_since
            .get_or_insert(Instant::now());
        if after_partial_line && !std::mem::replace(&mut stream.partial_line_sent, true) {
            stream.peer.send(PARTIAL_LINE_CHUNK);
        }
    }

    /// Sends new changes, unless they are delayed, or else a heartbeat if one is due.
    fn send_changes(&self, stream: &mut WatchStream, changes_are_delayed: bool) {
        let endpoints = &self.service.endpoints;
        if endpoints.version() > stream.version && !changes_are_delayed {
            let changes = endpoints.delta_since(stream.version);
            self.send_line(stream.address, &mut stream.peer, &changes);
            stream.version = changes.version;
            stream.last_sent_at = Instant::now();
        } else if stream.last_sent_at.elapsed() >= HEARTBEAT_INTERVAL {
            stream.peer.send(HEARTBEAT_CHUNK);
            stream.last_sent_at = Instant::now();
        }
    }

    fn send_heartbeats(&self, address: usize, mut peer: Peer) {
        peer.send("200");
        while self.is_served(address) && !peer.is_closed() {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            peer.send(HEARTBEAT_CHUNK);
        }
    }

    fn trickle(&self, mut peer: Peer) {
        peer.send("200");
        let first = self.service.endpoints.delta_since(0);
        for character in first.text.chars() {
            if peer.is_closed() {
                return;
            }
            peer.send(&format!("raw 1\\r\\n{character}\\r\\n"));
            std::thread::sleep(TRICKLE_INTERVAL);
        }
    }

    /// Serves a watch whose first list is older than the list that was sent before: it lacks the
    /// last changes, which are sent some time later.
    fn watch_outdated(&self, address: usize, mut peer: Peer) {
        let list = self.outdated_snapshot();
        peer.send("200");
        self.send_line(address, &mut peer, &list);
        std::thread::sleep(match self.lists {
            ListDelivery::Polled => SERVICE_LAG,
            ListDelivery::Pushed => AGENT_LAG,
        });
        // The dispatcher may have given up the watch meanwhile.
        if peer.is_closed() {
            return;
        }
        self.watch(address, peer, list.version);
    }

    fn address_state(&self, address: usize) -> OldAddress {
        self.state.lock().unwrap().address_state(address)
    }

    /// Whether watches at an address stay open, even if they are silent.
    fn is_served(&self, address: usize) -> bool {
        self.service.is_up() && self.address_state(address) != OldAddress::Dead
    }

    /// Records a new watch. Returns its index.
    fn record_opened(&self, opened_at: Instant) -> usize {
        let mut state = self.state.lock().unwrap();
        state.watches.push(Watch {
            opened_at,
            silent_since: None,
            closed_at: None,
        });
        state.watches.len() - 1
    }

    fn record_closed(&self, watch: usize) {
        self.state.lock().unwrap().watches[watch].closed_at = Some(Instant::now());
    }

    fn record_sent(&self, address: usize, version: u64) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.sent_versions.push(SentVersion { at: now, version });
        let moves = state.moves.iter_mut();
        for moved in moves.filter(|moved| moved.address == address) {
            moved.first_list_at.get_or_insert(now);
        }
    }
}

/// The version from which a request watches changes; none if it requests the whole list.
fn watch_from(request: &str) -> Option<u64> {
    let rest = request.split("index=").nth(1)?;
    let digits = rest.split(' ').next().unwrap_or_default();
    Some(digits.parse().unwrap_or(0))
}

fn refuse(mut peer: Peer, failure: Failure) {
    match failure {
        Failure::Unavailable => {
            peer.send("raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n");
        }
        Failure::Reset => peer.reset(),
    }
}
