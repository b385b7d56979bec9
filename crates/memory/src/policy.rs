//! Decides how much each kind of holder may draw, and who is revoked while memory is short.

use std::time::{Duration, Instant};

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// The buffers of a client's connection.
    Connection,
    /// A request or packet of a client, from its first byte until it is done.
    Request,
    /// A response of an endpoint, from its first byte until the client has received the result.
    Response,
    /// An endpoint list, while it is read and parsed.
    EndpointList,
    /// What is queued for a peer that does not read as fast as it is sent to.
    Outbox,
}

impl Holder {
    /// Every kind of holder.
    pub const ALL: [Holder; 5] = [
        Holder::Connection,
        Holder::Request,
        Holder::Response,
        Holder::EndpointList,
        Holder::Outbox,
    ];

    /// The name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Holder::Connection => "connection",
            Holder::Request => "request",
            Holder::Response => "response",
            Holder::EndpointList => "endpoint_list",
            Holder::Outbox => "outbox",
        }
    }

    /// How much all holders of this kind together may draw of `total`, if one of them is to hold
    /// `held` bytes.
    ///
    /// Clients may not use up what responses and lists need, without which nothing that they have
    /// begun is completed. Of requests, the last part is for small ones.
    pub(crate) fn limit(self, total: usize, held: usize) -> usize {
        match self {
            Holder::Connection => total / 2,
            Holder::Request if held <= SMALL_REQUEST_BYTES => total / 8 * 3,
            Holder::Request | Holder::Outbox => total / 4,
            Holder::EndpointList => total / 4 * 3,
            Holder::Response => total,
        }
    }
}

/// A request of at most this size counts as small.
const SMALL_REQUEST_BYTES: usize = 8 << 10;

/// How long an amount has been held, weighed by its size. The account with the highest burden is
/// revoked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Burden(u128);

impl Burden {
    /// The burden of `held` bytes since a time.
    pub(crate) fn new(held: usize, since: Instant, now: Instant) -> Burden {
        let held_for = now.saturating_duration_since(since) + MIN_HELD_FOR;
        Burden(held as u128 * held_for.as_micros())
    }
}

/// Added to the time for which an amount has been held, so that among new accounts the largest has
/// the highest burden.
const MIN_HELD_FOR: Duration = Duration::from_millis(1);
