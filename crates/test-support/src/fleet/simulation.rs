//! The state of a simulation and its main loop, which dispatches each event to the module that
//! models it.

use super::attempts::{AttemptInFlight, JobHistory};
use super::clients::{OpenRequest, QuotaBalance};
use super::endpoint::{Placement, SimulatedEndpoint};
use super::endpoint_list::ListChange;
use super::event_queue::{AttemptKey, EventQueue, Incarnation, SimulationEvent};
use super::instances::Instance;
use super::plan::{DISRUPTION_DELAY, Plan, SIMULATION_START, TRAFFIC_DURATION};
use super::settings::{settings, workload};
use super::summary::{SlowStartSend, Summary, WeightTotals};
use super::workload::Workload;
use fastrand::Rng;
use pumiceway_core::RequestHandle;
use pumiceway_decisions::api::{Settings, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Timers still fire for this long after the last deadline.
const TIMER_PERIOD_AFTER_DEADLINES: Duration = Duration::from_secs(5);

pub(super) struct Simulation {
    pub plan: Plan,
    /// The settings of the first instance. Code that uses them reads only what all instances share.
    pub settings: Settings,
    pub workload: Arc<Workload>,
    pub rng: Rng,
    pub now: Timestamp,
    pub event_queue: EventQueue,
    pub instances: Vec<Instance>,
    pub endpoints: Vec<SimulatedEndpoint>,
    /// The history of the endpoint list: version `n` includes the first `n` changes.
    pub changes: Vec<ListChange>,
    pub requests: HashMap<RequestHandle, OpenRequest>,
    pub attempts: HashMap<AttemptKey, AttemptInFlight>,
    pub jobs: HashMap<u64, JobHistory>,
    /// By tenant.
    pub quotas: Vec<QuotaBalance>,
    pub flood_ends_at: Timestamp,
    /// When the discovery service will have served all calls that it has received.
    pub discovery_free_at: Timestamp,
    pub discovery_calls: Vec<Timestamp>,
    /// The work that was sent to each endpoint during its slow start.
    pub slow_start_sends: BTreeMap<usize, Vec<SlowStartSend>>,
    pub summary: Summary,
}

impl Simulation {
    pub fn new(plan: Plan) -> Simulation {
        let settings = settings(plan, 0);
        let workload = Arc::new(workload(plan));
        let mut simulation = Simulation {
            plan,
            rng: Rng::with_seed(plan.seed),
            now: SIMULATION_START,
            event_queue: EventQueue::default(),
            instances: Vec::new(),
            endpoints: initial_endpoints(plan, &settings, &workload),
            changes: Vec::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            jobs: HashMap::new(),
            quotas: settings.tenants.iter().map(QuotaBalance::new).collect(),
            flood_ends_at: Timestamp::ORIGIN,
            discovery_free_at: Timestamp::ORIGIN,
            discovery_calls: Vec::new(),
            slow_start_sends: BTreeMap::new(),
            summary: Summary {
                weights_by_class: vec![WeightTotals::default(); settings.classes.len()],
                weights_by_tenant: vec![WeightTotals::default(); settings.tenants.len()],
                ..Summary::default()
            },
            settings,
            workload,
        };
        for instance in 0..plan.instances {
            simulation.instances.push(Instance::default());
            simulation.start_instance(instance);
        }
        simulation.schedule(Duration::ZERO, SimulationEvent::ClientArrives);
        simulation.schedule(DISRUPTION_DELAY, SimulationEvent::DisruptionStep(0));
        simulation
    }

    /// Handles events until none are left.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.event_queue.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrives => self.client_arrives(),
            SimulationEvent::ClientRetries(request) => self.client_retries(request),
            SimulationEvent::DeadlinePasses(handle) => self.deadline_passes(handle),
            SimulationEvent::Delivered(incarnation, event) => {
                self.event_delivered(incarnation, event);
            }
            SimulationEvent::TimerExpires(incarnation, at) => self.timer_expires(incarnation, at),
            SimulationEvent::AttemptArrives(key) => self.attempt_arrives(key),
            SimulationEvent::RunEnds { endpoint, run } => self.run_ends(endpoint, run),
            SimulationEvent::DiscoveryCalled(watch) => self.discovery_called(watch),
            SimulationEvent::WatchOpened(watch) => self.watch_opened(watch),
            SimulationEvent::WatchHeartbeat(watch) => self.watch_heartbeat(watch),
            SimulationEvent::ListReachesInstance(incarnation, version) => {
                self.list_reaches_instance(incarnation, version);
            }
            SimulationEvent::ListReachesAgent { instance, version } => {
                self.list_reaches_agent(instance, version);
            }
            SimulationEvent::DisruptionStep(step) => self.disruption_step(step),
            SimulationEvent::InstanceStarts(instance) => {
                if self.instances[instance].core.is_none() {
                    self.start_instance(instance);
                }
            }
            SimulationEvent::StopForced(incarnation) => self.stop_forced(incarnation),
        }
    }

    pub fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.event_queue.schedule(self.now + delay, event);
    }

    pub fn traffic_has_ended(&self) -> bool {
        self.now >= SIMULATION_START + TRAFFIC_DURATION
    }

    /// Whether timers no longer fire, as all requests have ended. The simulation would not end
    /// otherwise, since cores always set another timer.
    pub fn timers_have_ended(&self) -> bool {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or(Duration::ZERO);
        self.now > SIMULATION_START + TRAFFIC_DURATION + longest + TIMER_PERIOD_AFTER_DEADLINES
    }

    pub fn is_current(&self, incarnation: Incarnation) -> bool {
        let instance = &self.instances[incarnation.instance];
        instance.incarnation == incarnation.number && instance.core.is_some()
    }

    /// Records a rule violation with the current time.
    pub fn record_violation(&mut self, description: String) {
        let at = self
            .now
            .saturating_duration_since(SIMULATION_START)
            .as_millis();
        self.summary
            .violations
            .push(format!("{at} ms: {description}"));
    }
}

fn initial_endpoints(
    plan: Plan,
    settings: &Settings,
    workload: &Arc<Workload>,
) -> Vec<SimulatedEndpoint> {
    let endpoint = |index| {
        let placement = Placement {
            zone: index % settings.zone_count,
            index,
            is_initial: true,
            ready_at: Timestamp::ORIGIN,
        };
        SimulatedEndpoint::new(placement, settings, workload)
    };
    (0..plan.endpoints).map(endpoint).collect()
}
