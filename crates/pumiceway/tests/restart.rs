//! Restarts of the program, as a process of its own: what it may use of the endpoint list in its
//! configuration.

mod common;

use common::{Files, Process, SOON, call, worker};
use pumiceway_test_support::processes::{Lists, is_ready};
use pumiceway_test_support::{Peer, endpoint_line, listing};
use std::net::{TcpListener, TcpStream};

// Incident: a dispatcher was killed, servers left while it was down, and after its restart it sent
// to them from the list in its configuration, until discovery answered.
#[test]
fn a_restarted_process_sends_nothing_until_discovery_confirms_its_list() {
    for lists in [Lists::Asked, Lists::Pushed] {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let ((old_port, old), (new_port, new)) = (worker(), worker());
        let known = listing(1, true, &[endpoint_line("old", old_port, "ready")]);
        let files = Files::write("restart", lists, &discovery, &known);

        // The first life: discovery confirms the list, and the worker on it serves.
        let process = Process::start(&files.config, &files.gearman);
        let mut watch = call(&discovery);
        watch.send("200");
        watch.send(&format!("+ {}", listing(1, false, &[])));
        let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
        client.send("POST /booking-import/k first 6000 x");
        client.expect("200 yes").unwrap();
        assert!(old.recv().unwrap().contains("x-txn: first"), "{lists:?}");
        process.kill();

        // It is down while the worker leaves and another comes; its configuration still holds the
        // old list.
        let process = Process::start(&files.config, &files.gearman);
        let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
        client.send("POST /booking-import/k second 6000 x");
        process.until_open("booking-import", 1);
        let mut watch = call(&discovery);
        let sent_early = old.try_recv().is_ok();
        let ready_early = is_ready(&process.http);
        watch.send("200");
        let now = [
            endpoint_line("old", old_port, "gone"),
            endpoint_line("new", new_port, "ready"),
        ];
        watch.send(&format!("+ {}", listing(3, false, &now)));
        assert!(
            !sent_early,
            "{lists:?}: sent to a worker of a list that nobody has confirmed"
        );
        assert!(
            !ready_early,
            "{lists:?}: ready on a list that nobody has confirmed"
        );
        client
            .expect("200 yes")
            .unwrap_or_else(|e| panic!("{lists:?}: {e}"));
        assert!(
            new.recv_timeout(SOON).unwrap().contains("x-txn: second"),
            "{lists:?}"
        );
        assert!(
            old.try_recv().is_err(),
            "{lists:?}: sent to a worker that is gone"
        );
    }
}
