//! How client connections of the Gearman frontend end: what was read of a packet is answered, whatever
//! ends its connection. The length of a packet's header is 12 bytes.

use pumiceway_test_support::ScenarioRunner;
use std::time::{Duration, Instant};

const JOB: &str = "[SUBMIT_JOB rate-push||x]";
/// The parts of a job that may have been read: the first byte, a part of the header, the whole
/// header, and a part of the body.
const PARTS: [usize; 4] = [1, 6, 12, 20];
/// The limit of connections in scenarios.
const MAX_CONNECTIONS: usize = 64;
/// After the signal; the frontends close 2 s after it.
const SHORTLY_BEFORE_THE_CLOSE: Duration = Duration::from_millis(1_500);
/// When the process may be killed, after the signal.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Longer than the time after which a connection without a request may be evicted.
const MAY_BE_EVICTED: Duration = Duration::from_millis(200);

/// Runs a step for each part of a job on a new and on a kept connection. `{peer}` stands for the
/// peer, `{part}` for the length of the part.
fn for_each_part(runner: &mut ScenarioRunner, steps: &str) {
    for part in PARTS {
        for peer in [format!("gnew{part}"), format!("gkept{part}")] {
            let steps = steps
                .replace("{peer}", &peer)
                .replace("{part}", &part.to_string());
            runner.continue_with(&steps);
        }
    }
}

/// Sends a part of a job on a new and on a kept connection, for each part.
fn send_parts(runner: &mut ScenarioRunner) {
    for part in PARTS {
        runner.continue_with(&format!(
            "gkept{part} send [ECHO_REQ x]
             gkept{part} expect [ECHO_RES x]"
        ));
    }
    for_each_part(runner, &format!("{{peer}} send first {{part}} {JOB}"));
}

/// A worker with a job of client `g1`, and the client's connection is kept.
const RUNNING_JOB: &str = "gw send [CAN_DO rate-push]
     gw send [PRE_SLEEP]
     g1 send [SUBMIT_JOB rate-push|u1|first]
     g1 expect [JOB_CREATED *]
     gw expect [NOOP]
     gw send [GRAB_JOB]
     gw expect [JOB_ASSIGN $b|rate-push|first]";

// Guards against issue 49: at the shutdown, a connection was closed over a packet that was partially
// read.
#[test]
fn a_job_that_is_partially_read_at_the_shutdown_is_read_on_and_answered() {
    let mut runner = ScenarioRunner::new(&[]);
    runner.continue_with(
        "gidle send [ECHO_REQ x]
         gidle expect [ECHO_RES x]",
    );
    runner.request_stop();
    std::thread::sleep(SHORTLY_BEFORE_THE_CLOSE);
    send_parts(&mut runner);
    // Once the idle connection has ended, the shutdown has reached all connections.
    runner.continue_with("gidle expect end");
    for_each_part(
        &mut runner,
        &format!(
            "{{peer}} send after {{part}} {JOB}
             {{peer}} expect [ERROR SHUTTING_DOWN|*]
             {{peer}} expect end"
        ),
    );
    runner.wait_for_exit();
}

// The process may be killed 3.7 s after the signal, before a packet that begins late times out.
#[test]
fn a_job_that_is_never_complete_is_answered_before_the_process_may_be_killed() {
    let mut runner = ScenarioRunner::new(&[]);
    runner.continue_with(
        "gidle send [ECHO_REQ x]
         gidle expect [ECHO_RES x]",
    );
    runner.request_stop();
    let stopped_at = Instant::now();
    std::thread::sleep(SHORTLY_BEFORE_THE_CLOSE);
    send_parts(&mut runner);
    runner.continue_with("gidle expect end");
    for_each_part(
        &mut runner,
        "{peer} expect [ERROR SHUTTING_DOWN|*]
         {peer} expect end",
    );
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < EARLIEST_KILL, "{elapsed:?}");
    runner.wait_for_exit();
}

#[test]
fn a_new_connection_gets_an_error_at_the_shutdown_and_a_worker_gets_its_job_done() {
    let mut runner = ScenarioRunner::run(&[], RUNNING_JOB);
    runner.request_stop();
    std::thread::sleep(SHORTLY_BEFORE_THE_CLOSE);
    runner.continue_with("gnew send first 0 [ECHO_REQ x]");
    runner.continue_with(
        "gnew expect [ERROR SHUTTING_DOWN|*]
         gnew expect end
         gw send [WORK_COMPLETE $b|pushed]
         g1 expect [WORK_COMPLETE *|pushed]
         g1 expect end",
    );
    runner.wait_for_exit();
}

// Guards against issue 49: a connection was closed over a packet that was partially read, and over
// jobs of the same client that waited for their responses.
#[test]
fn a_partial_packet_gets_an_error_at_its_timeout_and_jobs_get_their_responses() {
    let mut runner = ScenarioRunner::run(&[], RUNNING_JOB);
    runner.continue_with(&format!("g1 send first 20 {JOB}"));
    send_parts(&mut runner);
    for_each_part(
        &mut runner,
        "{peer} expect [ERROR PACKET_TIMEOUT|*]
         {peer} expect end",
    );
    runner.continue_with(
        "g1 expect [ERROR PACKET_TIMEOUT|*]
         gw send [WORK_COMPLETE $b|pushed]
         g1 expect [WORK_COMPLETE *|pushed]
         g1 expect end",
    );
}

// Guards against issue 49: malformed input dropped the jobs that the client had submitted before.
#[test]
fn malformed_input_gets_an_error_and_jobs_before_it_get_their_responses() {
    let mut runner = ScenarioRunner::run(&[], RUNNING_JOB);
    runner.continue_with(
        r"g1 send raw \0RES\0\0\0\0\0\0\0\0
          g1 expect [ERROR MALFORMED|*]
          # What follows is discarded.
          g1 send [ECHO_REQ x]
          gw send [WORK_COMPLETE $b|pushed]
          g1 expect [WORK_COMPLETE *|pushed]
          g1 expect end",
    );
}

/// Opens connections that may not be evicted.
fn open_connections(runner: &mut ScenarioRunner, count: usize) {
    for number in 0..count {
        runner.continue_with(&format!(
            "gu{number} send [ECHO_REQ x]
             gu{number} expect [ECHO_RES x]"
        ));
    }
}

// Guards against issue 49: to admit a new connection, another one was closed over a packet that was
// partially read.
#[test]
fn a_connection_that_is_evicted_before_its_first_packet_gets_an_error() {
    let mut runner = ScenarioRunner::new(&[]);
    open_connections(&mut runner, MAX_CONNECTIONS - 2);
    runner.continue_with(&format!(
        "gpart send first 20 {JOB}
         gsilent send first 0 {JOB}"
    ));
    std::thread::sleep(MAY_BE_EVICTED);
    runner.continue_with(
        "gx send [ECHO_REQ x]
         gx expect [ECHO_RES x]
         gpart expect [ERROR TOO_MANY_CONNECTIONS|*]
         gpart expect end
         gy send [ECHO_REQ x]
         gy expect [ECHO_RES x]
         gsilent expect [ERROR TOO_MANY_CONNECTIONS|*]
         gsilent expect end",
    );
}

// A reload changes the address of discovery alone.
#[test]
fn a_reload_affects_no_client_connection() {
    let mut runner = ScenarioRunner::new(&["discovery", "discovery2"]);
    send_parts(&mut runner);
    let http = "POST /unknown/k t1 5000 x";
    runner.continue_with(&format!(
        "c send POST /unknown/k t0 5000 x
         c expect 400
         e send first 30 {http}
         f send first 90 {http}"
    ));
    runner.reload("discovery2");
    runner.continue_with("discovery2 wait watch");
    for_each_part(
        &mut runner,
        &format!(
            "{{peer}} send after {{part}} {JOB}
             {{peer}} expect [JOB_CREATED *]"
        ),
    );
    runner.continue_with(&format!(
        "e send after 30 {http}
         e expect 400
         f send after 90 {http}
         f expect 400"
    ));
}

// Guards against issue 49: a connection over the limit was reset, with what its client had sent.
#[test]
fn a_connection_over_the_limit_gets_an_error() {
    let mut runner = ScenarioRunner::new(&[]);
    open_connections(&mut runner, MAX_CONNECTIONS);
    runner.continue_with(
        "gz send [ECHO_REQ x]
         gz expect [ERROR TOO_MANY_CONNECTIONS|*]
         gz expect end",
    );
}
