//! Gearman workers and clients of a dispatcher: workers that leave, fall silent or fail in the middle
//! of a job, and clients that wait, come again or do not read.

use super::clients::{Connection, Pace, RequestEnd, SentRequest};
use super::endpoints::{Arrival, GEARMAN_WORKER};
use super::functions::class_of;
use super::identities::KEYED_CLASS;
use super::jobs::{self, Cost};
use super::{Dispatcher, TestFleet};
use crate::Peer;
use std::time::{Duration, Instant};

/// The functions that stand for whole classes, whose names they have.
pub(super) const DEFAULT_FUNCTIONS: [&str; 3] = ["rate-push", "booking-import", KEYED_CLASS];
/// The pause of a peer before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// How long a client that leaves stays, and the longest time that it is away.
const STAY: Duration = Duration::from_millis(15);
const MAX_AWAY_MS: u64 = 1_500;
/// How many times such a client comes again.
const RETURNS: usize = 2;
/// How many large jobs a client submits that does not read.
const UNREAD_JOBS: usize = 40;

/// What a worker does with a job that it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerConduct {
    /// It completes the job.
    Completes,
    /// It sends the result in parts.
    SendsParts,
    /// It fails the job, with an exception.
    Fails,
    /// It drops its connection once the job has run.
    Drops,
    /// It falls silent once the job has run, and stays.
    FallsSilent,
}

impl WorkerConduct {
    /// Every conduct.
    pub const ALL: &[WorkerConduct] = &[
        WorkerConduct::Completes,
        WorkerConduct::SendsParts,
        WorkerConduct::Fails,
        WorkerConduct::Drops,
        WorkerConduct::FallsSilent,
    ];
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientConduct {
    /// It waits for each response.
    Waits,
    /// It leaves while its job runs, and submits it again.
    ComesAgain,
    /// It submits jobs with large results and reads nothing.
    DoesNotRead,
}

impl ClientConduct {
    /// Every conduct.
    pub const ALL: &[ClientConduct] = &[
        ClientConduct::Waits,
        ClientConduct::ComesAgain,
        ClientConduct::DoesNotRead,
    ];
}

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerOptions {
    /// What it does with a job.
    pub conduct: WorkerConduct,
    /// It asks for unique ids.
    pub takes_unique_ids: bool,
    /// The functions that it can do; `None` for those that stand for whole classes.
    pub functions: Option<&'static [&'static str]>,
}

/// Runs a worker until this time.
pub(super) fn run_worker(
    fleet: &TestFleet,
    dispatcher: &Dispatcher,
    options: WorkerOptions,
    until: Instant,
) {
    while Instant::now() < until {
        if let Some(peer) = dispatcher.connect_gearman() {
            let mut worker = Worker {
                fleet,
                peer,
                options,
                until,
            };
            // Ends with its session.
            let _ = worker.run();
        }
        std::thread::sleep(RECONNECT_PAUSE);
    }
}

struct Worker<'a> {
    fleet: &'a TestFleet,
    peer: Peer,
    options: WorkerOptions,
    until: Instant,
}

impl Worker<'_> {
    fn run(&mut self) -> Result<(), String> {
        for function in self.options.functions.unwrap_or(&DEFAULT_FUNCTIONS) {
            self.peer.send(&format!("[CAN_DO {function}]"));
        }
        let grab = if self.options.takes_unique_ids {
            "[GRAB_JOB_UNIQ]"
        } else {
            "[GRAB_JOB]"
        };
        self.peer.send(grab);
        while Instant::now() < self.until {
            match self.peer.read_packet()? {
                (name, arguments) if name.starts_with("JOB_ASSIGN") => {
                    if !self.run_job(&arguments) {
                        return Ok(());
                    }
                    self.peer.send(grab);
                }
                (name, _) if name == "NO_JOB" => self.peer.send("[PRE_SLEEP]"),
                _ => self.peer.send(grab),
            }
        }
        Ok(())
    }

    /// Runs a job. Returns whether the session goes on.
    fn run_job(&mut self, arguments: &[String]) -> bool {
        let (handle, function) = (&arguments[0], &arguments[1]);
        let unique_id = self.options.takes_unique_ids.then(|| arguments[2].clone());
        let body = arguments.last().unwrap();
        self.fleet.endpoints.record(Arrival {
            at: Instant::now(),
            endpoint: GEARMAN_WORKER,
            id: unique_id.clone().unwrap_or_default(),
            class: function.clone(),
            key: unique_id.filter(|_| class_of(function) == KEYED_CLASS),
            job: jobs::name(body).to_owned(),
            remaining: None,
        });
        let result = jobs::run(body);
        match self.options.conduct {
            WorkerConduct::Completes => self.peer.send(&format!("[WORK_COMPLETE {handle}|{result}]")),
            WorkerConduct::SendsParts => self.peer.send(&format!(
                "[WORK_STATUS {handle}|1|2] && [WORK_DATA {handle}|{result}] && [WORK_WARNING {handle}|w] && [WORK_COMPLETE {handle}|{result}]"
            )),
            WorkerConduct::Fails => self.peer.send(&format!(
                "[WORK_EXCEPTION {handle}|{result}] && [WORK_FAIL {handle}]"
            )),
            WorkerConduct::Drops => return false,
            WorkerConduct::FallsSilent => {
                std::thread::sleep(self.until.saturating_duration_since(Instant::now()));
                return false;
            }
        }
        true
    }
}

/// Runs a client until this time.
pub(super) fn run_client(
    fleet: &TestFleet,
    dispatcher: &Dispatcher,
    conduct: ClientConduct,
    cost: Cost,
    until: Instant,
) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let function = DEFAULT_FUNCTIONS[number % DEFAULT_FUNCTIONS.len()];
        let name = fleet.unique_name("gearman");
        let body = jobs::body(&name, cost);
        match conduct {
            ClientConduct::Waits => {
                let unique_id = if number % 2 == 0 { "-" } else { &name };
                // Without a unique id, a job of the keyed class has a key that its name does not tell.
                let function = if unique_id == "-" {
                    "booking-import"
                } else {
                    function
                };
                submit_once(fleet, dispatcher, function, unique_id, &body);
            }
            ClientConduct::ComesAgain => come_again(fleet, dispatcher, function, &name, &body),
            ClientConduct::DoesNotRead => submit_unread(dispatcher, &name, until),
        }
    }
}

/// Submits a job, leaves while it runs and submits it again, several times; waits for its end at last.
fn come_again(fleet: &TestFleet, dispatcher: &Dispatcher, function: &str, name: &str, body: &str) {
    let address = dispatcher.gearman();
    // A new process does not know what its predecessor has run.
    let is_same_process = || dispatcher.gearman() == address;
    for _ in 0..RETURNS {
        let Some(mut peer) = dispatcher.connect_gearman().filter(|_| is_same_process()) else {
            return std::thread::sleep(RECONNECT_PAUSE);
        };
        peer.send(&format!("[SUBMIT_JOB {function}|{name}|{body}]"));
        std::thread::sleep(STAY);
        drop(peer);
        let away = fastrand::u64(..MAX_AWAY_MS);
        std::thread::sleep(Duration::from_millis(away));
    }
    if is_same_process() {
        submit_once(fleet, dispatcher, function, name, body);
    }
}

/// Submits jobs with large results, and stays without reading any.
fn submit_unread(dispatcher: &Dispatcher, name: &str, until: Instant) {
    let Some(mut peer) = dispatcher.connect_gearman() else {
        return std::thread::sleep(RECONNECT_PAUSE);
    };
    let job = |number| {
        let body = jobs::body(&format!("{name}-{number}"), Cost::Large);
        format!("[SUBMIT_JOB rate-push||{body}]")
    };
    let jobs: Vec<String> = (0..UNREAD_JOBS).map(job).collect();
    peer.send(&jobs.join(" && "));
    while Instant::now() < until && !peer.has_failed() {
        std::thread::sleep(RECONNECT_PAUSE);
    }
}

/// Submits a job on a new connection, and waits for its end.
pub(super) fn submit_once(
    fleet: &TestFleet,
    dispatcher: &Dispatcher,
    function: &str,
    unique_id: &str,
    body: &str,
) {
    match submit(dispatcher, function, unique_id, body) {
        Some(submitted) => fleet.record_sent(submitted.wait(fleet, class_of(function)).0),
        None => std::thread::sleep(RECONNECT_PAUSE),
    }
}

/// A job whose client waits for its end.
pub(super) struct Submitted {
    dispatcher: usize,
    job: String,
    at: Instant,
    peer: Peer,
}

/// Submits a job on a new connection.
pub(super) fn submit(
    dispatcher: &Dispatcher,
    function: &str,
    unique_id: &str,
    body: &str,
) -> Option<Submitted> {
    let mut peer = dispatcher.connect_gearman()?;
    let at = Instant::now();
    peer.send(&format!("[SUBMIT_JOB {function}|{unique_id}|{body}]"));
    Some(Submitted {
        dispatcher: dispatcher.number,
        job: jobs::name(body).to_owned(),
        at,
        peer,
    })
}

impl Submitted {
    /// Waits for the end of the job, which is of this class. Returns it, with the result or an empty text.
    pub(super) fn wait(mut self, fleet: &TestFleet, class: &str) -> (SentRequest, String) {
        let mut result = String::new();
        let end = loop {
            match self.peer.read_packet() {
                Err(_) => break RequestEnd::NoResponse,
                Ok((name, arguments))
                    if ["WORK_COMPLETE", "WORK_FAIL", "ERROR"].contains(&name.as_str()) =>
                {
                    result = arguments.last().cloned().unwrap_or_default();
                    break RequestEnd::Response(name);
                }
                Ok(_) => {}
            }
        };
        let request = SentRequest {
            dispatcher: self.dispatcher,
            id: format!("gearman {}", self.job),
            // Its runs are counted by its name.
            is_non_idempotent: false,
            connection: Connection::New,
            pace: Pace::AtOnce,
            begun_at: self.at,
            at: self.at,
            remaining: fleet.conditions.deadline(class),
            ended_at: Instant::now(),
            end,
        };
        (request, result)
    }
}
