//! Endpoints registered in ZooKeeper. Each endpoint registers an ephemeral node, which the ensemble
//! removes when the session of the endpoint ends.
//!
//! A child of the watched path is an endpoint of the same name. Its data is a JSON object in the
//! format of a discovery list entry. `name` is always the name of the node; `status` defaults to
//! `ready` and `since_ms` to the creation time of the node. The watch is persistent and recursive,
//! which requires ZooKeeper 3.6 or later.

use super::{ListMessage, ListedEndpoint, SourceUpdate};
use crate::config::ZooKeeperConfig;
use crate::excerpt::excerpt;
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_decisions::settings::DeploymentSettings;
use serde_json::{Map, Value};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;
use zookeeper_client::{
    AddWatchMode, Client, EventType, PersistentWatcher, SessionState, WatchedEvent,
};

/// Timeout of a call to the ensemble.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// After this time without an event, a call checks that the session is alive. Its response arrives
/// after all events that preceded it.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Mean delay before a new session is opened after one has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Watches the nodes and sends the endpoint list until the receiver is dropped.
pub struct ZooKeeperSource {
    /// The ensemble and the path of the nodes.
    pub config: ZooKeeperConfig,
    /// The settings that define the zones and kinds named by the nodes.
    pub settings: Arc<DeploymentSettings>,
    /// Receives the updates.
    pub updates: mpsc::Sender<SourceUpdate>,
}

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    /// A call failed.
    #[error(transparent)]
    Client(#[from] zookeeper_client::Error),
    /// A call was not answered within [`CALL_TIMEOUT`].
    #[error("timed out waiting for a response")]
    TimedOut,
    /// The ensemble ended the session.
    #[error("session ended: {0:?}")]
    Terminated(SessionState),
    /// The receiver of the updates was dropped.
    #[error("the receiver was dropped")]
    ReceiverDropped,
}

/// How to handle an event of the watch.
enum EventAction {
    /// List the nodes again.
    ListNodes,
    /// Report that the connection to the ensemble is lost.
    ReportDisconnected,
}

impl ZooKeeperSource {
    /// Opens sessions and watches the nodes until the receiver of the updates is dropped.
    pub async fn run(self) {
        loop {
            let Err(error) = self.run_session().await;
            if matches!(error, SessionError::ReceiverDropped) {
                return;
            }
            warn!(
                reason = excerpt(&error.to_string()),
                "ZooKeeper session failed"
            );
            if self.send_lost().await.is_err() {
                return;
            }
            // Jitter, so that dispatchers that lost their sessions together do not reconnect
            // together.
            sleep(RECONNECT_DELAY.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Opens a session and watches the nodes until the session ends.
    async fn run_session(&self) -> Result<Infallible, SessionError> {
        let connector = Client::connector()
            .with_session_timeout(self.config.session_timeout)
            .with_fail_eagerly();
        let client = connector.connect(&self.config.servers).await?;
        let path = &self.config.path;
        // The watch is added before the nodes are listed so that no change is missed in between.
        let mut watcher =
            with_timeout(client.watch(path, AddWatchMode::PersistentRecursive)).await?;
        loop {
            self.send_list(&client).await?;
            self.wait_for_change(&client, &mut watcher).await?;
        }
    }

    /// Lists the nodes and sends them as a snapshot.
    async fn send_list(&self, client: &Client) -> Result<(), SessionError> {
        let as_of = Instant::now();
        let endpoints = self.read_nodes(client).await?.endpoints(&self.settings);
        let snapshot = EndpointListUpdate::Snapshot(endpoints);
        self.send(as_of, snapshot).await
    }

    /// Waits until the nodes have to be listed again, and confirms the list in the meantime.
    async fn wait_for_change(
        &self,
        client: &Client,
        watcher: &mut PersistentWatcher,
    ) -> Result<(), SessionError> {
        loop {
            let Ok(event) = timeout(SESSION_CHECK_INTERVAL, watcher.changed()).await else {
                self.confirm(client).await?;
                continue;
            };
            match action_for(&event)? {
                EventAction::ListNodes => return Ok(()),
                EventAction::ReportDisconnected => self.send_lost().await?,
            }
        }
    }

    /// Confirms the list if the ensemble responds.
    async fn confirm(&self, client: &Client) -> Result<(), SessionError> {
        let as_of = Instant::now();
        with_timeout(client.list_children(&self.config.path)).await?;
        self.send(as_of, EndpointListUpdate::Unchanged).await
    }

    /// Reads the nodes as a list. Nodes whose data cannot be parsed are skipped.
    async fn read_nodes(&self, client: &Client) -> Result<ListMessage, SessionError> {
        let path = &self.config.path;
        let mut endpoints = Vec::new();
        for name in with_timeout(client.list_children(path)).await? {
            let node = format!("{path}/{name}");
            let (data, stat) = match with_timeout(client.get_data(&node)).await {
                Ok(content) => content,
                // The node was removed after the nodes were listed.
                Err(_) if client.state() == SessionState::SyncConnected => continue,
                Err(error) => return Err(error),
            };
            match parse_node(&name, &data, stat.ctime) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    let reason = excerpt(&error.to_string());
                    warn!(node, reason, "node was left out: its data cannot be parsed");
                }
            }
        }
        Ok(ListMessage {
            version: 0,
            snapshot: true,
            endpoints,
        })
    }

    async fn send_lost(&self) -> Result<(), SessionError> {
        let lost = EndpointListUpdate::Lost(LeaseSignal::WatchEnded);
        self.send(Instant::now(), lost).await
    }

    async fn send(&self, as_of: Instant, update: EndpointListUpdate) -> Result<(), SessionError> {
        let update = SourceUpdate {
            source: EndpointSource::ZooKeeper,
            as_of,
            update,
        };
        self.updates
            .send(update)
            .await
            .map_err(|_| SessionError::ReceiverDropped)
    }
}

fn action_for(event: &WatchedEvent) -> Result<EventAction, SessionError> {
    match (event.event_type, event.session_state) {
        // After a reconnection the nodes are listed to pick up missed changes.
        (EventType::Session, SessionState::SyncConnected) => Ok(EventAction::ListNodes),
        (EventType::Session, state) if state.is_terminated() => {
            Err(SessionError::Terminated(state))
        }
        (EventType::Session, _) => Ok(EventAction::ReportDisconnected),
        _ => Ok(EventAction::ListNodes),
    }
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, zookeeper_client::Error>>,
) -> Result<T, SessionError> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(SessionError::TimedOut),
    }
}

/// Parses the data of a node as an endpoint of a list.
fn parse_node(
    name: &str,
    data: &[u8],
    created_at_ms: i64,
) -> Result<ListedEndpoint, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_slice(data)?;
    fields.insert("name".to_owned(), name.into());
    fields.entry("status").or_insert_with(|| "ready".into());
    fields
        .entry("since_ms")
        .or_insert_with(|| created_at_ms.max(0).into());
    serde_json::from_value(Value::Object(fields))
}
