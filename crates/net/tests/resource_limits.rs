//! Checks how the descriptors and the memory of the process are divided.

use pumiceway_net::config::{Config, ConfigError};
use pumiceway_test_support::SETTINGS;

/// The target: the process takes at most this share of its memory limit, in percent.
const MAX_SHARE: usize = 80;
/// What a connection to an endpoint takes at least.
const MIN_ENDPOINT_CONNECTION_BYTES: usize = 16 << 10;

fn parse(memory_mb: usize, sockets: usize) -> Result<Config, ConfigError> {
    let limits = format!(r#"{{"memory_mb":{memory_mb},"sockets":{sockets}}}"#);
    let text = format!(r#"{{"listen":"127.0.0.1:0","limits":{limits},"settings":{SETTINGS}}}"#);
    Config::from_text(&text, "config", |_| None)
}

fn config(memory_mb: usize, sockets: usize) -> Config {
    parse(memory_mb, sockets).unwrap()
}

// A limit that no machine has ended the process in the division of what it stands for.
#[test]
fn limits_out_of_range_are_errors_that_name_the_key() {
    let highest = usize::MAX;
    for (memory_mb, sockets, expected) in [
        (31, 1_024, "limits.memory_mb: 31 is less than 32"),
        (highest, 1_024, "is more than 1048576"),
        (1 << 44, 1_024, "is more than 1048576"),
        (192, 127, "limits.sockets: 127 is less than 128"),
        (192, highest, "is more than 1048576"),
    ] {
        let error = parse(memory_mb, sockets).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn the_parts_of_the_memory_stay_within_its_limit_and_each_is_useful() {
    for memory_mb in [32, 33, 64, 192, 1 << 20] {
        for sockets in [128, 256, 512, 1_024, 1 << 20] {
            let config = config(memory_mb, sockets);
            let memory = config.memory;
            let connections = config.socket_budget.outbound * MIN_ENDPOINT_CONNECTION_BYTES;
            let usable = (memory_mb << 20) / 100 * MAX_SHARE;
            let case = format!("{memory_mb} MB, {sockets} sockets: {memory:?}");
            assert!(memory.shared + connections < usable, "{case}");
            assert!(memory.shared * 3 > usable, "{case}");
            // A list of 3,200 endpoints, some of which are replaced.
            assert!(memory.endpoints >= 4_000, "{case}");
            assert!(memory.consumed_ids >= 4_096, "{case}");
            assert!(memory.cached_results >= 1 << 20, "{case}");
        }
    }
}

#[test]
fn descriptors_bound_client_connections_and_memory_those_to_endpoints() {
    for (memory_mb, sockets, inbound, max_outbound) in [
        (32, 256, 100, 100),
        (32, 1_024, 446, 300),
        (192, 1_024, 446, 446),
    ] {
        let budget = config(memory_mb, sockets).socket_budget;
        assert_eq!(budget.inbound, inbound);
        assert!((max_outbound / 2..=max_outbound).contains(&budget.outbound));
    }
}

// The orders of functions are no holder of the budget, so their memory is taken from it at the start.
#[test]
fn functions_beside_the_default_ones_take_their_memory_from_the_budget() {
    let shared = config(192, 1_024).memory.shared;
    for (functions, workers, is_accepted) in [
        (0, 64, true),
        (200, 1_000, true),
        (10_000, 64, true),
        (10_000, 1_000, false),
        (usize::MAX, 2, false),
    ] {
        let mut memory = config(192, 1_024).memory;
        let result = memory.reserve_functions(functions, workers);
        assert_eq!(result.is_ok(), is_accepted, "{functions} * {workers}");
        if let Err(error) = result {
            assert_eq!(memory.shared, shared);
            assert!(error.to_string().starts_with("functions: "), "{error}");
        } else {
            assert!(memory.shared <= shared - 8 * functions * workers);
        }
    }
}
