//! The client side: jobs that a connection has submitted.

use super::codec::{Packet, WORKLOAD_MOST};
use super::{GearmanFrontend, Outbox};
use bytes::Bytes;
use pumiceway_core::{AttemptUpdate, ClientRequest, ClientResponse, Job, UniqueId};
use pumiceway_decisions::settings::RepeatSemantics;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// How the jobs of all clients stand, by handle.
#[derive(Clone, Default)]
pub struct Statuses(Arc<Mutex<HashMap<String, (bool, u64)>>>);

/// A share of a job is told in these parts.
const PARTS: f64 = 1_000.0;

impl Statuses {
    fn set(&self, handle: &str, status: Option<(bool, u64)>) {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        match status {
            Some(status) => drop(all.insert(handle.to_owned(), status)),
            None => drop(all.remove(handle)),
        }
    }

    /// The answer to GET_STATUS.
    pub fn of(&self, handle: String) -> Packet {
        let all = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let status = all.get(&handle).copied();
        let (running, done) = status.unwrap_or_default();
        let of = if done > 0 { PARTS as u64 } else { 0 };
        Packet::StatusRes {
            handle,
            known: status.is_some(),
            running,
            done,
            of,
        }
    }
}

/// The jobs of one connection. Dropped with it, jobs with a unique id go on for a client that comes
/// again.
pub struct Clients<'a> {
    front: &'a GearmanFrontend,
    outbox: Outbox,
    running: JoinSet<()>,
    exceptions: bool,
    closed: bool,
}

/// One of the jobs that may run at once; and its entry among the statuses.
struct ConnectionPermit {
    jobs: Arc<AtomicUsize>,
    statuses: Statuses,
    handle: String,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.jobs.fetch_sub(1, Ordering::Relaxed);
        self.statuses.set(&self.handle, None);
    }
}

impl<'a> Clients<'a> {
    pub(super) fn new(front: &'a GearmanFrontend, outbox: Outbox) -> Clients<'a> {
        Clients {
            front,
            outbox,
            running: JoinSet::new(),
            exceptions: false,
            closed: false,
        }
    }

    /// Nothing is owed to the client.
    pub(super) fn idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Takes no further jobs.
    pub(super) fn close(&mut self) {
        self.closed = true;
    }

    /// Waits until a job has its answer.
    pub(super) async fn next_answered(&mut self) {
        if self.running.join_next().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn option(&mut self, option: String) {
        if option == "exceptions" {
            self.exceptions = true;
            self.outbox.say(Packet::OptionRes { option });
        } else {
            self.refuse("UNKNOWN_OPTION", option);
        }
    }

    fn refuse(&self, code: &'static str, text: impl Into<String>) {
        self.outbox.say(Packet::Error {
            code,
            text: text.into(),
        });
    }

    pub(super) fn submit(&mut self, background: bool, name: &str, unique: &str, workload: Bytes) {
        if self.closed {
            return self.refuse("SHUTTING_DOWN", "submit it elsewhere");
        }
        // A background job has nobody who could be told a busy answer or a failure, and a
        // dispatcher has no disk to keep it on: taking it would break the rule of one final answer.
        if background {
            return self.refuse(
                "BACKGROUND_NOT_TAKEN",
                "nobody would get the final answer; submit it in the foreground",
            );
        }
        let Some(function) = self.front.functions.0.get(name).copied() else {
            return self.refuse("UNKNOWN_FUNCTION", name);
        };
        if workload.len() > WORKLOAD_MOST {
            return self.refuse(
                "TOO_LARGE",
                format!("a workload holds at most {WORKLOAD_MOST} bytes"),
            );
        }
        let class = &self.front.settings.classes[function.class.0].name;
        let unique = Some(unique).filter(|u| !u.is_empty() && *u != "-");
        let id = format!("{:016x}", fastrand::u64(..));
        let path = format!("/{class}/{}", unique.map_or_else(|| id.clone(), path_part));
        // Prevents: a repeat of a job that next hops are to drop is done by them once more.
        let keyed = matches!(
            self.front.settings.classes[function.class.0].repeats,
            RepeatSemantics::Keyed
        );
        let idempotency_key = keyed.then(|| unique.map_or_else(|| id.clone(), path_part));
        let handle = format!("H:pumiceway:{id}");
        self.outbox.say(Packet::JobCreated {
            handle: handle.clone(),
        });
        if self.front.jobs.fetch_add(1, Ordering::Relaxed) >= self.front.limits.1 {
            self.front.jobs.fetch_sub(1, Ordering::Relaxed);
            let retry_after = Some(Duration::from_secs(1));
            return answer(
                &self.outbox,
                handle,
                ClientResponse::Overloaded { retry_after },
                self.exceptions,
            );
        }
        let statuses = self.front.statuses.clone();
        let place = ConnectionPermit {
            jobs: self.front.jobs.clone(),
            statuses: statuses.clone(),
            handle: handle.clone(),
        };
        statuses.set(&handle, Some((false, 0)));
        let transaction = ClientRequest {
            class: function.class,
            remaining: function.deadline,
            slots: function.slots,
            memory: 0.0,
            tenant: None,
            job: Arc::new(Job {
                id,
                path,
                idempotency_key,
                body: workload,
            }),
            unique_id: unique.map(|u| UniqueId(format!("{class}\0{u}"))),
        };
        let (news, mut told) = mpsc::unbounded_channel();
        let waiting = self.front.events.submit(transaction, Some(news));
        let (outbox, exceptions) = (self.outbox.clone(), self.exceptions);
        self.running.spawn(async move {
            let _place = place;
            let mut answered = std::pin::pin!(waiting.response());
            loop {
                tokio::select! {
                    biased;
                    Some(news) = told.recv() => tell(&outbox, &handle, news, &statuses),
                    done = answered.as_mut() => return answer(&outbox, handle, done, exceptions),
                }
            }
        });
    }
}

fn tell(outbox: &Outbox, handle: &str, news: AttemptUpdate, statuses: &Statuses) {
    let handle = handle.to_owned();
    match news {
        AttemptUpdate::Started => statuses.set(&handle, Some((true, 0))),
        AttemptUpdate::Fraction(share) => {
            let done = (share.clamp(0.0, 1.0) * PARTS) as u64;
            statuses.set(&handle, Some((true, done)));
            outbox.say(Packet::WorkStatus {
                handle,
                done,
                of: PARTS as u64,
            });
        }
        AttemptUpdate::Data(data) => outbox.say(Packet::WorkData { handle, data }),
        AttemptUpdate::Warning(data) => outbox.say(Packet::WorkWarning { handle, data }),
    }
}

/// The final answer. Gearman has no word for a busy answer: a line that says so goes before
/// WORK_FAIL.
fn answer(outbox: &Outbox, handle: String, answer: ClientResponse, exceptions: bool) {
    let why = match answer {
        ClientResponse::Served(data) => return outbox.say(Packet::WorkComplete { handle, data }),
        ClientResponse::Overloaded { retry_after } => {
            format!(
                "busy; retry-after-ms={}",
                retry_after.unwrap_or_default().as_millis()
            )
        }
        ClientResponse::Failed(why) => format!("failed; {why}"),
        ClientResponse::Rejected(why) => format!("failed; {why}"),
    };
    let (data, again) = (Bytes::from(why), handle.clone());
    outbox.say(match exceptions {
        true => Packet::WorkException {
            handle: again,
            data,
        },
        false => Packet::WorkWarning {
            handle: again,
            data,
        },
    });
    outbox.say(Packet::WorkFail { handle });
}

/// A unique id as part of a path.
fn path_part(unique: &str) -> String {
    let mut part = String::new();
    for byte in unique.bytes() {
        match byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            true => part.push(char::from(byte)),
            false => part.push_str(&format!("%{byte:02X}")),
        }
    }
    part
}
