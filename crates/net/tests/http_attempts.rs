//! Attempts at endpoints over HTTP on loopback: retries, hedging, cancellation and malformed
//! responses.
//!
//! A push is a job of the idempotent class `rate-push`, an import one of the non-idempotent class
//! `booking-import`.

use pumiceway_test_support::{SETTINGS, ScenarioRunner};

// The connection is closed after the whole request was sent, so the job may have run. Only a push
// may be sent again.
#[test]
fn an_import_whose_connection_is_closed_fails_and_a_push_is_retried() {
    ScenarioRunner::run(
        &["w1", "w2"],
        "c send POST /booking-import/k i1 5000 x
         w1 wait a
         a expect POST /booking-import/k i1
         a close
         c expect 502",
    );
    ScenarioRunner::run(
        &["w1", "w2"],
        "c send POST /rate-push/k p1 5000 x
         w1 wait a
         a expect POST /rate-push/k p1
         a close
         w2 wait b
         b expect POST /rate-push/k p1
         b send done 7
         c expect 200 7",
    );
}

// An import fails if its reused connection is lost. After a reused connection was lost, imports are
// sent on new ones, so that an endpoint that closes idle connections does not fail one import after
// the other.
#[test]
fn an_import_gets_a_new_connection_after_a_reused_one_was_lost() {
    ScenarioRunner::run(
        &["w1", "w2"],
        "c send POST /rate-push/k t1 5000 x
         w1 wait a
         a expect POST /rate-push/k t1
         a send done 1
         c expect 200 1
         c send POST /rate-push/k t2 5000 x
         a expect POST /rate-push/k t2
         a close
         w2 wait b
         b expect POST /rate-push/k t2
         b send done 2
         c expect 200 2
         c send POST /booking-import/k i1 5000 x
         w2 wait b2
         b2 expect POST /booking-import/k i1
         b2 send done 3
         c expect 200 3",
    );
}

#[test]
fn a_push_that_does_not_start_is_hedged_and_its_first_attempt_cancelled() {
    let settings = SETTINGS.replacen("\"second-copies\":false", "\"second-copies\":true", 1);
    let mut runner = ScenarioRunner::with_settings(&["w1", "w2"], None, &settings);
    runner.continue_with(
        r#"c send POST /rate-push/k t1 5000 x
           w1 wait a
           a expect POST /rate-push/k t1
           w2 wait b
           b expect POST /rate-push/k t1
           b send 200
           b send + {"id":"t1","from":"w2","state":"started"}
           a expect end
           b send + {"id":"t1","from":"w2","state":"done","result":"2"}
           b send .
           c expect 200 2"#,
    );
}

// A rejection by the endpoint proves that the import has not run.
#[test]
fn an_import_that_was_rejected_is_sent_to_another_endpoint() {
    ScenarioRunner::run(
        &["w1", "w2"],
        r"c send POST /booking-import/k i1 5000 x
          w1 wait a
          a expect POST /booking-import/k i1
          a send raw HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n
          w2 wait b
          b expect POST /booking-import/k i1
          b send done 9
          c expect 200 9",
    );
}

// After a 503 without a rejection header the import may have run. An overload response to the
// client would invite a retry.
#[test]
fn an_import_with_an_error_or_a_malformed_line_fails() {
    for response in [
        r"raw HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        r"raw HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nnonsense\n\r\n",
        r#"raw HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2f\r\n{"id":"other","from":"w","state":"done","x":"y"}\n\r\n"#,
    ] {
        let script = format!(
            "c send POST /booking-import/k i1 5000 x
             w1 wait a
             a expect POST /booking-import/k i1
             a send {response}
             c expect 502"
        );
        ScenarioRunner::run(&["w1", "w2"], &script);
    }
}

// hyper alone would notice the disconnect only when more of the response arrives.
#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    ScenarioRunner::run(
        &["w1"],
        r#"c send POST /rate-push/k t1 5000 x
           w1 wait a
           a expect POST /rate-push/k t1
           a send 200
           a send + {"id":"t1","from":"w1","state":"started"}
           c close
           a expect end"#,
    );
}

#[test]
fn an_attempt_ends_before_the_deadline_of_its_client() {
    ScenarioRunner::run(
        &["w1"],
        "c send POST /booking-import/k t1 1800 x
         w1 wait a
         a expect POST /booking-import/k t1
         c expect 502
         a expect end",
    );
}

// A second final line must not be taken for the response to the next job.
#[test]
fn data_after_the_final_line_is_ignored() {
    let final_line = r#"a send + {"id":"t1","from":"w1","state":"done","result":"1"}"#;
    ScenarioRunner::run(
        &["w1"],
        &format!(
            "c send POST /rate-push/k t1 5000 x
             w1 wait a
             a expect POST /rate-push/k t1
             a send 200
             {final_line}
             {final_line}
             c expect 200 1
             c send POST /booking-import/k t2 5000 x
             w1 wait b
             b expect POST /booking-import/k t2
             b send done 2
             c expect 200 2"
        ),
    );
}
