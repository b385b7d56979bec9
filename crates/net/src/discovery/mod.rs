//! Sources of endpoints: a discovery service and ZooKeeper.
//!
//! Each source runs as a task and sends its lists as [`SourceUpdate`]s. An update carries the
//! earliest time at which it can have been true, as the lease of the list runs from then.

mod body;
mod call;
pub mod call_schedule;
mod list_message;
mod message_decoder;
mod watcher;
pub mod zookeeper;

pub use list_message::{ListMessage, ListedEndpoint, ListedState};
pub use watcher::DiscoveryWatcher;

use pumiceway_core::{EndpointListUpdate, EndpointSource};
use tokio::time::Instant;

/// Characters of a remote text that fit into a line of the log.
const EXCERPT_CHARS: usize = 200;

/// An update of a source's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// The source of the update.
    pub source: EndpointSource,
    /// The earliest time at which the update can have been true.
    pub as_of: Instant,
    /// The update.
    pub update: EndpointListUpdate,
}

/// The beginning of a text, short enough for the log: a service may send megabytes that are not
/// valid.
fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS).collect()
}
