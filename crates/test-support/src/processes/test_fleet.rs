//! A fleet of dispatchers and the stand-ins around them.

use super::clients::SentRequest;
use super::endpoints::Endpoints;
use super::identities::RepeatedRequest;
use super::returning::Departure;
use super::service::DiscoveryService;
use super::{Conditions, Dispatcher};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A fleet of dispatchers and the stand-ins around them, for one test run.
pub struct TestFleet {
    /// When the run began.
    pub started_at: Instant,
    /// The parameters of the run.
    pub conditions: Conditions,
    /// The endpoints and the list of them.
    pub endpoints: Arc<Endpoints>,
    /// The discovery service.
    pub service: Arc<DiscoveryService>,
    /// The dispatchers.
    pub dispatchers: Vec<Dispatcher>,
    /// Whether clients send no more requests.
    pub clients_stopped: AtomicBool,
    /// Whether clients disconnect right after each request.
    pub disconnect_burst: AtomicBool,
    /// What clients that left and came again have sent.
    pub departures: Mutex<Vec<Departure>>,
    /// The requests that were sent more than once under one id.
    pub repeated: Mutex<Vec<RepeatedRequest>>,
    /// What others than the sound clients have sent, and awaited the response of.
    pub(super) sent: Mutex<Vec<SentRequest>>,
    names: AtomicU64,
    /// Violations of invariants that were recorded during the run.
    pub violations: Mutex<Vec<String>>,
    pub(super) program: PathBuf,
}

impl TestFleet {
    /// Starts this many dispatchers, which run this program, and this many endpoints.
    pub fn start(
        program: &Path,
        dispatchers: usize,
        endpoints: usize,
        conditions: Conditions,
    ) -> Arc<TestFleet> {
        let endpoints = Endpoints::start(endpoints);
        let service = DiscoveryService::start(endpoints.clone());
        let dispatcher = |number| Dispatcher::new(number, dispatchers, service.clone(), conditions);
        let dispatchers = (0..dispatchers).map(dispatcher).collect();
        let fleet = Arc::new(TestFleet {
            started_at: Instant::now(),
            conditions,
            endpoints,
            service,
            dispatchers,
            clients_stopped: AtomicBool::new(false),
            disconnect_burst: AtomicBool::new(false),
            departures: Mutex::default(),
            repeated: Mutex::default(),
            sent: Mutex::default(),
            names: AtomicU64::default(),
            violations: Mutex::default(),
            program: program.to_owned(),
        });
        for dispatcher in &fleet.dispatchers {
            dispatcher.launch(&fleet);
        }
        fleet
    }

    /// A name with this beginning that nothing else in the run has.
    pub(super) fn unique_name(&self, kind: &str) -> String {
        format!("{kind}-{}", self.names.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn record_sent(&self, request: SentRequest) {
        self.sent.lock().unwrap().push(request);
    }

    /// Records the violation of an invariant, with the current time.
    pub fn record_violation(&self, description: String) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.violations
            .lock()
            .unwrap()
            .push(format!("{at:.3} {description}"));
    }
}
