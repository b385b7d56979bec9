//! A job in progress: its updates and its response are forwarded to the client.

use super::PROGRESS_DENOMINATOR;
use super::statuses::{JobStatus, JobStatuses};
use crate::frontend::PendingResponse;
use crate::frontend::gearman::codec::Packet;
use crate::frontend::gearman::outbox::Outbox;
use bytes::Bytes;
use pumiceway_core::{AttemptUpdate, ClientResponse};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// Permits one job to be in progress. Until it is dropped, the job counts against the limit and
/// `GET_STATUS` finds its status.
pub struct JobPermit {
    job_count: Arc<AtomicUsize>,
    statuses: JobStatuses,
    handle: String,
}

impl JobPermit {
    /// Returns a permit, or `None` if the client of `own_jobs` in progress has its share of
    /// `max_jobs`: as many as there is still room for, so that one client leaves room for others.
    pub fn acquire(
        job_count: &Arc<AtomicUsize>,
        max_jobs: usize,
        own_jobs: usize,
        statuses: &JobStatuses,
        handle: &str,
    ) -> Option<JobPermit> {
        let room = max_jobs.saturating_sub(job_count.load(Ordering::Relaxed));
        if own_jobs >= room {
            return None;
        }
        job_count.fetch_add(1, Ordering::Relaxed);
        statuses.set(handle, JobStatus::default());
        Some(JobPermit {
            job_count: job_count.clone(),
            statuses: statuses.clone(),
            handle: handle.to_owned(),
        })
    }
}

impl Drop for JobPermit {
    fn drop(&mut self) {
        self.job_count.fetch_sub(1, Ordering::Relaxed);
        self.statuses.remove(&self.handle);
    }
}

/// Sends the packets of one job to its client.
pub struct JobSender {
    pub outbox: Outbox,
    pub handle: String,
    /// The client has asked for `WORK_EXCEPTION` packets.
    pub wants_exceptions: bool,
}

impl JobSender {
    /// Forwards the updates of the job, and its response at the end.
    pub async fn forward(
        self,
        permit: JobPermit,
        mut updates: mpsc::UnboundedReceiver<AttemptUpdate>,
        pending: PendingResponse,
    ) {
        let mut response = pin!(pending.response());
        loop {
            tokio::select! {
                // Updates that arrived before the response are sent before it.
                biased;
                Some(update) = updates.recv() => self.send_update(update, &permit.statuses),
                response = response.as_mut() => return self.send_response(response),
            }
        }
    }

    fn send_update(&self, update: AttemptUpdate, statuses: &JobStatuses) {
        let handle = self.handle.clone();
        match update {
            AttemptUpdate::Started => self.set_running(statuses, 0),
            AttemptUpdate::Fraction(fraction) => {
                let numerator = (fraction.clamp(0.0, 1.0) * PROGRESS_DENOMINATOR as f64) as u64;
                self.set_running(statuses, numerator);
                // A client that has much to read is told a later one.
                if !self.outbox.is_backlogged() {
                    self.outbox.send(Packet::WorkStatus {
                        handle,
                        numerator,
                        denominator: PROGRESS_DENOMINATOR,
                    });
                }
            }
            AttemptUpdate::Data(data) => self.outbox.send(Packet::WorkData { handle, data }),
            AttemptUpdate::Warning(data) => self.outbox.send(Packet::WorkWarning { handle, data }),
        }
    }

    fn set_running(&self, statuses: &JobStatuses, numerator: u64) {
        let status = JobStatus {
            is_running: true,
            numerator,
        };
        statuses.set(&self.handle, status);
    }

    /// Sends the response. Gearman has no packet for an overload response or for the reason of a
    /// failure, so a warning or an exception with a line of text precedes `WORK_FAIL`.
    pub fn send_response(&self, response: ClientResponse) {
        match response {
            ClientResponse::Served(data) => {
                let handle = self.handle.clone();
                self.outbox.send(Packet::WorkComplete { handle, data });
            }
            ClientResponse::Overloaded { retry_after } => {
                let retry_after_ms = retry_after.unwrap_or_default().as_millis();
                self.send_failure(format!("busy; retry-after-ms={retry_after_ms}"));
            }
            ClientResponse::Failed(failure) => self.send_failure(format!("failed; {failure}")),
            ClientResponse::Rejected(rejection) => {
                self.send_failure(format!("failed; {rejection}"));
            }
        }
    }

    fn send_failure(&self, reason: String) {
        let handle = self.handle.clone();
        let data = Bytes::from(reason);
        self.outbox.send(if self.wants_exceptions {
            Packet::WorkException { handle, data }
        } else {
            Packet::WorkWarning { handle, data }
        });
        let handle = self.handle.clone();
        self.outbox.send(Packet::WorkFail { handle });
    }
}
