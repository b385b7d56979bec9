//! Connections while memory is short: a peer that reads gets each packet, and one that does not read
//! gives way.

use super::tests::{JOB_CREATED, WORK_COMPLETE, connect, frontend_with, packet_names, submit_job};
use super::*;
use crate::frontend::admission::Admission;
use crate::frontend::{EventSender, FrontendState, LoopMessage};
use pumiceway_core::ClientResponse;
use pumiceway_memory::{DrawError, MemoryBudget};
use pumiceway_test_support::encode_packet;
use std::io::{Read, Write};
use std::net::TcpStream as Client;
use std::time::Instant as StdInstant;
use tokio::sync::watch;

const TOTAL: usize = 4 << 20;
/// The length of a result.
const RESULT_BYTES: usize = 60_000;
/// As many jobs as are handled in one turn. Together their results are much larger than the buffers of
/// the socket.
const JOBS: usize = 32;
const SOCKET_BUFFER_BYTES: usize = 16 << 10;
/// How long others take to give up memory.
const GIVING_UP: Duration = Duration::from_millis(300);
/// Longer than a peer is observed before it counts as one that does not read.
const UNREAD_FOR: Duration = Duration::from_millis(2_500);
/// What a peer that does not read may have queued in small packets.
const MAX_UNREAD_BYTES: usize = 1 << 20;
const READ_TIMEOUT: Duration = Duration::from_secs(8);

type Updates = mpsc::UnboundedSender<AttemptUpdate>;

/// Serves the connection of a client, and answers its jobs with `respond`, until the client is done.
async fn with_client<T: Send + 'static>(
    memory: &MemoryBudget,
    respond: impl Fn(Updates) -> ClientResponse,
    client: impl FnOnce(Client) -> T + Send + 'static,
) -> T {
    let (events, mut messages) = EventSender::new();
    let frontend = frontend_with(&events, memory.clone());
    let permit = Admission::new(1, 1, memory.clone()).admit(Instant::now());
    let (_open, closing) = watch::channel(FrontendState::Open);
    let (stream, accepted) = connect(closing).await;
    let client_socket = socket2::SockRef::from(&stream);
    client_socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .unwrap();
    let socket = socket2::SockRef::from(&accepted.stream);
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    let client = tokio::task::spawn_blocking(move || client(stream));
    let respond_to_all = async {
        while let Some(message) = messages.recv().await {
            match message {
                LoopMessage::Submitted {
                    response, updates, ..
                } => drop(response.send(respond(updates.unwrap()))),
                LoopMessage::CaughtUp(answer) => drop(answer.send(())),
                LoopMessage::Event(_) | LoopMessage::OverviewRequested(_) => {}
            }
        }
    };
    let served = async {
        serve(&frontend, accepted, &permit.connection).await;
        client.await.unwrap()
    };
    tokio::select! {
        result = served => result,
        () = respond_to_all => unreachable!("the frontend holds a sender"),
    }
}

/// A result, which pays for its memory.
fn served(memory: &MemoryBudget) -> ClientResponse {
    ClientResponse::Served(copy_result(memory, &vec![b'r'; RESULT_BYTES]))
}

/// Sends a packet and reads until one of this name has arrived, or the connection is closed.
fn exchange(mut client: Client, packet: &[u8], last: &str) -> Vec<String> {
    client.write_all(packet).unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    let mut buffer = vec![0; RESULT_BYTES];
    while whole_packets(&received)
        .last()
        .is_none_or(|name| name != last)
    {
        match client.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
    }
    whole_packets(&received)
}

/// The names of the packets that have arrived whole.
fn whole_packets(received: &[u8]) -> Vec<String> {
    let mut end = 0;
    while let Some(length) = received.get(end + 8..end + 12) {
        let body = u32::from_be_bytes(length.try_into().unwrap()) as usize;
        if received.len() < end + 12 + body {
            break;
        }
        end += 12 + body;
    }
    packet_names(&received[..end])
}

// Guards against accepted jobs that were never answered: while others were still giving up memory, a
// peer that reads counted as one that does not, and its connection was closed.
#[tokio::test]
async fn a_peer_that_reads_gets_each_packet_while_others_give_up_memory() {
    let job = submit_job("rate-push");
    let echo = encode_packet(&format!("[ECHO_REQ {}]", "e".repeat(RESULT_BYTES)));
    let data = vec![b'd'; RESULT_BYTES];
    for (packet, update, expected) in [
        (&job, None, [JOB_CREATED, WORK_COMPLETE].as_slice()),
        (&job, Some(data), &[JOB_CREATED, "28", WORK_COMPLETE]),
        (&echo, None, &["17"]),
    ] {
        let memory = MemoryBudget::new(TOTAL);
        let now = StdInstant::now();
        let mut holder = memory.open(Holder::Outbox, now);
        // All that may be drawn for what is queued for peers.
        holder.try_draw(TOTAL / 4, now).unwrap();
        drop(tokio::spawn(async move {
            let Revoked = std::future::poll_fn(|cx| holder.poll_revoked(cx)).await;
            tokio::time::sleep(GIVING_UP).await;
            drop(holder);
        }));
        let respond = |updates: Updates| {
            if let Some(data) = &update {
                updates
                    .send(AttemptUpdate::Data(data.clone().into()))
                    .unwrap();
            }
            served(&memory)
        };
        let packet = packet.clone();
        let last = expected[expected.len() - 1];
        let received = with_client(&memory, respond, move |client| {
            exchange(client, &packet, last)
        })
        .await;
        assert_eq!(received, expected);
    }
}

/// How a client reads.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reading {
    /// Not at all.
    Nothing,
    /// Byte by byte, with pauses.
    Bytes,
    /// In parts, with pauses: for longer than a peer is observed, and steadily.
    Parts,
    /// After a pause, all at once.
    Late,
}

/// Submits many jobs with large results. Returns how many were answered, and whether the connection
/// was closed before.
fn submit_and_read(mut client: Client, reading: Reading, until: StdInstant) -> (usize, bool) {
    client
        .write_all(&submit_job("rate-push").repeat(JOBS))
        .unwrap();
    if reading == Reading::Late {
        std::thread::sleep(UNREAD_FOR);
    }
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let (part, pause) = match reading {
        Reading::Nothing => (0, Duration::from_millis(50)),
        Reading::Bytes => (1, Duration::from_millis(50)),
        Reading::Parts => (8 << 10, Duration::from_millis(10)),
        Reading::Late => (64 << 10, Duration::ZERO),
    };
    let mut received = Vec::new();
    let mut buffer = vec![0; part];
    while StdInstant::now() < until {
        std::thread::sleep(pause);
        let read = client.read(&mut buffer);
        match read {
            Ok(0) | Err(_) if part > 0 => break,
            read => received.extend_from_slice(&buffer[..read.unwrap_or(0)]),
        }
        let answered = answered(&received);
        if answered == JOBS {
            return (answered, false);
        }
    }
    // An error, or less than all: the connection is closed.
    let mut rest = Vec::new();
    let is_closed = client.read_to_end(&mut rest).is_ok();
    received.extend(rest);
    (answered(&received), is_closed)
}

fn answered(received: &[u8]) -> usize {
    let names = whole_packets(received);
    names.iter().filter(|name| *name == WORK_COMPLETE).count()
}

/// Draws nearly all memory for a response, as soon as others have given it up.
async fn draw_nearly_all(memory: &MemoryBudget) -> Result<MemoryAccount, Revoked> {
    let mut account = memory.open(Holder::Response, StdInstant::now());
    let drawn =
        |cx: &mut std::task::Context<'_>| account.poll_draw(TOTAL / 8 * 7, StdInstant::now(), cx);
    std::future::poll_fn(drawn).await?;
    Ok(account)
}

#[tokio::test]
async fn a_peer_that_does_not_read_gives_way_once_others_need_its_memory() {
    for reading in [Reading::Nothing, Reading::Bytes] {
        let memory = MemoryBudget::new(TOTAL);
        let until = StdInstant::now() + 2 * UNREAD_FOR;
        let drawing = memory.clone();
        let drawn = tokio::spawn(async move {
            tokio::time::sleep(UNREAD_FOR).await;
            draw_nearly_all(&drawing).await
        });
        let respond = |_| served(&memory);
        let (answered, is_closed) = with_client(&memory, respond, move |client| {
            submit_and_read(client, reading, until)
        })
        .await;
        assert!(is_closed && answered < JOBS, "{reading:?}: {answered}");
        assert!(drawn.await.unwrap().is_ok(), "{reading:?}");
    }
}

#[tokio::test]
async fn a_peer_that_reads_steadily_is_served_however_short_memory_is() {
    let memory = MemoryBudget::new(TOTAL);
    let until = StdInstant::now() + 12 * UNREAD_FOR;
    let drawing = memory.clone();
    let pressure = tokio::spawn(async move {
        loop {
            drop(draw_nearly_all(&drawing).await);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let respond = |_| served(&memory);
    let (answered, _) = with_client(&memory, respond, move |client| {
        submit_and_read(client, Reading::Parts, until)
    })
    .await;
    pressure.abort();
    assert_eq!(answered, JOBS);
}

#[tokio::test]
async fn a_peer_that_reads_late_is_served_if_nobody_needs_its_memory() {
    let memory = MemoryBudget::new(TOTAL);
    let until = StdInstant::now() + 4 * UNREAD_FOR;
    let respond = |_| served(&memory);
    let (answered, _) = with_client(&memory, respond, move |client| {
        submit_and_read(client, Reading::Late, until)
    })
    .await;
    assert_eq!(answered, JOBS);
}

// Guards against revoking the queue of a peer that reads: it would be closed, or others would wait for
// memory that it does not return.
#[tokio::test]
async fn what_is_queued_for_a_peer_that_reads_is_not_revoked() {
    let memory = MemoryBudget::new(TOTAL);
    let account = memory.open(Holder::Outbox, StdInstant::now());
    let (outbox, _queue) = Outbox::new("peer", account);
    let ClientResponse::Served(data) = served(&memory) else {
        unreachable!("it is served");
    };
    let handle = String::new();
    outbox.send(Packet::WorkComplete { handle, data });
    let mut settled = memory.open(Holder::Response, StdInstant::now());
    settled.draw_settled(TOTAL - 1_000, StdInstant::now());
    // No other may be revoked, though the queue weighs more.
    let mut other = memory.open(Holder::Response, StdInstant::now());
    let drawn = other.try_draw(1, StdInstant::now());
    assert_eq!(drawn, Err(DrawError::Revoked(Revoked)));
    drop(outbox);
}

// Guards against results without a limit for a client that goes on submitting and never reads.
#[tokio::test]
async fn a_client_that_does_not_read_has_a_bounded_number_of_jobs_started() {
    let memory = MemoryBudget::new(64 << 20);
    let started = std::cell::Cell::new(0);
    let respond = |_| {
        started.set(started.get() + 1);
        served(&memory)
    };
    with_client(&memory, respond, |mut client| {
        client
            .write_all(&submit_job("rate-push").repeat(8 * JOBS))
            .unwrap();
        std::thread::sleep(2 * GIVING_UP);
    })
    .await;
    assert!(started.get() <= 2 * JOBS, "{}", started.get());
}

// Small packets draw no memory before they are queued, so their number has to be bounded otherwise.
#[tokio::test]
async fn a_peer_that_does_not_read_is_queued_a_bounded_number_of_packets() {
    let memory = MemoryBudget::new(64 << 20);
    let respond = |_| served(&memory);
    with_client(&memory, respond, |mut client| {
        let timeout = Some(Duration::from_millis(500));
        client.set_write_timeout(timeout).unwrap();
        let packets = encode_packet("[GET_STATUS H:none]").repeat(100);
        let writes = (0..10_000).take_while(|_| client.write_all(&packets).is_ok());
        assert!(writes.count() < 10_000, "all packets were read");
    })
    .await;
    assert!(memory.report().highest < MAX_UNREAD_BYTES);
}

#[tokio::test]
async fn a_client_that_does_not_read_is_told_a_bounded_number_of_times_of_progress() {
    let memory = MemoryBudget::new(64 << 20);
    let respond = |updates: Updates| {
        for _ in 0..100_000 {
            updates.send(AttemptUpdate::Fraction(0.5)).unwrap();
        }
        served(&memory)
    };
    let received = with_client(&memory, respond, |client| {
        std::thread::sleep(GIVING_UP);
        exchange(client, &submit_job("rate-push"), WORK_COMPLETE)
    })
    .await;
    assert_eq!(received.last().map(String::as_str), Some(WORK_COMPLETE));
    assert!(memory.report().highest < MAX_UNREAD_BYTES);
}
