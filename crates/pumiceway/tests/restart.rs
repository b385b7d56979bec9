//! Checks restarts of a dispatcher process: a bootstrap list must not be used before discovery has
//! confirmed it.

mod common;

use common::{Process, TIMEOUT, TestFiles, accept_call, start_worker};
use pumiceway_test_support::processes::{ListDelivery, is_ready};
use pumiceway_test_support::{Peer, endpoint_line, listing};
use std::net::{TcpListener, TcpStream};

// Regression test: a dispatcher was killed, servers left while it was down, and after its restart it
// sent requests to them, as its configuration still listed them, until discovery responded.
#[test]
fn a_restarted_process_sends_nothing_until_discovery_confirms_its_list() {
    for lists in [ListDelivery::Polled, ListDelivery::Pushed] {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let ((old_port, old), (new_port, new)) = (start_worker(), start_worker());
        let bootstrap_list = listing(1, true, &[endpoint_line("old", old_port, "ready")]);
        let files = TestFiles::write("restart", lists, &discovery, &bootstrap_list);

        // The first process: discovery confirms the list, and the worker on it serves.
        let process = Process::start(&files.config, &files.gearman);
        let mut watch = accept_call(&discovery);
        watch.send("200");
        watch.send(&format!("+ {}", listing(1, false, &[])));
        let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
        client.send("POST /booking-import/k first 6000 x");
        client.expect("200 yes").unwrap();
        assert!(old.recv().unwrap().contains("x-txn: first"), "{lists:?}");
        process.kill();

        // While no process runs, the worker leaves and another one joins. The configuration still has
        // the old list.
        let process = Process::start(&files.config, &files.gearman);
        let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
        client.send("POST /booking-import/k second 6000 x");
        process.wait_until_open("booking-import", 1);
        let mut watch = accept_call(&discovery);
        let sent_early = old.try_recv().is_ok();
        let ready_early = is_ready(&process.http);
        watch.send("200");
        let current = [
            endpoint_line("old", old_port, "gone"),
            endpoint_line("new", new_port, "ready"),
        ];
        watch.send(&format!("+ {}", listing(3, false, &current)));
        assert!(
            !sent_early,
            "{lists:?}: sent to a worker of an unconfirmed list"
        );
        assert!(!ready_early, "{lists:?}: ready with an unconfirmed list");
        client
            .expect("200 yes")
            .unwrap_or_else(|error| panic!("{lists:?}: {error}"));
        assert!(
            new.recv_timeout(TIMEOUT).unwrap().contains("x-txn: second"),
            "{lists:?}"
        );
        assert!(
            old.try_recv().is_err(),
            "{lists:?}: sent to a worker that is gone"
        );
    }
}
