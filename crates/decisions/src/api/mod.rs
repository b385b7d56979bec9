//! The interface of the decisions: settings, events and actions.
//!
//! The host hands out integer handles for requests and endpoints; classes, zones and machine kinds
//! are indices into the [`Settings`]. No decision can therefore depend on what anything is called.
//! The name of an endpoint serves list order only.
//!
//! All times are points on the host's own clock ([`Timestamp`]), which starts anywhere and only
//! advances.

mod action;
mod class;
mod endpoint;
mod event;
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
pub use ids::{ClassId, EndpointId, KindId, RequestId, TenantId, ZoneId};
pub use report::{LoadReport, Outcome};
pub use settings::{LoadReportSource, Prices, Settings, SettingsError};
