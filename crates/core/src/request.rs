//! Requests as frontends submit them.

use crate::JobFunction;
use bytes::Bytes;
use pumiceway_decisions::api::TenantId;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a submitted request and the client that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// Identifies a job among those of all clients: a client that submits it again joins the running
/// request or gets the cached response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UniqueId {
    pub(crate) function: JobFunction,
    pub(crate) name: String,
}

/// By what a request is recognised that a client submits again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Identity {
    /// Its request id, which its client assigned.
    Request(String),
    /// The unique id of its job.
    Job(UniqueId),
}

/// The job of a request, as it is sent to endpoints.
///
/// Three names may identify it, each for another purpose. The id stands for one submission of the
/// job. The unique id stands for the job itself; only Gearman clients give one. The idempotency key
/// stands for the effect of the job, and endpoints recognise a repeat by it; see
/// [`repeat_id`](Job::repeat_id).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request id, assigned as [`ClientRequest::id_origin`] says.
    pub id: String,
    /// Gearman's unique id, if the client gave one.
    pub unique_id: Option<String>,
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
    /// The name by which an endpoint recognises a repeat of the job. It is the same with each attempt
    /// and over each protocol: the idempotency key if there is one. Otherwise it is what the client
    /// calls the job.
    pub fn repeat_id(&self) -> &str {
        let name = self.idempotency_key.as_ref().or(self.unique_id.as_ref());
        name.unwrap_or(&self.id)
    }

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

/// Who assigned the id of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdOrigin {
    /// The client, which may submit a request under it again.
    Client,
    /// The frontend, which draws a new one for each request.
    Frontend,
}

/// A request as a frontend submits it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its class and function. A request that names a class alone is one of its default function.
    pub function: JobFunction,
    /// Remaining time until the client stops waiting.
    pub remaining: Duration,
    /// Number of slots that the request occupies at an endpoint.
    pub slots: f64,
    /// Memory that the request occupies at an endpoint, in slots' worth: one unit is the memory of
    /// an endpoint divided by the number of its slots.
    pub memory: f64,
    /// Tenant, if any.
    pub tenant: Option<TenantId>,
    /// Who assigned the id of the job.
    pub id_origin: IdOrigin,
    /// The job to run.
    pub job: Arc<Job>,
}

impl ClientRequest {
    /// By what the request is recognised if it is submitted again; `None` if it cannot be.
    pub(crate) fn identity(&self) -> Option<Identity> {
        match (&self.job.unique_id, self.id_origin) {
            (Some(name), _) => Some(Identity::Job(UniqueId {
                function: self.function,
                name: name.clone(),
            })),
            (None, IdOrigin::Client) => Some(Identity::Request(self.job.id.clone())),
            (None, IdOrigin::Frontend) => None,
        }
    }
}
