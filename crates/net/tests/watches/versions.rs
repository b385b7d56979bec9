//! Lists with lower versions than earlier ones.

use crate::support::{
    SOON, WATCH_OPENED, next_call, polling_runner, run_with_random_numbers, watcher,
};
use pumiceway_core::EndpointListUpdate;
use pumiceway_test_support::{endpoint_line as line, listing};
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn neither_an_older_list_nor_a_delta_to_it_reverts_a_drain() {
    let mut runner = polling_runner(&["w1", "w2", "discovery"]);
    let ready = |endpoint: &str| line(endpoint, 1, "ready");
    runner.continue_with(&format!(
        "{WATCH_OPENED}
         d send + {}
         d close
         discovery wait e
         e expect GET /api/targets?stream=1&index=9
         e send 200
         e send + {}",
        listing(9, false, &[line("w1", 1, "draining")]),
        listing(3, true, &[ready("w1"), ready("w2"), ready("w3")]),
    ));
    runner.wait_until_listed("w3", "Ready");
    runner.wait_until_listed("w1", "Draining");
    // The same with a watch that starts at the lower version.
    runner.continue_with(&format!(
        "e close
         discovery wait f
         f expect GET /api/targets?stream=1&index=3
         f send 200
         f send + {}",
        listing(3, true, &[ready("w1"), ready("w2"), ready("w4")]),
    ));
    runner.wait_until_listed("w4", "Ready");
    runner.wait_until_listed("w1", "Draining");
    // A service that lags behind sends such deltas until it has caught up with the version in which
    // the endpoint started to drain.
    runner.continue_with(&format!(
        "f send + {}",
        listing(4, false, &[ready("w1"), ready("w5")])
    ));
    runner.wait_until_listed("w5", "Ready");
    runner.wait_until_listed("w1", "Draining");
}

// A service that has restarted its version numbers must not count as lagging indefinitely, and a
// service that lags must not count as restarted too early.
#[test]
fn lower_versions_are_accepted_once_they_have_persisted() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut watcher, mut updates) = watcher(&discovery, 1);
    watcher.renumbered_after = Duration::from_millis(1_500);
    run_with_random_numbers(watcher, &[0.05]);
    std::thread::spawn(move || {
        let mut first_call = next_call(&discovery, SOON).unwrap();
        first_call
            .peer
            .send(&format!("json {}", listing(9, false, &[])));
        loop {
            let mut call = next_call(&discovery, SOON).unwrap();
            let list = if call.request.contains("stream=1") {
                listing(4, false, &[])
            } else {
                listing(4, true, &[line("w1", 1, "ready")])
            };
            call.peer.send(&format!("json {list}"));
        }
    });
    assert_eq!(
        updates.blocking_recv().unwrap().update,
        EndpointListUpdate::Delta(vec![])
    );
    let started = Instant::now();
    loop {
        let update = updates.blocking_recv().unwrap().update;
        assert!(
            started.elapsed() < SOON,
            "the lower version is never accepted"
        );
        match update {
            EndpointListUpdate::Lost(_)
            | EndpointListUpdate::OutdatedDelta(_)
            | EndpointListUpdate::OutdatedSnapshot(_) => {}
            EndpointListUpdate::Snapshot(endpoints) => {
                assert!(
                    started.elapsed() >= Duration::from_millis(1_500),
                    "{:?}",
                    started.elapsed()
                );
                assert_eq!(endpoints.len(), 1);
                break;
            }
            update => panic!("{update:?}"),
        }
    }
}
