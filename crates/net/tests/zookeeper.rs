//! Endpoints registered in ZooKeeper, with a stand-in that implements the required part of the
//! ZooKeeper protocol.

use pumiceway_net::config::ZooKeeperConfig;
use pumiceway_test_support::{Peer, ScenarioRunner};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PATH: &str = "/pumiceway/workers";

/// Longer than the lease on a list that is not confirmed, which is 6 s.
const LONGER_THAN_LEASE: Duration = Duration::from_millis(6_500);

/// Operation codes of the protocol.
const GET_DATA: i32 = 4;
const GET_CHILDREN: i32 = 8;
const PING: i32 = 11;
const GET_CHILDREN_2: i32 = 12;
const ADD_WATCH: i32 = 106;

/// Error codes of the protocol.
const NO_NODE: i32 = -101;
const UNIMPLEMENTED: i32 = -6;

/// Event types of the protocol, and the state of a connected session.
const NODE_CREATED: i32 = 1;
const NODE_DELETED: i32 = 2;
const SYNC_CONNECTED: i32 = 3;

/// A ZooKeeper ensemble with the children of one node, which notifies watchers of each change.
#[derive(Clone, Default)]
struct Ensemble(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    nodes: BTreeMap<String, String>,
    watchers: Vec<TcpStream>,
    /// Requests are read but not answered.
    is_silent: bool,
}

/// Encodes a string or buffer of the protocol, prefixed with its length.
fn encode_string(value: &str) -> Vec<u8> {
    [&(value.len() as i32).to_be_bytes()[..], value.as_bytes()].concat()
}

/// Encodes a message of the protocol, prefixed with its length.
fn encode_message(parts: &[&[u8]]) -> Vec<u8> {
    let body = parts.concat();
    [&(body.len() as i32).to_be_bytes()[..], &body].concat()
}

/// Encodes the metadata of a node: czxid, mzxid, ctime, mtime, three versions, owner, length of the
/// data, number of children, pzxid.
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
    /// Starts to listen and returns the address.
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

    /// Creates a node with this data, or deletes it if there is no data, and notifies the watchers.
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
        let path = encode_string(&format!("{PATH}/{name}"));
        let head = [
            (-1i32).to_be_bytes().to_vec(),
            (-1i64).to_be_bytes().to_vec(),
            0i32.to_be_bytes().to_vec(),
        ];
        let event = encode_message(&[
            &head.concat(),
            &event_type.to_be_bytes(),
            &SYNC_CONNECTED.to_be_bytes(),
            &path,
        ]);
        state
            .watchers
            .retain_mut(|watcher| watcher.write_all(&event).is_ok());
    }

    /// Closes all connections with a watch.
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
        // The first request opens the session. Its fields are the protocol version, last zxid,
        // timeout, session id and password.
        let Some((connect, mut out)) = read() else {
            return;
        };
        let timeout = &connect[12..16];
        let password = [&16i32.to_be_bytes()[..], &[1; 16]].concat();
        let _ = out.write_all(&encode_message(&[
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
                    let names: Vec<_> =
                        state.nodes.keys().map(|name| encode_string(name)).collect();
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
                        [encode_string(data), stat(0)].concat()
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
            if out.write_all(&encode_message(&[&head, &body])).is_err() {
                return;
            }
        }
    }
}

/// Waits until the `routes` admin command lists this line.
fn wait_until_listed(runner: &ScenarioRunner, line: &str) {
    for _ in 0..400 {
        let mut admin = Peer::new(TcpStream::connect(runner.gearman).unwrap());
        admin.send(r"raw routes\n");
        if admin.read_until(".\n").contains(line) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the endpoint list never contains {line:?}");
}

/// Sends a client's request and expects this endpoint to serve it.
fn expect_served(runner: &mut ScenarioRunner, endpoint: &str, id: &str) {
    runner.continue_with(&format!(
        "c send POST /rate-push/k {id} 5000 x
         {endpoint} wait {endpoint}{id}
         {endpoint}{id} expect POST /rate-push/k {id}
         {endpoint}{id} send done {id}
         c expect 200 {id}"
    ));
}

/// Starts a dispatcher with these endpoints from discovery and this ensemble as a further source.
fn runner(endpoints: &[&str], ensemble: &Ensemble, session_timeout: Duration) -> ScenarioRunner {
    let config = ZooKeeperConfig {
        servers: ensemble.start(),
        path: PATH.to_owned(),
        session_timeout,
    };
    ScenarioRunner::with_zookeeper(endpoints, Some(config))
}

/// Adds an endpoint `z1` to the runner and registers it as the node `aa`.
fn register(runner: &mut ScenarioRunner, ensemble: &Ensemble) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    runner.add_listener("z1", listener);
    let data = format!(r#"{{"address":"{address}","zone":"z","type":"k"}}"#);
    ensemble.set("aa", Some(data));
}

// Requests must not be sent to an endpoint whose node was removed, even if the session of the
// dispatcher ended in the meantime.
#[test]
fn an_ephemeral_node_is_an_endpoint_for_as_long_as_it_exists() {
    let ensemble = Ensemble::default();
    let mut runner = runner(&["w1", "w2"], &ensemble, Duration::from_secs(6));
    // The endpoints from discovery belong to another source and are not affected.
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

// The last list of an ensemble that has stopped responding must not be used indefinitely.
#[test]
fn a_node_is_used_only_while_the_ensemble_responds() {
    let ensemble = Ensemble::default();
    // Longer than the lease on the list, so that the session does not end before the lease expires.
    let mut runner = runner(&["w1"], &ensemble, Duration::from_secs(60));
    register(&mut runner, &ensemble);
    wait_until_listed(&runner, "aa\tReady");
    // The list stays in use for longer than an unconfirmed one, because the ensemble confirms it.
    std::thread::sleep(LONGER_THAN_LEASE);
    expect_served(&mut runner, "z1", "t1");
    ensemble.0.lock().unwrap().is_silent = true;
    std::thread::sleep(LONGER_THAN_LEASE);
    expect_served(&mut runner, "w1", "t2");
}
