//! Checks the invariants of real dispatcher processes under random, overlapping faults.
//!
//! The seed of a run determines its faults. `FAULT_SEEDS` sets further seeds, such as `11..31`, and
//! `FAULT_PROGRAM` another build of the program.

mod common;

use pumiceway_test_support::processes::crowds::Conduct;
use pumiceway_test_support::processes::discovery::WatchLoss;
use pumiceway_test_support::processes::endpoints::Behavior;
use pumiceway_test_support::processes::faults::{Fault, RunOutline, Schedule};
use pumiceway_test_support::processes::functions::WORKER_FUNCTIONS;
use pumiceway_test_support::processes::gearman_peers::{
    ClientConduct, WorkerConduct, WorkerOptions,
};
use pumiceway_test_support::processes::identities::Stranger;
use pumiceway_test_support::processes::jobs::Cost;
use pumiceway_test_support::processes::lengthy::LengthyResponse;
use pumiceway_test_support::processes::rule_checker::{RuleReport, check_rules};
use pumiceway_test_support::processes::service::Failure;
use pumiceway_test_support::processes::{Conditions, TestFleet, clients, faults};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The size of a run.
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

/// At the end of a run, each process reports within this time that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The conditions of a seed. The pages of the program count if it is a build to be deployed.
fn draw_conditions(seed: u64) -> Conditions {
    Conditions {
        counts_files: common::is_other_build(),
        ..Conditions::draw(seed)
    }
}

fn run(seed: u64, size: &Size) -> RuleReport {
    let conditions = draw_conditions(seed);
    let outline = RunOutline {
        length: size.duration,
        dispatchers: size.dispatchers,
        endpoints: size.workers,
        conditions,
    };
    run_schedule(seed, size, &faults::draw_schedule(seed, &outline))
}

fn run_schedule(seed: u64, size: &Size, schedule: &Schedule) -> RuleReport {
    run_program(
        &common::program(),
        draw_conditions(seed),
        seed,
        size,
        schedule,
    )
}

/// Runs the build that is deployed: a debug build is held up for too long by crowds of large results.
fn run_released(seed: u64, schedule: &Schedule) -> RuleReport {
    let conditions = Conditions::draw(seed);
    assert!(conditions.gearman);
    run_program(
        &common::release_program(),
        conditions,
        seed,
        &SHORT,
        schedule,
    )
}

fn run_program(
    program: &Path,
    conditions: Conditions,
    seed: u64,
    size: &Size,
    schedule: &Schedule,
) -> RuleReport {
    let fleet = TestFleet::start(program, size.dispatchers, size.workers, conditions);
    let clients = clients::start(&fleet, size.clients, seed);
    faults::inject(&fleet, schedule);
    std::thread::sleep(
        (fleet.started_at + size.duration).saturating_duration_since(Instant::now()),
    );
    fleet.clients_stopped.store(true, Ordering::Relaxed);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    for dispatcher in &fleet.dispatchers {
        if dispatcher.has_crashed() {
            fleet.record_violation(format!("dispatcher {} has crashed", dispatcher.number));
        } else if !dispatcher.ready_within(READY_TIMEOUT) {
            fleet.record_violation(format!("dispatcher {} is not ready", dispatcher.number));
        }
    }
    let report = check_rules(&fleet, &sent);
    println!(
        "seed {seed}, {conditions:?}: {} of {} served; of {} awaited, {} served, {:?} at most; {:.2} of the memory",
        report.served,
        report.requests,
        report.awaited,
        report.awaited_served,
        report.longest_wait,
        report.memory_share,
    );
    if !report.violations.is_empty() {
        println!(
            "seed {seed}: violations {:#?} with the schedule {schedule:?}",
            report.violations
        );
    }
    report
}

fn check(seed: u64, report: &RuleReport) {
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        report.violations
    );
    assert!(
        report.served * 4 > report.requests,
        "seed {seed}: {} of {}",
        report.served,
        report.requests
    );
}

/// Checks runs of these seeds, all at the same time.
fn check_in_parallel(seeds: [u64; 2], run: impl Fn(u64) -> RuleReport + Sync) {
    std::thread::scope(|scope| {
        for seed in seeds {
            let run = &run;
            scope.spawn(move || check(seed, &run(seed)));
        }
    });
}

#[test]
fn the_invariants_hold_under_random_faults() {
    for parallel_seeds in [[1, 2], [3, 4], [6, 9]] {
        check_in_parallel(parallel_seeds, |seed| run(seed, &SHORT));
    }
}

// Regression test: the watches of all dispatchers were lost, workers left right after, and calls
// for new watches failed, since more dispatchers called than discovery could serve. The outage lasts
// longer than the lease on a list.
#[test]
fn the_invariants_hold_when_an_overloaded_discovery_does_not_report_that_workers_leave() {
    let [second, half] = [1_000, 500].map(Duration::from_millis);
    let losses = [WatchLoss::Silent, WatchLoss::Reset];
    let runs = [
        (Failure::Unavailable, 10),
        (Failure::Reset, 12),
        (Failure::Reset, 13),
    ]
    .map(|(failure, seed)| {
        let call_cost = second * 3;
        let mut schedule: Schedule = losses
            .map(|loss| (second * 2, Fault::WatchesLost { one_in: 1, loss }))
            .to_vec();
        schedule.push((
            second * 2,
            Fault::DiscoveryOverloaded {
                call_cost,
                failure,
                duration: second * 11,
            },
        ));
        schedule.push((
            second * 2 + half,
            Fault::EndpointsLeaving {
                one_in: 2,
                gone: true,
                return_after: second * 11,
            },
        ));
        std::thread::spawn(move || check(seed, &run_schedule(seed, &SHORT, &schedule)))
    });
    for run in runs {
        run.join().unwrap();
    }
}

// Regression test: workers left while dispatchers were down, and discovery responded slowly after
// the dispatchers were restarted.
#[test]
fn the_invariants_hold_when_workers_leave_while_dispatchers_are_down() {
    let [second, downtime] = [1, 8].map(Duration::from_secs);
    let schedule = vec![
        (
            second,
            Fault::Kill {
                one_in: 2,
                downtime,
            },
        ),
        (
            second * 3 / 2,
            Fault::EndpointsLeaving {
                one_in: 2,
                gone: false,
                return_after: Duration::from_secs(11),
            },
        ),
        (
            second * 7,
            Fault::DiscoveryOverloaded {
                call_cost: Duration::from_millis(700),
                failure: Failure::Reset,
                duration: second * 4,
            },
        ),
    ];
    check_in_parallel([4, 5], |seed| run_schedule(seed, &SHORT, &schedule));
}

// Regression test for issue 49: at each planned restart, requests of which a part had been read were
// closed without a response. Clients that pause within requests are among those of every run.
#[test]
fn the_invariants_hold_when_dispatchers_restart_one_after_another() {
    let schedule: Schedule = (0..SHORT.dispatchers)
        .map(|dispatcher| {
            let restart = Fault::Restart {
                dispatcher,
                sighup: dispatcher.is_multiple_of(2),
                second_sigterm: dispatcher.is_multiple_of(3),
            };
            (
                Duration::from_millis(1_000 + 1_500 * dispatcher as u64),
                restart,
            )
        })
        .collect();
    check_in_parallel([7, 8], |seed| run_schedule(seed, &SHORT, &schedule));
}

// Regression test for issue 50: a second response that came some milliseconds late was taken for the
// one to the next request on the connection, and a non-idempotent job ran again elsewhere.
#[test]
fn the_invariants_hold_when_endpoints_respond_twice() {
    let begins_at = Duration::from_secs(1);
    let schedule: Schedule = (0..SHORT.workers)
        .map(|endpoint| {
            let fault = Fault::EndpointMisbehaves {
                endpoint,
                behavior: Behavior::RespondsTwice,
                duration: Duration::from_secs(12),
            };
            (begins_at, fault)
        })
        .collect();
    check_in_parallel([14, 15], |seed| run_schedule(seed, &SHORT, &schedule));
}

/// Each kind of request that shares its id or key with another one, and each kind of Gearman peer, spread
/// over the dispatchers.
fn shared_identities() -> Schedule {
    let dispatchers = (0..SHORT.dispatchers).cycle();
    let duration = Duration::from_secs(8);
    let mut faults: Vec<Fault> = Vec::new();
    for (dispatcher, &stranger) in dispatchers.clone().zip(Stranger::ALL) {
        faults.push(Fault::StrangerIds {
            dispatcher,
            stranger,
            count: 6,
        });
    }
    for (dispatcher, &conduct) in dispatchers.clone().zip(WorkerConduct::ALL) {
        faults.push(Fault::GearmanWorkers {
            dispatcher,
            options: WorkerOptions {
                conduct,
                takes_unique_ids: conduct != WorkerConduct::Fails,
                functions: None,
            },
            count: 2,
            duration,
        });
    }
    let costs = [Cost::Usual, Cost::Slow, Cost::Large];
    for (dispatcher, (&conduct, cost)) in dispatchers.zip(ClientConduct::ALL.iter().zip(costs)) {
        faults.push(Fault::GearmanClients {
            dispatcher,
            conduct,
            cost,
            count: 2,
            duration,
        });
    }
    for dispatcher in 0..SHORT.dispatchers {
        faults.push(Fault::KeyedJobs {
            dispatcher,
            count: 10,
        });
        faults.push(Fault::RepeatedRequest {
            dispatcher,
            pause: Duration::from_millis(200),
            duration,
        });
    }
    let begins_at = Duration::from_secs(2);
    faults.into_iter().map(|fault| (begins_at, fault)).collect()
}

// Regression test for issue 59: a stranger was served with the result of an open request, endpoints were
// told another key over HTTP than over Gearman, and an import that was sent again and again ran twice.
#[test]
fn the_invariants_hold_when_requests_share_ids_and_keys() {
    check_in_parallel([16, 213], |seed| run_released(seed, &shared_identities()));
}

/// Workers of some functions of each class, of every conduct, and clients of all functions.
fn functions_of_one_class() -> Schedule {
    let duration = Duration::from_secs(8);
    let workers = WORKER_FUNCTIONS.iter().flat_map(move |functions| {
        (0..SHORT.dispatchers).map(move |dispatcher| Fault::GearmanWorkers {
            dispatcher,
            options: WorkerOptions {
                conduct: WorkerConduct::ALL[dispatcher % WorkerConduct::ALL.len()],
                takes_unique_ids: dispatcher % 2 == 0,
                functions: Some(functions),
            },
            count: 1,
            duration,
        })
    });
    let clients = (0..SHORT.dispatchers).map(|dispatcher| Fault::FunctionClients {
        dispatcher,
        count: 2,
        duration,
    });
    let begins_at = Duration::from_secs(2);
    let faults = workers.chain(clients);
    faults.map(|fault| (begins_at, fault)).collect()
}

// Regression test for issue 62: a job ran as another function of its class, and its client was told the
// result of that function.
#[test]
fn the_invariants_hold_when_functions_share_a_class() {
    check_in_parallel([16, 213], |seed| {
        run_released(seed, &functions_of_one_class())
    });
}

/// Dispatchers whose memory unfinished responses use up, with Gearman clients that read large results.
fn memory_is_short() -> Schedule {
    let duration = Duration::from_secs(9);
    let crowds = (0..SHORT.dispatchers).map(|dispatcher| Fault::ClientCrowd {
        dispatcher,
        conduct: Conduct::LargeBodies,
        connections: 40,
        duration,
    });
    let lengthy = (0..SHORT.workers / 2).map(|endpoint| Fault::EndpointMisbehaves {
        endpoint,
        behavior: Behavior::RespondsAtLength(LengthyResponse::Line),
        duration,
    });
    let clients = (0..SHORT.dispatchers).map(|dispatcher| Fault::GearmanClients {
        dispatcher,
        conduct: ClientConduct::Waits,
        cost: Cost::Large,
        count: 8,
        duration,
    });
    let begins_at = Duration::from_secs(2);
    let faults = crowds.chain(lengthy).chain(clients);
    faults.map(|fault| (begins_at, fault)).collect()
}

// Regression test for issue 59: Gearman clients that read lost the results of jobs that had run.
#[test]
fn the_invariants_hold_when_memory_is_short_for_gearman_clients_that_read() {
    let seed = 301;
    assert!(draw_conditions(seed).gearman);
    check(seed, &run_schedule(seed, &SHORT, &memory_is_short()));
}

#[test]
fn the_invariants_hold_on_further_seeds() {
    let Ok(range) = std::env::var("FAULT_SEEDS") else {
        return;
    };
    let (first, end) = range.split_once("..").expect("FAULT_SEEDS is FROM..TO");
    let reports =
        (first.parse().unwrap()..end.parse::<u64>().unwrap()).map(|seed| (seed, run(seed, &FULL)));
    let violations: Vec<_> = reports
        .filter(|(_, report)| !report.violations.is_empty())
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
