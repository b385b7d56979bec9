//! Endpoints registered in ZooKeeper, against a test double that implements the needed part of its
//! protocol.

use pumiceway_net::config::ZooKeeperConfig;
use pumiceway_test_support::{Peer, ScenarioRunner};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PATH: &str = "/pumiceway/workers";

/// A list that is not confirmed is used for 6 s.
const LONGER_THAN_LEASE: Duration = Duration::from_millis(6_500);

/// Operations of the protocol.
const GET_DATA: i32 = 4;
const GET_CHILDREN: i32 = 8;
const PING: i32 = 11;
const GET_CHILDREN_2: i32 = 12;
const ADD_WATCH: i32 = 106;

/// Errors of the protocol.
const NO_NODE: i32 = -101;
const UNIMPLEMENTED: i32 = -6;

/// Events of the protocol, and the state of a connected session.
const NODE_CREATED: i32 = 1;
const NODE_DELETED: i32 = 2;
const SYNC_CONNECTED: i32 = 3;

/// An ensemble with one directory of ephemeral nodes, whose watchers get every change.
#[derive(Clone, Default)]
struct Ensemble(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    nodes: BTreeMap<String, String>,
    watchers: Vec<TcpStream>,
    /// It reads requests and responds to none.
    is_silent: bool,
}

/// A string or buffer of the protocol, with its length in front.
fn text(value: &str) -> Vec<u8> {
    [&(value.len() as i32).to_be_bytes()[..], value.as_bytes()].concat()
}

/// A message of the protocol, with its length in front.
fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let body = parts.concat();
    [&(body.len() as i32).to_be_bytes()[..], &body].concat()
}

/// The metadata of a node: czxid, mzxid, ctime, mtime, three versions, owner, length of the data,
/// number of children, pzxid.
fn stat(children: i32) -> Vec<u8> {
    let (long, int) = (
        |n: i64| n.to_be_bytes().to_vec(),
        |n: i32| n.to_be_bytes().to_vec(),
    );
    [
        long(1),
        long(1),
        long(0),
        long(0),
        int(0),
        int(0),
        int(0),
        long(7),
        int(0),
        int(children),
        long(1),
    ]
    .concat()
}

impl Ensemble {
    /// Starts to listen; returns the address.
    fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let ensemble = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (ensemble, stream) = (ensemble.clone(), stream.unwrap());
                std::thread::spawn(move || ensemble.serve_session(stream));
            }
        });
        address
    }

    /// Creates a node with this data or, without data, deletes it; watchers get an event.
    fn set(&self, name: &str, data: Option<String>) {
        let mut state = self.0.lock().unwrap();
        let event_type = if data.is_some() {
            NODE_CREATED
        } else {
            NODE_DELETED
        };
        match data {
            Some(data) => drop(state.nodes.insert(name.to_owned(), data)),
            None => drop(state.nodes.remove(name)),
        }
        let path = text(&format!("{PATH}/{name}"));
        let head = [
            (-1i32).to_be_bytes().to_vec(),
            (-1i64).to_be_bytes().to_vec(),
            0i32.to_be_bytes().to_vec(),
        ];
        let event = frame(&[
            &head.concat(),
            &event_type.to_be_bytes(),
            &SYNC_CONNECTED.to_be_bytes(),
            &path,
        ]);
        state
            .watchers
            .retain_mut(|watcher| watcher.write_all(&event).is_ok());
    }

    /// Closes every connection that has a watch.
    fn drop_sessions(&self) {
        for watcher in self.0.lock().unwrap().watchers.drain(..) {
            let _ = watcher.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve_session(&self, mut stream: TcpStream) {
        let mut read = || {
            let mut size = [0; 4];
            stream.read_exact(&mut size).ok()?;
            let mut body = vec![0; i32::from_be_bytes(size) as usize];
            stream.read_exact(&mut body).ok()?;
            Some((body, stream.try_clone().ok()?))
        };
        // The first request opens the session: protocol, last zxid, timeout, session id, password.
        let Some((connect, mut out)) = read() else {
            return;
        };
        let timeout = &connect[12..16];
        let password = [&16i32.to_be_bytes()[..], &[1; 16]].concat();
        let _ = out.write_all(&frame(&[
            &0i32.to_be_bytes(),
            timeout,
            &7i64.to_be_bytes(),
            &password,
            &[0],
        ]));
        while let Some((request, mut out)) = read() {
            let mut state = self.0.lock().unwrap();
            if state.is_silent {
                continue;
            }
            let (xid, operation) = (
                &request[..4],
                i32::from_be_bytes(request[4..8].try_into().unwrap()),
            );
            let path =
                || String::from_utf8_lossy(&request[12..12 + request[11] as usize]).into_owned();
            let mut error = 0i32;
            let body = match operation {
                ADD_WATCH => {
                    state.watchers.push(out.try_clone().unwrap());
                    vec![]
                }
                PING => vec![],
                GET_CHILDREN | GET_CHILDREN_2 => {
                    let names: Vec<_> = state.nodes.keys().map(|name| text(name)).collect();
                    let stat = if operation == GET_CHILDREN_2 {
                        stat(names.len() as i32)
                    } else {
                        vec![]
                    };
                    [
                        &(names.len() as i32).to_be_bytes()[..],
                        &names.concat(),
                        &stat,
                    ]
                    .concat()
                }
                GET_DATA => {
                    if let Some(data) = state.nodes.get(path().rsplit('/').next().unwrap()) {
                        [text(data), stat(0)].concat()
                    } else {
                        error = NO_NODE;
                        vec![]
                    }
                }
                _ => {
                    error = UNIMPLEMENTED;
                    vec![]
                }
            };
            let head = [xid, &1i64.to_be_bytes(), &error.to_be_bytes()].concat();
            if out.write_all(&frame(&[&head, &body])).is_err() {
                return;
            }
        }
    }
}

/// Waits until the endpoint list of the console has this line.
fn wait_until_listed(runner: &ScenarioRunner, line: &str) {
    for _ in 0..400 {
        let mut console = Peer::new(TcpStream::connect(runner.gearman).unwrap());
        console.send(r"raw routes\n");
        if console.read_until(".\n").contains(line) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the endpoint list never has {line:?}");
}

/// A client's request is served by this endpoint.
fn expect_served(runner: &mut ScenarioRunner, endpoint: &str, id: &str) {
    runner.continue_with(&format!(
        "c send POST /rate-push/k {id} 5000 x
         {endpoint} wait {endpoint}{id}
         {endpoint}{id} expect POST /rate-push/k {id}
         {endpoint}{id} send done {id}
         c expect 200 {id}"
    ));
}

/// A dispatcher that discovery has sent these endpoints, and that follows this ensemble.
fn runner(endpoints: &[&str], ensemble: &Ensemble, session_timeout: Duration) -> ScenarioRunner {
    let config = ZooKeeperConfig {
        servers: ensemble.start(),
        path: PATH.to_owned(),
        session_timeout,
    };
    ScenarioRunner::with_zookeeper(endpoints, Some(config))
}

/// An endpoint `z1` of the runner, which registers the node `aa`.
fn register(runner: &mut ScenarioRunner, ensemble: &Ensemble) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    runner.add_listener("z1", listener);
    let data = format!(r#"{{"address":"{address}","zone":"z","type":"k"}}"#);
    ensemble.set("aa", Some(data));
}

// Nothing is sent to an endpoint whose node has gone, also while sessions end.
#[test]
fn an_ephemeral_node_is_an_endpoint_for_as_long_as_it_exists() {
    let ensemble = Ensemble::default();
    let mut runner = runner(&["w1", "w2"], &ensemble, Duration::from_secs(6));
    // The endpoints of discovery are another source's, and stay.
    register(&mut runner, &ensemble);
    ensemble.set("bad", Some("nonsense".to_owned()));
    wait_until_listed(&runner, "aa\tReady");
    wait_until_listed(&runner, "w1\tReady");
    expect_served(&mut runner, "z1", "t1");
    ensemble.drop_sessions();
    ensemble.set("aa", None);
    wait_until_listed(&runner, "aa\tGone");
    expect_served(&mut runner, "w1", "t2");
}

// The last list of an ensemble that is silent must not be used without end.
#[test]
fn a_node_is_used_only_while_the_ensemble_responds() {
    let ensemble = Ensemble::default();
    // Longer than the lease of the list: the session itself does not end before that.
    let mut runner = runner(&["w1"], &ensemble, Duration::from_secs(60));
    register(&mut runner, &ensemble);
    wait_until_listed(&runner, "aa\tReady");
    // Longer than the lease of a list that is not confirmed.
    std::thread::sleep(LONGER_THAN_LEASE);
    expect_served(&mut runner, "z1", "t1");
    ensemble.0.lock().unwrap().is_silent = true;
    std::thread::sleep(LONGER_THAN_LEASE);
    expect_served(&mut runner, "w1", "t2");
}
