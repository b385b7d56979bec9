//! Checks that a non-idempotent job runs once although its client leaves and sends it again.

mod common;

use pumiceway_test_support::processes::endpoints::Arrival;
use pumiceway_test_support::processes::returning::{come_again, leave, request_ids};
use pumiceway_test_support::processes::rule_checker::check_rules;
use pumiceway_test_support::processes::{Conditions, TestFleet};
use std::net::SocketAddr;
use std::time::Duration;

/// More requests than ids were once remembered.
const FOLLOWING: usize = 6_000;
/// What each client has written behind its request when it leaves.
const EXCESS_BYTES: usize = 1 << 20;

// Regression test for issue 53: beyond 4,096 consumed ids the oldest were forgotten, though their
// clients might still come again.
#[test]
fn a_job_runs_once_though_its_client_comes_again_after_thousands_of_others_have_left() {
    let usual = Conditions::draw(0);
    let conditions = Conditions {
        deadlines: [Duration::from_secs(5), Duration::from_secs(20)],
        sockets: 1_024,
        health_checks: false,
        ..usual
    };
    let fleet = TestFleet::start(&common::program(), 1, 4, conditions);
    assert!(fleet.dispatchers[0].ready_within(common::TIMEOUT));
    let address = fleet.dispatchers[0].address.lock().unwrap().clone();
    let address: SocketAddr = address.unwrap().parse().unwrap();
    let departed = leave(address, &request_ids("first", 200), EXCESS_BYTES);
    assert_eq!(departed.len(), 200);
    assert_eq!(
        leave(address, &request_ids("next", FOLLOWING), 0).len(),
        FOLLOWING
    );
    let departures = come_again(address, departed);
    assert_eq!(departures.len(), 200);
    fleet.departures.lock().unwrap().extend(departures);
    let report = check_rules(&fleet, &[]);
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    let arrivals = fleet.endpoints.arrivals();
    let is_first = |arrival: &&Arrival| arrival.id.starts_with("first");
    assert!(arrivals.iter().filter(is_first).count() > 100);
}
