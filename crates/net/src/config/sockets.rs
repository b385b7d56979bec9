//! The socket budget: divides the file descriptors of the process between clients and endpoints.
//!
//! A process that has run out of descriptors cannot accept the connections that are already in its
//! listen queue, and their requests are lost. The parts of the budget together therefore never
//! exceed the limit.

use super::ConfigError;
use super::memory::max_endpoint_connections;

/// Descriptors reserved for other uses: listeners, discovery, standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// The lowest limit that leaves a useful number of connections after the reserved descriptors.
pub(super) const MIN_SOCKETS: usize = 128;
const MAX_SOCKETS: usize = 1 << 20;
/// The lowest memory limit at which the process can run, and the highest, in MiB.
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 1 << 20;

/// The number of descriptors that each part of the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// Client connections that are served.
    pub inbound: usize,
    /// Further client connections, which only receive an overload response. The same number again
    /// is available for connections that are being closed.
    pub spare: usize,
    /// Connections to all endpoints together, in use or idle.
    pub outbound: usize,
}

impl SocketBudget {
    /// Divides `sockets` descriptors, which must be at least [`MIN_SOCKETS`], in a process that may
    /// use `memory_mb` MiB.
    ///
    /// Each request that is served needs a connection to an endpoint, so both sides get the same
    /// share; the number of connections to endpoints is further limited by the memory.
    pub(super) fn divide(sockets: usize, memory_mb: u64) -> SocketBudget {
        let available = sockets - RESERVED_DESCRIPTORS;
        SocketBudget {
            inbound: available * 9 / 20,
            spare: available / 20,
            outbound: (available * 9 / 20).min(max_endpoint_connections(memory_mb)),
        }
    }
}

/// Checks the limits in the platform's document.
pub(super) fn check_limits(sockets: usize, memory_mb: u64) -> Result<(), ConfigError> {
    if sockets < MIN_SOCKETS {
        let reason = format!("{sockets} is less than {MIN_SOCKETS}");
        return Err(ConfigError::key("limits.sockets", reason));
    }
    if sockets > MAX_SOCKETS {
        let reason = format!("{sockets} is more than {MAX_SOCKETS}");
        return Err(ConfigError::key("limits.sockets", reason));
    }
    if memory_mb < MIN_MEMORY_MB {
        let reason = format!("{memory_mb} is less than {MIN_MEMORY_MB}");
        return Err(ConfigError::key("limits.memory_mb", reason));
    }
    if memory_mb > MAX_MEMORY_MB {
        let reason = format!("{memory_mb} is more than {MAX_MEMORY_MB}");
        return Err(ConfigError::key("limits.memory_mb", reason));
    }
    Ok(())
}
