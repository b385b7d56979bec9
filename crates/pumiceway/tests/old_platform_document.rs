//! Compatibility test: a dispatcher process reads platform documents that were written for an
//! earlier version of the program. Their addresses are replaced by addresses of the test.

mod common;

use common::{TIMEOUT, program};
use pumiceway_test_support::Peer;
use pumiceway_test_support::processes::{field, is_ready};
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const FIXTURE: &str = include_str!("../../net/tests/fixtures/platform-v1.json");
const RELOADED: &str = include_str!("../../net/tests/fixtures/platform-reload-v1.json");
const RESTART_REQUIRED: &str = "configuration keys changed that take a restart to apply: ";
/// The delta that discovery sends for the list of the first document.
const DELTA: &str =
    r#"+ {"index":42,"snapshot":false,"endpoints":[{"name":"n2","status":"gone"}]}"#;
/// The endpoints of the first document, as the admin command `routes` lists them.
const LISTED: &str =
    "n1\tReady\tnorth\nn2\tDraining\tnorth\ns1\tGone\tsouth\ns2\tReady\tsouth\n.\n";
/// The addresses in the bootstrap lists.
const ADDRESSES: [&str; 4] = [
    "192.0.2.11:7001",
    "192.0.2.12:7002",
    "192.0.2.13:7003",
    "192.0.2.14:7004",
];

fn bind_listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Replaces the addresses in a document by addresses of this machine. The endpoints receive only
/// health checks.
fn with_local_addresses(
    document: &str,
    discovery_in_document: &str,
    discovery: &str,
    endpoints: &[String],
) -> String {
    assert!(document.contains(discovery_in_document));
    let mut text = document
        .replace("127.0.0.1:3107", "127.0.0.1:0")
        .replace(discovery_in_document, discovery);
    for (original, address) in ADDRESSES.iter().zip(endpoints) {
        text = text.replace(original, address);
    }
    text
}

fn write_file(suffix: &str, text: &str) -> PathBuf {
    let name = format!("pumiceway-{}-platform.{suffix}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// A dispatcher process and its files. On drop the process is killed and the files are removed.
struct RunningDispatcher {
    child: Child,
    config: PathBuf,
    gearman: PathBuf,
}

impl RunningDispatcher {
    fn start(document: &str) -> (RunningDispatcher, BufReader<ChildStderr>) {
        let config = write_file("json", document);
        let gearman = write_file("toml", "listen = \"127.0.0.1:0\"\n");
        let mut child = spawn(&config, &gearman);
        kill_after_timeout(child.id());
        let log = BufReader::new(child.stderr.take().unwrap());
        let running = RunningDispatcher {
            child,
            config,
            gearman,
        };
        (running, log)
    }

    fn reload(&self, document: &str) {
        std::fs::write(&self.config, document).unwrap();
        let process = self.child.id().to_string();
        let status = Command::new("kill").args(["-HUP", &process]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for RunningDispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.gearman);
    }
}

fn spawn(config: &Path, gearman: &Path) -> Child {
    Command::new(program())
        .arg("serve")
        .arg("--gearman")
        .arg(gearman)
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Accepts the next call to discovery, which must arrive before the timeout. Returns it with its
/// path.
fn accept_call_in_time(discovery: TcpListener) -> (Peer, String) {
    let (sender, calls) = channel();
    std::thread::spawn(move || {
        let mut peer = Peer::new(discovery.accept().unwrap().0);
        let request = peer.read_message().unwrap();
        sender.send((peer, request))
    });
    let (peer, request) = calls.recv_timeout(TIMEOUT).unwrap();
    let path = request.split_whitespace().nth(1).unwrap().to_owned();
    (peer, path)
}

/// Kills the process after a timeout, so that the test does not hang on its log.
fn kill_after_timeout(process: u32) {
    std::thread::spawn(move || {
        std::thread::sleep(TIMEOUT * 2);
        let process = process.to_string();
        let _ = Command::new("kill").args(["-KILL", &process]).status();
    });
}

/// The next line of the log that contains this text.
fn next_log_line(log: &mut BufReader<ChildStderr>, part: &str) -> String {
    log.lines()
        .map(Result::unwrap)
        .find(|line| line.contains(part))
        .unwrap()
}

/// The endpoints, as the admin command `routes` lists them.
fn routes(gearman: &str) -> String {
    let mut peer = Peer::new(TcpStream::connect(gearman).unwrap());
    peer.send("raw routes\\n");
    peer.read_until(".\n")
}

fn wait_for_routes(gearman: &str, expected: &str) {
    let started_at = Instant::now();
    loop {
        let routes = routes(gearman);
        if routes == expected {
            return;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{routes}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn old_documents_list_the_same_endpoints_and_are_reloaded_to_the_same_keys() {
    let (discovery, address) = bind_listener();
    let (next_discovery, next_address) = bind_listener();
    let (_endpoints, endpoint_addresses): (Vec<_>, Vec<_>) =
        (0..4).map(|_| bind_listener()).unzip();
    let first = with_local_addresses(
        FIXTURE,
        "discovery.example:8500",
        &address,
        &endpoint_addresses,
    );
    let (running, mut log) = RunningDispatcher::start(&first);
    let line = next_log_line(&mut log, "dispatcher is listening");
    assert_eq!(field(&line, "name").as_deref(), Some("\"router-north-1\""));
    let gearman = field(&line, "gearman").unwrap();
    let http = field(&line, "address").unwrap();
    // The table shows the list from the start, but the program is not ready before discovery has
    // confirmed the list (or, without confirmation, before some seconds have passed).
    wait_for_routes(&gearman, LISTED);
    assert!(!is_ready(&http));

    let (mut watch, path) = accept_call_in_time(discovery);
    assert_eq!(path, "/api/targets?stream=1&index=41");
    watch.send("200");
    watch.send(DELTA);
    let confirmed = LISTED.replace("Draining", "Gone");
    wait_for_routes(&gearman, &confirmed);
    assert!(is_ready(&http));

    let second = with_local_addresses(
        RELOADED,
        "discovery-2.example:8501",
        &next_address,
        &endpoint_addresses,
    );
    running.reload(&second);
    let line = next_log_line(&mut log, RESTART_REQUIRED);
    let (_, keys) = line.split_once(RESTART_REQUIRED).unwrap();
    assert_eq!(keys.trim_end(), "limits, settings.lanes, settings.rules");
    let (_watch, path) = accept_call_in_time(next_discovery);
    assert_eq!(path, "/api/targets");
    // The list in use is newer than the one in the file.
    assert_eq!(routes(&gearman), confirmed);
}
