//! The keys of a site file, and their defaults.
//!
//! The `rename` attributes give the keys that differ from the terms of the settings.
//! [`convert`](crate::convert) checks the values.

use crate::units::{Address, ByteSize, HumanDuration};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SiteFile {
    #[serde(default = "default_name")]
    pub(crate) name: String,
    #[serde(default = "default_zone")]
    pub(crate) zone: String,
    pub(crate) listen: Listen,
    #[serde(default)]
    pub(crate) classes: BTreeMap<String, Spanned<Class>>,
    #[serde(default)]
    pub(crate) functions: BTreeMap<String, Function>,
    #[serde(default)]
    pub(crate) workers: BTreeMap<String, Worker>,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) keep: Keep,
}

fn default_name() -> String {
    "pumiceway".to_owned()
}

fn default_zone() -> String {
    "here".to_owned()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    pub(crate) http: Address,
    pub(crate) gearman: Option<Address>,
}

/// Whether a job that may have run may run again.
#[derive(Clone, Copy, Deserialize)]
pub(crate) enum Repeat {
    #[serde(rename = "safe")]
    Idempotent,
    #[serde(rename = "never")]
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    #[serde(rename = "repeat")]
    pub(crate) repeats: Repeat,
    #[serde(rename = "wanted")]
    pub(crate) latency_objective: Spanned<HumanDuration>,
    pub(crate) deadline: Spanned<HumanDuration>,
    #[serde(rename = "wait")]
    pub(crate) max_queue_time: Option<Spanned<HumanDuration>>,
    #[serde(default = "default_objective_stretch", rename = "stretch")]
    pub(crate) objective_stretch: Spanned<f64>,
    #[serde(default = "default_priority_weight", rename = "worth")]
    pub(crate) priority_weight: Spanned<f64>,
}

fn default_objective_stretch() -> Spanned<f64> {
    without_span(0.0)
}

fn default_priority_weight() -> Spanned<f64> {
    without_span(1.0)
}

/// A Gearman function.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Function {
    pub(crate) class: Spanned<String>,
    #[serde(default = "default_slots")]
    pub(crate) slots: Spanned<f64>,
}

fn default_slots() -> Spanned<f64> {
    without_span(1.0)
}

/// An endpoint that is called over HTTP.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Worker {
    pub(crate) address: Address,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Limits {
    pub(crate) connections: Spanned<usize>,
    pub(crate) jobs: Spanned<usize>,
    #[serde(rename = "waiting")]
    pub(crate) max_queued: Spanned<usize>,
    #[serde(rename = "tries")]
    pub(crate) max_attempts: Spanned<usize>,
    pub(crate) sockets: Spanned<usize>,
    pub(crate) memory: Spanned<ByteSize>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: without_span(64),
            jobs: without_span(256),
            max_queued: without_span(256),
            max_attempts: without_span(6),
            sockets: without_span(1_024),
            memory: without_span(ByteSize(192 << 20)),
        }
    }
}

/// The limits of the idempotency cache.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Keep {
    pub(crate) time: HumanDuration,
    #[serde(rename = "answers")]
    pub(crate) max_responses: Spanned<usize>,
    pub(crate) bytes: ByteSize,
}

impl Default for Keep {
    fn default() -> Keep {
        Keep {
            time: HumanDuration(Duration::from_secs(600)),
            max_responses: without_span(10_000),
            bytes: ByteSize(16 << 20),
        }
    }
}

/// A default value, which has no position in the file.
fn without_span<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
