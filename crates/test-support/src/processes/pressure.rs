//! Pressure on the memory of one dispatcher: crowds of troublesome clients and lengthy responses at
//! once, beside sound clients, whose responses are checked as in every other run.

use super::crowds::Conduct;
use super::endpoints::Behavior;
use super::faults::{self, Fault, Schedule};
use super::lengthy::LengthyResponse;
use super::memory::MemoryRecord;
use super::rule_checker::{RuleReport, check_rules};
use super::{Conditions, ListDelivery, TestFleet, clients};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The pressure begins once the dispatcher has been ready for a while.
const BEGINS_AT: Duration = Duration::from_secs(2);
/// The deadlines of the idempotent class and of the non-idempotent one. Clients wait for as long.
const DEADLINES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(6)];
/// The seed of the sound clients.
const SEED: u64 = 1;

/// A run of one dispatcher under pressure.
#[derive(Clone, Debug)]
pub struct Pressure {
    /// The memory limit of the dispatcher, in MiB.
    pub memory_mb: u64,
    /// Its socket limit.
    pub sockets: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of sound clients.
    pub clients: u64,
    /// The conduct of each crowd, and the number of its connections.
    pub crowds: Vec<(Conduct, usize)>,
    /// The lengthy responses, of which each endpoint sends one kind.
    pub responses: Vec<LengthyResponse>,
    /// Whether the dispatcher runs for a quarter of the time only.
    pub throttled: bool,
    /// The length of the run.
    pub duration: Duration,
}

/// The result of a run under pressure.
#[derive(Debug)]
pub struct PressureReport {
    /// The memory of the process.
    pub memory: MemoryRecord,
    /// When the memory passed the limit, from the beginning of the pressure.
    pub exceeded_after: Option<Duration>,
    /// What became of the requests of the sound clients.
    pub rules: RuleReport,
}

impl Pressure {
    /// A run without any pressure yet, with limits in the middle of the usual range.
    pub fn none() -> Pressure {
        Pressure {
            memory_mb: 64,
            sockets: 512,
            endpoints: 8,
            clients: 20,
            crowds: vec![],
            responses: vec![],
            throttled: false,
            duration: Duration::from_secs(12),
        }
    }

    /// Runs this program under the pressure.
    pub fn run(&self, program: &Path) -> PressureReport {
        let conditions = Conditions {
            lists: ListDelivery::Polled,
            deadlines: DEADLINES,
            max_remaining: DEADLINES[1],
            sockets: self.sockets,
            memory_mb: self.memory_mb,
            counts_files: true,
            health_checks: self.responses.contains(&LengthyResponse::SlowLoadReport),
            gearman: false,
            tenants: false,
        };
        let fleet = TestFleet::start(program, 1, self.endpoints, conditions);
        let clients = clients::start(&fleet, self.clients, SEED);
        faults::inject(&fleet, &self.schedule());
        std::thread::sleep(
            (fleet.started_at + self.duration).saturating_duration_since(Instant::now()),
        );
        fleet.clients_stopped.store(true, Ordering::Relaxed);
        let sent: Vec<_> = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect();
        let memory = fleet.dispatchers[0].memory_records()[0];
        if fleet.dispatchers[0].has_crashed() {
            fleet.record_violation("the process has ended".to_owned());
        }
        let began_at = fleet.started_at + BEGINS_AT;
        PressureReport {
            memory,
            exceeded_after: memory.exceeded_at.map(|at| at - began_at),
            rules: check_rules(&fleet, &sent),
        }
    }

    fn schedule(&self) -> Schedule {
        let duration = self.duration.saturating_sub(BEGINS_AT);
        let crowds = self
            .crowds
            .iter()
            .map(|&(conduct, connections)| Fault::ClientCrowd {
                dispatcher: 0,
                conduct,
                connections,
                duration,
            });
        let lengthy = self.responses.iter().cycle().zip(0..self.endpoints);
        let endpoints = lengthy.map(|(&response, endpoint)| Fault::EndpointMisbehaves {
            endpoint,
            behavior: Behavior::RespondsAtLength(response),
            duration,
        });
        let throttle = self.throttled.then_some(Fault::Throttle {
            dispatcher: 0,
            duration,
        });
        let faults = crowds.chain(endpoints).chain(throttle);
        faults.map(|fault| (BEGINS_AT, fault)).collect()
    }
}
