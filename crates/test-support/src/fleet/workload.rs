//! The machines that endpoints run on, and the jobs that clients send.
//!
//! A [`Workload`] describes both for a deployment and draws the [`Requirements`] of single jobs.

use super::micros_f64;
use fastrand::Rng;
use pumiceway_decisions::api::{Idempotency, KindId, Settings};
use std::time::Duration;

/// One kind of machine.
pub(super) struct MachineTraits {
    /// How many slots it has; it has as many units of memory.
    pub slots: f64,
    /// How much work it does in a slot, beside a machine of speed 1.
    pub speed: f64,
}

impl MachineTraits {
    /// The work that it does per unit of time when its slow start is over.
    pub fn capacity(&self) -> f64 {
        self.slots * self.speed
    }
}

/// The jobs of one class.
pub(super) struct JobTraits {
    /// How many parts of all jobs are of this class.
    pub parts: u32,
    /// The mean time that one takes in its slots on a machine of speed 1.
    pub mean_work: Duration,
    /// How many slots each takes.
    pub slots: f64,
}

/// The machines and jobs of a deployment.
pub(super) struct Workload {
    /// By machine kind.
    pub machines: &'static [MachineTraits],
    /// By class.
    pub jobs: &'static [JobTraits],
    /// Jobs of a class differ in length, and need memory.
    pub jobs_vary: bool,
    /// How old load reports may be, which then count what is queued; zero for reports of the
    /// present CPU utilization.
    pub report_interval: Duration,
    /// A queued job that is cancelled does not run any more.
    pub drops_cancelled: bool,
    /// A job may suspend an idempotent one of lower priority.
    pub suspends: bool,
}

/// What a job needs, and how endpoints treat it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Requirements {
    pub class: usize,
    /// The time that it takes in its slots on a machine of speed 1, in microseconds.
    pub work_us: f64,
    pub slots: f64,
    pub memory: f64,
    pub priority: u32,
    pub is_idempotent: bool,
}

impl Workload {
    /// Draws a job.
    pub fn draw(&self, settings: &Settings, rng: &mut Rng) -> Requirements {
        let class = self.draw_class(rng);
        let JobTraits {
            mean_work, slots, ..
        } = self.jobs[class];
        let mut work_us = micros_f64(mean_work);
        let mut memory = 0.0;
        if self.jobs_vary {
            work_us *= 0.25 - 0.75 * (1.0 - rng.f64()).ln();
            memory = 0.3 + 0.5 * rng.f64();
        }
        Requirements {
            class,
            work_us,
            slots,
            memory,
            priority: settings.classes[class].queue_priority,
            is_idempotent: settings.classes[class].idempotency == Idempotency::Idempotent,
        }
    }

    fn draw_class(&self, rng: &mut Rng) -> usize {
        let all_parts: u32 = self.jobs.iter().map(|job| job.parts).sum();
        let mut part = rng.u32(..all_parts);
        let mut class = self.jobs.len() - 1;
        while part >= self.jobs[class].parts {
            part -= self.jobs[class].parts;
            class -= 1;
        }
        class
    }

    /// The machine kind of an endpoint, by its zone and its index in the zone.
    pub fn kind(&self, zone: usize, index_in_zone: usize) -> KindId {
        KindId(usize::from((zone + index_in_zone) % 3 == 2) % self.machines.len())
    }
}
