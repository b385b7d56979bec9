//! How connections to endpoints are opened, pooled and checked.

use crate::config::SocketBudget;
use pumiceway_decisions::settings::DeploymentSettings;
use std::time::Duration;

/// The time for a health check, at least; more where connecting may take long.
pub(super) const MIN_HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// A health check has at least this time left once its connection is up.
const HEALTH_CHECK_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are closed after this time where the deployment names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// One endpoint may have one in this many of all sockets as idle connections ...
const IDLE_DIVISOR: usize = 64;
/// ... and at least this many.
const MIN_IDLE_CONNECTIONS: usize = 2;

/// How connections to endpoints are opened, pooled and checked.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// A connection that is not up within this time has failed.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this time.
    pub idle_timeout: Duration,
    /// A health check that takes longer has failed; the time to connect counts.
    pub health_check_timeout: Duration,
    /// The most idle connections to one endpoint.
    pub max_idle_connections: usize,
}

impl PoolSettings {
    /// The settings of a deployment whose process may open these sockets.
    pub fn new(settings: &DeploymentSettings, sockets: &SocketBudget) -> PoolSettings {
        let connect_timeout = settings.connect_timeout();
        PoolSettings {
            connect_timeout,
            idle_timeout: idle_timeout(settings.limits.connection_idle_us),
            // Where connections may take long to come up, a health check that opens one must not
            // fail for that alone.
            health_check_timeout: MIN_HEALTH_CHECK_TIMEOUT
                .max(connect_timeout + HEALTH_CHECK_RESPONSE_TIMEOUT),
            max_idle_connections: (sockets.outbound / IDLE_DIVISOR).max(MIN_IDLE_CONNECTIONS),
        }
    }
}

/// Well before the endpoint closes an idle connection: otherwise a request would be written to one
/// that has just been dropped.
fn idle_timeout(endpoint_idle_us: u64) -> Duration {
    match endpoint_idle_us * 2 / 3 {
        0 => DEFAULT_IDLE_TIMEOUT,
        micros => Duration::from_micros(micros),
    }
}
