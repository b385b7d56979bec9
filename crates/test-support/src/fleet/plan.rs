//! The input of a simulation: the deployment, the size of the fleet, the disruption and the seed.
//!
//! A plan holds everything that a simulation depends on, so a failed simulation can be repeated
//! from the plan's `Debug` output.

use pumiceway_decisions::api::Timestamp;
use std::time::Duration;

/// The simulated clock at the start of a simulation. It is later than the clock's origin, so that
/// processes can have start times before it.
pub(super) const SIMULATION_START: Timestamp = Timestamp::from_micros(1_000_000_000_000);
/// How long clients send new requests.
pub(super) const TRAFFIC_DURATION: Duration = Duration::from_secs(16);
/// The time from the start of a simulation to its disruption.
pub(super) const DISRUPTION_DELAY: Duration = Duration::from_secs(4);

/// The kind of deployment whose settings are simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// All instances poll one discovery service. Endpoints are of one kind and serve jobs in order
    /// of arrival.
    Polled,
    /// The list is pushed, with a delay, to an agent beside each instance. Endpoints are of two
    /// kinds and serve jobs by priority, jobs need memory, and tenants have quotas.
    Pushed,
}

/// What disrupts the fleet during a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Nothing.
    None,
    /// Seven in ten instances are killed at the same time.
    InstancesKilled,
    /// Seven in ten instances are killed, and a third of the endpoints drains while they are down.
    InstancesKilledBeforeDrain,
    /// All instances are restarted, a tenth at a time.
    RollingRestart,
    /// A new configuration moves discovery to another address; it reaches the instances in steps.
    DiscoveryMoved,
    /// Six in ten endpoints are replaced within 7 s.
    EndpointsReplaced,
    /// All endpoints of a zone fail for 5 s, and return in slow start.
    ZoneLost,
    /// A zone is partitioned from the others for 6 s.
    ZonePartitioned,
    /// A fifth of the endpoints neither receives nor sends anything for 6 s.
    EndpointsSilent,
    /// A third of the endpoints drains while endpoint lists are delayed by up to 5.5 s.
    ListsDelayed,
    /// Clients disconnect early and retry sooner than an overload response asks for, and endpoints
    /// reset connections that have a job in flight.
    ImpatientClients,
    /// The number of endpoints doubles.
    EndpointsAdded,
    /// One tenant sends a multiple of its quota for 6 s.
    TenantFlood,
}

/// The disruptions that apply to every deployment.
pub const DISRUPTIONS: [Disruption; 12] = [
    Disruption::None,
    Disruption::InstancesKilled,
    Disruption::InstancesKilledBeforeDrain,
    Disruption::RollingRestart,
    Disruption::DiscoveryMoved,
    Disruption::EndpointsReplaced,
    Disruption::ZoneLost,
    Disruption::ZonePartitioned,
    Disruption::EndpointsSilent,
    Disruption::ListsDelayed,
    Disruption::ImpatientClients,
    Disruption::EndpointsAdded,
];

/// The disruptions of a deployment. Only a deployment with tenants has [`Disruption::TenantFlood`].
pub fn disruptions(deployment: Deployment) -> impl Iterator<Item = Disruption> {
    let flood = (deployment == Deployment::Pushed).then_some(Disruption::TenantFlood);
    DISRUPTIONS.into_iter().chain(flood)
}

/// A deliberate defect of the simulation, for tests that check that the summary detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Endpoint lists reach the core 2 s late.
    ListDelayed,
    /// Endpoint lists omit the start times of endpoints.
    StartTimeOmitted,
    /// The timers of the first instance never fire.
    TimerLost,
    /// A response is sent twice.
    ResponseRepeated,
    /// A reset is reported as a connection that was never established.
    ResetReportedAsConnectFailed,
    /// A failure is sent to the client as an overload response.
    FailureSentAsOverloaded,
    /// Calls to discovery are delayed ten times as long as their schedule says.
    DiscoveryCallsSlow,
    /// The bootstrap list of the configuration is treated as confirmed by discovery.
    BootstrapConfirmed,
    /// A stopping process exits with responses outstanding.
    EarlyExit,
}

/// Everything that a simulation depends on.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The deployment whose settings are simulated.
    pub deployment: Deployment,
    /// The number of dispatcher instances.
    pub instances: usize,
    /// The number of endpoints at the start.
    pub endpoints: usize,
    /// What disrupts the fleet.
    pub disruption: Disruption,
    /// The seed of all random draws.
    pub seed: u64,
    /// A defect that the summary has to detect.
    pub injected_fault: Option<InjectedFault>,
}

impl Plan {
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}
