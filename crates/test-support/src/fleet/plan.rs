//! What is played: the deployment, the size of the fleet, the faults of the day and the seed.
//!
//! A plan names everything that a simulation depends on, so a failed one can be played again from
//! its `Debug` output.

use pumiceway_decisions::api::Timestamp;
use std::time::Duration;

/// The simulated clock at the start of a day: late enough that a process may have started before.
pub(super) const DAY_START: Timestamp = Timestamp::from_micros(1_000_000_000_000);
/// How long clients begin new requests.
pub(super) const DAY_LENGTH: Duration = Duration::from_secs(16);
/// When the faults of a day begin, after its start.
pub(super) const FAULTS_BEGIN: Duration = Duration::from_secs(4);

/// Whose settings are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Discovery is one service that all instances poll; endpoints of one kind serve jobs in order
    /// of arrival.
    Polled,
    /// An agent beside each instance is pushed the list, late; endpoints of two kinds serve by
    /// priority, jobs need memory, and tenants have quotas.
    Pushed,
}

/// What happens during a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// No fault at all.
    Calm,
    /// Seven in ten instances are killed at once.
    InstancesKilled,
    /// The same, and a third of the endpoints drains while they are down.
    InstancesKilledBeforeDrain,
    /// All instances are stopped and started again, a tenth at a time.
    RollingRestart,
    /// A new configuration moves discovery; it reaches the instances one by one.
    DiscoveryMoved,
    /// Six in ten endpoints are replaced within 7 s.
    EndpointsReplaced,
    /// A zone is lost for 5 s, and its endpoints come back in slow start.
    ZoneLost,
    /// A zone is partitioned from the others for 6 s.
    ZonePartitioned,
    /// A fifth of the endpoints is silent for 6 s.
    EndpointsSilent,
    /// A third of the endpoints drains while lists come up to 5.5 s late.
    ListsDelayed,
    /// Clients disconnect early and retry sooner than an overload response asks for; endpoints
    /// reset connections that have a job in flight.
    ImpatientClients,
    /// The number of endpoints doubles.
    EndpointsAdded,
    /// One tenant sends a multiple of its quota for 6 s.
    TenantFlood,
}

/// The days that every deployment has.
pub const DAYS: [Day; 12] = [
    Day::Calm,
    Day::InstancesKilled,
    Day::InstancesKilledBeforeDrain,
    Day::RollingRestart,
    Day::DiscoveryMoved,
    Day::EndpointsReplaced,
    Day::ZoneLost,
    Day::ZonePartitioned,
    Day::EndpointsSilent,
    Day::ListsDelayed,
    Day::ImpatientClients,
    Day::EndpointsAdded,
];

/// The days of a deployment: only where there are tenants can one of them send too much.
pub fn days(deployment: Deployment) -> impl Iterator<Item = Day> {
    let flood = (deployment == Deployment::Pushed).then_some(Day::TenantFlood);
    DAYS.into_iter().chain(flood)
}

/// A defect that the simulation puts in on purpose, to show that the summary finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Endpoint lists reach the core 2 s late.
    ListDelayed,
    /// Endpoint lists do not say when endpoints have started.
    StartTimeOmitted,
    /// The timers of the first instance never fire.
    TimerLost,
    /// A response is sent twice.
    ResponseRepeated,
    /// A reset is reported as a connection that was never established.
    ResetReportedAsConnectFailed,
    /// A failure is passed on as an overload response.
    FailureSentAsOverloaded,
    /// Calls to discovery begin ten times as late as their schedule says.
    DiscoveryCallsSlow,
    /// The bootstrap list of the configuration is taken for one that discovery has confirmed.
    BootstrapConfirmed,
    /// A stopping process exits with responses outstanding.
    EarlyExit,
}

/// Everything that a simulation depends on.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whose settings are played.
    pub deployment: Deployment,
    /// The number of dispatcher instances.
    pub instances: usize,
    /// The number of endpoints at the start of the day.
    pub endpoints: usize,
    /// What happens during the day.
    pub day: Day,
    /// The seed of all random draws.
    pub seed: u64,
    /// A defect that the summary has to find.
    pub injected_fault: Option<InjectedFault>,
}

impl Plan {
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}
