//! Stand-ins for the cases of the second review: discovery, sync workers and clients on loopback
//! addresses, and the start of a dispatcher with the command of the deploy file. Standard library
//! only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The option of `prctl` that sets the signal at the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;
/// A case that takes longer could not run.
const LONGEST: Duration = Duration::from_secs(110);

/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What was sent, answered and run, in the order of the times.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        lock(&self.lines).push((self.started.elapsed(), text.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        let _ = File::create(path).and_then(|mut file| file.write_all(text.as_bytes()));
    }
}

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut part = [0; 8192];
        match self.stream.read(&mut part)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&part[..length]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads one request or response, with its whole body.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                    .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
                let part = self.take(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&part[..size]);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn send_chunk(&mut self, text: &str) -> std::io::Result<()> {
        self.send(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

/// Whether the other side has closed its side of a connection that carries nothing now.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub cell: u64,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"k","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.cell, self.status, self.since_ms
        )
    }
}

/// A sound discovery service: it answers each call at once and tells each change at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    record: Record,
}

struct DiscoveryState {
    index: u64,
    /// Each change with the version that it made.
    changes: Vec<(u64, Entry)>,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().expect("discovery");
        let changes = entries.into_iter().map(|entry| (1, entry)).collect();
        let state = Arc::new(Mutex::new(DiscoveryState { index: 1, changes }));
        let discovery = Discovery {
            address,
            state,
            record: record.clone(),
        };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || {
                    let _ = service.serve(Wire::new(stream));
                });
            }
        });
        discovery
    }

    pub fn set(&self, entry: Entry) {
        let mut state = lock(&self.state);
        state.index += 1;
        let index = state.index;
        self.record.note(format!(
            "discovery: version {index}: {} is {}",
            entry.name, entry.status
        ));
        state.changes.push((index, entry));
    }

    fn list(&self, after: u64) -> (u64, String) {
        let state = lock(&self.state);
        let mut latest: Vec<Entry> = Vec::new();
        for (version, entry) in &state.changes {
            if *version > after {
                latest.retain(|known| known.name != entry.name);
                latest.push(entry.clone());
            }
        }
        if after == 0 {
            latest.retain(|entry| entry.status != "gone");
        }
        let entries: Vec<String> = latest.iter().map(Entry::json).collect();
        let text = format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            state.index,
            after == 0,
            entries.join(",")
        );
        (state.index, text)
    }

    fn serve(&self, mut wire: Wire) -> std::io::Result<()> {
        loop {
            let request = wire.read()?;
            let query = request
                .path()
                .split_once('?')
                .map_or("", |(_, query)| query)
                .to_owned();
            if !query.contains("stream=1") {
                let (_, text) = self.list(0);
                wire.send(&format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                ))?;
                continue;
            }
            let after = query
                .split("index=")
                .nth(1)
                .and_then(|word| word.parse().ok())
                .unwrap_or(0);
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let (mut told, text) = self.list(after);
            wire.send_chunk(&format!("{text}\n"))?;
            let mut last = Instant::now();
            loop {
                thread::sleep(ms(5));
                if lock(&self.state).index > told {
                    let (index, text) = self.list(told);
                    told = index;
                    wire.send_chunk(&format!("{text}\n"))?;
                    last = Instant::now();
                } else if last.elapsed() >= ms(2000) {
                    wire.send_chunk("\n")?;
                    last = Instant::now();
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Workers

/// A job that has come whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub path: String,
    pub told: Duration,
    pub key: String,
}

/// What a worker does with a job, on the connection on which it came. Returns whether the connection stays.
pub type Conduct =
    dyn Fn(&WorkerHandle, &mut Wire, &Message, u64) -> std::io::Result<bool> + Send + Sync;

#[derive(Clone)]
pub struct WorkerHandle {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub probes: Arc<Mutex<Vec<Instant>>>,
    pub busy: Arc<AtomicU64>,
    pub slots: u64,
    pub record: Record,
}

impl WorkerHandle {
    pub fn entry(&self) -> Entry {
        Entry {
            name: self.name.clone(),
            address: self.address.to_string(),
            zone: "z".into(),
            cell: 1,
            status: "ready",
            since_ms: 0,
        }
    }

    /// A sound worker: it says that the job has started, runs it, and gives its result.
    pub fn run(&self, wire: &mut Wire, request: &Message, length: Duration) -> std::io::Result<()> {
        let id = request.header("x-txn").to_owned();
        let name = &self.name;
        wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        wire.send_chunk(&format!(
            "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"started\"}}\n"
        ))?;
        thread::sleep(length);
        let result = format!("made by {name} for {id}");
        self.record.note(format!("worker {name}: done {id}"));
        wire.send_chunk(&format!(
            "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
        ))?;
        wire.send("0\r\n\r\n")
    }
}

/// Starts a worker. Arrivals of all workers with the same list are kept there together.
pub fn start_worker(
    record: &Record,
    name: &str,
    slots: u64,
    arrivals: &Arc<Mutex<Vec<Arrival>>>,
    conduct: Arc<Conduct>,
) -> WorkerHandle {
    let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
    let handle = WorkerHandle {
        name: name.to_owned(),
        address: listener.local_addr().expect("worker"),
        arrivals: arrivals.clone(),
        probes: Arc::default(),
        busy: Arc::default(),
        slots,
        record: record.clone(),
    };
    let worker = handle.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (worker, conduct) = (worker.clone(), conduct.clone());
            thread::spawn(move || {
                let _ = serve_worker(&worker, &mut Wire::new(stream), &*conduct, number as u64);
            });
        }
    });
    handle
}

fn serve_worker(
    worker: &WorkerHandle,
    wire: &mut Wire,
    conduct: &Conduct,
    connection: u64,
) -> std::io::Result<()> {
    loop {
        let request = wire.read()?;
        if request.start.starts_with("GET") {
            lock(&worker.probes).push(Instant::now());
            let free = worker
                .slots
                .saturating_sub(worker.busy.load(Ordering::Relaxed));
            let body = format!("{{\"x0\":{free}}}");
            wire.send(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ))?;
            continue;
        }
        let id = request.header("x-txn").to_owned();
        let told = ms(request.header("x-remaining-ms").parse().unwrap_or(0));
        lock(&worker.arrivals).push(Arrival {
            at: Instant::now(),
            worker: worker.name.clone(),
            id: id.clone(),
            path: request.path().to_owned(),
            told,
            key: request.header("idempotency-key").to_owned(),
        });
        worker.record.note(format!(
            "worker {}: got {id} on connection {connection}, told {} ms",
            worker.name,
            told.as_millis()
        ));
        worker.busy.fetch_add(1, Ordering::Relaxed);
        let stays = conduct(worker, wire, &request, connection);
        worker.busy.fetch_sub(1, Ordering::Relaxed);
        if !stays? {
            return Ok(());
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0: closed without an answer.
    pub status: u16,
    pub body: String,
    pub after: Duration,
}

/// One request on a connection of its own; `headers` stand before the length.
pub fn submit(
    record: &Record,
    who: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Answer {
    let began = Instant::now();
    let answer = match TcpStream::connect(to) {
        Ok(stream) => {
            let _ = stream.set_read_timeout(Some(patience));
            let mut wire = Wire::new(stream);
            exchange(record, who, &mut wire, path, headers, body)
        }
        Err(error) => Err(error),
    };
    let after = began.elapsed();
    let answer = match answer {
        Ok(message) => Answer {
            status: message.status(),
            body: message.text(),
            after,
        },
        Err(error) => Answer {
            status: 0,
            body: error.to_string(),
            after,
        },
    };
    record.note(format!(
        "{who}: answered {} after {:.3} s: {}",
        answer.status,
        after.as_secs_f64(),
        answer.body
    ));
    answer
}

pub fn request_text(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: service.internal\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text
}

pub fn exchange(
    record: &Record,
    who: &str,
    wire: &mut Wire,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Message> {
    let shown: Vec<String> = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    record.note(format!(
        "{who}: sends POST {path} {} body {body:?}",
        shown.join(", ")
    ));
    wire.send(&request_text(path, headers, body))?;
    wire.read()
}

// ---------------------------------------------------------------------------------------------
// Gearman

pub const CAN_DO: u32 = 1;
pub const PRE_SLEEP: u32 = 4;
pub const NOOP: u32 = 6;
pub const SUBMIT_JOB: u32 = 7;
pub const JOB_CREATED: u32 = 8;
pub const NO_JOB: u32 = 10;
pub const GRAB_JOB_UNIQ: u32 = 30;
pub const JOB_ASSIGN_UNIQ: u32 = 31;
pub const WORK_COMPLETE: u32 = 13;
pub const WORK_FAIL: u32 = 14;
pub const ERROR: u32 = 19;
pub const WORK_DATA: u32 = 28;
pub const WORK_WARNING: u32 = 29;

/// A connection that speaks the Gearman protocol.
pub struct Gearman {
    pub stream: TcpStream,
}

impl Gearman {
    pub fn connect(to: SocketAddr, patience: Duration) -> std::io::Result<Gearman> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Gearman { stream })
    }

    /// Sends a packet; a zero byte stands between two arguments.
    pub fn send(&mut self, kind: u32, arguments: &[&[u8]]) -> std::io::Result<()> {
        let data = arguments.join(&0);
        let mut packet = b"\0REQ".to_vec();
        packet.extend(kind.to_be_bytes());
        packet.extend((data.len() as u32).to_be_bytes());
        packet.extend(data);
        self.stream.write_all(&packet)
    }

    /// Reads a packet: its type and its arguments, of which there are `count` at most.
    pub fn read(&mut self, count: usize) -> std::io::Result<(u32, Vec<Vec<u8>>)> {
        let mut head = [0; 12];
        self.stream.read_exact(&mut head)?;
        let number =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let mut data = vec![0; number(8) as usize];
        self.stream.read_exact(&mut data)?;
        Ok((
            number(4),
            data.splitn(count, |&byte| byte == 0)
                .map(<[u8]>::to_vec)
                .collect(),
        ))
    }
}

pub fn shown(data: &[u8]) -> String {
    if data.len() > 80 {
        format!("{} bytes", data.len())
    } else {
        String::from_utf8_lossy(data).into_owned()
    }
}

/// A job that a Gearman worker was given.
pub struct Assigned {
    pub handle: Vec<u8>,
    pub function: String,
    /// The unique id, as the worker is told it.
    pub unique: String,
    pub workload: Vec<u8>,
}

/// Registers these functions, and waits for jobs as the protocol describes: PRE_SLEEP, NOOP,
/// GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ. `conduct` runs a job; the connection ends when it returns false.
pub fn gearman_worker(
    record: &Record,
    name: &str,
    to: SocketAddr,
    functions: &[&str],
    mut conduct: impl FnMut(&mut Gearman, &Assigned) -> std::io::Result<bool> + Send + 'static,
) -> std::io::Result<()> {
    let mut peer = Gearman::connect(to, Duration::from_secs(100))?;
    for function in functions {
        peer.send(CAN_DO, &[function.as_bytes()])?;
    }
    record.note(format!("worker {name}: can do {functions:?}"));
    let (record, name) = (record.clone(), name.to_owned());
    thread::spawn(move || -> std::io::Result<()> {
        loop {
            peer.send(GRAB_JOB_UNIQ, &[])?;
            let (kind, mut arguments) = loop {
                let packet = peer.read(4)?;
                if packet.0 == JOB_ASSIGN_UNIQ || packet.0 == NO_JOB {
                    break packet;
                }
            };
            if kind == NO_JOB {
                peer.send(PRE_SLEEP, &[])?;
                while peer.read(1)?.0 != NOOP {}
                continue;
            }
            let workload = arguments.pop().unwrap_or_default();
            let unique = shown(&arguments.pop().unwrap_or_default());
            let function = shown(&arguments.pop().unwrap_or_default());
            let handle = arguments.pop().unwrap_or_default();
            record.note(format!(
                "worker {name}: got {function} unique {unique:?} with {}",
                shown(&workload)
            ));
            if !conduct(
                &mut peer,
                &Assigned {
                    handle,
                    function,
                    unique,
                    workload,
                },
            )? {
                record.note(format!("worker {name}: closes its connection"));
                return Ok(());
            }
        }
    });
    Ok(())
}

/// How a job of a Gearman client ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The data of all WORK_DATA packets and of WORK_COMPLETE, in order.
    pub data: Vec<u8>,
    /// `complete`, `fail`, `error ...` or `closed ...`.
    pub end: String,
}

/// Submits a job and reads up to its end.
pub fn gearman_submit(
    record: &Record,
    who: &str,
    peer: &mut Gearman,
    function: &str,
    unique: &str,
    workload: &[u8],
) -> Outcome {
    record.note(format!(
        "{who}: submits {function} unique {unique:?} with {}",
        shown(workload)
    ));
    let mut outcome = Outcome::default();
    let sent = peer.send(
        SUBMIT_JOB,
        &[function.as_bytes(), unique.as_bytes(), workload],
    );
    while outcome.end.is_empty() {
        match sent
            .as_ref()
            .map_err(std::io::Error::kind)
            .and(peer.read(2).map_err(|error| error.kind()))
        {
            Ok((WORK_DATA, arguments)) => outcome
                .data
                .extend(arguments.last().map_or(&[][..], |data| data)),
            Ok((WORK_COMPLETE, arguments)) => {
                outcome
                    .data
                    .extend(arguments.last().map_or(&[][..], |data| data));
                outcome.end = "complete".into();
            }
            Ok((WORK_FAIL, _)) => outcome.end = "fail".into(),
            Ok((ERROR, arguments)) => outcome.end = format!("error {}", shown(&arguments.concat())),
            Ok(_) => {}
            Err(error) => outcome.end = format!("closed: {error:?}"),
        }
    }
    record.note(format!("{who}: {} {}", outcome.end, shown(&outcome.data)));
    outcome
}

// ---------------------------------------------------------------------------------------------
// The dispatcher

pub struct Dispatcher {
    child: Child,
    pub address: SocketAddr,
    /// Where the Gearman frontend listens, if it is on.
    pub gearman: SocketAddr,
    pub config: PathBuf,
    record: Record,
    name: String,
}

/// What differs between the dispatchers of the cases.
pub struct Options {
    pub memory_mb: u64,
    pub sockets: u64,
    /// Switches the Gearman frontend on; its functions, as in deploy/gearman.toml.
    pub gearman: Option<String>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            memory_mb: 192,
            sockets: 1024,
            gearman: None,
        }
    }
}

/// The functions of deploy/gearman.toml.
pub const FUNCTIONS: &str = "[functions.rate-push]\nclass = \"rate-push\"\n[functions.booking-import]\nclass = \"booking-import\"\n";

/// The root of the repository.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// The command `run` of the deploy file.
pub fn run_command() -> Option<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "))?;
    Some(line.trim().trim_matches('"').to_owned())
}

/// Two free addresses.
fn free_addresses() -> std::io::Result<[SocketAddr; 2]> {
    let listeners = [
        TcpListener::bind("127.0.0.1:0")?,
        TcpListener::bind("127.0.0.1:0")?,
    ];
    Ok([listeners[0].local_addr()?, listeners[1].local_addr()?])
}

impl Dispatcher {
    /// Starts the program and waits until it says that it is ready.
    pub fn start(
        record: &Record,
        folder: &Path,
        name: &str,
        discovery: SocketAddr,
        settings: &str,
    ) -> Result<Dispatcher, String> {
        Dispatcher::start_with(
            record,
            folder,
            name,
            discovery,
            settings,
            &Options::default(),
        )
    }

    pub fn start_with(
        record: &Record,
        folder: &Path,
        name: &str,
        discovery: SocketAddr,
        settings: &str,
        options: &Options,
    ) -> Result<Dispatcher, String> {
        let [address, gearman_address] = free_addresses().map_err(|error| error.to_string())?;
        let Options {
            memory_mb,
            sockets,
            gearman,
        } = options;
        let config = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"settings":{settings}}}"#
        );
        std::fs::write(&config, text).map_err(|error| error.to_string())?;
        let log =
            File::create(folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let mut run = run_command().ok_or("no run in the deploy file")?;
        if let Some(functions) = gearman {
            // As the first line of deploy/gearman.toml says; the other keys have its values.
            let file = folder.join(format!("{name}-gearman.toml"));
            let text = format!(
                "listen = \"{gearman_address}\"\nconnections = 32\njobs = 256\nqueue = 256\nwarm = true\nretention_s = 600\nkept_answers = 10000\nkept_mb = 16\n{functions}"
            );
            std::fs::write(&file, text).map_err(|error| error.to_string())?;
            let _ = write!(run, " --gearman {}", file.display());
        }
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(root())
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: one system call. The program ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        lock(&CHILDREN).push(child.id());
        let mut dispatcher = Dispatcher {
            child,
            address,
            gearman: gearman_address,
            config,
            record: record.clone(),
            name: name.to_owned(),
        };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            if let Ok(stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(ms(2000)));
                let mut wire = Wire::new(stream);
                let sent = wire.send("GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                if sent.is_ok() && wire.read().is_ok_and(|answer| answer.status() == 200) {
                    record.note(format!("dispatcher {name}: ready"));
                    return Ok(dispatcher);
                }
            }
            if dispatcher.has_ended() {
                return Err(format!("dispatcher {name} has ended"));
            }
            thread::sleep(ms(20));
        }
        Err(format!("dispatcher {name} is not ready"))
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .note(format!("dispatcher {}: signal {signal}", self.name));
        // SAFETY: a system call on the id of a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        lock(&CHILDREN).retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------
// A case

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A folder of this run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let _ = std::fs::create_dir_all(&folder);
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs a case: `Ok(breaks)` lists how the rule was broken; `Err` says why the case could not run.
/// The first argument names the file for the record.
pub fn run_case(case: impl FnOnce(&Record, &Path) -> Result<Vec<String>, String>) -> ! {
    let record = Record::new();
    let path = PathBuf::from(
        std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into()),
    );
    let (late_record, late_path) = (record.clone(), path.clone());
    thread::spawn(move || {
        thread::sleep(LONGEST);
        for id in lock(&CHILDREN).iter() {
            // SAFETY: a system call on the id of a child that has not been waited for.
            unsafe { kill(*id as i32, SIGKILL) };
        }
        late_record.note("verdict: could not run: took too long");
        late_record.write(&late_path);
        std::process::exit(2);
    });
    let result = {
        let folder = Folder::new();
        let run = std::panic::AssertUnwindSafe(|| case(&record, &folder.0));
        std::panic::catch_unwind(run).unwrap_or_else(|_| Err("a stand-in has failed".into()))
    };
    let code = match result {
        Ok(breaks) if breaks.is_empty() => {
            record.note("verdict: the rule held");
            println!("the rule held");
            0
        }
        Ok(breaks) => {
            for text in &breaks {
                record.note(format!("verdict: broken: {text}"));
                println!("broken: {text}");
            }
            1
        }
        Err(reason) => {
            record.note(format!("verdict: could not run: {reason}"));
            println!("could not run: {reason}");
            2
        }
    };
    record.write(&path);
    std::process::exit(code);
}

/// The classes of a small deployment.
pub const LANES: &str = r#"{"name":"rate-push","aim-us":500000,"deadline-us":10000000,"points":2.0,"semantics":"read_like"},
 {"name":"booking-import","aim-us":1500000,"deadline-us":20000000,"points":3.0,"semantics":"non_idempotent"}"#;

/// The settings of a small deployment, for dispatcher `me` of two.
pub fn settings(me: usize) -> String {
    format!(
        r#"{{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":4000,"me":{me},"n-instances":2,
 "discovery":"subscribe","lanes":[{LANES}],
 "family-info":{{"class-stretch":[2.5,2.0],"tells-start":true,"progress-us":2000000}},
 "limits":{{"most-tries":6,"cancel":true,"probes":true,"second-copies":true,"retry-after":true,
  "max-retry-after-us":2000000,"connect-timeout-us":250000,"conn-idle-us":15000000}},
 "prices":{{"cross-zone":0.03,"probe":0.0015}},"report":{{"fields":["x0"],"via":"probe"}},
 "rules":{{"ask-within-us":10000000,"drain-grace-us":500000,"cold-from":0.13,"cold-us":23000000,
  "fall-us":3000000,"tip-multiple":3.0}}}}"#
    )
}
