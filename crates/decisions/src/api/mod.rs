//! The interface between the balancer and its host: settings, events and actions.
//!
//! The host assigns integer ids to requests and endpoints; classes, zones and machine kinds are
//! indices into the [`Settings`]. Decisions therefore do not depend on names, except that the names
//! of endpoints determine the preference order and hashes that all dispatchers share.
//!
//! All times are points on the host's monotonic clock ([`Timestamp`]), whose origin is arbitrary.

mod action;
mod class;
mod endpoint;
mod event;
mod functions;
mod ids;
mod report;
mod settings;

pub use crate::time::Timestamp;
pub use action::Action;
pub use class::{Class, DeduplicationScope, Idempotency, Tenant};
pub use endpoint::{EndpointEntry, EndpointState, ListKind};
pub use event::{
    AttemptProgress, AttemptResult, Event, HealthCheckResult, IncomingRequest, Progress,
};
pub use functions::FunctionSet;
pub use ids::{ClassId, EndpointId, FunctionId, KindId, RequestId, TenantId, ZoneId};
pub use report::{LoadReport, Outcome};
pub use settings::{LoadReportSource, Prices, Settings, SettingsError};
