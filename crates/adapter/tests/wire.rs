//! The adapter as a process: its replies to events, and its errors on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = r#"{"sim-time-us":1000000,"items":[{"boot":{"i":3,"entropy":7,"conf":{"me":0,"n-instances":1,"my-zone":"z","zones":["z"],"kinds":["k"],"discovery":"automatic","some-new-key":[1],"lanes":[{"name":"c","aim-us":200000,"deadline-us":5000000,"points":1.0,"semantics":"non_idempotent"}],"limits":{"most-tries":2},"report":{"fields":["active","x0"],"via":"answers"},"rules":{}}}},{"announce":{"i":3,"how":"warm_copy","revision":1,"members":[{"worker":"h:1","campus":"z","availability":"healthy","sku":"k"}]}}]}"#;
const REQUEST_ARRIVED: &str = r#"{"sim-time-us":1005000,"items":[{"knock":{"i":3,"corr":"r-1","qos":"c","left-us":5000000,"slots":1}}]}"#;

fn run_adapter(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pumiceway-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // Writing fails if an invalid line has stopped the adapter before it read the rest.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(lines: &[&str]) -> Vec<String> {
    let out = run_adapter(lines);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    String::from_utf8(out.stdout)
        .expect("UTF-8")
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(
        replies(&[r#"{"sim-time-us":5,"items":[]}"#]),
        [r#"{"orders":[]}"#]
    );
}

#[test]
fn a_request_is_sent_then_fails_and_its_id_is_unknown_afterwards() {
    let reset = r#"{"sim-time-us":1100000,"items":[{"response":{"i":3,"corr":"r-1","shot":0,"worker":"h:1","reason":"cut","spent-us":95000,"stats":[1,0.5]}}]}"#;
    let late = r#"{"sim-time-us":1200000,"items":[{"abandoned":{"i":3,"corr":"r-1"}}]}"#;
    let out = replies(&[START, REQUEST_ARRIVED, reset, late]);
    assert!(
        out[1].contains(r#"{"pass-on":{"i":3,"corr":"r-1","worker":"h:1"}}"#),
        "{}",
        out[1]
    );
    assert!(
        out[2].contains(r#"{"drop-request":{"i":3,"corr":"r-1"}}"#),
        "{}",
        out[2]
    );
    assert_eq!(out[3], r#"{"orders":[]}"#);
}

#[test]
fn a_timer_that_was_not_set_last_is_ignored() {
    let stale = r#"{"sim-time-us":1300000,"items":[{"elapsed":{"i":3,"nonce":9999}}]}"#;
    assert_eq!(replies(&[START, stale])[1], r#"{"orders":[]}"#);
}

#[test]
fn an_instance_that_was_shut_down_is_removed_and_can_start_again() {
    let shutdown = r#"{"sim-time-us":1010000,"items":[{"shutdown":{"i":3}}]}"#;
    let out = replies(&[START, REQUEST_ARRIVED, shutdown, START, REQUEST_ARRIVED]);
    assert_eq!(out[1].contains("pass-on"), out[4].contains("pass-on"));
    assert!(
        !run_adapter(&[START, shutdown, REQUEST_ARRIVED])
            .status
            .success()
    );
}

#[test]
fn invalid_input_stops_the_adapter_with_an_error_of_one_line() {
    let unknown_class = REQUEST_ARRIVED.replace(r#""qos":"c""#, r#""qos":"x""#);
    let unknown_endpoint =
        r#"{"sim-time-us":1,"items":[{"probed":{"i":3,"reason":"pass","worker":"x:1"}}]}"#;
    let unknown_zone = START.replace(r#""my-zone":"z""#, r#""my-zone":"y""#);
    let no_attempts = START.replace(r#""most-tries":2"#, r#""most-tries":0"#);
    let cases: [(&[&str], &str); 8] = [
        (&["nonsense"], "invalid batch"),
        (
            &[r#"{"sim-time-us":1,"items":[{"knock":{"i":3}}]}"#],
            "invalid batch",
        ),
        (&[REQUEST_ARRIVED], "unknown instance 3"),
        (&[START, &unknown_class], "unknown class x"),
        (&[START, unknown_endpoint], "unknown worker x:1"),
        (&[&unknown_zone], "unknown zone y"),
        (
            &[&no_attempts],
            "the maximum number of attempts of a request is 0",
        ),
        (
            &[START, REQUEST_ARRIVED, REQUEST_ARRIVED],
            "duplicate request r-1",
        ),
    ];
    for (lines, expected) in cases {
        let out = run_adapter(lines);
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(expected), "{stderr} lacks {expected}");
    }
}

#[test]
fn the_allowed_kinds_and_zones_of_a_class_apply_and_unknown_names_allow_no_endpoint() {
    let start_with =
        |list: &str| START.replace(r#""semantics""#, &format!(r#"{list},"semantics""#));
    // With load reports, the endpoint is checked first; the request is sent once a report shows a
    // free slot.
    let health_checked = r#"{"sim-time-us":1006000,"items":[{"probed":{"i":3,"reason":"pass","worker":"h:1","spent-us":900,"stats":[0,1]}}]}"#;
    let sends = |list: &str| {
        replies(&[&start_with(list), REQUEST_ARRIVED, health_checked])
            .concat()
            .contains("pass-on")
    };
    assert!(sends(r#""kinds-open":["k"],"zones-only":["z"]"#));
    assert!(!sends(r#""kinds-open":["other"]"#));
    assert!(!sends(r#""zones-only":[]"#));
}
