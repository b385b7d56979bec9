//! The keys of a site file, and their defaults.
//!
//! Fields have the names of the keys; [`convert`](crate::convert) checks the values and gives them
//! the terms of the settings.

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

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Repeat {
    Safe,
    Never,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub(crate) repeat: Repeat,
    pub(crate) wanted: Spanned<HumanDuration>,
    pub(crate) deadline: Spanned<HumanDuration>,
    pub(crate) wait: Option<Spanned<HumanDuration>>,
    #[serde(default = "default_stretch")]
    pub(crate) stretch: Spanned<f64>,
    #[serde(default = "one")]
    pub(crate) worth: Spanned<f64>,
}

fn default_stretch() -> Spanned<f64> {
    unwritten(0.0)
}

fn one() -> Spanned<f64> {
    unwritten(1.0)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Function {
    pub(crate) class: Spanned<String>,
    #[serde(default = "one")]
    pub(crate) slots: Spanned<f64>,
}

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
    pub(crate) waiting: Spanned<usize>,
    pub(crate) tries: Spanned<usize>,
    pub(crate) sockets: Spanned<usize>,
    pub(crate) memory: Spanned<ByteSize>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: unwritten(64),
            jobs: unwritten(256),
            waiting: unwritten(256),
            tries: unwritten(6),
            sockets: unwritten(1_024),
            memory: unwritten(ByteSize(192 << 20)),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Keep {
    pub(crate) time: HumanDuration,
    pub(crate) answers: Spanned<usize>,
    pub(crate) bytes: ByteSize,
}

impl Default for Keep {
    fn default() -> Keep {
        Keep {
            time: HumanDuration(Duration::from_secs(600)),
            answers: unwritten(10_000),
            bytes: ByteSize(16 << 20),
        }
    }
}

/// A default, which has no place in the file.
fn unwritten<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
