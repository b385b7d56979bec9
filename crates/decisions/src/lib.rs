//! Load balancing, queueing and retries of a dispatcher that sends requests to endpoints.
//!
//! The crate does no I/O. The host owns the clock, the connections and the timers, passes events to
//! [`Balancer::handle`] and carries out the actions that it returns. Each dispatcher runs one
//! [`Balancer`]; balancers of different dispatchers share no state.
//!
//! ```
//! use pumiceway_decisions::{Balancer, api::*, settings::DeploymentSettings};
//! use std::collections::VecDeque;
//! use std::time::Duration;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let settings: DeploymentSettings = serde_json::from_str(
//!     r#"{"lanes": [{"name": "rate-push", "aim-us": 200000, "deadline-us": 5000000, "points": 1,
//!         "semantics": "read_like"}],
//!         "limits": {"most-tries": 3, "probes": true}, "report": {"via": "answers"},
//!         "rules": {}}"#,
//! )?;
//! let mut balancer = Balancer::new(settings.to_settings()?, 42)?;
//! let mut actions = Vec::new();
//!
//! // The host's clock, the endpoint list, and a request that has arrived.
//! let mut now = Timestamp::from_micros(1_000_000);
//! let list = [EndpointEntry {
//!     endpoint: EndpointId(0),
//!     name: "10.0.0.1:7000",
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     functions: FunctionSet::empty(),
//!     cell: None,
//!     state: EndpointState::Ready,
//!     started_at: Timestamp::ORIGIN,
//!     relative_size: 1.0,
//!     skips_slow_start: false,
//!     max_concurrent: None,
//! }];
//! let event = Event::EndpointList { kind: ListKind::Snapshot, entries: &list };
//! balancer.handle(now, event, &mut actions);
//! let request = IncomingRequest {
//!     request: RequestId(0),
//!     class: ClassId(0),
//!     function: None,
//!     remaining: Duration::from_secs(5),
//!     slots: 1.0,
//!     memory: 0.0,
//!     work_hint: None,
//!     tenant: None,
//!     affinity_key: None,
//! };
//! balancer.handle(now, Event::RequestArrived(request), &mut actions);
//!
//! // Carry out the actions in order. Before it sends the request, the balancer checks the health
//! // of the endpoint.
//! let mut served = 0;
//! let mut pending = VecDeque::from(std::mem::take(&mut actions));
//! while let Some(action) = pending.pop_front() {
//!     let event = match action {
//!         Action::CheckHealth { endpoint } => {
//!             let latency = Duration::from_millis(1);
//!             now += latency;
//!             let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
//!             Event::HealthChecked(HealthCheckResult {
//!                 endpoint,
//!                 outcome: Outcome::Success,
//!                 latency,
//!                 report,
//!             })
//!         }
//!         Action::Send { request, endpoint, .. } => {
//!             // The endpoint responds after 30 ms, and the host passes the response on.
//!             let latency = Duration::from_millis(30);
//!             now += latency;
//!             served += 1;
//!             Event::AttemptEnded(AttemptResult {
//!                 request,
//!                 attempt_index: 0,
//!                 endpoint,
//!                 outcome: Outcome::Success,
//!                 latency,
//!                 request_done: true,
//!                 report: None,
//!             })
//!         }
//!         // A real host passes Event::TimerFired when the timer expires.
//!         Action::SetTimer { .. } => continue,
//!         other => {
//!             println!("{other:?}");
//!             continue;
//!         }
//!     };
//!     balancer.handle(now, event, &mut actions);
//!     pending.extend(actions.drain(..));
//! }
//! assert_eq!(served, 1);
//! # Ok(())
//! # }
//! ```

pub mod api;
mod bit_set;
mod math;
mod policy;
pub mod rules;
pub mod settings;
mod state;
mod time;

pub use policy::Balancer;
