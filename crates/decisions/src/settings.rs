//! The settings object of the simulator's first message and of the dispatcher's configuration: its one type,
//! and what it says in the terms of the decision module.

use crate::api::{
    Class, Effect, Group, KindId, Micros, Prices, Report, ReportVia, Settings, SettingsError, Tenant,
    TenantId, ZoneId,
};
use serde::Deserialize;

/// The settings as written. Keys that are not known are skipped.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)] // the settings page words every key
pub struct Conf {
    #[serde(default)]
    pub me: usize,
    #[serde(default = "one")]
    pub n_instances: usize,
    #[serde(default)]
    pub zones: Vec<String>,
    pub my_zone: Option<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub lanes: Vec<Lane>,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub family_info: FamilyInfo,
    pub limits: Limits,
    #[serde(default)]
    pub prices: PricesConf,
    #[serde(default)]
    pub report: ReportConf,
    pub rules: Rules,
    #[serde(default)]
    pub resolution_us: u64,
    #[serde(default)]
    pub tenants: Vec<TenantConf>,
    #[serde(default = "whole")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub weights: Weights,
}

/// One of those who share the workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub struct TenantConf {
    pub name: String,
    #[serde(default)]
    pub quota_per_s: f64,
}

/// What the size of a worker on the list means.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Weights {
    #[default]
    None,
    Nominal,
    Rough,
    /// Lowered by what it holds, from one list to the next.
    Live,
}

fn one() -> usize {
    1
}

/// How news of the worker list comes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Discovery {
    #[default]
    Automatic,
    Subscribe,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub struct Lane {
    pub name: String,
    pub aim_us: u64,
    pub aim_stretch: Option<f64>,
    pub deadline_us: u64,
    /// Of our own: how long a transaction may wait for its start.
    pub wait_us: Option<u64>,
    pub points: f64,
    pub semantics: Semantics,
    pub dedup_scope: Option<Scope>,
    pub zones_only: Option<Vec<String>>,
    pub kinds_open: Option<Vec<String>>,
    #[serde(default)]
    pub window_us: u64,
}

/// What repeating does.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Semantics {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// Who drops repeats.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// How a worker serves what waits.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum QueueOrder {
    #[default]
    Fifo,
    Backfill,
    Priority,
}

/// Facts of this kind of service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)]
pub struct FamilyInfo {
    pub class_kind: Vec<i64>,
    pub class_priority: Vec<i64>,
    pub queue_order: QueueOrder,
    pub class_stretch: Vec<f64>,
    pub progress_us: u64,
    pub tells_start: bool,
}

/// What the site permits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub struct Limits {
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub conn_idle_us: u64,
    #[serde(default)]
    pub connect_timeout_us: u64,
    #[serde(default)]
    pub max_retry_after_us: u64,
    pub most_tries: usize,
    /// Of our own: transactions that may wait at once; 0 for no bound beside those of the fronts.
    #[serde(default)]
    pub most_held: usize,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub second_copies: bool,
}

/// Prices.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[allow(missing_docs)]
pub struct PricesConf {
    pub cross_zone: f64,
    pub probe: f64,
}

/// The load reports.
#[derive(Clone, Debug, Default, Deserialize)]
#[allow(missing_docs)]
pub struct ReportConf {
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub via: Via,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Via {
    Answers,
    Probe,
    #[default]
    None,
}

/// The rules in figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub struct Rules {
    #[serde(default)]
    pub ask_within_us: u64,
    #[serde(default)]
    pub drain_grace_us: u64,
    #[serde(default = "whole")]
    pub cold_from: f64,
    #[serde(default)]
    pub cold_us: u64,
    #[serde(default)]
    pub fall_us: u64,
    #[serde(default)]
    pub tip_multiple: f64,
}

fn whole() -> f64 {
    1.0
}

/// Settings that name something that there is not, or that cannot work.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfError {
    /// `my-zone` is none of `zones`.
    #[error("my-zone: unknown zone {0}")]
    UnknownZone(String),
    /// The decision module finds them unusable.
    #[error(transparent)]
    Unusable(#[from] SettingsError),
}

fn index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Names that the settings know; a name that stands for nothing allows nobody and is no fault.
fn placed<'a>(list: &'a [String], known: &'a [String]) -> impl Iterator<Item = usize> + 'a {
    list.iter().filter_map(|name| index(known, name))
}

impl Conf {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.lanes.iter().position(|l| l.name == name)
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t.name == name).map(TenantId)
    }

    /// The size of a worker that the list gives this weight; 0 where it tells none. Prevents: a weight that falls with
    /// load, or that is 1 for all, makes whoever is busy or has many slots look like a slow machine.
    pub fn size(&self, weight: Option<f64>) -> f64 {
        let told = matches!(self.weights, Weights::Nominal | Weights::Rough);
        weight.filter(|w| told && w.is_finite() && *w > 0.0).unwrap_or(0.0)
    }

    /// The zone of this name; entries without one are in the first, and all where the settings name none.
    pub fn zone(&self, name: Option<&str>) -> Option<ZoneId> {
        name.filter(|_| !self.zones.is_empty()).map_or(Some(0), |n| index(&self.zones, n)).map(ZoneId)
    }

    /// The machine kind of this name; entries without one are of the first, and all where the
    /// settings name none.
    pub fn kind(&self, name: Option<&str>) -> Option<KindId> {
        name.filter(|_| !self.kinds.is_empty()).map_or(Some(0), |n| index(&self.kinds, n)).map(KindId)
    }

    /// A load report from its values by name. Settings and sockets have words of their own for some.
    pub fn report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> Report {
        let mut report = Report::default();
        for (name, value) in values {
            match name {
                "active" | "inflight" => report.in_flight = Some(value),
                "waiting" | "queue" => report.waiting = Some(value),
                "x0" => report.free_slots = Some(value),
                "x1" => report.free_memory = Some(value),
                "rps" | "qps" => report.rate = Some(value),
                "cpu" | "util" => report.busy = Some(value),
                _ => {}
            }
        }
        report
    }

    /// The kinds open to a class: the site's list and the kind the service binds it to, where given.
    fn kinds_of(&self, lane: &Lane, bound: Option<i64>) -> Option<Vec<KindId>> {
        let bound = bound.and_then(|k| usize::try_from(k).ok());
        let open: Vec<usize> = match (&lane.kinds_open, bound) {
            (None, None) => return None,
            (Some(list), None) => placed(list, &self.kinds).collect(),
            (None, Some(k)) => vec![k],
            (Some(list), Some(k)) => placed(list, &self.kinds).filter(|&open| open == k).collect(),
        };
        Some(open.into_iter().filter(|&k| k < self.kinds.len()).map(KindId).collect())
    }

    fn class_settings(&self, n: usize, lane: &Lane) -> Class {
        Class {
            effect: match lane.semantics {
                Semantics::ReadLike => Effect::Safe,
                Semantics::NonIdempotent => Effect::Unsafe,
                Semantics::IdempotencyKey => Effect::Keyed {
                    group: match lane.dedup_scope {
                        Some(Scope::All) => Group::All,
                        Some(Scope::Zone) => Group::Zone,
                        // Without a word on the group, the narrowest one is the safe reading.
                        Some(Scope::Cell) | None => Group::Cell,
                    },
                    window: lane.window_us,
                },
            },
            worth: lane.points,
            aim: lane.aim_us,
            stretch: lane.aim_stretch.or(self.family_info.class_stretch.get(n).copied()).unwrap_or(0.0),
            deadline: lane.deadline_us,
            priority: match self.family_info.queue_order {
                QueueOrder::Priority => {
                    let own = self.family_info.class_priority.get(n).copied().unwrap_or(0);
                    u32::try_from(own).unwrap_or(0)
                }
                QueueOrder::Fifo | QueueOrder::Backfill => 0,
            },
            wait: lane.wait_us,
            zones: lane.zones_only.as_ref().map(|list| placed(list, &self.zones).map(ZoneId).collect()),
            kinds: self.kinds_of(lane, self.family_info.class_kind.get(n).copied()),
        }
    }

    /// A connection to a worker comes up within this time or has failed. The one place that says so, for those who
    /// open them and for those who decide what may still be sent.
    pub fn connect_within(&self) -> Micros {
        let or = |us, default| if us == 0 { default } else { us };
        // Prevents: an attempt waits for its connection while its worker begins to drain, and is written to it after
        // the grace is over.
        or(self.limits.connect_timeout_us, 1_000_000).min(or(self.rules.drain_grace_us / 2, 1_000_000))
    }

    /// The same in the terms of the decision module, checked.
    pub fn settings(&self) -> Result<Settings, ConfError> {
        let my_zone = match &self.my_zone {
            Some(zone) => Some(self.zone(Some(zone)).ok_or_else(|| ConfError::UnknownZone(zone.clone()))?),
            None => None,
        };
        let settings = Settings {
            me: self.me,
            instances: self.n_instances.max(1),
            zones: self.zones.len().max(1),
            my_zone,
            kinds: self.kinds.len().max(1),
            classes: self.lanes.iter().enumerate().map(|(n, lane)| self.class_settings(n, lane)).collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota: t.quota_per_s.max(0.0) }).collect(),
            over_share_worth: self.over_share_worth.clamp(0.0, 1.0),
            prices: Prices { cross_zone: self.prices.cross_zone, probe: self.prices.probe },
            report_via: match self.report.via {
                Via::Answers => ReportVia::Answers,
                Via::Probe => ReportVia::Probe,
                Via::None => ReportVia::None,
            },
            list_by_asking: self.discovery == Discovery::Subscribe,
            ask_within: self.rules.ask_within_us,
            drain_grace: self.rules.drain_grace_us,
            probes: self.limits.probes,
            cancel: self.limits.cancel,
            second_copies: self.limits.second_copies,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us,
            max_attempts: self.limits.most_tries,
            connect_timeout: self.connect_within(),
            connection_idle: self.limits.conn_idle_us,
            resolution: self.resolution_us,
            tells_start: self.family_info.tells_start,
            progress_every: self.family_info.progress_us,
            cold_from: self.rules.cold_from,
            cold_for: self.rules.cold_us,
            tip_multiple: self.rules.tip_multiple,
            fall_window: self.rules.fall_us as Micros,
            held_most: self.limits.most_held,
        };
        settings.check()?;
        Ok(settings)
    }
}
