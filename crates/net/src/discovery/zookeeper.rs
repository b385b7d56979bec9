//! Endpoints registered in ZooKeeper: each registers an ephemeral node, which the ensemble removes
//! with the session of the endpoint.
//!
//! A node below the watched path is an endpoint of that name. Its data is an endpoint as discovery
//! lists it, in JSON; `name` is the node's, `status` is `ready` and `since_ms` the node's creation
//! unless the data says otherwise. The watch is a persistent recursive one, which servers support
//! from version 3.6 on.

use super::{ListMessage, ListedEndpoint, SourceUpdate};
use crate::config::ZooKeeperConfig;
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

/// A call to the ensemble fails after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// After this time without an event a call checks that the session is alive: its response comes
/// after all events before it.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The mean wait before the next session after one that failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Follows the nodes and sends the endpoint list until the receiver is dropped.
pub struct ZooKeeperSource {
    /// Where the nodes are.
    pub config: ZooKeeperConfig,
    /// The names of zones and kinds that the nodes refer to.
    pub settings: Arc<DeploymentSettings>,
    /// Where the updates go.
    pub updates: mpsc::Sender<SourceUpdate>,
}

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    /// A call failed.
    #[error(transparent)]
    Client(#[from] zookeeper_client::Error),
    /// A call had no response in time.
    #[error("no response in time")]
    TimedOut,
    /// The ensemble ended the session.
    #[error("session {0:?}")]
    Terminated(SessionState),
    /// Nobody receives the updates any more.
    #[error("the receiver was dropped")]
    ReceiverDropped,
}

/// What an event of the watch requires.
enum Reaction {
    /// The nodes are to be listed.
    List,
    /// The connection to the ensemble is lost.
    Disconnected,
}

impl ZooKeeperSource {
    /// Opens sessions and follows the nodes until the receiver of the updates is dropped.
    pub async fn run(self) {
        loop {
            let Err(error) = self.follow_session().await;
            if matches!(error, SessionError::ReceiverDropped) {
                return;
            }
            warn!(reason = %error, "ZooKeeper session failed");
            if self.send_lost().await.is_err() {
                return;
            }
            // Dispatchers that lost their sessions together do not come back together.
            sleep(RECONNECT_DELAY.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Opens a session and follows the nodes until it ends.
    async fn follow_session(&self) -> Result<Infallible, SessionError> {
        let connector = Client::connector()
            .with_session_timeout(self.config.session_timeout)
            .with_fail_eagerly();
        let client = connector.connect(&self.config.servers).await?;
        let path = &self.config.path;
        // Before the nodes are listed, so that no change is missed between the two.
        let mut watcher =
            with_timeout(client.watch(path, AddWatchMode::PersistentRecursive)).await?;
        loop {
            self.send_list(&client).await?;
            self.wait_for_change(&client, &mut watcher).await?;
        }
    }

    /// Lists the nodes and sends them.
    async fn send_list(&self, client: &Client) -> Result<(), SessionError> {
        let as_of = Instant::now();
        let endpoints = self.list(client).await?.endpoints(&self.settings);
        let snapshot = EndpointListUpdate::Snapshot(endpoints);
        self.send(as_of, snapshot).await
    }

    /// Waits until the nodes have to be listed again, and confirms the list meanwhile.
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
            match reaction(&event)? {
                Reaction::List => return Ok(()),
                Reaction::Disconnected => self.send_lost().await?,
            }
        }
    }

    /// Confirms the list if the ensemble responds.
    async fn confirm(&self, client: &Client) -> Result<(), SessionError> {
        let as_of = Instant::now();
        with_timeout(client.list_children(&self.config.path)).await?;
        self.send(as_of, EndpointListUpdate::Unchanged).await
    }

    /// The nodes as a list. One whose data cannot be parsed is left out.
    async fn list(&self, client: &Client) -> Result<ListMessage, SessionError> {
        let path = &self.config.path;
        let mut endpoints = Vec::new();
        for name in with_timeout(client.list_children(path)).await? {
            let node = format!("{path}/{name}");
            let (data, stat) = match with_timeout(client.get_data(&node)).await {
                Ok(content) => content,
                // Removed since the nodes were listed.
                Err(_) if client.state() == SessionState::SyncConnected => continue,
                Err(error) => return Err(error),
            };
            match parse_node(&name, &data, stat.ctime) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    warn!(node, reason = %error, "node was left out: its data cannot be parsed");
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

fn reaction(event: &WatchedEvent) -> Result<Reaction, SessionError> {
    match (event.event_type, event.session_state) {
        // After a reconnection the list shows what was missed.
        (EventType::Session, SessionState::SyncConnected) => Ok(Reaction::List),
        (EventType::Session, state) if state.is_terminated() => {
            Err(SessionError::Terminated(state))
        }
        (EventType::Session, _) => Ok(Reaction::Disconnected),
        _ => Ok(Reaction::List),
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

/// A node as an endpoint of a list.
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
