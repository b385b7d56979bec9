//! The memory that the endpoints on the lists take.

use crate::config::BYTES_PER_ENDPOINT;
use pumiceway_memory::{Holder, MemoryAccount, MemoryBudget};
use std::time::Instant;

/// Draws the memory of the endpoints that the core keeps. The core limits their number.
pub(super) struct EndpointMemory(MemoryAccount);

impl EndpointMemory {
    pub(super) fn new(memory: &MemoryBudget) -> EndpointMemory {
        EndpointMemory(memory.open(Holder::EndpointList, Instant::now()))
    }

    /// Draws or returns memory, as the core keeps this many endpoints now.
    pub(super) fn set_count(&mut self, endpoints: usize) {
        let (needed, held) = (endpoints * BYTES_PER_ENDPOINT, self.0.held());
        self.0.give_back(held.saturating_sub(needed));
        self.0
            .draw_settled(needed.saturating_sub(held), Instant::now());
    }
}
