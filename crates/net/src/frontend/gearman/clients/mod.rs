//! The client side of a connection: the jobs that it has submitted.
//!
//! Each job is a task that ends with its response. When the connection is closed, the jobs with a
//! unique id go on, for a client that submits them again.

mod job;
mod statuses;
mod submission;

pub use statuses::JobStatuses;
pub use submission::Submission;

use super::GearmanFrontend;
use super::codec::Packet;
use super::outbox::Outbox;
use crate::config::Function;
use job::{JobPermit, JobSender};
use pumiceway_core::ClientResponse;
use std::time::Duration;
use submission::SubmitError;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The denominator of the progress of a job.
const FRACTION_DENOMINATOR: u64 = 1_000;
/// The back-off of a client while too many jobs are in progress.
const TOO_MANY_JOBS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The jobs of one connection.
pub struct Clients<'a> {
    frontend: &'a GearmanFrontend,
    outbox: Outbox,
    jobs: JoinSet<()>,
    /// The client has asked for `WORK_EXCEPTION` packets.
    exceptions: bool,
    is_closed: bool,
}

impl<'a> Clients<'a> {
    pub(super) fn new(frontend: &'a GearmanFrontend, outbox: Outbox) -> Clients<'a> {
        Clients {
            frontend,
            outbox,
            jobs: JoinSet::new(),
            exceptions: false,
            is_closed: false,
        }
    }

    /// Whether every job has its response.
    pub(super) fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Accepts no further jobs.
    pub(super) fn close(&mut self) {
        self.is_closed = true;
    }

    /// Waits until a job has its response.
    pub(super) async fn next_completed(&mut self) {
        if self.jobs.join_next().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn set_option(&mut self, option: String) {
        if option == "exceptions" {
            self.exceptions = true;
            self.outbox.send(Packet::OptionRes { option });
        } else {
            self.outbox.send(Packet::Error {
                code: "UNKNOWN_OPTION",
                text: option,
            });
        }
    }

    pub(super) fn submit(&mut self, submission: Submission) {
        let function = if self.is_closed {
            Err(SubmitError::ShuttingDown)
        } else {
            submission.check(self.frontend)
        };
        match function {
            Ok(function) => self.start(submission, function),
            Err(error) => self.outbox.send(error.into()),
        }
    }

    fn start(&mut self, submission: Submission, function: Function) {
        let id = format!("{:016x}", fastrand::u64(..));
        let handle = format!("H:pumiceway:{id}");
        self.outbox.send(Packet::JobCreated {
            handle: handle.clone(),
        });
        let GearmanFrontend {
            jobs,
            max_jobs,
            statuses,
            events,
            ..
        } = self.frontend;
        let permit = JobPermit::acquire(jobs, *max_jobs, statuses, &handle);
        let sender = JobSender {
            outbox: self.outbox.clone(),
            handle,
            exceptions: self.exceptions,
        };
        let Some(permit) = permit else {
            return sender.send_response(ClientResponse::Overloaded {
                retry_after: Some(TOO_MANY_JOBS_RETRY_AFTER),
            });
        };
        let request = submission.into_request(id, function, self.frontend);
        let (update_sender, updates) = mpsc::unbounded_channel();
        let pending = events.submit(request, Some(update_sender));
        self.jobs.spawn(sender.forward(permit, updates, pending));
    }
}
