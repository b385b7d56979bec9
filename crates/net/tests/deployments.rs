//! Idempotency keys, tenants, load reports and labels, which only some deployments use, with
//! endpoints that are simulated by the tests.

use pumiceway_test_support::{ScenarioRunner, endpoint_line, listing};

/// Three classes: idempotent, non-idempotent, and with idempotency keys.
const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"lookup","aim-us":120000,"deadline-us":5000000,"points":5.0,"semantics":"read_like"},
    {"name":"order","aim-us":500000,"deadline-us":15000000,"points":5.0,"semantics":"non_idempotent"},
    {"name":"hold","aim-us":120000,"deadline-us":5000000,"points":15.0,"semantics":"idempotency_key",
     "dedup-scope":"zone","window-us":7500000}],
  "limits":{"most-tries":3,"cancel":true,"connect-timeout-us":250000,"conn-idle-us":10000000},"rules":{}}"#;

/// Runs a scenario with a new dispatcher and these endpoints.
fn run_scenario(endpoints: &[&str], script: &str) {
    ScenarioRunner::with_settings(endpoints, None, SETTINGS).continue_with(script);
}

// Without the key, an endpoint cannot recognise a retry as the same request.
#[test]
fn a_request_keeps_its_idempotency_key_byte_for_byte_on_each_attempt() {
    run_scenario(
        &["w1", "w2"],
        r"c send raw POST /hold/k7?x=%20 HTTP/1.1\r\nX-Txn: h1\r\nX-Remaining-Ms: 5000\r\nIdempotency-Key: aB~9/+=\t.\r\nContent-Length: 2\r\n\r\nab
          w1 wait a
          a expect POST /hold/k7?x=%20 x-txn:\x20h1 idempotency-key:\x20aB~9/+=\x09.
          a close
          w2 wait b
          b expect POST /hold/k7?x=%20 x-txn:\x20h1 idempotency-key:\x20aB~9/+=\x09.
          b send done 7
          c expect 200 7
          # A class that requires no key forwards the one of the client, if there is one.
          c send raw POST /lookup/k HTTP/1.1\r\nX-Txn: l1\r\nX-Remaining-Ms: 5000\r\nidempotency-key: KEY\r\nContent-Length: 0\r\n\r\n
          b expect POST /lookup/k x-txn:\x20l1 idempotency-key:\x20KEY
          b send done 8
          c expect 200 8
          c send raw POST /lookup/k HTTP/1.1\r\nX-Txn: l2\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n
          b expect POST /lookup/k x-txn:\x20l2 !idempotency
          b send done 9
          c expect 200 9",
    );
}

#[test]
fn a_request_whose_idempotency_key_is_missing_doubled_or_not_text_reaches_no_endpoint() {
    let mut script = String::new();
    for (n, lines) in [
        r"",
        r"Idempotency-Key:\r\n",
        r"Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
        "Idempotency-Key: \u{e9}\\r\\n",
    ]
    .into_iter()
    .enumerate()
    {
        script += &format!(
            "c{n} send raw POST /hold/k HTTP/1.1\\r\\nX-Txn: t{n}\\r\\nX-Remaining-Ms: 5000\\r\\n{lines}Content-Length: 0\\r\\n\\r\\n
             c{n} expect 400
             c{n} expect end\n"
        );
    }
    script += "d send POST /lookup/k t9 5000 x
               w1 wait a
               a expect POST /lookup/k t9
               a send done 1
               d expect 200 1";
    run_scenario(&["w1"], &script);
}

/// Returns the settings with additional keys.
fn settings(more: &str) -> String {
    SETTINGS.replacen('{', &format!("{{{more},"), 1)
}

const TENANTS: &str =
    r#""tenants":[{"name":"acme","quota-per-s":9},{"name":"other","quota-per-s":9}]"#;

/// Returns the argument of the step that sends a request with this header line.
fn request(header: &str, id: &str) -> String {
    format!(
        r"raw POST /lookup/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 5000\r\n{header}Content-Length: 0\r\n\r\n"
    )
}

// Its work would not count towards any quota.
#[test]
fn a_request_whose_tenant_is_unknown_or_given_twice_reaches_no_endpoint() {
    let mut script = String::new();
    for (n, tenant) in [
        "X-Org: acne",
        "X-Org:",
        "X-Org: acme\\r\\nX-Org: acme",
        "X-Org: acme,other",
    ]
    .iter()
    .enumerate()
    {
        script += &format!(
            "c{n} send {}\n c{n} expect 400\n c{n} expect end\n",
            request(&format!("{tenant}\\r\\n"), &format!("t{n}"))
        );
    }
    // The first request that the endpoint receives is valid, so none of the invalid ones was sent.
    script += &format!(
        r"d send {}
          w1 wait a
          a expect POST /lookup/k x-txn:\x20t8
          a send done 1
          d expect 200 1
          d send {}
          a expect POST /lookup/k x-txn:\x20t9
          a send done 2
          d expect 200 2",
        request("X-Org: other\\r\\n", "t8"),
        request("", "t9")
    );
    ScenarioRunner::with_settings(&["w1"], None, &settings(TENANTS)).continue_with(&script);
}

// Without tenants the header has no meaning, and requests must not be rejected because of it.
#[test]
fn in_a_deployment_without_tenants_any_tenant_is_served() {
    let mut script = String::new();
    for (n, tenant) in ["X-Org: acne", "X-Org: a\\r\\nX-Org: b", "X-Org: \u{e9}"]
        .iter()
        .enumerate()
    {
        script += &format!(
            "c send {}\n",
            request(&format!("{tenant}\\r\\n"), &format!("t{n}"))
        );
        script += if n == 0 { "w1 wait a\n" } else { "" };
        script += &format!(
            "a expect POST /lookup/k x-txn:\\x20t{n}\n a send done {n}\n c expect 200 {n}\n"
        );
    }
    run_scenario(&["w1"], &script);
}

// Without the report, the next request would be sent to the same endpoint, whose queue is long.
// Load reports of rejected requests are covered by the upstream tests, because an endpoint that
// rejects a request is not used for a while, whatever it reports.
#[test]
fn the_load_report_of_a_completed_or_failed_request_decides_where_the_next_one_goes() {
    let reports = settings(r#""report":{"fields":["waiting","active","x0"],"via":"answers"}"#);
    for (state, status) in [("done", "200"), ("failed", "502")] {
        let script = format!(
            r#"c send POST /order/k t1 5000 x
               w1 wait a
               a expect POST /order/k t1
               a send 200
               a send + {{"id":"t1","from":"w1","state":"{state}","load":{{"inflight":40,"queue":39,"x0":1}}}}
               a send .
               c expect {status}
               c send POST /order/k t2 5000 x
               w2 wait b
               b expect POST /order/k t2
               b send done 2
               c expect 200 2"#
        );
        ScenarioRunner::with_settings(&["w1", "w2"], None, &reports).continue_with(&script);
    }
}

// An endpoint must be able to recognise a job that a Gearman client submits again.
#[test]
fn the_unique_id_of_a_gearman_job_is_its_idempotency_key_on_each_attempt() {
    run_scenario(
        &["w1", "w2"],
        r"g send [SUBMIT_JOB hold|u/1|body]
          g expect [JOB_CREATED *]
          w1 wait a
          a expect POST /hold/u%2F1 idempotency-key:\x20u/1 body
          a close
          w2 wait b
          b expect POST /hold/u%2F1 idempotency-key:\x20u/1 body
          b send done 7
          g expect [WORK_COMPLETE *|7]
          # Without a unique id the id of the job is the key; a class that requires no key has none.
          g send [SUBMIT_JOB hold||body]
          g expect [JOB_CREATED *]
          b expect POST /hold/ idempotency-key:
          b send done 8
          g expect [WORK_COMPLETE *|8]
          g send [SUBMIT_JOB lookup|u2|body]
          g expect [JOB_CREATED *]
          b expect POST /lookup/u2 !idempotency
          b send done 9
          g expect [WORK_COMPLETE *|9]",
    );
}

/// A worker that takes unique ids waits for jobs of the class with idempotency keys.
const KEYED_WORKER: &str = "gw send [CAN_DO hold]
     gw send [GRAB_JOB_UNIQ]
     gw expect [NO_JOB]
     gw send [PRE_SLEEP]
     gw send [ECHO_REQ listed]
     gw expect [ECHO_RES listed]\n";

/// Submits a job of the class with idempotency keys over HTTP as `c`, or over Gearman as `g`.
fn submit_hold(over_gearman: bool, key: &str) -> String {
    if over_gearman {
        format!("g send [SUBMIT_JOB hold|{key}|body]\n g expect [JOB_CREATED *]\n")
    } else {
        format!(
            r"c send raw POST /hold/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nIdempotency-Key: {key}\r\nContent-Length: 4\r\n\r\nbody"
        ) + "\n"
    }
}

fn expect_result(over_gearman: bool) -> &'static str {
    if over_gearman {
        "g expect [WORK_COMPLETE *|done]"
    } else {
        "c expect 200 done"
    }
}

// Guards against a keyed job running twice: a Gearman worker was told an id of the dispatcher instead
// of the key, under which an endpoint over HTTP was given the repeat. It is called before it has run.
#[test]
fn a_keyed_job_has_the_same_key_over_http_and_gearman_whichever_its_client_uses() {
    for over_gearman in [true, false] {
        for key in ["reservation-4711", "u/1 %2F+~", "u:2#?"] {
            let submit = submit_hold(over_gearman, key);
            let header_text = key.replace(' ', r"\x20");
            // First over HTTP, then at a worker.
            let mut runner = ScenarioRunner::with_settings(&["w1"], None, SETTINGS);
            runner.continue_with(&format!(
                r"{submit} w1 wait a
                  a expect POST /hold/ idempotency-key:\x20{header_text}
                  {KEYED_WORKER} a close
                  gw expect [NOOP]
                  gw send [GRAB_JOB_UNIQ]
                  gw expect [JOB_ASSIGN_UNIQ $b|hold|{key}|body]
                  gw send [WORK_COMPLETE $b|done]
                  {}",
                expect_result(over_gearman)
            ));
            // First at a worker, then over HTTP.
            let mut runner = ScenarioRunner::with_settings(&["discovery", "w1"], None, SETTINGS);
            let port = runner.listener_port("w1");
            let list = listing(2, true, &[endpoint_line("w9", port, "ready")]);
            runner.continue_with(&format!(
                r"discovery wait d
                   d expect GET /api/targets
                   d send 200
                   {KEYED_WORKER} {submit} gw expect [NOOP]
                   gw send [GRAB_JOB_UNIQ]
                   gw expect [JOB_ASSIGN_UNIQ $b|hold|{key}|body]
                   d send + {list}"
            ));
            runner.wait_until_listed("w9", "Ready");
            runner.continue_with(&format!(
                r"gw close
                  w1 wait a
                  a expect POST /hold/ idempotency-key:\x20{header_text}
                  a send done done
                  {}",
                expect_result(over_gearman)
            ));
        }
    }
}

// Whoever its client is, a job without a key is told by what its client calls it, and a Gearman job
// without a unique id by one id with each attempt.
#[test]
fn a_worker_is_told_what_the_client_calls_a_job_without_a_key() {
    for (function, unique_id) in [("lookup", "u/1"), ("order", "u 2"), ("order", " 3 ")] {
        run_scenario(
            &[],
            &format!(
                "gw send [CAN_DO {function}]
                 gw send [PRE_SLEEP]
                 g send [SUBMIT_JOB_HIGH {function}|{unique_id}|body]
                 g expect [JOB_CREATED *]
                 gw expect [NOOP]
                 gw send [GRAB_JOB_UNIQ]
                 gw expect [JOB_ASSIGN_UNIQ $b|{function}|{unique_id}|body]"
            ),
        );
    }
    // The id of the job is its key over HTTP, too. It is in use while the job is open.
    for unique_id in ["", "-"] {
        run_scenario(
            &[],
            &format!(
                r"{KEYED_WORKER} g send [SUBMIT_JOB hold|{unique_id}|body]
                  g expect [JOB_CREATED *]
                  gw expect [NOOP]
                  gw send [GRAB_JOB_UNIQ]
                  gw expect [JOB_ASSIGN_UNIQ $b|hold|$id|body]
                  c send raw POST /hold/k HTTP/1.1\r\nX-Txn: $id\r\nX-Remaining-Ms: 5000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n
                  c expect 409"
            ),
        );
    }
}

// Guards against a keyed job running twice: a worker that does not ask for unique ids recognises no
// repeat. A job that it is offered before that is known goes to another worker, and has not run.
#[test]
fn a_worker_that_takes_no_unique_ids_is_given_no_keyed_job() {
    run_scenario(
        &[],
        "gplain send [CAN_DO hold]
         gplain send [CAN_DO lookup]
         gplain send [PRE_SLEEP]
         gplain send [ECHO_REQ listed]
         gplain expect [ECHO_RES listed]
         g send [SUBMIT_JOB hold|u1|body]
         g expect [JOB_CREATED *]
         gplain expect [NOOP]
         gplain send [GRAB_JOB]
         gplain expect [NO_JOB]
         gplain send [PRE_SLEEP]
         gw send [CAN_DO hold]
         gw send [PRE_SLEEP]
         gw expect [NOOP]
         gw send [GRAB_JOB_UNIQ]
         gw expect [JOB_ASSIGN_UNIQ $b|hold|u1|body]
         # A repeat is not given to it either, but other jobs are.
         gw close
         g send [SUBMIT_JOB lookup|u2|body]
         g expect [JOB_CREATED *]
         gplain expect [NOOP]
         gplain send [GRAB_JOB]
         gplain expect [JOB_ASSIGN $c|lookup|body]
         gplain send [WORK_COMPLETE $c|found]
         g expect [WORK_COMPLETE *|found]
         # Once it asks for unique ids, it is given the repeat.
         gplain send [GRAB_JOB_UNIQ]
         gplain expect [NO_JOB]
         gplain send [PRE_SLEEP]
         gplain expect [NOOP]
         gplain send [GRAB_JOB_UNIQ]
         gplain expect [JOB_ASSIGN_UNIQ $d|hold|u1|body]
         gplain send [WORK_COMPLETE $d|held]
         g expect [WORK_COMPLETE *|held]",
    );
}

// White space at the ends of a header is lost, so an endpoint over HTTP would get another key.
#[test]
fn a_unique_id_that_no_header_can_carry_is_rejected_where_it_is_a_key() {
    run_scenario(
        &[],
        "g send [SUBMIT_JOB hold| u1|body]
         g expect [ERROR INVALID_UNIQUE_ID|*]
         g send [SUBMIT_JOB hold|u1\u{a0}|body]
         g expect [ERROR INVALID_UNIQUE_ID|*]
         g send [ECHO_REQ open]
         g expect [ECHO_RES open]",
    );
}

// A dispatcher in a large fleet must not delay its calls as it would for a shared service, because
// the agent is local.
#[test]
fn where_lists_are_pushed_the_agent_is_called_at_once() {
    let pushed = settings(r#""discovery":"automatic","n-instances":10000"#);
    let mut runner =
        ScenarioRunner::with_settings(&["w1", "discovery", "discovery2"], None, &pushed);
    runner.continue_with(
        r#"discovery wait d
           d expect GET /api/targets?stream=1&index=1
           d send 200
           d send + {"index":2,"snapshot":false,"endpoints":[{"name":"w1","address":"","zone":"z","type":"k","status":"draining"}]}"#,
    );
    runner.wait_until_listed("w1", "Draining");
    // The same applies after a reload, and after an agent has closed the connection.
    runner.reload("discovery2");
    runner.continue_with(
        r"discovery2 wait e
          e expect GET /api/targets
          e close
          discovery2 wait f
          f expect GET /api/targets",
    );
}

// A label that the dispatcher does not use must not cause a rejection, and a malformed value must
// not be treated as 1.
#[test]
fn unknown_labels_are_ignored_and_malformed_ones_are_rejected() {
    let mut script = String::new();
    for (n, labels) in ["slots", "slots=many", "memory=-1", "slots=1;memory=2"]
        .iter()
        .enumerate()
    {
        let header = format!("X-Labels: {labels}\\r\\n");
        script += &format!(
            "c{n} send {}\n c{n} expect 400\n",
            request(&header, &format!("t{n}"))
        );
    }
    script += &format!(
        "d send {}\n w1 wait a\n a expect POST /lookup/k x-txn:\\x20t9\n a send done 1\n d expect 200 1",
        request(
            "X-Labels: slots=1,memory=0.5, depth=3,\\r\\nX-Resent: 1\\r\\n",
            "t9"
        )
    );
    run_scenario(&["w1"], &script);
}
