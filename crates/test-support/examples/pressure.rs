//! Puts one dispatcher process under pressure and prints the highest memory that it took.
//!
//! ```text
//! cargo run --release -p pumiceway-test-support --example pressure -- PROGRAM [KEY=VALUE]...
//! ```
//!
//! Keys: `memory` (MiB), `sockets`, `endpoints`, `clients` (sound ones), `crowd` (connections of each
//! kind; `flooding` for those that send without pause), `conducts` and `responses` (kinds, separated by commas; `all`, `none`), `seconds`,
//! `throttle` (`yes` runs the dispatcher for a quarter of the time), `violations` (how many are
//! printed).

use pumiceway_test_support::processes::crowds::Conduct;
use pumiceway_test_support::processes::lengthy::LengthyResponse;
use pumiceway_test_support::processes::pressure::{Pressure, PressureReport};
use std::collections::HashMap;
use std::fmt::Debug;
use std::path::Path;
use std::time::Duration;

const BYTES_PER_MB: f64 = (1u64 << 20) as f64;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("PROGRAM is missing");
    let values: HashMap<String, String> = arguments
        .filter_map(|argument| {
            let (key, value) = argument.split_once('=')?;
            Some((key.to_owned(), value.to_owned()))
        })
        .collect();
    let text = |key: &str, default: &str| values.get(key).map_or(default.to_owned(), String::clone);
    let number = |key: &str, default: usize| -> usize {
        text(key, &default.to_string()).parse().expect("a number")
    };
    let (connections, flooding) = (number("crowd", 50), number("flooding", 1));
    let pressure = Pressure {
        memory_mb: number("memory", 64) as u64,
        sockets: number("sockets", 512),
        endpoints: number("endpoints", 8),
        clients: number("clients", 20) as u64,
        crowds: chosen(&text("conducts", "all"), Conduct::ALL)
            .into_iter()
            .map(|conduct| {
                (
                    conduct,
                    if conduct.is_flood() {
                        flooding
                    } else {
                        connections
                    },
                )
            })
            .collect(),
        responses: chosen(&text("responses", "none"), LengthyResponse::ALL),
        throttled: text("throttle", "no") == "yes",
        duration: Duration::from_secs(number("seconds", 12) as u64),
    };
    let report = pressure.run(Path::new(&program));
    println!("{pressure:?}");
    print_report(&report, pressure.memory_mb);
    for violation in report.rules.violations.iter().take(number("violations", 3)) {
        println!("  {violation}");
    }
}

fn print_report(report: &PressureReport, memory_mb: u64) {
    let peak = report.memory.peak;
    let total = peak.total as f64 / BYTES_PER_MB;
    let anonymous = peak.anonymous as f64 / BYTES_PER_MB;
    let share = total / memory_mb as f64;
    println!("  peak {total:.1} MB, {anonymous:.1} of it anonymous, {share:.2} of the limit");
    if let Some(after) = report.exceeded_after {
        println!("  passed the limit after {:.2} s", after.as_secs_f64());
    }
    let rules = &report.rules;
    println!(
        "  {} of {} served; {} awaited, {} of them served, {:.3} s at most; {} violations",
        rules.served,
        rules.requests,
        rules.awaited,
        rules.awaited_served,
        rules.longest_wait.as_secs_f64(),
        rules.violations.len(),
    );
}

fn chosen<T: Copy + Debug>(names: &str, all: &[T]) -> Vec<T> {
    let is_chosen =
        |kind: &T| names == "all" || names.split(',').any(|name| name == format!("{kind:?}"));
    all.iter().copied().filter(is_chosen).collect()
}
