//! Draws a schedule of faults from a seed.

use super::{Fault, Schedule, function_faults, identity_faults};
use crate::processes::crowds::Conduct;
use crate::processes::discovery::{CallFault, OldAddress, WatchLoss};
use crate::processes::endpoints::Behavior;
use crate::processes::lengthy::LengthyResponse;
use crate::processes::service::Failure;
use crate::processes::{Conditions, ListDelivery};
use fastrand::Rng;
use std::time::Duration;

/// The earliest time at which a fault begins.
pub(super) const FIRST_FAULT_MS: u64 = 500;
/// A schedule has this many faults, and one more for every `SECONDS_PER_FAULT` seconds.
const MIN_FAULTS: u64 = 5;
const SECONDS_PER_FAULT: u64 = 3;
/// A crowd has at most one connection for each so many sockets of the dispatcher: two crowds at once
/// leave connections for sound clients.
pub(super) const SOCKETS_PER_CROWD_CONNECTION: usize = 6;
/// Fewer clients than this send without pause.
const MAX_FLOODING: usize = 4;
/// How many times lost watches, an overloaded discovery service and leaving endpoints are combined.
const COMBINATIONS: u32 = 2;

pub(super) fn millis(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn draw_failure(rng: &mut Rng) -> Failure {
    *rng.choice(&[Failure::Unavailable, Failure::Reset]).unwrap()
}

fn draw_endpoints_leaving(rng: &mut Rng) -> Fault {
    Fault::EndpointsLeaving {
        one_in: rng.usize(2..4),
        gone: rng.bool(),
        return_after: millis(rng, 600, 14_000),
    }
}

fn draw_watches_lost(rng: &mut Rng) -> Fault {
    let losses = [
        WatchLoss::Silent,
        WatchLoss::PartialLine,
        WatchLoss::Reset,
        WatchLoss::Ended,
    ];
    Fault::WatchesLost {
        one_in: rng.usize(1..4),
        loss: *rng.choice(&losses).unwrap(),
    }
}

fn draw_discovery_overloaded(rng: &mut Rng) -> Fault {
    Fault::DiscoveryOverloaded {
        call_cost: millis(rng, 100, 1_500),
        failure: draw_failure(rng),
        duration: millis(rng, 3_000, 14_000),
    }
}

fn draw_discovery_down(rng: &mut Rng) -> Fault {
    let is_long = rng.u32(..4) == 0;
    let duration = if is_long {
        millis(rng, 9_000, 22_000)
    } else {
        millis(rng, 500, 9_000)
    };
    let failure_delay = if rng.bool() {
        Duration::ZERO
    } else {
        Duration::from_secs(2)
    };
    Fault::DiscoveryDown {
        duration,
        failure: draw_failure(rng),
        failure_delay,
    }
}

fn draw_calls_fail(rng: &mut Rng) -> Fault {
    let faults = [
        CallFault::Unanswered,
        CallFault::HeadAndHeartbeats,
        CallFault::Trickles,
        CallFault::Outdated,
    ];
    let fault = *rng.choice(&faults).unwrap();
    Fault::CallsFail {
        one_in: rng.usize(1..3),
        fault,
        duration: millis(rng, 2_000, 10_000),
    }
}

fn draw_discovery_moved(rng: &mut Rng) -> Fault {
    let old_addresses = [OldAddress::Alive, OldAddress::Dead, OldAddress::Silent];
    Fault::DiscoveryMoved {
        one_in: rng.usize(1..4),
        times: rng.u32(1..4),
        old_address: *rng.choice(&old_addresses).unwrap(),
    }
}

fn draw_endpoint_misbehaves(rng: &mut Rng, endpoints: usize) -> Fault {
    let endpoint = rng.usize(..endpoints);
    let lengthy = *rng.choice(LengthyResponse::ALL).unwrap();
    let behaviors = [
        Behavior::Resets,
        Behavior::Hangs,
        Behavior::RespondsTwice,
        Behavior::RespondsAtLength(lengthy),
    ];
    let behavior = *rng.choice(&behaviors).unwrap();
    Fault::EndpointMisbehaves {
        endpoint,
        behavior,
        duration: millis(rng, 500, 4_000),
    }
}

fn draw_client_crowd(rng: &mut Rng, dispatcher: usize, sockets: usize) -> Fault {
    let conduct = *rng.choice(Conduct::ALL).unwrap();
    let connections = if conduct.is_flood() {
        rng.usize(1..MAX_FLOODING)
    } else {
        rng.usize(1..sockets / SOCKETS_PER_CROWD_CONNECTION)
    };
    Fault::ClientCrowd {
        dispatcher,
        conduct,
        connections,
        duration: millis(rng, 500, 6_000),
    }
}

fn draw_fault(rng: &mut Rng, run: &RunOutline) -> Fault {
    let lists = run.conditions.lists;
    let dispatcher = rng.usize(..run.dispatchers);
    match rng.u32(..24) {
        0 => Fault::Kill {
            one_in: rng.usize(2..5),
            downtime: millis(rng, 100, 9_000),
        },
        1 | 2 => Fault::Restart {
            dispatcher,
            sighup: rng.bool(),
            second_sigterm: rng.bool(),
        },
        3 => Fault::Suspend {
            dispatcher,
            duration: millis(rng, 50, 150),
        },
        4 | 5 => draw_discovery_down(rng),
        6 | 7 => draw_discovery_overloaded(rng),
        8 | 9 => draw_watches_lost(rng),
        // Not with agents: a dispatcher counts as notified at once of the list that its agent has,
        // so changes on its watch must not be delayed.
        10 if lists == ListDelivery::Polled => Fault::ChangesDelayed {
            one_in: rng.usize(1..3),
            delay: millis(rng, 500, 5_500),
        },
        10 | 11 => draw_calls_fail(rng),
        12 => draw_discovery_moved(rng),
        13 | 14 => draw_endpoints_leaving(rng),
        15 => draw_endpoint_misbehaves(rng, run.endpoints),
        16 => Fault::SocketsExhausted {
            dispatcher,
            duration: millis(rng, 1_000, 6_000),
        },
        17 => Fault::DisconnectBurst {
            duration: millis(rng, 200, 1_500),
        },
        18..=20 => draw_client_crowd(rng, dispatcher, run.conditions.sockets),
        21 => Fault::ReturningClients {
            dispatcher,
            count: rng.usize(20..200),
            away: millis(rng, 0, 2_000),
        },
        22 => Fault::Throttle {
            dispatcher,
            duration: millis(rng, 500, 4_000),
        },
        _ => draw_endpoint_misbehaves(rng, run.endpoints),
    }
}

/// A run, as far as its faults depend on it.
#[derive(Clone, Copy, Debug)]
pub struct RunOutline {
    /// Its length.
    pub length: Duration,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// Its parameters.
    pub conditions: Conditions,
}

/// Draws the schedule of a run.
pub fn draw_schedule(seed: u64, run: &RunOutline) -> Schedule {
    let mut rng = Rng::with_seed(seed);
    let rng = &mut rng;
    let latest_ms = run.length.as_millis() as u64 * 3 / 4;
    let mut schedule = Schedule::new();
    for _ in 0..MIN_FAULTS + run.length.as_secs() / SECONDS_PER_FAULT {
        let begins_at = millis(rng, FIRST_FAULT_MS, latest_ms);
        schedule.push((begins_at, draw_fault(rng, run)));
    }
    // Endpoints that leave while dispatchers are not notified of it. These faults seldom coincide
    // if each is drawn separately.
    for _ in 0..COMBINATIONS {
        let begins_at = millis(rng, FIRST_FAULT_MS, latest_ms * 2 / 3);
        schedule.push((begins_at, draw_watches_lost(rng)));
        schedule.push((begins_at, draw_discovery_overloaded(rng)));
        schedule.push((
            begins_at + millis(rng, 0, 3_000),
            draw_endpoints_leaving(rng),
        ));
    }
    schedule.extend(identity_faults::draw(seed, run));
    schedule.extend(function_faults::draw(seed, run));
    schedule.sort_by_key(|(begins_at, _)| *begins_at);
    schedule
}
