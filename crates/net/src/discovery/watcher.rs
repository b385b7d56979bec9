//! Watches a discovery service: asks for the list, follows its changes, and begins anew when a
//! watch is lost.

use super::body::{DatedBody, ReadError};
use super::call::{CallError, CallResponse, call};
use super::call_schedule::CallSchedule;
use super::list_message::ListMessage;
use super::stream::Pieces;
use super::{SourceUpdate, excerpt};
use pumiceway_core::{EndpointListUpdate, EndpointSource};
use pumiceway_decisions::rules::LeaseSignal;
use pumiceway_decisions::settings::{DeploymentSettings, DiscoveryMode};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{debug, info, warn};

/// A call is answered within this time or has failed.
pub(super) const CALL: Duration = Duration::from_millis(2_500);
/// An agent on this machine answers at once or, while it has nothing to tell, not at all: it is
/// soon asked anew, beside the calls that are out. Its return is noticed well within the grace for
/// servers that leave.
const AGENT_CALL: Duration = Duration::from_secs(1);
const AGENT_AGAIN: Duration = Duration::from_millis(250);
/// Discovery sends a line every 2 s. One that is missing for this long tells that the watch is
/// lost.
pub(super) const SILENCE: Duration = Duration::from_millis(2_500);
/// An empty line says that nothing has changed if nothing else came for this long before it.
const HEARTBEAT_LEAST: Duration = Duration::from_secs(1);
/// A value that a watch tells may be this long, and a whole list.
const LINE_MOST: usize = 4 << 20;
/// A service that tells lower versions than before, and nothing else for so long, in answer to call
/// after call, counts anew. One that lags behind itself catches up long before that: what it has to
/// tell counts as notified after 6 s.
const RENUMBERED_AFTER: Duration = Duration::from_secs(60);

/// Watches a discovery service and tells of its route set until the receiver is gone.
pub struct DiscoveryWatcher {
    /// Where the service is.
    pub address: String,
    /// What its words mean.
    pub settings: Arc<DeploymentSettings>,
    /// The version that is known already; without one the whole list comes first.
    pub index: Option<u64>,
    /// A new configuration has moved the service here.
    pub moved: bool,
    /// Notified when a request waits for the first list.
    pub demand: Arc<Notify>,
    /// Who is told.
    pub updates: mpsc::Sender<SourceUpdate>,
    /// Versions that stay lower than before for this long count anew.
    pub renumbered_after: Duration,
    /// The highest version that was told; after a restart of the service the one it is at may be
    /// lower.
    newest: Option<u64>,
    /// Since when it has told versions below that only.
    outdated_since: Option<Instant>,
    /// The watch that stands, if one was answered.
    watch: Option<Watch>,
}

/// A watch that was answered.
struct Watch {
    /// When it was answered.
    opened: Instant,
    /// When it was answered, or last told anything.
    last_word: Instant,
    /// It was last seen to stand at this time.
    stood: Instant,
    /// It has told what changed since the version that it was asked from.
    told: bool,
}

/// Why a watch, or the calls for one, came to an end.
enum Broken {
    /// A call failed.
    Call(CallError),
    /// The watch said nothing any more.
    Silent,
    /// The watch, or the answer to a call, ended.
    Ended(String),
    /// It said something that can't be read: the next call asks for the whole list.
    Malformed(String),
    /// It tells a version older than one it has told, and goes no further.
    Outdated,
    /// Nobody listens any more.
    Unheard,
}

impl From<CallError> for Broken {
    fn from(e: CallError) -> Broken {
        Broken::Call(e)
    }
}

impl From<ReadError> for Broken {
    fn from(e: ReadError) -> Broken {
        match e {
            ReadError::Silent => Broken::Silent,
            ReadError::Broken(_) => Broken::Ended(e.to_string()),
        }
    }
}

impl DiscoveryWatcher {
    /// One of the service at this address; see the fields.
    pub fn new(
        address: String,
        settings: Arc<DeploymentSettings>,
        index: Option<u64>,
        moved: bool,
        updates: mpsc::Sender<SourceUpdate>,
    ) -> DiscoveryWatcher {
        DiscoveryWatcher {
            address,
            settings,
            index,
            moved,
            demand: Arc::default(),
            updates,
            renumbered_after: RENUMBERED_AFTER,
            newest: index,
            outdated_since: None,
            watch: None,
        }
    }

    /// Lists and watches, again and again.
    pub async fn run(mut self) {
        let mut malformed = false;
        let mut pace = CallSchedule::of(&self.settings);
        // Prevents: dispatchers that start together call one service together, and most of them
        // wait in vain.
        let draw = fastrand::f64();
        let turn = if self.moved {
            pace.first_moved(draw)
        } else {
            pace.first(draw)
        };
        let demand = self.demand.clone();
        tokio::select! {
            () = sleep(turn) => {}
            () = demand.notified() => sleep(pace.on_demand(fastrand::f64()).min(turn)).await,
        }
        loop {
            let before = self.index;
            let called = Instant::now();
            self.watch = None;
            // Prevents: a watch from nowhere begins with what changes next, and a second call has
            // to ask for the list.
            let list_first = malformed || self.index.is_none();
            let broken = match self.round(list_first).await {
                Ok(()) => Broken::Ended("the watch ended".into()),
                Err(broken) => broken,
            };
            malformed = matches!(broken, Broken::Malformed(_));
            let (as_of, contact) = match (&broken, &self.watch) {
                (_, None) => (called, LeaseSignal::CallFailed),
                // A watch that is given up as silent stood until now.
                (Broken::Silent, Some(_)) => (Instant::now(), LeaseSignal::WatchEnded),
                (_, Some(watch)) => (watch.stood, LeaseSignal::WatchEnded),
            };
            let why = match broken {
                Broken::Unheard => return,
                Broken::Call(why) => why.to_string(),
                Broken::Silent => ReadError::Silent.to_string(),
                Broken::Outdated => {
                    "it tells nothing newer than what it has told before".to_owned()
                }
                Broken::Ended(why) | Broken::Malformed(why) => why,
            };
            let (why, ms) = (excerpt(&why), called.elapsed().as_millis() as u64);
            warn!(
                discovery = self.address,
                why,
                ms,
                ?contact,
                "the watch broke"
            );
            if self
                .updates(as_of, EndpointListUpdate::Lost(contact))
                .await
                .is_err()
            {
                return;
            }
            // Prevents: a call that hung counts as a watch that stood, and who hangs is called
            // without backing off.
            let stood = self
                .watch
                .as_ref()
                .map(|watch| watch.opened.elapsed())
                .unwrap_or_default();
            sleep(pace.next(stood, self.index > before, fastrand::f64())).await;
        }
    }

    async fn round(&mut self, list_first: bool) -> Result<(), Broken> {
        if list_first {
            self.ask_for_list().await?;
        }
        let path = format!(
            "/api/targets?stream=1&index={}",
            self.index.unwrap_or_default()
        );
        let called = Instant::now();
        let (_sender, body) = self.call(&path).await?;
        let (mut body, opened) = (DatedBody::new(body, called), Instant::now());
        self.watch = Some(Watch {
            opened,
            last_word: opened,
            stood: called,
            told: false,
        });
        // Prevents: a value that trickles in keeps the watch for ever. It is whole within the time
        // of a silence.
        let (mut pieces, mut begun, mut as_of) = (Pieces::default(), Instant::now(), called);
        loop {
            // Prevents: a watch that never tells its list is kept for its empty lines, and no other
            // is opened.
            let told = self.watch.as_ref().is_some_and(|watch| watch.told);
            let waits_from = if told { begun } else { opened };
            let frame = body.next(waits_from + SILENCE).await;
            let read_up_to = body.read_up_to();
            self.watch
                .iter_mut()
                .for_each(|watch| watch.stood = read_up_to);
            let Some(frame) = frame? else { return Ok(()) };
            if pieces.held().is_empty() {
                (begun, as_of) = (Instant::now(), read_up_to);
            }
            let mut frame = &frame[..];
            while let Some(piece) = pieces.next(&mut frame) {
                check_length(&piece)?;
                self.heard(&piece, as_of, called).await?;
                (begun, as_of) = (Instant::now(), read_up_to);
            }
            check_length(pieces.held())?;
        }
    }

    /// Asks for the whole list, once.
    async fn ask_for_list(&mut self) -> Result<(), Broken> {
        let called = Instant::now();
        let (_sender, body) = self.call("/api/targets").await?;
        let (mut body, mut text) = (DatedBody::new(body, called), Vec::new());
        let end = Instant::now() + self.patience();
        while let Some(frame) = body.next(end).await? {
            text.extend_from_slice(&frame);
            check_length(&text)?;
        }
        if text.trim_ascii().is_empty() {
            return Ok(());
        }
        self.listed(&text, called, true).await?;
        // Prevents: an answer to one call is used as if a watch stood that would tell what changes
        // next.
        self.updates(called, EndpointListUpdate::Lost(LeaseSignal::WatchEnded))
            .await
    }

    /// Takes in what the watch tells, which was said at this time or later; it was asked for at the
    /// second.
    async fn heard(&mut self, line: &[u8], as_of: Instant, called: Instant) -> Result<(), Broken> {
        let told = self.watch.as_ref().is_some_and(|watch| watch.told);
        if !line.trim_ascii().is_empty() {
            // What a watch tells first was put together when it was asked for.
            self.listed(line, if told { as_of } else { called }, false)
                .await?;
            self.watch.iter_mut().for_each(|watch| watch.told = true);
            return Ok(());
        }
        // Prevents: an empty line confirms a list although what has changed since its version is
        // still to come.
        if !told {
            return Ok(());
        }
        // Prevents: an empty line right before or after a value, which is just how that is laid
        // out, confirms what the value is about to take back.
        let alone = self
            .watch
            .as_ref()
            .is_some_and(|watch| watch.last_word.elapsed() >= HEARTBEAT_LEAST);
        match alone {
            false => Ok(()),
            true if self.newest > self.index => Err(Broken::Outdated),
            true => self.updates(as_of, EndpointListUpdate::Unchanged).await,
        }
    }

    /// Takes in a list or changes to it, as they were at this time or later; `asked` if they answer
    /// a call for the list.
    async fn listed(&mut self, text: &[u8], as_of: Instant, asked: bool) -> Result<(), Broken> {
        let listing: ListMessage = serde_json::from_slice(text)
            .map_err(|e| Broken::Malformed(format!("{}:{}: {e}", e.line(), e.column())))?;
        let whole = listing.snapshot;
        // Prevents: changes to a list that was never told are taken for all there is.
        if self.index.is_none() && !whole && !asked {
            return Err(Broken::Malformed(
                "changes came before the whole list".into(),
            ));
        }
        // Prevents: a service that lags behind what it has told already takes back that a next hop
        // leaves.
        if !whole && !asked && self.index > Some(listing.index) && !listing.endpoints.is_empty() {
            return Err(Broken::Malformed(
                "changes came that are older than what was told".into(),
            ));
        }
        let (index, lines) = (listing.index, listing.endpoints.len());
        info!(
            discovery = self.address,
            index, whole, lines, "the route set is told"
        );
        for endpoint in &listing.endpoints {
            debug!(endpoint = endpoint.name, state = ?endpoint.state, started_at_ms = endpoint.started_at_ms, "endpoint listed");
        }
        self.index = Some(index);
        let older = self.is_older(index, as_of, whole)?;
        let hops = listing.endpoints(&self.settings);
        let update = match (whole, older) {
            (true, false) => EndpointListUpdate::Snapshot(hops),
            (true, true) => EndpointListUpdate::OutdatedSnapshot(hops),
            (false, false) => EndpointListUpdate::Delta(hops),
            (false, true) => EndpointListUpdate::OutdatedDelta(hops),
        };
        self.updates(as_of, update).await
    }

    /// Whether this version is older than one that was told; not for ever, as a service may count
    /// anew.
    fn is_older(&mut self, index: u64, as_of: Instant, whole: bool) -> Result<bool, Broken> {
        if self.newest <= Some(index) {
            (self.newest, self.outdated_since) = (Some(index), None);
            return Ok(false);
        }
        let outdated_since = *self.outdated_since.get_or_insert(Instant::now());
        if as_of.saturating_duration_since(outdated_since) < self.renumbered_after {
            return Ok(true);
        }
        (self.newest, self.outdated_since) = (Some(index), None);
        match whole {
            true => Ok(false),
            false => Err(Broken::Malformed("its versions count anew".into())),
        }
    }

    async fn updates(&mut self, as_of: Instant, update: EndpointListUpdate) -> Result<(), Broken> {
        let update = SourceUpdate {
            source: EndpointSource::Discovery,
            as_of,
            update,
        };
        self.updates
            .send(update)
            .await
            .map_err(|_| Broken::Unheard)?;
        self.watch
            .iter_mut()
            .for_each(|watch| watch.last_word = Instant::now());
        Ok(())
    }

    /// How long a call is waited for.
    fn patience(&self) -> Duration {
        match self.settings.discovery {
            DiscoveryMode::Polled => CALL,
            DiscoveryMode::Pushed => AGENT_CALL,
        }
    }

    /// Calls on a connection of its own, and waits for the head of the answer.
    ///
    /// Prevents: a call that an agent took while it was silent, and never answers, hides that the
    /// agent is back.
    async fn call(&self, path: &str) -> Result<CallResponse, CallError> {
        let again = match self.settings.discovery {
            DiscoveryMode::Polled => self.patience(),
            DiscoveryMode::Pushed => AGENT_AGAIN,
        };
        let (end, mut calls) = (Instant::now() + self.patience(), JoinSet::new());
        loop {
            calls.spawn(call(self.address.clone(), path.to_owned()));
            let next = end.min(Instant::now() + again);
            match timeout_at(next, calls.join_next()).await {
                Ok(Some(Ok(answer))) => return answer,
                Ok(_) => return Err(CallError::TimedOut),
                Err(_) if next == end => return Err(CallError::TimedOut),
                Err(_) => {}
            }
        }
    }
}

fn check_length(line: &[u8]) -> Result<(), Broken> {
    match line.len() > LINE_MOST {
        true => Err(Broken::Malformed("a line without end".into())),
        false => Ok(()),
    }
}
