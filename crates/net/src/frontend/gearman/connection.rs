//! One connection: reads and handles its packets and admin commands.
//!
//! A packet of which any byte was read is answered, and a job that was read gets its response,
//! whatever ends the connection: a client cannot tell a packet that was read from one that crossed
//! the close. Therefore a connection ends in two steps, unless its peer is gone. First its input
//! ends: the packets that were read are handled, an incomplete one gets an ERROR packet, and what
//! follows is discarded. The connection is closed once the jobs of its client have their responses.
//!
//! The input ends when:
//!
//! - the peer does not complete its first packet, or a later one that it has begun, in time;
//! - the peer sends malformed input;
//! - memory is short, and an incomplete packet of the peer has held the most for the longest time;
//! - too many connections are open, and it is evicted before its first packet is complete;
//! - the dispatcher shuts down and a packet is still incomplete when late requests must have their
//!   responses.
//!
//! The connection is closed at once when:
//!
//! - the peer closes it;
//! - the peer does not read, for too long or while memory is short;
//! - the dispatcher shuts down and nothing that was read is left to answer.
//!
//! Packets are handled in turns: after a few of them, the connection waits until the event loop has
//! handled what they have caused. A peer that sends without pause can thus neither fill the queue of
//! the event loop nor hold up others. While much is queued for the peer, no more of its packets are
//! handled. A packet whose data needs memory waits for it, and its connection with it.

use super::clients::{ClientJobs, Submission};
use super::codec::{MAX_WORKLOAD, Packet, Received};
use super::input::Input;
use super::input_end::InputEnd;
use super::outbox::Outbox;
use super::payload::{copy_outbound, copy_result, copy_workload};
use super::turn::Turn;
use super::workers::progress_update;
use super::{GearmanFrontend, admin};
use crate::frontend::admission::{self, ClientConnection};
use crate::frontend::{CloseSignal, wait_for_close};
use bytes::{Bytes, BytesMut};
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::Timestamp;
use pumiceway_memory::{Holder, MemoryAccount, Revoked};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep_until};
use tracing::{info, warn};

/// Interval of the checks for an incomplete packet.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// TCP keep-alive: idle time until the first probe, interval of the probes, and their number. The
/// probes detect a worker whose machine has failed: it sends nothing more, and its session would
/// remain an endpoint.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 3;

/// [`GearmanFrontend::serve`] does not return while a clone of this sender exists.
pub(super) type ShutdownGuard = mpsc::Sender<()>;

/// A connection that was accepted, and what is needed to serve it.
pub(super) struct AcceptedConnection {
    /// Number of the connection, and of its worker session if the peer registers functions.
    pub session_id: u64,
    pub opened_at: Timestamp,
    pub stream: TcpStream,
    pub peer: String,
    pub closing: CloseSignal,
    pub shutdown_guard: ShutdownGuard,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(
    frontend: &GearmanFrontend,
    accepted: AcceptedConnection,
    client_connection: &ClientConnection,
) {
    let _ = accepted.stream.set_nodelay(true);
    set_keepalive(&accepted.stream);
    let (read_half, write_half) = accepted.stream.into_split();
    let account = |holder| -> MemoryAccount {
        let now = std::time::Instant::now();
        frontend.memory.open(holder, now)
    };
    let (outbox, queue) = Outbox::new(&accepted.peer, account(Holder::Outbox));
    let writer = tokio::spawn(queue.write(write_half));
    let deadline = client_connection.phase_deadline();
    let mut connection = Connection {
        frontend,
        session_id: accepted.session_id,
        opened_at: accepted.opened_at,
        input: Input::new(read_half, account(Holder::Request), deadline),
        turn: Turn::default(),
        client_jobs: ClientJobs::new(frontend, outbox.clone()),
        outbox,
        shutdown: None,
        shutdown_guard: Some(accepted.shutdown_guard),
    };
    connection.run(accepted.closing, client_connection).await;
    frontend.workers.connection_closed(accepted.session_id);
    let Connection {
        input,
        client_jobs,
        outbox,
        shutdown_guard,
        ..
    } = connection;
    // This ends the queue. The writer writes what is queued before the connection is closed.
    drop((client_jobs, outbox));
    let _ = writer.await;
    admission::close(input.stream(), client_connection, None).await;
    drop(shutdown_guard);
}

/// Closes a connection for which there is no capacity, after an ERROR packet.
pub(super) async fn reject(stream: &TcpStream, client_connection: &ClientConnection) {
    let mut error = BytesMut::new();
    Packet::from(&InputEnd::TooManyConnections).encode(&mut error);
    // A new socket has space for so few bytes; a failed write means that the peer is gone.
    let _ = socket2::SockRef::from(stream).send(&error);
    admission::close(stream, client_connection, None).await;
}

fn set_keepalive(stream: &TcpStream) {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

struct Connection<'a> {
    frontend: &'a GearmanFrontend,
    session_id: u64,
    opened_at: Timestamp,
    input: Input,
    /// What was handled in the current turn.
    turn: Turn,
    client_jobs: ClientJobs<'a>,
    outbox: Outbox,
    /// The shutdown of the dispatcher, once it has begun.
    shutdown: Option<ShutdownPhase>,
    shutdown_guard: Option<ShutdownGuard>,
}

/// How far the shutdown of the dispatcher has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// Packets that have begun are received until this time.
    Receiving { until: Instant },
    /// Incomplete packets are given up.
    Ended,
}

impl Connection<'_> {
    /// Handles input and events until the connection is to be closed.
    async fn run(&mut self, mut closing: CloseSignal, client_connection: &ClientConnection) {
        let mut stall_check = interval(STALL_CHECK_INTERVAL);
        loop {
            if self.shutdown == Some(ShutdownPhase::Ended) && self.input.has_partial_packet() {
                self.end_input(InputEnd::ShuttingDown).await;
            }
            if self.is_finished() {
                return;
            }
            tokio::select! {
                received = self.input.next(), if self.handles_input() => {
                    client_connection.request_received();
                    match received {
                        None => return,
                        Some(Ok(received)) => self.handle_in_turn(received).await,
                        Some(Err(end)) => self.end_input(end).await,
                    }
                }
                () = self.outbox.drained() => self.input.restart_packet_deadline(),
                () = self.client_jobs.next_completed() => {}
                () = client_connection.eviction_requested(), if self.input.is_open() => {
                    self.end_input(InputEnd::TooManyConnections).await;
                }
                _ = stall_check.tick() => {
                    if self.handles_input() && self.input.is_packet_overdue() {
                        self.end_input(InputEnd::PacketTimeout).await;
                    }
                }
                end = self.outbox.ended() => {
                    warn!(
                        frontend = "gearman",
                        peer = self.outbox.peer(),
                        reason = %end,
                        "nothing more can be sent to the peer; closing its connection"
                    );
                    return;
                }
                respond_by = wait_for_close(&mut closing), if self.shutdown.is_none() => {
                    self.shut_down(respond_by);
                }
                () = receiving_ends(self.shutdown) => {
                    self.shutdown = Some(ShutdownPhase::Ended);
                }
            }
        }
    }

    /// Whether packets of the peer are handled, or its input is only discarded. If much is queued for
    /// the peer, it has to read first.
    fn handles_input(&self) -> bool {
        !self.input.is_open() || !self.outbox.is_backlogged()
    }

    /// Starts the shutdown: jobs are rejected from now on, and packets that have begun are received
    /// until `until`.
    fn shut_down(&mut self, until: Instant) {
        self.shutdown = Some(ShutdownPhase::Receiving { until });
        self.client_jobs
            .close(Packet::from(&InputEnd::ShuttingDown));
        if !self.input.read_unreported() && self.input.is_new() {
            self.outbox.send(Packet::from(&InputEnd::ShuttingDown));
        }
    }

    /// Whether nothing keeps the connection open: the input has ended or the dispatcher shuts down,
    /// and all that was read is answered.
    fn is_finished(&mut self) -> bool {
        if !self.client_jobs.is_idle() {
            return false;
        }
        if !self.input.is_open() {
            return true;
        }
        if self.shutdown.is_none() || self.input.has_partial_packet() {
            return false;
        }
        // A worker stays connected because requests in progress may need it, but the shutdown does
        // not wait for it.
        let is_worker = self.frontend.workers.contains(self.session_id);
        if is_worker {
            self.shutdown_guard = None;
        }
        !is_worker && !self.input.read_unreported()
    }

    /// Handles the packets that were read, tells the peer why no more are handled, and discards
    /// what follows. A worker leaves the endpoint set.
    async fn end_input(&mut self, end: InputEnd) {
        info!(
            frontend = "gearman",
            peer = self.outbox.peer(),
            reason = %end,
            "no more packets of the peer are handled; closing its connection"
        );
        self.client_jobs.close(Packet::from(&end));
        let is_malformed = matches!(end, InputEnd::Malformed(_));
        let is_new = !self.input.read_unreported() && self.input.is_new();
        if !is_malformed {
            while let Some(Ok(received)) = self.input.next_received() {
                self.handle_received(received).await;
            }
        }
        let is_told = is_new && end.is_told_to_new_peers();
        if is_malformed || is_told || self.input.has_partial_packet() {
            self.outbox.send(Packet::from(&end));
        }
        self.input.close();
        self.frontend.workers.connection_closed(self.session_id);
    }

    fn send_error(&self, code: &'static str, text: impl Into<String>) {
        let text = text.into();
        self.outbox.send(Packet::Error { code, text });
    }

    /// Handles a packet or command. At the end of a turn, waits until the event loop has handled what
    /// the turn has caused.
    async fn handle_in_turn(&mut self, received: Received) {
        self.turn.count(&received);
        self.handle_received(received).await;
        if self.turn.end_if_over() {
            self.frontend.events.caught_up().await;
        }
    }

    async fn handle_received(&mut self, received: Received) {
        match received {
            Received::AdminCommand(line) => {
                let response = admin::respond(self.frontend, &line).await;
                match copy_outbound(&self.frontend.memory, response.as_bytes()).await {
                    Ok(response) => self.outbox.send_text(response),
                    Err(Revoked) => self.outbox.send_text(admin::MEMORY_SHORT),
                }
            }
            Received::Packet(packet) => self.handle_packet(packet).await,
        }
    }

    async fn handle_packet(&mut self, packet: Packet) {
        let session_id = self.session_id;
        let workers = &self.frontend.workers;
        match packet {
            Packet::CanDo { function } => self.can_do(function),
            Packet::CantDo { function } => workers.cant_do(session_id, &function),
            Packet::ResetAbilities => workers.reset_abilities(session_id),
            Packet::PreSleep => workers.pre_sleep(session_id),
            Packet::GrabJob { with_unique } => {
                self.outbox.send(workers.grab_job(session_id, with_unique));
            }
            Packet::WorkStatus {
                handle,
                numerator,
                denominator,
            } => self.job_updated(&handle, progress_update(numerator, denominator)),
            Packet::WorkData { handle, data } => {
                self.job_sent(&handle, &data, AttemptUpdate::Data).await;
            }
            // WORK_EXCEPTION does not end the job; the WORK_FAIL that follows it does.
            Packet::WorkWarning { handle, data } | Packet::WorkException { handle, data } => {
                self.job_sent(&handle, &data, AttemptUpdate::Warning).await;
            }
            Packet::WorkComplete { handle, data } if data.len() > MAX_WORKLOAD => {
                self.send_error("TOO_LARGE", "the result is too large");
                self.job_ended(&handle, AttemptOutcome::Error);
            }
            Packet::WorkComplete { handle, data } => {
                let result = copy_result(&self.frontend.memory, &data);
                self.job_ended(&handle, AttemptOutcome::Served(result));
            }
            Packet::WorkFail { handle } => self.job_ended(&handle, AttemptOutcome::Error),
            Packet::SetClientId { id } => workers.set_client_id(session_id, id),
            Packet::SubmitJob {
                background,
                function,
                unique_id,
                workload,
            } => {
                let submission = Submission {
                    background,
                    function,
                    unique_id,
                    workload,
                };
                self.submit(submission).await;
            }
            Packet::GetStatus { handle } => {
                self.outbox.send(self.frontend.statuses.response(handle));
            }
            Packet::EchoReq { data } => match copy_outbound(&self.frontend.memory, &data).await {
                Ok(data) => self.outbox.send(Packet::EchoRes { data }),
                Err(Revoked) => self.outbox.send(Packet::from(&InputEnd::MemoryShort)),
            },
            Packet::OptionReq { option } => self.client_jobs.set_option(option),
            // ALL_YOURS has no effect here, and the codec decodes no packet that only the
            // dispatcher sends.
            _ => {}
        }
    }

    fn can_do(&self, name: String) {
        let workers = &self.frontend.workers;
        match workers.catalog().function(&name) {
            Some(function) => {
                workers.can_do(self.session_id, self.opened_at, &self.outbox, function);
            }
            None => self.send_error("UNKNOWN_FUNCTION", name),
        }
    }

    /// Starts a job, unless its client has left by the time that there is memory for it.
    async fn submit(&mut self, submission: Submission) {
        let Some(accepted) = self.client_jobs.accept(submission) else {
            return;
        };
        let body = copy_workload(&self.frontend.memory, accepted.workload()).await;
        if !admission::is_read_closed(self.input.stream()) {
            self.client_jobs.start(accepted, body.ok());
        }
    }

    /// Forwards data of a job. Without memory for it the job fails, as its result would lack a part.
    async fn job_sent(&self, handle: &str, data: &[u8], update: fn(Bytes) -> AttemptUpdate) {
        match copy_outbound(&self.frontend.memory, data).await {
            Ok(data) => self.job_updated(handle, update(data)),
            Err(Revoked) => self.job_ended(handle, AttemptOutcome::Error),
        }
    }

    fn job_updated(&self, handle: &str, update: AttemptUpdate) {
        let workers = &self.frontend.workers;
        let is_running = workers.job_updated(self.session_id, handle, update);
        self.report_unless_running(is_running);
    }

    fn job_ended(&self, handle: &str, outcome: AttemptOutcome) {
        let workers = &self.frontend.workers;
        let is_running = workers.job_ended(self.session_id, handle, outcome);
        self.report_unless_running(is_running);
    }

    /// Sends an error if the worker does not run the job that its packet names.
    fn report_unless_running(&self, is_running: bool) {
        if !is_running {
            self.send_error("JOB_NOT_FOUND", "no such job here");
        }
    }
}

/// Waits until packets that have begun are no longer received; forever before the shutdown, and
/// after that time.
async fn receiving_ends(shutdown: Option<ShutdownPhase>) {
    match shutdown {
        Some(ShutdownPhase::Receiving { until }) => sleep_until(until).await,
        Some(ShutdownPhase::Ended) | None => std::future::pending().await,
    }
}

#[cfg(test)]
mod memory_tests;
#[cfg(test)]
mod tests;
