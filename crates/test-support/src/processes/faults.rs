//! Random, overlapping faults: a schedule drawn from a seed, and how each of them is played.

use super::discovery::{CallFault, Left, WatchLoss};
use super::service::{CHEAP, Cost, Failure};
use super::workers::{Conduct, Outcome};
use super::{Lists, World};
use fastrand::Rng;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Dispatchers are killed, and started again after this time.
    Kill { one_in: usize, down: Duration },
    /// A dispatcher is told to stop, killed at the earliest time at which it may be, and started
    /// again. It gets SIGHUP before, and SIGTERM once more, where so drawn.
    Restart {
        dispatcher: usize,
        hangup: bool,
        twice: bool,
    },
    /// A dispatcher is held up for this time.
    Hold { dispatcher: usize, time: Duration },
    /// Discovery is down for this time; calls fail in this way after this time.
    DiscoveryDown {
        time: Duration,
        failure: Failure,
        after: Duration,
    },
    /// Each call costs discovery so much for this time; what waits too long fails in this way.
    DiscoveryCrowded {
        call: Duration,
        failure: Failure,
        time: Duration,
    },
    /// The watches of some dispatchers are lost.
    WatchesLost { one_in: usize, loss: WatchLoss },
    /// Changes come so late on the watches of some dispatchers, which go on.
    ChangesLate { one_in: usize, late: Duration },
    /// Calls of some dispatchers go wrong for this time.
    CallsFail {
        one_in: usize,
        fault: CallFault,
        time: Duration,
    },
    /// New configurations move the discovery of some dispatchers, so many in a row.
    Move {
        one_in: usize,
        times: u32,
        left: Left,
    },
    /// Workers drain or go, and come back after this time.
    Leave {
        one_in: usize,
        gone: bool,
        back: Duration,
    },
    /// A worker hangs or resets for this time.
    Misconduct {
        worker: usize,
        resets: bool,
        time: Duration,
    },
    /// Idle connections fill the descriptors of a dispatcher for this time.
    Crowd { dispatcher: usize, time: Duration },
    /// All clients leave right after each request for this time.
    LeaveBurst { time: Duration },
}

/// When each fault begins.
pub type Schedule = Vec<(Duration, Fault)>;

/// New connections keep coming for so long after a dispatcher is told to stop.
const STILL_COME: Duration = Duration::from_millis(300);
/// Between two configurations in a row.
const NEXT_MOVE: Duration = Duration::from_millis(150);

fn millis(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn failure(rng: &mut Rng) -> Failure {
    *rng.choice(&[Failure::Unavailable, Failure::Reset]).unwrap()
}

fn leave(rng: &mut Rng) -> Fault {
    Fault::Leave {
        one_in: rng.usize(2..4),
        gone: rng.bool(),
        back: millis(rng, 600, 14_000),
    }
}

fn loses_watches(rng: &mut Rng) -> Fault {
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

fn crowds(rng: &mut Rng) -> Fault {
    Fault::DiscoveryCrowded {
        call: millis(rng, 100, 1_500),
        failure: failure(rng),
        time: millis(rng, 3_000, 14_000),
    }
}

fn one(rng: &mut Rng, dispatchers: usize, workers: usize, lists: Lists) -> Fault {
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
        3 => Fault::Hold {
            dispatcher,
            time: millis(rng, 50, 150),
        },
        4 | 5 => {
            let time = if rng.u32(..4) == 0 {
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
        6 | 7 => crowds(rng),
        8 | 9 => loses_watches(rng),
        // An agent has what counts; late is what it has not got.
        10 if lists == Lists::Asked => Fault::ChangesLate {
            one_in: rng.usize(1..3),
            late: millis(rng, 500, 5_500),
        },
        10 | 11 => {
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
        12 => Fault::Move {
            one_in: rng.usize(1..4),
            times: rng.u32(1..4),
            left: *rng
                .choice(&[Left::Alive, Left::Dead, Left::Silent])
                .unwrap(),
        },
        13 | 14 => leave(rng),
        15 => Fault::Misconduct {
            worker: rng.usize(..workers),
            resets: rng.bool(),
            time: millis(rng, 500, 4_000),
        },
        16 => Fault::Crowd {
            dispatcher,
            time: millis(rng, 1_000, 6_000),
        },
        _ => Fault::LeaveBurst {
            time: millis(rng, 200, 1_500),
        },
    }
}

/// Draws a schedule over this time.
pub fn draw(
    seed: u64,
    over: Duration,
    dispatchers: usize,
    workers: usize,
    lists: Lists,
) -> Schedule {
    let mut rng = Rng::with_seed(seed);
    let rng = &mut rng;
    let latest = over.as_millis() as u64 * 3 / 4;
    let mut schedule = Schedule::new();
    for _ in 0..5 + over.as_secs() / 3 {
        schedule.push((
            millis(rng, 500, latest),
            one(rng, dispatchers, workers, lists),
        ));
    }
    // What is lost, what changes and what hides it belong together: alone they seldom meet.
    for _ in 0..2 {
        let begins = millis(rng, 500, latest * 2 / 3);
        schedule.push((begins, loses_watches(rng)));
        schedule.push((begins, crowds(rng)));
        schedule.push((begins + millis(rng, 0, 3_000), leave(rng)));
    }
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Plays a schedule up to its last fault's end.
pub fn play(world: &Arc<World>, schedule: &Schedule) {
    let mut running = Vec::new();
    for &(at, fault) in schedule {
        std::thread::sleep((world.start + at).saturating_duration_since(Instant::now()));
        let world = world.clone();
        running.push(std::thread::spawn(move || happens(&world, fault)));
    }
    for fault in running {
        if fault.join().is_err() {
            world.breaks("a fault could not be played".into());
        }
    }
}

fn happens(world: &World, fault: Fault) {
    let all = &world.dispatchers;
    let some = |one_in: usize| all.iter().filter(move |d| d.number % one_in == 0);
    match fault {
        Fault::Kill { one_in, down } => {
            let hit: Vec<_> = some(one_in).filter(|d| d.take()).collect();
            hit.iter().for_each(|d| d.kill());
            std::thread::sleep(down);
            hit.iter().for_each(|d| d.launch(world));
        }
        Fault::Restart {
            dispatcher,
            hangup,
            twice,
        } => {
            let dispatcher = &all[dispatcher];
            if dispatcher.take() {
                if hangup {
                    dispatcher.signal("-HUP");
                }
                dispatcher.terminate(world, twice);
                dispatcher.launch(world);
            }
        }
        Fault::Hold { dispatcher, time } => {
            all[dispatcher].signal("-STOP");
            std::thread::sleep(time);
            all[dispatcher].signal("-CONT");
        }
        Fault::DiscoveryDown {
            time,
            failure,
            after,
        } => {
            world.service.go_down(failure, after);
            std::thread::sleep(time);
            world.service.come_up();
        }
        Fault::DiscoveryCrowded {
            call,
            failure,
            time,
        } => {
            world.service.set_cost(
                Cost {
                    call,
                    line: CHEAP.line,
                },
                failure,
            );
            std::thread::sleep(time);
            world.service.set_cost(CHEAP, failure);
        }
        Fault::WatchesLost { one_in, loss } => some(one_in).for_each(|d| d.link.lose_watches(loss)),
        Fault::ChangesLate { one_in, late } => some(one_in).for_each(|d| d.link.tell_late(late)),
        Fault::CallsFail {
            one_in,
            fault,
            time,
        } => {
            some(one_in).for_each(|d| d.link.fail_calls(fault, time));
        }
        Fault::Move {
            one_in,
            times,
            left,
        } => {
            for _ in 0..times {
                some(one_in).for_each(|d| d.reconfigure(left));
                std::thread::sleep(NEXT_MOVE);
            }
        }
        Fault::Leave { one_in, gone, back } => {
            let status = if gone {
                Outcome::Gone
            } else {
                Outcome::Draining
            };
            let leave: Vec<_> = (0..world.workers.count())
                .filter(|w| w % one_in == 0)
                .collect();
            leave
                .iter()
                .for_each(|&w| world.workers.set_status(w, status));
            std::thread::sleep(back);
            leave
                .iter()
                .for_each(|&w| world.workers.set_status(w, Outcome::Ready));
        }
        Fault::Misconduct {
            worker,
            resets,
            time,
        } => {
            let conduct = if resets {
                Conduct::Resets
            } else {
                Conduct::Hangs
            };
            world.workers.set_conduct(worker, conduct);
            std::thread::sleep(time);
            world.workers.set_conduct(worker, Conduct::Serves);
        }
        Fault::Crowd { dispatcher, time } => crowd(world, dispatcher, time),
        Fault::LeaveBurst { time } => {
            world.burst.store(true, Ordering::Relaxed);
            std::thread::sleep(time);
            world.burst.store(false, Ordering::Relaxed);
        }
    }
}

fn crowd(world: &World, dispatcher: usize, time: Duration) {
    let dispatcher = &world.dispatchers[dispatcher];
    let Some(address) = dispatcher.address.lock().unwrap().clone() else {
        return;
    };
    let from = Instant::now();
    let connections = world.conditions.sockets * 2;
    let crowd: Vec<_> = (0..connections)
        .filter_map(|_| TcpStream::connect(&address).ok())
        .collect();
    std::thread::sleep(time);
    drop(crowd);
    dispatcher
        .crowds
        .lock()
        .unwrap()
        .push((from, Instant::now()));
}

/// For faults that end a process: new connections still come for some time.
pub(super) fn still_come() {
    std::thread::sleep(STILL_COME);
}
