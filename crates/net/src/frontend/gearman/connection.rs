//! One connection: reads and handles its packets and admin commands.
//!
//! A connection is closed when:
//!
//! - the peer closes it;
//! - the peer does not complete its first packet, or a later one that it has begun, in time;
//! - the peer sends malformed input;
//! - the peer does not read, and its outbox overflows;
//! - too many connections are open, and it is evicted before its first packet is complete;
//! - the dispatcher shuts down, once the client has all its responses.

use super::clients::{ClientJobs, Submission};
use super::codec::{Codec, MAX_WORKLOAD, Malformed, Packet, Received};
use super::outbox::{Outbox, write_messages};
use super::workers::progress_update;
use super::{GearmanFrontend, admin};
use crate::frontend::admission::{self, ClientConnection};
use crate::frontend::{CloseSignal, wait_for_close};
use futures_core::Stream;
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::Timestamp;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval};
use tokio_util::codec::FramedRead;
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
type ShutdownGuard = mpsc::Sender<()>;

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
    let (outbox, queue) = Outbox::new(&accepted.peer);
    let writer = tokio::spawn(write_messages(queue, write_half));
    let mut connection = Connection {
        frontend,
        session_id: accepted.session_id,
        opened_at: accepted.opened_at,
        input: FramedRead::new(read_half, Codec),
        client_jobs: ClientJobs::new(frontend, outbox.clone()),
        outbox,
        is_shutting_down: false,
        shutdown_guard: Some(accepted.shutdown_guard),
        packet_deadline: Some(client_connection.phase_deadline()),
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
    admission::close(input.get_ref().as_ref(), client_connection, None).await;
    drop(shutdown_guard);
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
    input: FramedRead<OwnedReadHalf, Codec>,
    client_jobs: ClientJobs<'a>,
    outbox: Outbox,
    is_shutting_down: bool,
    shutdown_guard: Option<ShutdownGuard>,
    /// When the first packet, or a later one that the peer has begun to send, must be complete.
    packet_deadline: Option<Instant>,
}

impl Connection<'_> {
    /// Handles input and events until the connection is to be closed.
    async fn run(&mut self, mut closing: CloseSignal, client_connection: &ClientConnection) {
        let mut stall_check = interval(STALL_CHECK_INTERVAL);
        loop {
            if self.is_shutting_down && self.client_jobs.is_idle() {
                // A worker stays connected because requests in progress may need it, but the
                // shutdown does not wait for it.
                if !self.frontend.workers.contains(self.session_id) {
                    return;
                }
                self.shutdown_guard = None;
            }
            let received = tokio::select! {
                received = receive(&mut self.input) => received,
                () = self.client_jobs.next_completed() => continue,
                // Another connection needs the permit.
                () = client_connection.eviction_requested() => return,
                _ = stall_check.tick() => {
                    if self.check_packet_deadline() {
                        info!(
                            frontend = "gearman",
                            peer = self.outbox.peer(),
                            "the peer sent no complete packet in time; closing its connection"
                        );
                        return;
                    }
                    continue;
                }
                () = self.outbox.overflowed() => {
                    warn!(
                        frontend = "gearman",
                        peer = self.outbox.peer(),
                        "the peer does not read its packets; closing its connection"
                    );
                    return;
                }
                _ = wait_for_close(&mut closing), if !self.is_shutting_down => {
                    self.is_shutting_down = true;
                    self.client_jobs.close();
                    continue;
                }
            };
            client_connection.request_received();
            self.packet_deadline = None;
            match received {
                None | Some(Err(Malformed::Io(_))) => return,
                Some(Ok(received)) => self.handle_received(received).await,
                Some(Err(malformed)) => return self.report_malformed(malformed),
            }
        }
    }

    /// Returns whether a packet is overdue. If part of a packet has arrived that has no deadline
    /// yet, its deadline starts now.
    fn check_packet_deadline(&mut self) -> bool {
        let now = Instant::now();
        if self.packet_deadline.is_some_and(|deadline| deadline <= now) {
            return true;
        }
        if !self.input.read_buffer().is_empty() {
            self.packet_deadline
                .get_or_insert(now + admission::REQUEST_TIMEOUT);
        }
        false
    }

    fn report_malformed(&self, malformed: Malformed) {
        info!(
            frontend = "gearman",
            peer = self.outbox.peer(),
            reason = %malformed,
            "the peer sent malformed input; closing its connection"
        );
        self.send_error("MALFORMED", malformed.to_string());
    }

    fn send_error(&self, code: &'static str, text: impl Into<String>) {
        let text = text.into();
        self.outbox.send(Packet::Error { code, text });
    }

    async fn handle_received(&mut self, received: Received) {
        match received {
            Received::AdminCommand(line) => {
                let response = admin::respond(self.frontend, &line).await;
                self.outbox.send_text(response);
            }
            Received::Packet(packet) => self.handle_packet(packet),
        }
    }

    fn handle_packet(&mut self, packet: Packet) {
        let session_id = self.session_id;
        let workers = &self.frontend.workers;
        match packet {
            Packet::CanDo { function } => self.can_do(function),
            Packet::CantDo { function } => workers.cant_do(session_id, Some(&function)),
            Packet::ResetAbilities => workers.cant_do(session_id, None),
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
                self.job_updated(&handle, AttemptUpdate::Data(data));
            }
            // WORK_EXCEPTION does not end the job; the WORK_FAIL that follows it does.
            Packet::WorkWarning { handle, data } | Packet::WorkException { handle, data } => {
                self.job_updated(&handle, AttemptUpdate::Warning(data));
            }
            Packet::WorkComplete { handle, data } if data.len() > MAX_WORKLOAD => {
                self.send_error("TOO_LARGE", "the result is too large");
                self.job_ended(&handle, AttemptOutcome::Error);
            }
            Packet::WorkComplete { handle, data } => {
                self.job_ended(&handle, AttemptOutcome::Served(data));
            }
            Packet::WorkFail { handle } => self.job_ended(&handle, AttemptOutcome::Error),
            Packet::SetClientId { id } => workers.set_client_id(session_id, id),
            Packet::SubmitJob {
                background,
                function,
                unique_id,
                workload,
            } => self.client_jobs.submit(Submission {
                background,
                function,
                unique_id,
                workload,
            }),
            Packet::GetStatus { handle } => {
                self.outbox.send(self.frontend.statuses.response(handle));
            }
            Packet::EchoReq { data } => self.outbox.send(Packet::EchoRes { data }),
            Packet::OptionReq { option } => self.client_jobs.set_option(option),
            // ALL_YOURS has no effect here, and the codec decodes no packet that only the
            // dispatcher sends.
            _ => {}
        }
    }

    fn can_do(&self, function: String) {
        match self.frontend.functions.class(&function) {
            Some(class) => self.frontend.workers.can_do(
                self.session_id,
                self.opened_at,
                &self.outbox,
                class,
                function,
            ),
            None => self.send_error("UNKNOWN_FUNCTION", function),
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

/// Returns the next packet or admin command; `None` once the peer has closed the connection.
async fn receive(
    input: &mut FramedRead<OwnedReadHalf, Codec>,
) -> Option<Result<Received, Malformed>> {
    poll_fn(|cx| Pin::new(&mut *input).poll_next(cx)).await
}
