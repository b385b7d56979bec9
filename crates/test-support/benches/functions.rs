//! Measures what several functions of one class cost a dispatcher: the time of `CAN_DO`, of a decision
//! with free workers and of one with a full queue, and the memory of a session. Run with
//! `cargo bench -p pumiceway-test-support --bench functions`. The memory of a row is that of a new process
//! only if the number of the row is given, from 0: `… --bench functions -- 1`.

use bytes::Bytes;
use pumiceway_core::{
    Abilities, AttemptId, AttemptOutcome, AttemptUpdate, ClientRequest, Core, CoreLimits, Effect,
    Endpoint, EndpointAddress, EndpointListUpdate, EndpointSource, Event, FunctionCatalog,
    IdOrigin, Job, JobFunction, RequestHandle,
};
use pumiceway_decisions::api::{ClassId, EndpointState, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use pumiceway_test_support::SETTINGS;
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SESSIONS: usize = 1_000;
const MAX_QUEUED: usize = 256;
const DECISIONS: u64 = 20_000;
const CLASS: &str = "rate-push";
const PAGE_BYTES: f64 = 4_096.0;

/// Which functions a worker can do.
#[derive(Clone, Copy, Debug)]
enum Fleet {
    /// All of them.
    EveryFunction,
    /// This many, from a position that moves on with each worker.
    Functions(usize),
}

struct Bench {
    core: Core,
    catalog: FunctionCatalog,
    functions: Vec<JobFunction>,
    now: Timestamp,
    next_handle: u64,
    /// Attempts in flight.
    attempts: Vec<AttemptId>,
}

impl Bench {
    fn new(function_count: usize) -> Result<Bench, Box<dyn Error>> {
        let deployment: DeploymentSettings = serde_json::from_str(SETTINGS)?;
        let mut settings = deployment.to_settings()?;
        let names: Vec<String> = (0..function_count).map(|n| format!("f{n:03}")).collect();
        let functions = names.iter().map(|name| (name.as_str(), ClassId(0)));
        let catalog = FunctionCatalog::add(&mut settings, &[CLASS], functions)?;
        for class in &mut settings.classes {
            class.max_queue_time = Some(class.deadline);
        }
        settings.max_queued = MAX_QUEUED;
        let functions = names.iter().filter_map(|name| catalog.function(name));
        Ok(Bench {
            functions: functions.collect(),
            core: Core::new(settings, 7, CoreLimits::default())?,
            catalog,
            now: Timestamp::from_micros(1_000_000),
            next_handle: 0,
            attempts: Vec::new(),
        })
    }

    /// Passes an event to the core. Returns how long it took.
    fn reduce(&mut self, event: Event) -> Duration {
        self.now += Duration::from_micros(10);
        let start = Instant::now();
        let effects = self.core.reduce(self.now, event);
        let elapsed = start.elapsed();
        for effect in &effects {
            if let Effect::StartAttempt { attempt, .. } = effect {
                self.attempts.push(*attempt);
            }
        }
        elapsed
    }

    /// A worker connects and names its functions one by one.
    fn connect(&mut self, session: usize, fleet: Fleet, times: &mut Times) {
        let count = match fleet {
            Fleet::EveryFunction => self.functions.len(),
            Fleet::Functions(count) => count.min(self.functions.len()),
        };
        let mut abilities = Abilities::default();
        for n in 0..count {
            abilities
                .functions
                .insert(self.functions[(session * count + n) % self.functions.len()]);
            let update =
                EndpointListUpdate::Delta(self.endpoint(session, &abilities).into_iter().collect());
            let event = Event::EndpointListUpdated {
                source: EndpointSource::Gearman,
                as_of: Timestamp::ORIGIN,
                update,
            };
            times.add(self.reduce(event));
        }
    }

    fn endpoint(&self, session: usize, abilities: &Abilities) -> Option<Endpoint> {
        let listing = self.catalog.listing(abilities)?;
        Some(Endpoint {
            name: format!("gearman:{session:04}"),
            address: EndpointAddress::Session(session as u64),
            zone: self.catalog.worker_zone(),
            kind: listing.kind,
            functions: listing.functions,
            cell: None,
            state: EndpointState::Ready,
            started_at: Timestamp::from_micros(1),
            relative_size: 0.25,
            skips_slow_start: true,
            max_concurrent: Some(1),
        })
    }

    fn submit(&mut self) -> Duration {
        let handle = self.next_handle;
        self.next_handle += 1;
        let function = self.functions[handle as usize % self.functions.len()];
        let id = format!("t{handle}");
        let request = ClientRequest {
            function,
            remaining: Duration::from_secs(5),
            slots: 1.0,
            memory: 0.0,
            tenant: None,
            id_origin: IdOrigin::Frontend,
            job: Arc::new(Job {
                path: format!("/{CLASS}/{id}"),
                id,
                unique_id: None,
                idempotency_key: None,
                body: Bytes::new(),
            }),
        };
        let handle = RequestHandle(handle);
        self.reduce(Event::RequestSubmitted { handle, request })
    }

    /// The attempt that began first starts to run and is served; returns how long the latter took.
    fn serve_first(&mut self) -> Duration {
        let attempt = self.attempts.remove(0);
        let update = AttemptUpdate::Started;
        self.reduce(Event::AttemptUpdated { attempt, update });
        let outcome = AttemptOutcome::Served(Bytes::new());
        let report = None;
        let event = Event::AttemptEnded {
            attempt,
            outcome,
            report,
        };
        self.reduce(event)
    }
}

/// How long events of one sort took.
#[derive(Default)]
struct Times {
    total: Duration,
    highest: Duration,
    count: u32,
}

impl Times {
    fn add(&mut self, time: Duration) {
        self.total += time;
        self.highest = self.highest.max(time);
        self.count += 1;
    }

    fn mean_us(&self) -> f64 {
        micros(self.total) / f64::from(self.count)
    }

    fn highest_us(&self) -> f64 {
        micros(self.highest)
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// The resident memory of this process in bytes.
fn resident_bytes() -> Result<f64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

fn run(function_count: usize, fleet: Fleet) -> Result<(), Box<dyn Error>> {
    let mut bench = Bench::new(function_count)?;
    let before = resident_bytes()?;
    let mut can_do = Times::default();
    for session in 0..SESSIONS {
        bench.connect(session, fleet, &mut can_do);
    }
    let mut free = Times::default();
    for _ in 0..DECISIONS {
        free.add(bench.submit());
        bench.serve_first();
    }
    let session_bytes = (resident_bytes()? - before) / SESSIONS as f64;
    // Every worker is busy, and a job of each function waits.
    for _ in 0..2 * SESSIONS + MAX_QUEUED {
        bench.submit();
    }
    let mut full = Times::default();
    for _ in 0..DECISIONS / 10 {
        full.add(bench.serve_first());
        full.add(bench.submit());
    }
    println!(
        "{function_count:9}  {:14}  {:9.2}  {:11.1}  {:7.2}  {:10.1}  {:7.2}  {:10.1}  {session_bytes:13.0}",
        format!("{fleet:?}"),
        can_do.mean_us(),
        can_do.highest_us(),
        free.mean_us(),
        free.highest_us(),
        full.mean_us(),
        full.highest_us(),
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "functions  fleet           CAN_DO us  highest us   free us  highest us  full us  highest us  bytes/session"
    );
    let rows = [
        (1, Fleet::EveryFunction),
        (200, Fleet::EveryFunction),
        (200, Fleet::Functions(5)),
        (200, Fleet::Functions(1)),
    ];
    let row: Option<usize> = std::env::args().find_map(|argument| argument.parse().ok());
    for (index, (function_count, fleet)) in rows.into_iter().enumerate() {
        if row.is_none_or(|row| row == index) {
            run(function_count, fleet)?;
        }
    }
    Ok(())
}
