//! The reducer: every change of state, one module for each part of it.
//!
//! | module | state |
//! | --- | --- |
//! | [`requests`] | open requests, from submission to the final response |
//! | [`attempts`] | attempts in flight, from the send to their one outcome |
//! | [`endpoint_list`] | the endpoint list, the leases on it, and readiness |
//! | [`balancer`] | the decisions: what they are told, and what they want done |
//! | [`timers`] | timers, of which the host keeps the next one only |
//! | [`shutdown`] | the shutdown and its schedule |

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
    AttemptId, ClassOverview, Effect, Event, HealthCheckId, Overview, RequestHandle, Retention,
    Warning,
};
use attempts::InFlightAttempt;
use balancer::{BalancerInput, InFlightHealthCheck};
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::{RequestId, Settings, SettingsError, Timestamp};
use pumiceway_decisions::rules::Denial;
use requests::OpenRequest;
use shutdown::Shutdown;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use timers::Timers;

/// Back-off for clients that the core sheds itself, without the decisions; never longer than
/// clients heed.
const CORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of a dispatcher.
pub struct Core {
    settings: Settings,
    timers: Timers,
    shutdown: Shutdown,
    /// Of requests, attempts and health checks.
    last_id: u64,

    requests: BTreeMap<RequestId, OpenRequest>,
    /// Clients that wait, by handle.
    waiting: HashMap<RequestHandle, RequestId>,
    /// Open requests by the id that their client gave them.
    request_ids: HashMap<String, RequestId>,
    consumed_ids: ConsumedIds,
    cache: IdempotencyCache,
    /// For requests that the core sheds itself; `None` where clients are told no back-off.
    retry_after: Option<Duration>,

    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Until then, idle connections are not trusted with requests that must not run twice.
    distrust_idle_until: Timestamp,

    endpoints: EndpointSet,
    /// Address of the discovery service.
    discovery: Option<String>,
    is_ready: bool,

    balancer: Balancer,
    /// What the balancer is still to be told.
    balancer_inputs: VecDeque<BalancerInput>,
    health_checks: BTreeMap<HealthCheckId, InFlightHealthCheck>,
    /// Decisions that the rules did not permit, and that were not carried out.
    denials: BTreeMap<Denial, u64>,
}

impl Core {
    /// A core that knows no endpoint yet; `seed` drives the random choices of the decisions.
    ///
    /// # Errors
    ///
    /// Settings that cannot work; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64, retention: Retention) -> Result<Core, SettingsError> {
        let balancer = Balancer::new(settings.clone(), seed)?;
        Ok(Core {
            timers: Timers::default(),
            shutdown: Shutdown::new(&settings),
            last_id: 0,
            requests: BTreeMap::new(),
            waiting: HashMap::new(),
            request_ids: HashMap::new(),
            consumed_ids: ConsumedIds::default(),
            cache: IdempotencyCache::new(retention),
            retry_after: settings
                .retry_after
                .then_some(CORE_RETRY_AFTER.min(settings.max_retry_after)),
            attempts: BTreeMap::new(),
            distrust_idle_until: Timestamp::ORIGIN,
            endpoints: EndpointSet::default(),
            discovery: None,
            is_ready: false,
            balancer,
            balancer_inputs: VecDeque::new(),
            health_checks: BTreeMap::new(),
            denials: BTreeMap::new(),
            settings,
        })
    }

    /// Takes one event in, and returns what is to be done, in this order.
    pub fn reduce(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        // First, as a lease that has ended by now permits nothing that the event would start.
        self.review_leases(now, &mut effects);
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
                self.on_submitted(now, handle, request, effects);
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
                self.on_list_updated(now, source, as_of, update, effects);
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
            Event::FrontendsClosed => self.shutdown.note_frontends_closed(),
        }
    }

    /// The state at this moment, for operators.
    pub fn overview(&self) -> Overview {
        let mut classes = vec![ClassOverview::default(); self.settings.classes.len()];
        for request in self.requests.values().filter(|request| !request.is_done) {
            let class = &mut classes[request.class.0];
            class.open += 1;
            class.in_flight += usize::from(request.has_attempt_in_flight());
        }
        Overview {
            classes,
            endpoints: self.endpoints.iter().cloned().collect(),
            unique_ids: self.cache.len(),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
