//! Draws workers and clients of several functions of one class, some in every run with a Gearman frontend.
//!
//! They have random numbers of their own, so that the other faults of a seed stay what they were.

use super::schedule::{FIRST_FAULT_MS, RunOutline, millis};
use super::{Fault, Schedule};
use crate::processes::functions::WORKER_FUNCTIONS;
use crate::processes::gearman_peers::{WorkerConduct, WorkerOptions};
use fastrand::Rng;

/// Changes the seed of a run for these faults.
const SEED_MASK: u64 = 0xf0_2c71;
/// How many dispatchers have such clients and workers.
const AFFECTED_DISPATCHERS: u32 = 2;
/// How many kinds of workers each of them has.
const WORKER_KINDS: u32 = 3;

/// Draws these faults of a run.
pub(super) fn draw(seed: u64, run: &RunOutline) -> Schedule {
    let mut rng = Rng::with_seed(seed ^ SEED_MASK);
    let rng = &mut rng;
    let mut schedule = Schedule::new();
    if !run.conditions.gearman {
        return schedule;
    }
    let latest_ms = run.length.as_millis() as u64 / 2;
    for _ in 0..AFFECTED_DISPATCHERS {
        let dispatcher = rng.usize(..run.dispatchers);
        let begins_at = millis(rng, FIRST_FAULT_MS, latest_ms);
        schedule.push((begins_at, draw_clients(rng, dispatcher)));
        for _ in 0..WORKER_KINDS {
            let workers_begin_at = begins_at + millis(rng, 0, 1_500);
            schedule.push((workers_begin_at, draw_workers(rng, dispatcher)));
        }
    }
    schedule
}

fn draw_clients(rng: &mut Rng, dispatcher: usize) -> Fault {
    Fault::FunctionClients {
        dispatcher,
        count: rng.usize(1..3),
        duration: millis(rng, 3_000, 8_000),
    }
}

/// Workers of some functions. Half of them complete their jobs.
fn draw_workers(rng: &mut Rng, dispatcher: usize) -> Fault {
    let conduct = if rng.bool() {
        WorkerConduct::Completes
    } else {
        *rng.choice(WorkerConduct::ALL).unwrap()
    };
    Fault::GearmanWorkers {
        dispatcher,
        options: WorkerOptions {
            conduct,
            takes_unique_ids: rng.u32(..4) > 0,
            functions: rng.choice(WORKER_FUNCTIONS).copied(),
        },
        count: rng.usize(1..3),
        duration: millis(rng, 2_000, 8_000),
    }
}
