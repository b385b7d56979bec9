//! Clients whose requests have an id or a key that another request has: strangers with the id of an
//! open request, clients that send one request again and again, and clients that give the same kind
//! of key over HTTP and over Gearman.

use super::clients::{Connection, Pace, RequestEnd, SentRequest};
use super::conditions::TENANTS;
use super::gearman_peers::submit_once;
use super::identity_checks::DEDUPLICATION_WINDOW;
use super::jobs::{self, Cost};
use super::{Dispatcher, TestFleet};
use crate::Peer;
use std::time::{Duration, Instant};

/// The class with idempotency keys.
pub(super) const KEYED_CLASS: &str = "room-hold";
const IDEMPOTENT_CLASS: &str = "rate-push";
const NON_IDEMPOTENT_CLASS: &str = "booking-import";
/// A stranger sends its request this long after the owner.
const STRANGER_DELAY: Duration = Duration::from_millis(60);
/// After this time a stranger that does not wait leaves.
const STRANGER_STAY: Duration = Duration::from_millis(20);
/// The remaining time of a request that is given up while its job runs.
const SHORT_REMAINING: Duration = Duration::from_millis(150);
/// The remaining time of a keyed request over HTTP.
const KEYED_REMAINING: Duration = Duration::from_millis(400);
/// A key is sent again over the other frontend if the first response came within this time, so that
/// endpoints still recognise it.
const MAX_CROSSING_DELAY: Duration = Duration::from_secs(1);
/// How a key may end: endpoints are told each character of it as it is.
const KEY_ENDS: [&str; 3] = ["", "/%2F:~", " 2"];

/// What a stranger does with the id of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stranger {
    /// It sends the same request on another connection.
    Repeats,
    /// The same, with less remaining time.
    HasLessTime,
    /// The same, and it leaves at once.
    Leaves,
    /// The same, of another tenant.
    IsOtherTenant,
    /// Owner and stranger share a connection, on which both requests are sent at once.
    SharesConnection,
}

impl Stranger {
    /// Every kind.
    pub const ALL: &[Stranger] = &[
        Stranger::Repeats,
        Stranger::HasLessTime,
        Stranger::Leaves,
        Stranger::IsOtherTenant,
        Stranger::SharesConnection,
    ];
}

/// A request that was sent more than once under one id.
#[derive(Clone, Debug)]
pub struct RepeatedRequest {
    /// Its `X-Txn`.
    pub id: String,
    /// Whether its class is the non-idempotent one.
    pub is_non_idempotent: bool,
    /// How many of those who sent it were served.
    pub served: usize,
    /// The longest time that one of those waited who had sent it after the first.
    pub longest_wait: Duration,
}

/// Sends requests of owners, and the same ones of strangers while they are open.
pub(super) fn send_strangers(
    fleet: &TestFleet,
    dispatcher: &Dispatcher,
    stranger: Stranger,
    count: usize,
) {
    for number in 0..count {
        let class = [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS][number % 2];
        let request = OwnedRequest {
            id: fleet.unique_name("owner"),
            class,
            remaining: fleet.conditions.remaining(class == NON_IDEMPOTENT_CLASS),
        };
        request.send_twice(fleet, dispatcher, stranger);
    }
}

/// A request of an owner, whose id a stranger takes while it is open.
struct OwnedRequest {
    id: String,
    class: &'static str,
    remaining: Duration,
}

impl OwnedRequest {
    /// Sends it as its owner and then as a stranger, and records how both ended.
    fn send_twice(&self, fleet: &TestFleet, dispatcher: &Dispatcher, stranger: Stranger) {
        let Some(mut owner) = dispatcher.connect() else {
            return;
        };
        let at = Instant::now();
        let [own_tenant, _] = TENANTS;
        let message = self.message(self.remaining, own_tenant);
        let shares_connection = stranger == Stranger::SharesConnection;
        owner.send(&if shares_connection {
            format!("{message} && {message}")
        } else {
            message
        });
        std::thread::sleep(STRANGER_DELAY);
        let stranger_at = Instant::now();
        let stranger_end = self.send_as_stranger(dispatcher, stranger);
        let longest_wait = stranger_end
            .as_ref()
            .map_or(Duration::ZERO, |_| stranger_at.elapsed());
        let owner_end = RequestEnd::read_from(&mut owner);
        let ended_at = Instant::now();
        let second_end = shares_connection.then(|| RequestEnd::read_from(&mut owner));
        let ends = [Some(&owner_end), stranger_end.as_ref(), second_end.as_ref()];
        let served = ends.into_iter().flatten().filter(|end| end.is_served());
        fleet.repeated.lock().unwrap().push(RepeatedRequest {
            id: self.id.clone(),
            is_non_idempotent: self.class == NON_IDEMPOTENT_CLASS,
            served: served.count(),
            longest_wait,
        });
        fleet.record_sent(SentRequest {
            dispatcher: dispatcher.number,
            id: self.id.clone(),
            is_non_idempotent: false,
            connection: Connection::New,
            pace: Pace::AtOnce,
            begun_at: at,
            at,
            remaining: self.remaining,
            ended_at,
            end: owner_end,
        });
    }

    /// Sends it on a connection of the stranger, if it has one, and returns how that ended.
    fn send_as_stranger(&self, dispatcher: &Dispatcher, stranger: Stranger) -> Option<RequestEnd> {
        let [own_tenant, other_tenant] = TENANTS;
        let (remaining, tenant) = match stranger {
            Stranger::SharesConnection => return None,
            Stranger::HasLessTime => (SHORT_REMAINING, own_tenant),
            Stranger::IsOtherTenant => (self.remaining, other_tenant),
            Stranger::Repeats | Stranger::Leaves => (self.remaining, own_tenant),
        };
        let mut peer = send(dispatcher, &self.message(remaining, tenant))?;
        if stranger == Stranger::Leaves {
            std::thread::sleep(STRANGER_STAY);
            return Some(RequestEnd::Disconnected);
        }
        Some(RequestEnd::read_from(&mut peer))
    }

    fn message(&self, remaining: Duration, tenant: &str) -> String {
        let body = jobs::body(&self.id, Cost::Slow);
        let tenant = format!("X-Org: {tenant}");
        post(self.class, &self.id, remaining, Some(&tenant), &body)
    }
}

/// Sends one import, which is given up while it runs, again each time that it is turned away.
pub(super) fn repeat_request(
    fleet: &TestFleet,
    dispatcher: &Dispatcher,
    pause: Duration,
    duration: Duration,
) {
    let id = fleet.unique_name("again");
    let body = jobs::body(&id, Cost::Slow);
    let message = post(NON_IDEMPOTENT_CLASS, &id, SHORT_REMAINING, None, &body);
    let until = Instant::now() + duration;
    let address = dispatcher.http();
    let mut served = 0;
    // A new process does not know what its predecessor has run.
    while Instant::now() < until && dispatcher.http() == address {
        let Some(mut peer) = send(dispatcher, &message) else {
            break;
        };
        served += usize::from(RequestEnd::read_from(&mut peer).is_served());
        std::thread::sleep(pause);
    }
    fleet.repeated.lock().unwrap().push(RepeatedRequest {
        id,
        is_non_idempotent: true,
        served,
        longest_wait: Duration::ZERO,
    });
}

/// Sends jobs with idempotency keys, first over HTTP or over Gearman in turn, and again over the other.
/// The name of a job is its key.
pub(super) fn send_keyed(fleet: &TestFleet, dispatcher: &Dispatcher, count: usize) {
    let over_gearman = |key: &str| submit_once(fleet, dispatcher, KEYED_CLASS, key, key);
    let over_http = |key: &str| send_keyed_over_http(dispatcher, key);
    let latest_over_gearman = MAX_CROSSING_DELAY + fleet.conditions.deadline(KEYED_CLASS);
    for number in 0..count {
        let end = KEY_ENDS[number % KEY_ENDS.len()];
        let key = format!("{}{end}", fleet.unique_name("key"));
        let begins_over_http = number % 2 == 0;
        let first_at = Instant::now();
        if begins_over_http {
            over_http(&key);
        } else {
            over_gearman(&key);
        }
        if first_at.elapsed() > MAX_CROSSING_DELAY {
            continue;
        }
        if !begins_over_http {
            over_http(&key);
        } else if latest_over_gearman < DEDUPLICATION_WINDOW {
            over_gearman(&key);
        }
    }
}

fn send_keyed_over_http(dispatcher: &Dispatcher, key: &str) {
    // The id is another one, as with each retry of a client.
    let id = format!("http-{}", key.split(['/', ' ']).next().unwrap_or_default());
    let header = format!("Idempotency-Key: {key}");
    let message = post(KEYED_CLASS, &id, KEYED_REMAINING, Some(&header), key);
    if let Some(mut peer) = send(dispatcher, &message) {
        let _ = RequestEnd::read_from(&mut peer);
    }
}

/// The message that sends a request, with one header line of its own or none.
fn post(class: &str, id: &str, remaining: Duration, header: Option<&str>, body: &str) -> String {
    let header = header.map_or(String::new(), |line| format!("{line}\\r\\n"));
    let remaining_ms = remaining.as_millis();
    let length = body.len();
    format!(
        "raw POST /{class}/k HTTP/1.1\\r\\nHost: x\\r\\nX-Txn: {id}\\r\\nX-Remaining-Ms: {remaining_ms}\\r\\n\
         {header}Content-Length: {length}\\r\\n\\r\\n{body}"
    )
}

fn send(dispatcher: &Dispatcher, message: &str) -> Option<Peer> {
    let mut peer = dispatcher.connect()?;
    peer.send(message);
    Some(peer)
}
