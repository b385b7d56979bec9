//! Random, overlapping faults: a schedule drawn from a seed, and how each of them is played.

use super::World;
use super::workers::{Conduct, Status};
use fastrand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Dispatchers are killed, and started again after this time.
    Kill { one_in: usize, down: Duration },
    /// A dispatcher is stopped, and started again once it has ended.
    Restart { dispatcher: usize },
    /// A dispatcher is held up for this time.
    Hold { dispatcher: usize, time: Duration },
    /// Discovery is down for this time, for all.
    DiscoveryDown { time: Duration },
    /// Discovery answers calls late, by this delay, for this time.
    DiscoverySlow { delay: Duration, time: Duration },
    /// The watches of some dispatchers fall silent.
    WatchesSilent { one_in: usize },
    /// A new configuration moves the discovery of a dispatcher.
    Move { dispatcher: usize },
    /// Workers drain or go, and come back after this time.
    Leave { one_in: usize, gone: bool, back: Duration },
    /// A worker hangs or resets for this time.
    Misconduct { worker: usize, resets: bool, time: Duration },
}

/// When each fault begins.
pub type Schedule = Vec<(Duration, Fault)>;

/// Draws a schedule over this time.
pub fn draw(seed: u64, over: Duration, dispatchers: usize, workers: usize) -> Schedule {
    let mut rng = Rng::with_seed(seed);
    let millis = |rng: &mut Rng, from: u64, to: u64| Duration::from_millis(rng.u64(from..to));
    let count = 6 + over.as_secs() as usize / 2;
    let mut schedule: Schedule = (0..count)
        .map(|_| {
            let at = Duration::from_millis(rng.u64(500..over.as_millis() as u64 * 3 / 4));
            let dispatcher = rng.usize(..dispatchers);
            let fault = match rng.u32(..12) {
                0 | 1 => Fault::Kill { one_in: rng.usize(2..5), down: millis(&mut rng, 100, 9_000) },
                2 => Fault::Restart { dispatcher },
                3 => Fault::Hold { dispatcher, time: millis(&mut rng, 50, 150) },
                4 => Fault::DiscoveryDown { time: millis(&mut rng, 500, 9_000) },
                5 => Fault::WatchesSilent { one_in: rng.usize(1..4) },
                6 => Fault::Move { dispatcher },
                7 | 8 => Fault::Leave {
                    one_in: rng.usize(2..4),
                    gone: rng.bool(),
                    back: millis(&mut rng, 2_000, 12_000),
                },
                9 | 10 => Fault::DiscoverySlow {
                    delay: millis(&mut rng, 200, 1_900),
                    time: millis(&mut rng, 3_000, 12_000),
                },
                _ => Fault::Misconduct {
                    worker: rng.usize(..workers),
                    resets: rng.bool(),
                    time: millis(&mut rng, 500, 4_000),
                },
            };
            (at, fault)
        })
        .collect();
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
    match fault {
        Fault::Kill { one_in, down } => {
            let hit: Vec<_> = all.iter().filter(|d| d.number % one_in == 0 && d.take()).collect();
            hit.iter().for_each(|d| d.kill());
            std::thread::sleep(down);
            hit.iter().for_each(|d| d.launch(&world.program));
        }
        Fault::Restart { dispatcher } => {
            let dispatcher = &all[dispatcher];
            if dispatcher.take() {
                if !dispatcher.terminate() {
                    world.breaks(format!("dispatcher {} did not end well", dispatcher.number));
                }
                dispatcher.launch(&world.program);
            }
        }
        Fault::Hold { dispatcher, time } => {
            all[dispatcher].signal("-STOP");
            std::thread::sleep(time);
            all[dispatcher].signal("-CONT");
        }
        Fault::DiscoveryDown { time } => {
            all.iter().for_each(|d| d.link.set_up(false));
            std::thread::sleep(time);
            all.iter().for_each(|d| d.link.set_up(true));
        }
        Fault::DiscoverySlow { delay, time } => {
            all.iter().for_each(|d| d.link.set_delay(delay));
            std::thread::sleep(time);
            all.iter().for_each(|d| d.link.set_delay(Duration::ZERO));
        }
        Fault::WatchesSilent { one_in } => {
            all.iter().filter(|d| d.number % one_in == 0).for_each(|d| d.link.fall_silent());
        }
        Fault::Move { dispatcher } => {
            let dispatcher = &all[dispatcher];
            dispatcher.link.move_away();
            dispatcher.write_config();
            dispatcher.signal("-HUP");
        }
        Fault::Leave { one_in, gone, back } => {
            let status = if gone { Status::Gone } else { Status::Draining };
            let leave: Vec<_> = (0..world.workers.count()).filter(|w| w % one_in == 0).collect();
            leave.iter().for_each(|&w| world.workers.set_status(w, status));
            std::thread::sleep(back);
            leave.iter().for_each(|&w| world.workers.set_status(w, Status::Ready));
        }
        Fault::Misconduct { worker, resets, time } => {
            let conduct = if resets { Conduct::Resets } else { Conduct::Hangs };
            world.workers.set_conduct(worker, conduct);
            std::thread::sleep(time);
            world.workers.set_conduct(worker, Conduct::Serves);
        }
    }
}
