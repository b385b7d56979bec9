//! A fleet of real dispatcher processes on loopback under random, overlapping faults, judged by the
//! invariants.
//!
//! Everything around the processes is a stand-in of this crate: [`service`] is discovery, one for
//! all, and [`discovery`] what one dispatcher sees of it; [`workers`] the sync workers, [`clients`]
//! the clients. [`faults`] draws and plays a schedule by seed, and [`judge`] looks at what the
//! workers and the clients have seen.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod judge;
pub mod service;
pub mod workers;

use crate::{Peer, SETTINGS};
use discovery::{Left, Link};
use service::Service;
use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use workers::Workers;

/// How lists reach the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    /// They are asked for.
    Asked,
    /// An agent beside each dispatcher is sent them.
    Pushed,
}

impl Lists {
    /// The settings of the scenarios as those of one of so many dispatchers.
    pub fn settings(self, me: usize, fleet: usize) -> String {
        let mode = match self {
            Lists::Asked => "subscribe",
            Lists::Pushed => "automatic",
        };
        let rules = r#""rules":{"ask-within-us":10000000,"drain-grace-us":500000}"#;
        let more = format!(r#"{rules},"discovery":"{mode}","n-instances":{fleet},"me":{me}"#);
        SETTINGS.replacen(r#""rules":{}"#, &more, 1)
    }
}

/// Names a folder that keeps the logs of processes, in detail, if it is set.
const LOGS: &str = "FAULT_LOGS";

/// The program, which serves on this configuration, and the line of its log that says where it
/// listens.
pub fn serve(program: &Path, config: &Path, more: &[&OsStr]) -> (Child, Option<String>) {
    let mut command = Command::new(program);
    command.arg("serve").args(more);
    let logs = std::env::var_os(LOGS);
    if logs.is_some() {
        command.args(["--log-level", "info,pumiceway_net=debug"]);
    }
    let mut child = command
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let kept = logs.and_then(|folder| {
        let name = format!(
            "{}.{}.log",
            config.file_stem()?.to_string_lossy(),
            child.id()
        );
        File::create(Path::new(&folder).join(name)).ok()
    });
    let keep = move |line: &str| {
        // The log of a test; one that can't be kept fails no test.
        let _ = kept.as_ref().map(|mut file| writeln!(file, "{line}"));
    };
    let listens = log
        .by_ref()
        .inspect(|line| keep(line))
        .find(|line| line.contains("dispatcher is listening"));
    std::thread::spawn(move || log.for_each(|line| keep(&line)));
    (child, listens)
}

/// A field of a line of the log.
pub fn field(line: &str, name: &str) -> Option<String> {
    let value = line.split_once(&format!(" {name}="))?.1;
    Some(value.split_whitespace().next()?.to_owned())
}

/// Whether the dispatcher at this address reports that it is ready.
pub fn is_ready(address: &str) -> bool {
    let Ok(stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut peer = Peer::new(stream);
    peer.send("raw GET /-/ready HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n");
    peer.message()
        .is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// One life of a dispatcher process.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// When it was started.
    pub from: Instant,
    /// When it was told to stop.
    pub terminated: Option<Instant>,
    /// When it was killed; what it held is lost without fault, unless it had been told to stop
    /// before.
    pub killed: Option<Instant>,
}

/// What holds for all of a play.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// How lists reach the dispatchers.
    pub lists: Lists,
    /// The deadline of the class that may be repeated, and of the one that may run once only.
    pub deadlines: [Duration; 2],
    /// Descriptors of a dispatcher.
    pub sockets: usize,
}

/// A client waits for so long at the most.
const REMAINING_MOST: Duration = Duration::from_millis(2_500);
/// A process that was told to stop may be killed so long after the longest deadline, of which this
/// much counts.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const KILLED_DEADLINE_MOST: Duration = Duration::from_secs(3);

impl Conditions {
    /// Those of a seed.
    pub fn draw(seed: u64) -> Conditions {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let lists = if seed.is_multiple_of(2) {
            Lists::Asked
        } else {
            Lists::Pushed
        };
        let long = [Duration::from_secs(5), Duration::from_secs(6)];
        let short = [400, 1_000].map(Duration::from_millis);
        let deadlines = if rng.u32(..3) == 0 { short } else { long };
        let sockets = if rng.bool() { 1_024 } else { 128 };
        Conditions {
            lists,
            deadlines,
            sockets,
        }
    }

    /// How long the client of a class waits.
    pub fn remaining(&self, once: bool) -> Duration {
        self.deadlines[usize::from(once)].min(REMAINING_MOST)
    }

    /// How long after SIGTERM a process may be killed.
    fn kill_after(&self) -> Duration {
        let longest = self.deadlines[0].max(self.deadlines[1]);
        longest.min(KILLED_DEADLINE_MOST) + KILLED_AFTER
    }

    fn settings(&self, me: usize, fleet: usize) -> String {
        let [safe, once] = self
            .deadlines
            .map(|deadline| format!(r#""deadline-us":{}"#, deadline.as_micros()));
        let settings = self.lists.settings(me, fleet);
        settings
            .replacen(r#""deadline-us":5000000"#, &safe, 1)
            .replacen(r#""deadline-us":6000000"#, &once, 1)
    }
}

/// A dispatcher: its process, if one runs, and what is kept over its restarts.
pub struct Dispatcher {
    /// Its number.
    pub number: usize,
    /// Discovery as this dispatcher sees it.
    pub link: Arc<Link>,
    /// Where new connections to its current process come.
    pub address: Mutex<Option<String>>,
    /// Its processes, in order.
    pub lives: Mutex<Vec<Life>>,
    /// When idle connections filled its descriptors.
    pub crowds: Mutex<Vec<(Instant, Instant)>>,
    child: Mutex<Option<Child>>,
    /// A fault has its process in hand.
    taken: AtomicBool,
    /// Held while its configuration is written and taken.
    configuring: Mutex<()>,
    config: PathBuf,
    bootstrap: String,
    conditions: Conditions,
    fleet: usize,
}

/// Everything in one play.
pub struct World {
    /// When it began.
    pub start: Instant,
    /// What holds for all of it.
    pub conditions: Conditions,
    /// The workers and the list of them.
    pub workers: Arc<Workers>,
    /// Discovery.
    pub service: Arc<Service>,
    /// The dispatchers.
    pub dispatchers: Vec<Dispatcher>,
    /// Clients begin no more requests.
    pub over: AtomicBool,
    /// Clients leave right after each request.
    pub burst: AtomicBool,
    /// What broke an invariant while the play went on.
    pub broken: Mutex<Vec<String>>,
    program: PathBuf,
}

impl World {
    /// Starts so many workers and dispatchers of this program.
    pub fn start(
        program: &Path,
        dispatchers: usize,
        workers: usize,
        conditions: Conditions,
    ) -> Arc<World> {
        let workers = Workers::start(workers);
        let service = Service::start(workers.clone());
        let bootstrap = workers.whole_list();
        let dispatcher = |number| {
            let link = Link::start(service.clone(), conditions.lists);
            let file = format!(
                "pumiceway-fleet-{}-{:p}-{number}.json",
                std::process::id(),
                link
            );
            Dispatcher {
                number,
                link,
                address: Mutex::default(),
                lives: Mutex::default(),
                crowds: Mutex::default(),
                child: Mutex::default(),
                taken: AtomicBool::new(true),
                configuring: Mutex::default(),
                config: std::env::temp_dir().join(file),
                bootstrap: bootstrap.clone(),
                conditions,
                fleet: dispatchers,
            }
        };
        let dispatchers = (0..dispatchers).map(dispatcher).collect();
        let world = Arc::new(World {
            start: Instant::now(),
            conditions,
            workers,
            service,
            dispatchers,
            over: AtomicBool::new(false),
            burst: AtomicBool::new(false),
            broken: Mutex::default(),
            program: program.to_owned(),
        });
        for dispatcher in &world.dispatchers {
            dispatcher.launch(&world);
        }
        world
    }

    /// Books that an invariant is broken.
    pub fn breaks(&self, what: String) {
        let at = self.start.elapsed().as_secs_f64();
        self.broken.lock().unwrap().push(format!("{at:.3} {what}"));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for dispatcher in &self.dispatchers {
            dispatcher.kill();
            let _ = std::fs::remove_file(&dispatcher.config);
        }
    }
}

impl Dispatcher {
    /// Starts a process, on the list that the first one began with.
    pub fn launch(&self, world: &World) {
        let configuring = self.configuring.lock().unwrap();
        self.write_config();
        let from = Instant::now();
        let (child, listens) = serve(&world.program, &self.config, &[]);
        let address = listens.and_then(|line| field(&line, "address"));
        *self.child.lock().unwrap() = Some(child);
        self.lives.lock().unwrap().push(Life {
            from,
            terminated: None,
            killed: None,
        });
        *self.address.lock().unwrap() = address;
        drop(configuring);
        self.taken.store(false, Ordering::SeqCst);
    }

    /// A new configuration moves its discovery, and this stays at the old address.
    pub fn reconfigure(&self, left: Left) {
        let _configuring = self.configuring.lock().unwrap();
        self.link.move_away(left);
        self.write_config();
        self.signal("-HUP");
        self.link.moved();
    }

    /// Writes the configuration, with discovery where it is now.
    fn write_config(&self) {
        let settings = self.conditions.settings(self.number, self.fleet);
        let (discovery, known) = (self.link.address(), &self.bootstrap);
        let sockets = self.conditions.sockets;
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&self.config, text).unwrap();
    }

    /// Sends a signal to its process, if one runs.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let _ = Command::new("kill")
                .args([name, &child.id().to_string()])
                .status();
        }
    }

    /// Kills its process and waits for its end.
    pub fn kill(&self) {
        *self.address.lock().unwrap() = None;
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // Afterwards: what comes until it is dead is lost with it.
        self.note(|life| life.killed = Some(Instant::now()));
    }

    /// Tells its process to stop, twice where so asked, and kills it at the earliest time at which
    /// that may happen.
    pub fn terminate(&self, world: &World, twice: bool) {
        let told = Instant::now();
        self.note(|life| life.terminated = Some(told));
        self.signal("-TERM");
        faults::still_come();
        if twice {
            self.signal("-TERM");
        }
        *self.address.lock().unwrap() = None;
        let end = told + self.conditions.kill_after();
        while Instant::now() < end {
            let ended = self
                .child
                .lock()
                .unwrap()
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                if !status.success() {
                    world.breaks(format!(
                        "dispatcher {} did not end well: {status}",
                        self.number
                    ));
                }
                *self.child.lock().unwrap() = None;
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    /// Whether its process has ended by itself.
    pub fn crashed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Whether its process reports within this time that it is ready.
    pub fn ready_within(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let address = self.address.lock().unwrap().clone();
            if address.is_some_and(|address| is_ready(&address)) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Takes it for a fault that ends its process; not while another has.
    pub fn take(&self) -> bool {
        !self.taken.swap(true, Ordering::SeqCst)
    }

    fn note(&self, what: impl FnOnce(&mut Life)) {
        if let Some(life) = self.lives.lock().unwrap().last_mut() {
            what(life);
        }
    }
}
