//! Endpoints that leave, return and change their addresses.

use crate::support::{WATCH_OPENED, polling_stage};
use pumiceway_test_support::{endpoint_line as line, listing};

// Nor is an endpoint that takes over an address taken for the one that was there before.
#[test]
fn an_endpoint_that_returns_is_known_by_its_name_and_used_at_its_new_address() {
    let mut stage = polling_stage(&["w1", "w2", "discovery"]);
    let (old, new) = (stage.port("w1"), stage.port("w2"));
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
    stage.go_on(&format!(
        "{WATCH_OPENED}\n {}",
        delta(2, &[line("w2", new, "gone")])
    ));
    stage.until_listed("w2", "Gone");
    stage.go_on(&request_served("a", "w1", "t1"));
    // Gone, and back under its name at another address.
    stage.go_on(&delta(3, &[line("w1", old, "gone")]));
    stage.until_listed("w1", "Gone");
    stage.go_on(&delta(4, &[line("w1", new, "ready")]));
    stage.until_listed("w1", "Ready");
    stage.go_on(&request_served("b", "w2", "t2"));
    // Its address goes to one of another name, which has a connection of its own.
    stage.go_on(&delta(
        5,
        &[line("w1", new, "gone"), line("w9", new, "ready")],
    ));
    stage.until_listed("w9", "Ready");
    stage.until_listed("w1", "Gone");
    stage.go_on(&request_served("e", "w2", "t3"));
}
