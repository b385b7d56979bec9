//! Responses that never end: before the head, before the final line, and after it.

use super::support::*;
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::Outcome;
use std::io::{Read, Write};
use tokio::time::{Instant, timeout};

// Updates are sent over an unbounded channel: an endpoint that keeps sending them would fill it and
// delay all other requests.
#[test]
fn endless_response_ends_as_reset_with_a_limited_number_of_updates() {
    let line = |rest: &str| chunk(&format!("{{\"id\":\"a\",{rest}}}\n"));
    let started = line("\"state\":\"started\"");
    let floods = [
        ("too many lines", started.clone()),
        (
            "too many lines",
            line("\"state\":\"running\",\"share\":0.5"),
        ),
        ("too many lines", started + &line("\"state\":\"running\"")),
        ("too many lines", chunk("\n")),
        ("too many lines", chunk(" \n\n")),
        ("line too long", chunk("x")),
        ("line too long", chunk(&" ".repeat(4096))),
        ("line too long", chunk(&"\0".repeat(30_000))),
    ];
    for (case, text) in floods {
        let (endpoint, control) = scripted_endpoint();
        let repeated = text.clone();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            flood(&mut stream, CHUNKED_HEAD, &repeated)
        });
        block_on(async {
            let observer = RecordingObserver::default();
            let client = client(&control.address);
            let (_, attempt) = client
                .attempt(&job("a", 9), options(TEST_TIMEOUT), observer.clone())
                .unwrap();
            let start = Instant::now();
            let has_ended = timeout(TEST_TIMEOUT, attempt).await.is_ok();
            let updates = observer.updates();
            let max_updates = 2 + start.elapsed().as_millis() / 50;
            assert!(
                has_ended,
                "{case}: still in flight, with {} updates",
                updates.len()
            );
            assert_eq!(observer.outcomes(), [AttemptOutcome::Reset], "{case}");
            assert!(
                updates.len() as u128 <= max_updates,
                "{case}: {} updates",
                updates.len()
            );
            assert!(
                updates
                    .iter()
                    .filter(|update| matches!(update, AttemptUpdate::Started))
                    .count()
                    <= 1,
                "{case}"
            );
            settle().await;
        });
        assert!(server.join().unwrap() < MAX_BUFFERED_BYTES, "{case}");
    }
}

// Data after the final line, or after a status other than 200, must not delay the outcome, be read
// without limit, or be taken for the response to the next request on the connection.
#[test]
fn endless_rest_of_a_response_closes_the_connection_and_delays_no_outcome() {
    let final_line = chunk("{\"id\":\"a\",\"state\":\"done\",\"result\":\"a\"}\n");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (
            format!("{CHUNKED_HEAD}{final_line}"),
            chunk("{\"id\":\"a\",\"state\":\"failed\"}\n"),
            served("a").0,
        ),
        (format!("{CHUNKED_HEAD}{final_line}"), chunk("x"), served("a").0),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"a\"}\n".into(),
            "x".into(),
            served("a").0,
        ),
        (
            format!("HTTP/1.1 500 Broken\r\n{chunked}"),
            chunk("x"),
            AttemptOutcome::Error,
        ),
        (
            format!("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\n{chunked}"),
            chunk("xyz"),
            AttemptOutcome::Rejected,
        ),
        (
            "HTTP/1.1 404 None\r\nContent-Length: 99999999999\r\n\r\n".into(),
            "x".into(),
            AttemptOutcome::InvalidJob,
        ),
        (
            format!("HTTP/1.1 302 There\r\n{chunked}"),
            chunk("x"),
            AttemptOutcome::Error,
        ),
    ];
    let floods = cases.iter().map(|case| (case, false));
    let stalls = [(&cases[0], true), (&cases[4], true)];
    for ((first, repeated, outcome), is_stalled) in floods.chain(stalls) {
        let (endpoint, mut control) = scripted_endpoint();
        let (first_text, repeated) = (first.clone(), repeated.clone());
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            stream.write_all(first_text.as_bytes()).unwrap();
            endpoint.pause_at("sent the end of the attempt");
            let bytes = if is_stalled {
                stream.read(&mut [0]).unwrap()
            } else {
                flood(&mut stream, "", &repeated)
            };
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            stream.write_all(completed("b").as_bytes()).unwrap();
            bytes
        });
        block_on(async {
            let observer = RecordingObserver::default();
            let client = client(&control.address);
            let (_, attempt) = client
                .attempt(&job("a", 9), options(TEST_TIMEOUT), observer.clone())
                .unwrap();
            let task = tokio::spawn(attempt);
            control.wait_for("sent the end of the attempt").await;
            // The outcome is reported before any of the rest is received.
            let start = Instant::now();
            while observer.outcomes().is_empty() && start.elapsed() < TEST_TIMEOUT {
                settle().await;
            }
            assert_eq!(
                observer.outcomes(),
                std::slice::from_ref(outcome),
                "{first}"
            );
            control.resume();
            timeout(TEST_TIMEOUT, task)
                .await
                .expect("the attempt does not end")
                .unwrap();
            assert_eq!(
                observer.outcomes(),
                std::slice::from_ref(outcome),
                "{first}"
            );
            settle().await;
            assert_eq!(
                RunningAttempt::start(&client, &job("b", 9)).end().await,
                served("b"),
                "{first}"
            );
        });
        assert!(server.join().unwrap() < MAX_BUFFERED_BYTES, "{first}");
    }
}

// hyper skips interim responses one by one. Without a limit, an endpoint that keeps sending them,
// on a new or a reused connection, keeps the thread busy until the attempt or the health check
// ends.
#[test]
fn endless_interim_responses_are_read_up_to_a_limit() {
    for text in INTERIM_RESPONSES {
        for is_reused in [false, true] {
            let (endpoint, control) = scripted_endpoint();
            let server = std::thread::spawn(move || {
                let mut stream = endpoint.accept();
                if is_reused {
                    read_request(&mut stream);
                    stream.write_all(completed("z").as_bytes()).unwrap();
                }
                read_request(&mut stream);
                let bytes = flood(&mut stream, "", text);
                // The health check.
                let mut stream = endpoint.accept();
                read_request(&mut stream);
                bytes.max(flood(&mut stream, "", text))
            });
            block_on(async {
                let client = client(&control.address);
                if is_reused {
                    assert_eq!(
                        RunningAttempt::start(&client, &job("z", 9)).end().await,
                        served("z")
                    );
                    settle().await;
                }
                let outcome = if is_reused {
                    AttemptOutcome::IdleConnectionReset
                } else {
                    AttemptOutcome::Reset
                };
                assert_eq!(
                    RunningAttempt::start(&client, &job("a", 9)).end().await,
                    (outcome, None),
                    "{text}"
                );
                let check = timeout(TEST_TIMEOUT, client.check_health())
                    .await
                    .expect("the health check does not end");
                assert_eq!(check, (Outcome::Reset, None), "{text}");
                settle().await;
            });
            let bytes = server.join().unwrap();
            assert!(bytes < MAX_BUFFERED_BYTES, "{text}: {bytes}");
        }
    }
}
