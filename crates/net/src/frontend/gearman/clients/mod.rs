//! The client side of a connection: the jobs that were submitted on it.
//!
//! Each job is a task that ends once its response is queued for the client. Closing the connection
//! cancels these tasks; the requests of jobs with a unique id continue, so that a client that
//! submits such a job again gets its response.

mod job;
mod statuses;
mod submission;

pub use statuses::JobStatuses;
use submission::KnownFunction;
pub use submission::Submission;

use super::GearmanFrontend;
use super::codec::Packet;
use super::outbox::Outbox;
use bytes::Bytes;
use job::{JobPermit, JobSender};
use pumiceway_core::ClientResponse;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Denominator of the progress that is sent to clients, in thousandths.
const PROGRESS_DENOMINATOR: u64 = 1_000;
/// Retry-After for a job that exceeds the limit of jobs in progress, or for which there is no memory.
const TOO_MANY_JOBS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The jobs that were submitted on one connection.
pub struct ClientJobs<'a> {
    frontend: &'a GearmanFrontend,
    outbox: Outbox,
    /// The tasks of the jobs in progress.
    tasks: JoinSet<()>,
    /// The client has asked for `WORK_EXCEPTION` packets.
    wants_exceptions: bool,
    /// The response to jobs that are submitted after the connection was closed for them.
    rejection: Option<Packet>,
}

impl<'a> ClientJobs<'a> {
    pub(super) fn new(frontend: &'a GearmanFrontend, outbox: Outbox) -> ClientJobs<'a> {
        ClientJobs {
            frontend,
            outbox,
            tasks: JoinSet::new(),
            wants_exceptions: false,
            rejection: None,
        }
    }

    /// Whether every job has its response.
    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Rejects all jobs that are submitted from now on.
    pub(super) fn close(&mut self, rejection: Packet) {
        self.rejection = Some(rejection);
    }

    /// Waits until a job has its response; forever if no job is in progress.
    pub(super) async fn next_completed(&mut self) {
        if self.tasks.join_next().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// `OPTION_REQ`: sets an option of the connection.
    pub(super) fn set_option(&mut self, option: String) {
        if option == "exceptions" {
            self.wants_exceptions = true;
            self.outbox.send(Packet::OptionRes { option });
        } else {
            self.outbox.send(Packet::Error {
                code: "UNKNOWN_OPTION",
                text: option,
            });
        }
    }

    /// Accepts a job, or sends an error if it is not acceptable.
    pub(super) fn accept(&mut self, submission: Submission) -> Option<AcceptedJob> {
        if let Some(rejection) = &self.rejection {
            self.outbox.send(rejection.clone());
            return None;
        }
        match submission.check(self.frontend) {
            Ok(function) => self.create(submission, function),
            Err(error) => {
                self.outbox.send(error.into());
                None
            }
        }
    }

    fn create(&mut self, submission: Submission, function: KnownFunction) -> Option<AcceptedJob> {
        let id = format!("{:016x}", fastrand::u64(..));
        let handle = format!("H:pumiceway:{id}");
        self.outbox.send(Packet::JobCreated {
            handle: handle.clone(),
        });
        let GearmanFrontend {
            job_count,
            max_jobs,
            statuses,
            ..
        } = self.frontend;
        let permit = JobPermit::acquire(job_count, *max_jobs, self.tasks.len(), statuses, &handle);
        let sender = JobSender {
            outbox: self.outbox.clone(),
            handle,
            wants_exceptions: self.wants_exceptions,
        };
        let Some(permit) = permit else {
            sender.send_response(too_many_jobs());
            return None;
        };
        Some(AcceptedJob {
            id,
            submission,
            function,
            permit,
            sender,
        })
    }

    /// Starts a job with this copy of its workload; without one, it is shed.
    pub(super) fn start(&mut self, accepted: AcceptedJob, body: Option<Bytes>) {
        let AcceptedJob {
            id,
            submission,
            function,
            permit,
            sender,
        } = accepted;
        let Some(body) = body else {
            return sender.send_response(too_many_jobs());
        };
        let request = submission.into_request(id, body, function, self.frontend);
        let (update_sender, updates) = mpsc::unbounded_channel();
        let pending = self.frontend.events.submit(request, Some(update_sender));
        self.tasks.spawn(sender.forward(permit, updates, pending));
    }
}

/// A job that was accepted. It is not started yet: memory has to be drawn for it first.
pub(super) struct AcceptedJob {
    id: String,
    submission: Submission,
    function: KnownFunction,
    permit: JobPermit,
    sender: JobSender,
}

impl AcceptedJob {
    /// The workload, which shares the buffer that it was received into.
    pub(super) fn workload(&self) -> &[u8] {
        &self.submission.workload
    }
}

fn too_many_jobs() -> ClientResponse {
    ClientResponse::Overloaded {
        retry_after: Some(TOO_MANY_JOBS_RETRY_AFTER),
    }
}
