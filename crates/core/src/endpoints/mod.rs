//! The endpoint set: endpoints as their sources list them, under the handles that the decisions
//! use.
//!
//! Each source has a list and a lease on it. An endpoint keeps its handle for as long as it is
//! listed under the same name, and for a long time after; the handle of one that has long been gone
//! is given to a new name.

mod leases;
mod list;

pub use list::{Endpoint, EndpointAddress, EndpointListUpdate, EndpointSource};

use leases::PerSource;
use pumiceway_decisions::api::{
    EndpointEntry, EndpointId, EndpointState, ListKind, Timestamp, ZoneId,
};
use pumiceway_decisions::rules::{self, Denial, Lease, LeaseSignal, LeaseTerms};
use std::collections::{HashMap, HashSet};

/// This many endpoints that are gone are remembered, far more than leave while a list may lag
/// behind: without a bound, memory would grow with each start of an endpoint under a new name.
const MAX_GONE: usize = 1_024;

/// All endpoints, of all sources.
#[derive(Default)]
pub(crate) struct EndpointSet {
    /// By handle.
    rows: Vec<Row>,
    ids: HashMap<String, EndpointId>,
    /// Endpoints that a list which was up to date has shown as draining or gone.
    departed: HashSet<EndpointId>,
    /// Updates that were applied.
    update_count: u64,
    leases: PerSource<Lease>,
    /// Which of the leases were valid when the decisions were last told.
    usable: PerSource<bool>,
}

/// What a handle stands for.
struct Row {
    source: EndpointSource,
    endpoint: Endpoint,
    /// The update with which it was first gone; `None` while it is not, and while that update is
    /// applied.
    gone_at_update: Option<u64>,
}

/// What has come of an update.
pub(crate) struct AppliedUpdate {
    pub(crate) kind: ListKind,
    /// The endpoints that the decisions are to be told of.
    pub(crate) endpoints: Vec<EndpointId>,
    /// Handles that stand for another endpoint from now on.
    pub(crate) reassigned: Vec<EndpointId>,
}

impl AppliedUpdate {
    fn nothing(kind: ListKind) -> AppliedUpdate {
        AppliedUpdate {
            kind,
            endpoints: vec![],
            reassigned: vec![],
        }
    }
}

impl EndpointSet {
    pub(crate) fn address(&self, id: EndpointId) -> Option<&EndpointAddress> {
        self.rows.get(id.index()).map(|row| &row.endpoint.address)
    }

    /// Zone and cell of an endpoint.
    pub(crate) fn zone_and_cell(&self, id: EndpointId) -> (ZoneId, Option<u64>) {
        let endpoint = self.rows.get(id.index()).map(|row| &row.endpoint);
        endpoint
            .map(|endpoint| (endpoint.zone, endpoint.cell))
            .unwrap_or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.iter().map(|row| &row.endpoint)
    }

    /// Sets the terms of the lease on the list of a source.
    pub(crate) fn set_lease_terms(
        &mut self,
        now: Timestamp,
        source: EndpointSource,
        terms: LeaseTerms,
    ) {
        self.leases.get_mut(source).set_terms(now, terms);
    }

    /// Takes in what a source has said of its list.
    pub(crate) fn note_signal(
        &mut self,
        source: EndpointSource,
        as_of: Timestamp,
        signal: LeaseSignal,
    ) {
        self.leases.get_mut(source).record_signal(as_of, signal);
    }

    /// When the lease on the list of a source ends unless it is renewed.
    pub(crate) fn lease_expires_at(&self, source: EndpointSource) -> Option<Timestamp> {
        self.leases.get(source).expires_at()
    }

    /// When the next of the valid leases ends unless it is renewed.
    pub(crate) fn next_lease_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        self.leases.next_expiry(now)
    }

    /// Whether the list of any source may be used.
    pub(crate) fn has_valid_lease(&self, now: Timestamp) -> bool {
        self.leases.any_valid(now)
    }

    /// Where the set of valid leases has changed since the last review: all endpoints that are
    /// listed.
    pub(crate) fn refresh_leases(&mut self, now: Timestamp) -> Option<Vec<EndpointId>> {
        let usable = self.leases.valid(now);
        let before = std::mem::replace(&mut self.usable, usable);
        (before != usable).then(|| self.listed())
    }

    fn listed(&self) -> Vec<EndpointId> {
        let is_listed = |row: &Row| row.endpoint.state != EndpointState::Gone;
        let listed = self
            .rows
            .iter()
            .enumerate()
            .filter(|(_, row)| is_listed(row));
        listed.map(|(index, _)| EndpointId(index as u32)).collect()
    }

    /// Whether anything new may be sent to an endpoint, and until when its first byte may be
    /// written.
    pub(crate) fn write_permission(
        &self,
        now: Timestamp,
        id: EndpointId,
    ) -> Result<Option<Timestamp>, Denial> {
        let row = self.rows.get(id.index()).ok_or(Denial::UnknownEndpoint)?;
        rules::endpoint_permission(now, row.endpoint.state, self.leases.get(row.source))
    }

    /// An endpoint as the decisions see it.
    pub(crate) fn entry(&self, id: EndpointId) -> EndpointEntry<'_> {
        let Row {
            source, endpoint, ..
        } = &self.rows[id.index()];
        let is_usable = *self.usable.get(*source);
        EndpointEntry {
            endpoint: id,
            name: &endpoint.name,
            zone: endpoint.zone,
            kind: endpoint.kind,
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

    /// Applies an update; `in_use` names the handles that something may still come for.
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
            EndpointListUpdate::Unchanged => return AppliedUpdate::nothing(ListKind::Delta),
            EndpointListUpdate::Lost(_) => return AppliedUpdate::nothing(ListKind::SourceLost),
        };
        if is_outdated {
            for endpoint in &mut endpoints {
                self.keep_departure(endpoint);
            }
        }
        let is_whole_list = kind != ListKind::Delta;
        if is_whole_list {
            self.mark_all_gone(source, is_outdated);
        }
        let mut applied = AppliedUpdate::nothing(kind);
        self.merge(source, endpoints, is_outdated, in_use, &mut applied);
        self.note_gone();
        if is_whole_list {
            // A whole list replaces the lists of all sources for the decisions.
            applied.endpoints = self.listed();
        }
        applied
    }

    /// An outdated list does not take back that an endpoint drains or is gone. It is ready again
    /// once it has started anew, or by a list that is up to date or a change since.
    fn keep_departure(&self, endpoint: &mut Endpoint) {
        let Some(id) = self
            .ids
            .get(&endpoint.name)
            .filter(|id| self.departed.contains(id))
        else {
            return;
        };
        let known = &self.rows[id.index()].endpoint;
        if endpoint.state == EndpointState::Ready && known.started_at >= endpoint.started_at {
            endpoint.state = known.state;
            endpoint.started_at = known.started_at;
        }
    }

    fn mark_all_gone(&mut self, source: EndpointSource, is_outdated: bool) {
        for (index, row) in self
            .rows
            .iter_mut()
            .enumerate()
            .filter(|(_, row)| row.source == source)
        {
            row.endpoint.state = EndpointState::Gone;
            if !is_outdated {
                self.departed.insert(EndpointId(index as u32));
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
        // Known names first: otherwise one that comes back could lose its handle to a new name of
        // the same list.
        endpoints.sort_by_cached_key(|endpoint| !self.ids.contains_key(&endpoint.name));
        let mut free_ids: Option<Vec<EndpointId>> = None;
        for endpoint in endpoints {
            let is_ready = endpoint.state == EndpointState::Ready;
            let id = match self.ids.get(&endpoint.name).copied() {
                // A source does not take over what another lists under the same name.
                Some(id) if self.rows[id.index()].source != source => continue,
                Some(id) => {
                    self.rows[id.index()].endpoint = endpoint;
                    id
                }
                None => {
                    let free_ids = free_ids.get_or_insert_with(|| self.reusable_ids(&in_use()));
                    self.insert(source, endpoint, free_ids.pop(), &mut applied.reassigned)
                }
            };
            if is_ready {
                self.departed.remove(&id);
            } else if !is_outdated {
                self.departed.insert(id);
            }
            applied.endpoints.push(id);
        }
    }

    /// Adds a new name, under a handle that is free or a new one.
    fn insert(
        &mut self,
        source: EndpointSource,
        endpoint: Endpoint,
        free_id: Option<EndpointId>,
        reassigned: &mut Vec<EndpointId>,
    ) -> EndpointId {
        let id = free_id.unwrap_or(EndpointId(self.rows.len() as u32));
        self.ids.insert(endpoint.name.clone(), id);
        let row = Row {
            source,
            endpoint,
            gone_at_update: None,
        };
        if free_id.is_some() {
            let before = std::mem::replace(&mut self.rows[id.index()], row);
            self.ids.remove(&before.endpoint.name);
            self.departed.remove(&id);
            reassigned.push(id);
        } else {
            self.rows.push(row);
        }
        id
    }

    /// Handles for new names, the one to take first at the end: of the endpoints that were gone
    /// before this update, all but the last to leave, and none that anything may come for.
    fn reusable_ids(&self, in_use: &HashSet<EndpointId>) -> Vec<EndpointId> {
        let mut gone = Vec::new();
        for (index, row) in self.rows.iter().enumerate() {
            if let Some(since) = row
                .gone_at_update
                .filter(|_| row.endpoint.state == EndpointState::Gone)
            {
                gone.push((since, EndpointId(index as u32)));
            }
        }
        gone.sort_unstable();
        gone.truncate(gone.len().saturating_sub(MAX_GONE));
        gone.into_iter()
            .rev()
            .map(|(_, id)| id)
            .filter(|id| !in_use.contains(id))
            .collect()
    }

    fn note_gone(&mut self) {
        self.update_count += 1;
        for row in &mut self.rows {
            let is_gone = row.endpoint.state == EndpointState::Gone;
            row.gone_at_update = is_gone.then_some(row.gone_at_update.unwrap_or(self.update_count));
        }
    }
}
