//! The simulator's wire: one JSON value a line, typed and borrowed from the line.

use pumiceway_decisions::settings::Conf;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "sim-time-us")]
    pub now: u64,
    #[serde(borrow)]
    pub items: Vec<Item<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item<'a> {
    Boot(Box<Boot>),
    #[serde(borrow)]
    Announce(Announce<'a>),
    #[serde(borrow)]
    Knock(Knock<'a>),
    Established(Only),
    #[serde(borrow)]
    UpdateOf(UpdateOf<'a>),
    #[serde(borrow)]
    Response(Response<'a>),
    #[serde(borrow)]
    Abandoned(Abandoned<'a>),
    Elapsed(Elapsed),
    #[serde(borrow)]
    Probed(Probed<'a>),
    Whisper(Only),
    Shutdown(Only),
}

#[derive(Deserialize)]
pub struct Only {
    pub i: u64,
}

#[derive(Deserialize)]
pub struct Boot {
    pub i: u64,
    pub entropy: u64,
    pub conf: Conf,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announce<'a> {
    pub i: u64,
    pub how: How,
    #[serde(borrow, default)]
    pub members: Vec<Member<'a>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member<'a> {
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    #[serde(default)]
    pub ready_at_us: u64,
    pub units: Option<f64>,
    #[serde(borrow)]
    pub campus: Option<Cow<'a, str>>,
    pub availability: Availability,
    pub cohort: Option<u64>,
    #[serde(borrow)]
    pub sku: Option<Cow<'a, str>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    Healthy,
    Cordoned,
    Deregistered,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Knock<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub corr: Cow<'a, str>,
    #[serde(borrow)]
    pub qos: Cow<'a, str>,
    pub left_us: u64,
    pub mem_needed: Option<f64>,
    pub slots: Option<f64>,
    pub expected_us: Option<u64>,
    pub path_key: Option<u64>,
    /// A name; a number where there are no tenants.
    pub team: Option<serde_json::Value>,
}

#[derive(Deserialize)]
pub struct UpdateOf<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub corr: Cow<'a, str>,
    #[serde(default)]
    pub x: f64,
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    #[serde(default)]
    pub shot: usize,
    #[serde(default)]
    pub sort: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub corr: Cow<'a, str>,
    #[serde(default)]
    pub shot: usize,
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    pub reason: Reason,
    #[serde(default)]
    pub spent_us: u64,
    #[serde(default)]
    pub closed: bool,
    pub stats: Option<Vec<f64>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

#[derive(Deserialize)]
pub struct Abandoned<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub corr: Cow<'a, str>,
}

#[derive(Deserialize)]
pub struct Elapsed {
    pub i: u64,
    pub nonce: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Probed<'a> {
    pub i: u64,
    pub reason: Reason,
    #[serde(default)]
    pub spent_us: u64,
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    pub stats: Option<Vec<f64>>,
}

#[derive(Serialize)]
pub struct Reply<'a> {
    pub orders: Vec<Order<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Order<'a> {
    PassOn {
        i: u64,
        corr: Cow<'a, str>,
        #[serde(skip_serializing_if = "Option::is_none")]
        allow_for_us: Option<u64>,
        worker: Cow<'a, str>,
    },
    AbortAttempt {
        i: u64,
        corr: Cow<'a, str>,
        shot: usize,
    },
    Decline {
        i: u64,
        corr: Cow<'a, str>,
        #[serde(skip_serializing_if = "Option::is_none")]
        cool_down_us: Option<u64>,
    },
    DropRequest {
        i: u64,
        corr: Cow<'a, str>,
    },
    HealthCheck {
        i: u64,
        worker: Cow<'a, str>,
    },
    HangUp {
        i: u64,
        worker: Cow<'a, str>,
    },
    Track {
        i: u64,
        active: bool,
    },
    Sleep {
        i: u64,
        after_us: u64,
        nonce: u64,
    },
    SayLog {
        i: u64,
        message: String,
    },
}
