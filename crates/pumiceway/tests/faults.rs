//! Random, overlapping faults over real dispatcher processes. Each play is reproducible by its
//! seed; `FAULT_SEEDS` names further seeds, as in `11..31`, and `FAULT_PROGRAM` another build of
//! the program.

mod common;

use pumiceway_test_support::processes::discovery::WatchLoss;
use pumiceway_test_support::processes::faults::{Fault, Schedule};
use pumiceway_test_support::processes::rule_checker::{RuleReport, check_rules};
use pumiceway_test_support::processes::service::Failure;
use pumiceway_test_support::processes::{Conditions, TestFleet, clients, faults};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The size of a play: dispatchers, workers, clients and duration.
struct Size {
    dispatchers: usize,
    workers: usize,
    clients: u64,
    duration: Duration,
}

const SHORT: Size = Size {
    dispatchers: 6,
    workers: 6,
    clients: 12,
    duration: Duration::from_secs(14),
};
const FULL: Size = Size {
    dispatchers: 30,
    workers: 12,
    clients: 40,
    duration: Duration::from_secs(24),
};

/// A new process reports that it is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

fn play(seed: u64, size: &Size) -> RuleReport {
    let lists = Conditions::draw(seed).lists;
    let schedule = faults::draw(seed, size.duration, size.dispatchers, size.workers, lists);
    play_schedule(seed, size, &schedule)
}

fn play_schedule(seed: u64, size: &Size, schedule: &Schedule) -> RuleReport {
    let conditions = Conditions::draw(seed);
    let world = TestFleet::start(
        &common::program(),
        size.dispatchers,
        size.workers,
        conditions,
    );
    let clients = clients::start(&world, size.clients, seed);
    faults::play(&world, schedule);
    std::thread::sleep((world.start + size.duration).saturating_duration_since(Instant::now()));
    world.over.store(true, Ordering::Relaxed);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    for dispatcher in &world.dispatchers {
        if dispatcher.crashed() {
            world.record_violation(format!("dispatcher {} has crashed", dispatcher.number));
        } else if !dispatcher.ready_within(READY_TIMEOUT) {
            world.record_violation(format!("dispatcher {} is not ready", dispatcher.number));
        }
    }
    let verdict = check_rules(&world, &sent);
    println!(
        "seed {seed}, {conditions:?}: {} of {} served",
        verdict.served, verdict.requests
    );
    if !verdict.broken.is_empty() {
        println!("seed {seed} broke {:#?} on {schedule:?}", verdict.broken);
    }
    verdict
}

fn play_and_check(seed: u64, size: &Size) {
    check(seed, &play(seed, size));
}

fn check(seed: u64, verdict: &RuleReport) {
    assert!(
        verdict.broken.is_empty(),
        "seed {seed}: {:#?}",
        verdict.broken
    );
    assert!(
        verdict.served * 4 > verdict.requests,
        "seed {seed}: {} of {}",
        verdict.served,
        verdict.requests
    );
}

#[test]
fn the_invariants_hold_under_random_faults() {
    for parallel_seeds in [[1, 2], [3, 4], [6, 9]] {
        let plays =
            parallel_seeds.map(|seed| std::thread::spawn(move || play_and_check(seed, &SHORT)));
        for play in plays {
            play.join().unwrap();
        }
    }
}

// Incident: the watches of all dispatchers are lost, workers leave right after, and calls for new
// watches fail, as discovery serves fewer dispatchers than call it. This lasts for longer than the
// lease on a list.
#[test]
fn the_invariants_hold_when_an_overloaded_discovery_does_not_report_that_workers_leave() {
    let [second, half] = [1_000, 500].map(Duration::from_millis);
    let losses = [WatchLoss::Silent, WatchLoss::Reset];
    let plays = [
        (Failure::Unavailable, 10),
        (Failure::Reset, 12),
        (Failure::Reset, 13),
    ]
    .map(|(failure, seed)| {
        let call = second * 3;
        let mut schedule: Schedule = losses
            .map(|loss| (second * 2, Fault::WatchesLost { one_in: 1, loss }))
            .to_vec();
        schedule.push((
            second * 2,
            Fault::DiscoveryCrowded {
                call,
                failure,
                time: second * 11,
            },
        ));
        schedule.push((
            second * 2 + half,
            Fault::EndpointsLeaving {
                one_in: 2,
                gone: true,
                back: second * 11,
            },
        ));
        std::thread::spawn(move || check(seed, &play_schedule(seed, &SHORT, &schedule)))
    });
    for play in plays {
        play.join().unwrap();
    }
}

// Incident: workers leave while dispatchers are down, and discovery responds slowly after their
// restart.
#[test]
fn the_invariants_hold_when_workers_leave_while_dispatchers_are_down() {
    let [second, down] = [1, 8].map(Duration::from_secs);
    let schedule = vec![
        (second, Fault::Kill { one_in: 2, down }),
        (
            second * 3 / 2,
            Fault::EndpointsLeaving {
                one_in: 2,
                gone: false,
                back: Duration::from_secs(11),
            },
        ),
        (
            second * 7,
            Fault::DiscoveryCrowded {
                call: Duration::from_millis(700),
                failure: Failure::Reset,
                time: second * 4,
            },
        ),
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
    let Ok(range) = std::env::var("FAULT_SEEDS") else {
        return;
    };
    let (first, end) = range.split_once("..").expect("FAULT_SEEDS is FROM..TO");
    let verdicts =
        (first.parse().unwrap()..end.parse::<u64>().unwrap()).map(|seed| (seed, play(seed, &FULL)));
    let broken: Vec<_> = verdicts
        .filter(|(_, verdict)| !verdict.broken.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
