//! Endpoints that serve requests, hang, reset connections, respond twice or at length, and the
//! endpoint list of discovery.

use super::jobs;
use super::lengthy::{self, LengthyResponse};
use crate::{Peer, endpoint_line, listing, serve_each};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The start of a health check.
const HEALTH_CHECK: &str = "GET /-/load ";
/// How long an endpoint that hangs keeps a connection open.
const HANG_DURATION: Duration = Duration::from_secs(2);
/// How long after the first response a second one follows, and the statuses of second responses.
const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(5);
const SECOND_RESPONSES: [&str; 4] = [
    "503 Busy\\r\\nX-Turned-Away: 1",
    "504 Late\\r\\nX-Turned-Away: 1",
    "500 Broken",
    "400 Bad",
];
/// One in this many responses is lengthy, where an endpoint responds at length.
const LENGTHY_ONE_IN: u64 = 3;
/// The number of changes that an outdated list lacks.
const OUTDATED_BY: usize = 3;

/// Stands for a Gearman worker, which is on no list, in place of the index of an endpoint.
pub(super) const GEARMAN_WORKER: usize = usize::MAX;

/// The status of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// It accepts jobs.
    Ready,
    /// It accepts no new jobs.
    Draining,
    /// It is gone.
    Gone,
}

impl ListedStatus {
    fn as_str(self) -> &'static str {
        match self {
            ListedStatus::Ready => "ready",
            ListedStatus::Draining => "draining",
            ListedStatus::Gone => "gone",
        }
    }
}

/// How an endpoint handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// It serves the request.
    Serves,
    /// It reads the request and sends nothing.
    Hangs,
    /// It reads the request and resets the connection.
    Resets,
    /// It serves the request, and a second response follows the first one. That one says that the
    /// endpoint has rejected the request, or names another status.
    RespondsTwice,
    /// One in three of its responses is of this kind; it serves the other requests.
    RespondsAtLength(LengthyResponse),
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When it was made.
    pub at: Instant,
    /// The version of the list that includes it.
    pub version: u64,
    /// The index of the endpoint.
    pub endpoint: usize,
    /// Its status from then on.
    pub status: ListedStatus,
}

/// A snapshot or a delta of the list, as the discovery service sends it.
pub struct ListMessage {
    /// The version of the list that results.
    pub version: u64,
    /// Its JSON.
    pub text: String,
}

/// A request that an endpoint has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read. Its first byte may have arrived earlier.
    pub at: Instant,
    /// The index of the endpoint.
    pub endpoint: usize,
    /// Its `X-Txn`, or the unique id that a Gearman worker is told.
    pub id: String,
    /// Its class.
    pub class: String,
    /// The idempotency key that came with it.
    pub key: Option<String>,
    /// The name of its job.
    pub job: String,
    /// The remaining time that the dispatcher sent with it.
    pub remaining: Option<Duration>,
}

/// All endpoints of a fleet, and the list of them.
pub struct Endpoints {
    ports: Vec<u16>,
    behaviors: Mutex<Vec<Behavior>>,
    changes: Mutex<Vec<ListChange>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// The number of responses that may have been lengthy.
    lengthy_candidates: AtomicU64,
}

impl Endpoints {
    /// Starts this many endpoints. All of them are ready.
    pub fn start(count: usize) -> Arc<Endpoints> {
        let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<_> = (0..count).map(bind).collect();
        let port = |listener: &TcpListener| listener.local_addr().unwrap().port();
        let endpoints = Arc::new(Endpoints {
            ports: listeners.iter().map(port).collect(),
            behaviors: Mutex::new(vec![Behavior::Serves; count]),
            changes: Mutex::default(),
            arrivals: Mutex::default(),
            lengthy_candidates: AtomicU64::default(),
        });
        for (endpoint, listener) in listeners.into_iter().enumerate() {
            let endpoints = endpoints.clone();
            serve_each(listener, move |peer| endpoints.serve(endpoint, peer));
        }
        endpoints
    }

    fn serve(&self, endpoint: usize, mut peer: Peer) {
        let mut second_responses = SECOND_RESPONSES.iter().cycle();
        while let Ok(request) = peer.read_message() {
            if request.starts_with(HEALTH_CHECK) {
                self.report_load(endpoint, &mut peer);
                continue;
            }
            self.record(Arrival::parse(endpoint, &request));
            let body = body_of(&request);
            let behavior = self.behaviors.lock().unwrap()[endpoint];
            match behavior {
                Behavior::Serves => peer.send(&format!("done {}", jobs::run(body))),
                Behavior::RespondsTwice => {
                    peer.send(&format!("done {}", jobs::run(body)));
                    std::thread::sleep(SECOND_RESPONSE_DELAY);
                    let status = second_responses.next().unwrap_or(&SECOND_RESPONSES[0]);
                    peer.send(&format!(
                        "raw HTTP/1.1 {status}\\r\\nContent-Length: 0\\r\\n\\r\\n"
                    ));
                }
                Behavior::Hangs => std::thread::sleep(HANG_DURATION),
                Behavior::RespondsAtLength(response) if self.is_next_lengthy() => {
                    lengthy::respond(&mut peer, response);
                }
                Behavior::RespondsAtLength(_) => peer.send(&format!("done {}", jobs::run(body))),
                Behavior::Resets => return peer.reset(),
            }
        }
    }

    fn report_load(&self, endpoint: usize, peer: &mut Peer) {
        let behavior = self.behaviors.lock().unwrap()[endpoint];
        if behavior == Behavior::RespondsAtLength(LengthyResponse::SlowLoadReport) {
            lengthy::report_load(peer);
        } else {
            peer.send("json {\"x0\":4}");
        }
    }

    fn is_next_lengthy(&self) -> bool {
        let number = self.lengthy_candidates.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(LENGTHY_ONE_IN)
    }

    /// The number of endpoints.
    pub fn count(&self) -> usize {
        self.ports.len()
    }

    /// Sets how an endpoint handles requests from now on.
    pub fn set_behavior(&self, endpoint: usize, behavior: Behavior) {
        self.behaviors.lock().unwrap()[endpoint] = behavior;
    }

    /// Changes the status of an endpoint in the list.
    pub fn set_status(&self, endpoint: usize, status: ListedStatus) {
        let mut changes = self.changes.lock().unwrap();
        let version = changes.len() as u64 + 1;
        changes.push(ListChange {
            at: Instant::now(),
            version,
            endpoint,
            status,
        });
    }

    /// The current version of the list.
    pub fn version(&self) -> u64 {
        self.changes.lock().unwrap().len() as u64
    }

    /// All changes so far.
    pub fn changes(&self) -> Vec<ListChange> {
        self.changes.lock().unwrap().clone()
    }

    /// Records a request that was read.
    pub(super) fn record(&self, arrival: Arrival) {
        self.arrivals.lock().unwrap().push(arrival);
    }

    /// All requests that the endpoints have read so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// The current list.
    pub fn snapshot(&self) -> ListMessage {
        self.snapshot_after(&self.changes())
    }

    /// The list without the last changes, of those that were made less than `lag` ago.
    pub fn outdated_snapshot(&self, lag: Option<Duration>) -> ListMessage {
        let mut changes = self.changes();
        let may_lack = |change: &ListChange| lag.is_none_or(|lag| change.at.elapsed() < lag);
        let lacked = changes.iter().rev().take(OUTDATED_BY);
        let lacked = lacked.take_while(|change| may_lack(change)).count();
        changes.truncate(changes.len() - lacked);
        self.snapshot_after(&changes)
    }

    fn snapshot_after(&self, changes: &[ListChange]) -> ListMessage {
        let status = |endpoint| {
            let mut latest_first = changes.iter().rev();
            let last = latest_first.find(|change| change.endpoint == endpoint);
            last.map_or(ListedStatus::Ready, |change| change.status)
        };
        let lines: Vec<String> = (0..self.count())
            .filter(|&endpoint| status(endpoint) != ListedStatus::Gone)
            .map(|endpoint| self.line(endpoint, status(endpoint)))
            .collect();
        let version = changes.len() as u64;
        ListMessage {
            version,
            text: listing(version, true, &lines),
        }
    }

    /// The number of changes since this version.
    pub fn changed_since(&self, version: u64) -> usize {
        self.version().saturating_sub(version) as usize
    }

    /// The changes since this version.
    pub fn delta_since(&self, version: u64) -> ListMessage {
        let changes = self.changes();
        let lines: Vec<String> = changes
            .iter()
            .filter(|change| change.version > version)
            .map(|change| self.line(change.endpoint, change.status))
            .collect();
        let version = changes.len() as u64;
        ListMessage {
            version,
            text: listing(version, false, &lines),
        }
    }

    fn line(&self, endpoint: usize, status: ListedStatus) -> String {
        let name = format!("w{endpoint:02}");
        endpoint_line(&name, self.ports[endpoint], status.as_str())
    }
}

impl Arrival {
    /// The record of a request that was just read.
    fn parse(endpoint: usize, request: &str) -> Arrival {
        let at = Instant::now();
        let header = |name: &str| request.lines().find_map(|line| line.strip_prefix(name));
        Arrival {
            at,
            endpoint,
            id: header("x-txn: ").unwrap_or_default().to_owned(),
            class: request.split('/').nth(1).unwrap_or_default().to_owned(),
            key: header("idempotency-key: ").map(str::to_owned),
            job: jobs::name(body_of(request)).to_owned(),
            remaining: header("x-remaining-ms: ")
                .and_then(|millis| millis.parse().ok())
                .map(Duration::from_millis),
        }
    }
}

fn body_of(request: &str) -> &str {
    request.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}
