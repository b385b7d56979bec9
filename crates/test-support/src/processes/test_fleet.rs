//! Everything in one play: the dispatchers and the stand-ins around them.

use super::endpoints::Endpoints;
use super::service::DiscoveryService;
use super::{Conditions, Dispatcher};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Everything in one play.
pub struct TestFleet {
    /// When it began.
    pub start: Instant,
    /// What holds throughout.
    pub conditions: Conditions,
    /// The endpoints and the list of them.
    pub endpoints: Arc<Endpoints>,
    /// The discovery service.
    pub service: Arc<DiscoveryService>,
    /// The dispatchers.
    pub dispatchers: Vec<Dispatcher>,
    /// Clients begin no more requests.
    pub over: AtomicBool,
    /// Clients disconnect right after each request.
    pub disconnect_burst: AtomicBool,
    /// Invariants that were broken during the play.
    pub broken: Mutex<Vec<String>>,
    pub(super) program: PathBuf,
}

impl TestFleet {
    /// Starts so many dispatchers of this program, and endpoints.
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
        let world = Arc::new(TestFleet {
            start: Instant::now(),
            conditions,
            endpoints,
            service,
            dispatchers,
            over: AtomicBool::new(false),
            disconnect_burst: AtomicBool::new(false),
            broken: Mutex::default(),
            program: program.to_owned(),
        });
        for dispatcher in &world.dispatchers {
            dispatcher.launch(&world);
        }
        world
    }

    /// Notes that an invariant is broken.
    pub fn record_violation(&self, description: String) {
        let at = self.start.elapsed().as_secs_f64();
        self.broken
            .lock()
            .unwrap()
            .push(format!("{at:.3} {description}"));
    }
}
