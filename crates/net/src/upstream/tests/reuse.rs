//! Reuse of connections after a response, and outcomes of attempts on a reused connection that
//! fails.

use super::support::*;
use bytes::Bytes;
use pumiceway_core::AttemptOutcome;
use std::io::{Read, Write};
use std::sync::mpsc;
use std::time::Duration;

// An abort may race with the end of its attempt. It must not close the connection when that already
// carries the next attempt: the job of that one would count as one that may have run.
#[test]
fn abort_after_the_end_leaves_the_connection_to_the_next_attempt() {
    let line = |state: &str| {
        response(
            "200 OK",
            &format!("{{\"id\":\"a\",\"state\":\"{state}\"}}\n"),
        )
    };
    let rejected = "503 Busy\r\nX-Turned-Away: 1";
    let responses = [
        (line("done"), AttemptOutcome::Served(Bytes::new())),
        (line("failed"), AttemptOutcome::Error),
        (line("returned"), AttemptOutcome::Rejected),
        (line("lost"), AttemptOutcome::Reset),
        (response(rejected, ""), AttemptOutcome::Rejected),
        (response("500 Broken", "x"), AttemptOutcome::Error),
        (response("400 Bad", "x"), AttemptOutcome::InvalidJob),
    ];
    for (text, outcome) in responses {
        let (endpoint, mut control) = scripted_endpoint();
        let first_response = text.clone();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            stream.write_all(first_response.as_bytes()).unwrap();
            read_request(&mut stream);
            endpoint.pause_at("has the second request");
            stream.write_all(completed("b").as_bytes()).unwrap();
        });
        block_on(async {
            let client = client(&control.address);
            let first = RunningAttempt::start(&client, &job("a", 9));
            let first_connection = first.connection.clone();
            assert_eq!(first.end().await, (outcome, None), "{text}");
            settle().await;
            let second = RunningAttempt::start(&client, &job("b", 9));
            control.wait_for("has the second request").await;
            first_connection.abort();
            settle().await;
            control.resume();
            assert_eq!(second.end().await, served("b"), "{text}");
        });
        server.join().unwrap();
    }
}

// A response may be found unusable only after it was read to its end and its connection already
// carries the next attempt.
#[test]
fn unusable_response_does_not_close_the_connection_of_the_next_attempt() {
    for body in [
        "what?\n",
        "{\"id\":\"z\",\"state\":\"done\"}\n",
        " \n",
        "{\"id\":\"a\",\"state\":\"started\"}\n",
    ] {
        let (endpoint, mut control) = scripted_endpoint();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            let text = response("200 OK", body);
            let (head, rest) = text.split_at(text.len() - body.len());
            stream.write_all(head.as_bytes()).unwrap();
            endpoint.pause_at("sent the head");
            stream.write_all(rest.as_bytes()).unwrap();
            endpoint.pause_at("sent the body");
            read_request(&mut stream);
            endpoint.pause_at("has the second request");
            stream.write_all(completed("b").as_bytes()).unwrap();
        });
        block_on(async {
            let client = client(&control.address);
            let (sender, ends) = mpsc::channel();
            let (connection, attempt) = client
                .attempt(&job("a", 9), options(TEST_TIMEOUT), EndSender(sender))
                .unwrap();
            let mut attempt = std::pin::pin!(attempt);
            // The attempt has received the head and is not polled again until the next attempt is
            // in flight.
            while !connection.has_received_response() {
                assert!(!poll_once(&mut attempt).await);
                settle().await;
            }
            control.wait_for("sent the head").await;
            control.resume();
            control.wait_for("sent the body").await;
            settle().await;
            let second = RunningAttempt::start(&client, &job("b", 9));
            control.resume();
            control.wait_for("has the second request").await;
            while !poll_once(&mut attempt).await {
                settle().await;
            }
            assert_eq!(
                ends.try_recv().unwrap(),
                (AttemptOutcome::Reset, None),
                "{body}"
            );
            settle().await;
            control.resume();
            assert_eq!(second.end().await, served("b"), "{body}");
        });
        server.join().unwrap();
    }
}

// A job has not run if its connection failed before the first byte of the request, and a late
// response to one attempt must not be taken for the response to the next. The runtime has not
// polled the socket's readiness when the request is written.
#[test]
fn idle_connection_that_closed_or_sent_data_gets_no_byte_of_the_next_request() {
    let late_rejection = response("503 Busy\r\nX-Turned-Away: 1", "");
    // `None` closes the connection, an empty text resets it, any other text is sent unrequested.
    let endings = [
        None,
        Some(String::new()),
        Some("{\"id\":".into()),
        Some(completed("a")),
        Some(completed("b")),
        Some(late_rejection),
    ];
    for (ending, size) in endings
        .iter()
        .flat_map(|ending| [(ending, 0), (ending, 9), (ending, 64 << 10)])
    {
        let (endpoint, mut control) = scripted_endpoint();
        let text = ending.clone();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            stream.write_all(completed("a").as_bytes()).unwrap();
            endpoint.pause_at("responded");
            match text {
                None => drop(stream),
                Some(text) if text.is_empty() => {
                    socket2::SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                    drop(stream);
                }
                Some(text) => {
                    stream.write_all(text.as_bytes()).unwrap();
                    endpoint.pause_at("ended or sent");
                    let mut rest = Vec::new();
                    let _ = stream.read_to_end(&mut rest);
                    assert_eq!(String::from_utf8_lossy(&rest), "");
                    let mut stream = endpoint.accept();
                    read_request(&mut stream);
                    return stream.write_all(completed("c").as_bytes()).unwrap();
                }
            }
            endpoint.pause_at("ended or sent");
            let mut stream = endpoint.accept();
            read_request(&mut stream);
            stream.write_all(completed("c").as_bytes()).unwrap();
        });
        block_on(async {
            let client = client(&control.address);
            assert_eq!(
                RunningAttempt::start(&client, &job("a", size)).end().await,
                served("a")
            );
            control.wait_for("responded").await;
            settle().await;
            control.resume();
            let (sender, ends) = mpsc::channel();
            let (_, attempt) = client
                .attempt(&job("b", size), options(TEST_TIMEOUT), EndSender(sender))
                .unwrap();
            // From here until the request is written, the runtime polls no socket.
            control.block_until("ended or sent");
            attempt.await;
            assert_eq!(
                ends.try_recv().unwrap(),
                (AttemptOutcome::ConnectFailed, None),
                "{ending:?} {size}"
            );
            control.resume();
            assert_eq!(
                RunningAttempt::start(&client, &job("c", size)).end().await,
                served("c")
            );
        });
        server.join().unwrap();
    }
}

/// Longer than the time after which a connection counts as rested.
const RESTED: Duration = Duration::from_millis(400);

// Guards against issue 50: a second response to one attempt, which arrived after the next request was
// written, was taken for proof that the next job had not run, and that job ran again elsewhere.
#[test]
fn late_second_response_proves_nothing_about_the_next_attempt() {
    let rejected = |status: &str| response(&format!("{status}\r\nX-Turned-Away: 1"), "");
    for (late, unproven, proven) in [
        (
            rejected("503 Busy"),
            AttemptOutcome::UnprovenRejection,
            AttemptOutcome::Rejected,
        ),
        (
            rejected("504 Late"),
            AttemptOutcome::UnprovenRejection,
            AttemptOutcome::Rejected,
        ),
        (
            response("400 Bad", ""),
            AttemptOutcome::Error,
            AttemptOutcome::InvalidJob,
        ),
    ] {
        for rest in [Duration::ZERO, RESTED] {
            let (endpoint, control) = scripted_endpoint();
            let text = late.clone();
            let server = std::thread::spawn(move || {
                let mut stream = endpoint.accept();
                read_request(&mut stream);
                stream.write_all(completed("a").as_bytes()).unwrap();
                read_request(&mut stream);
                stream.write_all(text.as_bytes()).unwrap();
            });
            block_on(async {
                let client = client(&control.address);
                let first = RunningAttempt::start(&client, &job("a", 9));
                assert_eq!(first.end().await, served("a"));
                tokio::time::sleep(rest).await;
                settle().await;
                let second = RunningAttempt::start(&client, &job("b", 9));
                let outcome = if rest.is_zero() { &unproven } else { &proven };
                assert_eq!(second.end().await, (outcome.clone(), None), "{late}");
            });
            server.join().unwrap();
        }
    }
}

#[test]
fn partly_written_request_may_have_run() {
    for is_reused in [true, false] {
        let (endpoint, control) = scripted_endpoint();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            if is_reused {
                read_request(&mut stream);
                stream.write_all(completed("a").as_bytes()).unwrap();
            }
            // Reads one byte of 64 MiB and closes the connection while the rest is being sent.
            assert_eq!(stream.read(&mut [0]).unwrap(), 1);
        });
        block_on(async {
            let client = client(&control.address);
            if is_reused {
                assert_eq!(
                    RunningAttempt::start(&client, &job("a", 9)).end().await,
                    served("a")
                );
                settle().await;
            }
            let outcome = if is_reused {
                AttemptOutcome::IdleConnectionReset
            } else {
                AttemptOutcome::Reset
            };
            assert_eq!(
                RunningAttempt::start(&client, &job("b", 64 << 20))
                    .end()
                    .await,
                (outcome, None)
            );
        });
        server.join().unwrap();
    }
}
