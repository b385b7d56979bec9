//! Endpoints that are removed, return and change their addresses.

use crate::support::{WATCH_OPENED, polling_runner};
use pumiceway_test_support::{endpoint_line as line, listing};

// An endpoint is identified by its name, not by its address. An endpoint that takes over the
// address of another one must not be treated as that endpoint.
#[test]
fn an_endpoint_that_returns_is_identified_by_its_name_and_used_at_its_new_address() {
    let mut runner = polling_runner(&["w1", "w2", "discovery"]);
    let (old, new) = (runner.listener_port("w1"), runner.listener_port("w2"));
    let delta = |version, lines: &[String]| format!("d send + {}", listing(version, false, lines));
    let request_served = |name: &str, listener: &str, id: &str| {
        format!(
            "c send POST /rate-push/k {id} 5000 x
             {listener} wait {name}
             {name} expect POST /rate-push/k {id}
             {name} send done {id}
             c expect 200 {id}"
        )
    };
    runner.continue_with(&format!(
        "{WATCH_OPENED}\n {}",
        delta(2, &[line("w2", new, "gone")])
    ));
    runner.wait_until_listed("w2", "Gone");
    runner.continue_with(&request_served("a", "w1", "t1"));
    // The endpoint is removed and returns under the same name at another address.
    runner.continue_with(&delta(3, &[line("w1", old, "gone")]));
    runner.wait_until_listed("w1", "Gone");
    runner.continue_with(&delta(4, &[line("w1", new, "ready")]));
    runner.wait_until_listed("w1", "Ready");
    runner.continue_with(&request_served("b", "w2", "t2"));
    // An endpoint with another name takes over the address and gets a new connection.
    runner.continue_with(&delta(
        5,
        &[line("w1", new, "gone"), line("w9", new, "ready")],
    ));
    runner.wait_until_listed("w9", "Ready");
    runner.wait_until_listed("w1", "Gone");
    runner.continue_with(&request_served("e", "w2", "t3"));
}
