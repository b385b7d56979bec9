//! Pool settings that are derived from the deployment settings.

use crate::config::SocketBudget;
use crate::upstream::PoolSettings;
use std::time::Duration;

const SOCKETS: SocketBudget = SocketBudget {
    inbound: 1,
    spare: 1,
    outbound: 640,
};

// An attempt must not wait for a connection beyond the drain grace period, and no request may be
// written to a connection that the endpoint may have closed as idle.
#[test]
fn connect_timeout_stays_within_the_drain_grace_and_idle_connections_close_early() {
    let text = |grace: u64| {
        format!(
            r#"{{"lanes":[],"limits":{{"most-tries":1,"connect-timeout-us":250000,"conn-idle-us":15000000}},
            "rules":{{"drain-grace-us":{grace}}}}}"#
        )
    };
    let pool = |grace| PoolSettings::new(&serde_json::from_str(&text(grace)).unwrap(), &SOCKETS);
    assert_eq!(pool(500_000).connect_timeout, Duration::from_millis(250));
    assert_eq!(pool(100_000).connect_timeout, Duration::from_millis(50));
    assert_eq!(pool(0).connect_timeout, Duration::from_millis(250));
    assert_eq!(pool(0).idle_timeout, Duration::from_secs(10));
    assert_eq!(
        pool(500_000).health_check_timeout,
        Duration::from_millis(500)
    );
}

// Otherwise a health check that opens a connection fails if connecting is slow but within its
// timeout.
#[test]
fn health_check_timeout_exceeds_connect_timeout() {
    let text = r#"{"lanes":[],"limits":{"most-tries":1,"connect-timeout-us":1000000},"rules":{}}"#;
    let pool = PoolSettings::new(&serde_json::from_str(text).unwrap(), &SOCKETS);
    assert!(pool.health_check_timeout > pool.connect_timeout, "{pool:?}");
}
