//! Discovery: the route set as the platform's service lists it, by list and by watch.

pub mod pace;
mod stream;
pub mod zookeeper;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use pace::Pace;
use pumiceway_core::{NextHop, Reach, RouteNews, Source};
use pumiceway_decisions::api::{Micros, WorkerState};
use pumiceway_decisions::rules::Contact;
use pumiceway_decisions::settings::{Conf, Discovery};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use stream::Pieces;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{debug, info, warn};

/// A call is answered within this time or has failed.
const CALL: Duration = Duration::from_millis(2_500);
/// An agent on this machine answers at once or, while it has nothing to tell, not at all: it is soon asked anew,
/// beside the calls that are out.
const AGENT_CALL: Duration = Duration::from_secs(1);
const AGENT_AGAIN: Duration = Duration::from_millis(400);
/// Discovery sends a line every 2 s. One that is missing for this long tells that the watch is lost.
const SILENCE: Duration = Duration::from_millis(2_500);
/// An empty line says that nothing has changed if nothing else came for this long before it.
const HEARTBEAT_LEAST: Duration = Duration::from_secs(1);
/// A value that a watch tells may be this long, and a whole list.
const LINE_MOST: usize = 4 << 20;

/// A list, or the changes to one, as discovery words it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Listing {
    /// Version.
    pub index: u64,
    /// It holds the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The lines.
    pub endpoints: Vec<Endpoint>,
}

/// A line of a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[allow(missing_docs)] // the protocol words every key
pub struct Endpoint {
    pub name: String,
    #[serde(default)]
    pub address: String,
    pub zone: Option<String>,
    #[serde(rename = "type")]
    pub kind: Option<String>,
    pub group: Option<u64>,
    pub status: Status,
    pub weight: Option<f64>,
    #[serde(default)]
    pub since_ms: u64,
}

impl Endpoint {
    /// One that has been ready for long.
    pub fn ready(name: String, address: String, zone: String) -> Endpoint {
        let (zone, status) = (Some(zone), Status::Ready);
        Endpoint { name, address, zone, kind: None, group: None, status, weight: None, since_ms: 0 }
    }
}

/// What discovery says of a next hop.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

impl Listing {
    /// The lines in the terms of the core. A line that names what the settings do not know can't be used.
    pub fn hops(self, conf: &Conf) -> Vec<NextHop> {
        let known = |e: &Endpoint| {
            (conf.zone(e.zone.as_deref()), conf.kind(e.kind.as_deref()), e.status == Status::Gone)
        };
        let mut left_out: Vec<String> = Vec::new();
        let hops = (self.endpoints.into_iter())
            .filter_map(|e| {
                let (zone, kind) = match known(&e) {
                    (Some(zone), Some(kind), _) => (zone, kind),
                    // What is gone is gone wherever it was.
                    (zone, kind, true) => (zone.unwrap_or_default(), kind.unwrap_or_default()),
                    _ => {
                        left_out.push(e.name);
                        return None;
                    }
                };
                Some(NextHop {
                    name: e.name,
                    reach: Reach::Address(e.address),
                    zone,
                    kind,
                    cell: e.group,
                    state: match e.status {
                        Status::Ready => WorkerState::Ready,
                        Status::Draining => WorkerState::Draining,
                        Status::Gone => WorkerState::Gone,
                    },
                    ready_at: e.since_ms.saturating_mul(1_000) as Micros,
                    size: conf.size(e.weight),
                    warm: false,
                    jobs: None,
                })
            })
            .collect();
        if let Some(hop) = left_out.first() {
            let (hop, lines) = (cut(hop), left_out.len());
            warn!(hop, lines, "next hops have a zone or type that the settings lack, and are left out");
        }
        hops
    }
}

/// Watches a discovery service and tells of its route set until the receiver is gone.
pub struct Watcher {
    /// Where the service is.
    pub address: String,
    /// What its words mean.
    pub conf: Arc<Conf>,
    /// The version that is known already; without one the whole list comes first.
    pub index: Option<u64>,
    /// A new configuration has moved the service here.
    pub moved: bool,
    /// Notified when a request waits for the first list.
    pub demand: Arc<Notify>,
    /// Who is told.
    pub tell: mpsc::Sender<(Source, RouteNews)>,
    /// The highest version that was told; after a restart of the service the one it is at may be lower.
    newest: Option<u64>,
    /// When the watch that stands was answered.
    opened: Option<Instant>,
    /// When the watch that stands was answered, or last told anything.
    last_word: Option<Instant>,
}

enum Broken {
    /// The call or the watch ended.
    Ended(String),
    /// The service could not be reached, or said that it can't serve.
    Unreachable(String),
    /// It said something that can't be read: the next call asks for the whole list.
    Malformed(String),
    /// Nobody listens any more.
    Unheard,
}

impl Watcher {
    /// One of the service at this address; see the fields.
    pub fn new(
        address: String,
        conf: Arc<Conf>,
        index: Option<u64>,
        moved: bool,
        tell: mpsc::Sender<(Source, RouteNews)>,
    ) -> Watcher {
        Watcher {
            address,
            conf,
            index,
            moved,
            demand: Arc::default(),
            tell,
            newest: index,
            opened: None,
            last_word: None,
        }
    }

    /// Lists and watches, again and again.
    pub async fn run(mut self) {
        let mut malformed = false;
        let mut pace = Pace::of(&self.conf);
        // Prevents: dispatchers that start together call one service together, and most of them wait in vain.
        let draw = fastrand::f64();
        let turn = if self.moved { pace.first_moved(draw) } else { pace.first(draw) };
        let demand = self.demand.clone();
        tokio::select! {
            () = sleep(turn) => {}
            () = demand.notified() => sleep(pace.on_demand(fastrand::f64()).min(turn)).await,
        }
        loop {
            let before = self.index;
            let called = Instant::now();
            self.opened = None;
            // Prevents: a watch from nowhere begins with what changes next, and a second call has to ask for the list.
            let list_first = malformed || self.index.is_none();
            let broken = match self.round(list_first).await {
                Ok(()) => Broken::Ended("the watch ended".into()),
                Err(broken) => broken,
            };
            malformed = matches!(broken, Broken::Malformed(_));
            let (contact, why) = match broken {
                Broken::Unheard => return,
                Broken::Unreachable(why) => (Contact::Unreachable(self.again_within(&pace)), why),
                Broken::Ended(why) | Broken::Malformed(why) => (Contact::Unusable, why),
            };
            let (why, ms) = (cut(&why), called.elapsed().as_millis() as u64);
            warn!(discovery = self.address, why, ms, ?contact, "the watch broke");
            if self.tell.send((Source::Discovery, RouteNews::Lost(contact))).await.is_err() {
                return;
            }
            // Prevents: a call that hung counts as a watch that stood, and who hangs is called without backing off.
            let stood = self.opened.map(|at| at.elapsed()).unwrap_or_default();
            sleep(pace.next(stood, self.index > before, fastrand::f64())).await;
        }
    }

    async fn round(&mut self, list_first: bool) -> Result<(), Broken> {
        if list_first {
            let (_sender, mut body) = self.call("/api/targets").await?;
            let (mut text, end) = (Vec::new(), Instant::now() + self.patience());
            while let Some(frame) = next(&mut body, end).await? {
                text.extend_from_slice(&frame);
                check_length(&text)?;
            }
            self.heard(&text, true).await?;
        }
        let path = format!("/api/targets?stream=1&index={}", self.index.unwrap_or_default());
        let (_sender, mut body) = self.call(&path).await?;
        self.opened = Some(Instant::now());
        self.last_word = self.opened;
        // Prevents: a value that trickles in keeps the watch for ever. It is whole within the time of a silence.
        let (mut pieces, mut begun) = (Pieces::default(), Instant::now());
        while let Some(frame) = next(&mut body, begun + SILENCE).await? {
            if pieces.held().is_empty() {
                begun = Instant::now();
            }
            let mut frame = &frame[..];
            while let Some(piece) = pieces.next(&mut frame) {
                check_length(&piece)?;
                self.heard(&piece, false).await?;
                begun = Instant::now();
            }
            check_length(pieces.held())?;
        }
        Ok(())
    }

    /// Takes in a value, or the answer to a call that asked for the whole list.
    async fn heard(&mut self, line: &[u8], asked: bool) -> Result<(), Broken> {
        if line.trim_ascii().is_empty() {
            // Prevents: an empty line right before or after a value, which is just how that is laid out, confirms what the
            // value is about to take back.
            let alone = self.last_word.is_some_and(|at| at.elapsed() >= HEARTBEAT_LEAST);
            let confirms = !asked && self.index.is_some() && alone;
            return if confirms { self.tell(RouteNews::Unchanged).await } else { Ok(()) };
        }
        let listing: Listing = serde_json::from_slice(line)
            .map_err(|e| Broken::Malformed(format!("{}:{}: {e}", e.line(), e.column())))?;
        let whole = listing.snapshot;
        // Prevents: changes to a list that was never told are taken for all there is.
        if self.index.is_none() && !whole && !asked {
            return Err(Broken::Malformed("changes came before the whole list".into()));
        }
        // Prevents: a service that lags behind what it has told already takes back that a next hop leaves.
        if !whole && !asked && self.index > Some(listing.index) && !listing.endpoints.is_empty() {
            return Err(Broken::Malformed("changes came that are older than what was told".into()));
        }
        let (index, lines) = (listing.index, listing.endpoints.len());
        info!(discovery = self.address, index, whole, lines, "the route set is told");
        for endpoint in &listing.endpoints {
            debug!(endpoint = endpoint.name, state = ?endpoint.status, since_ms = endpoint.since_ms, "endpoint listed");
        }
        self.index = Some(listing.index);
        let older = self.newest > self.index;
        self.newest = self.newest.max(self.index);
        let hops = listing.hops(&self.conf);
        let news = match (whole, older) {
            (true, false) => RouteNews::Whole(hops),
            (true, true) => RouteNews::Older(hops),
            (false, _) => RouteNews::Changes(hops),
        };
        self.tell(news).await
    }

    async fn tell(&mut self, news: RouteNews) -> Result<(), Broken> {
        self.tell.send((Source::Discovery, news)).await.map_err(|_| Broken::Unheard)?;
        self.last_word = Some(Instant::now());
        Ok(())
    }

    /// The time within which the outcome of the next call is known.
    fn again_within(&self, pace: &Pace) -> Micros {
        (pace.longest() + self.patience()).as_micros() as Micros
    }

    /// How long a call is waited for.
    fn patience(&self) -> Duration {
        match self.conf.discovery {
            Discovery::Subscribe => CALL,
            Discovery::Automatic => AGENT_CALL,
        }
    }

    /// Calls on a connection of its own, and waits for the head of the answer.
    ///
    /// Prevents: a call that an agent took while it was silent, and never answers, hides that the agent is back.
    async fn call(&self, path: &str) -> Result<Answer, Broken> {
        let again = match self.conf.discovery {
            Discovery::Subscribe => self.patience(),
            Discovery::Automatic => AGENT_AGAIN,
        };
        let (end, mut calls) = (Instant::now() + self.patience(), JoinSet::new());
        loop {
            calls.spawn(call(self.address.clone(), path.to_owned()));
            let next = end.min(Instant::now() + again);
            match timeout_at(next, calls.join_next()).await {
                Ok(Some(Ok(answer))) => return answer,
                Ok(_) => return Err(Broken::Ended("the call was dropped".into())),
                Err(_) if next == end => return Err(Broken::Ended("no answer in time".into())),
                Err(_) => {}
            }
        }
    }
}

/// Ends when both are dropped.
type Answer = (SendRequest<Empty<Bytes>>, Incoming);

async fn call(address: String, path: String) -> Result<Answer, Broken> {
    let unreachable = |e: &dyn std::fmt::Display| Broken::Unreachable(format!("cannot connect: {e}"));
    let stream = TcpStream::connect(&address).await.map_err(|e| unreachable(&e))?;
    let _ = stream.set_nodelay(true);
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|e| unreachable(&e))?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header("Host", &address)
        .body(Empty::new())
        .map_err(|e| Broken::Ended(format!("cannot ask: {e}")))?;
    match sender.send_request(request).await {
        Ok(answer) if answer.status().is_success() => Ok((sender, answer.into_body())),
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Err(Broken::Unreachable(format!("answered {}", answer.status())))
        }
        Ok(answer) => Err(Broken::Ended(format!("answered {}", answer.status()))),
        Err(e) => Err(Broken::Unreachable(format!("call failed: {e}"))),
    }
}

/// What fits into a line of the log. Prevents: it repeats megabytes that discovery said.
fn cut(text: &str) -> String {
    text.chars().take(200).collect()
}

fn check_length(line: &[u8]) -> Result<(), Broken> {
    match line.len() > LINE_MOST {
        true => Err(Broken::Malformed("a line without end".into())),
        false => Ok(()),
    }
}

/// The next part of a body; silence up to this time is its end.
async fn next(body: &mut Incoming, end: Instant) -> Result<Option<Bytes>, Broken> {
    match timeout_at(end, body.frame()).await {
        Err(_) => Err(Broken::Ended("silent for too long".into())),
        Ok(None) => Ok(None),
        Ok(Some(Err(e))) => Err(Broken::Ended(format!("broke: {e}"))),
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
    }
}
