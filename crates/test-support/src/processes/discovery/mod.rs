//! The interface of discovery to one dispatcher: the shared service, or an agent beside the
//! dispatcher to which lists are pushed.
//!
//! The watches and calls of each dispatcher can fail separately, and discovery can move to another
//! address. `calls` serves the dispatcher; `notification` determines when the dispatcher counts as
//! notified of a change.

mod calls;
mod notification;

pub use notification::{ChangeToNotify, NotificationLimits};

use super::ListDelivery;
use super::service::DiscoveryService;
use crate::serve_each;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of addresses between which discovery moves.
const ADDRESSES: usize = 3;

/// How open watches are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// They send nothing more, but stay open.
    Silent,
    /// They send nothing more after a part of a line, but stay open.
    PartialLine,
    /// They are reset.
    Reset,
    /// They end.
    Ended,
}

/// How calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// There is no response.
    Unanswered,
    /// The response consists of its head and heartbeats, as on a watch without changes.
    HeadAndHeartbeats,
    /// The response is sent byte by byte.
    Trickles,
    /// The response is a list that lacks the last changes.
    Outdated,
}

/// The state of an address that discovery has moved away from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldAddress {
    /// It still serves calls and watches.
    Alive,
    /// Watches end, and calls fail.
    Dead,
    /// Watches send nothing more, and calls have no response.
    Silent,
}

/// A watch that was opened.
struct Watch {
    opened_at: Instant,
    /// The time since which it sends nothing, not even heartbeats.
    silent_since: Option<Instant>,
    closed_at: Option<Instant>,
}

/// A move to another address.
struct Move {
    at: Instant,
    /// The index of the new address.
    address: usize,
    /// When the dispatcher was first sent a list there.
    first_list_at: Option<Instant>,
}

/// A version of the list that was sent to the dispatcher.
struct SentVersion {
    at: Instant,
    version: u64,
}

struct WatchesLost {
    at: Instant,
    loss: WatchLoss,
}

struct CallsFail {
    until: Instant,
    fault: CallFault,
}

/// The interface of discovery to one dispatcher.
pub struct DiscoveryLink {
    service: Arc<DiscoveryService>,
    lists: ListDelivery,
    addresses: [String; ADDRESSES],
    state: Mutex<State>,
}

struct State {
    /// The index of the current address of discovery.
    current: usize,
    /// The state of each of the other addresses.
    old_addresses: [OldAddress; ADDRESSES],
    /// The last loss of watches. It applies to all watches that were open at that time.
    watches_lost: Option<WatchesLost>,
    /// No changes are sent on watches until this time.
    changes_delayed_until: Option<Instant>,
    calls_fail: Option<CallsFail>,
    sent_versions: Vec<SentVersion>,
    watches: Vec<Watch>,
    moves: Vec<Move>,
}

impl DiscoveryLink {
    /// Starts to serve a dispatcher, on behalf of the service or as its agent.
    pub fn start(service: Arc<DiscoveryService>, lists: ListDelivery) -> Arc<DiscoveryLink> {
        let listeners = [(); ADDRESSES].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = listeners
            .each_ref()
            .map(|listener| listener.local_addr().unwrap().to_string());
        let state = State {
            current: 0,
            old_addresses: [OldAddress::Dead; ADDRESSES],
            watches_lost: None,
            changes_delayed_until: None,
            calls_fail: None,
            sent_versions: vec![],
            watches: vec![],
            moves: vec![],
        };
        let link = Arc::new(DiscoveryLink {
            service,
            lists,
            addresses,
            state: Mutex::new(state),
        });
        for (address, listener) in listeners.into_iter().enumerate() {
            let link = link.clone();
            serve_each(listener, move |peer| link.serve_call(address, peer));
        }
        link
    }

    /// The current address of discovery.
    pub fn address(&self) -> String {
        self.addresses[self.state.lock().unwrap().current].clone()
    }

    /// Makes all open watches fail.
    pub fn lose_watches(&self, loss: WatchLoss) {
        let at = Instant::now();
        self.state.lock().unwrap().watches_lost = Some(WatchesLost { at, loss });
    }

    /// Delays changes on watches for this time. Heartbeats are still sent.
    pub fn delay_changes(&self, duration: Duration) {
        self.state.lock().unwrap().changes_delayed_until = Some(Instant::now() + duration);
    }

    /// Makes calls fail for this time.
    pub fn fail_calls(&self, fault: CallFault, duration: Duration) {
        let until = Instant::now() + duration;
        self.state.lock().unwrap().calls_fail = Some(CallsFail { until, fault });
    }

    /// Moves to the next address.
    pub fn move_to_next_address(&self, old_address: OldAddress) {
        let mut state = self.state.lock().unwrap();
        let old = state.current;
        state.old_addresses[old] = old_address;
        state.current = (old + 1) % ADDRESSES;
    }

    /// Records that the dispatcher was notified of the last move.
    pub fn record_move(&self) {
        let mut state = self.state.lock().unwrap();
        let address = state.current;
        state.moves.push(Move {
            at: Instant::now(),
            address,
            first_list_at: None,
        });
    }
}
