//! The responses to admin commands, in the text format of Gearman's admin protocol.

use super::GearmanFrontend;
use bytes::Bytes;
use pumiceway_core::{Overview, RequestCounts};
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

/// For each function: its name, its open requests, those in flight, and the number of workers that can
/// do it.
fn status_lines(frontend: &GearmanFrontend, overview: &Overview) -> String {
    let line = |name: &String| {
        let function = frontend.workers.catalog().function(name)?;
        let counts = overview.functions.get(&function);
        let RequestCounts { open, in_flight } = counts.copied().unwrap_or_default();
        let workers = frontend.workers.count_able(function);
        Some(format!("{name}\t{open}\t{in_flight}\t{workers}\n"))
    };
    frontend.functions.keys().filter_map(line).collect()
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
