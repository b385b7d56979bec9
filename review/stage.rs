//! Stand-ins for the clients, the workers and the platform around real dispatcher processes.
//! Only the standard library is used. `review/build.sh` compiles this file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case that takes longer than this could not run.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------------------------------------
// The record, and the end of a run.

/// What was sent, answered and run; each line starts with the seconds since the start.
struct Record {
    started_at: Instant,
    /// `None` once the verdict is written.
    file: Mutex<Option<File>>,
}

impl Record {
    fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        if let Some(file) = lock(&self.file).as_mut() {
            let _ = writeln!(file, "{seconds:9.4} {}", text.as_ref());
        }
    }
}

/// The processes that this run has started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static WORK_FOLDER: OnceLock<PathBuf> = OnceLock::new();

fn end(code: i32) -> ! {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = WORK_FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    exit(code)
}

/// Ends the run as one that could not be carried out.
fn cannot_run(reason: impl AsRef<str>) -> ! {
    eprintln!("the case could not run: {}", reason.as_ref());
    end(2)
}

struct Stage {
    record: Record,
    root: PathBuf,
    work: PathBuf,
    trouble: bool,
}

impl Stage {
    fn new(case: &Path) -> Arc<Stage> {
        let root = case.join("../..").canonicalize().unwrap_or_else(|e| cannot_run(e.to_string()));
        let file = File::create(case.join("record.txt")).unwrap_or_else(|e| cannot_run(e.to_string()));
        let work = std::env::temp_dir().join(format!("pumiceway-review-{}", std::process::id()));
        std::fs::create_dir_all(&work).unwrap_or_else(|e| cannot_run(e.to_string()));
        let _ = WORK_FOLDER.set(work.clone());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        spawn(|| {
            sleep(TIME_LIMIT);
            cannot_run("it took too long");
        });
        Arc::new(Stage {
            record: Record { started_at: Instant::now(), file: Mutex::new(Some(file)) },
            root,
            work,
            trouble,
        })
    }

    fn log(&self, text: impl AsRef<str>) {
        self.record.line(text);
    }


    fn verdict(&self, broken: bool, text: &str) -> ! {
        let word = if broken { "BROKEN" } else { "held" };
        self.log(format!("verdict: {word}: {text}"));
        lock(&self.record.file).take();
        println!("{word}: {text}");
        end(i32::from(broken))
    }

    /// The command that starts a dispatcher, as the deploy file has it.
    fn run_command(&self) -> String {
        let file = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(e.to_string()));
        let line = file.lines().find_map(|line| line.strip_prefix("run = \""));
        line.and_then(|line| line.strip_suffix('"'))
            .unwrap_or_else(|| cannot_run("no run in deploy/balancer.toml"))
            .to_owned()
    }

    /// Starts a dispatcher and waits until it is ready.
    fn start_dispatcher(self: &Arc<Stage>, setup: &DispatcherSetup) -> Dispatcher {
        let dispatcher = Dispatcher {
            stage: self.clone(),
            name: setup.name.clone(),
            address: setup.listen.clone(),
            config: self.work.join(format!("{}.json", setup.name)),
            setup: setup.clone(),
            pid: Mutex::new(0),
        };
        dispatcher.write_config(&setup.discovery);
        dispatcher.launch();
        dispatcher.wait_until_ready();
        dispatcher
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e.to_string()));
    listener.local_addr().map_or(0, |address| address.port())
}

// ---------------------------------------------------------------------------------------------
// A dispatcher process.

#[derive(Clone)]
struct DispatcherSetup {
    name: String,
    listen: String,
    discovery: String,
    known: String,
    settings: String,
    memory_mb: u64,
    sockets: u64,
}

struct Dispatcher {
    stage: Arc<Stage>,
    name: String,
    address: String,
    config: PathBuf,
    setup: DispatcherSetup,
    pid: Mutex<u32>,
}

impl Dispatcher {
    fn write_config(&self, discovery: &str) {
        let DispatcherSetup { name, listen, known, settings, memory_mb, sockets, .. } = &self.setup;
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&self.config, text).unwrap_or_else(|e| cannot_run(e.to_string()));
    }

    fn launch(&self) {
        let log = File::create(self.stage.work.join(format!("{}.log", self.name)));
        let log = log.map_or(Stdio::null(), Stdio::from);
        let command = self.stage.run_command();
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&self.stage.root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", &self.address)
            .env("ROUTER_DISCOVERY", &self.setup.discovery)
            .env("ROUTER_CONFIG", &self.config)
            .env("TMPDIR", &self.stage.work)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(e.to_string()));
        *lock(&self.pid) = child.id();
        self.stage.log(format!("dispatcher {} started", self.name));
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.stage.work.join("pids"));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        lock(&CHILDREN).push(child);
    }

    fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while started_at.elapsed() < ms(20_000) {
            if let Ok(mut stream) = TcpStream::connect(&self.address) {
                let _ = stream.set_read_timeout(Some(ms(1_000)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
                let mut head = [0; 12];
                if stream.read_exact(&mut head).is_ok() && head.ends_with(b"200") {
                    self.stage.log(format!("dispatcher {} is ready", self.name));
                    return;
                }
            }
            sleep(ms(20));
        }
        cannot_run(format!("{} is not ready", self.name))
    }

    fn signal(&self, name: &str) {
        self.stage.log(format!("dispatcher {} gets {name}", self.name));
        let pid = lock(&self.pid).to_string();
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1 messages.

struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A connection with a buffer for what has been read ahead.
struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        let _ = stream.set_nodelay(true);
        Peer { stream, buffer: Vec::new() }
    }

    fn connect(address: &str) -> io::Result<Peer> {
        TcpStream::connect(address).map(Peer::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_message(&mut self) -> io::Result<Message> {
        let first_line = self.read_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message { first_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            loop {
                let length = usize::from_str_radix(&self.read_line()?, 16).unwrap_or(0);
                let chunk = self.read_bytes(length)?;
                self.read_line()?;
                if length == 0 {
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok());
            message.body = self.read_bytes(length.unwrap_or(0))?;
        }
        Ok(message)
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn send_chunk(&mut self, text: &str) -> io::Result<()> {
        self.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}

/// Listens on a free loopback port and serves each connection in a thread.
fn serve(handler: impl Fn(Peer) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e.to_string()));
    let address = listener.local_addr().map_or(String::new(), |address| address.to_string());
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || handler(Peer::new(stream)));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// Discovery.

#[derive(Clone)]
struct Listed {
    name: String,
    address: String,
    zone: &'static str,
    status: &'static str,
    since_ms: u64,
}

impl Listed {
    fn json(&self) -> String {
        let Listed { name, address, zone, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std-4core","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<String, Listed>,
    /// Each change, with the version that it made.
    changes: Vec<(u64, Listed)>,
}

fn list_json(version: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{version},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

struct Discovery {
    stage: Arc<Stage>,
    name: &'static str,
    address: String,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
}

impl Discovery {
    fn start(stage: &Arc<Stage>, name: &'static str) -> Arc<Discovery> {
        let cell: Arc<OnceLock<Arc<Discovery>>> = Arc::default();
        let served = cell.clone();
        let address = serve(move |peer| {
            if let Some(discovery) = served.get() {
                let _ = discovery.serve_calls(peer);
            }
        });
        let discovery = Arc::new(Discovery {
            stage: stage.clone(),
            name,
            address,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let _ = cell.set(discovery.clone());
        discovery
    }

    /// Publishes a change of one entry.
    fn publish(&self, listed: &Listed) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        if listed.status == "gone" {
            state.entries.remove(&listed.name);
        } else {
            state.entries.insert(listed.name.clone(), listed.clone());
        }
        state.changes.push((version, listed.clone()));
        self.stage.log(format!("discovery {} has version {version}: {} {}", self.name, listed.name, listed.status));
        self.changed.notify_all();
    }

    fn snapshot(&self) -> String {
        let state = lock(&self.state);
        let entries: Vec<_> = state.entries.values().map(Listed::json).collect();
        list_json(state.version, true, &entries)
    }

    fn serve_calls(&self, mut peer: Peer) -> io::Result<()> {
        loop {
            let call = peer.read_message()?;
            let target = call.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
            if let Some(index) = target.strip_prefix("/api/targets?stream=1&index=") {
                return self.stream(peer, index.parse().unwrap_or(0));
            }
            let body = self.snapshot();
            self.stage.log(format!("discovery {} is asked and tells {body}", self.name));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            peer.send((head + &body).as_bytes())?;
        }
    }

    /// A watch: the changes since a version, further ones as they come, and an empty line each 2 s.
    fn stream(&self, mut peer: Peer, index: u64) -> io::Result<()> {
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = index;
        let mut is_first = true;
        loop {
            let line = {
                let mut state = lock(&self.state);
                if state.version <= told && !is_first {
                    state = self.changed.wait_timeout(state, ms(2_000)).map_or_else(|e| e.into_inner().0, |(guard, _)| guard);
                }
                if state.version < told {
                    // The caller knows a later version than this service has.
                    let entries: Vec<_> = state.entries.values().map(Listed::json).collect();
                    told = state.version;
                    list_json(state.version, true, &entries)
                } else if state.version > told || is_first {
                    let new = state.changes.iter().filter(|(version, _)| *version > told);
                    let entries: Vec<_> = new.map(|(_, listed)| listed.json()).collect();
                    told = state.version;
                    list_json(state.version, false, &entries)
                } else {
                    String::new()
                }
            };
            is_first = false;
            peer.send_chunk(&format!("{line}\n"))?;
            if !line.is_empty() {
                self.stage.log(format!("discovery {} tells on its watch {line}", self.name));
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Workers.

/// How often each request, by class and id, was run to its end.
static RUNS: Mutex<BTreeMap<(String, String), u32>> = Mutex::new(BTreeMap::new());

/// How late a second answer comes.
const SECOND_AFTER: Duration = Duration::from_millis(5);

/// What a spoilt answer sends of its last line.
const SPOILT_CHUNKS: usize = 13;
const SPOILT_CHUNK_BYTES: usize = 30_000;

#[derive(Default)]
struct WorkerState {
    used_slots: f64,
    /// Tickets of the requests that wait, in order.
    waiting: Vec<u64>,
    last_ticket: u64,
    /// Free slots as the load report shows them.
    reported: f64,
}

struct Worker {
    stage: Arc<Stage>,
    name: String,
    zone: &'static str,
    slots: f64,
    state: Mutex<WorkerState>,
    freed: Condvar,
    address: OnceLock<String>,
    /// One in this many answers is spoilt and never ends; 0: none.
    spoilt_one_in: AtomicU64,
    /// A second answer follows one in this many answers, some milliseconds late; 0: none.
    second_one_in: AtomicU64,
    answers: AtomicU64,
    /// Milliseconds from the last byte of a request to the head of its answer.
    takes_ms: AtomicU64,
    /// Running work goes on when its connection has ended.
    goes_on: AtomicBool,
    /// The work of a class, in milliseconds.
    work: fn(&str) -> u64,
}

impl Worker {
    fn listen(self: &Arc<Worker>) {
        let worker = self.clone();
        let address = serve(move |peer| {
            let _ = worker.serve_requests(peer);
        });
        let _ = self.address.set(address);
        lock(&self.state).reported = self.slots;
        let worker = self.clone();
        spawn(move || loop {
            let free = worker.slots - lock(&worker.state).used_slots;
            sleep(REPORT_DELAY);
            lock(&worker.state).reported = free;
            sleep(REPORT_PERIOD - REPORT_DELAY);
        });
    }

    fn listed(&self, status: &'static str, since_ms: u64) -> Listed {
        let address = self.address.get().cloned().unwrap_or_default();
        Listed { name: self.name.clone(), address, zone: self.zone, status, since_ms }
    }

    fn serve_requests(&self, mut peer: Peer) -> io::Result<()> {
        loop {
            let request = peer.read_message()?;
            if request.first_line.starts_with("GET") {
                let free = lock(&self.state).reported.max(0.0);
                let body = format!(r#"{{"x0":{free}}}"#);
                peer.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
            } else {
                let (name, line) = (&self.name, &request.first_line);
                let id = request.header("x-txn").unwrap_or_default();
                self.stage.log(format!("worker {name} gets {id}: {line}"));
                self.run(&mut peer, &request)?;
            }
        }
    }

    fn run(&self, peer: &mut Peer, request: &Message) -> io::Result<()> {
        let id = request.header("x-txn").unwrap_or_default().to_owned();
        let class = request.header("x-lane").map(str::to_owned).unwrap_or_else(|| {
            request.first_line.split('/').nth(1).unwrap_or_default().to_owned()
        });
        let name = &self.name;
        let line = |rest: &str| format!("{{\"id\":\"{id}\",\"from\":\"{name}\",{rest}}}\n");
        let ticket = {
            let mut state = lock(&self.state);
            if state.waiting.len() >= 40 {
                drop(state);
                return peer.send(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            }
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            state.waiting.push(ticket);
            ticket
        };
        sleep(ms(self.takes_ms.load(Ordering::Relaxed)));
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut is_open = true;
        {
            let mut state = lock(&self.state);
            while is_open && !(state.waiting.first() == Some(&ticket) && state.used_slots + 1.0 <= self.slots) {
                state = self.freed.wait_timeout(state, ms(20)).map_or_else(|e| e.into_inner().0, |(guard, _)| guard);
                is_open = is_connected(&peer.stream);
            }
            state.waiting.retain(|waiting| *waiting != ticket);
            if is_open {
                state.used_slots += 1.0;
            }
        }
        if !is_open {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let result = self.work_off(peer, &line, (self.work)(&class));
        lock(&self.state).used_slots -= 1.0;
        self.freed.notify_all();
        result?;
        self.stage.log(format!("worker {name} has run {id}"));
        *lock(&RUNS).entry((class, id.clone())).or_default() += 1;
        let one_in = self.spoilt_one_in.load(Ordering::Relaxed);
        if one_in > 0 && self.answers.fetch_add(1, Ordering::Relaxed) % one_in == 0 {
            return self.spoil(peer, &id);
        }
        let done = line(&format!(r#""state":"done","result":"result of {id}""#));
        peer.send_chunk(&done)?;
        peer.send(b"0\r\n\r\n")?;
        let one_in = self.second_one_in.load(Ordering::Relaxed);
        if one_in > 0 && self.answers.fetch_add(1, Ordering::Relaxed) % one_in == 0 {
            self.send_second(peer, id)?;
        }
        Ok(())
    }

    /// Sends a second answer, some milliseconds late; requests are read on meanwhile.
    fn send_second(&self, peer: &Peer, id: String) -> io::Result<()> {
        let mut stream = peer.stream.try_clone()?;
        let (stage, name) = (self.stage.clone(), self.name.clone());
        spawn(move || {
            sleep(SECOND_AFTER);
            let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            stage.log(format!("worker {name} sends a second answer after that for {id}"));
        });
        Ok(())
    }

    /// Sends a last line that does not end, and then nothing, until the dispatcher gives up.
    fn spoil(&self, peer: &mut Peer, id: &str) -> io::Result<()> {
        self.stage.log(format!("worker {} spoils its answer for {id}: it never ends", self.name));
        peer.send_chunk(&format!(r#"{{"id":"{id}","from":"{}","state":"done","result":""#, self.name))?;
        for _ in 0..SPOILT_CHUNKS {
            peer.send_chunk(&"x".repeat(SPOILT_CHUNK_BYTES))?;
            sleep(ms(10));
        }
        while is_connected(&peer.stream) {
            sleep(ms(20));
        }
        Err(io::ErrorKind::ConnectionReset.into())
    }

    fn work_off(&self, peer: &mut Peer, line: &impl Fn(&str) -> String, work_ms: u64) -> io::Result<()> {
        let goes_on = self.goes_on.load(Ordering::Relaxed);
        let unless_ended = |sent: io::Result<()>| if goes_on { Ok(()) } else { sent };
        unless_ended(peer.send_chunk(&line(r#""state":"started""#)))?;
        let work = work_ms as f64 / 1_000.0;
        let mut done = 0.0;
        let mut told_at = Instant::now();
        let mut last = Instant::now();
        while done < work {
            sleep(ms(10));
            let now = Instant::now();
            // The running jobs share the cores.
            let used = lock(&self.state).used_slots.max(CORES);
            done += (now - last).as_secs_f64() * CORES / used;
            last = now;
            if now - told_at >= ms(2_000) {
                told_at = now;
                unless_ended(peer.send_chunk(&line(&format!(r#""state":"running","share":{:.2}"#, done / work))))?;
            }
            if !goes_on && !is_connected(&peer.stream) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    }
}

/// Whether the other side has neither closed nor reset the connection.
fn is_connected(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Ok(0)) && !matches!(&peeked, Err(error) if error.kind() != io::ErrorKind::WouldBlock)
}

// ---------------------------------------------------------------------------------------------
// Clients.

static LAST_ID: AtomicU64 = AtomicU64::new(0);

fn new_id() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let count = LAST_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (nanos ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93) ^ count)
}

/// The clients of one dispatcher. They keep their connections.
struct Clients {
    stage: Arc<Stage>,
    address: String,
    idle: Mutex<Vec<Peer>>,
}

impl Clients {
    fn new(stage: &Arc<Stage>, address: &str) -> Arc<Clients> {
        Arc::new(Clients { stage: stage.clone(), address: address.to_owned(), idle: Mutex::default() })
    }

    /// Sends a request and waits for its answer: the status and the body.
    fn post(&self, class: &str, id: &str, remaining_ms: u64) -> io::Result<(u16, String)> {
        let key = new_id();
        let idle = lock(&self.idle).pop();
        let mut peer = idle.map_or_else(|| Peer::connect(&self.address), Ok)?;
        self.stage.log(format!("client sends {class} {id} to {}", self.address));
        peer.stream.set_read_timeout(Some(ms(remaining_ms + 1_000)))?;
        peer.send(
            format!(
                "POST /{class}/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 4\r\n\r\nwork"
            )
            .as_bytes(),
        )?;
        let answer = peer.read_message()?;
        let status = answer.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.stage.log(format!("client gets {status} for {id} {body:?}"));
        if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            lock(&self.idle).push(peer);
        }
        Ok((status, body))
    }
}

/// Sends requests to dispatchers in turn, at a steady rate.
struct Traffic {
    stop: Arc<AtomicBool>,
    generator: std::thread::JoinHandle<()>,
}

impl Traffic {
    fn start(clients: Vec<Arc<Clients>>, rate: f64) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let generator = spawn(move || {
            let started_at = Instant::now();
            let mut count = 0u64;
            while !stopped.load(Ordering::Relaxed) {
                let clients = clients[count as usize % clients.len()].clone();
                // 56 of 100 jobs are of the first class.
                let (class, remaining) =
                    if count * 56 % 100 < 56 { ("rate-push", 10_000) } else { ("booking-import", 20_000) };
                spawn(move || {
                    let id = new_id();
                    if let Err(error) = clients.post(class, &id, remaining) {
                        clients.stage.log(format!("client gets no answer for {id}: {error}"));
                    }
                });
                count += 1;
                let due = started_at + Duration::from_secs_f64(count as f64 / rate);
                sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        Traffic { stop, generator }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.generator.join();
    }
}

// ---------------------------------------------------------------------------------------------
// The deployment: the settings of szeged-budapest, as its pages have them.

const ZONES: [&str; 2] = ["szeged", "budapest"];
/// Running times within those of the site's page, and its shortest ones.
fn usual_work(class: &str) -> u64 {
    if class == "rate-push" { 850 } else { 1_750 }
}
fn short_work(class: &str) -> u64 {
    if class == "rate-push" { 600 } else { 1_200 }
}
const CORES: f64 = 4.0;
const SLOTS: f64 = 5.0;
/// Load reports are refreshed at this interval and are this late.
const REPORT_PERIOD: Duration = Duration::from_millis(1_200);
const REPORT_DELAY: Duration = Duration::from_millis(400);
fn settings(me: usize, instances: usize) -> String {
    let zone = ZONES[me % ZONES.len()];
    format!(
        r#"{{"clients":{{"marks-retry":false}},"discovery":"subscribe","domain-type":"jobs",
"family-info":{{"class-kind":[-1,-1],"class-priority":[0,1],"class-stretch":[2.5,2.0],"memory-unit":"a worker has one unit for each slot","notes":"1 it has started, 2 share done","progress-us":2000000,"queue-order":"fifo","report-x0":"free slots","report-x1":"free memory","tells-start":true}},
"goal":{{"whole":0.35,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.45}},"kinds":["std-4core"],
"lanes":[{{"aim-us":500000,"deadline-us":10000000,"dedup-scope":"all","late-worth":0.0,"name":"rate-push","points":2.0,"semantics":"read_like","streaming":false,"window-us":5000000}},
{{"aim-us":1500000,"deadline-us":20000000,"dedup-scope":"all","late-worth":0.0,"name":"booking-import","points":3.0,"semantics":"non_idempotent","streaming":false,"window-us":5000000}}],
"limits":{{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":15000,"max-retry-after-us":2000000,"max-streams":1,"most-held":20000,"most-tries":6,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":true}},
"me":{me},"my-zone":"{zone}","n-instances":{instances},"over-share-worth":0.1,
"prices":{{"connection":0.0,"cross-zone":0.03,"discovery":0.0,"handshake":0.02,"late-fail":0.045,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0015,"waste":0.023}},
"report":{{"fields":["x0","err_rps","rps","cpu"],"via":"probe"}},"resolution-us":4000,
"rules":{{"answer-slack-us":16000,"ask-within-us":10000000,"cold-from":0.13,"cold-us":23000000,"drain-grace-us":500000,"fall-us":3000000,"tip-multiple":3.0}},
"stages":["sync-workers"],"tenants":[],"tier":0,"weights":"none","worth-by":"request","zones":["szeged","budapest"]}}"#
    )
}

fn start_worker(stage: &Arc<Stage>, number: usize, work: fn(&str) -> u64) -> Arc<Worker> {
    let worker = Arc::new(Worker {
        stage: stage.clone(),
        name: format!("s-{}", &new_id()[..8]),
        zone: ZONES[number % ZONES.len()],
        slots: SLOTS,
        state: Mutex::default(),
        freed: Condvar::new(),
        address: OnceLock::new(),
        spoilt_one_in: AtomicU64::new(0),
        second_one_in: AtomicU64::new(0),
        takes_ms: AtomicU64::new(0),
        goes_on: AtomicBool::new(false),
        answers: AtomicU64::new(0),
        work,
    });
    worker.listen();
    worker
}

struct Fleet {
    workers: Vec<Arc<Worker>>,
    dispatchers: Vec<Dispatcher>,
    clients: Vec<Arc<Clients>>,
}

/// Starts discovery, warm workers and dispatchers with the usual limits.
fn start_fleet(stage: &Arc<Stage>, workers: usize, dispatchers: usize) -> Fleet {
    start_fleet_within(stage, workers, dispatchers, (192, 1_024), usual_work)
}

/// Starts discovery, warm workers with this work in milliseconds for a class, and dispatchers with
/// these limits of memory, in MB, and of sockets.
fn start_fleet_within(
    stage: &Arc<Stage>,
    workers: usize,
    dispatchers: usize,
    limits: (u64, u64),
    work: fn(&str) -> u64,
) -> Fleet {
    let discovery = Discovery::start(stage, "A");
    let workers: Vec<_> = (0..workers).map(|number| start_worker(stage, number, work)).collect();
    for worker in &workers {
        discovery.publish(&worker.listed("ready", 0));
    }
    let setup = |me| DispatcherSetup {
        name: format!("n{me}"),
        listen: format!("127.0.0.1:{}", free_port()),
        discovery: discovery.address.clone(),
        known: discovery.snapshot(),
        settings: settings(me, dispatchers),
        memory_mb: limits.0,
        sockets: limits.1,
    };
    let dispatchers: Vec<_> = (0..dispatchers).map(|me| stage.start_dispatcher(&setup(me))).collect();
    let clients = dispatchers.iter().map(|dispatcher| Clients::new(stage, &dispatcher.address)).collect();
    Fleet { workers, dispatchers, clients }
}

// ---------------------------------------------------------------------------------------------
// Case: spoilt answers that never end, and the limit on memory.

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 512;
/// One in this many answers of each worker never ends.
const SPOILT_ONE_IN: u64 = 3;

/// The memory of a process that no file backs, in KiB; `None` once it has ended.
fn memory_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn endless_answers(stage: &Arc<Stage>) -> ! {
    let fleet = start_fleet_within(stage, 10, 1, (MEMORY_MB, SOCKETS), usual_work);
    let pid = *lock(&fleet.dispatchers[0].pid);
    let traffic = Traffic::start(fleet.clients.clone(), 24.0);
    sleep(ms(5_000));
    if stage.trouble {
        stage.log(format!("from now on one in {SPOILT_ONE_IN} answers never ends"));
        for worker in &fleet.workers {
            worker.spoilt_one_in.store(SPOILT_ONE_IN, Ordering::Relaxed);
        }
    }
    // The platform: it kills a dispatcher that takes more than its limit.
    let started_at = Instant::now();
    let mut highest = 0;
    let mut killed = false;
    while started_at.elapsed() < ms(40_000) && !killed {
        let Some(kib) = memory_kib(pid) else { cannot_run("the dispatcher has ended") };
        if kib / 1_024 > highest / 1_024 {
            stage.log(format!("the dispatcher takes {kib} KiB, of {} KiB", MEMORY_MB * 1_024));
        }
        highest = highest.max(kib);
        killed = kib > MEMORY_MB * 1_024;
        sleep(ms(50));
    }
    if killed {
        stage.log("the platform kills the dispatcher: it is over its limit on memory");
        fleet.dispatchers[0].signal("KILL");
        sleep(ms(500));
    }
    traffic.stop();
    stage.verdict(killed, &format!("the dispatcher took {:.1} MB of {MEMORY_MB} MB", highest as f64 / 1_024.0))
}

// ---------------------------------------------------------------------------------------------
// Case: a planned restart while clients write slowly.

/// The pause of a slow client between the two pieces of a request.
const SLOW_PAUSE: Duration = Duration::from_millis(900);
/// A piece that came this long before the end of its connection has been read.
const READ_FOR_SURE: Duration = Duration::from_millis(100);

/// A request that was written in two pieces, and what became of it.
struct SlowRequest {
    first_piece_at: Instant,
    is_written: bool,
    ended_at: Instant,
    is_answered: bool,
}

/// Writes the first lines of a request, and the rest after a pause; then waits for the answer.
fn slow_request(stage: &Stage, peer: &mut Peer) -> SlowRequest {
    let id = new_id();
    let key = new_id();
    let first = format!("POST /rate-push/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: rate-push\r\n");
    let rest = "X-Remaining-Ms: 10000\r\nContent-Length: 4\r\n\r\nwork";
    let is_first_written = peer.send(first.as_bytes()).is_ok();
    let first_piece_at = Instant::now();
    stage.log(format!("slow client writes the first lines of {id}"));
    // A thread of its own reads, so that the time of an answer or of a close is known.
    let stream = peer.stream.try_clone().unwrap_or_else(|e| cannot_run(e.to_string()));
    let _ = stream.set_read_timeout(Some(ms(12_000)));
    let reading = spawn(move || {
        let answer = Peer { stream, buffer: Vec::new() }.read_message();
        (Instant::now(), answer)
    });
    sleep(SLOW_PAUSE);
    let is_written = is_first_written && peer.send(rest.as_bytes()).is_ok();
    stage.log(format!("slow client writes the rest of {id}: {}", if is_written { "written" } else { "not written" }));
    let (ended_at, answer) = reading.join().unwrap_or_else(|_| cannot_run("a client has failed"));
    let after = ended_at.saturating_duration_since(first_piece_at).as_secs_f64();
    match &answer {
        Ok(answer) => stage.log(format!("slow client gets {:?} for {id} {after:.3} s after its first lines", answer.first_line)),
        Err(error) => stage.log(format!("slow client: connection of {id} ends without an answer ({error}) {after:.3} s after its first lines")),
    }
    SlowRequest { first_piece_at, is_written, ended_at, is_answered: answer.is_ok() }
}

/// Sends slow requests on one connection until it ends. Returns whether a request was lost on it.
fn slow_client(stage: &Stage, address: &str, stop: &AtomicBool) -> bool {
    let Ok(mut peer) = Peer::connect(address) else { return false };
    while !stop.load(Ordering::Relaxed) {
        let request = slow_request(stage, &mut peer);
        if !request.is_answered {
            // A close that only crossed the request is none of the dispatcher's.
            return request.is_written && request.ended_at > request.first_piece_at + READ_FOR_SURE;
        }
        sleep(ms(100));
    }
    false
}

fn slow_clients(stage: &Arc<Stage>) -> ! {
    let fleet = start_fleet(stage, 10, 2);
    let traffic = Traffic::start(fleet.clients.clone(), 8.0);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..20)
        .map(|number| {
            let (stage, stop, address) = (stage.clone(), stop.clone(), fleet.dispatchers[0].address.clone());
            spawn(move || {
                sleep(ms(number * 90));
                slow_client(&stage, &address, &stop)
            })
        })
        .collect();
    sleep(ms(6_000));
    traffic.stop();
    if stage.trouble {
        fleet.dispatchers[0].signal("TERM");
    }
    sleep(ms(3_700));
    stop.store(true, Ordering::Relaxed);
    let lost = clients.into_iter().map(|client| client.join().unwrap_or(false));
    let lost = lost.filter(|lost| *lost).count();
    stage.verdict(lost > 0, &format!("{lost} requests that had been read were closed without an answer"))
}

// ---------------------------------------------------------------------------------------------
// Case: a second answer that comes some milliseconds late.

/// A second answer follows one in this many answers.
const SECOND_ONE_IN: u64 = 3;
/// From the last byte of a request to the head of its answer, in milliseconds.
const TAKES_MS: u64 = 6;

fn second_answers(stage: &Arc<Stage>) -> ! {
    let fleet = start_fleet_within(stage, 10, 2, (192, 1_024), short_work);
    for worker in &fleet.workers {
        worker.takes_ms.store(TAKES_MS, Ordering::Relaxed);
        worker.goes_on.store(true, Ordering::Relaxed);
    }
    let traffic = Traffic::start(fleet.clients.clone(), 36.0);
    sleep(ms(4_000));
    if stage.trouble {
        stage.log(format!("from now on a second answer follows one in {SECOND_ONE_IN} answers"));
        for worker in &fleet.workers {
            worker.second_one_in.store(SECOND_ONE_IN, Ordering::Relaxed);
        }
    }
    sleep(ms(25_000));
    traffic.stop();
    // Until all that runs has ended.
    sleep(ms(4_000));
    let runs = lock(&RUNS);
    let is_broken = |((class, _), count): &(&(String, String), &u32)| class == "booking-import" && **count > 1;
    let twice: Vec<_> = runs.iter().filter(is_broken).collect();
    for ((_, id), count) in &twice {
        stage.log(format!("booking-import {id} was run {count} times"));
    }
    stage.verdict(!twice.is_empty(), &format!("{} bookings were run more than once", twice.len()))
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: stage CASE FOLDER");
    };
    let stage = Stage::new(Path::new(&folder));
    match case.as_str() {
        "second-answers" => second_answers(&stage),
        "endless-answers" => endless_answers(&stage),
        "slow-clients" => slow_clients(&stage),
        _ => cannot_run("no such case"),
    }
}
