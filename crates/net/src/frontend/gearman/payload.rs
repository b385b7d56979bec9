//! Copies of the data of packets. The data of a packet shares its buffer with other packets, which may
//! be much larger, so whatever outlives its packet is copied.

use bytes::Bytes;
use pumiceway_memory::{AccountedBuffer, Holder, MemoryBudget};
use std::time::Instant;

/// What an open job takes beside its workload.
const JOB_BYTES: usize = 4 << 10;

/// A copy of a workload. It, and what else an open job takes, is drawn until its last clone is
/// dropped; `None` if there is no memory for it.
pub(in crate::frontend::gearman) fn copy_workload(
    memory: &MemoryBudget,
    workload: &[u8],
) -> Option<Bytes> {
    let now = Instant::now();
    let mut account = memory.open(Holder::Request, now);
    account.try_draw(JOB_BYTES + workload.len(), now).ok()?;
    account.give_back(workload.len());
    let content = AccountedBuffer::new(account).replace_by(workload.to_vec(), now);
    Some(content.into())
}

/// A copy of the result of a job, which is drawn until its last clone is dropped.
pub(super) fn copy_result(memory: &MemoryBudget, result: &[u8]) -> Bytes {
    let now = Instant::now();
    let account = memory.open(Holder::Response, now);
    let content = AccountedBuffer::new(account).replace_by(result.to_vec(), now);
    content.into()
}

/// A copy of data that is forwarded at once.
pub(super) fn copy_update(data: &[u8]) -> Bytes {
    Bytes::copy_from_slice(data)
}
