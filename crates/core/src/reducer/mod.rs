//! The reducer: applies events to the state of the dispatcher and returns the resulting effects.
//! Each submodule owns one part of the state.
//!
//! | module | state |
//! | --- | --- |
//! | [`requests`] | open requests, from submission to the final response |
//! | [`attempts`] | attempts in flight, from sending to their single outcome |
//! | [`endpoint_list`] | the endpoint list, its leases, and readiness |
//! | [`balancer`] | balancer inputs, execution of balancer actions, and health checks |
//! | [`timers`] | pending timers, of which the event loop keeps only the earliest |
//! | [`shutdown`] | the shutdown phase and its schedule |

mod attempts;
mod balancer;
mod endpoint_list;
mod requests;
mod shutdown;
mod timers;

use crate::consumed_ids::ConsumedIds;
use crate::endpoints::EndpointSet;
use crate::idempotency_cache::IdempotencyCache;
use crate::{
    AttemptId, CoreLimits, Effect, Event, HealthCheckId, Overview, RequestCounts, RequestHandle,
    Warning,
};
use attempts::InFlightAttempt;
use balancer::{BalancerInput, InFlightHealthCheck};
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::{RequestId, Settings, SettingsError, Timestamp};
use pumiceway_decisions::rules::Denial;
use requests::{OpenRequest, consumed_id_lifetime};
use shutdown::Shutdown;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;
use timers::Timers;

/// Back-off for requests that the core sheds without asking the balancer; capped at
/// [`Settings::max_retry_after`], the longest back-off that clients honour.
const CORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state machine of a dispatcher: takes [`Event`]s and returns [`Effect`]s.
pub struct Core {
    settings: Settings,
    timers: Timers,
    shutdown: Shutdown,
    /// The last id assigned; requests, attempts and health checks share one sequence.
    last_id: u64,

    requests: BTreeMap<RequestId, OpenRequest>,
    /// The request that each waiting client waits for.
    waiting: HashMap<RequestHandle, RequestId>,
    /// The request ids of open requests, which the clients assigned.
    request_ids: HashSet<String>,
    consumed_ids: ConsumedIds,
    cache: IdempotencyCache,
    /// Back-off for requests that the core sheds itself; `None` if the settings disable
    /// Retry-After.
    retry_after: Option<Duration>,

    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Until this time, non-idempotent requests are not sent on idle connections.
    avoid_idle_connections_until: Timestamp,

    endpoints: EndpointSet,
    /// Address of the discovery service that is watched.
    discovery: Option<String>,
    /// Whether [`Effect::ReportReady`] has been returned.
    is_ready: bool,

    balancer: Balancer,
    /// Inputs that the balancer has not handled yet.
    balancer_inputs: VecDeque<BalancerInput>,
    health_checks: BTreeMap<HealthCheckId, InFlightHealthCheck>,
    /// Number of balancer decisions that the rules denied, by reason.
    denials: BTreeMap<Denial, u64>,
}

impl Core {
    /// Creates a core without endpoints; `seed` seeds the balancer's random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64, limits: CoreLimits) -> Result<Core, SettingsError> {
        let balancer = Balancer::new(settings.clone(), seed)?;
        Ok(Core {
            timers: Timers::default(),
            shutdown: Shutdown::new(&settings),
            last_id: 0,
            requests: BTreeMap::new(),
            waiting: HashMap::new(),
            request_ids: HashSet::new(),
            consumed_ids: ConsumedIds::new(
                limits.max_consumed_ids,
                consumed_id_lifetime(&settings, limits.consumed_id_lifetime),
            ),
            cache: IdempotencyCache::new(limits.cache),
            retry_after: settings
                .retry_after
                .then_some(CORE_RETRY_AFTER.min(settings.max_retry_after)),
            attempts: BTreeMap::new(),
            avoid_idle_connections_until: Timestamp::ORIGIN,
            endpoints: EndpointSet::new(limits.max_endpoints),
            discovery: None,
            is_ready: false,
            balancer,
            balancer_inputs: VecDeque::new(),
            health_checks: BTreeMap::new(),
            denials: BTreeMap::new(),
            settings,
        })
    }

    /// Applies one event and returns its effects, which must be performed in this order.
    pub fn reduce(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        // Before the event is applied: a lease that has expired by now must not permit an attempt
        // or a health check that the event triggers.
        self.refresh_leases(now, &mut effects);
        self.apply(now, event, &mut effects);
        self.run_balancer(now, &mut effects);
        self.exit_if_drained(&mut effects);
        self.set_lease_timer(now);
        self.timers.arm(&mut effects);
        effects
    }

    fn apply(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::RequestSubmitted { handle, request } => {
                self.on_request_submitted(now, handle, request, effects);
            }
            Event::ClientDisconnected { handle } => self.on_client_disconnected(now, handle),
            Event::AttemptUpdated { attempt, update } => {
                self.on_attempt_updated(attempt, &update, effects);
            }
            Event::AttemptEnded {
                attempt,
                outcome,
                report,
            } => {
                self.on_attempt_ended(now, attempt, outcome, report, effects);
            }
            Event::HealthChecked {
                endpoint,
                check,
                outcome,
                report,
            } => {
                self.on_health_checked(now, endpoint, check, outcome, report);
            }
            Event::EndpointListUpdated {
                source,
                as_of,
                update,
            } => {
                self.on_endpoint_list_updated(now, source, as_of, update, effects);
            }
            Event::PreviousSourceUpdated { source, update } => {
                self.on_previous_source_updated(now, source, update, effects);
            }
            Event::LeaseRequired { source } => self.on_lease_required(now, source),
            Event::Configured {
                discovery,
                list_version,
                restart_required,
            } => {
                if !restart_required.is_empty() {
                    effects.push(Effect::Warn(Warning::RestartRequired {
                        keys: restart_required,
                    }));
                }
                self.on_discovery_configured(now, discovery, list_version, effects);
            }
            Event::TimerFired => self.on_timer_fired(now, effects),
            Event::ShutdownRequested => self.on_shutdown_requested(now),
            Event::FrontendsClosed => self.shutdown.record_frontends_closed(),
        }
    }

    /// The number of endpoints that are kept, including those that were gone a short time ago.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.iter().count()
    }

    /// Returns the current state, for operators.
    pub fn overview(&self) -> Overview {
        let mut classes = vec![RequestCounts::default(); self.settings.classes.len()];
        let mut functions = BTreeMap::new();
        for request in self.requests.values().filter(|request| !request.is_done) {
            let has_attempt_in_flight = request.has_attempt_in_flight();
            classes[request.function.class.0].add(has_attempt_in_flight);
            let function: &mut RequestCounts = functions.entry(request.function).or_default();
            function.add(has_attempt_in_flight);
        }
        Overview {
            classes,
            functions,
            endpoints: self.endpoints.iter().cloned().collect(),
            unique_ids: self.cache.len(),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
