//! Draws faults of ids, keys and Gearman peers, some of each in every run.
//!
//! They have random numbers of their own, so that the other faults of a seed stay what they were.

use super::schedule::{FIRST_FAULT_MS, RunOutline, SOCKETS_PER_CROWD_CONNECTION, millis};
use super::{Fault, Schedule};
use crate::processes::crowds::Conduct;
use crate::processes::endpoints::Behavior;
use crate::processes::gearman_peers::{ClientConduct, WorkerConduct, WorkerOptions};
use crate::processes::identities::Stranger;
use crate::processes::jobs::Cost;
use crate::processes::lengthy::LengthyResponse;
use fastrand::Rng;

/// Changes the seed of a run for these faults.
const SEED_MASK: u64 = 0x1d_e171;
/// How many dispatchers have some of each kind.
const AFFECTED_DISPATCHERS: u32 = 2;
/// How many endpoints send unfinished responses while memory is short.
const LENGTHY_ENDPOINTS: usize = 3;

/// Draws these faults of a run.
pub(super) fn draw(seed: u64, run: &RunOutline) -> Schedule {
    let mut rng = Rng::with_seed(seed ^ SEED_MASK);
    let rng = &mut rng;
    let latest_ms = run.length.as_millis() as u64 / 2;
    let mut schedule = Schedule::new();
    for _ in 0..AFFECTED_DISPATCHERS {
        let dispatcher = rng.usize(..run.dispatchers);
        let mut faults = draw_repeats(rng, dispatcher);
        if run.conditions.gearman {
            faults.extend(draw_gearman_faults(rng, dispatcher));
        }
        for fault in faults {
            schedule.push((millis(rng, FIRST_FAULT_MS, latest_ms), fault));
        }
    }
    if run.conditions.gearman {
        let begins_at = millis(rng, FIRST_FAULT_MS, latest_ms);
        let faults = draw_short_memory(rng, run);
        schedule.extend(faults.into_iter().map(|fault| (begins_at, fault)));
    }
    schedule
}

/// Requests under ids that other requests have or had.
fn draw_repeats(rng: &mut Rng, dispatcher: usize) -> Vec<Fault> {
    vec![
        Fault::StrangerIds {
            dispatcher,
            stranger: *rng.choice(Stranger::ALL).unwrap(),
            count: rng.usize(2..8),
        },
        Fault::RepeatedRequest {
            dispatcher,
            pause: millis(rng, 0, 1_500),
            duration: millis(rng, 2_000, 10_000),
        },
    ]
}

/// Workers, and clients of theirs, of one dispatcher.
fn draw_gearman_faults(rng: &mut Rng, dispatcher: usize) -> [Fault; 4] {
    let workers = |rng: &mut Rng| Fault::GearmanWorkers {
        dispatcher,
        options: WorkerOptions {
            conduct: *rng.choice(WorkerConduct::ALL).unwrap(),
            takes_unique_ids: rng.u32(..4) > 0,
            functions: None,
        },
        count: rng.usize(1..4),
        duration: millis(rng, 3_000, 9_000),
    };
    [
        workers(rng),
        workers(rng),
        Fault::GearmanClients {
            dispatcher,
            conduct: *rng.choice(ClientConduct::ALL).unwrap(),
            cost: *rng.choice(&[Cost::Usual, Cost::Slow, Cost::Large]).unwrap(),
            count: rng.usize(1..5),
            duration: millis(rng, 2_000, 8_000),
        },
        Fault::KeyedJobs {
            dispatcher,
            count: rng.usize(10..40),
        },
    ]
}

/// Gearman clients of one dispatcher read large results while unfinished responses, and clients with
/// large bodies, take its memory. These faults seldom coincide if each is drawn separately.
fn draw_short_memory(rng: &mut Rng, run: &RunOutline) -> Vec<Fault> {
    let dispatcher = rng.usize(..run.dispatchers);
    let duration = millis(rng, 4_000, 8_000);
    let clients = [
        Fault::ClientCrowd {
            dispatcher,
            conduct: Conduct::LargeBodies,
            connections: run.conditions.sockets / SOCKETS_PER_CROWD_CONNECTION,
            duration,
        },
        Fault::GearmanClients {
            dispatcher,
            conduct: ClientConduct::Waits,
            cost: Cost::Large,
            count: rng.usize(4..10),
            duration,
        },
    ];
    let first_endpoint = rng.usize(..run.endpoints);
    let lengthy = (0..LENGTHY_ENDPOINTS).map(|number| Fault::EndpointMisbehaves {
        endpoint: (first_endpoint + number) % run.endpoints,
        behavior: Behavior::RespondsAtLength(LengthyResponse::Line),
        duration,
    });
    clients.into_iter().chain(lengthy).collect()
}
