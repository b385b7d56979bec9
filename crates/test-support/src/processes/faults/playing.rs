//! Plays a schedule of faults over the dispatchers and the stand-ins around them.

use super::{Fault, Schedule};
use crate::processes::TestFleet;
use crate::processes::dispatcher::{CrowdedTime, Dispatcher};
use crate::processes::endpoints::{Behavior, ListedStatus};
use crate::processes::service::{Cost, USUAL_COST};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Between two configurations in a row.
const MOVE_INTERVAL: Duration = Duration::from_millis(150);
/// Idle connections that fill the sockets of a dispatcher, in multiples of its limit.
const CROWD_MULTIPLE: usize = 2;

/// Plays a schedule until the last fault is over.
pub fn play(world: &Arc<TestFleet>, schedule: &Schedule) {
    let mut running = Vec::new();
    for &(begins, fault) in schedule {
        std::thread::sleep((world.start + begins).saturating_duration_since(Instant::now()));
        let world = world.clone();
        running.push(std::thread::spawn(move || play_fault(&world, fault)));
    }
    for fault in running {
        if fault.join().is_err() {
            world.record_violation("a fault could not be played".into());
        }
    }
}

fn one_in(world: &TestFleet, one_in: usize) -> impl Iterator<Item = &Dispatcher> {
    let dispatchers = world.dispatchers.iter();
    dispatchers.filter(move |dispatcher| dispatcher.number % one_in == 0)
}

fn play_fault(world: &TestFleet, fault: Fault) {
    match fault {
        Fault::Kill { one_in, down } => kill(world, one_in, down),
        Fault::Restart {
            dispatcher,
            hangup,
            twice,
        } => restart(world, &world.dispatchers[dispatcher], hangup, twice),
        Fault::Suspend { dispatcher, time } => {
            let dispatcher = &world.dispatchers[dispatcher];
            dispatcher.signal("-STOP");
            std::thread::sleep(time);
            dispatcher.signal("-CONT");
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
            let cost = Cost { call, ..USUAL_COST };
            world.service.set_cost(cost, failure);
            std::thread::sleep(time);
            world.service.set_cost(USUAL_COST, failure);
        }
        Fault::WatchesLost {
            one_in: share,
            loss,
        } => {
            one_in(world, share).for_each(|dispatcher| dispatcher.link.lose_watches(loss));
        }
        Fault::ChangesLate {
            one_in: share,
            late,
        } => {
            one_in(world, share).for_each(|dispatcher| dispatcher.link.delay_changes(late));
        }
        Fault::CallsFail {
            one_in: share,
            fault,
            time,
        } => {
            one_in(world, share).for_each(|dispatcher| dispatcher.link.fail_calls(fault, time));
        }
        Fault::Move {
            one_in: share,
            times,
            old_address,
        } => {
            for _ in 0..times {
                one_in(world, share).for_each(|dispatcher| dispatcher.reconfigure(old_address));
                std::thread::sleep(MOVE_INTERVAL);
            }
        }
        Fault::EndpointsLeaving { one_in, gone, back } => leave(world, one_in, gone, back),
        Fault::Misbehave {
            endpoint,
            behavior,
            time,
        } => {
            world.endpoints.set_behavior(endpoint, behavior);
            std::thread::sleep(time);
            world.endpoints.set_behavior(endpoint, Behavior::Serves);
        }
        Fault::Crowd { dispatcher, time } => crowd(world, &world.dispatchers[dispatcher], time),
        Fault::DisconnectBurst { time } => {
            world.disconnect_burst.store(true, Ordering::Relaxed);
            std::thread::sleep(time);
            world.disconnect_burst.store(false, Ordering::Relaxed);
        }
    }
}

fn kill(world: &TestFleet, share: usize, down: Duration) {
    let killed: Vec<&Dispatcher> = one_in(world, share)
        .filter(|dispatcher| dispatcher.claim())
        .collect();
    killed.iter().for_each(|dispatcher| dispatcher.kill());
    std::thread::sleep(down);
    killed
        .iter()
        .for_each(|dispatcher| dispatcher.launch(world));
}

fn restart(world: &TestFleet, dispatcher: &Dispatcher, hangup: bool, twice: bool) {
    if !dispatcher.claim() {
        return;
    }
    if hangup {
        dispatcher.signal("-HUP");
    }
    dispatcher.terminate(world, twice);
    dispatcher.launch(world);
}

fn leave(world: &TestFleet, one_in: usize, gone: bool, back: Duration) {
    let status = if gone {
        ListedStatus::Gone
    } else {
        ListedStatus::Draining
    };
    let set_status = |status| {
        for endpoint in (0..world.endpoints.count()).step_by(one_in) {
            world.endpoints.set_status(endpoint, status);
        }
    };
    set_status(status);
    std::thread::sleep(back);
    set_status(ListedStatus::Ready);
}

fn crowd(world: &TestFleet, dispatcher: &Dispatcher, time: Duration) {
    let Some(address) = dispatcher.address.lock().unwrap().clone() else {
        return;
    };
    let from = Instant::now();
    let connections: Vec<TcpStream> = (0..world.conditions.sockets * CROWD_MULTIPLE)
        .filter_map(|_| TcpStream::connect(&address).ok())
        .collect();
    std::thread::sleep(time);
    drop(connections);
    let to = Instant::now();
    let mut times = dispatcher.crowded_times.lock().unwrap();
    times.push(CrowdedTime { from, to });
}
