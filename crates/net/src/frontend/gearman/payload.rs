//! Copies of the data of packets, and the memory that they take. The data of a packet shares its
//! buffer with other packets, which may be much larger, so whatever outlives its packet is copied.
//!
//! Whoever makes data draws memory for it, and waits while memory is short, before the peer is read
//! on. A copy pays for itself until its last clone is dropped.

use crate::frontend::admission::REQUEST_TIMEOUT;
use bytes::Bytes;
use pumiceway_memory::{AccountedBuffer, Holder, MemoryAccount, MemoryBudget, Revoked};
use std::future::poll_fn;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// What an open job takes beside its workload.
const JOB_BYTES: usize = 4 << 10;
/// What data takes on its way to a peer, beside itself.
const OUTBOUND_BYTES: usize = 256;
/// How long to wait for memory.
const MEMORY_TIMEOUT: Duration = REQUEST_TIMEOUT;

/// A copy of a workload. It pays for what else an open job takes, too.
///
/// # Errors
///
/// Returns an error if there is no memory for it.
pub(super) async fn copy_workload(
    memory: &MemoryBudget,
    workload: &[u8],
) -> Result<Bytes, Revoked> {
    let mut account = memory.open(Holder::Request, Instant::now());
    draw(&mut account, JOB_BYTES + workload.len()).await?;
    Ok(into_content(account, workload))
}

/// A copy of data that is sent to a peer: an update of a job, or what the peer has asked for.
///
/// # Errors
///
/// Returns an error if there is no memory for it.
pub(super) async fn copy_outbound(memory: &MemoryBudget, data: &[u8]) -> Result<Bytes, Revoked> {
    let now = Instant::now();
    let mut account = memory.open(Holder::Outbox, now);
    // Peers that read give their memory back soon, and others are made to, so it waits for them.
    account.settle(now)?;
    draw(&mut account, OUTBOUND_BYTES + data.len()).await?;
    Ok(into_content(account, data))
}

/// A copy of the result of a job, which must not be refused: the job has run.
pub(super) fn copy_result(memory: &MemoryBudget, result: &[u8]) -> Bytes {
    into_content(memory.open(Holder::Response, Instant::now()), result)
}

async fn draw(account: &mut MemoryAccount, bytes: usize) -> Result<(), Revoked> {
    let drawn = poll_fn(|cx| account.poll_draw(bytes, Instant::now(), cx));
    timeout(MEMORY_TIMEOUT, drawn).await.unwrap_or(Err(Revoked))
}

/// A copy of data, which takes the place of as much that the account has drawn.
fn into_content(mut account: MemoryAccount, data: &[u8]) -> Bytes {
    account.give_back(data.len());
    let buffer = AccountedBuffer::new(account);
    buffer.replace_by(data.to_vec(), Instant::now()).into()
}
