//! The Gearman front: hotel connectors written for Gearman meet the same core as HTTP clients.
//!
//! A connection may be a client, a worker, both, or somebody who types admin commands. Clients'
//! jobs are transactions like any other; a session of a worker is a next hop like any other.

mod clients;
pub mod codec;
pub mod workers;

use crate::config::{Function, GearmanConfig};
use crate::frontend::EventSender;
use crate::frontend::admission::{self, Admission, ClientConnection, Room};
use crate::frontend::http::{Closing, closed};
use bytes::BytesMut;
use clients::Clients;
use codec::{Codec, Malformed, Packet, Said};
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::{ClassId, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, FramedRead};
use tracing::{error, info, warn};
use workers::WorkerSessions;

/// Packets that may wait for a peer to read them; one that reads too slowly is cut off.
const OUTBOX: usize = 1_024;
/// How often a connection is looked at for half a packet that is stuck.
const LOOKS: Duration = Duration::from_millis(500);
/// A peer takes what is written to it within this time.
const WRITE_PATIENCE: Duration = Duration::from_secs(10);

/// The functions that clients and workers name, by name.
pub struct Functions(BTreeMap<String, Function>);

impl Functions {
    /// The class of a function.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.0.get(name).map(|f| f.class)
    }
}

/// The sending side of a connection.
#[derive(Clone)]
pub struct Outbox {
    packets: mpsc::Sender<Wire>,
    overrun: Arc<tokio::sync::Notify>,
    peer: Arc<str>,
}

enum Wire {
    Packet(Packet),
    Text(String),
}

impl Outbox {
    /// Sends a packet, in order.
    pub fn say(&self, packet: Packet) {
        self.put(Wire::Packet(packet));
    }

    fn put(&self, wire: Wire) {
        // Prevents: a peer that does not read makes the dispatcher hold packets without bound.
        if let Err(mpsc::error::TrySendError::Full(_)) = self.packets.try_send(wire) {
            self.overrun.notify_one();
        }
    }

    fn peer(&self) -> &str {
        &self.peer
    }
}

/// The front.
#[derive(Clone)]
pub struct GearmanFrontend {
    events: EventSender,
    settings: Arc<DeploymentSettings>,
    functions: Arc<Functions>,
    workers: WorkerSessions,
    jobs: Arc<AtomicUsize>,
    limits: (usize, usize),
    statuses: clients::Statuses,
}

impl GearmanFrontend {
    /// A front over these workers.
    pub fn new(
        events: EventSender,
        settings: Arc<DeploymentSettings>,
        config: GearmanConfig,
        workers: WorkerSessions,
    ) -> GearmanFrontend {
        GearmanFrontend {
            events,
            settings,
            limits: (config.connections, config.jobs),
            functions: Arc::new(Functions(config.functions)),
            workers,
            jobs: Arc::default(),
            statuses: clients::Statuses::default(),
        }
    }

    /// Serves connections until told to close, and then until the clients among them have their
    /// answers.
    pub async fn serve(
        self,
        listener: TcpListener,
        mut closing: Closing,
        now: impl Fn() -> Timestamp,
    ) {
        let admission = Admission::new(self.limits.0, 0);
        let (gone, mut all_gone) = mpsc::channel::<()>(1);
        let mut session = 0;
        loop {
            let (stream, peer) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(e) => {
                        error!(front = "gearman", why = %e, "a connection can't be accepted");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                () = closed(&mut closing) => break,
            };
            let place = admission.admit(Instant::now());
            if place.room != Room::Served {
                warn!(front = "gearman", %peer, most = self.limits.0, "too many connections: this one is closed");
                continue;
            }
            session += 1;
            let (front, gone, closing) = (self.clone(), gone.clone(), closing.clone());
            let opened = now();
            tokio::spawn(async move {
                front
                    .session(
                        (session, opened),
                        stream,
                        &peer.to_string(),
                        closing,
                        gone,
                        &place.seat,
                    )
                    .await;
                drop(place);
            });
        }
        drop((listener, gone));
        let _ = all_gone.recv().await;
    }

    async fn session(
        &self,
        (session, opened): (u64, Timestamp),
        stream: TcpStream,
        peer: &str,
        mut closing: Closing,
        gone: mpsc::Sender<()>,
        seat: &ClientConnection,
    ) {
        let _ = stream.set_nodelay(true);
        // Prevents: a worker whose machine vanished without a word stays in the route set.
        let alive = socket2::TcpKeepalive::new()
            .with_time(Duration::from_secs(10))
            .with_interval(Duration::from_secs(5))
            .with_retries(3);
        let _ = socket2::SockRef::from(&stream).set_tcp_keepalive(&alive);
        let (reading, mut writing) = stream.into_split();
        let (packets, mut queue) = mpsc::channel(OUTBOX);
        let overrun = Arc::new(tokio::sync::Notify::new());
        let outbox = Outbox {
            packets,
            overrun: overrun.clone(),
            peer: peer.into(),
        };
        let writer = tokio::spawn(async move {
            let mut buffer = BytesMut::new();
            while let Some(wire) = queue.recv().await {
                match wire {
                    Wire::Packet(packet) => packet.encode(&mut buffer),
                    Wire::Text(text) => buffer.extend_from_slice(text.as_bytes()),
                }
                let written =
                    tokio::time::timeout(WRITE_PATIENCE, writing.write_all_buf(&mut buffer)).await;
                if !matches!(written, Ok(Ok(()))) {
                    return;
                }
            }
        });
        let mut said = FramedRead::new(reading, Codec);
        let mut clients = Clients::new(self, outbox.clone());
        let mut gone = Some(gone);
        let mut shutting = false;
        // When patience ends with a peer that has said nothing, or half a packet.
        let mut patience = Some(seat.due());
        let mut looks = tokio::time::interval(LOOKS);
        loop {
            if shutting && clients.idle() {
                // A worker is kept, for jobs that were taken may need it; nobody waits for it to
                // leave.
                if !self.workers.has(session) {
                    break;
                }
                gone = None;
            }
            let next = tokio::select! {
                said = next(&mut said) => said,
                () = clients.next_answered() => continue,
                // Prevents: connections of those who ask for nothing take up the room.
                () = seat.wanted() => break,
                _ = looks.tick() => {
                    if patience.is_some_and(|due| due <= Instant::now()) {
                        info!(front = "gearman", peer, "has not said a whole packet in time, and is closed");
                        break;
                    }
                    if !said.read_buffer().is_empty() {
                        patience = patience.or(Some(Instant::now() + admission::REQUEST));
                    }
                    continue;
                }
                () = overrun.notified() => {
                    warn!(front = "gearman", peer, "does not read what it is sent, and is closed");
                    break;
                }
                () = closed(&mut closing), if !shutting => {
                    shutting = true;
                    clients.close();
                    continue;
                }
            };
            seat.holds();
            patience = None;
            match next {
                None => break,
                Some(Ok(Said::Line(line))) => outbox.put(Wire::Text(self.admin(&line).await)),
                Some(Ok(Said::Packet(packet))) => {
                    self.packet(session, opened, &outbox, &mut clients, packet)
                }
                Some(Err(Malformed::Io(_))) => break,
                Some(Err(e)) => {
                    info!(front = "gearman", peer, why = %e, "malformed, and closed");
                    outbox.say(Packet::Error {
                        code: "MALFORMED",
                        text: e.to_string(),
                    });
                    break;
                }
            }
        }
        self.workers.closed(session);
        drop((clients, outbox));
        // What is still to be said goes out before the connection closes.
        let _ = writer.await;
        admission::close(said.get_ref().as_ref(), seat, None).await;
        drop(gone);
    }

    fn packet(
        &self,
        session: u64,
        opened: Timestamp,
        outbox: &Outbox,
        clients: &mut Clients,
        packet: Packet,
    ) {
        let unknown_handle = |known: bool| {
            if !known {
                outbox.say(Packet::Error {
                    code: "JOB_NOT_FOUND",
                    text: "no such job here".to_owned(),
                });
            }
        };
        let workers = &self.workers;
        match packet {
            Packet::CanDo { function } => match self.functions.class(&function) {
                Some(class) => workers.can_do(session, opened, outbox, class, function),
                None => outbox.say(Packet::Error {
                    code: "UNKNOWN_FUNCTION",
                    text: function,
                }),
            },
            Packet::CantDo { function } => workers.cant_do(session, Some(&function)),
            Packet::ResetAbilities => workers.cant_do(session, None),
            Packet::PreSleep => workers.sleep(session),
            Packet::GrabJob { with_unique } => outbox.say(workers.grab(session, with_unique)),
            Packet::WorkStatus { handle, done, of } => {
                unknown_handle(workers.update(session, &handle, workers::share(done, of)));
            }
            Packet::WorkData { handle, data } => {
                unknown_handle(workers.update(session, &handle, AttemptUpdate::Data(data)));
            }
            Packet::WorkWarning { handle, data } => {
                unknown_handle(workers.update(session, &handle, AttemptUpdate::Warning(data)));
            }
            Packet::WorkComplete { handle, data } if data.len() > codec::WORKLOAD_MOST => {
                outbox.say(Packet::Error {
                    code: "TOO_LARGE",
                    text: "the result is too large".to_owned(),
                });
                unknown_handle(workers.ended(session, &handle, AttemptOutcome::Error));
            }
            Packet::WorkComplete { handle, data } => {
                unknown_handle(workers.ended(session, &handle, AttemptOutcome::Served(data)));
            }
            Packet::WorkFail { handle } => {
                unknown_handle(workers.ended(session, &handle, AttemptOutcome::Error))
            }
            Packet::WorkException { handle, data } => {
                // Its WORK_FAIL, which ends the job, follows.
                unknown_handle(workers.update(session, &handle, AttemptUpdate::Warning(data)));
            }
            Packet::SetClientId { id } => workers.set_id(session, id),
            Packet::SubmitJob {
                background,
                function,
                unique,
                workload,
            } => {
                clients.submit(background, &function, &unique, workload);
            }
            Packet::GetStatus { handle } => outbox.say(self.statuses.of(handle)),
            Packet::EchoReq { data } => outbox.say(Packet::EchoRes { data }),
            Packet::OptionReq { option } => clients.option(option),
            // ALL_YOURS tells nothing that matters here; what only this side sends can't be
            // decoded.
            _ => {}
        }
    }

    /// The answer to an admin command.
    async fn admin(&self, line: &str) -> String {
        let mut words = line.split_whitespace();
        match words.next().unwrap_or_default() {
            "version" => concat!("OK ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
            "getpid" => format!("OK {}\n", std::process::id()),
            "workers" => format!("{}.\n", self.workers.lines()),
            "status" => {
                let overview = self.events.overview().await;
                let line = |(name, f): (&String, &Function)| {
                    let class = overview.classes.get(f.class.0).copied().unwrap_or_default();
                    let able = self.workers.able(&self.functions, name);
                    format!("{name}\t{}\t{}\t{able}\n", class.open, class.in_flight)
                };
                format!(
                    "{}.\n",
                    self.functions.0.iter().map(line).collect::<String>()
                )
            }
            "routes" => {
                let overview = self.events.overview().await;
                let mut lines = String::new();
                for endpoint in &overview.endpoints {
                    let zone = self
                        .settings
                        .zones
                        .get(endpoint.zone.0)
                        .map_or("-", String::as_str);
                    let _ = writeln!(lines, "{}\t{:?}\t{zone}", endpoint.name, endpoint.state);
                }
                format!("{lines}.\n")
            }
            "kept" => format!("OK {}\n", self.events.overview().await.unique_ids),
            // One who can reach this port may look, not stop the dispatcher: that is for its
            // supervisor.
            "shutdown" => "ERR DENIED stop+the+process+with+SIGTERM\n".to_owned(),
            _ => "ERR UNKNOWN_COMMAND unknown+command\n".to_owned(),
        }
    }
}

/// The next thing said.
async fn next(
    said: &mut FramedRead<tokio::net::tcp::OwnedReadHalf, Codec>,
) -> Option<Result<<Codec as Decoder>::Item, Malformed>> {
    std::future::poll_fn(|cx| futures_core::Stream::poll_next(std::pin::Pin::new(&mut *said), cx))
        .await
}
