//! The Gearman frontend with clients and workers on loopback.
//!
//! In the scenarios `rate-push` is idempotent and `booking-import` is not. The response to an
//! `ECHO_REQ` shows that the dispatcher has handled all packets that the peer sent before it.

use pumiceway_test_support::ScenarioRunner;

#[test]
fn a_gearman_job_runs_on_an_http_endpoint_and_an_http_job_on_a_gearman_worker() {
    ScenarioRunner::run(
        &["w1"],
        r"g1 send [SUBMIT_JOB booking-import|u 1|payload]
           g1 expect [JOB_CREATED $h]
           w1 wait a
           a expect POST /booking-import/u%201 payload
           a send done imported
           g1 expect [WORK_COMPLETE $h|imported]",
    );
    ScenarioRunner::run(
        &[],
        "g2 send [CAN_DO rate-push]
         g2 send [GRAB_JOB]
         g2 expect [NO_JOB]
         g2 send [PRE_SLEEP]
         g2 send [ECHO_REQ all told]
         g2 expect [ECHO_RES all told]
         c send POST /rate-push/k t1 5000 prices
         g2 expect [NOOP]
         g2 send [GRAB_JOB_UNIQ]
         g2 expect [JOB_ASSIGN_UNIQ $b|rate-push|t1|prices]
         g2 send [WORK_COMPLETE $b|pushed]
         c expect 200 pushed",
    );
}

#[test]
fn updates_of_a_job_and_its_status_reach_the_client() {
    ScenarioRunner::run(
        &[],
        "g2 send [CAN_DO rate-push]
         g2 send [PRE_SLEEP]
         g1 send [SUBMIT_JOB_HIGH rate-push||x]
         g1 expect [JOB_CREATED $h]
         g2 expect [NOOP]
         g2 send [GRAB_JOB]
         g2 expect [JOB_ASSIGN $b|rate-push|x]
         g2 send [WORK_DATA $b|part]
         g1 expect [WORK_DATA *|part]
         g2 send [WORK_STATUS $b|1|2]
         g1 expect [WORK_STATUS *|500|1000]
         g1 send [GET_STATUS $h]
         g1 expect [STATUS_RES *|1|1|500|1000]
         g2 send [WORK_WARNING $b|careful]
         g1 expect [WORK_WARNING *|careful]
         g2 send [WORK_FAIL $b]
         g1 send [GET_STATUS H:none]
         g1 expect [STATUS_RES H:none|0|0|0|0]",
    );
}

// Either job may have run on the worker that disconnects. Only the push is idempotent, so only the
// push may be retried on the second worker.
#[test]
fn the_import_of_a_worker_that_disconnects_fails_and_its_push_is_retried() {
    let worker_disconnects = |function: &str| {
        format!(
            "g2 send [CAN_DO {function}]
             g2 send [PRE_SLEEP]
             g1 send [SUBMIT_JOB {function}|u1|x]
             g1 expect [JOB_CREATED $h]
             g2 expect [NOOP]
             g2 send [GRAB_JOB]
             g2 expect [JOB_ASSIGN $b|{function}|x]
             g3 send [CAN_DO {function}]
             g3 send [PRE_SLEEP]
             g3 send [ECHO_REQ listed]
             g3 expect [ECHO_RES listed]
             g2 close\n"
        )
    };
    let import = "g1 expect [WORK_WARNING *|*]
         g1 expect [WORK_FAIL *]
         # The client submits the import again: it gets the cached response, and the idle worker
         # gets no job.
         g4 send [SUBMIT_JOB booking-import|u1|x]
         g4 expect [JOB_CREATED *]
         g4 expect [WORK_WARNING *|*]
         g4 expect [WORK_FAIL *]
         g3 send [ECHO_REQ still]
         g3 expect [ECHO_RES still]";
    ScenarioRunner::run(&[], &(worker_disconnects("booking-import") + import));
    let push = "g3 expect [NOOP]
         g3 send [GRAB_JOB]
         g3 expect [JOB_ASSIGN $c|rate-push|x]
         g3 send [WORK_COMPLETE $c|pushed]
         g1 expect [WORK_COMPLETE *|pushed]";
    ScenarioRunner::run(&[], &(worker_disconnects("rate-push") + push));
}

#[test]
fn a_client_that_submits_a_job_again_joins_it_or_gets_the_cached_result() {
    ScenarioRunner::run(
        &[],
        "g2 send [CAN_DO booking-import]
         g2 send [PRE_SLEEP]
         g1 send [SUBMIT_JOB booking-import|u1|x]
         g1 expect [JOB_CREATED *]
         g2 expect [NOOP]
         g2 send [GRAB_JOB]
         g2 expect [JOB_ASSIGN $b|booking-import|x]
         g1 close
         g3 send [SUBMIT_JOB booking-import|u1|x]
         g3 expect [JOB_CREATED *]
         g2 send [WORK_COMPLETE $b|imported]
         g3 expect [WORK_COMPLETE *|imported]
         g3 close
         g4 send [SUBMIT_JOB booking-import|u1|x]
         g4 expect [JOB_CREATED *]
         g4 expect [WORK_COMPLETE *|imported]
         # The import has run once: the worker gets no second job.
         g2 send [GRAB_JOB]
         g2 expect [NO_JOB]",
    );
}

#[test]
fn a_worker_leaves_the_endpoint_set_with_its_session() {
    ScenarioRunner::run(
        &[],
        "g2 send [CAN_DO rate-push]
         g2 send [ECHO_REQ x]
         g2 expect [ECHO_RES x]
         g2 close
         g1 send [SUBMIT_JOB rate-push||x]
         g1 expect [JOB_CREATED *]
         g1 expect [WORK_WARNING *|*]
         g1 expect [WORK_FAIL *]",
    );
}

// Connections on which no whole packet arrives must not hold their permits until the limit is
// reached. A worker that waits for a job is not closed: it still receives one.
#[test]
fn connections_without_a_whole_packet_are_closed_and_waiting_workers_are_not() {
    ScenarioRunner::run(
        &[],
        r"g1 send [CAN_DO rate-push]
          g1 send [PRE_SLEEP]
          g2 send raw \0REQ\0
          g3 send [ECHO_REQ x]
          g3 expect [ECHO_RES x]
          g3 send raw \0REQ\0
          g4 send raw stat
          g2 expect [ERROR PACKET_TIMEOUT|*]
          g2 expect end
          g4 expect [ERROR PACKET_TIMEOUT|*]
          g4 expect end
          g3 expect [ERROR PACKET_TIMEOUT|*]
          g3 expect end
          c send POST /rate-push/k t1 5000 x
          g1 expect [NOOP]",
    );
}

#[test]
fn malformed_packets_get_an_error_and_end_the_connection() {
    for packet in [
        // the magic bytes of a response
        r"raw \0RES\0\0\0\0\0\0\0\0",
        // an unknown packet type
        r"raw \0REQ\0\0\0c\0\0\0\0",
        // a body that exceeds the size limit
        r"raw \0REQ\0\0\0\0zzzz",
        // missing, empty and non-numeric arguments
        "[SUBMIT_JOB rate-push]",
        "[CAN_DO ]",
        "[WORK_STATUS h|x|y]",
        // a packet that only the dispatcher sends
        "[JOB_CREATED h]",
    ] {
        ScenarioRunner::run(
            &[],
            &format!("g1 send {packet}\n g1 expect [ERROR MALFORMED|*]\n g1 expect end"),
        );
    }
    // Well-formed packets that are rejected get an error, and the connection stays open.
    ScenarioRunner::run(
        &[],
        "g1 send [SUBMIT_JOB other||x]
         g1 expect [ERROR UNKNOWN_FUNCTION|other]
         g1 send [SUBMIT_JOB_BG rate-push||x]
         g1 expect [ERROR BACKGROUND_NOT_TAKEN|*]
         g1 send [WORK_COMPLETE H:none|x]
         g1 expect [ERROR JOB_NOT_FOUND|*]
         g1 send [OPTION_REQ exceptions]
         g1 expect [OPTION_RES exceptions]",
    );
}
