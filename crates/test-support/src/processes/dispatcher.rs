//! A dispatcher process: it is started, configured, signalled, killed, and started again.

use super::discovery::{DiscoveryLink, OldAddress};
use super::program::{field, is_ready, serve};
use super::service::DiscoveryService;
use super::{Conditions, TestFleet};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// New connections keep coming for so long after a dispatcher is asked to stop.
const CLIENTS_LEARN_OF_STOP: Duration = Duration::from_millis(300);
/// How often the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(5);
/// How often a process is asked whether it is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// One process of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// When it was started.
    pub started_at: Instant,
    /// When it was asked to stop.
    pub terminated_at: Option<Instant>,
    /// When it was killed. What it had in flight may be lost then, unless it had been asked to stop
    /// before.
    pub killed_at: Option<Instant>,
}

/// A time during which idle connections filled the sockets of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct CrowdedTime {
    pub from: Instant,
    pub to: Instant,
}

/// A dispatcher: its process, if one runs, and what outlives its processes.
pub struct Dispatcher {
    /// Its index.
    pub number: usize,
    /// Discovery as this dispatcher sees it.
    pub link: Arc<DiscoveryLink>,
    /// Where clients connect to its current process.
    pub address: Mutex<Option<String>>,
    /// Its processes, in order.
    pub runs: Mutex<Vec<ProcessRun>>,
    /// When idle connections filled its sockets.
    pub crowded_times: Mutex<Vec<CrowdedTime>>,
    child: Mutex<Option<Child>>,
    /// A fault is about to end its process, or no process was started yet.
    is_claimed: AtomicBool,
    /// Locked while its configuration is written and read.
    configuring: Mutex<()>,
    config: PathBuf,
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
            runs: Mutex::default(),
            crowded_times: Mutex::default(),
            child: Mutex::default(),
            is_claimed: AtomicBool::new(true),
            configuring: Mutex::default(),
            config: std::env::temp_dir().join(file),
            bootstrap_list,
            conditions,
            instance_count,
        }
    }

    /// Starts a process, on the bootstrap list that the first one began with.
    pub fn launch(&self, world: &TestFleet) {
        let configuring = self.configuring.lock().unwrap();
        self.write_config();
        let started_at = Instant::now();
        let (child, listens) = serve(&world.program, &self.config, &[]);
        let address = listens.and_then(|line| field(&line, "address"));
        *self.child.lock().unwrap() = Some(child);
        self.runs.lock().unwrap().push(ProcessRun {
            started_at,
            terminated_at: None,
            killed_at: None,
        });
        *self.address.lock().unwrap() = address;
        drop(configuring);
        self.is_claimed.store(false, Ordering::SeqCst);
    }

    /// A new configuration moves its discovery to another address.
    pub fn reconfigure(&self, old_address: OldAddress) {
        let _configuring = self.configuring.lock().unwrap();
        self.link.move_away(old_address);
        self.write_config();
        self.signal("-HUP");
        self.link.note_move();
    }

    /// Writes the configuration, with discovery where it is now.
    fn write_config(&self) {
        let settings = self.conditions.settings(self.number, self.instance_count);
        let discovery = self.link.address();
        let bootstrap_list = &self.bootstrap_list;
        let sockets = self.conditions.sockets;
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":{sockets}}},"known":{bootstrap_list},"settings":{settings}}}"#
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

    /// Kills its process and waits for the end of it.
    pub fn kill(&self) {
        *self.address.lock().unwrap() = None;
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // Noted afterwards: what arrives until the process is dead is lost with it.
        self.update_run(|run| run.killed_at = Some(Instant::now()));
    }

    /// Asks its process to stop, twice if so drawn, and kills it at the earliest time at which that
    /// may happen.
    pub fn terminate(&self, world: &TestFleet, twice: bool) {
        let terminated_at = Instant::now();
        self.update_run(|run| run.terminated_at = Some(terminated_at));
        self.signal("-TERM");
        std::thread::sleep(CLIENTS_LEARN_OF_STOP);
        if twice {
            self.signal("-TERM");
        }
        *self.address.lock().unwrap() = None;
        let kill_at = terminated_at + self.conditions.kill_after();
        while Instant::now() < kill_at {
            if self.reap(world) {
                return;
            }
            std::thread::sleep(EXIT_POLL);
        }
        self.kill();
    }

    /// Whether its process has ended. Its status must be a success.
    fn reap(&self, world: &TestFleet) -> bool {
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
            world.record_violation(format!(
                "dispatcher {} did not end well: {status}",
                self.number
            ));
        }
        *self.child.lock().unwrap() = None;
        true
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
            std::thread::sleep(READY_POLL);
        }
    }

    /// Claims it for a fault that ends its process. Returns whether no other fault has claimed it.
    pub fn claim(&self) -> bool {
        !self.is_claimed.swap(true, Ordering::SeqCst)
    }

    fn update_run(&self, update: impl FnOnce(&mut ProcessRun)) {
        if let Some(run) = self.runs.lock().unwrap().last_mut() {
            update(run);
        }
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.config);
    }
}
