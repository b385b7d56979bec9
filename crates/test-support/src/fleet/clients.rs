//! Clients, which send requests to random instances and may disconnect early.
//!
//! The usual traffic is a Poisson process. In a deployment with tenants each tenant has a share of
//! it, and a flood multiplies the share of the first tenant.

use super::event_queue::{Incarnation, SimulationEvent};
use super::micros_f64;
use super::plan::{Disruption, SIMULATION_START};
use super::settings::{MICROS_PER_SECOND, QUOTA_USAGE, TENANT_TRAFFIC, mean_request_gap_us};
use super::simulation::Simulation;
use super::summary::WeightTotals;
use super::workload::Requirements;
use bytes::Bytes;
use pumiceway_core::{ClientRequest, Event, IdOrigin, Job, JobFunction, RequestHandle};
use pumiceway_decisions::api::{ClassId, Tenant, TenantId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// The traffic of the first tenant during a flood, as a multiple of its quota.
const FLOOD_MULTIPLE: f64 = 5.0;
/// For this long after an instance was asked to stop, all clients still select it; later, one in
/// `STOPPING_SELECTED_ONE_IN` does.
const STOPPING_SELECTED_FOR: Duration = Duration::from_millis(300);
const STOPPING_SELECTED_ONE_IN: u32 = 4;
/// One in this many impatient clients disconnects early, within this time.
const DISCONNECTS_ONE_IN: u32 = 6;
const DISCONNECTS_WITHIN: Duration = Duration::from_millis(600);

/// A request of a client, including its retries.
#[derive(Clone, Copy)]
pub(super) struct SimulatedRequest {
    pub requirements: Requirements,
    pub retries: u32,
    /// When the client sent the request for the first time.
    pub first_submitted_at: Timestamp,
    pub tenant: Option<usize>,
    pub is_within_quota: bool,
}

/// A request, or a retry of one, that was submitted to an instance.
pub(super) struct OpenRequest {
    pub incarnation: Incarnation,
    pub submitted_at: Timestamp,
    pub request: SimulatedRequest,
    pub awaits_response: bool,
}

/// The requests that a tenant may still send within its quota (a token bucket).
pub(super) struct QuotaBalance {
    requests: f64,
    updated_at: Timestamp,
}

impl QuotaBalance {
    pub fn new(tenant: &Tenant) -> QuotaBalance {
        QuotaBalance {
            requests: tenant.quota_per_second,
            updated_at: SIMULATION_START,
        }
    }

    /// Deducts one request if the quota allows it. Returns whether it does.
    fn take(&mut self, now: Timestamp, quota_per_second: f64) -> bool {
        let elapsed_us = micros_f64(now.saturating_duration_since(self.updated_at));
        let accrued = self.requests + quota_per_second * elapsed_us / MICROS_PER_SECOND;
        // Unused quota accrues up to the quota of one second.
        let balance = accrued.min(quota_per_second.max(1.0));
        let is_within_quota = balance >= 1.0;
        self.requests = if is_within_quota {
            balance - 1.0
        } else {
            balance
        };
        self.updated_at = now;
        is_within_quota
    }
}

impl Simulation {
    pub fn client_arrives(&mut self) {
        let request = self.draw_request();
        self.submit(request);
        let mean_gap_us =
            mean_request_gap_us(self.plan) / self.tenant_traffic().iter().sum::<f64>();
        let gap_us = -(1.0 - self.rng.f64()).ln() * mean_gap_us;
        if !self.traffic_has_ended() {
            let gap = Duration::from_micros((gap_us as u64).max(1));
            self.schedule(gap, SimulationEvent::ClientArrives);
        }
    }

    pub fn client_retries(&mut self, request: SimulatedRequest) {
        if !self.traffic_has_ended() {
            self.submit(request);
        }
    }

    fn draw_request(&mut self) -> SimulatedRequest {
        let requirements = self.workload.draw(&self.settings, &mut self.rng);
        let mut request = SimulatedRequest {
            requirements,
            retries: 0,
            first_submitted_at: self.now,
            tenant: None,
            is_within_quota: true,
        };
        if !self.quotas.is_empty() {
            let tenant = self.draw_tenant();
            let quota_per_second = self.settings.tenants[tenant].quota_per_second;
            request.tenant = Some(tenant);
            request.is_within_quota = self.quotas[tenant].take(self.now, quota_per_second);
        }
        self.add_weight(&request, |weights| &mut weights.requested);
        request
    }

    fn draw_tenant(&mut self) -> usize {
        let traffic = self.tenant_traffic();
        let mut draw = self.rng.f64() * traffic.iter().sum::<f64>();
        let tenant = traffic.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        tenant.unwrap_or(0)
    }

    /// The current traffic of each tenant, as a share of the usual traffic of all tenants.
    fn tenant_traffic(&self) -> [f64; 3] {
        let multiple = if self.now < self.flood_ends_at {
            FLOOD_MULTIPLE / QUOTA_USAGE
        } else {
            1.0
        };
        let [first, second, third] = TENANT_TRAFFIC;
        [first * multiple, second, third]
    }

    /// Adds the weight of a request to the selected total: overall, of its class, and of its tenant
    /// if the request is within the quota.
    pub fn add_weight(
        &mut self,
        request: &SimulatedRequest,
        total: impl Fn(&mut WeightTotals) -> &mut f64,
    ) {
        let class = request.requirements.class;
        let mut weight = self.settings.classes[class].priority_weight;
        if !request.is_within_quota {
            weight *= self.settings.over_quota_weight;
        }
        let summary = &mut self.summary;
        *total(&mut summary.weights) += weight;
        *total(&mut summary.weights_by_class[class]) += weight;
        if let Some(tenant) = request.tenant
            && request.is_within_quota
        {
            *total(&mut summary.weights_by_tenant[tenant]) += weight;
        }
    }

    fn submit(&mut self, request: SimulatedRequest) {
        let Some(instance) = self.draw_instance() else {
            return;
        };
        let incarnation = self.current_incarnation(instance);
        let id = self.event_queue.next_sequence();
        let handle = RequestHandle(id);
        let requirements = request.requirements;
        let deadline = self.settings.classes[requirements.class].deadline;
        self.summary.requests += 1;
        self.instances[instance].open_connections += 1;
        let open = OpenRequest {
            incarnation,
            submitted_at: self.now,
            request,
            awaits_response: true,
        };
        self.requests.insert(handle, open);
        self.jobs.entry(id).or_default().requirements = requirements;
        self.schedule(deadline, SimulationEvent::DeadlinePasses(handle));
        let client_request = ClientRequest {
            function: JobFunction::default_of(ClassId(requirements.class)),
            remaining: deadline,
            slots: requirements.slots,
            memory: requirements.memory,
            tenant: request.tenant.map(TenantId),
            id_origin: IdOrigin::Client,
            job: self.draw_job(id),
        };
        self.schedule_early_disconnect(incarnation, handle);
        let submitted = Event::RequestSubmitted {
            handle,
            request: client_request,
        };
        self.deliver(incarnation, submitted);
    }

    /// Draws the instance that a client connects to; none if no instance accepts clients. The
    /// distribution is skewed: some instances receive several times the mean.
    fn draw_instance(&mut self) -> Option<usize> {
        let count = self.plan.instances;
        let draw = self.rng.f64();
        let mut index = (draw * draw * count as f64) as usize % count;
        for _ in 0..count {
            let is_selectable = self.is_selectable(index);
            if self.instances[index].accepts_clients() && is_selectable {
                break;
            }
            index = (index + 1) % count;
        }
        self.instances[index].accepts_clients().then_some(index)
    }

    /// Whether a client selects an instance, which may be stopping. Draws for a stopping instance
    /// even if it no longer accepts clients.
    fn is_selectable(&mut self, instance: usize) -> bool {
        match self.instances[instance].stop_requested_at {
            None => true,
            Some(requested_at) => {
                self.now < requested_at + STOPPING_SELECTED_FOR
                    || self.rng.u32(..STOPPING_SELECTED_ONE_IN) == 0
            }
        }
    }

    /// A job whose path is drawn from a few, the first of which is much more frequent than the
    /// others.
    fn draw_job(&mut self, id: u64) -> Arc<Job> {
        let path = self.rng.u32(..40) * self.rng.u32(..3);
        Arc::new(Job {
            id: id.to_string(),
            path: format!("/c/{path}"),
            unique_id: None,
            idempotency_key: None,
            body: Bytes::new(),
        })
    }

    fn schedule_early_disconnect(&mut self, incarnation: Incarnation, handle: RequestHandle) {
        if self.plan.disruption != Disruption::ImpatientClients
            || self.rng.u32(..DISCONNECTS_ONE_IN) != 0
        {
            return;
        }
        let after_us = self.rng.u64(..DISCONNECTS_WITHIN.as_micros() as u64);
        let disconnected = Event::ClientDisconnected { handle };
        self.schedule(
            Duration::from_micros(after_us),
            SimulationEvent::Delivered(incarnation, disconnected),
        );
    }

    pub fn client_disconnects(&mut self, incarnation: Incarnation, handle: RequestHandle) {
        let open = self.requests.get_mut(&handle);
        if let Some(open) = open.filter(|open| open.awaits_response) {
            open.awaits_response = false;
            self.instances[incarnation.instance].open_connections -= 1;
        }
    }
}
