//! Load reports in each form, and with each outcome of an attempt.

use super::support::*;
use crate::upstream::{PoolSettings, load_report};
use bytes::Bytes;
use pumiceway_core::AttemptOutcome;
use pumiceway_decisions::api::LoadReport;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

#[test]
fn load_report_is_parsed_in_either_form_and_malformed_text_is_ignored() {
    let free_slots =
        |text: &str| load_report::parse(text.as_bytes()).map(|report| report.free_slots);
    assert_eq!(free_slots("x0=3.5,eps=0"), Some(Some(3.5)));
    assert_eq!(free_slots(r#"{"x0":2,"util":0.5}"#), Some(Some(2.0)));
    assert_eq!(free_slots("x0=many"), None);
    assert_eq!(free_slots("{"), None);
}

#[test]
fn load_report_is_read_with_every_outcome_of_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let line = |state: &str| {
        let load = r#""load":{"inflight":7,"queue":2,"util":0.61,"qps":5,"eps":0,"x0":3,"x1":4}"#;
        let line = format!("{{\"id\":\"t\",\"from\":\"w\",\"state\":\"{state}\",{load}}}\n");
        let length = line.len();
        format!("200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{line}\r\n0\r\n\r\n")
    };
    let head = |status: &str| {
        format!(
            "{status}\r\nX-Pressure: inflight=7,queue=2, util=0.61,qps=5,eps=0,x0=3,x1=4\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let responses = [
        (line("done"), AttemptOutcome::Served(Bytes::new())),
        (line("failed"), AttemptOutcome::Error),
        (line("returned"), AttemptOutcome::Rejected),
        (line("lost"), AttemptOutcome::Reset),
        (
            head("503 X\r\nX-Turned-Away: 1"),
            AttemptOutcome::UnprovenRejection,
        ),
        (
            head("504 X\r\nX-Turned-Away: 1"),
            AttemptOutcome::UnprovenRejection,
        ),
        (head("500 X"), AttemptOutcome::Error),
    ];
    let texts: Vec<String> = responses
        .iter()
        .map(|(text, _)| format!("HTTP/1.1 {text}"))
        .collect();
    let server = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        for text in texts {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    let (sender, ends) = mpsc::channel();
    let limit = Duration::from_secs(2);
    let pool = PoolSettings {
        connect_timeout: limit,
        idle_timeout: limit,
        health_check_timeout: limit,
        max_idle_connections: 2,
    };
    let report = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.0),
        free_slots: Some(3.0),
        free_memory: Some(4.0),
        requests_per_second: Some(5.0),
        cpu_utilization: Some(0.61),
    };
    let job = job("t", 0);
    block_on(async {
        let client = client_with(&address, pool);
        for (text, outcome) in responses {
            let (_connection, attempt) = client
                .attempt(&job, options(limit), EndSender(sender.clone()))
                .unwrap();
            attempt.await;
            assert_eq!(ends.try_recv().unwrap(), (outcome, Some(report)), "{text}");
        }
    });
    server.join().unwrap();
}
