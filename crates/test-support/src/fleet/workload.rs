//! The machines that endpoints run on, and the jobs that clients send.
//!
//! A [`Workload`] describes both for a deployment and draws the [`Requirements`] of single jobs.

use super::micros_f64;
use fastrand::Rng;
use pumiceway_decisions::api::{Idempotency, KindId, Settings};
use std::time::Duration;

/// One kind of machine.
pub(super) struct MachineSpec {
    /// The number of slots, and of units of memory.
    pub slots: f64,
    /// The work per slot and unit of time, relative to a machine of speed 1.
    pub speed: f64,
}

impl MachineSpec {
    /// The work per unit of time after slow start.
    pub fn capacity(&self) -> f64 {
        self.slots * self.speed
    }
}

/// The jobs of one class.
pub(super) struct JobSpec {
    /// The frequency of this class relative to the other classes.
    pub frequency: u32,
    /// The mean duration of a job on a machine of speed 1.
    pub mean_work: Duration,
    /// The number of slots that each job occupies.
    pub slots: f64,
}

/// The machines and jobs of a deployment.
pub(super) struct Workload {
    /// By machine kind.
    pub machines: &'static [MachineSpec],
    /// By class.
    pub jobs: &'static [JobSpec],
    /// Whether jobs of a class differ in duration and need memory.
    pub jobs_vary: bool,
    /// How often the load report is updated; it then includes queued jobs. If zero, each report
    /// shows the current CPU utilization instead.
    pub report_interval: Duration,
    /// Whether a cancelled job is removed from the queue.
    pub drops_cancelled: bool,
    /// Whether a job may suspend an idempotent job of lower priority.
    pub suspends: bool,
}

/// The resources that a job needs, and the properties by which endpoints schedule it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Requirements {
    pub class: usize,
    /// The duration on a machine of speed 1, in microseconds.
    pub work_us: f64,
    pub slots: f64,
    pub memory: f64,
    pub priority: u32,
    pub is_idempotent: bool,
}

impl Workload {
    /// Draws the requirements of a job.
    pub fn draw(&self, settings: &Settings, rng: &mut Rng) -> Requirements {
        let class = self.draw_class(rng);
        let JobSpec {
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
        let total_frequency: u32 = self.jobs.iter().map(|job| job.frequency).sum();
        let mut draw = rng.u32(..total_frequency);
        let mut class = self.jobs.len() - 1;
        while draw >= self.jobs[class].frequency {
            draw -= self.jobs[class].frequency;
            class -= 1;
        }
        class
    }

    /// The machine kind of an endpoint, by its zone and its index in the zone.
    pub fn kind(&self, zone: usize, index_in_zone: usize) -> KindId {
        KindId(usize::from((zone + index_in_zone) % 3 == 2) % self.machines.len())
    }
}
