//! The decisions. They say, for a dispatcher that pushes jobs to workers, where each job goes, when it waits,
//! when it is refused, and what becomes of it when workers fail.
//!
//! It is sans-I/O: the host keeps the clock, the connections and the timers, hands events to
//! [`Balancer::handle`] and carries out the actions that come back. Each dispatcher runs one
//! [`Balancer`]; they share nothing.
//!
//! ```
//! use pumiceway_decisions::{Balancer, api::*};
//!
//! # fn main() -> Result<(), SettingsError> {
//! let settings = Settings {
//!     me: 0,
//!     instances: 1,
//!     zones: 1,
//!     my_zone: Some(ZoneId(0)),
//!     kinds: 1,
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         worth: 1.0,
//!         aim: 200_000,
//!         stretch: 2.0,
//!         deadline: 5_000_000,
//!         priority: 0,
//!         wait: None,
//!         zones: None,
//!         kinds: None,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     prices: Prices { cross_zone: 0.1, probe: 0.002 },
//!     report_via: ReportVia::Answers,
//!     list_by_asking: false,
//!     ask_within: 10_000_000,
//!     drain_grace: 500_000,
//!     probes: true,
//!     cancel: true,
//!     second_copies: true,
//!     retry_after: true,
//!     max_retry_after: 2_000_000,
//!     max_attempts: 3,
//!     connect_timeout: 100_000,
//!     connection_idle: 15_000_000,
//!     resolution: 1_000,
//!     tells_start: false,
//!     progress_every: 0,
//!     cold_from: 0.5,
//!     cold_for: 5_000_000,
//!     tip_multiple: 3.0,
//!     fall_window: 2_000_000,
//!     held_most: 0,
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The host's clock, its list of workers, and a request that has come in.
//! let mut now = 1_000_000;
//! let list = [Entry {
//!     worker: WorkerId(0),
//!     id: "10.0.0.1:7000",
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: None,
//!     state: WorkerState::Ready,
//!     ready_at: 0,
//!     size: 1.0,
//!     warm: false,
//!     jobs: None,
//! }];
//! balancer.handle(now, Event::List { kind: ListKind::Whole, entries: &list }, &mut actions);
//! let request = RequestId(0);
//! let (class, left) = (ClassId(0), 5_000_000);
//! let job = Incoming { request, class, left, slots: 1.0, memory: 0.0, work: None, tenant: None, key: None };
//! balancer.handle(now, Event::Request(job), &mut actions);
//!
//! // Carry the actions out in order. The balancer first asks the worker that it is about to use.
//! let mut served = 0;
//! let mut todo = std::collections::VecDeque::from(std::mem::take(&mut actions));
//! while let Some(action) = todo.pop_front() {
//!     let event = match action {
//!         Action::Probe { worker } => {
//!             now += 1_000;
//!             let report = Some(Report { free_slots: Some(4.0), ..Report::default() });
//!             Event::Probed(Probed { worker, status: Status::Ok, latency: 1_000, report })
//!         }
//!         Action::Send { request, worker, .. } => {
//!             // ... the worker answers 30 ms later, and the host hands the answer to the client.
//!             now += 30_000;
//!             served += 1;
//!             let (attempt, status, latency) = (0, Status::Ok, 30_000);
//!             let report = Some(Report { free_slots: Some(3.0), ..Report::default() });
//!             Event::Outcome(Outcome { request, attempt, worker, status, latency, closed: true, report })
//!         }
//!         Action::Wake { .. } => continue, // set a timer that calls handle with Event::Wake
//!         other => {
//!             println!("{other:?}");
//!             continue;
//!         }
//!     };
//!     balancer.handle(now, event, &mut actions);
//!     todo.extend(actions.drain(..));
//! }
//! assert_eq!(served, 1);
//! # Ok(())
//! # }
//! ```

pub mod api;
mod arith;
mod policy;
pub mod rules;
pub mod settings;
mod state;

pub use policy::Balancer;
