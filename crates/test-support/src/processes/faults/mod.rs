//! Random, overlapping faults: a schedule that is drawn from a seed, and how each fault is played.

mod drawing;
mod playing;

pub use drawing::draw;
pub use playing::play;

use super::discovery::{CallFault, OldAddress, WatchLoss};
use super::endpoints::Behavior;
use super::service::Failure;
use std::time::Duration;

/// A fault. `one_in` names the dispatchers or endpoints whose index it divides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Dispatchers are killed, and started again after this time.
    Kill { one_in: usize, down: Duration },
    /// A dispatcher is asked to stop, killed at the earliest time at which it may be, and started
    /// again. It gets SIGHUP before, and SIGTERM once more, where so drawn.
    Restart {
        dispatcher: usize,
        hangup: bool,
        twice: bool,
    },
    /// A dispatcher is suspended for this time.
    Suspend { dispatcher: usize, time: Duration },
    /// The discovery service is down for this time; calls fail in this way after this time.
    DiscoveryDown {
        time: Duration,
        failure: Failure,
        after: Duration,
    },
    /// Each call costs the discovery service so much for this time; what waits too long fails in
    /// this way.
    DiscoveryCrowded {
        call: Duration,
        failure: Failure,
        time: Duration,
    },
    /// The watches of some dispatchers are lost.
    WatchesLost { one_in: usize, loss: WatchLoss },
    /// Changes come so late on the watches of some dispatchers, which go on.
    ChangesLate { one_in: usize, late: Duration },
    /// Calls of some dispatchers fail for this time.
    CallsFail {
        one_in: usize,
        fault: CallFault,
        time: Duration,
    },
    /// New configurations move the discovery of some dispatchers, so many in a row.
    Move {
        one_in: usize,
        times: u32,
        old_address: OldAddress,
    },
    /// Endpoints drain or are gone, and come back after this time.
    EndpointsLeaving {
        one_in: usize,
        gone: bool,
        back: Duration,
    },
    /// An endpoint hangs or resets connections for this time.
    Misbehave {
        endpoint: usize,
        behavior: Behavior,
        time: Duration,
    },
    /// Idle connections fill the sockets of a dispatcher for this time.
    Crowd { dispatcher: usize, time: Duration },
    /// All clients disconnect right after each request for this time.
    DisconnectBurst { time: Duration },
}

/// When each fault begins.
pub type Schedule = Vec<(Duration, Fault)>;
