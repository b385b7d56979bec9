//! Requests as frontends submit them.

use bytes::Bytes;
use pumiceway_decisions::api::{ClassId, TenantId};
use std::sync::Arc;
use std::time::Duration;

/// Identifies a submitted request and the client that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// Gearman's unique id: a client that sends a request again under the same unique id joins the
/// running request or gets the cached response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UniqueId(pub String);

/// The job of a request, as it is sent to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request id, assigned by the client.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Sent unchanged with each attempt, so that endpoints can recognise a repeat.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;

impl Job {
    /// The affinity key: a hash of the last segment of the path, or `None` if the path has only one
    /// segment, which is the class.
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

/// A request as a frontend submits it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Class.
    pub class: ClassId,
    /// Remaining time until the client stops waiting.
    pub remaining: Duration,
    /// Number of slots that the request occupies at an endpoint.
    pub slots: f64,
    /// Memory that the request occupies at an endpoint, in slots' worth: one unit is the memory of
    /// an endpoint divided by the number of its slots.
    pub memory: f64,
    /// Tenant, if any.
    pub tenant: Option<TenantId>,
    /// The job to run.
    pub job: Arc<Job>,
    /// Unique id, if the client gave one.
    pub unique_id: Option<UniqueId>,
}
