//! Discovery: the route set as its sources list it, by list and by watch.

mod body;
mod call;
pub mod call_schedule;
mod list_message;
mod stream;
mod watcher;
pub mod zookeeper;

pub use list_message::{ListMessage, ListedEndpoint, ListedState};
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use tokio::time::Instant;
pub use watcher::DiscoveryWatcher;

/// What a source tells, or what has become of it.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// Who tells.
    pub source: EndpointSource,
    /// The earliest time at which it can have been so.
    pub as_of: Instant,
    /// What it tells.
    pub update: EndpointListUpdate,
}

/// What fits into a line of the log. Prevents: it repeats megabytes that discovery said.
fn excerpt(text: &str) -> String {
    text.chars().take(200).collect()
}
