//! Checks that nothing is sent on for a client that has left, and that a non-idempotent job runs once
//! although its client sends it again.

mod common;

use pumiceway_test_support::processes::endpoints::Arrival;
use pumiceway_test_support::processes::returning::{come_again, leave, request_ids};
use pumiceway_test_support::processes::rule_checker::check_rules;
use pumiceway_test_support::processes::throttle::throttle;
use pumiceway_test_support::processes::{Conditions, TestFleet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// More requests than ids were once remembered.
const FOLLOWING: usize = 6_000;
/// What each client has written behind its request when it leaves.
const EXCESS_BYTES: usize = 1 << 20;

/// A dispatcher with four endpoints, and its address.
fn start_dispatcher() -> (Arc<TestFleet>, SocketAddr) {
    let conditions = Conditions {
        deadlines: [Duration::from_secs(5), Duration::from_secs(20)],
        sockets: 1_024,
        health_checks: false,
        ..Conditions::draw(0)
    };
    let fleet = TestFleet::start(&common::release_program(), 1, 4, conditions);
    assert!(fleet.dispatchers[0].ready_within(common::TIMEOUT));
    let address = fleet.dispatchers[0].address.lock().unwrap().clone();
    (fleet, address.unwrap().parse().unwrap())
}

fn check(fleet: &TestFleet) {
    let report = check_rules(fleet, &[]);
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

// Regression test for issue 53: beyond 4,096 consumed ids the oldest were forgotten, though their
// clients might still come again.
#[test]
fn a_job_runs_once_though_its_client_comes_again_after_thousands_of_others_have_left() {
    let (fleet, address) = start_dispatcher();
    let departed = leave(address, &request_ids("first", 200), EXCESS_BYTES, 20);
    assert_eq!(departed.len(), 200);
    let following = leave(address, &request_ids("next", FOLLOWING), 0, 20);
    assert_eq!(following.len(), FOLLOWING);
    let departures = come_again(address, departed, 20);
    assert_eq!(departures.len(), 200);
    fleet.departures.lock().unwrap().extend(departures);
    check(&fleet);
    let arrivals = fleet.endpoints.arrivals();
    let is_first = |arrival: &&Arrival| arrival.id.starts_with("first");
    assert!(arrivals.iter().filter(is_first).count() > 100);
}

// Regression test for issue 53: the end of a connection was noticed behind all that its client had
// written before.
#[test]
fn nothing_is_sent_on_after_hundreds_of_clients_have_left_with_much_unread() {
    let (fleet, address) = start_dispatcher();
    let process = fleet.dispatchers[0].process().unwrap();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| throttle(process, || is_over.load(Ordering::Relaxed)));
        let departed = leave(address, &request_ids("gone", 1_500), EXCESS_BYTES, 300);
        std::thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::Relaxed);
        let departures = come_again(address, departed, 20);
        fleet.departures.lock().unwrap().extend(departures);
    });
    check(&fleet);
}
