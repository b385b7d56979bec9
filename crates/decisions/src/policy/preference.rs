//! The order in which endpoints are considered for a request.
//!
//! For each class, the endpoints that it may use are grouped into blocks: three for the home zone,
//! then three for all other zones together. The three are the general kinds, the kinds that a more
//! restricted class requires, and the kinds too slow for the tightest objective. Within a block,
//! endpoints are in the order of their names. The order depends only on the endpoint list and on
//! learnt slots. Additional functions have orders of their own, of the endpoints that list them.
//!
//! The order departs from the Allocation Priority Policies in two ways. In a common order of names,
//! all dispatchers would start at the head of each block, so each starts at a position of its own.
//! Where dispatchers outnumber endpoints, the order is computed for each request: in the order of
//! the list, few dispatchers would find the endpoints that are warm for a request, or use their
//! turns at endpoints in slow start.

use super::Balancer;
use crate::api::{Class, EndpointId, FunctionSet, KindId, Timestamp};
use crate::math::{gcd, golden_multiple, hash};
use crate::state::{Endpoint, Request};
use crate::time::micros_f64;
use std::borrow::Cow;

/// Blocks for the home zone, and as many for all other zones together.
const BLOCKS_PER_ZONE_GROUP: u8 = 3;
const BLOCKS: u8 = 2 * BLOCKS_PER_ZONE_GROUP;
/// Block of the kinds that no more restricted class requires; the first in a zone group.
const GENERAL_KINDS: u8 = 0;
/// Block of the kinds that other classes are restricted to, for a class that may use any kind.
const REQUIRED_KINDS: u8 = 1;
/// Block of the kinds too slow for the tightest objective; the last in a zone group.
const SLOW_KINDS: u8 = 2;
/// A kind is slow if its relative size per slot, times the smallest objective stretch, is below
/// this multiple of the mean size per slot.
const SLOW_KIND_MULTIPLE: f64 = 1.1;
/// Requests with the same affinity key use one in this many of the candidates ...
const AFFINITY_DIVISOR: usize = 4;
/// ... but at least this many candidates.
const MIN_AFFINITY_ENDPOINTS: usize = 4;
/// A request waits for these endpoints for this share of its objective before any other may serve
/// it.
const AFFINITY_WAIT: f64 = 0.3;

/// An endpoint in the preference order.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Number of its block; lower is preferred.
    pub(super) block: u8,
    pub(super) endpoint: EndpointId,
}

/// The endpoints that may serve a class, in the order in which they are considered.
#[derive(Default)]
pub(super) struct PreferenceOrder {
    candidates: Vec<Candidate>,
    /// Number of candidates in the home zone, which come first.
    home_count: usize,
}

static EMPTY: PreferenceOrder = PreferenceOrder {
    candidates: Vec::new(),
    home_count: 0,
};

impl PreferenceOrder {
    /// An order without endpoints.
    pub(super) fn empty() -> &'static PreferenceOrder {
        &EMPTY
    }

    pub(super) fn len(&self) -> usize {
        self.candidates.len()
    }

    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }
}

/// Rank of an endpoint in the order for one request in a large fleet, the best first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    SlowStart,
    Normal,
    Slow,
    LostZone,
}

/// Sums over the ready endpoints of a kind.
#[derive(Clone, Copy, Default)]
struct KindTotals {
    /// Sum of the relative sizes; NaN if one is not known.
    size: f64,
    slots: f64,
}

impl Balancer {
    /// Rebuilds the preference orders after a change of the endpoint list or of learnt slots.
    pub(super) fn rebuild_preferences(&mut self) {
        let ready = self.ready_by_name();
        self.slow_kinds = self.find_slow_kinds(&ready);
        let order = |class: &Class| {
            let may_serve = |id: &EndpointId| {
                let endpoint = self.state.endpoint(*id);
                class.allows(endpoint.zone, endpoint.kind)
            };
            let endpoints: Vec<_> = ready.iter().copied().filter(may_serve).collect();
            self.preference_order(class, &endpoints)
        };
        self.preferences = self.settings.classes.iter().map(order).collect();
        self.function_orders.discard_all();
        self.count_endpoints(&ready);
    }

    /// Brings the preference orders up to date after only the functions of some endpoints have
    /// changed.
    pub(super) fn update_preferences_of(&mut self, functions: &FunctionSet) {
        self.function_orders.discard(functions);
        self.count_endpoints(&self.ready_by_name());
    }

    /// The endpoints that accept requests, in the order of their names.
    pub(super) fn ready_by_name(&self) -> Vec<EndpointId> {
        let by_name = self.state.by_name.iter().copied();
        by_name
            .filter(|&id| self.state.endpoint(id).is_ready())
            .collect()
    }

    fn count_endpoints(&mut self, ready: &[EndpointId]) {
        let classes = 0..self.settings.classes.len();
        self.endpoint_counts = if self.settings.functions.is_empty() {
            self.preferences.iter().map(PreferenceOrder::len).collect()
        } else {
            classes
                .map(|class| self.count_endpoints_of_class(class, ready))
                .collect()
        };
    }

    /// Whether each machine kind is too slow for the tightest objective.
    fn find_slow_kinds(&self, ready: &[EndpointId]) -> Vec<bool> {
        let totals = self.kind_totals(ready);
        let size: f64 = totals.iter().map(|kind| kind.size).sum();
        let slots: f64 = totals.iter().map(|kind| kind.slots).sum();
        let mean_size_per_slot = size / slots;
        let smallest_stretch = self
            .settings
            .classes
            .iter()
            .map(|class| class.objective_stretch)
            .fold(f64::MAX, f64::min)
            .max(1.0);
        // If one size is not known, the sums are NaN and no kind counts as slow.
        let is_slow_kind = |KindTotals { size, slots }| {
            size / slots * smallest_stretch < SLOW_KIND_MULTIPLE * mean_size_per_slot
        };
        totals.into_iter().map(is_slow_kind).collect()
    }

    fn kind_totals(&self, ready: &[EndpointId]) -> Vec<KindTotals> {
        let mut totals = vec![KindTotals::default(); self.settings.kind_count];
        for endpoint in ready.iter().map(|&id| self.state.endpoint(id)) {
            let kind = &mut totals[endpoint.kind.0];
            kind.size += if endpoint.relative_size > 0.0 {
                endpoint.relative_size
            } else {
                f64::NAN
            };
            kind.slots += self.state.kind_slots[endpoint.kind.0].max(1.0);
        }
        totals
    }

    /// The order of the endpoints that may serve a class or one of its functions, which are given in
    /// the order of their names.
    pub(super) fn preference_order(
        &self,
        class: &Class,
        endpoints: &[EndpointId],
    ) -> PreferenceOrder {
        let classes = &self.settings.classes;
        let is_required = |kind| {
            classes
                .iter()
                .flat_map(|class| &class.allowed_kinds)
                .any(|kinds| kinds.contains(&kind))
        };
        let block_of_kind = |kind: KindId| {
            if self.slow_kinds[kind.0] {
                SLOW_KINDS
            } else if class.allowed_kinds.is_none() && is_required(kind) {
                REQUIRED_KINDS
            } else {
                GENERAL_KINDS
            }
        };
        let mut order = PreferenceOrder::default();
        for block in 0..BLOCKS {
            let is_home_block = block < BLOCKS_PER_ZONE_GROUP;
            let is_member = |endpoint: &Endpoint| {
                (Some(endpoint.zone) == self.settings.home_zone) == is_home_block
                    && block_of_kind(endpoint.kind) == block % BLOCKS_PER_ZONE_GROUP
            };
            let members: Vec<_> = endpoints
                .iter()
                .copied()
                .filter(|&id| is_member(self.state.endpoint(id)))
                .collect();
            let ordered = self.order_for_instance(&members);
            order
                .candidates
                .extend(ordered.map(|endpoint| Candidate { block, endpoint }));
            if is_home_block {
                order.home_count = order.candidates.len();
            }
        }
        order
    }

    /// The members of a block, starting at this dispatcher's own position.
    ///
    /// Where several dispatchers share a starting position, the requests that find the first
    /// endpoint full would all go to the same second one. Each dispatcher therefore uses a step of
    /// its own that is coprime to the number of members, and so visits every member once.
    fn order_for_instance(&self, members: &[EndpointId]) -> impl Iterator<Item = EndpointId> {
        let count = members.len();
        let start = count * self.settings.instance_index / self.settings.instance_count;
        let mut step = 1;
        if self.settings.instance_count > count && count > 1 {
            step = 1
                + (golden_multiple(self.settings.instance_index).fract() * (count - 1) as f64)
                    as usize;
            while gcd(step, count) > 1 {
                step -= 1;
            }
        }
        (0..count).map(move |position| members[(start + position * step) % count])
    }

    /// The candidates for one request in order, with or without the endpoints of other zones.
    pub(super) fn candidates_for(
        &self,
        now: Timestamp,
        request: &Request,
        across_zones: bool,
        home_zone_is_lost: bool,
    ) -> Cow<'_, [Candidate]> {
        let order = self.order_for(request);
        let mut candidates = Cow::Borrowed(if across_zones {
            &order.candidates[..]
        } else {
            &order.candidates[..order.home_count]
        });
        if order.len() < self.settings.instance_count {
            self.order_for_large_fleet(
                now,
                request,
                across_zones,
                home_zone_is_lost,
                candidates.to_mut(),
            );
        }
        candidates
    }

    /// Orders the candidates where dispatchers outnumber the endpoints of a class. Endpoints in
    /// slow start come first, so that their turns are used. Slow endpoints come last, and are left
    /// out until the request may cross zones.
    fn order_for_large_fleet(
        &self,
        now: Timestamp,
        request: &Request,
        across_zones: bool,
        home_zone_is_lost: bool,
        candidates: &mut Vec<Candidate>,
    ) {
        let polled = self.is_large_polled_fleet();
        candidates.retain(|candidate| {
            let endpoint = self.state.endpoint(candidate.endpoint);
            endpoint.excluded_until.is_none() && (across_zones || !self.is_slow(endpoint))
        });
        self.retain_affinity_endpoints(now, request, candidates);
        let affinity = |endpoint: &Endpoint| {
            request
                .affinity_key
                .map(|key| hash(key ^ endpoint.name_hash))
        };
        candidates.sort_by_cached_key(|candidate| {
            let endpoint = self.state.endpoint(candidate.endpoint);
            let rank = if home_zone_is_lost && Some(endpoint.zone) == self.settings.home_zone {
                Rank::LostZone
            } else if polled && self.time_in_slow_start(now, endpoint).is_some() {
                Rank::SlowStart
            } else if self.is_slow(endpoint) {
                Rank::Slow
            } else {
                Rank::Normal
            };
            (rank, candidate.block, affinity(endpoint))
        });
        self.swap_first_two(request, candidates);
    }

    /// Restricts the candidates for a while to the few endpoints that serve the affinity key of the
    /// request.
    ///
    /// Otherwise every endpoint would fetch the data of every key, and all would wait for the store
    /// from which they fetch it. While these few endpoints are full, the request waits a little:
    /// fetching the data elsewhere too would keep all endpoints full for longer.
    fn retain_affinity_endpoints(
        &self,
        now: Timestamp,
        request: &Request,
        candidates: &mut Vec<Candidate>,
    ) {
        let Some(key) = request
            .affinity_key
            .filter(|_| self.is_large_polled_fleet())
        else {
            return;
        };
        let objective_us = micros_f64(self.settings.classes[request.class.0].latency_objective);
        let waited_us = now.micros_since(request.started_at) as f64;
        let count = (candidates.len() / AFFINITY_DIVISOR).max(MIN_AFFINITY_ENDPOINTS);
        if waited_us < objective_us * AFFINITY_WAIT && count < candidates.len() {
            let affinity_hash = |candidate: &Candidate| {
                hash(key ^ self.state.endpoint(candidate.endpoint).name_hash)
            };
            candidates.select_nth_unstable_by_key(count, affinity_hash);
            candidates.truncate(count);
        }
    }

    /// Swaps the first two candidates for an affinity key on half of the dispatchers. All
    /// dispatchers have the same order of endpoints for a key, so its requests would otherwise all
    /// go to the same one first.
    fn swap_first_two(&self, request: &Request, candidates: &mut [Candidate]) {
        let instance = self.settings.instance_index as u64;
        let swaps = request
            .affinity_key
            .is_some_and(|key| hash(key ^ instance) & 1 == 1);
        if let Some(first_two) = candidates.get_mut(..2)
            && swaps
            && first_two[0].block == first_two[1].block
        {
            first_two.reverse();
        }
    }
}
