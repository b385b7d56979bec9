//! Drains that fall between two watches.

use crate::support::{Call, SOON, chunk, next_call, settings};
use pumiceway_test_support::{Peer, ScenarioRunner, endpoint_line as line, listing, serve_each};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Nothing new is sent to a draining endpoint later than this after the notification.
const GRACE: Duration = Duration::from_millis(500);

/// The requests that endpoints have received, and when.
type Received = Arc<Mutex<Vec<(&'static str, Instant)>>>;

/// An endpoint that completes each request at once.
fn serve_endpoint(name: &'static str, listener: TcpListener, received: &Received) {
    let received = received.clone();
    listener.set_nonblocking(false).unwrap();
    serve_each(listener, move |mut peer| {
        while peer.read_message().is_ok() {
            received.lock().unwrap().push((name, Instant::now()));
            peer.send("done yes");
        }
    });
}

/// How far a watch has come when it is reset.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ResetPoint {
    Unanswered,
    PartialHead,
    Open,
    PartialMessage,
    /// The last message cannot be parsed, so that a call for the whole list comes first.
    Malformed,
}

const RESET_POINTS: [ResetPoint; 5] = [
    ResetPoint::Unanswered,
    ResetPoint::PartialHead,
    ResetPoint::Open,
    ResetPoint::PartialMessage,
    ResetPoint::Malformed,
];

// The first list of the next watch sends the drain, or the call after that if the next watch is
// reset too. It must not be missed, nor come so late that a new request is sent to the endpoint.
#[test]
fn a_drain_right_after_a_watch_was_reset_is_received_from_the_next() {
    // One of many dispatchers uses only a part of the capacity of two endpoints, and may leave one
    // of them without requests: so there is only one.
    let cases = [
        ("subscribe", 1),
        ("subscribe", 2),
        ("automatic", 1),
        ("automatic", 2),
    ]
    .map(|(discovery, resets)| {
        std::thread::spawn(move || {
            for (reset_point, snapshot) in RESET_POINTS
                .into_iter()
                .flat_map(|reset_point| [(reset_point, true), (reset_point, false)])
            {
                drain_after_resets(discovery, reset_point, resets, snapshot);
            }
        })
    });
    for case in cases {
        case.join().unwrap();
    }
}

/// `resets` watches are reset in a row, then the next one sends the drain, in a snapshot or in a
/// delta.
#[allow(clippy::too_many_lines)] // one scenario, step by step
fn drain_after_resets(discovery: &str, reset_point: ResetPoint, resets: usize, snapshot: bool) {
    let case = format!("{discovery}, {reset_point:?}, {resets} resets, snapshot {snapshot}");
    let is_pushed = discovery == "automatic";
    let settings = settings(discovery, 10_000, 1);
    let mut runner =
        ScenarioRunner::with_settings(&["w1", "w2", "w3", "discovery"], None, &settings);
    let (discovery, received) = (runner.take_listener("discovery"), Received::default());
    let ports = ["w1", "w2"].map(|endpoint| {
        let port = runner.listener_port(endpoint);
        serve_endpoint(endpoint, runner.take_listener(endpoint), &received);
        port
    });
    let lines = move |w1: &str| [line("w1", ports[0], w1), line("w2", ports[1], "ready")];
    let drain = if snapshot {
        listing(9, true, &lines("draining"))
    } else {
        listing(9, false, &lines("draining")[..1])
    };
    // A first watch confirms the bootstrap list, and ends.
    let mut first = next_call(&discovery, SOON).unwrap();
    first.peer.send("200");
    first.peer.send(&format!("+ {}", listing(1, false, &[])));
    let (mut sent, mut client) = (0, Peer::new(TcpStream::connect(runner.http).unwrap()));
    // Where lists are pushed, what the agent has counts once its watch has ended: until the next
    // one confirms the list, a request may be shed, but not sent.
    let mut request = |may_be_shed: bool| {
        sent += 1;
        client.send(&format!("POST /rate-push/k t{sent} 5000 x"));
        let response = client
            .read_message()
            .unwrap_or_else(|error| panic!("{case}: {error}"));
        let is_shed = may_be_shed && is_pushed && response.starts_with("HTTP/1.1 503");
        assert!(
            response.starts_with("HTTP/1.1 200") || is_shed,
            "{case}: {response}"
        );
    };
    // The endpoint is in use, with a connection that is kept.
    let begun = Instant::now();
    while !received
        .lock()
        .unwrap()
        .iter()
        .any(|(endpoint, _)| *endpoint == "w1")
    {
        request(false);
        assert!(begun.elapsed() < SOON, "{case}: the endpoint is never used");
    }
    drop(first);
    let mut watch = next_call(&discovery, SOON).unwrap();
    match reset_point {
        ResetPoint::Unanswered => {}
        ResetPoint::PartialHead => watch.peer.send("raw HTTP/1.1 200 OK\\r\\nTransfer-Enc"),
        ResetPoint::Open | ResetPoint::PartialMessage | ResetPoint::Malformed => {
            // The watch is open once its message has arrived.
            watch.peer.send("200");
            watch.peer.send(&format!(
                "+ {}",
                listing(2, false, &[line("w3", 1, "gone")])
            ));
            runner.wait_until_listed("w3", "Gone");
        }
    }
    if reset_point == ResetPoint::PartialMessage {
        watch.peer.send(&chunk(
            drain.split_at(drain.find("draining").unwrap() + 3).0,
        ));
    }
    let reset = |call: Call| {
        socket2::SockRef::from(&call.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    };
    if reset_point == ResetPoint::Malformed {
        // The message has been read once the dispatcher gives the watch up.
        watch.peer.send("+ nonsense");
        while watch.is_open() {
            assert!(begun.elapsed() < SOON, "{case}: the watch is kept");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    reset(watch);
    // From here on the list has changed, and each further call receives that.
    let changed_at = Instant::now();
    let mut service = Some(std::thread::spawn(move || {
        let mut first_request = None;
        for _ in 1..resets {
            let call = next_call(&discovery, SOON).expect("no further call comes");
            first_request = first_request.or(Some(call.request.clone()));
            reset(call);
        }
        let mut call = next_call(&discovery, SOON).expect("no further call comes");
        first_request = first_request.or(Some(call.request.clone()));
        let sent_at = Instant::now();
        if call.request.contains("stream=1") {
            call.peer.send("200");
            call.peer.send(&format!("+ {drain}"));
        } else {
            call.peer
                .send(&format!("json {}", listing(9, true, &lines("draining"))));
            // The lease of the list is short until a watch sends what changes next.
            call = next_call(&discovery, SOON).expect("no watch is opened");
            call.peer.send("200");
            call.peer.send(&format!("+ {}", listing(9, false, &[])));
        }
        (first_request.unwrap_or_default(), sent_at, call, discovery)
    }));
    // Requests come all the while, and for some time after the grace.
    let mut served = None;
    let grace_end = loop {
        if let Some(finished) = service.take_if(|service| service.is_finished()) {
            served = Some(finished.join().unwrap());
        }
        // What an agent has counts as notified.
        let notified_at = served
            .as_ref()
            .map(|(_, sent_at, ..)| if is_pushed { changed_at } else { *sent_at });
        if let Some(notified_at) = notified_at.filter(|at| at.elapsed() > GRACE * 3 / 2) {
            break notified_at + GRACE;
        }
        request(true);
        std::thread::sleep(Duration::from_millis(3));
    };
    let path = match reset_point {
        ResetPoint::Malformed => "GET /api/targets ",
        ResetPoint::Unanswered | ResetPoint::PartialHead => "GET /api/targets?stream=1&index=1 ",
        ResetPoint::Open | ResetPoint::PartialMessage => "GET /api/targets?stream=1&index=2 ",
    };
    assert!(
        served
            .as_ref()
            .is_some_and(|(first_request, ..)| first_request.starts_with(path)),
        "{case}: the next call is not {path}"
    );
    runner.wait_until_listed("w1", "Draining");
    let received = received.lock().unwrap();
    let received_late = |name| {
        received
            .iter()
            .filter(|(endpoint, at)| *endpoint == name && *at > grace_end)
            .count()
    };
    assert_eq!(
        received_late("w1"),
        0,
        "{case}: sent to a draining endpoint after the grace"
    );
    assert!(
        received_late("w2") > 0,
        "{case}: nothing is sent to the other endpoint"
    );
}
