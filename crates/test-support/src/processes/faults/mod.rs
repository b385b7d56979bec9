//! Random, overlapping faults: a schedule that is drawn from a seed, and the injection of each
//! fault.

mod function_faults;
mod identity_faults;
mod injection;
mod schedule;

pub use injection::inject;
pub use schedule::{RunOutline, draw_schedule};

use super::crowds::Conduct;
use super::discovery::{CallFault, OldAddress, WatchLoss};
use super::endpoints::Behavior;
use super::gearman_peers::{ClientConduct, WorkerOptions};
use super::identities::Stranger;
use super::jobs::Cost;
use super::service::Failure;
use std::time::Duration;

/// A fault. It affects each dispatcher or endpoint whose index is a multiple of `one_in`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Dispatchers are killed, and started again after the downtime.
    Kill { one_in: usize, downtime: Duration },
    /// A dispatcher is asked to stop by SIGTERM, killed if it still runs at the earliest time at
    /// which it may be killed, and started again. Optionally it receives SIGHUP before, and a
    /// second SIGTERM.
    Restart {
        dispatcher: usize,
        sighup: bool,
        second_sigterm: bool,
    },
    /// A dispatcher is suspended.
    Suspend {
        dispatcher: usize,
        duration: Duration,
    },
    /// The discovery service is down. Calls fail after a delay.
    DiscoveryDown {
        duration: Duration,
        failure: Failure,
        failure_delay: Duration,
    },
    /// The discovery service needs more time for each call, and calls that wait too long fail.
    DiscoveryOverloaded {
        call_cost: Duration,
        failure: Failure,
        duration: Duration,
    },
    /// The watches of some dispatchers are lost.
    WatchesLost { one_in: usize, loss: WatchLoss },
    /// Changes are delayed on the watches of some dispatchers, which still send heartbeats.
    ChangesDelayed { one_in: usize, delay: Duration },
    /// Calls of some dispatchers fail.
    CallsFail {
        one_in: usize,
        fault: CallFault,
        duration: Duration,
    },
    /// New configurations move the discovery of some dispatchers, several times in a row.
    DiscoveryMoved {
        one_in: usize,
        times: u32,
        old_address: OldAddress,
    },
    /// Endpoints are draining or gone, and ready again after a time.
    EndpointsLeaving {
        one_in: usize,
        gone: bool,
        return_after: Duration,
    },
    /// An endpoint hangs, resets connections, responds twice or at length.
    EndpointMisbehaves {
        endpoint: usize,
        behavior: Behavior,
        duration: Duration,
    },
    /// Idle connections exhaust the sockets of a dispatcher.
    SocketsExhausted {
        dispatcher: usize,
        duration: Duration,
    },
    /// All clients disconnect right after each request.
    DisconnectBurst { duration: Duration },
    /// A crowd of troublesome clients connects to a dispatcher.
    ClientCrowd {
        dispatcher: usize,
        conduct: Conduct,
        connections: usize,
        duration: Duration,
    },
    /// Clients leave a dispatcher right after their requests, and come again after a time.
    ReturningClients {
        dispatcher: usize,
        count: usize,
        away: Duration,
    },
    /// Strangers send the ids of open requests of others.
    StrangerIds {
        dispatcher: usize,
        stranger: Stranger,
        count: usize,
    },
    /// A client sends one request again and again, from when it is turned away.
    RepeatedRequest {
        dispatcher: usize,
        pause: Duration,
        duration: Duration,
    },
    /// Clients send jobs with idempotency keys, over HTTP and over Gearman in turn.
    KeyedJobs { dispatcher: usize, count: usize },
    /// Gearman workers connect to a dispatcher.
    GearmanWorkers {
        dispatcher: usize,
        options: WorkerOptions,
        count: usize,
        duration: Duration,
    },
    /// Gearman clients connect to a dispatcher.
    GearmanClients {
        dispatcher: usize,
        conduct: ClientConduct,
        cost: Cost,
        count: usize,
        duration: Duration,
    },
    /// Gearman clients submit jobs of several functions of one class under one unique id.
    FunctionClients {
        dispatcher: usize,
        count: usize,
        duration: Duration,
    },
    /// A dispatcher is suspended and resumed in turn, so that it runs for a quarter of the time.
    Throttle {
        dispatcher: usize,
        duration: Duration,
    },
}

/// Faults, each with the time from the start of the run at which it begins.
pub type Schedule = Vec<(Duration, Fault)>;
