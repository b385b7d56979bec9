//! Watches a discovery service: requests the endpoint list, receives its changes, and reconnects
//! when the watch ends.
//!
//! Each update carries the earliest time at which it can have been valid, and the end of a watch is
//! reported as an update too: the lease on the list depends on both. See
//! `docs/design/membership.md`.

mod error;
mod versions;
mod watch;

use super::SourceUpdate;
use super::body::{ReadError, TimestampedBody};
use super::call::CallPolicy;
use super::call_schedule::CallSchedule;
use super::list_message::ListMessage;
use super::list_text::{ListLimits, ListText};
use super::message_decoder::MessageDecoder;
use crate::excerpt::excerpt;
pub(super) use error::{MalformedMessage, WatchError};
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_decisions::settings::DeploymentSettings;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};
use tracing::{debug, info, warn};
use versions::{ListVersions, VersionOrder};
use watch::Watch;

/// The service sends a line every 2 s. A watch that completes no message within this time is
/// closed.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A service that has sent only versions below its highest one for this long is taken to have
/// restarted its numbering. One that merely lags behind what it has sent catches up much sooner: a
/// dispatcher counts as notified of a change after 6 s.
const RENUMBERED_AFTER: Duration = Duration::from_secs(60);

/// Watches a discovery service and sends its endpoint list until the receiver is dropped.
pub struct DiscoveryWatcher {
    /// Notified when a request is waiting for the first list.
    pub demand: Arc<Notify>,
    /// Once the service has sent only versions below its highest one for this long, they are
    /// accepted.
    pub renumbered_after: Duration,
    /// What the lists may take.
    pub limits: ListLimits,
    address: String,
    settings: Arc<DeploymentSettings>,
    /// Whether a reload has changed the address of discovery to `address`.
    address_changed: bool,
    updates: mpsc::Sender<SourceUpdate>,
    versions: ListVersions,
}

impl DiscoveryWatcher {
    /// Creates a watcher of the service at `address`, a `host:port`.
    ///
    /// `list_version` is the version of the list that is already known; without one, the whole list
    /// is requested first. `address_changed` states that a reload has changed the address of
    /// discovery to this one.
    pub fn new(
        address: String,
        settings: Arc<DeploymentSettings>,
        list_version: Option<u64>,
        address_changed: bool,
        updates: mpsc::Sender<SourceUpdate>,
    ) -> DiscoveryWatcher {
        DiscoveryWatcher {
            demand: Arc::default(),
            renumbered_after: RENUMBERED_AFTER,
            limits: ListLimits::default(),
            address,
            settings,
            address_changed,
            updates,
            versions: ListVersions::new(list_version),
        }
    }

    /// Watches the service until the receiver of the updates is dropped.
    pub async fn run(mut self) {
        let mut schedule = CallSchedule::from_settings(&self.settings);
        self.wait_for_first_call(&schedule).await;
        let mut last_was_malformed = false;
        loop {
            let version_before = self.versions.last();
            let called_at = Instant::now();
            let mut watch = None;
            // A watch without a version starts with the next change, so the list is requested
            // first.
            let list_first = last_was_malformed || version_before.is_none();
            let Err(error) = self.list_and_watch(list_first, &mut watch).await;
            if matches!(error, WatchError::ReceiverDropped) {
                return;
            }
            last_was_malformed = matches!(error, WatchError::Malformed(_));
            let (as_of, lease_signal) = lease_signal_at_end(&error, watch.as_ref(), called_at);
            warn!(
                discovery = self.address,
                reason = excerpt(&error.to_string()),
                elapsed_ms = called_at.elapsed().as_millis() as u64,
                ?lease_signal,
                "watch of discovery ended"
            );
            let lost = EndpointListUpdate::Lost(lease_signal);
            if self.send(as_of, lost).await.is_err() {
                return;
            }
            // An unanswered call does not count as an open watch, however long it took; otherwise
            // the callers of a service that hangs would not back off.
            let open_for = watch.map_or(Duration::ZERO, |watch| watch.opened_at.elapsed());
            let has_advanced = self.versions.last() > version_before;
            sleep(schedule.next(open_for, has_advanced, fastrand::f64())).await;
        }
    }

    /// Waits for a random delay, so that dispatchers that start together do not call the service
    /// together. The delay is shortened once a request is waiting.
    async fn wait_for_first_call(&self, schedule: &CallSchedule) {
        let random = fastrand::f64();
        let delay = if self.address_changed {
            schedule.first_moved(random)
        } else {
            schedule.first(random)
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = self.demand.notified() => {
                sleep(schedule.on_demand(fastrand::f64()).min(delay)).await;
            }
        }
    }

    /// Requests the list if `list_first` is set, then opens a watch and receives its messages until
    /// it ends. `watch` is set once the service has opened the watch.
    async fn list_and_watch(
        &mut self,
        list_first: bool,
        watch: &mut Option<Watch>,
    ) -> Result<Infallible, WatchError> {
        if list_first {
            self.request_list().await?;
        }
        let version = self.versions.last().unwrap_or_default();
        let path = format!("/api/targets?stream=1&index={version}");
        let called_at = Instant::now();
        let response = self.call_policy().call(&self.address, &path).await?;
        let body = TimestampedBody::new(response, called_at);
        let watch = watch.insert(Watch::open(called_at));
        self.receive_messages(watch, body).await
    }

    /// Requests the whole list.
    async fn request_list(&mut self) -> Result<(), WatchError> {
        let called_at = Instant::now();
        let policy = self.call_policy();
        let response = policy.call(&self.address, "/api/targets").await?;
        let mut body = TimestampedBody::new(response, called_at);
        let deadline = Instant::now() + policy.timeout;
        let mut text = ListText::new(&self.limits);
        while let Some(part) = body.next(deadline).await? {
            text.extend(&part).await?;
        }
        if text.is_blank() {
            return Ok(());
        }
        let message = text.parse().await?;
        self.on_list(message, called_at).await?;
        // No watch is open to send further changes, so this list must not have the lease of a
        // watch.
        let lost = EndpointListUpdate::Lost(LeaseSignal::WatchEnded);
        self.send(called_at, lost).await
    }

    /// Receives the messages of a watch until it ends.
    async fn receive_messages(
        &mut self,
        watch: &mut Watch,
        mut body: TimestampedBody,
    ) -> Result<Infallible, WatchError> {
        let mut decoder = MessageDecoder::default();
        let mut message = ListText::new(&self.limits);
        // When the next message began to arrive, and the earliest time at which it can have been
        // written.
        let mut message_started_at = Instant::now();
        let mut as_of = watch.called_at;
        loop {
            // A message must be complete within the timeout from its start, and the first message
            // within the timeout from the opening of the watch. Neither partial data nor empty
            // lines before the first message extend the timeout.
            let timeout_start = if watch.is_up_to_date {
                message_started_at
            } else {
                watch.opened_at
            };
            let frame = body.next(timeout_start + MESSAGE_TIMEOUT).await;
            let read_up_to = body.read_up_to();
            watch.last_seen_open = read_up_to;
            let Some(frame) = frame? else {
                return Err(WatchError::Ended);
            };
            if message.is_empty() {
                message_started_at = Instant::now();
                as_of = read_up_to;
            }
            let mut frame = &frame[..];
            while !frame.is_empty() {
                let part = decoder.next(&mut frame);
                message.extend(part.bytes).await?;
                if part.is_last {
                    self.on_watch_message(watch, &mut message, as_of).await?;
                    message.clear();
                    message_started_at = Instant::now();
                    as_of = read_up_to;
                }
            }
        }
    }

    /// Handles a message of the watch. `as_of` is the earliest time at which it can have been
    /// written.
    async fn on_watch_message(
        &mut self,
        watch: &mut Watch,
        message: &mut ListText,
        as_of: Instant,
    ) -> Result<(), WatchError> {
        if message.is_blank() {
            return self.on_empty_line(watch, as_of).await;
        }
        // The first message may have been composed as early as the call for the watch.
        let as_of = if watch.is_up_to_date {
            as_of
        } else {
            watch.called_at
        };
        self.on_watch_list(message, as_of).await?;
        watch.record_update();
        watch.is_up_to_date = true;
        Ok(())
    }

    /// Handles an empty line, which confirms the list if it is a heartbeat.
    async fn on_empty_line(&mut self, watch: &mut Watch, as_of: Instant) -> Result<(), WatchError> {
        if !watch.accepts_heartbeat() {
            return Ok(());
        }
        if self.versions.is_outdated() {
            return Err(WatchError::Outdated);
        }
        self.send(as_of, EndpointListUpdate::Unchanged).await?;
        watch.record_update();
        Ok(())
    }

    /// Handles a snapshot or delta from a watch. `as_of` is the earliest time at which it can have
    /// been valid.
    async fn on_watch_list(
        &mut self,
        text: &mut ListText,
        as_of: Instant,
    ) -> Result<(), WatchError> {
        let list = text.parse().await?;
        if !list.snapshot {
            self.check_delta(&list)?;
        }
        self.on_list(list, as_of).await
    }

    /// Checks that a delta can be applied to the list that was received.
    fn check_delta(&self, delta: &ListMessage) -> Result<(), MalformedMessage> {
        let Some(version) = self.versions.last() else {
            return Err(MalformedMessage::DeltaWithoutList);
        };
        // Such a delta comes from a service that lags behind what it has sent, and could restore an
        // endpoint that is gone.
        if version > delta.version && !delta.endpoints.is_empty() {
            return Err(MalformedMessage::OutdatedDelta);
        }
        Ok(())
    }

    /// Handles a list. `as_of` is the earliest time at which it can have been valid.
    async fn on_list(&mut self, list: ListMessage, as_of: Instant) -> Result<(), WatchError> {
        self.log_list(&list);
        let is_snapshot = list.snapshot;
        let order = self
            .versions
            .observe(list.version, as_of, self.renumbered_after);
        if order == VersionOrder::Renumbered && !is_snapshot {
            return Err(MalformedMessage::Renumbered.into());
        }
        let endpoints = list.endpoints(&self.settings);
        let update = match (is_snapshot, order) {
            (true, VersionOrder::Outdated) => EndpointListUpdate::OutdatedSnapshot(endpoints),
            (true, _) => EndpointListUpdate::Snapshot(endpoints),
            (false, VersionOrder::Outdated) => EndpointListUpdate::OutdatedDelta(endpoints),
            (false, _) => EndpointListUpdate::Delta(endpoints),
        };
        self.send(as_of, update).await
    }

    fn log_list(&self, list: &ListMessage) {
        info!(
            discovery = self.address,
            version = list.version,
            snapshot = list.snapshot,
            endpoints = list.endpoints.len(),
            "endpoint list received"
        );
        for endpoint in &list.endpoints {
            debug!(
                endpoint = endpoint.name,
                state = ?endpoint.state,
                started_at_ms = endpoint.started_at_ms,
                "endpoint listed"
            );
        }
    }

    async fn send(&self, as_of: Instant, update: EndpointListUpdate) -> Result<(), WatchError> {
        let update = SourceUpdate {
            source: EndpointSource::Discovery,
            as_of,
            update,
        };
        self.updates
            .send(update)
            .await
            .map_err(|_| WatchError::ReceiverDropped)
    }

    fn call_policy(&self) -> CallPolicy {
        CallPolicy::new(self.settings.discovery)
    }
}

/// Returns the lease signal for the end of a watch and the time as of which it applies. `called_at`
/// is when the calls for the watch were started.
fn lease_signal_at_end(
    error: &WatchError,
    watch: Option<&Watch>,
    called_at: Instant,
) -> (Instant, LeaseSignal) {
    let Some(watch) = watch else {
        return (called_at, LeaseSignal::CallFailed);
    };
    // A watch that is closed because it timed out was open until now.
    let open_until = if matches!(error, WatchError::Read(ReadError::TimedOut)) {
        Instant::now()
    } else {
        watch.last_seen_open
    };
    (open_until, LeaseSignal::WatchEnded)
}
