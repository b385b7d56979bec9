//! Several functions of one class: which worker is given a job, under which name, and which jobs are
//! the same. A worker that is given a job of a function that it has not named runs something that
//! nobody submitted.
//!
//! `[ECHO_REQ …]` makes sure that the dispatcher has handled what the peer sent before it.

use pumiceway_test_support::{Peer, SETTINGS, ScenarioRunner};
use std::net::TcpStream;

/// Two functions of the class `rate-push`, of which neither has its name.
const WITHOUT_DEFAULT: &[(&str, &str)] =
    &[("push-rates", "rate-push"), ("close-sales", "rate-push")];
/// Two functions of the class `rate-push`, of which one has its name.
const WITH_DEFAULT: &[(&str, &str)] = &[("rate-push", "rate-push"), ("close-sales", "rate-push")];

fn run(endpoints: &[&str], functions: &[(&str, &str)], script: &str) {
    ScenarioRunner::with_functions(endpoints, SETTINGS, functions).continue_with(script);
}

/// A worker that can do these functions waits for a job.
fn worker(peer: &str, functions: &[&str]) -> String {
    let can_do: String = functions
        .iter()
        .map(|function| format!("{peer} send [CAN_DO {function}]\n"))
        .collect();
    format!(
        "{can_do}{peer} send [PRE_SLEEP]
         {peer} send [ECHO_REQ listed]
         {peer} expect [ECHO_RES listed]\n"
    )
}

/// The worker has been given nothing so far.
fn has_nothing(peer: &str) -> String {
    format!(
        "{peer} send [GRAB_JOB]
         {peer} expect [NO_JOB]
         {peer} send [PRE_SLEEP]\n"
    )
}

// Guards against jobs that run as another function: after its worker was lost, a job was repeated
// at a worker of another function of its class, as a job of that function.
#[test]
fn a_job_is_repeated_only_at_a_worker_of_its_function() {
    let push = worker("gp", &["push-rates"]);
    let close = worker("gc", &["close-sales"]);
    let other = worker("go", &["close-sales"]);
    let now_both = worker("go", &["push-rates"]);
    let nothing = has_nothing("gc");
    run(
        &[],
        WITHOUT_DEFAULT,
        &format!(
            "{push} {other}
             g send [SUBMIT_JOB push-rates||rates]
             g expect [JOB_CREATED *]
             gp expect [NOOP]
             gp send [GRAB_JOB_UNIQ]
             gp expect [JOB_ASSIGN_UNIQ *|push-rates|*|rates]
             {close}
             gp close
             gc send [ECHO_REQ still waiting]
             gc expect [ECHO_RES still waiting]
             {nothing}
             # A worker that has just named the function is a right one.
             {now_both}
             go expect [NOOP]
             go send [GRAB_JOB]
             go expect [JOB_ASSIGN $b|push-rates|rates]
             go send [WORK_COMPLETE $b|pushed]
             g expect [WORK_COMPLETE *|pushed]
             {nothing}"
        ),
    );
}

// Guards against a job that waits although a worker of its function is free: the first job that found
// no worker stood for all of its class.
#[test]
fn a_job_that_waits_for_a_worker_holds_up_no_job_of_another_function() {
    let close = worker("gc", &["close-sales"]);
    let push = worker("gp", &["push-rates"]);
    run(
        &[],
        WITHOUT_DEFAULT,
        &format!(
            "{close}
             g1 send [SUBMIT_JOB push-rates||rates]
             g1 expect [JOB_CREATED *]
             g2 send [SUBMIT_JOB close-sales||day]
             g2 expect [JOB_CREATED *]
             gc expect [NOOP]
             gc send [GRAB_JOB]
             gc expect [JOB_ASSIGN $c|close-sales|day]
             # It is busy now, and the next job waits behind that of the other function.
             g3 send [SUBMIT_JOB close-sales||next day]
             g3 expect [JOB_CREATED *]
             gc send [WORK_COMPLETE $c|closed]
             g2 expect [WORK_COMPLETE *|closed]
             gc send [PRE_SLEEP]
             gc expect [NOOP]
             gc send [GRAB_JOB]
             gc expect [JOB_ASSIGN $d|close-sales|next day]
             gc send [WORK_COMPLETE $d|closed too]
             g3 expect [WORK_COMPLETE *|closed too]
             {push}
             gp expect [NOOP]
             gp send [GRAB_JOB]
             gp expect [JOB_ASSIGN $p|push-rates|rates]
             gp send [WORK_COMPLETE $p|pushed]
             g1 expect [WORK_COMPLETE *|pushed]"
        ),
    );
}

// Guards against a worker that is told another name than that of the job: only the function that it
// had named last for a class was kept.
#[test]
fn a_worker_of_several_functions_of_a_class_is_told_the_function_of_each_job() {
    let both = worker("gw", &["push-rates", "close-sales"]);
    let mut script = both;
    for function in ["push-rates", "close-sales", "push-rates"] {
        script += &format!(
            "g send [SUBMIT_JOB {function}||x]
             g expect [JOB_CREATED *]
             gw expect [NOOP]
             gw send [GRAB_JOB]
             gw expect [JOB_ASSIGN $b|{function}|x]
             gw send [WORK_COMPLETE $b|{function}]
             g expect [WORK_COMPLETE *|{function}]
             gw send [PRE_SLEEP]\n"
        );
    }
    // CANT_DO takes one function away, and leaves the other.
    script += "gw send [CANT_DO close-sales]
         gw send [ECHO_REQ heard]
         gw expect [ECHO_RES heard]
         g2 send [SUBMIT_JOB close-sales||waits]
         g2 expect [JOB_CREATED *]
         g send [SUBMIT_JOB push-rates||runs]
         g expect [JOB_CREATED *]
         gw expect [NOOP]
         gw send [GRAB_JOB]
         gw expect [JOB_ASSIGN $b|push-rates|runs]
         gw send [WORK_COMPLETE $b|done]
         g expect [WORK_COMPLETE *|done]
         gw send [CAN_DO close-sales]
         gw send [PRE_SLEEP]
         gw expect [NOOP]
         gw send [GRAB_JOB]
         gw expect [JOB_ASSIGN $b|close-sales|waits]";
    run(&[], WITHOUT_DEFAULT, &script);
}

// Guards against a client that is told the result of another function, or waits for it: jobs were
// joined, and responses cached, by class and unique id.
#[test]
fn jobs_are_the_same_only_if_function_and_unique_id_are() {
    let push = worker("gp", &["push-rates"]);
    let close = worker("gc", &["close-sales"]);
    run(
        &[],
        WITHOUT_DEFAULT,
        &format!(
            "{push} {close}
             g1 send [SUBMIT_JOB push-rates|u1|rates]
             g1 expect [JOB_CREATED *]
             gp expect [NOOP]
             gp send [GRAB_JOB_UNIQ]
             gp expect [JOB_ASSIGN_UNIQ $p|push-rates|u1|rates]
             g2 send [SUBMIT_JOB close-sales|u1|day]
             g2 expect [JOB_CREATED *]
             gc expect [NOOP]
             gc send [GRAB_JOB_UNIQ]
             gc expect [JOB_ASSIGN_UNIQ $c|close-sales|u1|day]
             g3 send [SUBMIT_JOB push-rates|u1|rates]
             g3 expect [JOB_CREATED *]
             gp send [WORK_COMPLETE $p|pushed]
             g1 expect [WORK_COMPLETE *|pushed]
             g3 expect [WORK_COMPLETE *|pushed]
             gc send [WORK_COMPLETE $c|closed]
             g2 expect [WORK_COMPLETE *|closed]
             g4 send [SUBMIT_JOB push-rates|u1|rates]
             g4 expect [JOB_CREATED *]
             g4 expect [WORK_COMPLETE *|pushed]
             g5 send [SUBMIT_JOB close-sales|u1|day]
             g5 expect [JOB_CREATED *]
             g5 expect [WORK_COMPLETE *|closed]"
        ),
    );
}

// Guards against an HTTP endpoint that runs a job as another function: the path names the class only.
#[test]
fn an_http_endpoint_is_given_jobs_of_the_default_function_only() {
    let close = worker("gc", &["close-sales"]);
    run(
        &["w1"],
        WITH_DEFAULT,
        &format!(
            "g1 send [SUBMIT_JOB close-sales|u1|day]
             g1 expect [JOB_CREATED *]
             g2 send [SUBMIT_JOB rate-push|u1|rates]
             g2 expect [JOB_CREATED *]
             w1 wait a
             a expect POST /rate-push/u1 rates
             a send done pushed
             g2 expect [WORK_COMPLETE *|pushed]
             {close}
             gc expect [NOOP]
             gc send [GRAB_JOB]
             gc expect [JOB_ASSIGN $b|close-sales|day]
             gc send [WORK_COMPLETE $b|closed]
             g1 expect [WORK_COMPLETE *|closed]"
        ),
    );
}

#[test]
fn an_http_request_is_given_to_workers_as_a_job_of_the_default_function() {
    let close = worker("gc", &["close-sales"]);
    let both = worker("gb", &["close-sales", "rate-push"]);
    let nothing = has_nothing("gc");
    run(
        &[],
        WITH_DEFAULT,
        &format!(
            "{close}
             c send POST /rate-push/k t1 5000 rates
             {nothing}
             {both}
             gb expect [NOOP]
             gb send [GRAB_JOB_UNIQ]
             gb expect [JOB_ASSIGN_UNIQ $b|rate-push|t1|rates]
             gb send [WORK_COMPLETE $b|pushed]
             c expect 200 pushed
             {nothing}"
        ),
    );
}

// Without a function that has the name of the class, nothing says which one is meant.
#[test]
fn without_a_default_function_each_frontend_serves_its_own_requests() {
    let both = worker("gb", &["close-sales", "push-rates"]);
    let nothing = has_nothing("gb");
    run(
        &["w1"],
        WITHOUT_DEFAULT,
        &format!(
            "{both}
             c send POST /rate-push/k t1 5000 rates
             w1 wait a
             a expect POST /rate-push/k rates
             {nothing}
             a send done 1
             c expect 200 1
             g send [SUBMIT_JOB push-rates||x]
             g expect [JOB_CREATED *]
             gb expect [NOOP]
             gb send [GRAB_JOB]
             gb expect [JOB_ASSIGN $b|push-rates|x]
             gb close
             g2 send [SUBMIT_JOB close-sales||y]
             g2 expect [JOB_CREATED *]
             # Neither job comes over HTTP: the next request there is that of this client.
             c send POST /rate-push/k t2 5000 more
             a expect POST /rate-push/k t2 more
             a send done 2
             c expect 200 2"
        ),
    );
}

// The only function of a class stands for the class, whatever its name.
#[test]
fn the_only_function_of_a_class_is_its_default_function() {
    let push = worker("gp", &["push"]);
    run(
        &[],
        &[("push", "rate-push")],
        &format!(
            "{push}
             c send POST /rate-push/k t1 5000 rates
             gp expect [NOOP]
             gp send [GRAB_JOB]
             gp expect [JOB_ASSIGN $b|push|rates]
             gp send [WORK_COMPLETE $b|pushed]
             c expect 200 pushed"
        ),
    );
    run(
        &["w1"],
        &[("push", "rate-push")],
        "g send [SUBMIT_JOB push|u1|rates]
         g expect [JOB_CREATED *]
         w1 wait a
         a expect POST /rate-push/u1 rates
         a send done pushed
         g expect [WORK_COMPLETE *|pushed]",
    );
}

/// One class with idempotency keys.
const KEYED: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"hold","aim-us":120000,"deadline-us":5000000,"points":15.0,"semantics":"idempotency_key",
     "dedup-scope":"zone","window-us":7500000}],
  "limits":{"most-tries":3,"cancel":true,"connect-timeout-us":250000,"conn-idle-us":10000000},"rules":{}}"#;

// Guards against keyed jobs that run twice: a worker that is told no unique id cannot recognise them.
#[test]
fn a_worker_that_takes_no_unique_ids_is_given_no_keyed_job_of_any_function() {
    let functions = &[("hold", "hold"), ("release", "hold")];
    let script = "gw send [CAN_DO hold]
         gw send [CAN_DO release]
         gw send [GRAB_JOB]
         gw expect [NO_JOB]
         gw send [PRE_SLEEP]
         g send [SUBMIT_JOB release|u1|x]
         g expect [JOB_CREATED *]
         gw send [GRAB_JOB]
         gw expect [NO_JOB]
         gw send [GRAB_JOB_UNIQ]
         gw expect [NO_JOB]
         gw send [PRE_SLEEP]
         gw expect [NOOP]
         gw send [GRAB_JOB_UNIQ]
         gw expect [JOB_ASSIGN_UNIQ $b|release|u1|x]
         gw send [WORK_COMPLETE $b|released]
         g expect [WORK_COMPLETE *|released]";
    ScenarioRunner::with_functions(&[], KEYED, functions).continue_with(script);
}

// Guards against figures of a whole class on the line of each of its functions.
#[test]
fn the_admin_commands_show_jobs_and_workers_by_function() {
    let both = worker("gb", &["close-sales", "push-rates"]);
    let push = worker("gp", &["push-rates"]);
    let mut runner = ScenarioRunner::with_functions(&[], SETTINGS, WITHOUT_DEFAULT);
    runner.continue_with(&format!(
        "{both} {push}
             g1 send [SUBMIT_JOB close-sales||x]
             g1 expect [JOB_CREATED *]
             gb expect [NOOP]
             gb send [GRAB_JOB]
             gb expect [JOB_ASSIGN *|close-sales|x]
             g2 send [SUBMIT_JOB close-sales||y]
             g2 expect [JOB_CREATED *]"
    ));
    assert_eq!(
        admin_response(&runner, "status"),
        "close-sales\t2\t1\t1\npush-rates\t0\t0\t2\n.\n"
    );
    let workers = admin_response(&runner, "workers");
    let functions: Vec<_> = workers
        .lines()
        .filter_map(|line| line.split_once(" :"))
        .collect();
    let functions: Vec<_> = functions
        .into_iter()
        .map(|(_, functions)| functions)
        .collect();
    assert_eq!(functions, [" close-sales push-rates", " push-rates"]);
}

fn admin_response(runner: &ScenarioRunner, command: &str) -> String {
    let mut peer = Peer::new(TcpStream::connect(runner.gearman).unwrap());
    peer.send(&format!("raw {command}\\n"));
    peer.read_until(".\n")
}

// Guards against a job that waits in vain: a worker that connected after another one was lost with the
// job was taken for that one, at which the job may have run.
#[test]
fn a_job_whose_worker_was_lost_is_repeated_at_one_that_connects_after() {
    for (functions, name) in [
        (WITHOUT_DEFAULT, "push-rates"),
        (WITH_DEFAULT, "rate-push"),
        (&[], "rate-push"),
    ] {
        let lost = worker("gl", &[name]);
        let next = worker("gn", &[name]);
        run(
            &[],
            functions,
            &format!(
                "{lost}
                 g send [SUBMIT_JOB {name}|u1|rates]
                 g expect [JOB_CREATED *]
                 gl expect [NOOP]
                 gl send [GRAB_JOB_UNIQ]
                 gl expect [JOB_ASSIGN_UNIQ *|{name}|u1|rates]
                 gl close
                 {next}
                 gn expect [NOOP]
                 gn send [GRAB_JOB_UNIQ]
                 gn expect [JOB_ASSIGN_UNIQ $b|{name}|u1|rates]
                 gn send [WORK_COMPLETE $b|pushed]
                 g expect [WORK_COMPLETE *|pushed]"
            ),
        );
    }
}
