//! Restarts of the program, as a process of its own: what it may use of the endpoint list in its configuration.

use pumiceway_rig::processes::{Lists, field, is_ready, serve};
use pumiceway_rig::{Peer, endpoint_line, listing, serve_each};
use std::ffi::OsStr;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// For what comes within some seconds, on a machine that has other things to do.
const SOON: Duration = Duration::from_secs(20);

/// A dispatcher process, killed when dropped.
struct Process {
    child: Child,
    http: String,
    gearman: String,
}

impl Process {
    /// Starts the program on this configuration and waits until it listens.
    fn start(config: &Path, gearman: &Path) -> Process {
        let more = [OsStr::new("--gearman"), gearman.as_os_str()];
        let (child, listens) = serve(Path::new(env!("CARGO_BIN_EXE_pumiceway")), config, &more);
        let listens = listens.unwrap();
        let [http, gearman] = ["address", "gearman"].map(|name| field(&listens, name).unwrap());
        Process { child, http, gearman }
    }

    fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until this many requests are open, by the count that the console shows.
    fn until_open(&self, class: &str, open: usize) {
        let row = format!("{class}\t{open}\t");
        let begun = Instant::now();
        loop {
            let mut peer = Peer::new(TcpStream::connect(&self.gearman).unwrap());
            peer.send("raw status\\n");
            let status = peer.text_to(".\n");
            if status.contains(&row) {
                return;
            }
            assert!(begun.elapsed() < SOON, "no {row:?} in {status}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A worker that serves whatever it is sent and reports each request.
fn worker() -> (u16, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let (report, requests) = channel();
    serve_each(listener, move |mut peer| {
        while let Ok(request) = peer.message() {
            let _ = report.send(request);
            peer.send("done yes");
        }
    });
    (port, requests)
}

/// The next call to discovery, not yet answered.
fn call(discovery: &TcpListener) -> Peer {
    let mut peer = Peer::new(discovery.accept().unwrap().0);
    let request = peer.message().unwrap();
    assert!(request.starts_with("GET /api/targets"), "{request}");
    peer
}

/// Files of one test, removed when dropped.
struct Files {
    config: PathBuf,
    gearman: PathBuf,
}

impl Files {
    fn write(name: &str, lists: Lists, discovery: &TcpListener, known: &str) -> Files {
        let file = |suffix: &str, text: String| {
            let name = format!("pumiceway-{}-{name}-{lists:?}.{suffix}", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).unwrap();
            path
        };
        let settings = lists.settings(0, 1);
        let address = discovery.local_addr().unwrap();
        let config = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{address}","known":{known},"settings":{settings}}}"#
        );
        let gearman = "listen = \"127.0.0.1:0\"\n".to_owned();
        Files { config: file("json", config), gearman: file("toml", gearman) }
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.gearman);
    }
}

// Incident: a dispatcher was killed, servers left while it was down, and after its restart it sent to them from the list in
// its configuration, until discovery answered.
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

        // It is down while the worker leaves and another comes; its configuration still holds the old list.
        let process = Process::start(&files.config, &files.gearman);
        let mut client = Peer::new(TcpStream::connect(&process.http).unwrap());
        client.send("POST /booking-import/k second 6000 x");
        process.until_open("booking-import", 1);
        let mut watch = call(&discovery);
        let sent_early = old.try_recv().is_ok();
        let ready_early = is_ready(&process.http);
        watch.send("200");
        let now = [endpoint_line("old", old_port, "gone"), endpoint_line("new", new_port, "ready")];
        watch.send(&format!("+ {}", listing(3, false, &now)));
        assert!(!sent_early, "{lists:?}: sent to a worker of a list that nobody has confirmed");
        assert!(!ready_early, "{lists:?}: ready on a list that nobody has confirmed");
        client.expect("200 yes").unwrap_or_else(|e| panic!("{lists:?}: {e}"));
        assert!(new.recv_timeout(SOON).unwrap().contains("x-txn: second"), "{lists:?}");
        assert!(old.try_recv().is_err(), "{lists:?}: sent to a worker that is gone");
    }
}
