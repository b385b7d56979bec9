//! An endpoint that a test plays step by step, and what the tests of this folder share.

use crate::upstream::{
    AttemptConnection, AttemptObserver, AttemptOptions, PoolSettings, UpstreamClient,
};
use bytes::Bytes;
use pumiceway_core::{AttemptOutcome, AttemptUpdate, Job};
use pumiceway_decisions::api::LoadReport;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, mpsc};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// Only keeps tests from hanging, on a machine that may be busy.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes that the sockets on both sides may buffer.
pub(super) const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// A pool without short timeouts.
pub(super) const POOL: PoolSettings = PoolSettings {
    connect_timeout: TEST_TIMEOUT,
    idle_timeout: TEST_TIMEOUT,
    health_check_timeout: TEST_TIMEOUT,
    max_idle_connections: 2,
};

/// The head of a chunked response.
pub(super) const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(super) const INTERIM_RESPONSES: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
];

pub(super) fn client(address: &str) -> UpstreamClient {
    client_with(address, POOL)
}

/// A client that shares its sockets with no other.
pub(super) fn client_with(address: &str, pool: PoolSettings) -> UpstreamClient {
    UpstreamClient::new(
        address,
        pool,
        &Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
    )
}

pub(super) fn options(remaining: Duration) -> AttemptOptions {
    AttemptOptions {
        remaining,
        dedicated_connection: false,
        write_by: None,
    }
}

pub(super) fn job(id: &str, body_bytes: usize) -> Job {
    Job {
        id: id.into(),
        path: "/c".into(),
        idempotency_key: None,
        body: vec![b'x'; body_bytes].into(),
    }
}

pub(super) fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Lets every task run that has something to do. What was sent on loopback has arrived by then.
pub(super) async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

/// Polls once, as the runtime would, and lets no other task run. Returns whether it is ready.
pub(super) async fn poll_once<F: Future>(future: &mut Pin<&mut F>) -> bool {
    let mut is_ready = false;
    std::future::poll_fn(|cx| {
        is_ready = future.as_mut().poll(cx).is_ready();
        Poll::Ready(())
    })
    .await;
    is_ready
}

/// How an attempt ended.
pub(super) type End = (AttemptOutcome, Option<LoadReport>);

/// The end of an attempt whose response was [`completed`].
pub(super) fn served(id: &'static str) -> End {
    (AttemptOutcome::Served(Bytes::from(id)), None)
}

/// Sends the end of an attempt to the test.
pub(super) struct EndSender(pub(super) mpsc::Sender<End>);

impl AttemptObserver for EndSender {
    fn updated(&self, _: AttemptUpdate) {}

    fn ended(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.0.send((outcome, report)).unwrap();
    }
}

/// Records what is reported of an attempt.
#[derive(Clone, Default)]
pub(super) struct RecordingObserver {
    updates: Arc<Mutex<Vec<AttemptUpdate>>>,
    outcomes: Arc<Mutex<Vec<AttemptOutcome>>>,
}

impl RecordingObserver {
    pub(super) fn updates(&self) -> Vec<AttemptUpdate> {
        self.updates.lock().unwrap().clone()
    }

    pub(super) fn outcomes(&self) -> Vec<AttemptOutcome> {
        self.outcomes.lock().unwrap().clone()
    }
}

impl AttemptObserver for RecordingObserver {
    fn updated(&self, update: AttemptUpdate) {
        self.updates.lock().unwrap().push(update);
    }

    fn ended(&mut self, outcome: AttemptOutcome, _: Option<LoadReport>) {
        self.outcomes.lock().unwrap().push(outcome);
    }
}

/// An attempt in a task of its own.
pub(super) struct RunningAttempt {
    pub(super) connection: AttemptConnection,
    pub(super) ends: mpsc::Receiver<End>,
    pub(super) task: tokio::task::JoinHandle<()>,
}

impl RunningAttempt {
    pub(super) fn start(client: &UpstreamClient, job: &Job) -> RunningAttempt {
        let (sender, ends) = mpsc::channel();
        let (connection, attempt) = client
            .attempt(job, options(TEST_TIMEOUT), EndSender(sender))
            .unwrap();
        RunningAttempt {
            connection,
            ends,
            task: tokio::spawn(attempt),
        }
    }

    pub(super) async fn end(self) -> End {
        timeout(TEST_TIMEOUT, self.task)
            .await
            .expect("no end")
            .unwrap();
        let end = self.ends.try_recv().unwrap();
        assert!(self.ends.try_recv().is_err(), "two ends");
        end
    }
}

/// An endpoint that a thread of the test plays. At each step it waits until the test lets it go on.
pub(super) struct ScriptedEndpoint {
    listener: TcpListener,
    steps: UnboundedSender<&'static str>,
    resumed: mpsc::Receiver<()>,
}

/// The test's side of a [`ScriptedEndpoint`].
pub(super) struct EndpointControl {
    pub(super) address: String,
    pub(super) steps: UnboundedReceiver<&'static str>,
    resume: mpsc::Sender<()>,
}

pub(super) fn scripted_endpoint() -> (ScriptedEndpoint, EndpointControl) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (step_sender, steps) = unbounded_channel();
    let (resume, resumed) = mpsc::channel();
    let endpoint = ScriptedEndpoint {
        listener,
        steps: step_sender,
        resumed,
    };
    let control = EndpointControl {
        address,
        steps,
        resume,
    };
    (endpoint, control)
}

impl ScriptedEndpoint {
    pub(super) fn accept(&self) -> TcpStream {
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Reports that a step is reached, and waits for the test.
    pub(super) fn pause_at(&self, step: &'static str) {
        self.steps.send(step).unwrap();
        self.resumed.recv_timeout(TEST_TIMEOUT).unwrap();
    }
}

impl EndpointControl {
    /// Waits until the endpoint has reached this step.
    pub(super) async fn wait_for(&mut self, step: &str) {
        assert_eq!(
            timeout(TEST_TIMEOUT, self.steps.recv())
                .await
                .unwrap_or(Some("nothing")),
            Some(step)
        );
    }

    /// The same, but the runtime sees no event of a socket meanwhile.
    pub(super) fn block_until(&mut self, step: &str) {
        let limit = std::time::Instant::now() + TEST_TIMEOUT;
        let reached = loop {
            match self.steps.try_recv() {
                Ok(reached) => break reached,
                Err(_) => assert!(std::time::Instant::now() < limit, "no step reached"),
            }
            std::thread::yield_now();
        };
        assert_eq!(reached, step);
    }

    /// Lets the endpoint go on.
    pub(super) fn resume(&self) {
        self.resume.send(()).unwrap();
    }
}

/// A listener whose connections do not come up, and the one connection that fills its queue. The
/// kernel tries again a second later.
pub(super) fn full_listener() -> (TcpListener, TcpStream) {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, filler)
}

/// Reads a request up to the end of its body. Returns its head.
pub(super) fn read_request(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "closed; so far {:?}",
            String::from_utf8_lossy(&head)
        );
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).unwrap();
    head
}

/// Reads up to the end of the connection.
pub(super) fn read_rest(mut stream: TcpStream) -> String {
    let mut rest = Vec::new();
    // A reset is an end as well.
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    String::from_utf8_lossy(&rest).into_owned()
}

/// Writes one text, and then the other again and again until the connection is closed. Returns how
/// many bytes went out.
pub(super) fn flood(stream: &mut TcpStream, first: &str, repeated: &str) -> usize {
    let repeated = repeated.repeat(1 + (16 << 10) / repeated.len());
    let mut bytes = first.len();
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    while is_open {
        bytes += repeated.len();
        is_open = stream.write_all(repeated.as_bytes()).is_ok();
    }
    bytes
}

/// A whole response, after which its connection can be reused at once.
pub(super) fn response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A whole response that says that the job is done; its result is the id.
pub(super) fn completed(id: &str) -> String {
    response(
        "200 OK",
        &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{id}\"}}\n"),
    )
}

pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
