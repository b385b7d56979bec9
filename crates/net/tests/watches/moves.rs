//! Reloads that change the address of discovery.

use crate::support::{WATCH_OPENED, polling_runner};
use pumiceway_test_support::{endpoint_line as line, listing};

// The first list may be a delta, and the first call may be answered late, with 503 or not at all.
#[test]
fn a_new_address_is_accepted_whatever_the_form_of_its_first_list() {
    let unavailable =
        "e send raw HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n";
    for first in ["", "e close", unavailable] {
        let mut runner = polling_runner(&["w1", "discovery", "discovery2"]);
        runner.continue_with(WATCH_OPENED);
        runner.reload("discovery2");
        runner.continue_with("discovery2 wait e\n e expect GET /api/targets");
        // Meanwhile the watch at the old address ends and is reopened.
        runner.continue_with(
            "d close\n discovery wait d\n d expect GET /api/targets?stream=1&index=1\n d send 200",
        );
        if !first.is_empty() {
            runner.continue_with(&format!(
                "{first}\n discovery2 wait e\n e expect GET /api/targets !stream"
            ));
        }
        runner.continue_with(&format!(
            "d send + {}",
            listing(2, false, &[line("w2", 1, "ready")])
        ));
        runner.wait_until_listed("w2", "Ready");
        runner.continue_with(&format!(
            "e send json {}
             discovery2 wait g
             g expect GET /api/targets?stream=1&index=0
             g send 200
             d expect end
             g send + {}",
            listing(0, false, &[line("w3", 1, "ready")]),
            listing(1, false, &[line("w1", 1, "draining")]),
        ));
        for (endpoint, state) in [("w1", "Draining"), ("w2", "Ready"), ("w3", "Ready")] {
            runner.wait_until_listed(endpoint, state);
        }
    }
}

// A change back to the original address must also replace the watch that is still open there.
#[test]
fn of_two_consecutive_moves_the_last_one_counts_even_if_it_is_a_move_back() {
    for last in ["discovery", "discovery3"] {
        let mut runner = polling_runner(&["w1", "discovery", "discovery2", "discovery3"]);
        runner.continue_with(WATCH_OPENED);
        runner.reload("discovery2");
        runner.continue_with("discovery2 wait e\n e expect GET /api/targets");
        runner.reload(last);
        runner.continue_with(&format!(
            "{last} wait f
             f expect GET /api/targets
             # The watch at the intermediate address is closed.
             e expect end
             f send json {}
             {last} wait g
             g expect GET /api/targets?stream=1&index=0
             g send 200
             d expect end
             g send + {}",
            listing(0, true, &[line("w2", 1, "ready")]),
            listing(1, false, &[line("w3", 1, "ready")]),
        ));
        for (endpoint, state) in [("w1", "Gone"), ("w2", "Ready"), ("w3", "Ready")] {
            runner.wait_until_listed(endpoint, state);
        }
    }
}
