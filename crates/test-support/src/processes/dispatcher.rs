//! A dispatcher, whose processes are started, configured, signalled, killed and restarted.

use super::discovery::{DiscoveryLink, OldAddress};
use super::functions;
use super::memory::{MemoryRecord, MemoryWatch};
use super::program::{field, is_ready, serve};
use super::service::DiscoveryService;
use super::throttle::send_signal;
use super::{Conditions, TestFleet};
use crate::Peer;
use rustix::process::Signal;
use std::ffi::OsStr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Clients still open connections to a dispatcher for this long after it is asked to stop.
const STOP_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// How often the exit of a process is polled.
const EXIT_POLL: Duration = Duration::from_millis(5);
/// How often the readiness of a process is polled.
const READY_POLL: Duration = Duration::from_millis(20);

/// One process of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// When it was started.
    pub started_at: Instant,
    /// When it was asked to stop.
    pub terminated_at: Option<Instant>,
    /// When it was killed. Its requests in flight may be lost, unless it had been asked to stop
    /// before.
    pub killed_at: Option<Instant>,
}

/// A period in which idle connections exhausted the sockets of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct SocketExhaustion {
    pub from: Instant,
    pub to: Instant,
}

/// A dispatcher: its current process, if any, and the state that outlives processes.
pub struct Dispatcher {
    /// Its index.
    pub number: usize,
    /// The interface of discovery to this dispatcher.
    pub link: Arc<DiscoveryLink>,
    /// The address at which clients connect to its current process.
    pub address: Mutex<Option<String>>,
    /// The address of its Gearman frontend, if it has one.
    pub gearman: Mutex<Option<String>>,
    /// Its processes, in order.
    pub runs: Mutex<Vec<ProcessRun>>,
    /// The periods in which idle connections exhausted its sockets.
    pub socket_exhaustions: Mutex<Vec<SocketExhaustion>>,
    child: Mutex<Option<Child>>,
    /// The watch over the memory of each process, in order.
    memory: Mutex<Vec<MemoryWatch>>,
    /// Whether a fault is about to end its process, or no process was started yet.
    is_claimed: AtomicBool,
    /// Held while its configuration is written and a process reads it.
    config_lock: Mutex<()>,
    config: PathBuf,
    gearman_config: PathBuf,
    bootstrap_list: String,
    conditions: Conditions,
    instance_count: usize,
}

impl Dispatcher {
    pub(super) fn new(
        number: usize,
        instance_count: usize,
        service: Arc<DiscoveryService>,
        conditions: Conditions,
    ) -> Dispatcher {
        let bootstrap_list = service.endpoints.snapshot().text;
        let link = DiscoveryLink::start(service, conditions.lists);
        let file = format!(
            "pumiceway-fleet-{}-{:p}-{number}.json",
            std::process::id(),
            link
        );
        Dispatcher {
            number,
            link,
            address: Mutex::default(),
            gearman: Mutex::default(),
            runs: Mutex::default(),
            socket_exhaustions: Mutex::default(),
            child: Mutex::default(),
            memory: Mutex::default(),
            is_claimed: AtomicBool::new(true),
            config_lock: Mutex::default(),
            gearman_config: std::env::temp_dir().join(format!("{file}.toml")),
            config: std::env::temp_dir().join(file),
            bootstrap_list,
            conditions,
            instance_count,
        }
    }

    /// Starts a process. Each process has the same bootstrap list as the first.
    pub fn launch(&self, fleet: &TestFleet) {
        let config_lock = self.config_lock.lock().unwrap();
        self.write_config();
        let started_at = Instant::now();
        let with_gearman = [OsStr::new("--gearman"), self.gearman_config.as_os_str()];
        let arguments: &[&OsStr] = if self.conditions.gearman {
            &with_gearman
        } else {
            &[]
        };
        let (child, listening_line) = serve(&fleet.program, &self.config, arguments);
        let address_in = |name| field(listening_line.as_deref()?, name);
        let address = address_in("address");
        *self.gearman.lock().unwrap() = address_in("gearman").filter(|_| self.conditions.gearman);
        self.watch_memory(child.id());
        *self.child.lock().unwrap() = Some(child);
        self.runs.lock().unwrap().push(ProcessRun {
            started_at,
            terminated_at: None,
            killed_at: None,
        });
        *self.address.lock().unwrap() = address;
        drop(config_lock);
        self.is_claimed.store(false, Ordering::SeqCst);
    }

    /// Watches the memory of its process, and kills the process over the limit, as the platform does.
    fn watch_memory(&self, process: u32) {
        let limit = self.conditions.memory_mb << 20;
        let kill = move || send_signal(process, Signal::KILL);
        let watch = MemoryWatch::start(process, limit, kill);
        self.memory.lock().unwrap().push(watch);
    }

    /// What was seen of the memory of its processes, in order.
    pub fn memory_records(&self) -> Vec<MemoryRecord> {
        let watches = self.memory.lock().unwrap();
        watches.iter().map(MemoryWatch::record).collect()
    }

    /// Moves its discovery to another address with a new configuration.
    pub fn reconfigure(&self, old_address: OldAddress) {
        let _config_lock = self.config_lock.lock().unwrap();
        self.link.move_to_next_address(old_address);
        self.write_config();
        self.signal(Signal::HUP);
        self.link.record_move();
    }

    /// Writes the configuration, with the current address of discovery.
    fn write_config(&self) {
        let settings = self.conditions.settings(self.number, self.instance_count);
        let discovery = self.link.address();
        let bootstrap_list = &self.bootstrap_list;
        let Conditions {
            sockets, memory_mb, ..
        } = self.conditions;
        let limits = format!(r#"{{"sockets":{sockets},"memory_mb":{memory_mb}}}"#);
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","limits":{limits},"known":{bootstrap_list},"settings":{settings}}}"#
        );
        std::fs::write(&self.config, text).unwrap();
        // The connections are as many as the lowest socket limit permits.
        let text = "listen = \"127.0.0.1:0\"\nconnections = 20\njobs = 64\n".to_owned();
        let functions = functions::FUNCTIONS
            .iter()
            .map(|(name, class)| format!("[functions.{name}]\nclass = \"{class}\"\n"));
        std::fs::write(&self.gearman_config, text + &functions.collect::<String>()).unwrap();
    }

    /// The address at which clients connect to its current process.
    pub(super) fn http(&self) -> Option<String> {
        self.address.lock().unwrap().clone()
    }

    /// The address of the Gearman frontend of its current process, if it has one.
    pub(super) fn gearman(&self) -> Option<String> {
        self.gearman.lock().unwrap().clone()
    }

    /// Connects a client to its current process.
    pub(super) fn connect(&self) -> Option<Peer> {
        connect(self.http())
    }

    /// Connects a Gearman worker or client to its current process.
    pub(super) fn connect_gearman(&self) -> Option<Peer> {
        connect(self.gearman())
    }

    /// The id of its process, if any.
    pub fn process(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to its process, if any.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.child.lock().unwrap() {
            send_signal(child.id(), signal);
        }
    }

    /// Kills its process and waits until it has ended.
    pub fn kill(&self) {
        self.forget_addresses();
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // Recorded afterwards, as requests that arrive until the process has ended may be lost.
        self.update_run(|run| run.killed_at = Some(Instant::now()));
    }

    /// Asks its process to stop, with a second SIGTERM if requested, and kills it if it still runs
    /// at the earliest time at which it may be killed.
    pub fn terminate(&self, fleet: &TestFleet, second_sigterm: bool) {
        let terminated_at = Instant::now();
        self.update_run(|run| run.terminated_at = Some(terminated_at));
        self.signal(Signal::TERM);
        std::thread::sleep(STOP_PROPAGATION_DELAY);
        if second_sigterm {
            self.signal(Signal::TERM);
        }
        self.forget_addresses();
        let kill_at = terminated_at + self.conditions.kill_after();
        while Instant::now() < kill_at {
            if self.reap(fleet) {
                return;
            }
            std::thread::sleep(EXIT_POLL);
        }
        self.kill();
    }

    fn forget_addresses(&self) {
        *self.address.lock().unwrap() = None;
        *self.gearman.lock().unwrap() = None;
    }

    /// Whether its process has ended. Records a violation if the process has exited with an error.
    fn reap(&self, fleet: &TestFleet) -> bool {
        let status = self
            .child
            .lock()
            .unwrap()
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = status else {
            return false;
        };
        if !status.success() {
            fleet.record_violation(format!(
                "dispatcher {} failed in its shutdown: {status}",
                self.number
            ));
        }
        *self.child.lock().unwrap() = None;
        true
    }

    /// Whether its process has ended without being asked to.
    pub fn has_crashed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until its process reports that it is ready. Returns whether it does before the timeout.
    pub fn ready_within(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        loop {
            if self.http().is_some_and(|address| is_ready(&address)) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(READY_POLL);
        }
    }

    /// Claims the dispatcher for a fault that ends its process. Returns false if another fault has
    /// claimed it before.
    pub fn claim(&self) -> bool {
        !self.is_claimed.swap(true, Ordering::SeqCst)
    }

    fn update_run(&self, update: impl FnOnce(&mut ProcessRun)) {
        if let Some(run) = self.runs.lock().unwrap().last_mut() {
            update(run);
        }
    }
}

fn connect(address: Option<String>) -> Option<Peer> {
    Some(Peer::new(TcpStream::connect(address?).ok()?))
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.gearman_config);
    }
}
