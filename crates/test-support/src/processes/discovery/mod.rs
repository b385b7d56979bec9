//! Discovery as one dispatcher sees it: the shared service, or an agent beside the dispatcher that
//! is pushed its list.
//!
//! The watches and calls of each dispatcher can fail in ways of their own, and discovery can move
//! to another address. `calls` serves the dispatcher; `notification` works out when a change
//! counts as notified to it.

mod calls;
mod notification;

pub use notification::{ChangeToNotify, NotificationLimits};

use super::ListDelivery;
use super::service::DiscoveryService;
use crate::serve_each;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How many addresses discovery can be at, one after the other.
const ADDRESSES: usize = 3;

/// What happens to the open watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// They send nothing any more.
    Silent,
    /// The same, after half a line.
    HalfLine,
    /// They are reset.
    Reset,
    /// They end.
    Ended,
}

/// What happens to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// They have no response.
    Unanswered,
    /// The head of the response comes, then heartbeats as on a watch without changes.
    HeadAndHeartbeats,
    /// The response comes byte by byte.
    Trickles,
    /// The response is the whole list as it was before the last changes.
    Outdated,
}

/// What is at an address that discovery has moved away from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldAddress {
    /// Discovery, as before.
    Alive,
    /// Nothing: watches end and calls fail.
    Dead,
    /// Watches send nothing any more, and calls have no response.
    Silent,
}

/// A watch that was opened.
struct Watch {
    opened_at: Instant,
    /// Since when it sends nothing, not even heartbeats.
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

/// Discovery of one dispatcher.
pub struct DiscoveryLink {
    service: Arc<DiscoveryService>,
    lists: ListDelivery,
    addresses: [String; ADDRESSES],
    state: Mutex<State>,
}

struct State {
    /// The index of the address that discovery is at.
    current: usize,
    /// What is at each of the other addresses.
    old_addresses: [OldAddress; ADDRESSES],
    /// What happened to the watches that had been opened by then.
    watches_lost: Option<WatchesLost>,
    /// No changes are sent on watches until then.
    late_until: Option<Instant>,
    calls_fail: Option<CallsFail>,
    sent_versions: Vec<SentVersion>,
    watches: Vec<Watch>,
    moves: Vec<Move>,
}

impl DiscoveryLink {
    /// Starts the service for a dispatcher, or its agent.
    pub fn start(service: Arc<DiscoveryService>, lists: ListDelivery) -> Arc<DiscoveryLink> {
        let listeners = [(); ADDRESSES].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = listeners
            .each_ref()
            .map(|listener| listener.local_addr().unwrap().to_string());
        let state = State {
            current: 0,
            old_addresses: [OldAddress::Dead; ADDRESSES],
            watches_lost: None,
            late_until: None,
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

    /// Where it is.
    pub fn address(&self) -> String {
        self.addresses[self.state.lock().unwrap().current].clone()
    }

    /// The watches that are open now are lost.
    pub fn lose_watches(&self, loss: WatchLoss) {
        let at = Instant::now();
        self.state.lock().unwrap().watches_lost = Some(WatchesLost { at, loss });
    }

    /// Watches send no changes for this time, but go on.
    pub fn delay_changes(&self, time: Duration) {
        self.state.lock().unwrap().late_until = Some(Instant::now() + time);
    }

    /// Calls fail for this time.
    pub fn fail_calls(&self, fault: CallFault, time: Duration) {
        let until = Instant::now() + time;
        self.state.lock().unwrap().calls_fail = Some(CallsFail { until, fault });
    }

    /// Moves to the next address.
    pub fn move_away(&self, old_address: OldAddress) {
        let mut state = self.state.lock().unwrap();
        let old = state.current;
        state.old_addresses[old] = old_address;
        state.current = (old + 1) % ADDRESSES;
    }

    /// Notes that the dispatcher was notified of the last move.
    pub fn note_move(&self) {
        let mut state = self.state.lock().unwrap();
        let address = state.current;
        state.moves.push(Move {
            at: Instant::now(),
            address,
            first_list_at: None,
        });
    }
}
