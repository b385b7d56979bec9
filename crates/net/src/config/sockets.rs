//! The socket budget: how the descriptors of the process are divided between clients and endpoints.
//!
//! A process without a free descriptor cannot accept connections that the system has already
//! accepted for it, and their requests are lost. So all parts together never exceed the limit.

use super::ConfigError;

/// Descriptors for everything else: listeners, discovery, standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory that a connection of a client may use, in bytes: a request body and what is read ahead.
const BYTES_PER_CLIENT: usize = 96 << 10;
/// The smallest limit that leaves a useful number of connections beside the reserved descriptors.
pub(super) const MIN_SOCKETS: usize = 128;
/// The smallest memory that the process can run in, in MiB.
const MIN_MEMORY_MB: u64 = 32;

/// How many descriptors each part of the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// Connections of clients that are served.
    pub inbound: usize,
    /// Further connections of clients that only get an overload response, and as many again that
    /// are still being closed.
    pub spare: usize,
    /// Connections to all endpoints together, in use or idle.
    pub outbound: usize,
}

impl SocketBudget {
    /// Divides this many descriptors, at least [`MIN_SOCKETS`], in a process that may use
    /// `memory_mb` MiB.
    ///
    /// A request that is served has a connection to an endpoint, so both sides get the same number.
    pub(super) fn divide(sockets: usize, memory_mb: u64) -> SocketBudget {
        let available = sockets - RESERVED_DESCRIPTORS;
        let memory_for_clients = (memory_mb << 20) as usize / 2;
        SocketBudget {
            inbound: (available * 9 / 20).min(memory_for_clients / BYTES_PER_CLIENT),
            spare: available / 20,
            outbound: available * 9 / 20,
        }
    }
}

/// Checks the limits of the platform's document.
pub(super) fn check_limits(sockets: usize, memory_mb: u64) -> Result<(), ConfigError> {
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::key(
            "limits.sockets",
            format!("fewer than {MIN_SOCKETS}"),
        ));
    }
    if memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::key(
            "limits.memory_mb",
            format!("less than {MIN_MEMORY_MB}"),
        ));
    }
    Ok(())
}
