//! Support for tests of a dispatcher process: the process and its files, a worker, and calls to
//! discovery.
#![allow(dead_code)] // each test file uses only a part

use pumiceway_test_support::processes::{ListDelivery, field, serve};
use pumiceway_test_support::{Peer, serve_each};
use std::ffi::OsStr;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The timeout of operations that take at most a few seconds, even on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A dispatcher process, killed when dropped.
pub struct Process {
    child: Child,
    pub http: String,
    gearman: String,
}

/// The program under test. `FAULT_PROGRAM` sets another build of it.
pub fn program() -> PathBuf {
    std::env::var_os("FAULT_PROGRAM")
        .unwrap_or(env!("CARGO_BIN_EXE_pumiceway").into())
        .into()
}

/// The program under test in its release build, whose memory is that of the deployed one.
/// `FAULT_PROGRAM` sets another build of it.
pub fn release_program() -> PathBuf {
    static BUILT: LazyLock<PathBuf> = LazyLock::new(|| {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--release", "--locked", "--bin", "pumiceway"]);
        let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        assert!(status.unwrap().success(), "the release build has failed");
        let debug = Path::new(env!("CARGO_BIN_EXE_pumiceway"));
        let profiles = debug.ancestors().nth(2).unwrap();
        profiles.join("release").join(debug.file_name().unwrap())
    });
    std::env::var_os("FAULT_PROGRAM").map_or_else(|| BUILT.clone(), PathBuf::from)
}

/// Whether the program under test is another build than that of the tests.
pub fn is_other_build() -> bool {
    std::env::var_os("FAULT_PROGRAM").is_some()
}

impl Process {
    /// Starts the program with this configuration, and waits until it listens.
    pub fn start(config: &Path, gearman: &Path) -> Process {
        Process::start_build(&program(), config, gearman)
    }

    /// Starts this build of the program with this configuration, and waits until it listens.
    pub fn start_build(build: &Path, config: &Path, gearman: &Path) -> Process {
        let arguments = [OsStr::new("--gearman"), gearman.as_os_str()];
        let (child, line) = serve(build, config, &arguments);
        let line = line.unwrap();
        let [http, gearman] = ["address", "gearman"].map(|name| field(&line, name).unwrap());
        Process {
            child,
            http,
            gearman,
        }
    }

    /// The address of its Gearman frontend.
    pub fn gearman(&self) -> &str {
        &self.gearman
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process, and waits until it is suspended.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let started_at = Instant::now();
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the process is not suspended"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until this many requests of a class are open, as counted by the admin command `status`.
    pub fn wait_until_open(&self, class: &str, open: usize) {
        let row = format!("{class}\t{open}\t");
        let started_at = Instant::now();
        loop {
            let mut peer = Peer::new(TcpStream::connect(&self.gearman).unwrap());
            peer.send("raw status\\n");
            let status = peer.read_until(".\n");
            if status.contains(&row) {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "no {row:?} in {status}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a worker that serves all requests. Returns its port, and a channel that receives each
/// request.
pub fn start_worker() -> (u16, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let (report, requests) = channel();
    serve_each(listener, move |mut peer| {
        while let Ok(request) = peer.read_message() {
            let _ = report.send(request);
            peer.send("done yes");
        }
    });
    (port, requests)
}

/// Accepts the next call to discovery, without responding to it.
pub fn accept_call(discovery: &TcpListener) -> Peer {
    let mut peer = Peer::new(discovery.accept().unwrap().0);
    let request = peer.read_message().unwrap();
    assert!(request.starts_with("GET /api/targets"), "{request}");
    peer
}

/// The files of one test, removed when dropped.
pub struct TestFiles {
    pub config: PathBuf,
    pub gearman: PathBuf,
}

impl TestFiles {
    pub fn write(
        name: &str,
        lists: ListDelivery,
        discovery: &TcpListener,
        bootstrap_list: &str,
    ) -> TestFiles {
        let limits = "{}";
        TestFiles::write_with_limits(name, lists, discovery, bootstrap_list, limits)
    }

    /// Like [`write`](TestFiles::write), with these limits.
    pub fn write_with_limits(
        name: &str,
        lists: ListDelivery,
        discovery: &TcpListener,
        bootstrap_list: &str,
        limits: &str,
    ) -> TestFiles {
        let file = |suffix: &str, text: String| {
            let name = format!("pumiceway-{}-{name}-{lists:?}.{suffix}", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).unwrap();
            path
        };
        let settings = lists.settings(0, 1);
        let address = discovery.local_addr().unwrap();
        let config = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{address}","limits":{limits},"known":{bootstrap_list},"settings":{settings}}}"#
        );
        let gearman = "listen = \"127.0.0.1:0\"\n".to_owned();
        TestFiles {
            config: file("json", config),
            gearman: file("toml", gearman),
        }
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.gearman);
    }
}
