//! The adapter on its wire: round trips, and what a bad line leads to.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"{"sim-time-us":1000000,"items":[{"boot":{"i":3,"entropy":7,"conf":{"me":0,"n-instances":1,"my-zone":"z","zones":["z"],"kinds":["k"],"discovery":"automatic","some-new-key":[1],"lanes":[{"name":"c","aim-us":200000,"deadline-us":5000000,"points":1.0,"semantics":"non_idempotent"}],"limits":{"most-tries":2},"report":{"fields":["active","x0"],"via":"answers"},"rules":{}}}},{"announce":{"i":3,"how":"warm_copy","revision":1,"members":[{"worker":"h:1","campus":"z","availability":"healthy","sku":"k"}]}}]}"#;
const KNOCK: &str = r#"{"sim-time-us":1005000,"items":[{"knock":{"i":3,"corr":"r-1","qos":"c","left-us":5000000,"slots":1}}]}"#;

fn talk(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pumiceway-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // A bad line may end the adapter before it has read the rest.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(lines: &[&str]) -> Vec<String> {
    let out = talk(lines);
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
fn a_request_is_passed_on_failed_and_then_unknown() {
    let reset = r#"{"sim-time-us":1100000,"items":[{"response":{"i":3,"corr":"r-1","shot":0,"worker":"h:1","reason":"cut","spent-us":95000,"stats":[1,0.5]}}]}"#;
    let late = r#"{"sim-time-us":1200000,"items":[{"abandoned":{"i":3,"corr":"r-1"}}]}"#;
    let out = replies(&[BOOT, KNOCK, reset, late]);
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
fn only_the_newest_wake_up_counts() {
    let stale = r#"{"sim-time-us":1300000,"items":[{"elapsed":{"i":3,"nonce":9999}}]}"#;
    assert_eq!(replies(&[BOOT, stale])[1], r#"{"orders":[]}"#);
}

#[test]
fn a_shut_down_instance_is_gone_and_may_boot_again() {
    let stop = r#"{"sim-time-us":1010000,"items":[{"shutdown":{"i":3}}]}"#;
    let out = replies(&[BOOT, KNOCK, stop, BOOT, KNOCK]);
    assert_eq!(out[1].contains("pass-on"), out[4].contains("pass-on"));
    assert!(!talk(&[BOOT, stop, KNOCK]).status.success());
}

#[test]
fn bad_input_ends_in_one_message_and_a_failure() {
    let class = KNOCK.replace(r#""qos":"c""#, r#""qos":"x""#);
    let worker = r#"{"sim-time-us":1,"items":[{"probed":{"i":3,"reason":"pass","worker":"x:1"}}]}"#;
    let zone = BOOT.replace(r#""my-zone":"z""#, r#""my-zone":"y""#);
    let settings = BOOT.replace(r#""most-tries":2"#, r#""most-tries":0"#);
    let cases: [(&[&str], &str); 8] = [
        (&["nonsense"], "not a batch"),
        (
            &[r#"{"sim-time-us":1,"items":[{"knock":{"i":3}}]}"#],
            "not a batch",
        ),
        (&[KNOCK], "unknown instance 3"),
        (&[BOOT, &class], "unknown class x"),
        (&[BOOT, worker], "unknown worker x:1"),
        (&[&zone], "unknown zone y"),
        (
            &[&settings],
            "the maximum number of attempts of a request is 0",
        ),
        (&[BOOT, KNOCK, KNOCK], "came twice"),
    ];
    for (lines, expected) in cases {
        let out = talk(lines);
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(expected), "{said} lacks {expected}");
    }
}

#[test]
fn placement_lists_reach_the_decisions_and_names_that_stand_for_nothing_allow_nobody() {
    let with = |list: &str| BOOT.replace(r#""semantics""#, &format!(r#"{list},"semantics""#));
    // Where reports exist the worker is asked first; an answer with a free slot lets the request
    // go.
    let probed = r#"{"sim-time-us":1006000,"items":[{"probed":{"i":3,"reason":"pass","worker":"h:1","spent-us":900,"stats":[0,1]}}]}"#;
    let sends = |list: &str| {
        replies(&[&with(list), KNOCK, probed])
            .concat()
            .contains("pass-on")
    };
    assert!(sends(r#""kinds-open":["k"],"zones-only":["z"]"#));
    assert!(!sends(r#""kinds-open":["other"]"#));
    assert!(!sends(r#""zones-only":[]"#));
}
