//! Injects the faults of a schedule into the dispatchers and the stand-ins around them.

use super::{Fault, Schedule};
use crate::processes::TestFleet;
use crate::processes::crowds::{self, Conduct};
use crate::processes::dispatcher::{Dispatcher, SocketExhaustion};
use crate::processes::endpoints::{Behavior, ListedStatus};
use crate::processes::functions;
use crate::processes::gearman_peers::{run_client, run_worker};
use crate::processes::identities::{repeat_request, send_keyed, send_strangers};
use crate::processes::returning::{come_again, leave, request_ids};
use crate::processes::service::{Cost, USUAL_COST};
use crate::processes::throttle::throttle;
use rustix::process::Signal;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The time between two moves of discovery in a row.
const MOVE_INTERVAL: Duration = Duration::from_millis(150);
/// The number of clients that leave at the same time.
const DEPARTING_CLIENTS: usize = 20;
/// What each client that leaves has written behind its request.
const EXCESS_BYTES: usize = 1 << 20;
/// The number of idle connections that exhaust the sockets of a dispatcher, as a multiple of its
/// socket limit.
const CONNECTIONS_PER_SOCKET: usize = 2;

/// Injects the faults of a schedule. Returns when the last fault is over.
pub fn inject(fleet: &Arc<TestFleet>, schedule: &Schedule) {
    let mut running = Vec::new();
    for &(begins_at, fault) in schedule {
        std::thread::sleep(
            (fleet.started_at + begins_at).saturating_duration_since(Instant::now()),
        );
        let fleet = fleet.clone();
        running.push(std::thread::spawn(move || inject_fault(&fleet, fault)));
    }
    for fault in running {
        if fault.join().is_err() {
            fleet.record_violation("the thread of a fault has panicked".into());
        }
    }
}

fn every_nth(fleet: &TestFleet, one_in: usize) -> impl Iterator<Item = &Dispatcher> {
    let dispatchers = fleet.dispatchers.iter();
    dispatchers.filter(move |dispatcher| dispatcher.number % one_in == 0)
}

fn inject_fault(fleet: &TestFleet, fault: Fault) {
    match fault {
        Fault::Kill { one_in, downtime } => kill(fleet, one_in, downtime),
        Fault::Restart {
            dispatcher,
            sighup,
            second_sigterm,
        } => restart(
            fleet,
            &fleet.dispatchers[dispatcher],
            sighup,
            second_sigterm,
        ),
        Fault::Suspend {
            dispatcher,
            duration,
        } => {
            let dispatcher = &fleet.dispatchers[dispatcher];
            dispatcher.signal(Signal::STOP);
            std::thread::sleep(duration);
            dispatcher.signal(Signal::CONT);
        }
        Fault::DiscoveryDown {
            duration,
            failure,
            failure_delay,
        } => {
            fleet.service.go_down(failure, failure_delay);
            std::thread::sleep(duration);
            fleet.service.come_up();
        }
        Fault::DiscoveryOverloaded {
            call_cost,
            failure,
            duration,
        } => {
            let cost = Cost {
                per_call: call_cost,
                ..USUAL_COST
            };
            fleet.service.set_cost(cost, failure);
            std::thread::sleep(duration);
            fleet.service.set_cost(USUAL_COST, failure);
        }
        Fault::WatchesLost { one_in, loss } => {
            every_nth(fleet, one_in).for_each(|dispatcher| dispatcher.link.lose_watches(loss));
        }
        Fault::ChangesDelayed { one_in, delay } => {
            every_nth(fleet, one_in).for_each(|dispatcher| dispatcher.link.delay_changes(delay));
        }
        Fault::CallsFail {
            one_in,
            fault,
            duration,
        } => {
            every_nth(fleet, one_in)
                .for_each(|dispatcher| dispatcher.link.fail_calls(fault, duration));
        }
        Fault::DiscoveryMoved {
            one_in,
            times,
            old_address,
        } => {
            for _ in 0..times {
                every_nth(fleet, one_in).for_each(|dispatcher| dispatcher.reconfigure(old_address));
                std::thread::sleep(MOVE_INTERVAL);
            }
        }
        Fault::EndpointsLeaving {
            one_in,
            gone,
            return_after,
        } => remove_endpoints(fleet, one_in, gone, return_after),
        Fault::EndpointMisbehaves {
            endpoint,
            behavior,
            duration,
        } => {
            fleet.endpoints.set_behavior(endpoint, behavior);
            std::thread::sleep(duration);
            fleet.endpoints.set_behavior(endpoint, Behavior::Serves);
        }
        Fault::SocketsExhausted {
            dispatcher,
            duration,
        } => exhaust_sockets(fleet, &fleet.dispatchers[dispatcher], duration),
        Fault::ClientCrowd {
            dispatcher,
            conduct,
            connections,
            duration,
        } => {
            let dispatcher = &fleet.dispatchers[dispatcher];
            send_crowd(dispatcher, conduct, connections, duration);
        }
        Fault::ReturningClients {
            dispatcher,
            count,
            away,
        } => return_clients(fleet, &fleet.dispatchers[dispatcher], count, away),
        Fault::StrangerIds {
            dispatcher,
            stranger,
            count,
        } => send_strangers(fleet, &fleet.dispatchers[dispatcher], stranger, count),
        Fault::RepeatedRequest {
            dispatcher,
            pause,
            duration,
        } => repeat_request(fleet, &fleet.dispatchers[dispatcher], pause, duration),
        Fault::KeyedJobs { dispatcher, count } => {
            send_keyed(fleet, &fleet.dispatchers[dispatcher], count);
        }
        Fault::GearmanWorkers {
            dispatcher,
            options,
            count,
            duration,
        } => {
            let dispatcher = &fleet.dispatchers[dispatcher];
            in_parallel(count, duration, |until| {
                run_worker(fleet, dispatcher, options, until);
            });
        }
        Fault::FunctionClients {
            dispatcher,
            count,
            duration,
        } => {
            let dispatcher = &fleet.dispatchers[dispatcher];
            in_parallel(count, duration, |until| {
                functions::run_client(fleet, dispatcher, until);
            });
        }
        Fault::GearmanClients {
            dispatcher,
            conduct,
            cost,
            count,
            duration,
        } => {
            let dispatcher = &fleet.dispatchers[dispatcher];
            in_parallel(count, duration, |until| {
                run_client(fleet, dispatcher, conduct, cost, until);
            });
        }
        Fault::Throttle {
            dispatcher,
            duration,
        } => throttle_process(&fleet.dispatchers[dispatcher], duration),
        Fault::DisconnectBurst { duration } => {
            fleet.disconnect_burst.store(true, Ordering::Relaxed);
            std::thread::sleep(duration);
            fleet.disconnect_burst.store(false, Ordering::Relaxed);
        }
    }
}

/// Runs this many threads, each until the same time, and waits for them.
fn in_parallel(count: usize, duration: Duration, run_until: impl Fn(Instant) + Sync) {
    let until = Instant::now() + duration;
    std::thread::scope(|scope| {
        for _ in 0..count {
            scope.spawn(|| run_until(until));
        }
    });
}

fn send_crowd(dispatcher: &Dispatcher, conduct: Conduct, connections: usize, duration: Duration) {
    let until = Instant::now() + duration;
    let name = format!("crowd-{}-{conduct:?}", dispatcher.number);
    let address = || dispatcher.http()?.parse().ok();
    let is_over = || Instant::now() >= until;
    crowds::run(conduct, connections, &name, address, is_over);
}

fn return_clients(fleet: &TestFleet, dispatcher: &Dispatcher, count: usize, away: Duration) {
    let address = || dispatcher.http()?.parse().ok();
    let Some(first_address) = address() else {
        return;
    };
    let name = format!("return-{}-{count}", dispatcher.number);
    let departed = leave(
        first_address,
        &request_ids(&name, count),
        EXCESS_BYTES,
        DEPARTING_CLIENTS,
    );
    std::thread::sleep(away);
    // A new process does not know what its predecessor has run.
    if address() == Some(first_address) {
        let departures = come_again(first_address, departed, DEPARTING_CLIENTS);
        fleet.departures.lock().unwrap().extend(departures);
    }
}

fn throttle_process(dispatcher: &Dispatcher, duration: Duration) {
    let until = Instant::now() + duration;
    if let Some(process) = dispatcher.process() {
        // A process that has ended has no successor with the same id.
        let is_over = || Instant::now() >= until || dispatcher.process() != Some(process);
        throttle(process, is_over);
    }
}

fn kill(fleet: &TestFleet, one_in: usize, downtime: Duration) {
    let killed: Vec<&Dispatcher> = every_nth(fleet, one_in)
        .filter(|dispatcher| dispatcher.claim())
        .collect();
    killed.iter().for_each(|dispatcher| dispatcher.kill());
    std::thread::sleep(downtime);
    killed
        .iter()
        .for_each(|dispatcher| dispatcher.launch(fleet));
}

fn restart(fleet: &TestFleet, dispatcher: &Dispatcher, sighup: bool, second_sigterm: bool) {
    if !dispatcher.claim() {
        return;
    }
    if sighup {
        dispatcher.signal(Signal::HUP);
    }
    dispatcher.terminate(fleet, second_sigterm);
    dispatcher.launch(fleet);
}

fn remove_endpoints(fleet: &TestFleet, one_in: usize, gone: bool, return_after: Duration) {
    let status = if gone {
        ListedStatus::Gone
    } else {
        ListedStatus::Draining
    };
    let set_status = |status| {
        for endpoint in (0..fleet.endpoints.count()).step_by(one_in) {
            fleet.endpoints.set_status(endpoint, status);
        }
    };
    set_status(status);
    std::thread::sleep(return_after);
    set_status(ListedStatus::Ready);
}

fn exhaust_sockets(fleet: &TestFleet, dispatcher: &Dispatcher, duration: Duration) {
    let Some(address) = dispatcher.http() else {
        return;
    };
    let from = Instant::now();
    let connections: Vec<TcpStream> = (0..fleet.conditions.sockets * CONNECTIONS_PER_SOCKET)
        .filter_map(|_| TcpStream::connect(&address).ok())
        .collect();
    std::thread::sleep(duration);
    drop(connections);
    let to = Instant::now();
    let mut exhaustions = dispatcher.socket_exhaustions.lock().unwrap();
    exhaustions.push(SocketExhaustion { from, to });
}
