//! Ids of requests and endpoints, and indices into the settings.

/// Id of a request, chosen by the host; never reused for the same [`Balancer`](crate::Balancer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of an endpoint, chosen by the host. Ids are small integers, dense from 0, and stay the same
/// as long as the endpoint keeps its name.
///
/// The host may reuse an id for another name once the endpoint is gone, no health check of it is in
/// flight, and no open request has an attempt there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// The id as an index into a per-endpoint table.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Index into [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of an additional function, into [`Settings::functions`](super::Settings::functions).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub usize);

/// Index of a zone, below [`Settings::zone_count`](super::Settings::zone_count).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// Index of a machine kind, below [`Settings::kind_count`](super::Settings::kind_count).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub usize);

/// Index into [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
