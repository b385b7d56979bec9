//! The core of a dispatcher: a reducer that holds the state of requests, attempts, the endpoint
//! list, timers and the shutdown.
//!
//! The core does no I/O and reads no clock. The event loop passes [`Event`]s, each with the current
//! time, to [`Core::reduce`] and performs the [`Effect`]s that it returns; their results come back
//! as further events. Selection, queueing and retries are decided by the
//! [`Balancer`](pumiceway_decisions::Balancer) of the crate `pumiceway-decisions`; the core checks
//! each of its actions against the [rules](pumiceway_decisions::rules) before executing it.
//!
//! ```
//! use pumiceway_core::{Core, CoreLimits, Effect, Event};
//! use pumiceway_decisions::api::Timestamp;
//! use pumiceway_decisions::settings::DeploymentSettings;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let settings: DeploymentSettings = serde_json::from_str(
//!     r#"{"lanes": [{"name": "rate-push", "aim-us": 200000, "deadline-us": 5000000, "points": 1,
//!         "semantics": "read_like"}], "limits": {"most-tries": 3}, "rules": {}}"#,
//! )?;
//! let mut core = Core::new(settings.to_settings()?, 42, CoreLimits::default())?;
//! let now = Timestamp::from_micros(1_000_000);
//! let configured = Event::Configured {
//!     discovery: Some("127.0.0.1:7000".to_owned()),
//!     list_version: None,
//!     restart_required: vec![],
//! };
//! let effects = core.reduce(now, configured);
//! assert!(matches!(&effects[0], Effect::WatchDiscovery { address, .. } if address == "127.0.0.1:7000"));
//! # Ok(())
//! # }
//! ```

mod attempt;
mod consumed_ids;
mod effect;
mod endpoints;
mod event;
mod functions;
mod idempotency_cache;
mod limits;
mod overview;
mod reducer;
mod request;
mod response;

pub use attempt::{AttemptId, AttemptOutcome, AttemptUpdate};
pub use effect::{Effect, Warning};
pub use endpoints::{Endpoint, EndpointAddress, EndpointListUpdate, EndpointSource};
pub use event::{Event, HealthCheckId};
pub use functions::{
    Abilities, FunctionCatalog, JobFunction, JobFunctionSet, MAX_CLASSES, TooManyClasses,
    WorkerListing,
};
pub use idempotency_cache::IdempotencyCacheLimits;
pub use limits::CoreLimits;
pub use overview::{Overview, RequestCounts};
pub use reducer::Core;
pub use request::{ClientRequest, IdOrigin, Job, RequestHandle};
pub use response::{ClientResponse, Failure, Rejection};
