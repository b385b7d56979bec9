//! Tests of the framing checks and of the admission of connections.

use super::framing::MessageFraming;
use super::phase::ConnectionPhase;
use super::*;
use pumiceway_memory::MemoryBudget;
use std::time::Duration;
use tokio::time::Instant;

fn framing_of(message: &str) -> MessageFraming {
    let mut framing = MessageFraming::default();
    // Split in two, because a message may be received in several reads.
    let (first, second) = message.as_bytes().split_at(message.len() / 2);
    framing.observe(first);
    framing.observe(second);
    framing
}

// Contradictory framing headers, or bytes after the body, may hide a second request.
#[test]
fn contradictory_framing_and_excess_bytes_are_detected() {
    let head = |lines: &str| format!("\r\nPOST /c/k HTTP/1.1\r\nHost: x\r\n{lines}\r\n");
    assert_eq!(
        framing_of(&head("Content-Length: 2\r\n")).check_head(),
        Ok(())
    );
    assert_eq!(
        framing_of(&head("TRANSFER-encoding: chunked\r\n")).check_head(),
        Ok(())
    );
    for lines in [
        "Content-Length: 2\r\ncontent-length: 2\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\nTransfer-Encoding: chunked\n",
    ] {
        assert!(framing_of(&head(lines)).check_head().is_err(), "{lines}");
    }
    assert!(
        framing_of("POST /c/k#f HTTP/1.1\r\n\r\n")
            .check_head()
            .is_err()
    );
    assert!(
        framing_of("POST /c/\u{e9} HTTP/1.1\r\n\r\n")
            .check_head()
            .is_err()
    );
    assert!(
        framing_of("POST /c/k HTTP/1.1\r\nHost")
            .check_head()
            .is_err()
    );
    let whole = head("Content-Length: 2\r\n") + "ab";
    assert!(!framing_of(&whole).has_excess(Some(2)));
    assert!(framing_of(&(whole + "POST")).has_excess(Some(2)));
}

// The part of a request that is received together with the previous one must be recognised.
#[test]
fn bytes_after_a_chunked_body_are_recognised() {
    let head = "POST /c/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in [
        "0\r\n\r\n",
        "1\r\nx\r\n0\r\n\r\n",
        "A;name=value\r\n0123\r\n6789\r\n00\r\na: b\r\nc: d\r\n\r\n",
    ] {
        let whole = format!("{head}{body}");
        assert!(!framing_of(&whole).has_next_message(), "{body:?}");
        let partial = &whole[..whole.len() - 1];
        assert!(!framing_of(partial).has_next_message(), "{body:?}");
        let followed = format!("{whole}P");
        assert!(framing_of(&followed).has_next_message(), "{body:?}");
    }
}

// A connection whose request waits for a response, or has only just begun, must not be evicted.
#[test]
fn connections_without_a_request_are_evicted_for_new_ones() {
    let (admission, start) = (
        Admission::new(3, 1, MemoryBudget::new(1 << 20)),
        Instant::now(),
    );
    let at = |ms| start + Duration::from_millis(ms);
    let silent = admission.admit(at(1));
    let awaiting_response = admission.admit(at(0));
    awaiting_response.connection.request_received();
    let idle = admission.admit(at(0));
    idle.connection.request_received();
    idle.connection.enter(ConnectionPhase::Idle);
    // No connection has been without a request for long enough to be evicted.
    let overload = admission.admit(at(20));
    assert_eq!(overload.decision, AdmissionDecision::Overloaded);
    assert_eq!(
        admission.admit(at(30)).decision,
        AdmissionDecision::Rejected
    );
    drop(overload);
    let third = admission.admit(at(60));
    assert!(third.decision == AdmissionDecision::Served && admission.admitted() == 3);
    // An idle connection that has carried no submitted request is evicted at once.
    third.connection.enter(ConnectionPhase::Idle);
    let fourth = admission.admit(at(60));
    assert_eq!(fourth.decision, AdmissionDecision::Served);
    fourth.connection.request_received();
    drop((silent, third));
    // The connection that is idle after a request is evicted next. After that, none may be evicted.
    let last = admission.admit(Instant::now() + Duration::from_secs(5));
    last.connection.request_received();
    assert_eq!(last.decision, AdmissionDecision::Served);
    assert_eq!(
        admission
            .admit(Instant::now() + Duration::from_secs(9))
            .decision,
        AdmissionDecision::Overloaded
    );
}
