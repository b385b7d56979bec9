//! How connections of clients end, on loopback: each test plays the core behind a front, so that it
//! says in which order things happen. The front's clock stands still unless a test moves it.

use pumiceway_core::{ClientRequest, ClientResponse, Event, RequestHandle};
use pumiceway_net::config::Sockets;
use pumiceway_net::frontend::admission::REQUEST;
use pumiceway_net::frontend::http::HttpFrontend;
use pumiceway_net::frontend::{EventSender, LoopMessage};
use pumiceway_test_support::SETTINGS;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

const PATIENCE: Duration = Duration::from_secs(8);
const BUSY: &str = "HTTP/1.1 503 ";

/// A front without a core.
struct Door {
    address: SocketAddr,
    heard: mpsc::UnboundedReceiver<LoopMessage>,
    close: watch::Sender<bool>,
    moves: mpsc::UnboundedSender<(Duration, Sender<()>)>,
    thread: Option<JoinHandle<()>>,
}

/// A client that the core was told of.
struct Client {
    handle: RequestHandle,
    request: ClientRequest,
    response: oneshot::Sender<ClientResponse>,
}

impl Door {
    /// A front that has not begun to accept connections before `before` has returned.
    fn after(
        inbound: usize,
        spare: usize,
        before: impl FnOnce(SocketAddr, &watch::Sender<bool>),
    ) -> Door {
        Door::on(
            std::net::TcpListener::bind("127.0.0.1:0").unwrap(),
            inbound,
            spare,
            before,
        )
    }

    fn on(
        listener: std::net::TcpListener,
        inbound: usize,
        spare: usize,
        before: impl FnOnce(SocketAddr, &watch::Sender<bool>),
    ) -> Door {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (close, closing) = watch::channel(false);
        let (events, heard) = EventSender::new();
        before(address, &close);
        let frontend = HttpFrontend {
            events,
            settings: Arc::new(serde_json::from_str(SETTINGS).unwrap()),
            ready: Arc::new(AtomicBool::new(true)),
        };
        let (moves, mut moved) = mpsc::unbounded_channel::<(Duration, Sender<()>)>();
        let thread = std::thread::spawn(move || {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_all().start_paused(true).build().unwrap();
            runtime.block_on(async {
                // A clock that stands goes on by itself where nothing is left to do, unless
                // something blocks.
                let (over, stands) = channel::<()>();
                tokio::task::spawn_blocking(move || stands.recv().is_err());
                let listener = TcpListener::from_std(listener).unwrap();
                let clock = async {
                    while let Some((by, done)) = moved.recv().await {
                        tokio::time::advance(by).await;
                        let _ = done.send(());
                    }
                    std::future::pending().await
                };
                tokio::select! {
                    () = frontend.serve(listener, Sockets { inbound, spare, outbound: 1 }, closing) => drop(over),
                    () = clock => {}
                }
            });
        });
        Door {
            address,
            heard,
            close,
            moves,
            thread: Some(thread),
        }
    }

    /// Time goes by for the front, which may end with it.
    fn goes_by(&self, time: Duration) {
        let (done, is_done) = channel();
        if self.moves.send((time, done)).is_ok() {
            let is_done = is_done.recv_timeout(PATIENCE);
            assert_ne!(
                is_done,
                Err(RecvTimeoutError::Timeout),
                "the front's clock stands still"
            );
        }
    }

    fn open(inbound: usize, spare: usize) -> Door {
        Door::after(inbound, spare, |_, _| {})
    }

    fn client(&self) -> TcpStream {
        connect(self.address)
    }

    fn next(&mut self) -> Option<LoopMessage> {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.heard.try_recv() {
                Ok(heard) => return Some(heard),
                Err(_) if Instant::now() > end => return None,
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn held(&mut self) -> Client {
        match self.next() {
            Some(LoopMessage::Submitted {
                handle,
                request,
                response,
                ..
            }) => Client {
                handle,
                request,
                response,
            },
            other => panic!("no request is held: {other:?}"),
        }
    }

    fn left(&mut self, client: &Client) {
        match self.next() {
            Some(LoopMessage::Event(Event::ClientDisconnected { handle }))
                if handle == client.handle => {}
            other => panic!("its leaving is not noticed: {other:?}"),
        }
        // It is told of first, and then lets go.
        soon("an answer is waited for", || client.response.is_closed());
    }

    /// The front is told to close, and has ended.
    fn ended(&mut self) {
        // Where it has been told before, it may have ended.
        let _ = self.close.send(true);
        self.has_ended();
    }

    fn has_ended(&mut self) {
        let thread = self.thread.take().unwrap();
        soon("the front goes on", || thread.is_finished());
        thread.join().unwrap();
    }

    fn heard_nothing_more(&mut self) {
        let more = self.heard.try_recv();
        assert!(more.is_err(), "{more:?}");
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Waits until this holds.
fn soon(otherwise: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{otherwise}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// What the system knows of one side of a connection: its state, and bytes that the other side has
/// yet to take, and this one to read.
fn side(local: SocketAddr, remote: SocketAddr) -> Option<(u8, u32, u32)> {
    let name = |at: SocketAddr| format!("0100007F:{:04X}", at.port());
    let hex = |text: &str| u32::from_str_radix(text, 16).unwrap();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (out, come) = fields.get(4)?.split_once(':')?;
        (fields[1..3] == [name(local), name(remote)])
            .then(|| (hex(fields[3]) as u8, hex(out), hex(come)))
    })
}

/// Waits until the front has read all that was sent.
fn all_is_read(stream: &TcpStream) {
    let (ours, fronts) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    soon("the front does not read", || {
        matches!(
            (side(ours, fronts), side(fronts, ours)),
            (Some((_, 0, _)), Some((_, _, 0)))
        )
    });
}

/// Waits until the front has ended its sending, and reads nothing meanwhile.
fn is_closed_by_the_front(stream: &TcpStream) {
    const CLOSE_WAIT: u8 = 8;
    let (ours, fronts) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    soon("the front does not close", || {
        side(ours, fronts).is_some_and(|(state, ..)| state == CLOSE_WAIT)
    });
}

/// Waits until the front has ended its sending, whether or not there is room for what it has sent
/// last.
fn has_said_all(stream: &TcpStream) {
    const FIN_WAIT: [u8; 2] = [4, 5];
    let (ours, fronts) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    soon("the front says more", || {
        side(fronts, ours).is_some_and(|(state, ..)| FIN_WAIT.contains(&state))
    });
}

fn request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /rate-push/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 5000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

const CHUNKED: &str = "POST /rate-push/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";

/// All that comes up to the end, which has to be a clean one: a reset may take what came before it
/// along.
fn to_the_end(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let end = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(end.is_ok(), "after {text:?}: {end:?}");
    text
}

/// Waits until something has come, and leaves it unread.
fn something_came(stream: &TcpStream) {
    let came = stream.peek(&mut [0]);
    assert!(matches!(came, Ok(1)), "{came:?}");
}

fn says_busy(text: &str) {
    assert!(
        text.starts_with(BUSY) && text.contains("retry-after: "),
        "{text:?}"
    );
}

/// Sends as much as the other side takes, up to so many bytes.
fn pour(mut stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    (0..bytes >> 14).try_for_each(|_| stream.write_all(&[b'x'; 1 << 14]))
}

/// What is sent after our end of an answer is taken in and thrown away, so no reset comes back: one
/// that has, or comes for the first part, refuses a later one.
fn pour_all(stream: &TcpStream) {
    pour(stream, 1 << 20).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
}

// Guards against a job that is sent on for a client that has gone: with bytes unread behind its
// request the parser does not look for the end of the connection.
#[test]
fn a_client_that_has_sent_more_than_its_request_and_goes_has_left() {
    let behind = [
        // The same read brings both, and the parser keeps the rest.
        (format!("{CHUNKED}GET /-/ready HTTP/1.1\r\n\r\n"), ""),
        (CHUNKED.to_owned(), "POST /"),
        (request("t1", "x"), "POST /"),
        (request("t1", ""), "\0"),
    ];
    for (request, more) in behind {
        for goes in [Shutdown::Both, Shutdown::Write] {
            let mut door = Door::open(4, 1);
            let mut stream = door.client();
            stream.write_all(request.as_bytes()).unwrap();
            let client = door.held();
            stream.write_all(more.as_bytes()).unwrap();
            stream.shutdown(goes).unwrap();
            door.left(&client);
            door.ended();
            door.heard_nothing_more();
        }
    }
}

// Guards against the same where the connection is reset, and where clients leave in a burst.
#[test]
fn clients_that_reset_their_connections_in_a_burst_have_left() {
    let mut door = Door::open(64, 1);
    let streams: Vec<TcpStream> = (0..64).map(|_| door.client()).collect();
    let mut clients = Vec::new();
    for (n, mut stream) in streams.iter().enumerate() {
        stream
            .write_all(request(&format!("t{n}"), "x").as_bytes())
            .unwrap();
        clients.push(door.held());
    }
    for stream in streams {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    let mut left: Vec<RequestHandle> = (0..64)
        .map(|_| match door.next() {
            Some(LoopMessage::Event(Event::ClientDisconnected { handle })) => handle,
            other => panic!("{other:?}"),
        })
        .collect();
    left.sort();
    assert_eq!(left, clients.iter().map(|c| c.handle).collect::<Vec<_>>());
    door.ended();
}

// Guards against a client that floods behind its request: memory, the service of others, and its
// own end unseen.
#[test]
fn a_flood_behind_a_held_request_ends_its_connection_and_harms_no_other() {
    let mut door = Door::open(4, 1);
    let mut flooder = door.client();
    flooder.write_all(request("t1", "x").as_bytes()).unwrap();
    let first = door.held();
    let poured = std::thread::spawn(move || pour(&flooder, 64 << 20).is_err());
    let mut other = door.client();
    other.write_all(request("t2", "x").as_bytes()).unwrap();
    // Which of the two is heard of first is open: the flood ends as soon as it has filled what
    // there is room for.
    let mut told = [door.next(), door.next()];
    told.sort_by_key(|heard| matches!(heard, Some(LoopMessage::Event(_))));
    let [
        Some(LoopMessage::Submitted {
            request,
            response: second,
            ..
        }),
        Some(LoopMessage::Event(Event::ClientDisconnected { handle })),
    ] = told
    else {
        panic!("not a request and a leaving");
    };
    assert_eq!((request.job.id.as_str(), handle), ("t2", first.handle));
    second.send(ClientResponse::Served("2".into())).unwrap();
    let mut response = [0; 12];
    other.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"HTTP/1.1 200");
    assert!(poured.join().unwrap(), "all of it was taken in");
}

// Guards against what came while a request was held being taken for the next one, and against a
// close over what of it is unread taking the answer along.
#[test]
fn what_comes_behind_a_held_request_is_thrown_away_and_its_answer_can_be_read() {
    let mut door = Door::open(4, 1);
    let mut stream = door.client();
    stream.write_all(request("t1", "x").as_bytes()).unwrap();
    let client = door.held();
    stream.write_all(request("t2", "x").as_bytes()).unwrap();
    pour(&stream, 1 << 20).unwrap();
    // What has come by then was sent while the request was held; what is read later may be the next
    // one.
    all_is_read(&stream);
    client
        .response
        .send(ClientResponse::Served("1".into()))
        .unwrap();
    something_came(&stream);
    pour_all(&stream);
    let response = to_the_end(&stream);
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\n1"),
        "{response:?}"
    );
    assert!(response.contains("connection: close"), "{response:?}");
    door.ended();
    door.heard_nothing_more();
}

// Guards against a busy answer at the door that a reset takes along, as its request comes after the
// close.
#[test]
fn whoever_is_turned_away_can_read_the_busy_answer_whenever_its_request_comes() {
    // One is served, four have room for a busy answer, and three have none: they come before any of
    // the others has been silent for so long that it makes room.
    let mut streams = Vec::new();
    let mut door = Door::after(1, 4, |address, _| {
        streams.extend((0..8).map(|_| connect(address)))
    });
    for stream in &streams[5..] {
        something_came(stream);
        let mut sender = stream;
        sender.write_all(request("t1", "x").as_bytes()).unwrap();
        pour_all(stream);
        says_busy(&to_the_end(stream));
    }
    drop(streams);
    door.ended();
    door.heard_nothing_more();
}

// Guards against half a request that is closed without a word, to make room or for our patience,
// and against a last word that a reset takes along.
#[test]
fn half_a_request_gets_a_last_word_that_can_be_read_whoever_ends_it() {
    let mut door = Door::open(1, 64);
    let half = request("t1", "xx");
    let half = &half[..half.len() - 1];
    for head in [half, "POST /rate-push/k HTTP/1.1\r\nX-Txn", "P"] {
        // Patience ends with it.
        let slow = door.client();
        (&slow).write_all(head.as_bytes()).unwrap();
        all_is_read(&slow);
        door.goes_by(REQUEST);
        something_came(&slow);
        pour_all(&slow);
        let text = to_the_end(&slow);
        assert!(text.starts_with("HTTP/1.1 408 "), "{head:?}: {text:?}");
    }
    // Room is made: it has held no whole request for long.
    let evicted = door.client();
    (&evicted).write_all(half.as_bytes()).unwrap();
    let mut others = Vec::new();
    let end = Instant::now() + PATIENCE;
    while evicted.set_nonblocking(true).is_ok() && evicted.peek(&mut [0]).is_err() {
        assert!(Instant::now() < end, "no room is made");
        door.goes_by(Duration::from_millis(20));
        others.push(door.client());
        std::thread::sleep(Duration::from_millis(1));
    }
    evicted.set_nonblocking(false).unwrap();
    pour_all(&evicted);
    says_busy(&to_the_end(&evicted));
    drop(others);
    door.ended();
    door.heard_nothing_more();
}

// Guards against clients whose connections the system has accepted for us and that are reset with
// the listener.
#[test]
fn connections_that_wait_to_be_accepted_at_the_close_get_a_busy_answer() {
    let mut streams = Vec::new();
    let mut door = Door::after(4, 64, |address, close| {
        streams.extend((0..32).map(|_| connect(address)));
        for (n, mut stream) in streams.iter().enumerate().filter(|(n, _)| n % 2 == 0) {
            stream
                .write_all(request(&format!("t{n}"), "x").as_bytes())
                .unwrap();
        }
        close.send(true).unwrap();
    });
    for (n, mut stream) in streams.iter().enumerate() {
        something_came(stream);
        if n % 2 == 1 {
            stream
                .write_all(request(&format!("t{n}"), "x").as_bytes())
                .unwrap();
        }
        pour_all(stream);
        says_busy(&to_the_end(stream));
    }
    door.ended();
    door.heard_nothing_more();
}

// Guards against a request that is read after the end of our sending and sent on, against half a
// one that is lost with its connection, and against an answer that is cut short, all at the moment
// of the close.
#[test]
fn at_the_close_each_connection_has_what_it_is_owed() {
    let mut door = Door::open(8, 2);
    let [resting, mut half, mut waiting, new] = [(); 4].map(|()| door.client());
    (&resting)
        .write_all(b"GET /-/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    something_came(&resting);
    let text = request("t2", "xx");
    half.write_all(&text.as_bytes()[..text.len() - 1]).unwrap();
    waiting.write_all(request("t1", "x").as_bytes()).unwrap();
    let first = door.held();
    door.close.send(true).unwrap();
    // The one that rests: our sending ends, and what comes after is not sent on.
    let mut response = vec![0; "HTTP/1.1 200".len()];
    (&resting).read_exact(&mut response).unwrap();
    let rest = std::thread::spawn(move || {
        let rest = to_the_end(&resting);
        (&resting).write_all(request("t9", "x").as_bytes()).unwrap();
        pour_all(&resting);
        rest
    });
    // The new one is told to come back.
    something_came(&new);
    (&new).write_all(request("t8", "x").as_bytes()).unwrap();
    pour_all(&new);
    says_busy(&to_the_end(&new));
    // The rest of the half one comes after the close: it is owed an answer, and has one.
    half.write_all(&text.as_bytes()[text.len() - 1..]).unwrap();
    let second = door.held();
    assert_eq!(second.request.job.id, "t2");
    let large = "y".repeat(60 << 10);
    second
        .response
        .send(ClientResponse::Served(large.clone().into()))
        .unwrap();
    let text = to_the_end(&half);
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(&large));
    first
        .response
        .send(ClientResponse::Failed(
            pumiceway_core::Failure::DispatcherEnded,
        ))
        .unwrap();
    assert!(to_the_end(&waiting).starts_with("HTTP/1.1 502"));
    assert!(rest.join().unwrap().ends_with("\r\n\r\n"));
    drop((waiting, half, new));
    door.ended();
    door.heard_nothing_more();
}

// Guards against an end that waits for a client which keeps its connection open, and never reads
// nor closes.
#[test]
fn a_client_that_never_closes_holds_up_the_close_for_a_bounded_time() {
    let mut door = Door::open(8, 2);
    let streams = [(); 3].map(|()| door.client());
    for stream in &streams {
        (&*stream)
            .write_all(b"GET /-/ready HTTP/1.1\r\n\r\n")
            .unwrap();
        something_came(stream);
    }
    door.close.send(true).unwrap();
    streams.iter().for_each(is_closed_by_the_front);
    door.goes_by(Duration::from_millis(1_500));
    door.has_ended();
    let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
    for mut stream in streams {
        let end = stream.read_to_end(&mut Vec::new());
        assert!(end.is_ok() || end.as_ref().is_err_and(reset), "{end:?}");
    }
}

/// The systems' buffers on both sides, as small as they get.
const SMALL: usize = 4 << 10;
/// The largest result.
const RESULT: usize = 64 << 10;

/// A front whose answers hardly fit into the systems' buffers.
fn narrow() -> Door {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // What is accepted has the same.
    socket2::SockRef::from(&listener)
        .set_send_buffer_size(SMALL)
        .unwrap();
    Door::on(listener, 8, 2, |_, _| {})
}

/// A client that takes little in before it reads.
fn narrow_client(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// A client whose answer is half written: it has the head, and the systems hold less than the rest.
fn half_answered(door: &mut Door, id: &str, result: &str) -> TcpStream {
    let mut stream = narrow_client(door.address);
    stream.write_all(request(id, "x").as_bytes()).unwrap();
    let client = door.held();
    client
        .response
        .send(ClientResponse::Served(result.to_owned().into()))
        .unwrap();
    something_came(&stream);
    stream
}

/// When a client stops reading for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rests {
    Never,
    /// Longer than an end is waited for, with the answer half written.
    First,
    /// Up to the end of the front, with the end of the answer in the systems' buffers.
    Last,
}

// Guards against the end of an answer that is lost as the process stops while its client is still
// reading.
#[test]
fn an_answer_that_is_half_written_at_the_close_arrives_whole() {
    let result = "y".repeat(RESULT - 1) + "z";
    for rests in [Rests::Never, Rests::First, Rests::Last] {
        let mut door = narrow();
        let mut stream = half_answered(&mut door, "t1", &result);
        door.close.send(true).unwrap();
        // The front has taken in that it is to close when whoever comes is refused.
        let told = Instant::now();
        while TcpStream::connect(door.address).is_ok() {
            assert!(told.elapsed() < PATIENCE, "it doesn't close");
            std::thread::sleep(Duration::from_millis(1));
        }
        if rests == Rests::First {
            door.goes_by(Duration::from_millis(1_300));
            door.goes_by(Duration::ZERO);
            assert!(
                !door.thread.as_ref().unwrap().is_finished(),
                "it ended with an answer half written"
            );
        }
        let (mut text, mut part) = (Vec::new(), [0; 512]);
        loop {
            if rests == Rests::Last && text.len() >= RESULT - 1_024 && door.thread.is_some() {
                has_said_all(&stream);
                door.goes_by(Duration::from_millis(1_100));
                door.has_ended();
            }
            match stream.read(&mut part) {
                Ok(0) => break,
                Ok(n) => text.extend_from_slice(&part[..n]),
                Err(e) => panic!("{rests:?}: after {} bytes: {e}", text.len()),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let text = String::from_utf8(text).unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{rests:?}: {text:.100}");
        assert!(
            text.ends_with(&format!("\r\n\r\n{result}")),
            "{rests:?}: {} bytes",
            text.len()
        );
        drop(stream);
        if door.thread.is_some() {
            door.has_ended();
        }
        door.heard_nothing_more();
    }
}

// Guards against a client that never reads its answer holding up the end, or the answers of others
// at the close.
#[test]
fn a_client_that_never_reads_its_answer_holds_up_the_close_for_a_bounded_time() {
    let result = "y".repeat(RESULT);
    let mut door = narrow();
    let silent = half_answered(&mut door, "t1", &result);
    let mut reads = narrow_client(door.address);
    reads.write_all(request("t2", "x").as_bytes()).unwrap();
    let other = door.held();
    door.close.send(true).unwrap();
    other
        .response
        .send(ClientResponse::Served("2".into()))
        .unwrap();
    assert!(to_the_end(&reads).ends_with("\r\n\r\n2"));
    drop(reads);
    // Ten seconds for an answer, one for its end.
    for (time, ends) in [(9_900, false), (200, false), (700, false), (400, true)] {
        door.goes_by(Duration::from_millis(time));
        door.goes_by(Duration::ZERO);
        assert!(
            ends || !door.thread.as_ref().unwrap().is_finished(),
            "too soon: {time}"
        );
    }
    door.has_ended();
    drop(silent);
}
