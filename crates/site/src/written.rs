//! The file as it is written, with its defaults.

use crate::units::{Address, Bytes, Time};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Written {
    #[serde(default = "name")]
    pub(crate) name: String,
    #[serde(default = "zone")]
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

fn name() -> String {
    "pumiceway".to_owned()
}

fn zone() -> String {
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
    pub(crate) wanted: Spanned<Time>,
    pub(crate) deadline: Spanned<Time>,
    pub(crate) wait: Option<Spanned<Time>>,
    #[serde(default = "nothing")]
    pub(crate) stretch: Spanned<f64>,
    #[serde(default = "one")]
    pub(crate) worth: Spanned<f64>,
}

fn nothing() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}

fn one() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
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
    pub(crate) memory: Spanned<Bytes>,
}

impl Default for Limits {
    fn default() -> Limits {
        let n = |n| Spanned::new(0..0, n);
        Limits {
            connections: n(64),
            jobs: n(256),
            waiting: n(256),
            tries: n(6),
            sockets: n(1_024),
            memory: Spanned::new(0..0, Bytes(192 << 20)),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Keep {
    pub(crate) time: Time,
    pub(crate) answers: Spanned<usize>,
    pub(crate) bytes: Bytes,
}

impl Default for Keep {
    fn default() -> Keep {
        Keep {
            time: Time(Duration::from_secs(600)),
            answers: Spanned::new(0..0, 10_000),
            bytes: Bytes(16 << 20),
        }
    }
}
