//! The statuses of the jobs in progress of all clients, for `GET_STATUS`.

use super::PROGRESS_DENOMINATOR;
use crate::frontend::gearman::codec::Packet;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The status of a job in progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobStatus {
    /// An attempt of the job has started.
    pub is_running: bool,
    /// Its progress; the denominator is [`PROGRESS_DENOMINATOR`].
    pub numerator: u64,
}

/// The statuses of the jobs in progress of all clients, by handle.
#[derive(Clone, Default)]
pub struct JobStatuses(Arc<Mutex<HashMap<String, JobStatus>>>);

impl JobStatuses {
    pub fn set(&self, handle: &str, status: JobStatus) {
        self.lock().insert(handle.to_owned(), status);
    }

    pub fn remove(&self, handle: &str) {
        self.lock().remove(handle);
    }

    /// The response to `GET_STATUS`.
    pub fn response(&self, handle: String) -> Packet {
        let known = self.lock().get(&handle).copied();
        let status = known.unwrap_or_default();
        let has_progress = status.numerator > 0;
        Packet::StatusRes {
            handle,
            known: known.is_some(),
            running: status.is_running,
            numerator: status.numerator,
            denominator: if has_progress {
                PROGRESS_DENOMINATOR
            } else {
                0
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, JobStatus>> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
