//! The log output of a watch. This is a separate test binary because the subscribers of all threads
//! of a process affect what each thread logs.

use pumiceway_core::EndpointListUpdate;
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_net::discovery::DiscoveryWatcher;
use pumiceway_test_support::{Peer, SETTINGS, endpoint_line as line, listing};
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// A subscriber that records warnings and errors with their fields.
#[derive(Clone, Default)]
struct Warnings(Arc<Mutex<Vec<String>>>);

impl tracing::Subscriber for Warnings {
    fn enabled(&self, _: &tracing::Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &tracing::span::Attributes<'_>) -> tracing::span::Id {
        tracing::span::Id::from_u64(1)
    }

    fn record(&self, _: &tracing::span::Id, _: &tracing::span::Record<'_>) {}

    fn record_follows_from(&self, _: &tracing::span::Id, _: &tracing::span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let metadata = event.metadata();
        let is_warning = *metadata.level() <= tracing::Level::WARN;
        let mut text = String::new();
        event.record(
            &mut |field: &tracing::field::Field, value: &dyn std::fmt::Debug| {
                text.push_str(&format!("{field}={value:?} "));
            },
        );
        if is_warning && metadata.target().starts_with("pumiceway") {
            self.0.lock().unwrap().push(text);
        }
    }

    fn enter(&self, _: &tracing::span::Id) {}

    fn exit(&self, _: &tracing::span::Id) {}
}

// Malformed data must not be copied to the log in full, and there must not be a line per endpoint.
#[test]
fn a_malformed_message_is_logged_in_one_short_line_with_the_position() {
    let long = "x".repeat(1 << 20);
    let status = listing(2, false, &[line("w1", 1, &long)]);
    let position = format!(
        "1:{}: unknown variant `xxx",
        status.find(&long).unwrap() + long.len() + 1
    );
    // Polling has a longer call timeout, so the test may be slow to respond.
    let polled = SETTINGS.replacen(r#""rules":{}"#, r#""rules":{},"discovery":"subscribe""#, 1);
    let settings: Arc<DeploymentSettings> = Arc::new(serde_json::from_str(&polled).unwrap());
    let unknown_zones = listing(
        2,
        false,
        &vec![line(&long, 1, "ready").replace("\"z\"", "\"y\""); 3],
    );
    let long_zone = format!("\"{long}\"");
    let long_zones = listing(
        2,
        false,
        &vec![line("w1", 1, "ready").replace("\"z\"", &long_zone); 2],
    );
    let endless = format!("{{\"index\":\"{}", "x".repeat(5 << 20));
    let cases = [
        (status, position.as_str()),
        (unknown_zones, "count=3"),
        (long_zones, "count=2"),
        (endless, "longer than 4194304 bytes"),
        ("[]]".into(), "1:2: invalid"),
    ];
    for (sent, expected) in cases {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let (sender, mut updates) = mpsc::channel(1);
        let address = discovery.local_addr().unwrap().to_string();
        let watcher = DiscoveryWatcher::new(address, settings.clone(), Some(1), false, sender);
        let warnings = Warnings::default();
        let subscriber = warnings.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            tracing::subscriber::with_default(subscriber, || runtime.block_on(watcher.run()));
        });
        let mut watch = discovery.accept().unwrap().0;
        let mut peer = Peer::new(watch.try_clone().unwrap());
        peer.read_message().unwrap();
        peer.send("200");
        // The watcher may close the connection before everything is written.
        let _ = write!(watch, "{:x}\r\n{sent}\n\r\n", sent.len() + 1);
        drop((watch, peer));
        while !matches!(
            updates.blocking_recv().unwrap().update,
            EndpointListUpdate::Lost(_)
        ) {}
        let lines = std::mem::take(&mut *warnings.0.lock().unwrap());
        assert!(
            lines.iter().all(|line| line.len() < 500),
            "{expected}: {}",
            lines.concat().len()
        );
        assert_eq!(
            lines.iter().filter(|line| line.contains(expected)).count(),
            1,
            "{expected}: {lines:?}"
        );
    }
}
