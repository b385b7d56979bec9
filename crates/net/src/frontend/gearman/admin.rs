//! The responses to admin commands: lines of text, as Gearman has them.

use super::GearmanFrontend;
use crate::config::Function;
use pumiceway_core::Overview;
use std::fmt::Write;

/// The response to an admin command.
pub(super) async fn respond(frontend: &GearmanFrontend, line: &str) -> String {
    match line.split_whitespace().next().unwrap_or_default() {
        "version" => concat!("OK ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
        "getpid" => format!("OK {}\n", std::process::id()),
        "workers" => table(frontend.workers.lines()),
        "status" => table(status_lines(frontend, &frontend.events.overview().await)),
        "routes" => table(endpoint_lines(frontend, &frontend.events.overview().await)),
        "kept" => format!("OK {}\n", frontend.events.overview().await.unique_ids),
        // Whoever can reach this port may look at the dispatcher, but only its supervisor may stop
        // it.
        "shutdown" => "ERR DENIED stop+the+process+with+SIGTERM\n".to_owned(),
        _ => "ERR UNKNOWN_COMMAND unknown+command\n".to_owned(),
    }
}

/// A line with a dot ends a table.
fn table(lines: String) -> String {
    format!("{lines}.\n")
}

/// For each function: its name, open requests, requests in flight, and able workers.
fn status_lines(frontend: &GearmanFrontend, overview: &Overview) -> String {
    let line = |(name, function): (&String, &Function)| {
        let class = function.class.0;
        let class = overview.classes.get(class).copied().unwrap_or_default();
        let able = frontend.workers.able(&frontend.functions, name);
        format!("{name}\t{}\t{}\t{able}\n", class.open, class.in_flight)
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
