//! Requests as a frontend hands them in.

use bytes::Bytes;
use pumiceway_decisions::api::{ClassId, TenantId};
use std::sync::Arc;
use std::time::Duration;

/// Handle of a client that waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// What a client calls a request by when it sends it again: the request then joins the one that is
/// running, or gets the cached response. Gearman's unique id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UniqueId(pub String);

/// What is to be done, as it is passed on to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request id that the client gave it.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Passed on byte for byte with each attempt; endpoints recognise a repeat by it.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Basis and multiplier of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

impl Job {
    /// A hash of what the job is about: of the last segment of a path that has more than the class.
    pub fn affinity_key(&self) -> Option<u64> {
        let path = self
            .path
            .split('?')
            .next()
            .unwrap_or_default()
            .trim_matches('/');
        let (_, key) = path.rsplit_once('/')?;
        let hash = |state: u64, byte: u8| (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        Some(key.bytes().fold(FNV_OFFSET_BASIS, hash))
    }
}

/// A request as a frontend hands it in.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory that it takes.
    pub memory: f64,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// What is to be done.
    pub job: Arc<Job>,
    /// What its client calls it by when it sends it again.
    pub unique_id: Option<UniqueId>,
}
