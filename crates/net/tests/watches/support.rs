//! A discovery service that the tests play themselves.

use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_net::discovery::{DiscoveryWatcher, SourceUpdate};
use pumiceway_test_support::{Peer, SETTINGS, ScenarioRunner};
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The steps of a scenario that open a watch from the bootstrap list, as `d`.
pub const WATCH_OPENED: &str = "discovery wait d
     d expect GET /api/targets?stream=1&index=1
     d send 200";

/// For what comes within some seconds, on a machine that has other things to do.
pub const SOON: Duration = Duration::from_secs(20);

/// The same text on many lines, for a scenario.
pub fn indented(text: &str) -> String {
    text.replace('{', "{\\n  ")
        .replace(",\"", ",\\n  \"")
        .replace('}', "\\n}")
}

/// A step of a scenario that sends this text as one chunk.
pub fn chunk(text: &str) -> String {
    let length = text.replace("\\n", "\n").len();
    format!("raw {length:x}\\r\\n{text}\\r\\n")
}

/// A call that the discovery service has accepted.
pub struct Call {
    pub peer: Peer,
    pub stream: TcpStream,
    /// The request line.
    pub request: String,
}

impl Call {
    /// Whether the dispatcher keeps the connection open.
    pub fn is_open(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0; 16]);
        self.stream.set_nonblocking(false).unwrap();
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// The next call; none if it does not come within this time.
pub fn next_call(listener: &TcpListener, within: Duration) -> Option<Call> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + within;
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            let mut peer = Peer::new(stream.try_clone().unwrap());
            let message = peer.read_message().unwrap();
            let request = message.lines().next().unwrap_or_default().to_owned();
            return Some(Call {
                peer,
                stream,
                request,
            });
        }
        if Instant::now() > end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The settings of the scenarios, for this mode of discovery, maximal poll interval and number of
/// dispatchers.
pub fn settings(discovery: &str, max_poll_interval_ms: u64, instances: usize) -> String {
    let rules = format!(
        r#""rules":{{"ask-within-us":{},"drain-grace-us":500000}}"#,
        max_poll_interval_ms * 1_000
    );
    let rest = format!(r#""discovery":"{discovery}","n-instances":{instances}"#);
    SETTINGS.replacen(r#""rules":{}"#, &format!("{rules},{rest}"), 1)
}

/// A dispatcher that polls discovery: it waits for a call that the test is slow to answer.
pub fn polling_runner(listeners: &[&str]) -> ScenarioRunner {
    ScenarioRunner::with_settings(listeners, None, &settings("subscribe", 10_000, 1))
}

/// A watcher from version 1 of a service that this many dispatchers poll, and its updates.
pub fn watcher(
    discovery: &TcpListener,
    instances: usize,
) -> (DiscoveryWatcher, mpsc::Receiver<SourceUpdate>) {
    let settings: DeploymentSettings =
        serde_json::from_str(&settings("subscribe", 10_000, instances)).unwrap();
    let (sender, updates) = mpsc::channel(1);
    let address = discovery.local_addr().unwrap().to_string();
    let watcher = DiscoveryWatcher::new(address, Arc::new(settings), Some(1), false, sender);
    (watcher, updates)
}

/// Runs a watcher on a thread of its own, where its first random numbers are these, less than a
/// tenth off.
pub fn run_with_draws(watcher: DiscoveryWatcher, wanted: &'static [f64]) {
    let is_near = |seed: &u64| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        wanted.iter().all(|draw| (rng.f64() - draw).abs() < 0.1)
    };
    let seed = (0..).find(is_near).unwrap();
    std::thread::spawn(move || {
        fastrand::seed(seed);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(watcher.run());
    });
}
