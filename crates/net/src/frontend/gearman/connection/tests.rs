//! Connections that end in the turn in which packets arrive. `select!` picks one of several events
//! that are ready at random, so each test is repeated.

use super::*;
use crate::config::{Config, Function, GearmanConfig};
use crate::frontend::admission::Admission;
use crate::frontend::gearman::workers::WorkerSessions;
use crate::frontend::{EventSender, FrontendState, LoopMessage};
use pumiceway_core::{ClientResponse, FunctionCatalog, IdempotencyCacheLimits};
use pumiceway_decisions::api::ClassId;
use pumiceway_memory::MemoryBudget;
use pumiceway_test_support::{SETTINGS, encode_packet};
use std::io::{Read, Write};
use std::sync::Arc;
use tokio::sync::watch;

/// With this many repetitions, an event is practically never picked last in all of them.
const REPETITIONS: usize = 32;
const PACKET_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a connection without a request may be evicted.
const EVICTABLE_AFTER: Duration = Duration::from_millis(60);

pub(super) fn submit_job(function: &str) -> Vec<u8> {
    encode_packet(&format!("[SUBMIT_JOB {function}||x]"))
}

fn frontend(events: &EventSender) -> GearmanFrontend {
    frontend_with(events, MemoryBudget::new(1 << 20))
}

pub(super) fn frontend_with(events: &EventSender, memory: MemoryBudget) -> GearmanFrontend {
    let text = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    let mut config = Config::from_text(&text, "config", |_| None).unwrap();
    let functions = [("rate-push", ClassId(0))];
    let catalog = FunctionCatalog::add(&mut config.settings, &[], functions).unwrap();
    let function = Function {
        class: ClassId(0),
        slots: 1.0,
        deadline: Duration::from_secs(5),
    };
    let gearman = GearmanConfig {
        listen: "127.0.0.1:0".parse().unwrap(),
        connections: 1,
        jobs: 1_024,
        queue: 8,
        skips_slow_start: true,
        cache_limits: IdempotencyCacheLimits::default(),
        functions: [("rate-push".to_owned(), function)].into(),
    };
    let workers = WorkerSessions::new(events.clone(), Arc::new(catalog), true);
    GearmanFrontend::new(events.clone(), config.deployment, gearman, workers, memory)
}

/// A client, and its connection on the side of the frontend.
pub(super) async fn connect(closing: CloseSignal) -> (std::net::TcpStream, AcceptedConnection) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let accepted = AcceptedConnection {
        session_id: 1,
        opened_at: Timestamp::default(),
        stream,
        peer: peer.to_string(),
        closing,
        shutdown_guard: mpsc::channel(1).0,
    };
    (client, accepted)
}

/// Serves all jobs with the result `1`, for as long as the frontend exists.
async fn serve_jobs(messages: &mut mpsc::UnboundedReceiver<LoopMessage>) {
    while let Some(message) = messages.recv().await {
        if let LoopMessage::Submitted { response, .. } = message {
            // Fails if the connection has dropped the job.
            let _ = response.send(ClientResponse::Served("1".into()));
        }
    }
}

/// Whether the only job of a client was answered once: served if it was handled before the close
/// signal, and rejected otherwise.
fn is_answered_at_shutdown(received: &[u8]) -> bool {
    let names = packet_names(received);
    names == ["SHUTTING_DOWN"] || names == [JOB_CREATED, WORK_COMPLETE]
}

/// What happens to a connection in the turn in which its packets arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Eviction,
    Shutdown,
}

/// Serves a connection on which `packets` have arrived when it is first polled. Jobs are served with
/// the result `1`. Returns what the client receives.
async fn received_by_client(packets: Vec<u8>, trouble: Trouble) -> Vec<u8> {
    let (events, mut messages) = EventSender::new();
    let frontend = frontend(&events);
    let admission = Admission::new(1, 1, MemoryBudget::new(1 << 20));
    let permit = admission.admit(Instant::now());
    tokio::time::advance(EVICTABLE_AFTER).await;
    let (close, closing) = watch::channel(FrontendState::Open);
    match trouble {
        Trouble::Eviction => drop(admission.admit(Instant::now())),
        Trouble::Shutdown => {
            let respond_by = Instant::now() + PACKET_TIMEOUT;
            close.send(FrontendState::Closing { respond_by }).unwrap();
        }
    }
    let (mut client, accepted) = connect(closing).await;
    client.write_all(&packets).unwrap();
    accepted.stream.readable().await.unwrap();
    let client = tokio::task::spawn_blocking(move || {
        let mut received = Vec::new();
        client.read_to_end(&mut received).unwrap();
        received
    });
    tokio::select! {
        () = serve(&frontend, accepted, &permit.connection) => {}
        () = serve_jobs(&mut messages) => {}
    }
    client.await.unwrap()
}

/// The packets in the bytes: the type of each, or its code if it is an error.
pub(super) fn packet_names(mut bytes: &[u8]) -> Vec<String> {
    let mut names = Vec::new();
    while let Some((header, rest)) = bytes.split_at_checked(HEADER_LENGTH) {
        let length = u32::from_be_bytes(header[8..].try_into().unwrap()) as usize;
        let (body, rest) = rest.split_at(length);
        let code = body.split(|byte| *byte == 0).next().unwrap_or_default();
        names.push(match header[7] {
            ERROR => String::from_utf8(code.to_vec()).unwrap(),
            packet_type => packet_type.to_string(),
        });
        bytes = rest;
    }
    names
}

const HEADER_LENGTH: usize = 12;
const ERROR: u8 = 19;
pub(super) const JOB_CREATED: &str = "8";
pub(super) const WORK_COMPLETE: &str = "13";

// Guards against issue 49: a job that was read in the turn in which its connection was evicted was
// dropped.
#[tokio::test(start_paused = true)]
async fn a_job_that_arrives_as_its_connection_is_evicted_is_answered() {
    for _ in 0..REPETITIONS {
        let received = received_by_client(submit_job("rate-push"), Trouble::Eviction).await;
        let names = packet_names(&received);
        let is_answered =
            names == ["TOO_MANY_CONNECTIONS"] || names == [JOB_CREATED, WORK_COMPLETE];
        assert!(is_answered, "{names:?}");
    }
}

// Guards against issue 49: at the shutdown, packets that were read together with an earlier one were
// dropped.
#[tokio::test(start_paused = true)]
async fn pipelined_jobs_that_arrive_at_the_shutdown_are_answered() {
    let packets = [submit_job("unknown"), submit_job("rate-push")].concat();
    for _ in 0..REPETITIONS {
        let received = received_by_client(packets.clone(), Trouble::Shutdown).await;
        let names = packet_names(&received);
        // The peer is told before any of its jobs is read, or each job is answered.
        let is_answered = names == ["SHUTTING_DOWN"]
            || names == ["SHUTTING_DOWN", "SHUTTING_DOWN"]
            || names == ["UNKNOWN_FUNCTION", "SHUTTING_DOWN"]
            || names == ["UNKNOWN_FUNCTION", JOB_CREATED, WORK_COMPLETE];
        assert!(is_answered, "{names:?}");
    }
}

// Guards against issue 49: at the shutdown, closing the listener reset the connections in its
// backlog.
#[tokio::test(start_paused = true)]
async fn connections_in_the_backlog_at_the_shutdown_get_an_error() {
    let (events, mut messages) = EventSender::new();
    let frontend = frontend(&events);
    let respond_by = Instant::now() + PACKET_TIMEOUT;
    let (_close, closing) = watch::channel(FrontendState::Closing { respond_by });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let clients = [(); 2].map(|()| std::net::TcpStream::connect(address).unwrap());
    for mut client in &clients {
        client.write_all(&submit_job("rate-push")).unwrap();
    }
    let received = tokio::task::spawn_blocking(move || {
        clients.map(|mut client| {
            let mut received = Vec::new();
            client.read_to_end(&mut received).unwrap();
            received
        })
    });
    tokio::select! {
        () = frontend.serve(listener, closing, Timestamp::default) => {}
        () = serve_jobs(&mut messages) => {}
    }
    // The first has the only permit of this frontend.
    let [first, second] = received.await.unwrap();
    assert!(
        is_answered_at_shutdown(&first),
        "{:?}",
        packet_names(&first)
    );
    assert_eq!(packet_names(&second), ["TOO_MANY_CONNECTIONS"]);
}

// Guards against issue 49: a dispatcher that was held up closed kept connections over packets that
// had arrived meanwhile. The runtime has one thread, so this test holds up the connection while it
// does not wait.
#[tokio::test(start_paused = true)]
async fn what_arrives_while_the_process_is_held_up_before_the_shutdown_is_answered() {
    let job = submit_job("rate-push");
    for part in [1, job.len() - 1, job.len()] {
        let (events, mut messages) = EventSender::new();
        let frontend = frontend(&events);
        let permit = Admission::new(1, 1, MemoryBudget::new(1 << 20)).admit(Instant::now());
        let (close, closing) = watch::channel(FrontendState::Open);
        let (mut client, accepted) = connect(closing).await;
        let use_connection = async {
            client.write_all(b"\0REQ\0\0\0\x10\0\0\0\0").unwrap();
            let mut reader = client.try_clone().unwrap();
            let echo = move || reader.read_exact(&mut [0; HEADER_LENGTH]);
            tokio::task::spawn_blocking(echo).await.unwrap().unwrap();
            client.write_all(&job[..part]).unwrap();
            let respond_by = Instant::now() + PACKET_TIMEOUT;
            close.send(FrontendState::Closing { respond_by }).unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
            client.write_all(&job[part..]).unwrap();
            let read_to_end = move || {
                let mut received = Vec::new();
                client.read_to_end(&mut received).map(|_| received)
            };
            tokio::task::spawn_blocking(read_to_end).await.unwrap()
        };
        let serve = serve(&frontend, accepted, &permit.connection);
        let served = async { tokio::join!(serve, use_connection).1 };
        let received = tokio::select! {
            received = served => received.unwrap(),
            () = serve_jobs(&mut messages) => unreachable!("the frontend holds a sender"),
        };
        let names = packet_names(&received);
        let is_rejected = names == ["SHUTTING_DOWN"];
        let is_served = part == job.len() && is_answered_at_shutdown(&received);
        assert!(is_rejected || is_served, "{part}: {names:?}");
    }
}
