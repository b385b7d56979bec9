//! A job as a client submits it: its checks, and its conversion to a request.

use crate::config::Function;
use crate::frontend::gearman::GearmanFrontend;
use crate::frontend::gearman::codec::{MAX_WORKLOAD, Packet};
use crate::frontend::gearman::payload::copy_workload;
use bytes::Bytes;
use pumiceway_core::{ClientRequest, Job, UniqueId};
use pumiceway_decisions::settings::RepeatSemantics;
use std::fmt::Write;
use std::sync::Arc;

/// A job that a client submits with a `SUBMIT_JOB` packet.
pub struct Submission {
    pub background: bool,
    pub function: String,
    /// Its unique id; empty or `-` if it has none.
    pub unique_id: String,
    pub workload: Bytes,
}

/// Why a job is not accepted.
pub enum SubmitError {
    Background,
    UnknownFunction(String),
    TooLarge,
}

impl From<SubmitError> for Packet {
    fn from(error: SubmitError) -> Packet {
        let (code, text) = match error {
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
    /// Checks whether the job is accepted; returns its function.
    ///
    /// Background jobs are rejected: every job must get one final response, but no client would
    /// receive an overload response or a failure, and the dispatcher has no disk to queue the job
    /// on.
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

    /// Converts the job to a request; `id` is a new id for it. Returns `None` if there is no memory
    /// for it.
    pub fn into_request(
        self,
        id: String,
        function: Function,
        frontend: &GearmanFrontend,
    ) -> Option<ClientRequest> {
        let body = copy_workload(&frontend.memory, &self.workload)?;
        let class = &frontend.settings.classes[function.class.0];
        let unique_id =
            Some(self.unique_id).filter(|unique_id| !unique_id.is_empty() && unique_id != "-");
        let key = unique_id
            .as_deref()
            .map_or_else(|| id.clone(), percent_encode);
        // Endpoints of such a class detect a repeated job by its idempotency key.
        let idempotency_key = matches!(class.repeats, RepeatSemantics::Keyed).then(|| key.clone());
        Some(ClientRequest {
            class: function.class,
            remaining: function.deadline,
            slots: function.slots,
            memory: 0.0,
            tenant: None,
            job: Arc::new(Job {
                path: format!("/{}/{key}", class.name),
                id,
                idempotency_key,
                body,
            }),
            // Unique ids are distinct per class. The zero byte cannot occur in a unique id.
            unique_id: unique_id.map(|unique_id| UniqueId(format!("{}\0{unique_id}", class.name))),
        })
    }
}

/// Encodes a unique id as a segment of a path.
fn percent_encode(unique_id: &str) -> String {
    let mut segment = String::new();
    for byte in unique_id.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            let _ = write!(segment, "%{byte:02X}");
        }
    }
    segment
}
