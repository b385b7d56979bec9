//! Responses within the limits: large results, progress lines and interim responses.

use super::support::*;
use crate::upstream::progress_limit::ProgressLimit;
use pumiceway_core::AttemptOutcome;
use std::io::Write;
use std::time::Duration;
use tokio::time::{Instant, timeout};

// The limits must allow for the largest result with every byte escaped, after many progress lines.
#[test]
fn largest_result_is_read_after_many_progress_lines() {
    let (endpoint, control) = scripted_endpoint();
    let server = std::thread::spawn(move || {
        let mut stream = endpoint.accept();
        read_request(&mut stream);
        let mut text = CHUNKED_HEAD.to_owned();
        for n in 0..300 {
            text += &chunk(&format!(
                "{{\"id\":\"a\",\"from\":\"w\",\"state\":\"running\",\"share\":{}}}\n",
                f64::from(n) / 300.0
            ));
        }
        let result = "\\u0001".repeat(64 << 10);
        text += &chunk(&format!(
            "{{\"id\":\"a\",\"from\":\"w\",\"state\":\"done\",\"result\":\"{result}\",\"load\":{{\"x0\":3}}}}\n"
        ));
        stream.write_all((text + "0\r\n\r\n").as_bytes()).unwrap();
    });
    block_on(async {
        let (outcome, report) = RunningAttempt::start(&client(&control.address), &job("a", 9))
            .end()
            .await;
        assert!(matches!(outcome, AttemptOutcome::Served(result) if result.len() == 64 << 10));
        assert_eq!(report.unwrap().free_slots, Some(3.0));
    });
    server.join().unwrap();
}

#[test]
fn fractions_are_throttled_and_progress_lines_are_rate_limited() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = ProgressLimit::new(start);
    assert!(limit.should_report_start() && !limit.should_report_start());
    let reported_ms: Vec<u64> = (0..200)
        .filter(|&ms| limit.should_report_fraction(at(ms)))
        .collect();
    assert_eq!(reported_ms, [0, 50, 100, 150]);
    // Allowed: ten lines a second for an hour, or a burst of 600 lines, but not two such bursts.
    assert!((0..36_000).all(|n| limit.count_line(at(100 * n), 100).is_ok()));
    let mut limit = ProgressLimit::new(start);
    assert!((0..600).all(|_| limit.count_line(start, 100).is_ok()));
    assert!(!(0..600).all(|_| limit.count_line(start, 100).is_ok()));
}

// The limit on interim responses must count neither those of earlier requests nor the bytes after
// the head. One connection carries the largest result several times, each time after many interim
// responses.
#[test]
fn interim_responses_count_for_their_own_request_only() {
    const REQUESTS: usize = 3;
    let (endpoint, mut control) = scripted_endpoint();
    let interim: String = INTERIM_RESPONSES.concat().repeat(8_000);
    let result = "\\u0000".repeat(64 << 10);
    let last = chunk(&format!(
        "{{\"id\":\"a\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
    )) + "0\r\n\r\n";
    assert!(interim.len() < 1 << 20 && interim.len() + last.len() > 1 << 20);
    let first = interim + CHUNKED_HEAD + &chunk("{\"id\":\"a\",\"state\":\"started\"}\n");
    let server = std::thread::spawn(move || {
        let mut stream = endpoint.accept();
        for _ in 0..REQUESTS {
            read_request(&mut stream);
            stream.write_all(first.as_bytes()).unwrap();
            endpoint.pause_at("started");
            stream.write_all(last.as_bytes()).unwrap();
        }
    });
    block_on(async {
        let client = client(&control.address);
        for n in 0..REQUESTS {
            let observer = RecordingObserver::default();
            let (_, attempt) = client
                .attempt(&job("a", 9), options(TEST_TIMEOUT), observer.clone())
                .unwrap();
            let task = tokio::spawn(attempt);
            control.wait_for("started").await;
            let started = async {
                while observer.updates().is_empty() {
                    assert!(!task.is_finished(), "{n}: {:?}", observer.outcomes());
                    tokio::task::yield_now().await;
                }
            };
            timeout(TEST_TIMEOUT, started)
                .await
                .expect("the start is not reported");
            control.resume();
            timeout(TEST_TIMEOUT, task)
                .await
                .expect("the attempt does not end")
                .unwrap();
            let outcomes: Vec<_> = observer
                .outcomes()
                .iter()
                .map(AttemptOutcome::as_str)
                .collect();
            assert_eq!(outcomes, ["served"], "{n}");
            settle().await;
        }
    });
    server.join().unwrap();
}
