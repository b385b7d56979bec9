//! A fixture for tests of the core: keeps the clock, passes events and filters effects.
//!
//! Endpoints are not simulated: each test decides how and when attempts end.
#![allow(dead_code)] // each test file uses only a part

#[path = "../../../decisions/tests/common/mod.rs"]
mod decisions_common;
pub mod deployments;

pub use decisions_common::{MS, START, class, settings};

use bytes::Bytes;
use pumiceway_core::*;
use pumiceway_decisions::api::{
    ClassId, EndpointId, EndpointState, FunctionSet, Idempotency, KindId, LoadReportSource,
    Settings, Timestamp, ZoneId,
};
use std::sync::Arc;
use std::time::Duration;

/// The class of the settings that [`single_class`] returns.
pub const ONLY_CLASS: usize = 0;

/// The interval at which [`TestCore::advance`] fires the timer.
const TICK: Duration = Duration::from_millis(5);

/// A core with a clock that the test controls.
pub struct TestCore {
    core: Core,
    pub now: Timestamp,
    /// Whether the core has returned [`Effect::ReportReady`].
    pub is_ready: bool,
    /// The deadline of each class.
    deadlines: Vec<Duration>,
}

impl TestCore {
    /// A core for which the discovery service has listed these endpoints.
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> TestCore {
        TestCore::with_limits(settings, endpoints, CoreLimits::default())
    }

    pub fn with_limits(settings: Settings, endpoints: &[Endpoint], limits: CoreLimits) -> TestCore {
        let mut core = TestCore::without_list(settings, limits);
        core.list(endpoints);
        core
    }

    /// A core that has received no endpoint list.
    pub fn without_list(settings: Settings, limits: CoreLimits) -> TestCore {
        let deadlines = settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .collect();
        let core = Core::new(settings, 7, limits).unwrap();
        TestCore {
            core,
            now: START,
            is_ready: false,
            deadlines,
        }
    }

    pub fn reduce(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.core.reduce(self.now, event);
        self.is_ready |= effects.contains(&Effect::ReportReady);
        effects
    }

    pub fn overview(&self) -> Overview {
        self.core.overview()
    }

    /// Sends a snapshot of discovery with exactly these endpoints.
    pub fn list(&mut self, endpoints: &[Endpoint]) -> Vec<Effect> {
        self.update_list(EndpointListUpdate::Snapshot(endpoints.to_vec()))
    }

    /// Sends an update of discovery that is current as of the start of the test.
    pub fn update_list(&mut self, update: EndpointListUpdate) -> Vec<Effect> {
        self.update_list_from(EndpointSource::Discovery, START, update)
    }

    pub fn update_list_from(
        &mut self,
        source: EndpointSource,
        as_of: Timestamp,
        update: EndpointListUpdate,
    ) -> Vec<Effect> {
        self.reduce(Event::EndpointListUpdated {
            source,
            as_of,
            update,
        })
    }

    /// Submits a request whose remaining time is the deadline of its class.
    pub fn submit(&mut self, class: usize, handle: u64) -> Vec<Effect> {
        self.submit_for(class, handle, self.deadlines[class])
    }

    /// Submits a request with this remaining time.
    pub fn submit_for(&mut self, class: usize, handle: u64, remaining: Duration) -> Vec<Effect> {
        self.submit_as(class, handle, &format!("t{handle}"), remaining)
    }

    /// Submits a request with this request id and remaining time.
    pub fn submit_as(
        &mut self,
        class: usize,
        handle: u64,
        id: &str,
        remaining: Duration,
    ) -> Vec<Effect> {
        self.submit_request(handle, request(class, id, remaining))
    }

    pub fn submit_request(&mut self, handle: u64, request: ClientRequest) -> Vec<Effect> {
        self.reduce(Event::RequestSubmitted {
            handle: RequestHandle(handle),
            request,
        })
    }

    pub fn disconnect(&mut self, handle: u64) -> Vec<Effect> {
        self.reduce(Event::ClientDisconnected {
            handle: RequestHandle(handle),
        })
    }

    pub fn end_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Vec<Effect> {
        self.reduce(Event::AttemptEnded {
            attempt,
            outcome,
            report: None,
        })
    }

    pub fn fire_timer(&mut self) -> Vec<Effect> {
        self.reduce(Event::TimerFired)
    }

    /// Advances the clock, and fires the timer every 5 ms and at the end.
    pub fn advance(&mut self, span: Duration) -> Vec<Effect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            effects.extend(self.fire_timer());
        }
        effects
    }
}

/// Settings with one class, without health checks or load reports.
pub fn single_class(idempotency: Idempotency) -> Settings {
    Settings {
        health_checks: false,
        load_reports: LoadReportSource::None,
        ..settings(idempotency)
    }
}

/// A ready endpoint that started long ago.
pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: EndpointAddress::Network(format!("{name}:1")),
        zone: ZoneId(0),
        kind: KindId(0),
        functions: FunctionSet::default(),
        cell: Some(0),
        state: EndpointState::Ready,
        started_at: Timestamp::ORIGIN,
        relative_size: 1.0,
        skips_slow_start: false,
        max_concurrent: None,
    }
}

/// A request without a unique id.
pub fn request(class: usize, id: &str, remaining: Duration) -> ClientRequest {
    let job = Job {
        id: id.to_owned(),
        unique_id: None,
        path: format!("/c{class}/k"),
        idempotency_key: Some("key".to_owned()),
        body: Bytes::new(),
    };
    ClientRequest {
        function: JobFunction::default_of(ClassId(class)),
        remaining,
        slots: 1.0,
        memory: 0.0,
        tenant: None,
        id_origin: IdOrigin::Client,
        job: Arc::new(job),
    }
}

/// A successful attempt outcome.
pub fn served() -> AttemptOutcome {
    AttemptOutcome::Served("x".into())
}

/// The response to a request whose attempt ended with [`served`].
pub fn served_response() -> ClientResponse {
    ClientResponse::Served("x".into())
}

/// The attempts started by these effects, each with its endpoint.
pub fn started_attempts_at(effects: &[Effect]) -> Vec<(AttemptId, EndpointId)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::StartAttempt {
                attempt, endpoint, ..
            } => Some((*attempt, *endpoint)),
            _ => None,
        })
        .collect()
}

/// The attempts started by these effects.
pub fn started_attempts(effects: &[Effect]) -> Vec<AttemptId> {
    started_attempts_at(effects)
        .into_iter()
        .map(|(attempt, _)| attempt)
        .collect()
}

/// The final responses in these effects, each with its request handle.
pub fn responses(effects: &[Effect]) -> Vec<(u64, ClientResponse)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Respond { handle, response } => Some((handle.0, response.clone())),
            _ => None,
        })
        .collect()
}

/// The request handles that get a final response.
pub fn responded_handles(effects: &[Effect]) -> Vec<u64> {
    responses(effects)
        .into_iter()
        .map(|(handle, _)| handle)
        .collect()
}

/// Whether the only response is an overload response for this handle, with a back-off if and only
/// if the settings allow one, and not above their maximum.
pub fn is_only_overload_response(
    settings: &Settings,
    responses: &[(u64, ClientResponse)],
    handle: u64,
) -> bool {
    let [(to, ClientResponse::Overloaded { retry_after })] = responses else {
        return false;
    };
    let is_within_bound = retry_after.map(|back_off| back_off <= settings.max_retry_after);
    *to == handle && is_within_bound == settings.retry_after.then_some(true)
}
