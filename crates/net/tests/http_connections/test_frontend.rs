//! An HTTP frontend without a core, which runs on a thread of its own with a paused clock.

use crate::sockets::{READINESS_REQUEST, TEST_TIMEOUT, connect, read_head, wait_until};
use pumiceway_core::{ClientRequest, ClientResponse, Event, RequestHandle};
use pumiceway_memory::MemoryBudget;
use pumiceway_net::config::SocketBudget;
use pumiceway_net::frontend::http::HttpFrontend;
use pumiceway_net::frontend::{CloseSignal, EventSender, FrontendState, LoopMessage};
use pumiceway_test_support::SETTINGS;
use std::cell::Cell;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// How long after it is closed the frontend must have answered all requests that have begun.
pub const RESPOND_WITHIN: Duration = Duration::from_millis(1_400);

/// The memory budget of a frontend, which it never exhausts.
const MEMORY_BYTES: usize = 64 << 20;

/// Closes the frontend.
pub struct CloseSender(watch::Sender<FrontendState>);

impl CloseSender {
    /// Closes the frontend at this time of its clock.
    pub fn close_at(&self, now: tokio::time::Instant) {
        let respond_by = now + RESPOND_WITHIN;
        // Sending fails if the frontend has already ended.
        let _ = self.0.send(FrontendState::Closing { respond_by });
    }
}

/// A frontend whose messages to the event loop are received by the test.
pub struct TestFrontend {
    pub address: SocketAddr,
    close: CloseSender,
    /// The time of the frontend's clock.
    now: Cell<tokio::time::Instant>,
    /// `None` once the frontend has ended.
    pub thread: Option<JoinHandle<()>>,
    messages: mpsc::UnboundedReceiver<LoopMessage>,
    commands: mpsc::UnboundedSender<Command>,
}

/// A command to the thread of the frontend.
enum Command {
    AdvanceClock {
        by: Duration,
        done: Sender<()>,
    },
    /// Stop until the sender of `end` is dropped.
    Stall {
        begun: Sender<()>,
        end: std::sync::mpsc::Receiver<()>,
    },
}

/// A request that was submitted to the core.
pub struct SubmittedRequest {
    pub handle: RequestHandle,
    pub request: ClientRequest,
    pub response: oneshot::Sender<ClientResponse>,
}

impl SubmittedRequest {
    /// Serves the request with this result.
    pub fn serve(self, result: &'static str) {
        let served = ClientResponse::Served(result.into());
        self.response.send(served).unwrap();
    }
}

impl TestFrontend {
    /// Starts a frontend with these numbers of permits.
    pub fn start(inbound: usize, spare: usize) -> TestFrontend {
        TestFrontend::start_after(inbound, spare, |_, _| {})
    }

    /// Like [`start`](Self::start), but accepts no connection until `before` has returned.
    pub fn start_after(
        inbound: usize,
        spare: usize,
        before: impl FnOnce(SocketAddr, &CloseSender),
    ) -> TestFrontend {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        TestFrontend::start_on(listener, inbound, spare, before)
    }

    /// Like [`start_after`](Self::start_after), with a listener that the test has created.
    pub fn start_on(
        listener: std::net::TcpListener,
        inbound: usize,
        spare: usize,
        before: impl FnOnce(SocketAddr, &CloseSender),
    ) -> TestFrontend {
        TestFrontend::start_with(SETTINGS, listener, inbound, spare, before)
    }

    /// Like [`start_on`](Self::start_on), with other settings than [`SETTINGS`].
    pub fn start_with(
        settings: &str,
        listener: std::net::TcpListener,
        inbound: usize,
        spare: usize,
        before: impl FnOnce(SocketAddr, &CloseSender),
    ) -> TestFrontend {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (close, closing) = watch::channel(FrontendState::Open);
        let close = CloseSender(close);
        let (events, messages) = EventSender::new();
        before(address, &close);
        let frontend = HttpFrontend {
            events,
            settings: Arc::new(serde_json::from_str(settings).unwrap()),
            ready: Arc::new(AtomicBool::new(true)),
            memory: MemoryBudget::new(MEMORY_BYTES),
        };
        let sockets = SocketBudget {
            inbound,
            spare,
            outbound: 1,
        };
        let (commands, received_commands) = mpsc::unbounded_channel();
        let (started, start_time) = channel();
        let thread = std::thread::spawn(move || {
            run(
                frontend,
                listener,
                sockets,
                closing,
                received_commands,
                &started,
            );
        });
        TestFrontend {
            address,
            close,
            now: Cell::new(start_time.recv().unwrap()),
            thread: Some(thread),
            messages,
            commands,
        }
    }

    /// Advances the frontend's clock. The frontend may end as a result.
    pub fn advance_clock(&self, by: Duration) {
        self.now.set(self.now.get() + by);
        let (done, is_done) = channel();
        if self
            .commands
            .send(Command::AdvanceClock { by, done })
            .is_ok()
        {
            let is_done = is_done.recv_timeout(TEST_TIMEOUT);
            assert_ne!(
                is_done,
                Err(RecvTimeoutError::Timeout),
                "the frontend's clock does not advance"
            );
        }
    }

    /// Stalls the frontend while `during` runs, and then advances its clock before it finds anything
    /// else of what has happened meanwhile.
    pub fn stall_and_advance_clock(&self, by: Duration, during: impl FnOnce()) {
        let (done, is_done) = channel();
        self.now.set(self.now.get() + by);
        self.stall(|| {
            assert!(
                self.commands
                    .send(Command::AdvanceClock { by, done })
                    .is_ok()
            );
            during();
        });
        is_done.recv_timeout(TEST_TIMEOUT).unwrap();
    }

    /// Stalls the frontend while `during` runs. Afterwards the frontend finds all that has happened
    /// meanwhile at once, in the order in which it happened.
    pub fn stall(&self, during: impl FnOnce()) {
        let (begun, has_begun) = channel();
        let (stalled, end) = channel();
        assert!(self.commands.send(Command::Stall { begun, end }).is_ok());
        has_begun.recv_timeout(TEST_TIMEOUT).unwrap();
        during();
        drop(stalled);
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    /// Connects, and sends a readiness request first if the connection is to be a kept one.
    pub fn connect_as(&self, is_kept: bool) -> TcpStream {
        let mut stream = self.connect();
        if is_kept {
            stream.write_all(READINESS_REQUEST).unwrap();
            read_head(&stream);
        }
        stream
    }

    /// Waits for the next message to the event loop. Returns `None` on a timeout.
    pub fn next_message(&mut self) -> Option<LoopMessage> {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.messages.try_recv() {
                Ok(message) => return Some(message),
                Err(_) if Instant::now() > end => return None,
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Waits for a request to be submitted.
    pub fn next_request(&mut self) -> SubmittedRequest {
        match self.next_message() {
            Some(LoopMessage::Submitted {
                handle,
                request,
                response,
                ..
            }) => SubmittedRequest {
                handle,
                request,
                response,
            },
            other => panic!("no request was submitted: {other:?}"),
        }
    }

    /// Waits for the event that the client of a request has disconnected.
    pub fn expect_disconnected(&mut self, submitted: &SubmittedRequest) {
        match self.next_message() {
            Some(LoopMessage::Event(Event::ClientDisconnected { handle }))
                if handle == submitted.handle => {}
            other => panic!("the disconnect was not reported: {other:?}"),
        }
        // The frontend sends the event before it drops the receiver.
        wait_until("the frontend still waits for a response", || {
            submitted.response.is_closed()
        });
    }

    pub fn expect_no_message(&mut self) {
        let message = self.messages.try_recv();
        assert!(message.is_err(), "{message:?}");
    }

    /// Closes the frontend.
    pub fn close(&self) {
        self.close.close_at(self.now.get());
    }

    /// Closes the frontend, and waits until it has ended.
    pub fn shut_down(&mut self) {
        self.close();
        self.wait_for_end();
    }

    pub fn wait_for_end(&mut self) {
        let thread = self.thread.take().unwrap();
        wait_until("the frontend does not end", || thread.is_finished());
        thread.join().unwrap();
    }
}

fn run(
    frontend: HttpFrontend,
    listener: std::net::TcpListener,
    sockets: SocketBudget,
    closing: CloseSignal,
    mut commands: mpsc::UnboundedReceiver<Command>,
    started: &Sender<tokio::time::Instant>,
) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().unwrap();
    runtime.block_on(async {
        started.send(tokio::time::Instant::now()).unwrap();
        // While the runtime is idle, tokio advances a paused clock to the next timer unless a
        // blocking task is running.
        let (ended, keep_paused) = channel::<()>();
        tokio::task::spawn_blocking(move || keep_paused.recv().is_err());
        let listener = TcpListener::from_std(listener).unwrap();
        let clock = async {
            while let Some(command) = commands.recv().await {
                match command {
                    Command::AdvanceClock { by, done } => {
                        tokio::time::advance(by).await;
                        let _ = done.send(());
                    }
                    Command::Stall { begun, end } => {
                        begun.send(()).unwrap();
                        // Ends with an error when the sender is dropped.
                        let _ = end.recv();
                    }
                }
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = frontend.serve(listener, sockets, closing) => drop(ended),
            () = clock => {}
        }
    });
}
