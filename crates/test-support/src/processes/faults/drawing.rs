//! Draws a schedule of faults from a seed.

use super::{Fault, Schedule};
use crate::processes::ListDelivery;
use crate::processes::discovery::{CallFault, OldAddress, WatchLoss};
use crate::processes::endpoints::Behavior;
use crate::processes::service::Failure;
use fastrand::Rng;
use std::time::Duration;

/// Faults begin no earlier than this.
const FIRST_FAULT_MS: u64 = 500;
/// There are so many faults, and one more for each of so many seconds.
const MIN_FAULTS: u64 = 5;
const SECONDS_PER_FAULT: u64 = 3;
/// How often lost watches, an overloaded service and endpoints that leave come together.
const COMBINATIONS: u32 = 2;

fn millis(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn failure(rng: &mut Rng) -> Failure {
    *rng.choice(&[Failure::Unavailable, Failure::Reset]).unwrap()
}

fn draw_leave(rng: &mut Rng) -> Fault {
    Fault::EndpointsLeaving {
        one_in: rng.usize(2..4),
        gone: rng.bool(),
        back: millis(rng, 600, 14_000),
    }
}

fn draw_watches_lost(rng: &mut Rng) -> Fault {
    let losses = [
        WatchLoss::Silent,
        WatchLoss::HalfLine,
        WatchLoss::Reset,
        WatchLoss::Ended,
    ];
    Fault::WatchesLost {
        one_in: rng.usize(1..4),
        loss: *rng.choice(&losses).unwrap(),
    }
}

fn draw_discovery_crowded(rng: &mut Rng) -> Fault {
    Fault::DiscoveryCrowded {
        call: millis(rng, 100, 1_500),
        failure: failure(rng),
        time: millis(rng, 3_000, 14_000),
    }
}

fn draw_discovery_down(rng: &mut Rng) -> Fault {
    let is_long = rng.u32(..4) == 0;
    let time = if is_long {
        millis(rng, 9_000, 22_000)
    } else {
        millis(rng, 500, 9_000)
    };
    let after = if rng.bool() {
        Duration::ZERO
    } else {
        Duration::from_secs(2)
    };
    Fault::DiscoveryDown {
        time,
        failure: failure(rng),
        after,
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
        time: millis(rng, 2_000, 10_000),
    }
}

fn draw_move(rng: &mut Rng) -> Fault {
    let old_addresses = [OldAddress::Alive, OldAddress::Dead, OldAddress::Silent];
    Fault::Move {
        one_in: rng.usize(1..4),
        times: rng.u32(1..4),
        old_address: *rng.choice(&old_addresses).unwrap(),
    }
}

fn draw_misbehave(rng: &mut Rng, endpoints: usize) -> Fault {
    let endpoint = rng.usize(..endpoints);
    let behavior = if rng.bool() {
        Behavior::Resets
    } else {
        Behavior::Hangs
    };
    Fault::Misbehave {
        endpoint,
        behavior,
        time: millis(rng, 500, 4_000),
    }
}

fn draw_fault(rng: &mut Rng, dispatchers: usize, endpoints: usize, lists: ListDelivery) -> Fault {
    let dispatcher = rng.usize(..dispatchers);
    match rng.u32(..18) {
        0 => Fault::Kill {
            one_in: rng.usize(2..5),
            down: millis(rng, 100, 9_000),
        },
        1 | 2 => Fault::Restart {
            dispatcher,
            hangup: rng.bool(),
            twice: rng.bool(),
        },
        3 => Fault::Suspend {
            dispatcher,
            time: millis(rng, 50, 150),
        },
        4 | 5 => draw_discovery_down(rng),
        6 | 7 => draw_discovery_crowded(rng),
        8 | 9 => draw_watches_lost(rng),
        // An agent counts for what it has; late is what it does not have.
        10 if lists == ListDelivery::Polled => Fault::ChangesLate {
            one_in: rng.usize(1..3),
            late: millis(rng, 500, 5_500),
        },
        10 | 11 => draw_calls_fail(rng),
        12 => draw_move(rng),
        13 | 14 => draw_leave(rng),
        15 => draw_misbehave(rng, endpoints),
        16 => Fault::Crowd {
            dispatcher,
            time: millis(rng, 1_000, 6_000),
        },
        _ => Fault::DisconnectBurst {
            time: millis(rng, 200, 1_500),
        },
    }
}

/// Draws a schedule for a play of this length.
pub fn draw(
    seed: u64,
    length: Duration,
    dispatchers: usize,
    endpoints: usize,
    lists: ListDelivery,
) -> Schedule {
    let mut rng = Rng::with_seed(seed);
    let rng = &mut rng;
    let latest_ms = length.as_millis() as u64 * 3 / 4;
    let mut schedule = Schedule::new();
    for _ in 0..MIN_FAULTS + length.as_secs() / SECONDS_PER_FAULT {
        let begins = millis(rng, FIRST_FAULT_MS, latest_ms);
        schedule.push((begins, draw_fault(rng, dispatchers, endpoints, lists)));
    }
    // Endpoints that leave while nothing says so: drawn alone, these faults seldom meet.
    for _ in 0..COMBINATIONS {
        let begins = millis(rng, FIRST_FAULT_MS, latest_ms * 2 / 3);
        schedule.push((begins, draw_watches_lost(rng)));
        schedule.push((begins, draw_discovery_crowded(rng)));
        schedule.push((begins + millis(rng, 0, 3_000), draw_leave(rng)));
    }
    schedule.sort_by_key(|(begins, _)| *begins);
    schedule
}
