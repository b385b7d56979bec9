//! A route set kept in ZooKeeper: each worker registers an ephemeral node, which goes with its
//! session.
//!
//! A node below the watched path is a worker of that name. Its data is a line of discovery's list
//! as JSON; `name` is the node's, `status` is `ready` and `since_ms` the node's creation unless the
//! data says otherwise. The watch is a persistent recursive one, which servers have from version
//! 3.6 on.

use super::{ListMessage, ListedEndpoint, SourceUpdate};
use crate::config::ZooKeeperConfig;
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_decisions::settings::DeploymentSettings;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;
use zookeeper_client::{AddWatchMode, Client, Error, EventType, PersistentWatcher, SessionState};

/// A call is answered within this time or has failed.
const CALL: Duration = Duration::from_secs(2);
/// The ensemble is asked this often whether the session still stands: the answer comes after all
/// events before it.
const ASK_AGAIN: Duration = Duration::from_secs(2);
/// Wait before the next session after one that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// Watches the nodes and tells of the route set until the receiver is gone.
pub struct ZooKeeperSource {
    /// Where they are.
    pub config: ZooKeeperConfig,
    /// What their words mean.
    pub settings: Arc<DeploymentSettings>,
    /// Who is told.
    pub updates: mpsc::Sender<SourceUpdate>,
}

enum Broken {
    Failed(String),
    Unheard,
}

impl From<Error> for Broken {
    fn from(e: Error) -> Broken {
        Broken::Failed(e.to_string())
    }
}

impl ZooKeeperSource {
    /// Opens sessions and follows the nodes, again and again.
    pub async fn run(self) {
        loop {
            match self.session().await {
                Ok(()) => {}
                Err(Broken::Unheard) => return,
                Err(Broken::Failed(why)) => warn!(why, "the session with the ensemble broke"),
            }
            if self
                .say(
                    Instant::now(),
                    EndpointListUpdate::Lost(LeaseSignal::WatchEnded),
                )
                .await
                .is_err()
            {
                return;
            }
            sleep(PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    async fn say(&self, as_of: Instant, update: EndpointListUpdate) -> Result<(), Broken> {
        let update = SourceUpdate {
            source: EndpointSource::ZooKeeper,
            as_of,
            update,
        };
        self.updates.send(update).await.map_err(|_| Broken::Unheard)
    }

    async fn session(&self) -> Result<(), Broken> {
        let connector = Client::connector()
            .with_session_timeout(self.config.session_timeout)
            .with_fail_eagerly();
        let client = connector.connect(&self.config.servers).await?;
        let path = &self.config.path;
        // Watched before it is listed, so that nothing falls between.
        let watch = within(client.watch(path, AddWatchMode::PersistentRecursive));
        let mut watch: PersistentWatcher = watch.await?;
        loop {
            let asked = Instant::now();
            let listing = self.list(&client).await?;
            self.say(
                asked,
                EndpointListUpdate::Snapshot(listing.endpoints(&self.settings)),
            )
            .await?;
            loop {
                let Ok(event) = timeout(ASK_AGAIN, watch.changed()).await else {
                    let asked = Instant::now();
                    within(client.list_children(path)).await?;
                    self.say(asked, EndpointListUpdate::Unchanged).await?;
                    continue;
                };
                match (event.event_type, event.session_state) {
                    // Back after a break: what was missed is in the list.
                    (EventType::Session, SessionState::SyncConnected) => break,
                    (EventType::Session, state) if state.is_terminated() => {
                        return Err(Broken::Failed(format!("session {state:?}")));
                    }
                    (EventType::Session, _) => {
                        self.say(
                            Instant::now(),
                            EndpointListUpdate::Lost(LeaseSignal::WatchEnded),
                        )
                        .await?;
                    }
                    _ => break,
                }
            }
        }
    }

    async fn list(&self, client: &Client) -> Result<ListMessage, Broken> {
        let path = &self.config.path;
        let mut endpoints = Vec::new();
        for name in within(client.list_children(path)).await? {
            let (data, created) = match within(client.get_data(&format!("{path}/{name}"))).await {
                Ok((data, stat)) => (data, stat.ctime),
                // Gone since it was listed.
                Err(Broken::Failed(_)) if client.state() == SessionState::SyncConnected => continue,
                Err(e) => return Err(e),
            };
            match endpoint(&name, &data, created) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(e) => {
                    warn!(node = format_args!("{path}/{name}"), why = %e, "a node that can't be read is left out")
                }
            }
        }
        Ok(ListMessage {
            index: 0,
            snapshot: true,
            endpoints,
        })
    }
}

async fn within<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Broken> {
    match timeout(CALL, call).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(Broken::Failed("no answer in time".to_owned())),
    }
}

/// A node as a line of a list.
fn endpoint(name: &str, data: &[u8], created_ms: i64) -> Result<ListedEndpoint, serde_json::Error> {
    let mut fields: serde_json::Map<String, Value> = serde_json::from_slice(data)?;
    fields.insert("name".to_owned(), name.into());
    fields.entry("status").or_insert_with(|| "ready".into());
    fields
        .entry("since_ms")
        .or_insert_with(|| created_ms.max(0).into());
    serde_json::from_value(Value::Object(fields))
}
