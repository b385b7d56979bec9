//! The statuses of the jobs of all clients, for `GET_STATUS`.

use super::FRACTION_DENOMINATOR;
use crate::frontend::gearman::codec::Packet;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The status of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobStatus {
    /// A worker has started it.
    pub is_running: bool,
    /// Its progress, of [`FRACTION_DENOMINATOR`].
    pub numerator: u64,
}

/// The statuses of the jobs of all clients, by handle.
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
                FRACTION_DENOMINATOR
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
