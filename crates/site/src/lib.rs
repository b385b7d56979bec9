//! The site file: all that an appliance is told, in one TOML file and in plain units.
//!
//! ```
//! let text = r#"
//! [listen]
//! http = "127.0.0.1:3000"
//! gearman = "127.0.0.1:4730"
//!
//! [classes.booking-import]
//! repeat = "never"
//! wanted = "1500 ms"
//! deadline = "20 s"
//! "#;
//! let config = pumiceway_site::read(text, "site.toml")?;
//! assert_eq!(config.deployment.lanes[0].deadline_us, 20_000_000);
//!
//! let wrong = text.replace("20 s", "20 sacks");
//! let why = pumiceway_site::read(&wrong, "site.toml").unwrap_err().to_string();
//! assert!(why.starts_with("site.toml, line 9: classes.booking-import.deadline: "), "{why}");
//! # Ok::<(), pumiceway_site::SiteError>(())
//! ```

mod template;
pub mod units;
mod written;

pub use template::{Answers, ClassAnswer, template};

use pumiceway_decisions::api::ClassId;
use pumiceway_decisions::settings::{
    ClassSettings, DeploymentSettings, Limits, RepeatSemantics, RuleSettings,
};
use pumiceway_net::config::{self, Config, ConfigError, Function, GearmanConfig, Retention};
use pumiceway_net::discovery::{ListMessage, ListedEndpoint};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;
use written::{Class, Repeat, Written};

/// What is wrong with a site file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteError {
    /// The file.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The key, such as `classes.rate-push.wanted`; empty where there is none.
    pub key: String,
    /// What is wrong, and what would be right.
    pub why: String,
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ", line {line}")?;
        }
        f.write_str(": ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.why)
    }
}

impl std::error::Error for SiteError {}

/// The most classes that Gearman workers can be told apart by.
const CLASSES_MOST: usize = 6;
/// The longest deadline; the timers and the answers kept are made for hours, not for days.
const DEADLINE_MOST: u64 = 3_600_000_000;
const DEADLINE_LEAST: u64 = 100_000;

/// Reads a site file.
pub fn read_file(file: &Path) -> Result<Config, SiteError> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => read(&text, &name),
        Err(e) => Err(SiteError {
            file: name,
            line: None,
            key: String::new(),
            why: format!("{e}; `pumiceway init` writes one"),
        }),
    }
}

/// Reads the text of a site file.
pub fn read(text: &str, file: &str) -> Result<Config, SiteError> {
    let written: Written = config::parse_toml(text).map_err(|e| SiteError {
        file: file.to_owned(),
        line: e.at.map(|at| line(text, at)),
        key: e.key,
        why: e.why,
    })?;
    let check = Check { text, file };
    check.config(written)
}

fn line(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|&b| b == b'\n').count()
}

struct Check<'a> {
    text: &'a str,
    file: &'a str,
}

impl Check<'_> {
    fn wrong<T>(
        &self,
        span: Range<usize>,
        key: impl Into<String>,
        why: impl Into<String>,
    ) -> Result<T, SiteError> {
        let line = Some(line(self.text, span.start));
        Err(SiteError {
            file: self.file.to_owned(),
            line,
            key: key.into(),
            why: why.into(),
        })
    }

    fn whole<T>(&self, key: &str, why: impl Into<String>) -> Result<T, SiteError> {
        Err(SiteError {
            file: self.file.to_owned(),
            line: None,
            key: key.to_owned(),
            why: why.into(),
        })
    }

    fn within(
        &self,
        key: &str,
        n: &Spanned<usize>,
        least: usize,
        most: usize,
    ) -> Result<usize, SiteError> {
        match (least..=most).contains(n.get_ref()) {
            true => Ok(*n.get_ref()),
            false => self.wrong(
                n.span(),
                key,
                format!("{} is not between {least} and {most}", n.get_ref()),
            ),
        }
    }

    fn class(&self, name: &str, class: Spanned<Class>) -> Result<ClassSettings, SiteError> {
        let key = |part: &str| format!("classes.{name}{part}");
        let span = class.span();
        let class = class.into_inner();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(plain) {
            return self.wrong(
                span,
                key(""),
                "a class has a name of letters, digits, '-', '_' and '.'",
            );
        }
        let (wanted, deadline) = (
            class.wanted.get_ref().micros(),
            class.deadline.get_ref().micros(),
        );
        if !(DEADLINE_LEAST..=DEADLINE_MOST).contains(&deadline) {
            return self.wrong(
                class.deadline.span(),
                key(".deadline"),
                "a deadline is between 100 ms and 1 h",
            );
        }
        if wanted == 0 || wanted > deadline {
            let why = "the wanted time is more than nothing and no longer than the deadline";
            return self.wrong(class.wanted.span(), key(".wanted"), why);
        }
        if let Some(wait) = class
            .wait
            .as_ref()
            .filter(|w| w.get_ref().micros() > deadline)
        {
            return self.wrong(
                wait.span(),
                key(".wait"),
                "a job can't wait for longer than its deadline",
            );
        }
        let (stretch, worth) = (*class.stretch.get_ref(), *class.worth.get_ref());
        if !(0.0..=1_000.0).contains(&stretch) {
            return self.wrong(
                class.stretch.span(),
                key(".stretch"),
                "it is between 0 and 1000",
            );
        }
        if !(worth > 0.0 && worth <= 1e6) {
            return self.wrong(
                class.worth.span(),
                key(".worth"),
                "it is more than 0 and at most 1000000",
            );
        }
        Ok(ClassSettings {
            name: name.to_owned(),
            latency_objective_us: wanted,
            objective_stretch: Some(stretch),
            deadline_us: deadline,
            max_queue_time_us: Some(class.wait.map_or(deadline, |w| w.get_ref().micros())),
            priority_weight: worth,
            repeats: match class.repeat {
                Repeat::Safe => RepeatSemantics::Idempotent,
                Repeat::Never => RepeatSemantics::NonIdempotent,
            },
            deduplication_scope: None,
            allowed_zones: None,
            allowed_kinds: None,
            deduplication_window_us: 0,
        })
    }

    fn config(&self, w: Written) -> Result<Config, SiteError> {
        if w.classes.is_empty() {
            return self.whole(
                "classes",
                "a site has at least one class, such as [classes.booking-import]",
            );
        }
        if w.listen.gearman.is_some() && w.classes.len() > CLASSES_MOST {
            return self.whole(
                "classes",
                format!("with Gearman there are at most {CLASSES_MOST} of them"),
            );
        }
        let mut classes = Vec::new();
        for (name, class) in w.classes {
            classes.push(self.class(&name, class)?);
        }
        let limits = w.limits;
        let sockets = self.within("limits.sockets", &limits.sockets, 128, 1 << 20)?;
        let memory = limits.memory.get_ref().0 >> 20;
        if !(32..=1 << 20).contains(&memory) {
            return self.wrong(
                limits.memory.span(),
                "limits.memory",
                "it is 32 MiB at least, and 1 TiB at most",
            );
        }
        let max_queued = self.within("limits.waiting", &limits.waiting, 1, 10_000)?;
        let deployment = DeploymentSettings {
            instance_index: 0,
            instance_count: 1,
            zones: vec![w.zone.clone()],
            home_zone: Some(w.zone.clone()),
            kinds: vec!["worker".to_owned()],
            classes,
            discovery: Default::default(),
            service: Default::default(),
            limits: Limits {
                cancellation: true,
                connection_idle_us: 0,
                connect_timeout_us: 1_000_000,
                max_retry_after_us: 2_000_000,
                max_attempts: self.within("limits.tries", &limits.tries, 1, 100)?,
                max_queued,
                health_checks: false,
                retry_after: true,
                hedging: false,
            },
            prices: Default::default(),
            load_reports: Default::default(),
            rules: RuleSettings {
                max_poll_interval_us: 0,
                drain_grace_us: 500_000,
                slow_start_share: 1.0,
                slow_start_us: 0,
                overload_window_us: 0,
                overload_multiple: 0.0,
            },
            timer_resolution_us: 1_000,
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_meaning: Default::default(),
        };
        let endpoints = w.workers.into_iter().map(|(name, worker)| {
            ListedEndpoint::ready(name, worker.address.0.to_string(), w.zone.clone())
        });
        let bootstrap_list = ListMessage {
            index: 0,
            snapshot: true,
            endpoints: endpoints.collect(),
        };
        let mut functions = BTreeMap::new();
        for (name, f) in w.functions {
            let class = f.class.get_ref();
            let Some(n) = deployment.class(class) else {
                let known: Vec<&str> = deployment.classes.iter().map(|l| l.name.as_str()).collect();
                let why = format!("there is no class {class:?}; there is {}", known.join(", "));
                return self.wrong(f.class.span(), format!("functions.{name}.class"), why);
            };
            let slots = *f.slots.get_ref();
            if !(slots > 0.0 && slots <= 1_000.0) {
                let why = "it is more than 0 and at most 1000";
                return self.wrong(f.slots.span(), format!("functions.{name}.slots"), why);
            }
            functions.insert(
                name,
                Function {
                    class: ClassId(n),
                    slots,
                    deadline: Duration::from_micros(deployment.classes[n].deadline_us),
                },
            );
        }
        let connections = self.within("limits.connections", &limits.connections, 1, 100_000)?;
        let jobs = self.within("limits.jobs", &limits.jobs, 1, 10_000)?;
        let keep = w.keep;
        let retention = Retention {
            time: keep.time.0,
            entries: self.within("keep.answers", &keep.answers, 1, 1_000_000)?,
            running: jobs,
            bytes: usize::try_from(keep.bytes.0).unwrap_or(usize::MAX),
        };
        let mut config = Config::of_site(
            w.name,
            w.listen.http.0,
            deployment,
            bootstrap_list,
            (sockets, memory),
        )
        .or_else(|e: ConfigError| self.whole("", e.to_string()))?;
        if let Some(listen) = w.listen.gearman {
            let most = config.sockets.inbound / 2;
            if connections > most {
                let why = format!(
                    "{connections} leave none to HTTP: at most {most} with these limits.sockets and limits.memory"
                );
                return self.wrong(limits.connections.span(), "limits.connections", why);
            }
            let gearman = GearmanConfig {
                listen: listen.0,
                connections,
                jobs,
                queue: max_queued,
                warm: true,
                retention,
                functions,
            };
            config.gearman = Some(gearman.with_default_functions(&config.deployment));
        }
        Ok(config)
    }
}
