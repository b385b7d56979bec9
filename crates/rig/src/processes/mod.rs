//! A fleet of real dispatcher processes on loopback under random, overlapping faults, judged by the invariants.
//!
//! Everything around the processes is a stand-in of this crate: [`discovery`] one service address for each
//! dispatcher, [`workers`] the sync workers, [`clients`] the clients. [`faults`] draws and plays a schedule by
//! seed, and [`judge`] looks at what the workers and the clients have seen.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod judge;
pub mod workers;

use crate::{Peer, SETTINGS};
use discovery::Link;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
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

/// The program, which serves on this configuration, and the line of its log that says where it listens.
pub fn serve(program: &Path, config: &Path, more: &[&OsStr]) -> (Child, Option<String>) {
    let mut child = Command::new(program)
        .arg("serve")
        .args(more)
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let listens = log.find_map(|line| line.ok().filter(|l| l.contains(" listens ")));
    std::thread::spawn(move || log.for_each(drop));
    (child, listens)
}

/// A field of a line of the log.
pub fn field(line: &str, name: &str) -> Option<String> {
    let value = line.split_once(&format!(" {name}="))?.1;
    Some(value.split_whitespace().next()?.to_owned())
}

/// Whether the dispatcher at this address reports that it is ready.
pub fn is_ready(address: &str) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let mut peer = Peer::new(stream);
    peer.send("raw GET /-/ready HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n");
    peer.message().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// One life of a dispatcher process.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// When it was started.
    pub from: Instant,
    /// When it was told to stop, or was killed.
    pub leaves: Option<Instant>,
    /// It was killed: what it held is lost without fault.
    pub killed: bool,
}

/// A dispatcher: its process, if one runs, and what is kept over its restarts.
pub struct Dispatcher {
    /// Its number.
    pub number: usize,
    /// Discovery as this dispatcher sees it.
    pub link: Arc<Link>,
    /// Where its current process listens, once that is ready.
    pub address: Mutex<Option<String>>,
    /// Its processes, in order.
    pub lives: Mutex<Vec<Life>>,
    child: Mutex<Option<Child>>,
    config: PathBuf,
    bootstrap: String,
    lists: Lists,
    fleet: usize,
}

/// Everything in one play.
pub struct World {
    /// When it began.
    pub start: Instant,
    /// The workers and the list of them.
    pub workers: Arc<Workers>,
    /// The dispatchers.
    pub dispatchers: Vec<Dispatcher>,
    /// Clients begin no more requests.
    pub over: AtomicBool,
    /// What broke an invariant while the play went on.
    pub broken: Mutex<Vec<String>>,
    program: PathBuf,
}

impl World {
    /// Starts so many workers and dispatchers of this program.
    pub fn start(program: &Path, dispatchers: usize, workers: usize, lists: Lists) -> Arc<World> {
        let workers = Workers::start(workers);
        let bootstrap = workers.whole_list();
        let dispatcher = |number| {
            let link = Link::start(workers.clone());
            let file = format!("pumiceway-fleet-{}-{:p}-{number}.json", std::process::id(), link);
            Dispatcher {
                number,
                link,
                address: Mutex::default(),
                lives: Mutex::default(),
                child: Mutex::default(),
                config: std::env::temp_dir().join(file),
                bootstrap: bootstrap.clone(),
                lists,
                fleet: dispatchers,
            }
        };
        let dispatchers = (0..dispatchers).map(dispatcher).collect();
        let world = Arc::new(World {
            start: Instant::now(),
            workers,
            dispatchers,
            over: AtomicBool::new(false),
            broken: Mutex::default(),
            program: program.to_owned(),
        });
        for dispatcher in &world.dispatchers {
            dispatcher.launch(&world.program);
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
    pub fn launch(&self, program: &Path) {
        self.write_config();
        let (child, listens) = serve(program, &self.config, &[]);
        let address = listens.and_then(|line| field(&line, "address"));
        *self.child.lock().unwrap() = Some(child);
        self.lives.lock().unwrap().push(Life { from: Instant::now(), leaves: None, killed: false });
        *self.address.lock().unwrap() = address;
    }

    /// Writes the configuration, with discovery where it is now.
    pub fn write_config(&self) {
        let settings = self.lists.settings(self.number, self.fleet);
        let (discovery, known) = (self.link.address(), &self.bootstrap);
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&self.config, text).unwrap();
    }

    /// Sends a signal to its process, if one runs.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Kills its process and waits for its end.
    pub fn kill(&self) {
        self.leaves(true);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks its process to stop and waits for its end; whether it ended well.
    pub fn terminate(&self) -> bool {
        self.leaves(false);
        self.signal("-TERM");
        let child = self.child.lock().unwrap().take();
        child.is_none_or(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Whether its process has ended by itself.
    pub fn crashed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
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
        self.address.lock().unwrap().take().is_some()
    }

    fn leaves(&self, killed: bool) {
        *self.address.lock().unwrap() = None;
        if let Some(life) = self.lives.lock().unwrap().last_mut().filter(|life| life.leaves.is_none()) {
            (life.leaves, life.killed) = (Some(Instant::now()), killed);
        }
    }
}
