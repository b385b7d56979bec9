//! The simulator's protocol: one JSON value per line, deserialized into types that borrow their
//! strings from the line.
//!
//! The `rename` attributes give the names on the wire, which differ from the terms of this project.

use pumiceway_decisions::settings::DeploymentSettings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Events with the same timestamp, which may be for different instances.
#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "sim-time-us")]
    pub now_us: u64,
    #[serde(borrow, rename = "items")]
    pub events: Vec<Event<'a>>,
}

/// An event for an instance.
#[derive(Deserialize)]
pub enum Event<'a> {
    /// The instance starts.
    #[serde(rename = "boot")]
    Start(Box<Start>),
    #[serde(borrow, rename = "announce")]
    EndpointList(EndpointList<'a>),
    #[serde(borrow, rename = "knock")]
    RequestArrived(RequestArrived<'a>),
    /// A stream has opened. Only streamed classes have streams, and the adapter ignores them.
    #[serde(rename = "established")]
    StreamOpened(InstanceOnly),
    #[serde(borrow, rename = "update-of")]
    AttemptProgressed(AttemptProgressed<'a>),
    #[serde(borrow, rename = "response")]
    AttemptEnded(AttemptEnded<'a>),
    #[serde(borrow, rename = "abandoned")]
    ClientDisconnected(ClientDisconnected<'a>),
    #[serde(rename = "elapsed")]
    TimerFired(TimerFired),
    #[serde(borrow, rename = "probed")]
    HealthChecked(HealthChecked<'a>),
    /// A message from another dispatcher, which the adapter ignores.
    #[serde(rename = "whisper")]
    Gossip(InstanceOnly),
    /// The instance stops.
    #[serde(rename = "shutdown")]
    Shutdown(InstanceOnly),
}

impl Event<'_> {
    /// The number of the instance that the event is for.
    pub fn instance(&self) -> u64 {
        match self {
            Event::Start(event) => event.instance,
            Event::EndpointList(event) => event.instance,
            Event::RequestArrived(event) => event.instance,
            Event::AttemptProgressed(event) => event.instance,
            Event::AttemptEnded(event) => event.instance,
            Event::ClientDisconnected(event) => event.instance,
            Event::TimerFired(event) => event.instance,
            Event::HealthChecked(event) => event.instance,
            Event::StreamOpened(event) | Event::Gossip(event) | Event::Shutdown(event) => {
                event.instance
            }
        }
    }
}

/// An event whose fields other than the instance are ignored.
#[derive(Deserialize)]
pub struct InstanceOnly {
    #[serde(rename = "i")]
    pub instance: u64,
}

/// The start of an instance.
#[derive(Deserialize)]
pub struct Start {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "entropy")]
    pub seed: u64,
    #[serde(rename = "conf")]
    pub settings: DeploymentSettings,
}

/// An endpoint list, or changes to the previous one.
#[derive(Deserialize)]
pub struct EndpointList<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "how")]
    pub kind: ListKind,
    #[serde(borrow, default, rename = "members")]
    pub entries: Vec<EndpointEntry<'a>>,
}

/// How the entries of a list relate to the previous list.
#[derive(Deserialize, Clone, Copy)]
pub enum ListKind {
    #[serde(rename = "incr")]
    Delta,
    #[serde(rename = "total")]
    Snapshot,
    #[serde(rename = "warm_copy")]
    Bootstrap,
    #[serde(rename = "lost")]
    SourceLost,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub struct EndpointEntry<'a> {
    #[serde(borrow, rename = "worker")]
    pub name: Cow<'a, str>,
    #[serde(default, rename = "ready-at-us")]
    pub started_at_us: u64,
    #[serde(rename = "units")]
    pub weight: Option<f64>,
    #[serde(borrow, rename = "campus")]
    pub zone: Option<Cow<'a, str>>,
    #[serde(rename = "availability")]
    pub state: EndpointState,
    #[serde(rename = "cohort")]
    pub cell: Option<u64>,
    #[serde(borrow, rename = "sku")]
    pub kind: Option<Cow<'a, str>>,
}

/// The state of an endpoint.
#[derive(Deserialize, Clone, Copy)]
pub enum EndpointState {
    #[serde(rename = "healthy")]
    Ready,
    #[serde(rename = "cordoned")]
    Draining,
    #[serde(rename = "deregistered")]
    Gone,
}

/// A new request.
#[derive(Deserialize)]
pub struct RequestArrived<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(borrow, rename = "corr")]
    pub request: Cow<'a, str>,
    #[serde(borrow, rename = "qos")]
    pub class: Cow<'a, str>,
    #[serde(rename = "left-us")]
    pub remaining_us: u64,
    #[serde(rename = "mem-needed")]
    pub memory: Option<f64>,
    pub slots: Option<f64>,
    #[serde(rename = "expected-us")]
    pub work_hint_us: Option<u64>,
    #[serde(rename = "path-key")]
    pub affinity_key: Option<u64>,
    /// The name of the tenant, or a number if the settings have no tenants; a number is ignored.
    #[serde(rename = "team")]
    pub tenant: Option<serde_json::Value>,
}

/// The progress of an attempt.
#[derive(Deserialize)]
pub struct AttemptProgressed<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(borrow, rename = "corr")]
    pub request: Cow<'a, str>,
    #[serde(default, rename = "x")]
    pub fraction: f64,
    #[serde(borrow, rename = "worker")]
    pub endpoint: Cow<'a, str>,
    #[serde(default, rename = "shot")]
    pub attempt_index: usize,
    /// [`UPDATE_STARTED`] or [`UPDATE_FRACTION`]; other values are ignored.
    #[serde(default, rename = "sort")]
    pub update: u64,
}

/// The endpoint has started the attempt.
pub const UPDATE_STARTED: u64 = 1;
/// The field `fraction` tells how much of the work is done.
pub const UPDATE_FRACTION: u64 = 2;

/// An attempt has ended.
#[derive(Deserialize)]
pub struct AttemptEnded<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(borrow, rename = "corr")]
    pub request: Cow<'a, str>,
    #[serde(default, rename = "shot")]
    pub attempt_index: usize,
    #[serde(borrow, rename = "worker")]
    pub endpoint: Cow<'a, str>,
    #[serde(rename = "reason")]
    pub outcome: Outcome,
    #[serde(default, rename = "spent-us")]
    pub latency_us: u64,
    #[serde(default, rename = "closed")]
    pub request_done: bool,
    #[serde(rename = "stats")]
    pub report: Option<Vec<f64>>,
}

/// How an attempt or a health check ended.
#[derive(Deserialize, Clone, Copy)]
pub enum Outcome {
    #[serde(rename = "pass")]
    Success,
    #[serde(rename = "fault")]
    Error,
    #[serde(rename = "no_room")]
    Rejected,
    #[serde(rename = "too_slow")]
    Timeout,
    #[serde(rename = "no_route")]
    ConnectFailed,
    #[serde(rename = "cut")]
    Reset,
    #[serde(rename = "undone")]
    Cancelled,
    #[serde(rename = "stale_send")]
    NotSent,
}

/// The client of a request has disconnected.
#[derive(Deserialize)]
pub struct ClientDisconnected<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(borrow, rename = "corr")]
    pub request: Cow<'a, str>,
}

/// A timer has fired.
#[derive(Deserialize)]
pub struct TimerFired {
    #[serde(rename = "i")]
    pub instance: u64,
    /// The number of the timer, from the action that set it.
    #[serde(rename = "nonce")]
    pub timer: u64,
}

/// A health check has ended.
#[derive(Deserialize)]
pub struct HealthChecked<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "reason")]
    pub outcome: Outcome,
    #[serde(default, rename = "spent-us")]
    pub latency_us: u64,
    #[serde(borrow, rename = "worker")]
    pub endpoint: Cow<'a, str>,
    #[serde(rename = "stats")]
    pub report: Option<Vec<f64>>,
}

/// The reply to a batch.
#[derive(Serialize)]
pub struct Reply {
    #[serde(rename = "orders")]
    pub actions: Vec<Action>,
}

/// An action of an instance, which the simulator carries out.
#[derive(Serialize)]
pub enum Action {
    #[serde(rename = "pass-on")]
    Send {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "corr")]
        request: String,
        #[serde(rename = "allow-for-us", skip_serializing_if = "Option::is_none")]
        timeout_us: Option<u64>,
        #[serde(rename = "worker")]
        endpoint: String,
    },
    #[serde(rename = "abort-attempt")]
    Cancel {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "corr")]
        request: String,
        #[serde(rename = "shot")]
        attempt_index: usize,
    },
    #[serde(rename = "decline")]
    Shed {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "corr")]
        request: String,
        #[serde(rename = "cool-down-us", skip_serializing_if = "Option::is_none")]
        retry_after_us: Option<u64>,
    },
    #[serde(rename = "drop-request")]
    Fail {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "corr")]
        request: String,
    },
    #[serde(rename = "health-check")]
    CheckHealth {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "worker")]
        endpoint: String,
    },
    #[serde(rename = "hang-up")]
    CloseIdleConnections {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "worker")]
        endpoint: String,
    },
    #[serde(rename = "track")]
    Subscribe {
        #[serde(rename = "i")]
        instance: u64,
        active: bool,
    },
    #[serde(rename = "sleep")]
    SetTimer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "after-us")]
        after_us: u64,
        #[serde(rename = "nonce")]
        timer: u64,
    },
    #[serde(rename = "say-log")]
    Log {
        #[serde(rename = "i")]
        instance: u64,
        message: String,
    },
}
