//! The state of a simulation and its main loop, which hands each event of the agenda to the module
//! that models it.

use super::agenda::{Agenda, AttemptKey, Incarnation, SimulationEvent};
use super::attempts::{AttemptInFlight, JobHistory};
use super::clients::{OpenRequest, QuotaBalance};
use super::endpoint::{Placement, SimulatedEndpoint};
use super::endpoint_list::ListChange;
use super::instances::Instance;
use super::plan::{DAY_LENGTH, DAY_START, FAULTS_BEGIN, Plan};
use super::settings::{settings, workload};
use super::summary::{Service, SlowStartSend, Summary};
use super::workload::Workload;
use fastrand::Rng;
use pumiceway_core::RequestHandle;
use pumiceway_decisions::api::{Settings, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How long after the longest deadline the last timers still fire.
const TIMERS_END: Duration = Duration::from_secs(5);

pub(super) struct Simulation {
    pub plan: Plan,
    /// What is the same for all instances.
    pub settings: Settings,
    pub workload: Arc<Workload>,
    pub rng: Rng,
    pub now: Timestamp,
    pub agenda: Agenda,
    pub instances: Vec<Instance>,
    pub endpoints: Vec<SimulatedEndpoint>,
    /// The history of the endpoint list: version `n` has the first `n` changes.
    pub changes: Vec<ListChange>,
    pub requests: HashMap<RequestHandle, OpenRequest>,
    pub attempts: HashMap<AttemptKey, AttemptInFlight>,
    pub jobs: HashMap<u64, JobHistory>,
    /// By tenant.
    pub quotas: Vec<QuotaBalance>,
    pub flood_ends_at: Timestamp,
    /// When discovery has worked through all calls so far.
    pub discovery_free_at: Timestamp,
    pub discovery_calls: Vec<Timestamp>,
    /// What was sent to each endpoint during its slow start.
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
            now: DAY_START,
            agenda: Agenda::default(),
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
                service_by_class: vec![Service::default(); settings.classes.len()],
                service_by_tenant: vec![Service::default(); settings.tenants.len()],
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
        simulation.schedule(FAULTS_BEGIN, SimulationEvent::DayStep(0));
        simulation
    }

    /// Handles events until none is left.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.agenda.pop() {
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
            SimulationEvent::DayStep(step) => self.day_step(step),
            SimulationEvent::InstanceStarts(instance) => {
                if self.instances[instance].core.is_none() {
                    self.start_instance(instance);
                }
            }
            SimulationEvent::StopForced(incarnation) => self.stop_forced(incarnation),
        }
    }

    pub fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.agenda.schedule(self.now + delay, event);
    }

    pub fn day_is_over(&self) -> bool {
        self.now >= DAY_START + DAY_LENGTH
    }

    /// Whether all requests have ended. The cores would set timers for ever.
    pub fn timers_are_over(&self) -> bool {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or(Duration::ZERO);
        self.now > DAY_START + DAY_LENGTH + longest + TIMERS_END
    }

    pub fn is_current(&self, incarnation: Incarnation) -> bool {
        let instance = &self.instances[incarnation.instance];
        instance.incarnation == incarnation.number && instance.core.is_some()
    }

    /// Notes that a rule was violated.
    pub fn violation(&mut self, description: String) {
        let at = self.now.saturating_duration_since(DAY_START).as_millis();
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
