//! Conversion of the classes of a site file.

use crate::error::{SiteError, Source};
use crate::schema::{Class, Repeat};
use pumiceway_decisions::settings::{ClassSettings, RepeatSemantics};
use std::ops::Range;
use toml::Spanned;

const MIN_DEADLINE_US: u64 = 100_000;
/// One hour: timers and the idempotency cache are sized for hours, not for days.
const MAX_DEADLINE_US: u64 = 3_600_000_000;
const MAX_STRETCH: f64 = 1_000.0;
const MAX_PRIORITY_WEIGHT: f64 = 1e6;

/// Checks a class and converts it to its settings.
pub(super) fn class_settings(
    source: &Source<'_>,
    name: String,
    class: Spanned<Class>,
) -> Result<ClassSettings, SiteError> {
    let checker = Checker {
        source,
        name: &name,
    };
    checker.check_name(class.span())?;
    let class = class.into_inner();
    checker.check_times(&class)?;
    checker.check_weights(&class)?;
    let deadline_us = class.deadline.get_ref().as_micros();
    let max_queue_time_us = class
        .max_queue_time
        .map(|max_queue_time| max_queue_time.get_ref().as_micros());
    Ok(ClassSettings {
        name,
        latency_objective_us: class.latency_objective.get_ref().as_micros(),
        objective_stretch: Some(*class.objective_stretch.get_ref()),
        deadline_us,
        max_queue_time_us: Some(max_queue_time_us.unwrap_or(deadline_us)),
        priority_weight: *class.priority_weight.get_ref(),
        repeats: match class.repeats {
            Repeat::Idempotent => RepeatSemantics::Idempotent,
            Repeat::NonIdempotent => RepeatSemantics::NonIdempotent,
        },
        deduplication_scope: None,
        allowed_zones: None,
        allowed_kinds: None,
        deduplication_window_us: 0,
    })
}

/// Checks the values of the class with this name.
struct Checker<'a> {
    source: &'a Source<'a>,
    name: &'a str,
}

impl Checker<'_> {
    fn check_name(&self, span: Range<usize>) -> Result<(), SiteError> {
        let is_allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        if !self.name.is_empty() && self.name.chars().all(is_allowed) {
            return Ok(());
        }
        let key = format!("classes.{}", self.name);
        let reason = "a class name must consist of ASCII letters, digits, '-', '_' and '.'";
        Err(self.source.error_at(span, key, reason))
    }

    fn check_times(&self, class: &Class) -> Result<(), SiteError> {
        let objective_us = class.latency_objective.get_ref().as_micros();
        let deadline_us = class.deadline.get_ref().as_micros();
        if !(MIN_DEADLINE_US..=MAX_DEADLINE_US).contains(&deadline_us) {
            let reason = "must be between 100 ms and 1 h";
            return Err(self.error(&class.deadline, "deadline", reason));
        }
        if objective_us == 0 || objective_us > deadline_us {
            let reason = "must be more than 0 and no longer than the deadline";
            return Err(self.error(&class.latency_objective, "wanted", reason));
        }
        if let Some(max_queue_time) = &class.max_queue_time
            && max_queue_time.get_ref().as_micros() > deadline_us
        {
            let reason = "must be no longer than the deadline";
            return Err(self.error(max_queue_time, "wait", reason));
        }
        Ok(())
    }

    /// The comparisons are written so that they reject NaN.
    fn check_weights(&self, class: &Class) -> Result<(), SiteError> {
        if !(0.0..=MAX_STRETCH).contains(class.objective_stretch.get_ref()) {
            return Err(self.error(
                &class.objective_stretch,
                "stretch",
                "must be between 0 and 1000",
            ));
        }
        let priority_weight = *class.priority_weight.get_ref();
        if !(priority_weight > 0.0 && priority_weight <= MAX_PRIORITY_WEIGHT) {
            let reason = "must be more than 0 and at most 1000000";
            return Err(self.error(&class.priority_weight, "worth", reason));
        }
        Ok(())
    }

    fn error<T>(&self, value: &Spanned<T>, key: &str, reason: &str) -> SiteError {
        let key = format!("classes.{}.{key}", self.name);
        self.source.error_at(value.span(), key, reason)
    }
}
