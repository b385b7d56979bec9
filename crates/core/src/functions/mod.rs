//! Functions: what a job is, which workers may run it, and under which name.
//!
//! A class says what a job is worth and whether it may be repeated; a function says what work it is.
//! Several functions may stand for one class, and a worker that can do one of them cannot do the
//! others. Everything that asks which worker may run a job, what the job is called there, or whether
//! two jobs are the same therefore asks here, by [`JobFunction`] and never by the class alone.
//!
//! Requests that name a class and no function are jobs of the class's *default function*: the one with
//! the name of the class, or else the only one. A class with several functions, none of them with
//! its name, has no default function; no worker is given its requests, only endpoints that serve
//! the class itself. These endpoints cannot tell the other functions of the class apart, so they get
//! jobs of the default function only. All other functions are *additional* ones.
//!
//! The decisions know none of this. They get the machine kind of an endpoint, which stands for the
//! classes whose default functions it may run, and the set of its additional functions.

mod kinds;
mod set;

pub use kinds::MAX_CLASSES;
pub use set::{Abilities, JobFunctionSet};

use kinds::WorkerKinds;
use pumiceway_decisions::api::{
    ClassId, FunctionId, FunctionSet, Idempotency, KindId, Settings, ZoneId,
};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// What a job is: its class, and which function of the class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobFunction {
    /// The class.
    pub class: ClassId,
    /// The additional function; `None` for the default function of the class.
    pub additional: Option<FunctionId>,
}

impl JobFunction {
    /// The default function of a class.
    pub fn default_of(class: ClassId) -> JobFunction {
        JobFunction {
            class,
            additional: None,
        }
    }
}

/// There are more classes than [`MAX_CLASSES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_CLASSES} classes")]
pub struct TooManyClasses;

/// What a worker may run, as the decisions get it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// The machine kind that stands for the classes whose default functions it may run.
    pub kind: KindId,
    /// The additional functions that it may run.
    pub functions: FunctionSet,
}

/// The functions of a deployment.
#[derive(Clone, Debug)]
pub struct FunctionCatalog {
    by_name: BTreeMap<String, JobFunction>,
    names: BTreeMap<JobFunction, String>,
    kinds: WorkerKinds,
    zone: ZoneId,
    /// Those of whose jobs endpoints recognise a repeat by a key.
    keyed: JobFunctionSet,
}

impl FunctionCatalog {
    /// Adds functions to the settings of a deployment: the machine kinds of their workers, and the
    /// classes of the additional ones. `class_names` are the names of the classes in the settings.
    ///
    /// # Errors
    ///
    /// There are more than [`MAX_CLASSES`] classes.
    pub fn add<'a>(
        settings: &mut Settings,
        class_names: &[&str],
        functions: impl IntoIterator<Item = (&'a str, ClassId)>,
    ) -> Result<FunctionCatalog, TooManyClasses> {
        let functions: BTreeMap<&str, ClassId> = functions.into_iter().collect();
        let kinds = WorkerKinds::add(settings).ok_or(TooManyClasses)?;
        let mut catalog = FunctionCatalog {
            by_name: BTreeMap::new(),
            names: BTreeMap::new(),
            kinds,
            zone: settings.home_zone.unwrap_or_default(),
            keyed: JobFunctionSet::default(),
        };
        for (&name, &class) in &functions {
            let only_one = functions.values().filter(|&&other| other == class).count() == 1;
            let is_default = only_one || class_names.get(class.0) == Some(&name);
            let additional = (!is_default).then(|| {
                settings.functions.push(class);
                FunctionId(settings.functions.len() - 1)
            });
            catalog.insert(name, JobFunction { class, additional }, settings);
        }
        Ok(catalog)
    }

    fn insert(&mut self, name: &str, function: JobFunction, settings: &Settings) {
        self.by_name.insert(name.to_owned(), function);
        self.names.insert(function, name.to_owned());
        let idempotency = settings.classes[function.class.0].idempotency;
        if matches!(idempotency, Idempotency::Keyed { .. }) {
            self.keyed.insert(function);
        }
    }

    /// The function with this name.
    pub fn function(&self, name: &str) -> Option<JobFunction> {
        self.by_name.get(name).copied()
    }

    /// The name under which workers know a function; `None` if a class has no default function.
    pub fn name(&self, function: JobFunction) -> Option<&str> {
        self.names.get(&function).map(String::as_str)
    }

    /// The names of the functions that a worker can do.
    pub fn names_of(&self, abilities: &Abilities) -> impl Iterator<Item = &str> {
        let functions = self.names.iter();
        functions
            .filter(|(function, _)| abilities.functions.contains(**function))
            .map(|(_, name)| name.as_str())
    }

    /// The classes with several functions and no default function, with the names of these functions.
    pub fn classes_without_default(&self) -> BTreeMap<ClassId, Vec<&str>> {
        let mut classes: BTreeMap<ClassId, Vec<&str>> = BTreeMap::new();
        for (function, name) in &self.names {
            if self.name(JobFunction::default_of(function.class)).is_none() {
                classes.entry(function.class).or_default().push(name);
            }
        }
        classes
    }

    /// Whether endpoints recognise a repeat of the function's jobs by their idempotency keys.
    pub fn is_keyed(&self, function: JobFunction) -> bool {
        self.keyed.contains(function)
    }

    /// The functions that a worker can do, without those whose jobs have keys if it is not told the
    /// keys: it would run a repeat again.
    fn runnable<'a>(&self, abilities: &'a Abilities) -> Cow<'a, JobFunctionSet> {
        if abilities.takes_unique_ids {
            Cow::Borrowed(&abilities.functions)
        } else {
            Cow::Owned(abilities.functions.difference(&self.keyed))
        }
    }

    /// Whether a worker may run jobs of a function.
    pub fn may_run(&self, abilities: &Abilities, function: JobFunction) -> bool {
        self.runnable(abilities).contains(function)
    }

    /// How a worker is listed for the decisions, so that they select it for the jobs that it
    /// [may run](FunctionCatalog::may_run); `None` if there are none.
    pub fn listing(&self, abilities: &Abilities) -> Option<WorkerListing> {
        let runnable = self.runnable(abilities);
        (!runnable.is_empty()).then(|| WorkerListing {
            kind: self.kinds.kind_of_set(runnable.default_classes),
            functions: runnable.additional.clone(),
        })
    }

    /// The kind of a worker that may run nothing, whose endpoint is gone.
    pub fn kind_of_none(&self) -> KindId {
        self.kinds.first()
    }

    /// The zone of all workers.
    pub fn worker_zone(&self) -> ZoneId {
        self.zone
    }
}
