//! Random, overlapping faults over real dispatcher processes, by seed. `FAULT_SEEDS` names further ones, as in `11..31`, and
//! `FAULT_PROGRAM` another build of the program.

use pumiceway_rig::processes::faults::{Fault, Schedule};
use pumiceway_rig::processes::judge::{Verdict, judge};
use pumiceway_rig::processes::{Lists, World, clients, faults};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Dispatchers, workers and clients of a play, and how long it lasts.
struct Size {
    dispatchers: usize,
    workers: usize,
    clients: u64,
    over: Duration,
}

const SHORT: Size = Size { dispatchers: 6, workers: 6, clients: 12, over: Duration::from_secs(14) };
const FULL: Size = Size { dispatchers: 30, workers: 12, clients: 40, over: Duration::from_secs(24) };

/// A new process reports that it is ready within this time.
const READY: Duration = Duration::from_secs(10);

fn play(seed: u64, size: &Size) -> Verdict {
    let schedule = faults::draw(seed, size.over, size.dispatchers, size.workers);
    play_schedule(seed, size, &schedule)
}

fn play_schedule(seed: u64, size: &Size, schedule: &Schedule) -> Verdict {
    let lists = if seed.is_multiple_of(2) { Lists::Asked } else { Lists::Pushed };
    let program = std::env::var("FAULT_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_pumiceway").to_owned());
    let world = World::start(Path::new(&program), size.dispatchers, size.workers, lists);
    let clients = clients::start(&world, size.clients, seed);
    faults::play(&world, schedule);
    std::thread::sleep((world.start + size.over).saturating_duration_since(Instant::now()));
    world.over.store(true, Ordering::Relaxed);
    let sent: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    for dispatcher in &world.dispatchers {
        if dispatcher.crashed() {
            world.breaks(format!("dispatcher {} has crashed", dispatcher.number));
        } else if !dispatcher.ready_within(READY) {
            world.breaks(format!("dispatcher {} is not ready", dispatcher.number));
        }
    }
    let verdict = judge(&world, &sent);
    println!("seed {seed}, {lists:?}: {} of {} served", verdict.served, verdict.requests);
    if !verdict.broken.is_empty() {
        println!("schedule: {schedule:#?}");
    }
    verdict
}

fn holds(seed: u64, size: &Size) {
    check(seed, &play(seed, size));
}

fn check(seed: u64, verdict: &Verdict) {
    assert!(verdict.broken.is_empty(), "seed {seed}: {:#?}", verdict.broken);
    assert!(verdict.served * 4 > verdict.requests, "seed {seed}: {} of {}", verdict.served, verdict.requests);
}

#[test]
fn the_invariants_hold_under_random_faults() {
    let plays = [1, 2].map(|seed| std::thread::spawn(move || holds(seed, &SHORT)));
    for play in plays {
        play.join().unwrap();
    }
}

// Incident: workers leave while dispatchers are down, and discovery is slow to answer when these come back.
#[test]
fn the_invariants_hold_where_workers_leave_while_dispatchers_are_down() {
    let [second, down] = [1, 8].map(Duration::from_secs);
    let schedule = vec![
        (second, Fault::Kill { one_in: 2, down }),
        (second * 3 / 2, Fault::Leave { one_in: 2, gone: false, back: Duration::from_secs(11) }),
        (second * 7, Fault::DiscoverySlow { delay: Duration::from_millis(1_500), time: second * 4 }),
    ];
    let plays = [4, 5].map(|seed| {
        let schedule = schedule.clone();
        std::thread::spawn(move || check(seed, &play_schedule(seed, &SHORT, &schedule)))
    });
    for play in plays {
        play.join().unwrap();
    }
}

#[test]
fn the_invariants_hold_on_further_seeds() {
    let Ok(range) = std::env::var("FAULT_SEEDS") else { return };
    let (from, to) = range.split_once("..").expect("FAULT_SEEDS is FROM..TO");
    for seed in from.parse().unwrap()..to.parse().unwrap() {
        holds(seed, &FULL);
    }
}
