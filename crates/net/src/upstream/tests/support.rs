//! Support for the tests of the upstream client: scripted endpoints, observers and responses.

use crate::upstream::{
    AttemptConnection, AttemptObserver, AttemptOptions, PoolSettings, UpstreamClient,
};
use bytes::Bytes;
use pumiceway_core::{AttemptOutcome, AttemptUpdate, Job};
use pumiceway_decisions::api::LoadReport;
use pumiceway_memory::MemoryBudget;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, mpsc};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// Keeps a failing test from hanging; long enough for a busy machine.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper bound of the bytes that the socket buffers of both ends may hold.
pub(super) const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// The memory budget of a client, which it never exhausts.
const MEMORY_BYTES: usize = 64 << 20;

/// Pool settings without short timeouts.
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

/// A client with a socket limit of its own, which it never reaches.
pub(super) fn client_with(address: &str, pool: PoolSettings) -> UpstreamClient {
    UpstreamClient::new(
        address,
        pool,
        &Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
        &MemoryBudget::new(MEMORY_BYTES),
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
        unique_id: None,
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

/// Yields until all ready tasks have run and data that was sent over loopback has arrived.
pub(super) async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

/// Polls a future once without running any other task. Returns whether it is ready.
pub(super) async fn poll_once<F: Future>(future: &mut Pin<&mut F>) -> bool {
    let mut is_ready = false;
    std::future::poll_fn(|cx| {
        is_ready = future.as_mut().poll(cx).is_ready();
        Poll::Ready(())
    })
    .await;
    is_ready
}

/// The outcome of an attempt, and the load report that came with it.
pub(super) type End = (AttemptOutcome, Option<LoadReport>);

/// The end of an attempt whose response was [`completed`] with this id.
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

/// Records the updates and outcomes of an attempt.
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

/// An attempt that runs in a task of its own.
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
            .expect("the attempt does not end")
            .unwrap();
        let end = self.ends.try_recv().unwrap();
        assert!(self.ends.try_recv().is_err(), "more than one outcome");
        end
    }
}

/// An endpoint that runs on a thread of the test. It pauses at each step until the test resumes it.
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

    /// Notifies the test that a step was reached, and waits until the test resumes the endpoint.
    pub(super) fn pause_at(&self, step: &'static str) {
        self.steps.send(step).unwrap();
        self.resumed.recv_timeout(TEST_TIMEOUT).unwrap();
    }
}

impl EndpointControl {
    /// Waits until the endpoint pauses at this step.
    pub(super) async fn wait_for(&mut self, step: &str) {
        assert_eq!(
            timeout(TEST_TIMEOUT, self.steps.recv())
                .await
                .unwrap_or(Some("nothing")),
            Some(step)
        );
    }

    /// Like [`wait_for`](Self::wait_for), but blocks the thread, so that the runtime polls no
    /// socket meanwhile.
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

    /// Resumes the endpoint after a step.
    pub(super) fn resume(&self) {
        self.resume.send(()).unwrap();
    }
}

/// A listener that cannot establish further connections, and the connection that fills its backlog.
/// The kernel of a connecting client retransmits its SYN after one second.
pub(super) fn listener_with_full_backlog() -> (TcpListener, TcpStream) {
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

/// Reads a request including its body. Returns the head.
pub(super) fn read_request(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "connection closed after {:?}",
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

/// Reads until the connection is closed or reset.
pub(super) fn read_rest(mut stream: TcpStream) -> String {
    let mut rest = Vec::new();
    // A reset ends the connection as well.
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    String::from_utf8_lossy(&rest).into_owned()
}

/// Writes `first`, and then `repeated` over and over until the connection is closed. Returns the
/// number of bytes passed to the socket.
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

/// A complete response, after which the connection can be reused at once.
pub(super) fn response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A complete response for a completed job. The result is the id.
pub(super) fn completed(id: &str) -> String {
    response(
        "200 OK",
        &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{id}\"}}\n"),
    )
}

/// A chunk of a body with chunked transfer encoding.
pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
