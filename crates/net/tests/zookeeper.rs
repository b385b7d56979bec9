//! The route set in ZooKeeper, against a stand-in that speaks as much of its protocol as is needed.

use pumiceway_net::config::ZooKeeperConfig;
use pumiceway_test_support::{Peer, Stage};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PATH: &str = "/pumiceway/workers";

/// A server with one flat folder of ephemeral nodes, whose watchers hear of every change.
#[derive(Clone, Default)]
struct Server(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    nodes: BTreeMap<String, String>,
    watchers: Vec<TcpStream>,
    /// It reads what it is sent and answers nothing.
    silent: bool,
}

/// Strings and buffers go with their length in front.
fn text(value: &str) -> Vec<u8> {
    [&(value.len() as i32).to_be_bytes()[..], value.as_bytes()].concat()
}

fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let body = parts.concat();
    [&(body.len() as i32).to_be_bytes()[..], &body].concat()
}

/// czxid, mzxid, ctime, mtime, versions, owner, lengths and pzxid.
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

impl Server {
    fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (server, stream) = (server.clone(), stream.unwrap());
                std::thread::spawn(move || server.session(stream));
            }
        });
        address
    }

    /// A node comes, or goes as its session ends; watchers get an event.
    fn set(&self, name: &str, data: Option<String>) {
        let mut state = self.0.lock().unwrap();
        let kind: i32 = if data.is_some() { 1 } else { 2 };
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
            &kind.to_be_bytes(),
            &3i32.to_be_bytes(),
            &path,
        ]);
        state.watchers.retain_mut(|w| w.write_all(&event).is_ok());
    }

    /// Ends every session without a word.
    fn drop_sessions(&self) {
        for watcher in self.0.lock().unwrap().watchers.drain(..) {
            let _ = watcher.shutdown(std::net::Shutdown::Both);
        }
    }

    fn session(&self, mut stream: TcpStream) {
        let mut read = || {
            let mut size = [0; 4];
            stream.read_exact(&mut size).ok()?;
            let mut body = vec![0; i32::from_be_bytes(size) as usize];
            stream.read_exact(&mut body).ok()?;
            Some((body, stream.try_clone().ok()?))
        };
        // The first request opens the session: protocol, last zxid, time-out, session id, password.
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
            if state.silent {
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
                // addWatch, ping
                106 => {
                    state.watchers.push(out.try_clone().unwrap());
                    vec![]
                }
                11 => vec![],
                // getChildren and getChildren2
                8 | 12 => {
                    let names: Vec<_> = state.nodes.keys().map(|n| text(n)).collect();
                    let stat = if operation == 12 {
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
                // getData
                4 => match state.nodes.get(path().rsplit('/').next().unwrap()) {
                    Some(data) => [text(data), stat(0)].concat(),
                    None => {
                        error = -101;
                        vec![]
                    }
                },
                _ => {
                    error = -6;
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

/// Looks at the route set until it shows this line; it may take a few looks.
fn until(stage: &Stage, line: &str) {
    for _ in 0..400 {
        let mut console = Peer::new(TcpStream::connect(stage.gearman).unwrap());
        console.send(r"raw routes\n");
        if console.text_to(".\n").contains(line) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the route set never showed {line:?}");
}

/// A client's request is served by this hop.
fn serves(stage: &mut Stage, hop: &str, id: &str) {
    stage.go_on(&format!(
        "c send POST /rate-push/k {id} 5000 x
         {hop} wait {hop}{id}
         {hop}{id} expect POST /rate-push/k {id}
         {hop}{id} send done {id}
         c expect 200 {id}"
    ));
}

// Guards against a worker that is sent jobs after its ephemeral node has gone, and against a
// session that ends.
#[test]
fn an_ephemeral_node_is_a_next_hop_for_as_long_as_it_is_there() {
    let server = Server::default();
    let (servers, session_timeout) = (server.start(), Duration::from_secs(6));
    let mut stage = Stage::with(
        &["w1", "w2"],
        Some(ZooKeeperConfig {
            servers,
            path: PATH.to_owned(),
            session_timeout,
        }),
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    stage.add("z1", listener);
    // What discovery lists is another source's, and stays.
    server.set(
        "aa",
        Some(format!(
            r#"{{"address":"{address}","zone":"z","type":"k"}}"#
        )),
    );
    server.set("bad", Some("nonsense".to_owned()));
    until(&stage, "aa\tReady");
    until(&stage, "w1\tReady");
    serves(&mut stage, "z1", "t1");
    server.drop_sessions();
    server.set("aa", None);
    until(&stage, "aa\tGone");
    serves(&mut stage, "w1", "t2");
}

// Guards against an ensemble that says nothing any more: what it listed last stood for as long as
// the program ran.
#[test]
fn a_node_is_used_only_while_the_ensemble_answers() {
    let server = Server::default();
    // Longer than the list may be used: the session itself does not end before that.
    let (servers, session_timeout) = (server.start(), Duration::from_secs(60));
    let mut stage = Stage::with(
        &["w1"],
        Some(ZooKeeperConfig {
            servers,
            path: PATH.to_owned(),
            session_timeout,
        }),
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    stage.add("z1", listener);
    server.set(
        "aa",
        Some(format!(
            r#"{{"address":"{address}","zone":"z","type":"k"}}"#
        )),
    );
    until(&stage, "aa\tReady");
    // For longer than its list holds without being confirmed.
    std::thread::sleep(Duration::from_millis(6_500));
    serves(&mut stage, "z1", "t1");
    server.0.lock().unwrap().silent = true;
    std::thread::sleep(Duration::from_millis(6_500));
    serves(&mut stage, "w1", "t2");
}
