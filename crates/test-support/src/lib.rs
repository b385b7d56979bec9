//! A small language for scenarios on loopback: who sends, expects, closes and waits, a line each.
//!
//! ```text
//! c send POST /rate-push/k t1 5000 body     a client's request: path, X-Txn, X-Remaining-Ms, body
//! g send [SUBMIT_JOB rate-push|u1|body]     a Gearman packet; a peer named g… talks to the Gearman front
//! w1 wait a                                 next hop w1 gets a connection, which is called a
//! a expect POST /rate-push/k t1             a request: start of its first line, and text that it contains; `!text` for
//!                                           what it must not, `\x20` and `\x09` for blanks and tabs in it
//! a send 200                                the head of a chunked answer
//! a send + {"id":"t1","from":"w1",…}        a line of it; `a send .` ends it
//! a send json {…}                           a whole answer with this body
//! a send done 42                            head, last line and end, for the request read last
//! c expect 200 42                           an answer: status, and text that it contains
//! g expect [JOB_CREATED $h]                 a packet; * matches anything, $h keeps it for later lines
//! c send raw text\r\n                       as it stands
//! c close                                   c expect end: the other side has closed
//! ```
//! A peer connects with its first line. Each expect and wait gives up after some seconds.

pub mod fleet;
mod hops;
pub mod processes;

use pumiceway_net::config::{Config, GearmanConfig, Reload, ZooKeeperConfig};
use pumiceway_net::event_loop::Dispatcher;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(8);
const PACKETS: [(&str, u32); 27] = [
    ("CAN_DO", 1),
    ("CANT_DO", 2),
    ("RESET_ABILITIES", 3),
    ("PRE_SLEEP", 4),
    ("NOOP", 6),
    ("SUBMIT_JOB", 7),
    ("JOB_CREATED", 8),
    ("GRAB_JOB", 9),
    ("NO_JOB", 10),
    ("JOB_ASSIGN", 11),
    ("WORK_STATUS", 12),
    ("WORK_COMPLETE", 13),
    ("WORK_FAIL", 14),
    ("GET_STATUS", 15),
    ("ECHO_REQ", 16),
    ("ECHO_RES", 17),
    ("SUBMIT_JOB_BG", 18),
    ("ERROR", 19),
    ("STATUS_RES", 20),
    ("SUBMIT_JOB_HIGH", 21),
    ("WORK_EXCEPTION", 25),
    ("OPTION_REQ", 26),
    ("OPTION_RES", 27),
    ("WORK_DATA", 28),
    ("WORK_WARNING", 29),
    ("GRAB_JOB_UNIQ", 30),
    ("JOB_ASSIGN_UNIQ", 31),
];

/// A dispatcher on a thread of its own, and stand-ins around it.
pub struct Stage {
    pub http: SocketAddr,
    pub gearman: SocketAddr,
    listeners: HashMap<String, TcpListener>,
    peers: HashMap<String, Peer>,
    kept: HashMap<String, String>,
    reload: tokio::sync::mpsc::UnboundedSender<Reload>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
    txn: String,
}

/// The settings of the scenarios: no probes, one zone, no cold start.
pub const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"rate-push","aim-us":500000,"deadline-us":5000000,"points":2.0,"semantics":"read_like"},
    {"name":"booking-import","aim-us":1500000,"deadline-us":6000000,"points":3.0,"semantics":"non_idempotent"}],
  "family-info":{"class-stretch":[2.5,2.0],"tells-start":true,"progress-us":2000000},
  "limits":{"most-tries":6,"cancel":true,"second-copies":false,"retry-after":true,
    "max-retry-after-us":2000000,"connect-timeout-us":250000,"conn-idle-us":15000000},"rules":{}}"#;

impl Stage {
    /// A dispatcher whose route set holds these next hops; one named `discovery` is asked for the
    /// list.
    pub fn new(hops: &[&str]) -> Stage {
        Stage::with(hops, None)
    }

    /// The same beside a route set in ZooKeeper.
    pub fn with(hops: &[&str], zookeeper: Option<ZooKeeperConfig>) -> Stage {
        Stage::with_settings(hops, zookeeper, SETTINGS)
    }

    /// The same with settings of its own.
    pub fn with_settings(
        hops: &[&str],
        zookeeper: Option<ZooKeeperConfig>,
        settings: &str,
    ) -> Stage {
        let listeners: HashMap<String, TcpListener> = hops
            .iter()
            .map(|h| (h.to_string(), TcpListener::bind("127.0.0.1:0").unwrap()))
            .collect();
        let at = |name: &str| listeners[name].local_addr().unwrap();
        let line = |h: &&&str| {
            format!(
                r#"{{"name":"{h}","address":"{}","zone":"z","type":"k","status":"ready"}}"#,
                at(h)
            )
        };
        let known: Vec<_> = hops
            .iter()
            .filter(|h| !h.starts_with("discovery"))
            .collect::<Vec<_>>()
            .iter()
            .map(line)
            .collect();
        let discovery = hops
            .contains(&"discovery")
            .then(|| format!(r#""discovery":"{}","#, at("discovery")));
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","seed":"7",{}"known":{{"index":1,"snapshot":true,"endpoints":[{}]}},"settings":{settings}}}"#,
            discovery.unwrap_or_default(),
            known.join(",")
        );
        let mut config = Config::from_text(&text, "config", |_| None).unwrap();
        let file = std::env::temp_dir().join(format!(
            "pumiceway-{}-{:?}.toml",
            std::process::id(),
            std::thread::current().id()
        ));
        std::fs::write(&file, "listen = \"127.0.0.1:0\"\n").unwrap();
        config.gearman = Some(
            GearmanConfig::from_file(&file, &config.deployment, config.sockets.inbound).unwrap(),
        );
        config.zookeeper = zookeeper;
        std::fs::remove_file(&file).unwrap();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (tell, told) = std::sync::mpsc::channel();
        let (reload, reloads) = tokio::sync::mpsc::unbounded_channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let dispatcher = Dispatcher::bind(config).await.unwrap();
                tell.send(dispatcher.addresses().unwrap()).unwrap();
                dispatcher
                    .run(async { drop(stopped.await) }, reloads)
                    .await
                    .unwrap();
            });
        });
        let (http, gearman) = told.recv().unwrap();
        let (gearman, kept) = (gearman.unwrap(), HashMap::new());
        Stage {
            http,
            gearman,
            listeners,
            peers: HashMap::new(),
            kept,
            reload,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Plays a scenario in front of these next hops.
    pub fn play(hops: &[&str], script: &str) -> Stage {
        let mut stage = Stage::new(hops);
        stage.go_on(script);
        stage
    }

    pub fn go_on(&mut self, script: &str) {
        for line in script
            .lines()
            .map(str::trim)
            .filter(|l| !l.is_empty() && !l.starts_with('#'))
        {
            let (peer, rest) = line
                .split_once(' ')
                .unwrap_or_else(|| panic!("{line}: who does what?"));
            let (verb, what) = rest.split_once(' ').unwrap_or((rest, ""));
            let mut what = what.to_owned();
            for (name, value) in self.kept.iter().filter(|_| verb == "send") {
                what = what.replace(&format!("${name}"), value);
            }
            match verb {
                "send" => self.peer(peer).send(&what),
                "expect" => {
                    let kept = self
                        .peer(peer)
                        .expect(&what)
                        .unwrap_or_else(|e| panic!("{line}: {e}"));
                    self.kept.extend(kept);
                }
                "wait" => {
                    let stream = accept(&self.listeners[peer])
                        .unwrap_or_else(|| panic!("{line}: nobody came"));
                    self.peers.insert(what, Peer::new(stream));
                }
                "close" => drop(self.peers.remove(peer)),
                _ => panic!("{line}: no such verb"),
            }
        }
    }

    fn peer(&mut self, name: &str) -> &mut Peer {
        let address = if name.starts_with('g') {
            self.gearman
        } else {
            self.http
        };
        self.peers
            .entry(name.to_owned())
            .or_insert_with(|| Peer::new(TcpStream::connect(address).unwrap()))
    }

    /// Hands a listener out, for a stand-in that acts by itself.
    pub fn take(&mut self, hop: &str) -> TcpListener {
        self.listeners.remove(hop).unwrap()
    }

    /// Takes a listener in, for next hops that are listed elsewhere.
    pub fn add(&mut self, hop: &str, listener: TcpListener) {
        self.listeners.insert(hop.to_owned(), listener);
    }

    pub fn port(&self, listener: &str) -> u16 {
        self.listeners[listener].local_addr().unwrap().port()
    }

    /// Has the dispatcher take a configuration whose discovery is at this listener.
    pub fn reload(&mut self, discovery: &str) {
        let discovery = self.listeners[discovery].local_addr().unwrap().to_string();
        self.reload
            .send(Reload {
                discovery,
                restart_required: vec![],
            })
            .unwrap();
    }

    /// A peer sends one chunk of a single byte after the other, until told to end.
    pub fn trickle(
        &mut self,
        peer: &str,
        each: Duration,
        over: impl Fn() -> bool + Send + 'static,
    ) -> std::thread::JoinHandle<()> {
        let mut peer = self.peers.remove(peer).unwrap();
        std::thread::spawn(move || {
            while !over() && peer.stream.write_all(b"1\r\n \r\n").is_ok() {
                std::thread::sleep(each);
            }
        })
    }

    /// Waits until the route set shows a line.
    pub fn until_listed(&mut self, hop: &str, state: &str) {
        let (line, end) = (format!("{hop}\t{state}\t"), Instant::now() + PATIENCE);
        loop {
            let mut peer = Peer::new(TcpStream::connect(self.gearman).unwrap());
            peer.send("raw routes\\n");
            let routes = peer.text_to(".\n");
            if routes.contains(&line) {
                return;
            }
            assert!(Instant::now() < end, "no {line:?} in {routes}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Tells the dispatcher to stop.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until it has ended.
    pub fn ended(&mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

/// A line of a list, as discovery words it, of an endpoint at this port.
pub fn endpoint_line(name: &str, port: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}"#
    )
}

/// A list, or the changes to one, as discovery words it.
pub fn listing(index: u64, snapshot: bool, lines: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        lines.join(",")
    )
}

/// Serves each connection to a listener on a thread of its own, for as long as the test runs.
pub fn serve_each(listener: TcpListener, serve: impl Fn(Peer) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Peer::new(stream)));
        }
    });
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return Some(stream);
            }
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
    None
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            buffer: Vec::new(),
            txn: String::new(),
        }
    }

    pub fn send(&mut self, what: &str) {
        let words: Vec<&str> = what.splitn(5, ' ').collect();
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let bytes = match words[..] {
            ["POST", path, id, left, body] => format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining-Ms: {left}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes(),
            ["200"] => head.into(),
            ["."] => "0\r\n\r\n".into(),
            ["+", ..] => chunk(&what[2..]).into_bytes(),
            ["done", result] => {
                let line = format!(r#"{{"id":"{}","from":"w","state":"done","result":"{result}"}}"#, self.txn);
                format!("{head}{}0\r\n\r\n", chunk(&line)).into_bytes()
            }
            ["json", ..] => {
                let body = &what[5..];
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            }
            ["raw", ..] => what[4..].replace("\\r", "\r").replace("\\n", "\n").replace("\\t", "\t").replace("\\0", "\0").into_bytes(),
            _ if what.starts_with('[') => packet(what),
            _ => panic!("nothing to send in {what:?}"),
        };
        // The other side may have closed already, which the next expect tells.
        let _ = self.stream.write_all(&bytes);
    }

    /// Reads one message and compares it; what its pattern keeps.
    pub fn expect(&mut self, pattern: &str) -> Result<Vec<(String, String)>, String> {
        if pattern == "end" {
            return match self.more() {
                Ok(false) => Ok(vec![]),
                Ok(true) => Err(format!(
                    "more came: {:?}",
                    String::from_utf8_lossy(&self.buffer)
                )),
                Err(e) => Err(e),
            };
        }
        if let Some(inside) = pattern.strip_prefix('[').and_then(|p| p.strip_suffix(']')) {
            let (name, parts) = self.packet()?;
            let (expected, arguments) = inside.split_once(' ').unwrap_or((inside, ""));
            let wanted: Vec<&str> = if arguments.is_empty() {
                vec![]
            } else {
                arguments.split('|').collect()
            };
            let same = |(w, p): (&&str, &String)| *w == "*" || w.starts_with('$') || *w == p;
            if name != expected
                || wanted.len() != parts.len()
                || !wanted.iter().zip(&parts).all(same)
            {
                return Err(format!("got {name} {parts:?}"));
            }
            let kept = wanted
                .iter()
                .zip(parts)
                .filter_map(|(w, p)| Some((w.strip_prefix('$')?.to_owned(), p)));
            return Ok(kept.collect());
        }
        let message = self.message()?;
        let mut parts = pattern.split(' ');
        let first = match parts.next().unwrap_or_default() {
            status if status.starts_with(|c: char| c.is_ascii_digit()) => {
                format!("HTTP/1.1 {status}")
            }
            method => format!("{method} {}", parts.next().unwrap_or_default()),
        };
        let holds = |part: &str| match part.strip_prefix('!') {
            Some(part) => !message.contains(part),
            None => message.contains(&part.replace("\\x20", " ").replace("\\x09", "\t")),
        };
        let good = message.starts_with(&first) && parts.all(holds);
        if good {
            Ok(vec![])
        } else {
            Err(format!("got {message:?}"))
        }
    }

    /// Reads more; whether there was any.
    fn more(&mut self) -> Result<bool, String> {
        let mut part = [0; 4096];
        match self.stream.read(&mut part) {
            Ok(n) => {
                self.buffer.extend_from_slice(&part[..n]);
                Ok(n > 0)
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Ok(false),
            Err(e) => Err(format!(
                "{e}; so far {:?}",
                String::from_utf8_lossy(&self.buffer)
            )),
        }
    }

    fn need(&mut self, length: usize) -> Result<(), String> {
        while self.buffer.len() < length {
            if !self.more()? {
                return Err(format!(
                    "closed; so far {:?}",
                    String::from_utf8_lossy(&self.buffer)
                ));
            }
        }
        Ok(())
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether the other side has closed, or has sent what nobody asked for.
    pub fn closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Text up to an end.
    pub fn text_to(&mut self, end: &str) -> String {
        while !self.buffer.ends_with(end.as_bytes()) {
            self.need(self.buffer.len() + 1).unwrap();
        }
        String::from_utf8(std::mem::take(&mut self.buffer)).unwrap()
    }

    pub fn packet(&mut self) -> Result<(String, Vec<String>), String> {
        self.need(12)?;
        let number = |at: usize| u32::from_be_bytes(self.buffer[at..at + 4].try_into().unwrap());
        let (kind, size) = (number(4), number(8) as usize);
        self.need(12 + size)?;
        let body: Vec<u8> = self.buffer.drain(..12 + size).skip(12).collect();
        let name = PACKETS
            .iter()
            .find(|(_, n)| *n == kind)
            .map_or("?", |(name, _)| name)
            .to_owned();
        let parts = body
            .split(|&b| b == 0)
            .map(|p| String::from_utf8_lossy(p).into_owned());
        Ok((
            name,
            if body.is_empty() {
                vec![]
            } else {
                parts.collect()
            },
        ))
    }

    pub fn message(&mut self) -> Result<String, String> {
        let end = loop {
            match self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(end) => break end + 4,
                None => self.need(self.buffer.len() + 1)?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_lowercase();
        let field = |name: &str| {
            head.lines()
                .find_map(|l| l.strip_prefix(name))
                .map(|v| v.trim().to_owned())
        };
        let length = field("content-length:").map_or(0, |v| v.parse().unwrap());
        self.txn = field("x-txn:").unwrap_or_default();
        self.need(end + length)?;
        let bytes: Vec<u8> = self.buffer.drain(..end + length).collect();
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn packet(text: &str) -> Vec<u8> {
    let inside = text.trim_start_matches('[').trim_end_matches(']');
    let (name, arguments) = inside.split_once(' ').unwrap_or((inside, ""));
    let kind = PACKETS
        .iter()
        .find(|(n, _)| *n == name)
        .unwrap_or_else(|| panic!("no packet {name}"))
        .1;
    let body = arguments.replace('|', "\0");
    let mut bytes = b"\0REQ".to_vec();
    bytes.extend(kind.to_be_bytes());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body.bytes());
    bytes
}

/// A Gearman worker that takes this long for each job and gives back what it was given, until its
/// session ends.
pub fn gearman_echo(address: SocketAddr, takes: Duration) {
    let Ok(stream) = TcpStream::connect(address) else {
        return;
    };
    let mut peer = Peer::new(stream);
    peer.send("[CAN_DO booking-import]");
    peer.send("[CAN_DO rate-push]");
    peer.send("[GRAB_JOB]");
    while let Ok((name, parts)) = peer.packet() {
        match name.as_str() {
            "JOB_ASSIGN" => {
                if !takes.is_zero() {
                    std::thread::sleep(takes);
                }
                peer.send(&format!("[WORK_COMPLETE {}|{}]", parts[0], parts[2]));
                peer.send("[GRAB_JOB]");
            }
            "NO_JOB" => peer.send("[PRE_SLEEP]"),
            _ => peer.send("[GRAB_JOB]"),
        }
    }
}
