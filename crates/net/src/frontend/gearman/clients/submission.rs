//! A job as a client submits it: its checks, and its conversion to a request.

use crate::config::Function;
use crate::frontend::gearman::GearmanFrontend;
use crate::frontend::gearman::codec::{MAX_WORKLOAD, Packet};
use bytes::Bytes;
use pumiceway_core::{ClientRequest, IdOrigin, Job, JobFunction};
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

/// A function that clients may call, and how its jobs are handled.
#[derive(Clone, Copy)]
pub struct KnownFunction {
    function: JobFunction,
    config: Function,
}

/// Why a job is not accepted.
pub enum SubmitError {
    Background,
    UnknownFunction(String),
    /// Endpoints would get another key than the unique id, as white space at the ends of a header is
    /// lost.
    InvalidUniqueId,
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
            SubmitError::InvalidUniqueId => (
                "INVALID_UNIQUE_ID",
                "the unique id of such a job must not begin or end with white space".to_owned(),
            ),
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
    pub fn check(&self, frontend: &GearmanFrontend) -> Result<KnownFunction, SubmitError> {
        if self.background {
            return Err(SubmitError::Background);
        }
        let function = self.find_function(frontend);
        let function =
            function.ok_or_else(|| SubmitError::UnknownFunction(self.function.clone()))?;
        if frontend.workers.catalog().is_keyed(function.function)
            && self.unique_id.trim() != self.unique_id
        {
            return Err(SubmitError::InvalidUniqueId);
        }
        if self.workload.len() > MAX_WORKLOAD {
            return Err(SubmitError::TooLarge);
        }
        Ok(function)
    }

    fn find_function(&self, frontend: &GearmanFrontend) -> Option<KnownFunction> {
        Some(KnownFunction {
            function: frontend.workers.catalog().function(&self.function)?,
            config: *frontend.functions.get(&self.function)?,
        })
    }

    /// Converts the job to a request with this id and body.
    pub fn into_request(
        self,
        id: String,
        body: Bytes,
        function: KnownFunction,
        frontend: &GearmanFrontend,
    ) -> ClientRequest {
        let unique_id =
            Some(self.unique_id).filter(|unique_id| !unique_id.is_empty() && unique_id != "-");
        let name = unique_id.as_ref().unwrap_or(&id);
        let KnownFunction { function, config } = function;
        let class_name = &frontend.settings.classes[function.class.0].name;
        let path = format!("/{class_name}/{}", percent_encode(name));
        // The key of an HTTP client and the unique id of a Gearman client are the same key.
        let is_keyed = frontend.workers.catalog().is_keyed(function);
        let idempotency_key = is_keyed.then(|| name.clone());
        ClientRequest {
            function,
            remaining: config.deadline,
            slots: config.slots,
            memory: 0.0,
            tenant: None,
            id_origin: IdOrigin::Frontend,
            job: Arc::new(Job {
                id,
                unique_id,
                path,
                idempotency_key,
                body,
            }),
        }
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
