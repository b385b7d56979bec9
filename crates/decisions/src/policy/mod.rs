//! The balancing policy: which endpoint gets a request, when a request is queued or shed, and how
//! it is handled when endpoints fail.
//!
//! Each module answers one question:
//!
//! | module | question |
//! | --- | --- |
//! | [`selection`] | Which endpoint gets a request? |
//! | [`preference`] | In which order are endpoints considered? |
//! | [`functions`] | Which endpoints are considered for an additional function? |
//! | [`eligibility`] | Which endpoints may be sent a request at all? |
//! | [`capacity`] | How loaded is an endpoint estimated to be, and when would it start a request? |
//! | [`slow_start`] | How much may be sent to an endpoint that has just started? |
//! | [`admission`] | Which requests are queued, in which order, and which are shed? |
//! | [`quota`] | Which priority weight does a request keep if its tenant exceeds its quota? |
//! | [`requests`] | What happens when a request arrives and when it ends? |
//! | [`retry`] | When is a request retried, and when does it end without being served? |
//! | [`hedging`] | When does a request get a second attempt, and which of the two is cancelled? |
//! | [`outcomes`] | What does the outcome of an attempt show about its endpoint and class? |
//! | [`overdue`] | When is a silent attempt presumed lost? |
//! | [`outlier`] | When is an endpoint ejected, on probation or avoided, and when is a zone lost? |
//! | [`health_checks`] | When is an endpoint checked? |
//! | [`load_reports`] | How does a load report update the estimates for an endpoint? |
//! | [`start_signals`] | What does the time until a request starts show about an endpoint? |
//!
//! The records that these modules keep are plain data, in the module `state`. The order of
//! endpoints follows the published Allocation Priority Policies; each module says where it departs
//! from them.

mod admission;
mod capacity;
mod eligibility;
mod functions;
mod health_checks;
mod hedging;
mod load_reports;
mod outcomes;
mod outlier;
mod overdue;
mod preference;
mod quota;
mod requests;
mod retry;
mod selection;
mod slow_start;
mod start_signals;

use crate::api::{
    Action, EndpointEntry, Event, ListKind, LoadReportSource, Settings, SettingsError, Timestamp,
};
use crate::state::{BalancerState, ListChange};
use crate::time::{divide, from_micros_f64, whole_micros};
use functions::FunctionOrders;
use preference::PreferenceOrder;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Ticks per latency objective: the tick interval is the tightest objective divided by this, within
/// the two bounds below.
const TICKS_PER_OBJECTIVE: u64 = 4;
const MIN_TICK: Duration = Duration::from_millis(20);
const MAX_TICK: Duration = Duration::from_millis(100);
/// Ticks between two timers while no request is open.
const IDLE_TICKS: u32 = 4;
/// The first subscription is delayed by a random time of up to the poll interval divided by this.
const FIRST_SUBSCRIPTION_DIVISOR: u64 = 4;
/// A subscription that failed is repeated after the poll interval divided by this ...
const RESUBSCRIPTION_DIVISOR: u64 = 8;
/// ... doubled with each further failure, at most this many times.
const MAX_RESUBSCRIPTION_DOUBLINGS: u32 = 2;

/// Makes the balancing decisions of one dispatcher. Dispatchers share no state: each knows only
/// what its own events contain.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    state: BalancerState,
    /// The preference order of each class.
    preferences: Vec<PreferenceOrder>,
    function_orders: FunctionOrders,
    /// For each class, the number of endpoints that may serve it or one of its functions.
    endpoint_counts: Vec<usize>,
    /// Whether each machine kind is too slow for the tightest objective.
    slow_kinds: Vec<bool>,
}

impl Balancer {
    /// Creates a balancer that knows no endpoint yet; `seed` seeds its random number generator.
    ///
    /// # Errors
    ///
    /// Settings that cannot work; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let state = BalancerState::new(&settings, health_checks::MAX_CREDIT);
        let preferences = settings
            .classes
            .iter()
            .map(|_| PreferenceOrder::default())
            .collect();
        Ok(Balancer {
            function_orders: FunctionOrders::new(&settings),
            endpoint_counts: vec![0; settings.classes.len()],
            slow_kinds: vec![false; settings.kind_count],
            settings,
            rng: fastrand::Rng::with_seed(seed),
            state,
            preferences,
        })
    }

    /// Handles one event and appends the resulting actions, to be carried out in order.
    ///
    /// Every endpoint id must have appeared in an endpoint list, and every index must be in range.
    /// Events for requests that are already over are ignored.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        match event {
            Event::EndpointList { kind, entries } => self.on_endpoint_list(now, kind, entries),
            Event::RequestArrived(request) => self.on_request_arrived(now, request, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(now, result, actions),
            Event::AttemptProgressed(progress) => self.on_progress(now, progress, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::DeadlineReached { request } => self.give_up(now, request, actions),
            Event::HealthChecked(result) => self.on_health_checked(now, result, actions),
            Event::TimerFired => {
                self.state.timer_at = None;
                self.tick(now, actions);
            }
        }
        self.set_timer(now, actions);
    }

    /// Detects a stall of this process, by a timer that is more than a tick late. Responses that
    /// arrived during the stall are still unread, so silence until now is no sign of a failure.
    fn detect_stall(&mut self, now: Timestamp) {
        if self
            .state
            .timer_at
            .is_some_and(|at| now > at + self.tick_interval())
        {
            self.state.resumed_at = now;
        }
    }

    /// Sets a timer for the next tick, unless one fires earlier.
    fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let tick = self.tick_interval();
        let after = if self.state.requests.is_empty() {
            IDLE_TICKS * tick
        } else if self.state.awaits_start {
            self.idle_response_time().min(tick)
        } else {
            tick
        };
        let at = now + after;
        if self.state.timer_at.is_none_or(|earlier| earlier > at) {
            self.state.timer_at = Some(at);
            actions.push(Action::SetTimer { after });
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.state.subscribe_at.is_some_and(|at| now >= at) {
            self.state.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        self.check_monitored(now, actions);
        self.refresh_reports(now, actions);
        self.record_missed_starts(now);
        self.release_overdue_attempts(now);
        self.hedge(now, actions);
        self.serve_queue(now, actions);
    }

    fn on_endpoint_list(&mut self, now: Timestamp, kind: ListKind, entries: &[EndpointEntry]) {
        self.schedule_subscription(now, kind);
        if self.state.last_idempotent_at == Timestamp::ORIGIN {
            self.state.last_idempotent_at = now;
        }
        match self.state.apply_list(now, kind, entries) {
            ListChange::Functions(functions) => self.update_preferences_of(&functions),
            ListChange::Endpoints => self.rebuild_preferences(),
        }
    }

    /// Schedules a subscription to the endpoint list after a bootstrap list or the loss of the
    /// source. Any other list resets the count of failed subscriptions.
    ///
    /// Only the simulator's host subscribes on these timers. A dispatcher watches discovery from
    /// its first configuration on, at the rate of its own call schedule.
    fn schedule_subscription(&mut self, now: Timestamp, kind: ListKind) {
        let interval = self.settings.max_poll_interval;
        match kind {
            ListKind::Bootstrap if self.settings.polls_discovery => {
                let max_delay_us = whole_micros(divide(interval, FIRST_SUBSCRIPTION_DIVISOR));
                self.state.subscribe_at = Some(now + self.random_duration(0..=max_delay_us));
            }
            ListKind::SourceLost => {
                let doublings = self
                    .state
                    .subscribe_failures
                    .min(MAX_RESUBSCRIPTION_DOUBLINGS);
                let backoff_us =
                    whole_micros(divide(interval, RESUBSCRIPTION_DIVISOR)) << doublings;
                self.state.subscribe_failures += 1;
                let jitter = self.random_duration(0..=backoff_us);
                self.state.subscribe_at =
                    Some(now + Duration::from_micros(backoff_us / 2) + jitter);
            }
            ListKind::Delta | ListKind::Snapshot | ListKind::Bootstrap => {
                self.state.subscribe_failures = 0;
            }
        }
    }

    /// A random duration within these bounds, which are in microseconds and inclusive.
    fn random_duration(&mut self, micros: RangeInclusive<u64>) -> Duration {
        Duration::from_micros(self.rng.u64(micros))
    }

    /// The time within which an idle endpoint answers a health check or reports the start of a
    /// request.
    fn idle_response_time(&self) -> Duration {
        2 * self.settings.timer_resolution + from_micros_f64(2.0 * self.state.health_check_us)
    }

    /// When an idle endpoint should have answered what was sent at `sent_at`: a health check with
    /// its report, a request with its start. Time during which this process was stalled does not
    /// count.
    fn idle_response_due_at(&self, sent_at: Timestamp) -> Timestamp {
        sent_at.max(self.state.resumed_at) + self.idle_response_time()
    }

    fn tick_interval(&self) -> Duration {
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective);
        let tightest = objectives.min().unwrap_or_default();
        divide(tightest, TICKS_PER_OBJECTIVE).clamp(MIN_TICK, MAX_TICK)
    }

    /// Whether a load report can be requested at any time, by a health check.
    fn can_poll_load(&self) -> bool {
        self.settings.health_checks && self.settings.load_reports != LoadReportSource::None
    }

    /// Whether dispatchers outnumber the endpoints of every class. Each dispatcher then sees little
    /// of any one endpoint.
    fn is_large_fleet(&self) -> bool {
        self.endpoint_counts
            .iter()
            .all(|&count| count < self.settings.instance_count)
    }

    /// Whether the fleet is large and load can be polled. Other dispatchers then see the same load
    /// reports.
    fn is_large_polled_fleet(&self) -> bool {
        self.can_poll_load() && self.is_large_fleet()
    }

    /// Whether the fleet is large and load cannot be polled.
    fn is_large_unpolled_fleet(&self) -> bool {
        !self.can_poll_load() && self.is_large_fleet()
    }
}
