//! Dispatcher instances. Each has a core, which is started, receives events, and is stopped or
//! killed.

use super::clients::OpenRequest;
use super::endpoint_list::list_updated;
use super::event_queue::{Incarnation, SimulationEvent};
use super::plan::InjectedFault;
use super::settings::settings;
use super::simulation::Simulation;
use pumiceway_core::{Core, CoreLimits, EndpointListUpdate, Event};
use pumiceway_decisions::api::{EndpointState, Timestamp};
use pumiceway_net::discovery::call_schedule::CallSchedule;
use std::collections::HashMap;
use std::time::Duration;

/// The supervisor kills a process this long after it was asked to stop.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_millis(3_700);
/// A request that arrives later than this after the stop was requested must have a response before
/// the process is killed, even if its deadline is later.
const STOP_NOTICE: Duration = Duration::from_millis(700);
/// The supervisor starts a process again this long after it has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A dispatcher: its current process, if any, and the state that outlives processes.
pub(super) struct Instance {
    pub core: Option<Core>,
    /// The number of processes that were started.
    pub incarnation: u32,
    pub started_at: Timestamp,
    pub timer: Option<Timestamp>,
    pub call_schedule: CallSchedule,
    pub has_watch: bool,
    /// How many watches this process has requested. Only the last one is in use.
    pub watches_requested: u32,
    /// The list version that a process of the instance was last notified of. Outlives the process.
    pub list_version: usize,
    /// The list version that the agent beside the instance has.
    pub agent_version: usize,
    /// Whether this process has received a list from discovery.
    pub has_list: bool,
    pub stop_requested_at: Option<Timestamp>,
    pub frontends_open: bool,
    /// Whether clients are routed to the instance. The first process has to report that it is ready;
    /// a restarted process receives clients at once.
    pub is_ready: bool,
    /// The number of open connections of clients that wait for a response.
    pub open_connections: usize,
    /// The time from which each idle connection can be used, by endpoint.
    pub idle_connections: HashMap<usize, Vec<Timestamp>>,
}

impl Default for Instance {
    /// An instance before its first process.
    fn default() -> Instance {
        Instance {
            core: None,
            incarnation: 0,
            started_at: Timestamp::ORIGIN,
            timer: None,
            call_schedule: CallSchedule::new(1, Duration::ZERO),
            has_watch: false,
            watches_requested: 0,
            list_version: 0,
            agent_version: 0,
            has_list: false,
            stop_requested_at: None,
            frontends_open: false,
            is_ready: false,
            open_connections: 0,
            idle_connections: HashMap::new(),
        }
    }
}

impl Instance {
    pub fn accepts_clients(&self) -> bool {
        self.core.is_some() && self.frontends_open && self.is_ready
    }

    fn start(&mut self, core: Core, call_schedule: CallSchedule, now: Timestamp) {
        self.core = Some(core);
        self.incarnation += 1;
        self.started_at = now;
        self.timer = None;
        self.call_schedule = call_schedule;
        self.has_watch = false;
        self.watches_requested = 0;
        self.has_list = false;
        self.stop_requested_at = None;
        self.frontends_open = true;
        self.is_ready = self.incarnation > 1;
        self.open_connections = 0;
        self.idle_connections.clear();
    }
}

impl Simulation {
    pub fn current_incarnation(&self, instance: usize) -> Incarnation {
        Incarnation {
            instance,
            number: self.instances[instance].incarnation,
        }
    }

    pub fn start_instance(&mut self, instance: usize) {
        let settings = settings(self.plan, instance);
        let call_schedule = if settings.polls_discovery {
            CallSchedule::new(self.plan.instances, settings.max_poll_interval)
        } else {
            CallSchedule::agent()
        };
        let core = Core::new(
            settings,
            self.plan.seed ^ instance as u64,
            CoreLimits::default(),
        )
        .expect("the settings of a plan are valid");
        self.instances[instance].start(core, call_schedule, self.now);
        self.configure(self.current_incarnation(instance));
    }

    /// Delivers the bootstrap list and the configuration to a new process. The bootstrap list has
    /// the last version that the previous process was notified of.
    fn configure(&mut self, incarnation: Incarnation) {
        let version = self.instances[incarnation.instance].list_version;
        let listed = (0..self.endpoints.len())
            .filter(|&endpoint| self.state_at(endpoint, version) != EndpointState::Gone);
        let bootstrap = listed
            .map(|endpoint| self.list_entry(endpoint, version))
            .collect();
        let update = if self.plan.injects(InjectedFault::BootstrapConfirmed) {
            EndpointListUpdate::Snapshot(bootstrap)
        } else {
            EndpointListUpdate::Bootstrap(bootstrap)
        };
        self.deliver(incarnation, list_updated(self.now, update));
        let configured = Event::Configured {
            discovery: Some("discovery".to_owned()),
            list_version: Some(version as u64),
            restart_required: vec![],
        };
        self.deliver(incarnation, configured);
    }

    /// Passes an event to a core and executes the effects.
    pub fn deliver(&mut self, incarnation: Incarnation, event: Event) {
        if !self.is_current(incarnation) {
            return;
        }
        let Some(core) = &mut self.instances[incarnation.instance].core else {
            return;
        };
        for effect in core.reduce(self.now, event) {
            self.execute_effect(incarnation, effect);
        }
    }

    /// Handles a scheduled event that reaches its core.
    pub fn event_delivered(&mut self, incarnation: Incarnation, event: Event) {
        match &event {
            Event::AttemptEnded { attempt, .. } => self.remove_attempt(incarnation, *attempt),
            Event::ClientDisconnected { handle } => self.client_disconnects(incarnation, *handle),
            _ => {}
        }
        self.deliver(incarnation, event);
        self.close_frontends_if_unused(incarnation);
    }

    pub fn timer_expires(&mut self, incarnation: Incarnation, at: Timestamp) {
        let is_set = self.instances[incarnation.instance].timer == Some(at);
        if self.is_current(incarnation) && is_set && !self.timers_have_ended() {
            self.instances[incarnation.instance].timer = None;
            self.deliver(incarnation, Event::TimerFired);
        }
    }

    /// Reports to a core that has closed its frontends that they are closed, once no client waits
    /// for a response. Clients keep their connections open while they wait.
    pub fn close_frontends_if_unused(&mut self, incarnation: Incarnation) {
        let instance = &self.instances[incarnation.instance];
        let is_unused = !instance.frontends_open && instance.open_connections == 0;
        if self.is_current(incarnation) && is_unused {
            let closed = SimulationEvent::Delivered(incarnation, Event::FrontendsClosed);
            self.schedule(Duration::ZERO, closed);
        }
    }

    /// Asks the process of an instance to stop, and schedules a kill at the end of the time limit.
    pub fn request_stop(&mut self, instance: usize) {
        let incarnation = self.current_incarnation(instance);
        self.instances[instance].stop_requested_at = Some(self.now);
        self.deliver(incarnation, Event::ShutdownRequested);
        self.schedule(STOP_TIMEOUT, SimulationEvent::StopForced(incarnation));
    }

    /// Handles the exit of a process. All its responses must have been sent.
    pub fn exit(&mut self, incarnation: Incarnation) {
        let outstanding = self.outstanding_responses(incarnation, |_| true);
        let instance = incarnation.instance;
        if outstanding > 0 {
            self.record_violation(format!(
                "instance {instance} has exited with {outstanding} responses outstanding"
            ));
        }
        self.restart_later(instance);
    }

    pub fn stop_forced(&mut self, incarnation: Incarnation) {
        if !self.is_current(incarnation) {
            return;
        }
        let instance = incarnation.instance;
        let now = self.now;
        let requested_at = self.instances[instance].stop_requested_at.unwrap_or(now);
        // A request whose deadline is after the kill may be lost, unless it arrived after the
        // notice: by then the process knew when it would be killed.
        let is_due = |open: &OpenRequest| {
            let class = &self.settings.classes[open.request.requirements.class];
            let arrived_after_notice = open.submitted_at > requested_at + STOP_NOTICE;
            arrived_after_notice || open.submitted_at + class.deadline <= now
        };
        let outstanding = self.outstanding_responses(incarnation, is_due);
        if outstanding > 0 {
            self.record_violation(format!(
                "instance {instance} was killed while stopping, with {outstanding} responses outstanding"
            ));
        }
        self.restart_later(instance);
    }

    fn outstanding_responses(
        &self,
        incarnation: Incarnation,
        counts: impl Fn(&OpenRequest) -> bool,
    ) -> usize {
        let open = self.requests.values();
        open.filter(|open| open.incarnation == incarnation && open.awaits_response)
            .filter(|open| counts(open))
            .count()
    }

    fn restart_later(&mut self, instance: usize) {
        self.kill_instance(instance);
        self.schedule(RESTART_DELAY, SimulationEvent::InstanceStarts(instance));
    }

    /// Ends a process and aborts its attempts.
    pub fn kill_instance(&mut self, instance: usize) {
        let incarnation = self.current_incarnation(instance);
        let killed = &mut self.instances[instance];
        killed.core = None;
        killed.frontends_open = false;
        killed.has_watch = false;
        for open in self.requests.values_mut() {
            if open.incarnation == incarnation {
                open.awaits_response = false;
            }
        }
        let keys = self.attempts.keys().copied();
        let mut keys: Vec<_> = keys.filter(|key| key.incarnation == incarnation).collect();
        // The order of the hash map is not deterministic.
        keys.sort_unstable();
        for key in keys {
            self.abort_attempt(key);
        }
    }
}
