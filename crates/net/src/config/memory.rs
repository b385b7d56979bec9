//! The memory limits: divides the memory of the process between the fixed costs of connections to
//! endpoints and a budget that all other holders share.
//!
//! A process that passes its memory limit is killed, and all that it had taken on is lost. Together
//! the parts stay within [`USABLE_SHARE`] of the limit, files counted.

use super::SocketBudget;

/// The share of the limit that the process may use, in percent.
const USABLE_SHARE: usize = 80;
/// What the process takes without any peer: the pages of its program, its stacks, the queue of log
/// lines, and what is held for a moment while a message is parsed.
const PROCESS_BYTES: usize = 8 << 20;
/// What a connection to an endpoint takes: the buffers of the HTTP client, its tasks, and a request
/// or response that is small.
const BYTES_PER_ENDPOINT_CONNECTION: usize = 24 << 10;
/// Connections to endpoints may take one in this many parts of what is usable.
const ENDPOINT_CONNECTIONS_DIVISOR: usize = 3;
/// The allocator keeps one in this many parts for itself: unused space between allocations.
const ALLOCATOR_DIVISOR: usize = 6;
/// What an endpoint on a list takes: its record, its estimates, its client.
pub(crate) const BYTES_PER_ENDPOINT: usize = 1 << 10;
/// What a worker takes in the order of each additional function that it can do.
const BYTES_PER_WORKER_OF_FUNCTION: usize = 10;
/// The orders of functions may take one in this many parts of the budget.
const FUNCTIONS_DIVISOR: usize = 4;
/// What a remembered request id takes, while the table that holds it grows.
const BYTES_PER_CONSUMED_ID: usize = 32;
/// Endpoints may take this share of the budget, in percent.
const ENDPOINTS_SHARE: usize = 40;
/// Consumed ids and cached results may each take one in this many parts of the budget.
const CONSUMED_IDS_DIVISOR: usize = 8;
const CACHED_RESULTS_DIVISOR: usize = 4;
const CACHE_ENTRIES_DIVISOR: usize = 8;

/// How much memory each part of the process may use, in bytes unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The budget that clients, responses and lists share.
    pub shared: usize,
    /// Maximum number of endpoints on all lists together.
    pub endpoints: usize,
    /// Maximum number of request ids that are remembered.
    pub consumed_ids: usize,
    /// Maximum size of the results that are cached.
    pub cached_results: usize,
    /// Maximum size of the entries of the cache without their results.
    pub cache_entries: usize,
}

impl MemoryLimits {
    /// Divides `memory_mb` MiB in a process with these connections.
    pub(super) fn divide(memory_mb: u64, sockets: &SocketBudget) -> MemoryLimits {
        let for_endpoints = sockets.outbound * BYTES_PER_ENDPOINT_CONNECTION;
        let rest = usable(memory_mb) - for_endpoints;
        let shared = rest - rest / ALLOCATOR_DIVISOR;
        MemoryLimits {
            shared,
            endpoints: shared / 100 * ENDPOINTS_SHARE / BYTES_PER_ENDPOINT,
            consumed_ids: shared / CONSUMED_IDS_DIVISOR / BYTES_PER_CONSUMED_ID,
            cached_results: shared / CACHED_RESULTS_DIVISOR,
            cache_entries: shared / CACHE_ENTRIES_DIVISOR,
        }
    }

    /// Takes the memory for the orders of additional functions from the budget.
    ///
    /// # Errors
    ///
    /// They need too large a part of it.
    pub fn reserve_functions(
        &mut self,
        functions: usize,
        workers: usize,
    ) -> Result<(), TooManyFunctions> {
        let needed = functions
            .saturating_mul(workers)
            .saturating_mul(BYTES_PER_WORKER_OF_FUNCTION);
        let available = self.shared / FUNCTIONS_DIVISOR;
        if needed > available {
            return Err(TooManyFunctions {
                functions,
                workers,
                needed,
                available,
            });
        }
        self.shared -= needed;
        Ok(())
    }
}

/// The additional functions of a deployment need more memory than there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "functions: {functions} functions beside those that stand for a whole class, for {workers} \
     connections, take {needed} bytes of memory; with this memory limit at most {available}"
)]
pub struct TooManyFunctions {
    functions: usize,
    workers: usize,
    needed: usize,
    available: usize,
}

/// The number of connections to endpoints that the memory permits.
pub(super) fn max_endpoint_connections(memory_mb: u64) -> usize {
    usable(memory_mb) / ENDPOINT_CONNECTIONS_DIVISOR / BYTES_PER_ENDPOINT_CONNECTION
}

/// What the peers of the process may take together.
fn usable(memory_mb: u64) -> usize {
    let limit = (memory_mb << 20) as usize;
    limit / 100 * USABLE_SHARE - PROCESS_BYTES
}
