//! The task that watches a discovery service.

use super::SOURCE_CHANNEL_CAPACITY;
use crate::discovery::{DiscoveryWatcher, ListLimits, SourceUpdate};
use pumiceway_decisions::settings::DeploymentSettings;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;

/// A watch of a discovery service. The task is aborted when this is dropped.
pub(super) struct WatchTask {
    demand: Arc<Notify>,
    updates: mpsc::Receiver<SourceUpdate>,
    _task: JoinSet<()>,
}

impl WatchTask {
    /// Spawns a watch of the service at this address. `address_changed` states that it replaces a
    /// watch of another address.
    pub(super) fn start(
        address: String,
        settings: Arc<DeploymentSettings>,
        list_version: Option<u64>,
        address_changed: bool,
        limits: ListLimits,
    ) -> WatchTask {
        let (sender, updates) = mpsc::channel(SOURCE_CHANNEL_CAPACITY);
        let mut watcher =
            DiscoveryWatcher::new(address, settings, list_version, address_changed, sender);
        watcher.limits = limits;
        let demand = watcher.demand.clone();
        let mut task = JoinSet::new();
        task.spawn(watcher.run());
        WatchTask {
            demand,
            updates,
            _task: task,
        }
    }

    /// Notifies the watcher that a request was received. If it has not made its first call yet, it
    /// makes the call sooner.
    pub(super) fn notify_demand(&self) {
        self.demand.notify_one();
    }

    /// Waits for the next update; never completes if there is no watch.
    pub(super) async fn next(watch: &mut Option<WatchTask>) -> SourceUpdate {
        if let Some(watch) = watch
            && let Some(update) = watch.updates.recv().await
        {
            return update;
        }
        std::future::pending().await
    }
}
