//! The leases on the endpoint lists, one for each source.

use super::EndpointSource;
use pumiceway_decisions::api::Timestamp;
use pumiceway_decisions::rules::Lease;

/// One value for each source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PerSource<T> {
    discovery: T,
    gearman: T,
    zookeeper: T,
}

impl<T> PerSource<T> {
    pub(crate) fn get(&self, source: EndpointSource) -> &T {
        match source {
            EndpointSource::Discovery => &self.discovery,
            EndpointSource::Gearman => &self.gearman,
            EndpointSource::ZooKeeper => &self.zookeeper,
        }
    }

    pub(crate) fn get_mut(&mut self, source: EndpointSource) -> &mut T {
        match source {
            EndpointSource::Discovery => &mut self.discovery,
            EndpointSource::Gearman => &mut self.gearman,
            EndpointSource::ZooKeeper => &mut self.zookeeper,
        }
    }
}

impl PerSource<Lease> {
    /// For each source, whether its lease is valid.
    pub(crate) fn valid(&self, now: Timestamp) -> PerSource<bool> {
        PerSource {
            discovery: self.discovery.is_valid(now),
            gearman: self.gearman.is_valid(now),
            zookeeper: self.zookeeper.is_valid(now),
        }
    }

    /// Whether the lease of any source is valid.
    pub(crate) fn any_valid(&self, now: Timestamp) -> bool {
        self.all().iter().any(|lease| lease.is_valid(now))
    }

    /// When the first of the valid leases expires unless it is renewed.
    pub(crate) fn next_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        let valid = self.all().into_iter().filter(|lease| lease.is_valid(now));
        valid.filter_map(|lease| lease.expires_at()).min()
    }

    fn all(&self) -> [Lease; 3] {
        [self.discovery, self.gearman, self.zookeeper]
    }
}
