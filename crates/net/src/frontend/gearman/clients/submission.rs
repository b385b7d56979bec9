//! A job that a client submits: its checks, and its conversion to a request.

use crate::config::Function;
use crate::frontend::gearman::GearmanFrontend;
use crate::frontend::gearman::codec::{MAX_WORKLOAD, Packet};
use bytes::Bytes;
use pumiceway_core::{ClientRequest, Job, UniqueId};
use pumiceway_decisions::settings::RepeatSemantics;
use std::fmt::Write;
use std::sync::Arc;

/// A job as a client submits it.
pub struct Submission {
    pub background: bool,
    pub function: String,
    /// Its unique id; empty or `-` if it has none.
    pub unique: String,
    pub workload: Bytes,
}

/// A job is not accepted.
pub enum SubmitError {
    ShuttingDown,
    Background,
    UnknownFunction(String),
    TooLarge,
}

impl From<SubmitError> for Packet {
    fn from(error: SubmitError) -> Packet {
        let (code, text) = match error {
            SubmitError::ShuttingDown => ("SHUTTING_DOWN", "submit it elsewhere".to_owned()),
            SubmitError::Background => (
                "BACKGROUND_NOT_TAKEN",
                "nobody would get the final answer; submit it in the foreground".to_owned(),
            ),
            SubmitError::UnknownFunction(name) => ("UNKNOWN_FUNCTION", name),
            SubmitError::TooLarge => (
                "TOO_LARGE",
                format!("a workload holds at most {MAX_WORKLOAD} bytes"),
            ),
        };
        Packet::Error { code, text }
    }
}

impl Submission {
    /// Checks the job; returns its function.
    ///
    /// Background jobs are refused: nobody would get an overload response or a failure, and a
    /// dispatcher has no disk to queue them on, so the rule of one final response would be broken.
    pub fn check(&self, frontend: &GearmanFrontend) -> Result<Function, SubmitError> {
        if self.background {
            return Err(SubmitError::Background);
        }
        let Some(function) = frontend.functions.get(&self.function) else {
            return Err(SubmitError::UnknownFunction(self.function.clone()));
        };
        if self.workload.len() > MAX_WORKLOAD {
            return Err(SubmitError::TooLarge);
        }
        Ok(function)
    }

    /// The request of this job, with a job id that is new.
    pub fn into_request(
        self,
        id: String,
        function: Function,
        frontend: &GearmanFrontend,
    ) -> ClientRequest {
        let class = &frontend.settings.classes[function.class.0];
        let unique = Some(self.unique).filter(|unique| !unique.is_empty() && unique != "-");
        let key = unique.as_deref().map_or_else(|| id.clone(), percent_encode);
        // Endpoints recognise a repeat by its idempotency key.
        let idempotency_key = matches!(class.repeats, RepeatSemantics::Keyed).then(|| key.clone());
        ClientRequest {
            class: function.class,
            remaining: function.deadline,
            slots: function.slots,
            memory: 0.0,
            tenant: None,
            job: Arc::new(Job {
                path: format!("/{}/{key}", class.name),
                id,
                idempotency_key,
                body: self.workload,
            }),
            unique_id: unique.map(|unique| UniqueId(format!("{}\0{unique}", class.name))),
        }
    }
}

/// A unique id as a segment of a path.
fn percent_encode(unique: &str) -> String {
    let mut segment = String::new();
    for byte in unique.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            let _ = write!(segment, "%{byte:02X}");
        }
    }
    segment
}
