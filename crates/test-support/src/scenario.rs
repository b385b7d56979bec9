//! A small language for message exchanges on loopback. Each line is a step of one peer.
//!
//! ```text
//! c send POST /rate-push/k t1 5000 body   a client's request: path, X-Txn, X-Remaining-Ms, body
//! g send [SUBMIT_JOB rate-push|u1|body]   a Gearman packet; names of Gearman peers start with g
//! w1 wait a                               endpoint w1 accepts a connection, whose peer is called a
//! a expect POST /rate-push/k t1           a request: method, start of its path, and texts in
//!                                         it; `!text` for text not in it, `\x20` for a space and
//!                                         `\x09` for a tab
//! a send 200                              the head of a chunked response
//! a send + {"id":"t1","from":"w1",…}      a line of it; `a send .` ends it
//! a send json {…}                         a complete response with this body
//! a send done 42                          a complete response to the request read last
//! c expect 200 42                         a response: its status, and texts in it
//! g expect [JOB_CREATED $h]               a packet; * matches any argument, $h binds it for later
//! c send raw text\r\n                     these characters, with escapes replaced
//! c send first 20 POST …                  the first 20 bytes of a message; `after 20` for the rest
//! g send [ECHO_REQ a] && [ECHO_REQ b]     two messages at once
//! c close                                 c expect end: the other side has closed
//! ```
//!
//! A peer without a connection connects to the dispatcher. Each `expect` and `wait` has a timeout.

use crate::listing::endpoint_line;
use crate::peer::{Peer, TIMEOUT, accept};
use pumiceway_net::config::{Config, GearmanConfig, Reload, ZooKeeperConfig};
use pumiceway_net::event_loop::Dispatcher;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc::UnboundedReceiver, mpsc::UnboundedSender, oneshot};

/// The settings of scenarios: no health checks, one zone, no slow start.
pub const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"rate-push","aim-us":500000,"deadline-us":5000000,"points":2.0,"semantics":"read_like"},
    {"name":"booking-import","aim-us":1500000,"deadline-us":6000000,"points":3.0,"semantics":"non_idempotent"}],
  "family-info":{"class-stretch":[2.5,2.0],"tells-start":true,"progress-us":2000000},
  "limits":{"most-tries":6,"cancel":true,"second-copies":false,"retry-after":true,
    "max-retry-after-us":2000000,"connect-timeout-us":250000,"conn-idle-us":15000000},"rules":{}}"#;

/// The name of the listener that is the discovery service instead of an endpoint.
const DISCOVERY: &str = "discovery";
/// How often the endpoint set is polled.
const LIST_POLL: Duration = Duration::from_millis(2);

/// Runs scenarios with a dispatcher, which has its own thread, and stand-ins around it.
pub struct ScenarioRunner {
    /// The address of the dispatcher's HTTP frontend.
    pub http: SocketAddr,
    /// The address of the dispatcher's Gearman frontend.
    pub gearman: SocketAddr,
    listeners: HashMap<String, TcpListener>,
    peers: HashMap<String, Peer>,
    /// The variables that patterns of packets have bound.
    variables: HashMap<String, String>,
    reload: UnboundedSender<Reload>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// A dispatcher that runs on its own thread.
struct RunningDispatcher {
    http: SocketAddr,
    gearman: SocketAddr,
    reload: UnboundedSender<Reload>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ScenarioRunner {
    /// Starts a dispatcher whose bootstrap list has these endpoints. The name `discovery` stands for
    /// the discovery service instead.
    pub fn new(endpoints: &[&str]) -> ScenarioRunner {
        ScenarioRunner::with_zookeeper(endpoints, None)
    }

    /// Like [`new`](ScenarioRunner::new), with an additional endpoint set in ZooKeeper.
    pub fn with_zookeeper(
        endpoints: &[&str],
        zookeeper: Option<ZooKeeperConfig>,
    ) -> ScenarioRunner {
        ScenarioRunner::with_settings(endpoints, zookeeper, SETTINGS)
    }

    /// Like [`with_zookeeper`](ScenarioRunner::with_zookeeper), with other settings.
    pub fn with_settings(
        endpoints: &[&str],
        zookeeper: Option<ZooKeeperConfig>,
        settings: &str,
    ) -> ScenarioRunner {
        ScenarioRunner::start(endpoints, zookeeper, settings, &[])
    }

    /// Starts a dispatcher with these functions, each with its class, instead of one for each class.
    pub fn with_functions(
        endpoints: &[&str],
        settings: &str,
        functions: &[(&str, &str)],
    ) -> ScenarioRunner {
        ScenarioRunner::start(endpoints, None, settings, functions)
    }

    fn start(
        endpoints: &[&str],
        zookeeper: Option<ZooKeeperConfig>,
        settings: &str,
        functions: &[(&str, &str)],
    ) -> ScenarioRunner {
        let listeners = bind_listeners(endpoints);
        let text = config_text(endpoints, &listeners, settings);
        let mut config = Config::from_text(&text, "config", |_| None).unwrap();
        config.gearman = Some(gearman_config(&config, functions));
        config.zookeeper = zookeeper;
        let dispatcher = run_dispatcher(config);
        ScenarioRunner {
            http: dispatcher.http,
            gearman: dispatcher.gearman,
            listeners,
            peers: HashMap::new(),
            variables: HashMap::new(),
            reload: dispatcher.reload,
            stop: Some(dispatcher.stop),
            thread: Some(dispatcher.thread),
        }
    }

    /// Starts a dispatcher with these endpoints, and runs a scenario.
    pub fn run(endpoints: &[&str], scenario: &str) -> ScenarioRunner {
        let mut runner = ScenarioRunner::new(endpoints);
        runner.continue_with(scenario);
        runner
    }

    /// Runs a further scenario.
    pub fn continue_with(&mut self, scenario: &str) {
        let lines = scenario.lines().map(str::trim);
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
            self.run_line(line);
        }
    }

    fn run_line(&mut self, line: &str) {
        let (peer, step) = line
            .split_once(' ')
            .unwrap_or_else(|| panic!("{line}: no step"));
        let (verb, argument) = step.split_once(' ').unwrap_or((step, ""));
        match verb {
            "send" => {
                let message = self.replace_variables(argument);
                self.peer(peer).send(&message);
            }
            "expect" => {
                let bound = self.peer(peer).expect(argument);
                let bound = bound.unwrap_or_else(|error| panic!("{line}: {error}"));
                self.variables.extend(bound);
            }
            "wait" => {
                let stream = accept(&self.listeners[peer])
                    .unwrap_or_else(|| panic!("{line}: no connection"));
                self.peers.insert(argument.to_owned(), Peer::new(stream));
            }
            "close" => drop(self.peers.remove(peer)),
            _ => panic!("{line}: unknown step"),
        }
    }

    fn replace_variables(&self, message: &str) -> String {
        let mut replaced = message.to_owned();
        for (name, value) in &self.variables {
            replaced = replaced.replace(&format!("${name}"), value);
        }
        replaced
    }

    /// The peer of this name, which is connected to the dispatcher if it has no connection yet.
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

    /// Removes and returns a listener, for a stand-in that the test implements itself.
    pub fn take_listener(&mut self, name: &str) -> TcpListener {
        self.listeners.remove(name).unwrap()
    }

    /// Adds a listener for an endpoint that is not in the bootstrap list.
    pub fn add_listener(&mut self, name: &str, listener: TcpListener) {
        self.listeners.insert(name.to_owned(), listener);
    }

    /// The port of a listener.
    pub fn listener_port(&self, name: &str) -> u16 {
        self.listeners[name].local_addr().unwrap().port()
    }

    /// Reloads the configuration of the dispatcher, with this listener as the discovery service.
    pub fn reload(&mut self, name: &str) {
        let discovery = self.listeners[name].local_addr().unwrap().to_string();
        let reload = Reload {
            discovery,
            restart_required: vec![],
        };
        self.reload.send(reload).unwrap();
    }

    /// Makes a peer send chunks of a single byte, one per interval, until `is_over` or the other side
    /// closes.
    pub fn send_slowly(
        &mut self,
        peer: &str,
        interval: Duration,
        is_over: impl Fn() -> bool + Send + 'static,
    ) -> JoinHandle<()> {
        let mut peer = self.peers.remove(peer).unwrap();
        std::thread::spawn(move || peer.trickle(interval, is_over))
    }

    /// Waits until the endpoint set lists an endpoint in a state.
    pub fn wait_until_listed(&mut self, endpoint: &str, state: &str) {
        let line = format!("{endpoint}\t{state}\t");
        let end = Instant::now() + TIMEOUT;
        loop {
            let mut peer = Peer::new(TcpStream::connect(self.gearman).unwrap());
            peer.send("raw routes\\n");
            let listed = peer.read_until(".\n");
            if listed.contains(&line) {
                return;
            }
            assert!(Instant::now() < end, "no {line:?} in {listed}");
            std::thread::sleep(LIST_POLL);
        }
    }

    /// Asks the dispatcher to stop.
    pub fn request_stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until the dispatcher has exited.
    pub fn wait_for_exit(&mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

fn bind_listeners(names: &[&str]) -> HashMap<String, TcpListener> {
    let bind = |name: &&str| (name.to_string(), TcpListener::bind("127.0.0.1:0").unwrap());
    names.iter().map(bind).collect()
}

fn config_text(names: &[&str], listeners: &HashMap<String, TcpListener>, settings: &str) -> String {
    let address = |name: &str| listeners[name].local_addr().unwrap();
    let bootstrap_list: Vec<String> = names
        .iter()
        .filter(|name| !name.starts_with(DISCOVERY))
        .map(|name| endpoint_line(name, address(name).port(), "ready"))
        .collect();
    let bootstrap_list = bootstrap_list.join(",");
    let discovery = if names.contains(&DISCOVERY) {
        format!(r#""discovery":"{}","#, address(DISCOVERY))
    } else {
        String::new()
    };
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7",{discovery}"known":{{"index":1,"snapshot":true,"endpoints":[{bootstrap_list}]}},"settings":{settings}}}"#
    )
}

/// The configuration of a Gearman frontend, which has a separate file, with these functions and the
/// classes that they stand for.
fn gearman_config(config: &Config, functions: &[(&str, &str)]) -> GearmanConfig {
    let file = std::env::temp_dir().join(format!(
        "pumiceway-{}-{:?}.toml",
        std::process::id(),
        std::thread::current().id()
    ));
    let tables = functions
        .iter()
        .map(|(name, class)| format!("[functions.{name}]\nclass = \"{class}\"\n"));
    let text = "listen = \"127.0.0.1:0\"\n".to_owned() + &tables.collect::<String>();
    std::fs::write(&file, text).unwrap();
    let gearman =
        GearmanConfig::from_file(&file, &config.deployment, config.socket_budget.inbound).unwrap();
    std::fs::remove_file(&file).unwrap();
    gearman
}

fn run_dispatcher(config: Config) -> RunningDispatcher {
    let (stop, stopped) = oneshot::channel();
    let (reload, reloads) = tokio::sync::mpsc::unbounded_channel();
    let (addresses, bound) = mpsc::channel();
    let thread = std::thread::spawn(move || serve(config, addresses, stopped, reloads));
    let (http, gearman) = bound.recv().unwrap();
    RunningDispatcher {
        http,
        gearman: gearman.unwrap(),
        reload,
        stop,
        thread,
    }
}

/// Runs a dispatcher until it is stopped. Sends the addresses of its frontends when they listen.
fn serve(
    config: Config,
    addresses: mpsc::Sender<(SocketAddr, Option<SocketAddr>)>,
    stopped: oneshot::Receiver<()>,
    reloads: UnboundedReceiver<Reload>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let dispatcher = Dispatcher::bind(config).await.unwrap();
        addresses.send(dispatcher.addresses().unwrap()).unwrap();
        dispatcher
            .run(async { drop(stopped.await) }, reloads)
            .await
            .unwrap();
    });
}
