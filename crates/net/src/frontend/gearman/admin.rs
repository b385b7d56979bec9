//! The responses to admin commands, in the text format of Gearman's admin protocol.

use super::GearmanFrontend;
use crate::config::Function;
use bytes::Bytes;
use pumiceway_core::Overview;
use std::fmt::Write;

/// The response to an admin command for whose response there is no memory.
pub(super) const MEMORY_SHORT: Bytes = Bytes::from_static(b"ERR MEMORY_SHORT not+enough+memory\n");

/// Returns the response to an admin command.
pub(super) async fn respond(frontend: &GearmanFrontend, line: &str) -> String {
    match line.split_whitespace().next().unwrap_or_default() {
        "version" => concat!("OK ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
        "getpid" => format!("OK {}\n", std::process::id()),
        "workers" => table(frontend.workers.admin_lines()),
        "status" => table(status_lines(frontend, &frontend.events.overview().await)),
        "routes" => table(endpoint_lines(frontend, &frontend.events.overview().await)),
        "kept" => format!("OK {}\n", frontend.events.overview().await.unique_ids),
        // Everyone who can reach this port may inspect the dispatcher, but only its supervisor may
        // stop it.
        "shutdown" => "ERR DENIED stop+the+process+with+SIGTERM\n".to_owned(),
        _ => "ERR UNKNOWN_COMMAND unknown+command\n".to_owned(),
    }
}

/// Ends a table with a line that holds a single dot.
fn table(lines: String) -> String {
    format!("{lines}.\n")
}

/// For each function: its name, the open requests and the requests in flight of its class, and the
/// number of workers that can do it.
fn status_lines(frontend: &GearmanFrontend, overview: &Overview) -> String {
    let line = |(name, function): (&String, &Function)| {
        let class = function.class.0;
        let class = overview.classes.get(class).copied().unwrap_or_default();
        let workers = frontend.workers.count_able(&frontend.functions, name);
        format!("{name}\t{}\t{}\t{workers}\n", class.open, class.in_flight)
    };
    frontend.functions.0.iter().map(line).collect()
}

/// For each endpoint: its name, its state and its zone.
fn endpoint_lines(frontend: &GearmanFrontend, overview: &Overview) -> String {
    let mut lines = String::new();
    for endpoint in &overview.endpoints {
        let zone = frontend.settings.zones.get(endpoint.zone.0);
        let zone = zone.map_or("-", String::as_str);
        let _ = writeln!(lines, "{}\t{:?}\t{zone}", endpoint.name, endpoint.state);
    }
    lines
}
