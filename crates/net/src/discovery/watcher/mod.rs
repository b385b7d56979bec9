//! Follows a discovery service: requests the endpoint list, watches its changes, and starts again
//! when the watch ends.
//!
//! An update is dated with the earliest time at which it can have been true, and the end of a watch
//! is an update too: the lease of the list depends on both. See `docs/design/membership.md`.

mod error;
mod versions;
mod watch;

use super::body::{DatedBody, ReadError};
use super::call::CallPolicy;
use super::call_schedule::CallSchedule;
use super::list_message::ListMessage;
use super::message_decoder::MessageDecoder;
use super::{SourceUpdate, excerpt};
use error::{MAX_MESSAGE_BYTES, MalformedMessage, WatchError};
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

/// The service sends a line every 2 s. A watch without one for this long is given up.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A service that sends only lower versions than before for this long has restarted its numbers.
/// One that lags behind itself catches up long before: what it has to send counts as notified after
/// 6 s.
const RENUMBERED_AFTER: Duration = Duration::from_secs(60);

/// Follows a discovery service and sends its endpoint list until the receiver is dropped.
pub struct DiscoveryWatcher {
    /// To be notified when a request waits for the first list.
    pub demand: Arc<Notify>,
    /// Versions that stay lower than before for this long are accepted.
    pub renumbered_after: Duration,
    address: String,
    settings: Arc<DeploymentSettings>,
    /// The service replaces one at another address.
    after_move: bool,
    updates: mpsc::Sender<SourceUpdate>,
    versions: ListVersions,
}

impl DiscoveryWatcher {
    /// A watcher of the service at this `host:port`.
    ///
    /// `list_version` is the version of the list that is known already; without one the whole list
    /// is requested first. `after_move`: a new configuration has moved the service to this address.
    pub fn new(
        address: String,
        settings: Arc<DeploymentSettings>,
        list_version: Option<u64>,
        after_move: bool,
        updates: mpsc::Sender<SourceUpdate>,
    ) -> DiscoveryWatcher {
        DiscoveryWatcher {
            demand: Arc::default(),
            renumbered_after: RENUMBERED_AFTER,
            address,
            settings,
            after_move,
            updates,
            versions: ListVersions::new(list_version),
        }
    }

    /// Follows the service until the receiver of the updates is dropped.
    pub async fn run(mut self) {
        let mut schedule = CallSchedule::from_settings(&self.settings);
        self.wait_for_first_call(&schedule).await;
        let mut is_malformed = false;
        loop {
            let version_before = self.versions.last();
            let called_at = Instant::now();
            let mut watch = None;
            // A watch without a version begins with the next change, so the list comes first.
            let list_first = is_malformed || version_before.is_none();
            let Err(error) = self.list_and_watch(list_first, &mut watch).await;
            if matches!(error, WatchError::ReceiverDropped) {
                return;
            }
            is_malformed = matches!(error, WatchError::Malformed(_));
            let (as_of, lease_signal) = lost_update(&error, watch.as_ref(), called_at);
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
            // A call that was never answered is no watch that was open, however long it took:
            // otherwise callers of a service that hangs would not back off.
            let open_for = watch.map_or(Duration::ZERO, |watch| watch.opened_at.elapsed());
            let has_advanced = self.versions.last() > version_before;
            sleep(schedule.next(open_for, has_advanced, fastrand::f64())).await;
        }
    }

    /// Dispatchers that start together must not call the service together, so each waits for a
    /// random time, or a shorter one as soon as a request waits.
    async fn wait_for_first_call(&self, schedule: &CallSchedule) {
        let draw = fastrand::f64();
        let wait = if self.after_move {
            schedule.first_moved(draw)
        } else {
            schedule.first(draw)
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = self.demand.notified() => {
                sleep(schedule.on_demand(fastrand::f64()).min(wait)).await;
            }
        }
    }

    /// Requests the list if it has to come first, and follows a watch until that ends. `watch` is
    /// set once the service has opened it.
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
        let body = DatedBody::new(response, called_at);
        let watch = watch.insert(Watch::open(called_at));
        self.follow(watch, body).await
    }

    /// Requests the whole list.
    async fn request_list(&mut self) -> Result<(), WatchError> {
        let called_at = Instant::now();
        let policy = self.call_policy();
        let response = policy.call(&self.address, "/api/targets").await?;
        let mut body = DatedBody::new(response, called_at);
        let deadline = Instant::now() + policy.timeout;
        let mut text = Vec::new();
        while let Some(part) = body.next(deadline).await? {
            text.extend_from_slice(&part);
            check_length(&text)?;
        }
        if text.trim_ascii().is_empty() {
            return Ok(());
        }
        self.on_response_list(&text, called_at).await?;
        // No watch sends what changes next, so the lease of this list must not run as if one did.
        let lost = EndpointListUpdate::Lost(LeaseSignal::WatchEnded);
        self.send(called_at, lost).await
    }

    /// Receives the messages of a watch until it ends.
    async fn follow(
        &mut self,
        watch: &mut Watch,
        mut body: DatedBody,
    ) -> Result<Infallible, WatchError> {
        let mut decoder = MessageDecoder::default();
        // Of the message that comes next: when it began to arrive, and the earliest time at which
        // it can have been written.
        let mut begun_at = Instant::now();
        let mut as_of = watch.called_at;
        loop {
            // A message has to be complete within the time of a silence, and the first message
            // within that time of the opening: neither parts of it nor empty lines prolong this.
            let waits_since = if watch.is_up_to_date {
                begun_at
            } else {
                watch.opened_at
            };
            let frame = body.next(waits_since + SILENCE_TIMEOUT).await;
            let read_up_to = body.read_up_to();
            watch.last_seen_open = read_up_to;
            let Some(frame) = frame? else {
                return Err(WatchError::Ended);
            };
            if decoder.partial().is_empty() {
                begun_at = Instant::now();
                as_of = read_up_to;
            }
            let mut frame = &frame[..];
            while let Some(message) = decoder.next(&mut frame) {
                check_length(&message)?;
                self.on_watch_message(watch, &message, as_of).await?;
                begun_at = Instant::now();
                as_of = read_up_to;
            }
            check_length(decoder.partial())?;
        }
    }

    /// Takes in a message of the watch that was written at this time or later.
    async fn on_watch_message(
        &mut self,
        watch: &mut Watch,
        message: &[u8],
        as_of: Instant,
    ) -> Result<(), WatchError> {
        if message.trim_ascii().is_empty() {
            return self.on_empty_line(watch, as_of).await;
        }
        // The first message was composed when the watch was requested.
        let as_of = if watch.is_up_to_date {
            as_of
        } else {
            watch.called_at
        };
        self.on_watch_list(message, as_of).await?;
        watch.updated();
        watch.is_up_to_date = true;
        Ok(())
    }

    async fn on_empty_line(&mut self, watch: &mut Watch, as_of: Instant) -> Result<(), WatchError> {
        if !watch.accepts_heartbeat() {
            return Ok(());
        }
        if self.versions.is_outdated() {
            return Err(WatchError::Outdated);
        }
        self.send(as_of, EndpointListUpdate::Unchanged).await?;
        watch.updated();
        Ok(())
    }

    /// Takes in the response to a call for the list, as it was at this time or later.
    async fn on_response_list(&mut self, text: &[u8], as_of: Instant) -> Result<(), WatchError> {
        let list = parse(text)?;
        self.on_list(list, as_of).await
    }

    /// Takes in a list or a delta of a watch, as it was at this time or later.
    async fn on_watch_list(&mut self, text: &[u8], as_of: Instant) -> Result<(), WatchError> {
        let list = parse(text)?;
        if !list.snapshot {
            self.check_delta(&list)?;
        }
        self.on_list(list, as_of).await
    }

    /// Checks that a delta continues the list that was received.
    fn check_delta(&self, delta: &ListMessage) -> Result<(), MalformedMessage> {
        let Some(version) = self.versions.last() else {
            return Err(MalformedMessage::DeltaWithoutList);
        };
        // A service that lags behind itself would bring back an endpoint that has left.
        if version > delta.version && !delta.endpoints.is_empty() {
            return Err(MalformedMessage::OutdatedDelta);
        }
        Ok(())
    }

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

/// What the end of a watch means for the lease, and from when. `called_at` is when the calls for
/// the watch were begun.
fn lost_update(
    error: &WatchError,
    watch: Option<&Watch>,
    called_at: Instant,
) -> (Instant, LeaseSignal) {
    let Some(watch) = watch else {
        return (called_at, LeaseSignal::CallFailed);
    };
    // A watch that is given up as silent was open until now.
    let open_until = if matches!(error, WatchError::Read(ReadError::Silent)) {
        Instant::now()
    } else {
        watch.last_seen_open
    };
    (open_until, LeaseSignal::WatchEnded)
}

fn parse(text: &[u8]) -> Result<ListMessage, MalformedMessage> {
    Ok(serde_json::from_slice(text)?)
}

fn check_length(message: &[u8]) -> Result<(), MalformedMessage> {
    if message.len() > MAX_MESSAGE_BYTES {
        return Err(MalformedMessage::TooLong);
    }
    Ok(())
}
