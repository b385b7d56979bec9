//! The watch of one discovery service, as a task.

use super::SOURCE_CHANNEL_CAPACITY;
use crate::discovery::{DiscoveryWatcher, SourceUpdate};
use pumiceway_decisions::settings::DeploymentSettings;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;

/// A watch of a discovery service; ends when dropped.
pub(super) struct WatchTask {
    demand: Arc<Notify>,
    updates: mpsc::Receiver<SourceUpdate>,
    _task: JoinSet<()>,
}

impl WatchTask {
    /// Watches the service at this address; `after_move`: in place of another one.
    pub(super) fn start(
        address: String,
        settings: Arc<DeploymentSettings>,
        list_version: Option<u64>,
        after_move: bool,
    ) -> WatchTask {
        let (sender, updates) = mpsc::channel(SOURCE_CHANNEL_CAPACITY);
        let watcher = DiscoveryWatcher::new(address, settings, list_version, after_move, sender);
        let demand = watcher.demand.clone();
        let mut task = JoinSet::new();
        task.spawn(watcher.run());
        WatchTask {
            demand,
            updates,
            _task: task,
        }
    }

    /// A request has come; a watcher that has not made its first call makes it sooner.
    pub(super) fn demand(&self) {
        self.demand.notify_one();
    }

    /// The next update; never ready where there is no watch.
    pub(super) async fn next(watch: &mut Option<WatchTask>) -> SourceUpdate {
        if let Some(watch) = watch
            && let Some(update) = watch.updates.recv().await
        {
            return update;
        }
        std::future::pending().await
    }
}
