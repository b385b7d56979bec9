//! Discovery: the route set as its sources list it, by list and by watch.

mod body;
mod call;
mod listing;
pub mod pace;
mod stream;
mod watcher;
pub mod zookeeper;

pub use listing::{Endpoint, Listing, Status};
use pumiceway_core::{RouteNews, Source};
use tokio::time::Instant;
pub use watcher::Watcher;

/// What a source tells, or what has become of it.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceNews {
    /// Who tells.
    pub source: Source,
    /// The earliest time at which it can have been so.
    pub since: Instant,
    /// What it tells.
    pub news: RouteNews,
}

/// What fits into a line of the log. Prevents: it repeats megabytes that discovery said.
fn excerpt(text: &str) -> String {
    text.chars().take(200).collect()
}
