//! Endpoints that start to drain between two watches.

use crate::support::{Call, SOON, chunk, next_call, settings};
use pumiceway_test_support::{Peer, ScenarioRunner, endpoint_line as line, listing, serve_each};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// No new requests are sent to a draining endpoint later than this after the notification.
const GRACE: Duration = Duration::from_millis(500);

/// The requests that endpoints have received: the name of the endpoint and the time.
type Received = Arc<Mutex<Vec<(&'static str, Instant)>>>;

/// Runs an endpoint that completes each request immediately.
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

/// The progress of a watch when its connection is reset.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ResetPoint {
    Unanswered,
    PartialHead,
    Open,
    PartialMessage,
    /// The last message cannot be parsed, so the dispatcher requests the whole list next.
    Malformed,
}

const RESET_POINTS: [ResetPoint; 5] = [
    ResetPoint::Unanswered,
    ResetPoint::PartialHead,
    ResetPoint::Open,
    ResetPoint::PartialMessage,
    ResetPoint::Malformed,
];

// The drain is sent as the first list of the next watch, or of the one after it if the next one is
// reset too. It must not be missed, nor be received so late that the endpoint is sent a new request
// after the grace period.
#[test]
fn a_drain_right_after_a_watch_was_reset_is_received_from_the_next() {
    // A single dispatcher: one of several would only use part of the capacity of the two endpoints,
    // and might not send any requests to one of them.
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

/// Resets `resets` consecutive watches; the next one sends the drain, in a snapshot or in a delta.
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
    // The first watch confirms the bootstrap list and then ends.
    let mut first = next_call(&discovery, SOON).unwrap();
    first.peer.send("200");
    first.peer.send(&format!("+ {}", listing(1, false, &[])));
    let (mut sent, mut client) = (0, Peer::new(TcpStream::connect(runner.http).unwrap()));
    // Where lists are pushed, changes that the agent holds count as notified once its watch has
    // ended. Until the next watch confirms the list, a request may therefore be shed, but must not
    // be sent.
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
    // Send requests until the endpoint is in use, with a connection that is kept alive.
    let started = Instant::now();
    while !received
        .lock()
        .unwrap()
        .iter()
        .any(|(endpoint, _)| *endpoint == "w1")
    {
        request(false);
        assert!(
            started.elapsed() < SOON,
            "{case}: the endpoint is never used"
        );
    }
    drop(first);
    let mut watch = next_call(&discovery, SOON).unwrap();
    match reset_point {
        ResetPoint::Unanswered => {}
        ResetPoint::PartialHead => watch.peer.send("raw HTTP/1.1 200 OK\\r\\nTransfer-Enc"),
        ResetPoint::Open | ResetPoint::PartialMessage | ResetPoint::Malformed => {
            // The watch is known to be open once its message has been applied.
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
        // The dispatcher closes the watch once it has read the message.
        watch.peer.send("+ nonsense");
        while watch.is_open() {
            assert!(started.elapsed() < SOON, "{case}: the watch is still open");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    reset(watch);
    // From now on the list contains the change, and it is sent in response to each further call.
    let changed_at = Instant::now();
    let mut service = Some(std::thread::spawn(move || {
        let mut first_request = None;
        for _ in 1..resets {
            let call = next_call(&discovery, SOON).expect("no further call was made");
            first_request = first_request.or(Some(call.request.clone()));
            reset(call);
        }
        let mut call = next_call(&discovery, SOON).expect("no further call was made");
        first_request = first_request.or(Some(call.request.clone()));
        let sent_at = Instant::now();
        if call.request.contains("stream=1") {
            call.peer.send("200");
            call.peer.send(&format!("+ {drain}"));
        } else {
            call.peer
                .send(&format!("json {}", listing(9, true, &lines("draining"))));
            // The lease on the list is short until a watch is open to send further changes.
            call = next_call(&discovery, SOON).expect("no watch was opened");
            call.peer.send("200");
            call.peer.send(&format!("+ {}", listing(9, false, &[])));
        }
        (first_request.unwrap_or_default(), sent_at, call, discovery)
    }));
    // Requests are sent throughout, and for some time after the grace period.
    let mut served = None;
    let grace_end = loop {
        if let Some(finished) = service.take_if(|service| service.is_finished()) {
            served = Some(finished.join().unwrap());
        }
        // Changes that an agent holds count as notified.
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
        "{case}: sent to a draining endpoint after the grace period"
    );
    assert!(
        received_late("w2") > 0,
        "{case}: nothing was sent to the other endpoint"
    );
}
