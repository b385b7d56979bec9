//! The settings of the balancer, and the machines and jobs, for each deployment.
//!
//! The arrival rate of requests follows from both: it is a fixed share of the capacity of all
//! endpoints after slow start.

use super::plan::{Deployment, Plan};
use super::workload::{JobSpec, MachineSpec, Workload};
use super::{DRAIN_GRACE, micros_f64};
use pumiceway_decisions::api::{
    Class, DeduplicationScope, Idempotency, KindId, LoadReportSource, Prices, Settings, Tenant,
    ZoneId,
};
use std::time::Duration;

/// The share of the capacity of all endpoints that the usual traffic needs.
const UTILIZATION: f64 = 0.6;
/// The share of each tenant in the usual traffic, in deployments with tenants.
pub(super) const TENANT_TRAFFIC: [f64; 3] = [0.4, 0.4, 0.2];
/// The share of its quota that each tenant uses in the usual traffic.
pub(super) const QUOTA_USAGE: f64 = 0.8;
/// The largest number of zones that endpoints are spread over.
const MAX_ZONES: usize = 3;
/// A second, in the unit of [`mean_request_gap_us`].
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

/// The settings of one instance of a plan.
pub fn settings(plan: Plan, instance: usize) -> Settings {
    let polled = polled_settings(plan, instance);
    match plan.deployment {
        Deployment::Polled => polled,
        Deployment::Pushed => pushed_settings(plan, polled),
    }
}

fn class(
    idempotency: Idempotency,
    priority_weight: f64,
    latency_objective_ms: u64,
    deadline_ms: u64,
) -> Class {
    Class {
        idempotency,
        priority_weight,
        latency_objective: Duration::from_millis(latency_objective_ms),
        objective_stretch: 2.0,
        deadline: Duration::from_millis(deadline_ms),
        queue_priority: 0,
        max_queue_time: None,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

fn polled_settings(plan: Plan, instance: usize) -> Settings {
    let millis = Duration::from_millis;
    let zone_count = plan.endpoints.min(MAX_ZONES);
    Settings {
        instance_index: instance,
        instance_count: plan.instances,
        zone_count,
        home_zone: Some(ZoneId(instance % zone_count)),
        kind_count: 1,
        functions: vec![],
        classes: vec![
            class(Idempotency::Idempotent, 1.0, 500, 3_000),
            class(Idempotency::NonIdempotent, 3.0, 1_500, 3_000),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        prices: Prices {
            cross_zone: 0.02,
            health_check: 0.01,
        },
        load_reports: LoadReportSource::Responses,
        polls_discovery: true,
        max_poll_interval: millis(10_000),
        drain_grace: DRAIN_GRACE,
        health_checks: true,
        cancellation: true,
        hedging: true,
        retry_after: true,
        max_retry_after: millis(2_000),
        max_attempts: 6,
        connect_timeout: millis(250),
        connection_idle_timeout: millis(15_000),
        timer_resolution: millis(1),
        reports_start: true,
        progress_interval: millis(1_000),
        slow_start_share: 0.13,
        slow_start_duration: millis(14_000),
        overload_multiple: 3.0,
        overload_window: millis(3_000),
        max_queued: 0,
    }
}

fn pushed_settings(plan: Plan, polled: Settings) -> Settings {
    let millis = Duration::from_millis;
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        window: millis(7_500),
    };
    let tenant = |traffic_share: f64| Tenant {
        quota_per_second: traffic_share / QUOTA_USAGE * MICROS_PER_SECOND
            / mean_request_gap_us(plan),
    };
    Settings {
        kind_count: 2,
        classes: vec![
            Class {
                objective_stretch: 2.5,
                ..class(Idempotency::Idempotent, 5.0, 120, 5_000)
            },
            class(Idempotency::NonIdempotent, 5.0, 500, 15_000),
            Class {
                queue_priority: 1,
                ..class(keyed, 15.0, 120, 5_000)
            },
        ],
        tenants: TENANT_TRAFFIC.map(tenant).to_vec(),
        over_quota_weight: 0.1,
        polls_discovery: false,
        max_poll_interval: Duration::ZERO,
        max_attempts: 3,
        connection_idle_timeout: millis(10_000),
        progress_interval: Duration::ZERO,
        slow_start_share: 0.33,
        slow_start_duration: millis(8_000),
        overload_multiple: 2.5,
        ..polled
    }
}

/// The machines and the jobs of a plan.
pub(super) fn workload(plan: Plan) -> Workload {
    match plan.deployment {
        Deployment::Polled => Workload {
            machines: &[MachineSpec {
                slots: 4.0,
                speed: 1.0,
            }],
            jobs: const { &[job_spec(4, 150, 1.0), job_spec(1, 400, 2.0)] },
            jobs_vary: false,
            report_interval: Duration::ZERO,
            drops_cancelled: true,
            suspends: false,
        },
        Deployment::Pushed => Workload {
            machines: &[
                MachineSpec {
                    slots: 3.0,
                    speed: 1.5,
                },
                MachineSpec {
                    slots: 5.0,
                    speed: 0.95,
                },
            ],
            jobs: const {
                &[
                    job_spec(46, 300, 1.0),
                    job_spec(41, 1_200, 1.0),
                    job_spec(13, 150, 1.0),
                ]
            },
            jobs_vary: true,
            report_interval: Duration::from_millis(900),
            drops_cancelled: plan.seed.is_multiple_of(2),
            suspends: true,
        },
    }
}

const fn job_spec(frequency: u32, mean_work_ms: u64, slots: f64) -> JobSpec {
    JobSpec {
        frequency,
        mean_work: Duration::from_millis(mean_work_ms),
        slots,
    }
}

/// The mean time between two requests of the usual traffic, in microseconds.
pub(super) fn mean_request_gap_us(plan: Plan) -> f64 {
    let workload = workload(plan);
    let zones = plan.endpoints.min(MAX_ZONES);
    let total_frequency: u32 = workload.jobs.iter().map(|job| job.frequency).sum();
    let work_us = |job: &JobSpec| {
        f64::from(job.frequency) / f64::from(total_frequency)
            * (micros_f64(job.mean_work) * job.slots)
    };
    let capacity = |endpoint: usize| {
        let KindId(kind) = workload.kind(endpoint % zones, endpoint / zones);
        workload.machines[kind].capacity()
    };
    let total_capacity: f64 = (0..plan.endpoints).map(capacity).sum();
    workload.jobs.iter().map(work_us).sum::<f64>() / (UTILIZATION * total_capacity)
}
