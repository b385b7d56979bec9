//! Next hops: sync workers reached over HTTP, each through a client of its own.

mod body;
mod connection;
mod progress_limit;

use crate::config::Sockets;
use body::RequestBody;
use bytes::Bytes;
use connection::{ConnectionAbort, Connector};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::HeaderValue;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use progress_limit::ProgressLimit;
use pumiceway_core::{AttemptOutcome, AttemptUpdate, Job};
use pumiceway_decisions::api::{LoadReport, Outcome};
use pumiceway_decisions::settings::DeploymentSettings;
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};
use tracing::warn;

/// A probe is answered within this time or has failed, and within the second one of its
/// connection's coming up.
const PROBE: Duration = Duration::from_millis(500);
const PROBE_ANSWER: Duration = Duration::from_millis(250);
/// A line of an answer may be this long: a result of 64 KiB of which JSON writes each byte as six,
/// and what goes with it. And a load report.
const LINE_MOST: usize = (6 * 64 + 16) << 10;
const REPORT_MOST: usize = 16 << 10;
/// A piece of a line counts as so many bytes at least. Prevents: a line in pieces of one byte each
/// takes as much work as one that is many times as long.
const PART_LEAST: usize = 16;
/// After the last line an answer ends within this time and so many bytes, or its connection is not
/// used again.
const TAIL: Duration = Duration::from_millis(500);
const TAIL_MOST: usize = 64 << 10;

/// What a branch may take on top of its connection's time until it is written; a coarse timer, not
/// a wait.
const LATE: Duration = Duration::from_millis(25);

/// How connections to next hops are kept.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// A connection comes up within this time.
    pub connect: Duration,
    /// An idle connection is closed after this time.
    pub idle: Duration,
    /// A probe is given up after this time.
    pub probe: Duration,
    /// At most this many idle connections to one next hop.
    pub most_idle: usize,
}

impl PoolSettings {
    /// What the settings and the share of descriptors ask for.
    pub fn new(conf: &DeploymentSettings, sockets: &Sockets) -> PoolSettings {
        let or = |us, default| Duration::from_micros(if us == 0 { default } else { us });
        let connect = conf.connect_timeout();
        PoolSettings {
            connect,
            // Prevents: where connections may take long to come up, each probe that opens one takes
            // its next hop out.
            probe: PROBE.max(connect + PROBE_ANSWER),
            // Prevents: a request is written to a connection that the other side has just dropped
            // as idle.
            idle: or(conf.limits.connection_idle_us * 2 / 3, 5_000_000),
            most_idle: (sockets.outbound / 64).max(2),
        }
    }
}

/// The terms of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions {
    /// How long it will be waited for.
    pub remaining: Duration,
    /// On a connection of its own.
    pub dedicated_connection: bool,
    /// No byte of it is written after this time.
    pub write_by: Option<Instant>,
}

/// The client of one next hop. Dropping it closes its idle connections.
#[derive(Clone)]
pub struct UpstreamClient {
    client: Client<Connector, RequestBody>,
    /// Opens a connection for each request.
    dedicated_connection: Client<Connector, RequestBody>,
    address: String,
    connect: Duration,
    probe: Duration,
}

/// A line of an answer.
#[derive(Deserialize)]
struct ResponseLine {
    id: String,
    #[serde(flatten)]
    state: JobState,
    load: Option<serde_json::Map<String, serde_json::Value>>,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum JobState {
    Started,
    Running {
        #[serde(default)]
        share: f64,
    },
    Done {
        #[serde(default)]
        result: String,
    },
    Failed,
    Returned,
    Lost,
}

/// Where news of a branch goes, and its one ending.
pub trait AttemptObserver: Send + 'static {
    /// News while it is out.
    fn updated(&self, update: AttemptUpdate);
    /// Its end.
    fn ended(&mut self, ending: AttemptOutcome, report: Option<LoadReport>);
}

/// Cuts a branch's connection, once it has one.
#[derive(Clone)]
pub struct AttemptConnection {
    captured: CaptureConnection,
    course: Arc<Course>,
}

/// How far a branch has come.
#[derive(Default)]
struct Course {
    /// Its end was told, or it was cut.
    over: AtomicBool,
    /// Its request's number on its connection; 0 before that is written.
    turn: AtomicU64,
    /// Its time to be written was over before it could be.
    late: AtomicBool,
}

impl AttemptConnection {
    fn new(request: &mut Request<RequestBody>) -> AttemptConnection {
        AttemptConnection {
            captured: capture_connection(request),
            course: Arc::default(),
        }
    }

    /// Closes the connection that the branch is on, unless its end was told.
    pub fn abort(&self) {
        // Prevents: a connection that is back among those kept, and has another branch on it, is
        // closed by a cut that crossed the end of the one before.
        if self.end() {
            self.close();
        }
    }

    /// Whether it was still out. It has one end, and this is the place that decides which.
    fn end(&self) -> bool {
        !self.course.over.swap(true, Ordering::Relaxed)
    }

    fn over(&self) -> bool {
        self.course.over.load(Ordering::Relaxed)
    }

    fn tell(
        &self,
        observer: &mut impl AttemptObserver,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if self.end() {
            observer.ended(ending, report);
        }
    }

    /// Closes its connection, unless that has a later request on it.
    fn close(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.cut(self.course.turn.load(Ordering::Relaxed));
        }
    }

    /// Its request is the next thing that its connection writes.
    fn begin(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            self.course
                .turn
                .store(abort_handle.begin(), Ordering::Relaxed);
        }
    }

    /// Its time to be written is over.
    fn set_late(&self) {
        self.course.late.store(true, Ordering::Relaxed);
    }

    /// Its connection was closed with not a byte of its request written.
    fn never_wrote(&self) -> bool {
        let turn = self.course.turn.load(Ordering::Relaxed);
        self.abort_handle()
            .is_some_and(|c| turn > 0 && c.never_wrote(turn))
    }

    fn abort_handle(&self) -> Option<ConnectionAbort> {
        let mut extensions = hyper::http::Extensions::new();
        self.captured
            .connection_metadata()
            .as_ref()?
            .get_extras(&mut extensions);
        extensions.remove::<ConnectionAbort>()
    }

    /// Its connection had been kept from an earlier answer.
    fn kept(&self) -> bool {
        self.abort_handle().is_some_and(|c| c.used())
    }

    fn answered(&self) {
        if let Some(abort_handle) = self.abort_handle() {
            abort_handle.answered(self.course.turn.load(Ordering::Relaxed));
        }
    }
}

/// A probe that is out; given up, its connection is closed.
struct Ask(AttemptConnection);

impl Drop for Ask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl UpstreamClient {
    /// A client for the next hop at this address, one of several that have so many sockets
    /// together.
    pub fn new(address: &str, pool: PoolSettings, sockets: &Arc<Semaphore>) -> UpstreamClient {
        let client = |most_idle| {
            Client::builder(TokioExecutor::new())
                // Prevents: a request that is sent again unseen is an attempt that nobody counted.
                .retry_canceled_requests(false)
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(pool.idle)
                .pool_max_idle_per_host(most_idle)
                .build(Connector {
                    patience: pool.connect,
                    sockets: sockets.clone(),
                })
        };
        UpstreamClient {
            client: client(pool.most_idle),
            dedicated_connection: client(0),
            address: address.to_owned(),
            connect: pool.connect,
            probe: pool.probe,
        }
    }

    /// Its address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// A branch, to be driven by the future; it tells one ending unless it is dropped first.
    pub fn attempt<T: AttemptObserver>(
        &self,
        job: &Job,
        terms: AttemptOptions,
        mut observer: T,
    ) -> Result<(AttemptConnection, impl Future<Output = ()> + Send + use<T>), hyper::http::Error>
    {
        let mut request = Request::post(format!("http://{}{}", self.address, job.path))
            .header("X-Txn", &job.id)
            .header("X-Remaining-Ms", terms.remaining.as_millis() as u64)
            .body(RequestBody::default())?;
        if let Some(key) = &job.idempotency_key {
            request
                .headers_mut()
                .insert("idempotency-key", HeaderValue::from_str(key)?);
        }
        let branch = AttemptConnection::new(&mut request);
        // Its connection may take so long to come up, and all of it no longer.
        let latest = Instant::now() + self.connect + LATE;
        let latest = terms
            .write_by
            .map_or(latest, |write_by| latest.min(write_by));
        *request.body_mut() = RequestBody::new(job.body.clone(), branch.clone(), Some(latest));
        let client = if terms.dedicated_connection {
            self.dedicated_connection.clone()
        } else {
            self.client.clone()
        };
        let (id, of) = (job.id.clone(), branch.clone());
        let address = self.address.clone();
        let drive = async move {
            let answer = client.request(request).await;
            if answer.is_ok() {
                of.answered();
            }
            match answer {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    let mut body = answer.into_body();
                    let (ending, report) = match follow(&mut body, &id, &mut observer).await {
                        Ok(told) => told,
                        Err(why) => {
                            warn!(
                                hop = address,
                                transaction = id,
                                why,
                                "a branch broke in its answer"
                            );
                            of.close();
                            return of.tell(&mut observer, AttemptOutcome::Reset, None);
                        }
                    };
                    of.tell(&mut observer, ending, report);
                    finish(body, &of).await;
                }
                Ok(answer) => {
                    // Prevents: whoever waits for the end of a body that says nothing more waits
                    // for one without end.
                    of.tell(&mut observer, refusal(&answer), header_report(&answer));
                    finish(answer.into_body(), &of).await;
                }
                Err(e) => {
                    let ending = broken(&e, &of);
                    warn!(hop = address, transaction = id, outcome = ?ending, why = chain(&e), "a branch broke before its answer");
                    of.tell(&mut observer, ending, None);
                }
            }
        };
        Ok((branch, drive))
    }

    /// Asks for the load report.
    pub async fn check_health(&self) -> (Outcome, Option<LoadReport>) {
        let asked = async {
            match self.ask(&self.client).await {
                // Prevents: a next hop that dropped a connection nobody used counts as one that
                // died.
                (Outcome::Reset, true, _) => self.ask(&self.dedicated_connection).await,
                told => told,
            }
        };
        let (status, _, report) =
            timeout(self.probe, asked)
                .await
                .unwrap_or((Outcome::Timeout, false, None));
        (status, report)
    }

    /// One try to get a load report; with whether its connection had been kept.
    async fn ask(
        &self,
        client: &Client<Connector, RequestBody>,
    ) -> (Outcome, bool, Option<LoadReport>) {
        let request =
            Request::get(format!("http://{}/-/load", self.address)).body(RequestBody::default());
        let Ok(mut request) = request else {
            return (Outcome::ConnectFailed, false, None);
        };
        let ask = Ask(AttemptConnection::new(&mut request));
        *request.body_mut() = RequestBody::new(Bytes::new(), ask.0.clone(), None);
        let answer = match client.request(request).await {
            Ok(answer) => answer,
            Err(e) if e.is_connect() => return (Outcome::ConnectFailed, false, None),
            Err(_) => return (Outcome::Reset, ask.0.kept(), None),
        };
        ask.0.answered();
        let (status, turned_away) = (
            answer.status(),
            answer.headers().contains_key("x-turned-away"),
        );
        let header = header_report(&answer);
        let body = http_body_util::Limited::new(answer.into_body(), REPORT_MOST)
            .collect()
            .await;
        ask.0.end();
        let report = body
            .ok()
            .and_then(|b| read_report(&b.to_bytes()))
            .or(header);
        let status = match status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE if turned_away => Outcome::Rejected,
            _ => Outcome::Error,
        };
        (status, false, report)
    }
}

/// Reads an answer up to its last line: how that ends the branch, or why the answer can't be used.
async fn follow(
    body: &mut Incoming,
    id: &str,
    observer: &mut impl AttemptObserver,
) -> Result<(AttemptOutcome, Option<LoadReport>), String> {
    let mut pace = ProgressLimit::start(Instant::now());
    let (mut line, mut cost) = (Vec::new(), 0);
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(e)) => return Err(chain(&e)),
            None => return Err("ended without a last line".into()),
        };
        for part in frame.split_inclusive(|&b| b == b'\n') {
            line.extend_from_slice(part);
            cost += part.len().max(PART_LEAST);
            if cost > LINE_MOST {
                return Err("a line without end".into());
            }
            if !part.ends_with(b"\n") {
                continue;
            }
            let (text, cost) = (std::mem::take(&mut line), std::mem::take(&mut cost));
            let now = Instant::now();
            if text.trim_ascii().is_empty() {
                pace.take(now, cost)?;
                continue;
            }
            let ResponseLine { state, load, .. } =
                match serde_json::from_slice::<ResponseLine>(&text) {
                    Ok(read) if read.id == id => read,
                    Ok(read) => return Err(format!("a line for {}", read.id)),
                    Err(e) => return Err(format!("malformed line: {e}")),
                };
            let ending = match state {
                JobState::Started => {
                    pace.take(now, cost)?;
                    if pace.starts() {
                        observer.updated(AttemptUpdate::Started);
                    }
                    continue;
                }
                JobState::Running { share } => {
                    pace.take(now, cost)?;
                    if pace.shares(now) {
                        observer.updated(AttemptUpdate::Fraction(share));
                    }
                    continue;
                }
                JobState::Done { result } => AttemptOutcome::Served(result.into()),
                JobState::Failed => AttemptOutcome::Error,
                JobState::Returned => AttemptOutcome::Rejected,
                JobState::Lost => AttemptOutcome::Reset,
            };
            let report = load.map(|load| {
                DeploymentSettings::load_report(
                    load.iter()
                        .filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?))),
                )
            });
            return Ok((ending, report));
        }
    }
}

/// Reads what an answer still holds after all that counts in it. Prevents: a connection whose
/// answer was not read to its end is closed, and each branch pays for a new one. An answer that
/// does not end is not read for ever.
async fn finish(mut body: Incoming, of: &AttemptConnection) {
    let rest = async {
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            read += frame.ok()?.data_ref().map_or(0, Bytes::len);
            if read > TAIL_MOST {
                return None;
            }
        }
        Some(())
    };
    if !matches!(timeout(TAIL, rest).await, Ok(Some(()))) {
        of.close();
    }
}

/// What an answer that is not 200 says.
fn refusal(answer: &Response<Incoming>) -> AttemptOutcome {
    let unseen = answer
        .headers()
        .get("x-turned-away")
        .is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => {
            AttemptOutcome::Rejected
        }
        status if status.is_client_error() => AttemptOutcome::InvalidJob,
        _ => AttemptOutcome::Error,
    }
}

/// What an error proves. It never ran if there was no connection, if hyper gave the request back
/// unwritten, or if its connection took not a byte of it.
fn broken(e: &Error, branch: &AttemptConnection) -> AttemptOutcome {
    let mut source = std::error::Error::source(e);
    let mut unwritten =
        e.is_connect() || branch.captured.connection_metadata().is_none() || branch.never_wrote();
    while let Some(e) = source {
        unwritten |= e
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled);
        source = e.source();
    }
    match unwritten {
        // We stood still: that says nothing of the next hop.
        _ if branch.course.late.load(Ordering::Relaxed) => AttemptOutcome::NotSent,
        true => AttemptOutcome::ConnectFailed,
        false if branch.kept() => AttemptOutcome::IdleConnectionReset,
        false => AttemptOutcome::Reset,
    }
}

fn chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    text
}

fn header_report(answer: &Response<Incoming>) -> Option<LoadReport> {
    read_report(answer.headers().get("x-pressure")?.as_bytes())
}

/// A load report: `name=value,name=value`, or a JSON object.
fn read_report(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?.trim();
    if text.starts_with('{') {
        let values: serde_json::Map<String, serde_json::Value> = serde_json::from_str(text).ok()?;
        let values = values
            .iter()
            .filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)));
        return Some(DeploymentSettings::load_report(values));
    }
    let pairs: Vec<(&str, f64)> = text
        .split(',')
        .filter_map(|pair| {
            let (name, value) = pair.split_once('=')?;
            Some((name.trim(), value.trim().parse().ok()?))
        })
        .collect();
    (!pairs.is_empty()).then(|| DeploymentSettings::load_report(pairs.into_iter()))
}

#[cfg(test)]
mod tests;
