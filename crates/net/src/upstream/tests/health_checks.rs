//! Health checks on connections that fail, stall or never stop sending.

use super::support::*;
use crate::upstream::PoolSettings;
use crate::upstream::pool_settings::MIN_HEALTH_CHECK_TIMEOUT;
use pumiceway_decisions::api::Outcome;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use tokio::time::timeout;

// An endpoint must not be ejected because it closed an idle connection.
#[test]
fn health_check_on_a_closed_idle_connection_is_repeated_on_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let read = |stream: &mut TcpStream| assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":2}";
        let mut reused = listener.accept().unwrap().0;
        read(&mut reused);
        reused.write_all(response).unwrap();
        read(&mut reused);
        drop(reused);
        let mut dedicated = listener.accept().unwrap().0;
        read(&mut dedicated);
        dedicated.write_all(response).unwrap();
    });
    block_on(async {
        let client = client(&address);
        for _ in 0..2 {
            let (outcome, report) = client.check_health().await;
            assert_eq!(
                (outcome, report.and_then(|report| report.free_slots)),
                (Outcome::Success, Some(2.0))
            );
        }
    });
    server.join().unwrap();
}

// A health check must not wait forever, buffer an unbounded response, or return a connection to the
// pool whose response is incomplete.
#[test]
fn health_check_with_an_endless_response_ends_in_time_and_closes_its_connection() {
    let stalling = [
        String::new(),
        CHUNKED_HEAD.into(),
        format!("{CHUNKED_HEAD}{}", chunk("{\"x0\":2}")),
    ];
    let flooding = [
        format!("{CHUNKED_HEAD}{}", chunk("x0=2,")),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx".into(),
    ];
    for (text, floods) in stalling
        .iter()
        .map(|text| (text, false))
        .chain(flooding.iter().map(|text| (text, true)))
    {
        for is_dropped in [false, true] {
            let (endpoint, mut control) = scripted_endpoint();
            let first = text.clone();
            let server = std::thread::spawn(move || {
                let mut stream = endpoint.accept();
                read_request(&mut stream);
                stream.write_all(first.as_bytes()).unwrap();
                endpoint.pause_at("sent the beginning");
                let bytes = if floods {
                    let is_chunked = first.contains("chunked");
                    let repeated = if is_chunked { "1\r\nx\r\n" } else { "x" };
                    flood(&mut stream, "", repeated)
                } else {
                    read_rest(stream).len()
                };
                let mut stream = endpoint.accept();
                read_request(&mut stream);
                stream
                    .write_all(response("200 OK", "x0=2").as_bytes())
                    .unwrap();
                bytes
            });
            block_on(async {
                // The size limit ends a flood and the drop ends a dropped check, so only the others
                // need a short timeout.
                let limit = if floods || is_dropped {
                    TEST_TIMEOUT
                } else {
                    MIN_HEALTH_CHECK_TIMEOUT
                };
                let pool = PoolSettings {
                    health_check_timeout: limit,
                    ..POOL
                };
                let client = client_with(&control.address, pool);
                let mut check = Box::pin(client.check_health());
                if is_dropped {
                    while control.steps.try_recv().is_err() {
                        assert!(!poll_once(&mut check.as_mut()).await);
                        settle().await;
                    }
                    control.resume();
                    drop(check);
                } else {
                    control.resume();
                    let outcome = if floods {
                        Outcome::Success
                    } else {
                        Outcome::Timeout
                    };
                    assert_eq!(
                        timeout(TEST_TIMEOUT, check)
                            .await
                            .expect("the health check does not end"),
                        (outcome, None),
                        "{text}"
                    );
                }
                settle().await;
                let (outcome, report) = client_with(&control.address, POOL).check_health().await;
                assert_eq!(
                    (outcome, report.unwrap().free_slots),
                    (Outcome::Success, Some(2.0)),
                    "{text}"
                );
            });
            assert!(server.join().unwrap() < MAX_BUFFERED_BYTES, "{text}");
        }
    }
}
