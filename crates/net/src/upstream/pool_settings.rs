//! Settings for opening, pooling and checking connections to endpoints.

use crate::config::SocketBudget;
use pumiceway_decisions::settings::DeploymentSettings;
use std::time::Duration;

/// Lower limit of the health check timeout; the timeout is longer if the connect timeout is long.
pub(super) const MIN_HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a health check has at least for its response, once its connection is established.
const HEALTH_CHECK_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout if the deployment settings do not specify one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The limit of idle connections to one endpoint is the number of outbound sockets divided by this.
const IDLE_LIMIT_DIVISOR: usize = 64;
/// Lower bound of the limit of idle connections to one endpoint.
const MIN_IDLE_LIMIT: usize = 2;

/// Settings for opening, pooling and checking connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time within which a health check must complete, including the time to connect.
    pub health_check_timeout: Duration,
    /// Limit of idle connections to one endpoint.
    pub max_idle_connections: usize,
}

impl PoolSettings {
    /// Derives the pool settings from the deployment settings and the socket budget of the process.
    pub fn new(settings: &DeploymentSettings, sockets: &SocketBudget) -> PoolSettings {
        let connect_timeout = settings.connect_timeout();
        PoolSettings {
            connect_timeout,
            idle_timeout: idle_timeout(settings.limits.connection_idle_us),
            // A health check that opens a connection must not fail only because the connect timeout
            // is long.
            health_check_timeout: MIN_HEALTH_CHECK_TIMEOUT
                .max(connect_timeout + HEALTH_CHECK_RESPONSE_TIMEOUT),
            max_idle_connections: (sockets.outbound / IDLE_LIMIT_DIVISOR).max(MIN_IDLE_LIMIT),
        }
    }
}

/// The idle timeout for endpoints that close connections after `endpoint_idle_us`. It is two thirds
/// of that, so that no request is written to a connection that the endpoint has just closed.
fn idle_timeout(endpoint_idle_us: u64) -> Duration {
    match endpoint_idle_us * 2 / 3 {
        0 => DEFAULT_IDLE_TIMEOUT,
        micros => Duration::from_micros(micros),
    }
}
