//! Utilities for tests that act as the discovery service.

use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_net::discovery::{DiscoveryWatcher, SourceUpdate};
use pumiceway_test_support::{Peer, SETTINGS, ScenarioRunner};
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The scenario steps that open a watch from the version of the bootstrap list, as connection `d`.
pub const WATCH_OPENED: &str = "discovery wait d
     d expect GET /api/targets?stream=1&index=1
     d send 200";

/// Timeout for events that are expected within a few seconds; generous for busy machines.
pub const SOON: Duration = Duration::from_secs(20);

/// Spreads a JSON text over many lines, with escapes for a scenario.
pub fn indented(text: &str) -> String {
    text.replace('{', "{\\n  ")
        .replace(",\"", ",\\n  \"")
        .replace('}', "\\n}")
}

/// Returns the argument of a scenario step that sends this text as one HTTP chunk.
pub fn chunk(text: &str) -> String {
    let length = text.replace("\\n", "\n").len();
    format!("raw {length:x}\\r\\n{text}\\r\\n")
}

/// A call that the test has accepted as the discovery service.
pub struct Call {
    pub peer: Peer,
    pub stream: TcpStream,
    /// The request line.
    pub request: String,
}

impl Call {
    /// Returns whether the dispatcher keeps the connection open.
    pub fn is_open(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0; 16]);
        self.stream.set_nonblocking(false).unwrap();
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Accepts the next call; returns `None` if there is none within the timeout.
pub fn next_call(listener: &TcpListener, timeout: Duration) -> Option<Call> {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + timeout;
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
        if Instant::now() > deadline {
            return None;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Returns the settings of the scenarios with this discovery mode, maximum poll interval and number
/// of dispatchers.
pub fn settings(discovery: &str, max_poll_interval_ms: u64, instances: usize) -> String {
    let rules = format!(
        r#""rules":{{"ask-within-us":{},"drain-grace-us":500000}}"#,
        max_poll_interval_ms * 1_000
    );
    let rest = format!(r#""discovery":"{discovery}","n-instances":{instances}"#);
    SETTINGS.replacen(r#""rules":{}"#, &format!("{rules},{rest}"), 1)
}

/// Starts a dispatcher that polls discovery. Its call timeout is long enough for slow responses of
/// the test.
pub fn polling_runner(listeners: &[&str]) -> ScenarioRunner {
    ScenarioRunner::with_settings(listeners, None, &settings("subscribe", 10_000, 1))
}

/// Creates a watcher, starting at version 1, of a service that is polled by `instances`
/// dispatchers, and the receiver of its updates.
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

/// Runs a watcher on a separate thread, with a random seed for which its first random numbers are
/// within 0.1 of the given ones.
pub fn run_with_random_numbers(watcher: DiscoveryWatcher, random_numbers: &'static [f64]) {
    let is_suitable = |seed: &u64| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        random_numbers
            .iter()
            .all(|wanted| (rng.f64() - wanted).abs() < 0.1)
    };
    let seed = (0..).find(is_suitable).unwrap();
    std::thread::spawn(move || {
        fastrand::seed(seed);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(watcher.run());
    });
}
