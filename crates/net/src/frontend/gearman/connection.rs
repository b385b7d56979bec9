//! One connection: reads packets and admin commands, and closes the connection when it must.
//!
//! A connection is closed when the peer closes it, sends nothing or half a packet for too long,
//! does not read, or sends malformed input; at the shutdown, once its client has all responses; and
//! when it is idle while too many others are open.

use super::clients::{Clients, Submission};
use super::codec::{Codec, MAX_WORKLOAD, Malformed, Packet, Received};
use super::outbox::{Outbox, write_messages};
use super::workers::fraction;
use super::{GearmanFrontend, admin};
use crate::frontend::admission::{self, ClientConnection};
use crate::frontend::http::{CloseSignal, wait_for_close};
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

/// How often a connection is checked for half a packet.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// TCP keep-alive: the time until the first probe, between probes, and their number. They detect a
/// peer whose machine has failed, which sends no more packets and would remain an endpoint.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 3;

/// The frontend does not end while a clone of this sender exists.
type ShutdownGuard = mpsc::Sender<()>;

/// A connection that was accepted.
pub(super) struct Accepted {
    /// Its number.
    pub session: u64,
    pub opened_at: Timestamp,
    pub stream: TcpStream,
    pub peer: String,
    pub closing: CloseSignal,
    pub shutdown_guard: ShutdownGuard,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(
    frontend: &GearmanFrontend,
    accepted: Accepted,
    state: &ClientConnection,
) {
    let _ = accepted.stream.set_nodelay(true);
    set_keepalive(&accepted.stream);
    let (read_half, write_half) = accepted.stream.into_split();
    let (outbox, queue) = Outbox::new(&accepted.peer);
    let writer = tokio::spawn(write_messages(queue, write_half));
    let mut connection = Connection {
        frontend,
        session: accepted.session,
        opened_at: accepted.opened_at,
        input: FramedRead::new(read_half, Codec),
        clients: Clients::new(frontend, outbox.clone()),
        outbox,
        is_shutting_down: false,
        shutdown_guard: Some(accepted.shutdown_guard),
        packet_deadline: Some(state.phase_deadline()),
    };
    connection.run(accepted.closing, state).await;
    frontend.workers.closed(accepted.session);
    let Connection {
        input,
        clients,
        outbox,
        shutdown_guard,
        ..
    } = connection;
    drop((clients, outbox));
    // Queued messages are written before the connection is closed.
    let _ = writer.await;
    admission::close(input.get_ref().as_ref(), state, None).await;
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
    session: u64,
    opened_at: Timestamp,
    input: FramedRead<OwnedReadHalf, Codec>,
    clients: Clients<'a>,
    outbox: Outbox,
    is_shutting_down: bool,
    shutdown_guard: Option<ShutdownGuard>,
    /// When the peer must have sent its first packet, or all of one that has begun.
    packet_deadline: Option<Instant>,
}

impl Connection<'_> {
    /// Runs until the connection is to be closed.
    async fn run(&mut self, mut closing: CloseSignal, state: &ClientConnection) {
        let mut stall_check = interval(STALL_CHECK_INTERVAL);
        loop {
            if self.is_shutting_down && self.clients.is_idle() {
                // A worker stays connected, as requests in progress may need it, but the shutdown
                // does not wait for it.
                if !self.frontend.workers.has(self.session) {
                    return;
                }
                self.shutdown_guard = None;
            }
            let received = tokio::select! {
                received = next(&mut self.input) => received,
                () = self.clients.next_completed() => continue,
                // An idle connection makes room for one that has a request.
                () = state.eviction_requested() => return,
                _ = stall_check.tick() => {
                    if self.is_stalled() {
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
                () = wait_for_close(&mut closing), if !self.is_shutting_down => {
                    self.is_shutting_down = true;
                    self.clients.close();
                    continue;
                }
            };
            state.request_received();
            self.packet_deadline = None;
            match received {
                None | Some(Err(Malformed::Io(_))) => return,
                Some(Ok(received)) => self.handle(received).await,
                Some(Err(malformed)) => return self.report_malformed(malformed),
            }
        }
    }

    /// Whether a packet is overdue. One that has begun becomes due from here on.
    fn is_stalled(&mut self) -> bool {
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

    async fn handle(&mut self, received: Received) {
        match received {
            Received::AdminCommand(line) => {
                let response = admin::respond(self.frontend, &line).await;
                self.outbox.send_text(response);
            }
            Received::Packet(packet) => self.handle_packet(packet),
        }
    }

    fn handle_packet(&mut self, packet: Packet) {
        let session = self.session;
        let workers = &self.frontend.workers;
        match packet {
            Packet::CanDo { function } => self.can_do(function),
            Packet::CantDo { function } => workers.cant_do(session, Some(&function)),
            Packet::ResetAbilities => workers.cant_do(session, None),
            Packet::PreSleep => workers.sleep(session),
            Packet::GrabJob { with_unique } => {
                self.outbox.send(workers.grab(session, with_unique));
            }
            Packet::WorkStatus {
                handle,
                numerator,
                denominator,
            } => self.update(&handle, fraction(numerator, denominator)),
            Packet::WorkData { handle, data } => self.update(&handle, AttemptUpdate::Data(data)),
            // WORK_EXCEPTION does not end the job; the WORK_FAIL that follows it does.
            Packet::WorkWarning { handle, data } | Packet::WorkException { handle, data } => {
                self.update(&handle, AttemptUpdate::Warning(data));
            }
            Packet::WorkComplete { handle, data } if data.len() > MAX_WORKLOAD => {
                self.send_error("TOO_LARGE", "the result is too large");
                self.end(&handle, AttemptOutcome::Error);
            }
            Packet::WorkComplete { handle, data } => {
                self.end(&handle, AttemptOutcome::Served(data));
            }
            Packet::WorkFail { handle } => self.end(&handle, AttemptOutcome::Error),
            Packet::SetClientId { id } => workers.set_id(session, id),
            Packet::SubmitJob {
                background,
                function,
                unique_id,
                workload,
            } => self.clients.submit(Submission {
                background,
                function,
                unique: unique_id,
                workload,
            }),
            Packet::GetStatus { handle } => {
                self.outbox.send(self.frontend.statuses.response(handle));
            }
            Packet::EchoReq { data } => self.outbox.send(Packet::EchoRes { data }),
            Packet::OptionReq { option } => self.clients.set_option(option),
            // ALL_YOURS changes nothing here, and the codec decodes no packet that only this side
            // sends.
            _ => {}
        }
    }

    fn can_do(&self, function: String) {
        match self.frontend.functions.class(&function) {
            Some(class) => self.frontend.workers.can_do(
                self.session,
                self.opened_at,
                &self.outbox,
                class,
                function,
            ),
            None => self.send_error("UNKNOWN_FUNCTION", function),
        }
    }

    fn update(&self, handle: &str, update: AttemptUpdate) {
        let is_known = self.frontend.workers.update(self.session, handle, update);
        self.check_handle(is_known);
    }

    fn end(&self, handle: &str, outcome: AttemptOutcome) {
        let is_known = self.frontend.workers.ended(self.session, handle, outcome);
        self.check_handle(is_known);
    }

    fn check_handle(&self, is_known: bool) {
        if !is_known {
            self.send_error("JOB_NOT_FOUND", "no such job here");
        }
    }
}

/// The next item; `None` once the peer has closed the connection.
async fn next(input: &mut FramedRead<OwnedReadHalf, Codec>) -> Option<Result<Received, Malformed>> {
    poll_fn(|cx| Pin::new(&mut *input).poll_next(cx)).await
}
