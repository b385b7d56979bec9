//! Sources of endpoints: a discovery service and ZooKeeper.
//!
//! Each source runs as a task and sends its lists as [`SourceUpdate`]s. An update carries the
//! earliest time at which it can have been valid, because the lease on the list starts at that
//! time.

mod body;
mod call;
pub mod call_schedule;
mod list_message;
mod list_text;
mod message_decoder;
mod watcher;
pub mod zookeeper;

pub use list_message::{ListMessage, ListedEndpoint, ListedState};
pub use list_text::ListLimits;
pub use watcher::DiscoveryWatcher;

use pumiceway_core::{EndpointListUpdate, EndpointSource};
use tokio::time::Instant;

/// An update of the endpoint list of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// The source of the update.
    pub source: EndpointSource,
    /// The earliest time at which the update can have been valid.
    pub as_of: Instant,
    /// The update.
    pub update: EndpointListUpdate,
}
