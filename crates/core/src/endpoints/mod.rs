//! The endpoint set: the endpoints of all sources, under the ids that the balancer uses.
//!
//! Each source has a list and a lease on it. An endpoint keeps its id while it is listed under the
//! same name, and also once it is gone, unless at least [`MAX_GONE_ENDPOINTS`] endpoints have left
//! after it: then its id may be reassigned to a new name. The number of endpoints is limited; while it
//! is reached, endpoints with new names are left out.

mod leases;
mod list;

pub use list::{Endpoint, EndpointAddress, EndpointListUpdate, EndpointSource};

use crate::JobFunction;
use leases::PerSource;
use pumiceway_decisions::api::{
    EndpointEntry, EndpointId, EndpointState, ListKind, Timestamp, ZoneId,
};
use pumiceway_decisions::rules::{self, Denial, Lease, LeaseSignal, LeaseTerms};
use std::collections::{HashMap, HashSet};

/// Maximum number of gone endpoints that keep their ids. It is far above the number of endpoints
/// that leave while a list may be outdated. Without a bound, memory would grow whenever an endpoint
/// starts under a new name.
const MAX_GONE_ENDPOINTS: usize = 1_024;

/// The endpoints of all sources.
#[derive(Default)]
pub(crate) struct EndpointSet {
    /// Maximum number of records.
    max_records: usize,
    /// Indexed by endpoint id.
    records: Vec<EndpointRecord>,
    /// Endpoint ids by name.
    ids: HashMap<String, EndpointId>,
    /// Endpoints that an up-to-date list has shown as draining or gone.
    withdrawn: HashSet<EndpointId>,
    /// Number of updates applied.
    update_count: u64,
    leases: PerSource<Lease>,
    /// Which leases were valid when the balancer was last notified.
    lists_usable: PerSource<bool>,
}

/// The endpoint that an id stands for.
struct EndpointRecord {
    source: EndpointSource,
    endpoint: Endpoint,
    /// Number of the update with which the endpoint became gone. `None` if it is not gone, and
    /// until that update has been applied in full.
    gone_at_update: Option<u64>,
}

/// The result of an update.
pub(crate) struct AppliedUpdate {
    pub(crate) kind: ListKind,
    /// The endpoints of which the balancer must be notified.
    pub(crate) endpoints: Vec<EndpointId>,
    /// Ids that were reassigned to another endpoint.
    pub(crate) reassigned: Vec<EndpointId>,
    /// Number of endpoints that were left out because the set is full.
    pub(crate) left_out: usize,
}

impl AppliedUpdate {
    fn empty(kind: ListKind) -> AppliedUpdate {
        AppliedUpdate {
            kind,
            endpoints: vec![],
            reassigned: vec![],
            left_out: 0,
        }
    }
}

impl EndpointSet {
    pub(crate) fn new(max_records: usize) -> EndpointSet {
        EndpointSet {
            max_records,
            ..EndpointSet::default()
        }
    }

    pub(crate) fn address(&self, id: EndpointId) -> Option<&EndpointAddress> {
        self.records
            .get(id.index())
            .map(|record| &record.endpoint.address)
    }

    /// The zone and cell of an endpoint; the defaults for an unknown id.
    pub(crate) fn zone_and_cell(&self, id: EndpointId) -> (ZoneId, Option<u64>) {
        let endpoint = self.records.get(id.index()).map(|record| &record.endpoint);
        endpoint
            .map(|endpoint| (endpoint.zone, endpoint.cell))
            .unwrap_or_default()
    }

    /// Whether an endpoint lists an additional function. Default functions are not listed: the machine
    /// kind of an endpoint says which of them it may run.
    pub(crate) fn lists(&self, id: EndpointId, function: JobFunction) -> bool {
        let Some(additional) = function.additional else {
            return true;
        };
        let record = self.records.get(id.index());
        record.is_some_and(|record| record.endpoint.functions.contains(additional))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.records.iter().map(|record| &record.endpoint)
    }

    /// Sets the terms of a source's lease.
    pub(crate) fn set_lease_terms(
        &mut self,
        now: Timestamp,
        source: EndpointSource,
        terms: LeaseTerms,
    ) {
        self.leases.get_mut(source).set_terms(now, terms);
    }

    /// Applies a signal to a source's lease.
    pub(crate) fn record_signal(
        &mut self,
        source: EndpointSource,
        as_of: Timestamp,
        signal: LeaseSignal,
    ) {
        self.leases.get_mut(source).record_signal(as_of, signal);
    }

    /// When a source's lease expires unless it is renewed.
    pub(crate) fn lease_expires_at(&self, source: EndpointSource) -> Option<Timestamp> {
        self.leases.get(source).expires_at()
    }

    /// When the first of the valid leases expires unless it is renewed.
    pub(crate) fn next_lease_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        self.leases.next_expiry(now)
    }

    /// Whether any source has a valid lease on its list.
    pub(crate) fn has_valid_lease(&self, now: Timestamp) -> bool {
        self.leases.any_valid(now)
    }

    /// Updates which leases are valid; if that has changed since the last call, returns all listed
    /// endpoints.
    pub(crate) fn refresh_leases(&mut self, now: Timestamp) -> Option<Vec<EndpointId>> {
        let lists_usable = self.leases.valid(now);
        let previous = std::mem::replace(&mut self.lists_usable, lists_usable);
        (previous != lists_usable).then(|| self.listed())
    }

    fn listed(&self) -> Vec<EndpointId> {
        let is_listed = |record: &EndpointRecord| record.endpoint.state != EndpointState::Gone;
        let listed = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, record)| is_listed(record));
        listed.map(|(index, _)| EndpointId(index as u32)).collect()
    }

    /// Whether a request or a health check may be sent to an endpoint now, and the latest time to
    /// write its first byte (`None`: no limit).
    pub(crate) fn write_permission(
        &self,
        now: Timestamp,
        id: EndpointId,
    ) -> Result<Option<Timestamp>, Denial> {
        let record = self
            .records
            .get(id.index())
            .ok_or(Denial::UnknownEndpoint)?;
        rules::endpoint_permission(now, record.endpoint.state, self.leases.get(record.source))
    }

    /// The entry of an endpoint for the balancer. A ready endpoint is unconfirmed while its source
    /// has no valid lease.
    pub(crate) fn entry(&self, id: EndpointId) -> EndpointEntry<'_> {
        let EndpointRecord {
            source, endpoint, ..
        } = &self.records[id.index()];
        let is_usable = *self.lists_usable.get(*source);
        EndpointEntry {
            endpoint: id,
            name: &endpoint.name,
            zone: endpoint.zone,
            kind: endpoint.kind,
            functions: &endpoint.functions,
            cell: endpoint.cell,
            state: match endpoint.state {
                EndpointState::Ready if !is_usable => EndpointState::Unconfirmed,
                state => state,
            },
            started_at: endpoint.started_at,
            relative_size: endpoint.relative_size,
            skips_slow_start: endpoint.skips_slow_start,
            max_concurrent: endpoint.max_concurrent,
        }
    }

    /// Applies an update. `in_use` returns the ids that must not be reassigned, as attempts or
    /// health checks still refer to them.
    pub(crate) fn apply(
        &mut self,
        source: EndpointSource,
        update: EndpointListUpdate,
        in_use: impl Fn() -> HashSet<EndpointId>,
    ) -> AppliedUpdate {
        let (kind, mut endpoints, is_outdated) = match update {
            EndpointListUpdate::Snapshot(endpoints) => (ListKind::Snapshot, endpoints, false),
            EndpointListUpdate::OutdatedSnapshot(endpoints) => {
                (ListKind::Snapshot, endpoints, true)
            }
            EndpointListUpdate::Bootstrap(endpoints) => (ListKind::Bootstrap, endpoints, false),
            EndpointListUpdate::Delta(endpoints) => (ListKind::Delta, endpoints, false),
            EndpointListUpdate::OutdatedDelta(endpoints) => (ListKind::Delta, endpoints, true),
            EndpointListUpdate::Unchanged => return AppliedUpdate::empty(ListKind::Delta),
            EndpointListUpdate::Lost(_) => return AppliedUpdate::empty(ListKind::SourceLost),
        };
        if is_outdated {
            for endpoint in &mut endpoints {
                self.preserve_withdrawal(endpoint);
            }
        }
        let is_whole_list = kind != ListKind::Delta;
        if is_whole_list {
            self.mark_all_gone(source, is_outdated);
        }
        let mut applied = AppliedUpdate::empty(kind);
        self.merge(source, endpoints, is_outdated, in_use, &mut applied);
        self.record_gone();
        if is_whole_list {
            // For the balancer, a whole list replaces the lists of all sources.
            applied.endpoints = self.listed();
        }
        applied
    }

    /// If an up-to-date list has shown an endpoint as draining or gone, it stays so although an
    /// outdated list shows it as ready. It becomes ready again if it has restarted since, or with
    /// an up-to-date list or delta.
    fn preserve_withdrawal(&self, endpoint: &mut Endpoint) {
        let Some(id) = self
            .ids
            .get(&endpoint.name)
            .filter(|id| self.withdrawn.contains(id))
        else {
            return;
        };
        let known = &self.records[id.index()].endpoint;
        if endpoint.state == EndpointState::Ready && known.started_at >= endpoint.started_at {
            endpoint.state = known.state;
            endpoint.started_at = known.started_at;
        }
    }

    fn mark_all_gone(&mut self, source: EndpointSource, is_outdated: bool) {
        for (index, record) in self
            .records
            .iter_mut()
            .enumerate()
            .filter(|(_, record)| record.source == source)
        {
            record.endpoint.state = EndpointState::Gone;
            if !is_outdated {
                self.withdrawn.insert(EndpointId(index as u32));
            }
        }
    }

    fn merge(
        &mut self,
        source: EndpointSource,
        mut endpoints: Vec<Endpoint>,
        is_outdated: bool,
        in_use: impl Fn() -> HashSet<EndpointId>,
        applied: &mut AppliedUpdate,
    ) {
        // Known names first: otherwise an endpoint that returns could lose its id to a new name in
        // the same list.
        endpoints.sort_by_cached_key(|endpoint| !self.ids.contains_key(&endpoint.name));
        let mut free_ids: Option<Vec<EndpointId>> = None;
        for endpoint in endpoints {
            let is_ready = endpoint.state == EndpointState::Ready;
            let id = match self.ids.get(&endpoint.name).copied() {
                // Another source already lists an endpoint under the same name, which stays.
                Some(id) if self.records[id.index()].source != source => continue,
                Some(id) => {
                    self.records[id.index()].endpoint = endpoint;
                    id
                }
                None => {
                    let free_ids = free_ids.get_or_insert_with(|| self.reusable_ids(&in_use()));
                    let free_id = free_ids.pop();
                    if free_id.is_none() && self.records.len() >= self.max_records {
                        applied.left_out += 1;
                        continue;
                    }
                    self.insert(source, endpoint, free_id, &mut applied.reassigned)
                }
            };
            if is_ready {
                self.withdrawn.remove(&id);
            } else if !is_outdated {
                self.withdrawn.insert(id);
            }
            applied.endpoints.push(id);
        }
    }

    /// Adds an endpoint with a new name, under the given free id or a new one.
    fn insert(
        &mut self,
        source: EndpointSource,
        endpoint: Endpoint,
        free_id: Option<EndpointId>,
        reassigned: &mut Vec<EndpointId>,
    ) -> EndpointId {
        let id = free_id.unwrap_or(EndpointId(self.records.len() as u32));
        self.ids.insert(endpoint.name.clone(), id);
        let record = EndpointRecord {
            source,
            endpoint,
            gone_at_update: None,
        };
        if free_id.is_some() {
            let replaced = std::mem::replace(&mut self.records[id.index()], record);
            self.ids.remove(&replaced.endpoint.name);
            self.withdrawn.remove(&id);
            reassigned.push(id);
        } else {
            self.records.push(record);
        }
        id
    }

    /// Ids that may be reassigned, to be taken from the end: those of endpoints that were gone
    /// before this update, except for the last [`MAX_GONE_ENDPOINTS`] to leave and for ids in use.
    fn reusable_ids(&self, in_use: &HashSet<EndpointId>) -> Vec<EndpointId> {
        let mut gone = Vec::new();
        for (index, record) in self.records.iter().enumerate() {
            if let Some(since) = record
                .gone_at_update
                .filter(|_| record.endpoint.state == EndpointState::Gone)
            {
                gone.push((since, EndpointId(index as u32)));
            }
        }
        gone.sort_unstable();
        gone.truncate(gone.len().saturating_sub(MAX_GONE_ENDPOINTS));
        gone.into_iter()
            .rev()
            .map(|(_, id)| id)
            .filter(|id| !in_use.contains(id))
            .collect()
    }

    /// Counts the update, and records for each gone endpoint since which update it is gone.
    fn record_gone(&mut self) {
        self.update_count += 1;
        for record in &mut self.records {
            let is_gone = record.endpoint.state == EndpointState::Gone;
            record.gone_at_update =
                is_gone.then_some(record.gone_at_update.unwrap_or(self.update_count));
        }
    }
}
