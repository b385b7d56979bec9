//! Many jobs over both frontends on loopback: all are served, and no import runs twice.
//!
//! A push is a job of the idempotent class `rate-push`, an import one of the non-idempotent class
//! `booking-import`.

use pumiceway_test_support::{Peer, ScenarioRunner, run_gearman_echo_worker};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

// At a new site, no job may be shed because of a wrong estimate: users of Gearman expect jobs to be
// queued.
#[test]
fn a_thousand_short_jobs_fifty_at_a_time_on_four_workers_are_all_served() {
    const MINIMAL_SETTINGS: &str = r#"{"zones":["a"],"my-zone":"a","kinds":["m"],"limits":{"most-tries":6},"rules":{},
      "lanes":[{"name":"rate-push","aim-us":500000,"deadline-us":10000000,"points":2,"semantics":"read_like"},
        {"name":"booking-import","aim-us":1500000,"deadline-us":20000000,"points":3,
         "semantics":"non_idempotent"}]}"#;
    let runner = ScenarioRunner::with_settings(&[], None, MINIMAL_SETTINGS);
    for _ in 0..4 {
        let address = runner.gearman;
        std::thread::spawn(move || run_gearman_echo_worker(address, Duration::from_millis(1)));
    }
    let mut client = Peer::new(TcpStream::connect(runner.gearman).unwrap());
    let submit = |client: &mut Peer, n: u32| {
        let function = ["rate-push", "booking-import"][n as usize % 2];
        client.send(&format!("[SUBMIT_JOB {function}||job {n}]"));
    };
    (0..50).for_each(|n| submit(&mut client, n));
    let (mut submitted, mut served) = (50, 0);
    while served < 1_000 {
        let (name, parts) = client.read_packet().unwrap();
        match name.as_str() {
            "JOB_CREATED" => {}
            "WORK_COMPLETE" => {
                served += 1;
                if submitted < 1_000 {
                    submit(&mut client, submitted);
                    submitted += 1;
                }
            }
            _ => panic!("after {served} jobs: {name} {parts:?}"),
        }
    }
}

/// Submits a job over HTTP or Gearman, and retries while it gets overload responses. Returns
/// whether the job was served.
fn submit_until_ended(runner: &ScenarioRunner, gearman: bool, id: &str, class: &str) -> bool {
    let address = if gearman { runner.gearman } else { runner.http };
    let mut client = Peer::new(TcpStream::connect(address).unwrap());
    for retry in 0..400 {
        let (overloaded, served) = if gearman {
            client.send(&format!("[SUBMIT_JOB {class}|{id}|{id}]"));
            let mut overloaded = false;
            loop {
                match client.read_packet().unwrap() {
                    (name, _) if name == "WORK_COMPLETE" => break (false, true),
                    (name, _) if name == "WORK_FAIL" => break (overloaded, false),
                    (_, parts) => {
                        overloaded |= parts.last().is_some_and(|part| part.starts_with("busy"));
                    }
                }
            }
        } else {
            // The deadlines of the classes. A shorter remaining time would mark the request as a
            // retry.
            let remaining_ms = if class == "rate-push" { 5000 } else { 6000 };
            client.send(&format!("POST /{class}/k {id}.{retry} {remaining_ms} {id}"));
            let response = client.read_message().unwrap();
            (
                response.starts_with("HTTP/1.1 503"),
                response.starts_with("HTTP/1.1 200"),
            )
        };
        if !overloaded {
            return served;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{id}: still overloaded after 400 retries");
}

/// Counts the runs of each job.
#[derive(Default)]
struct RunCounts {
    /// For each job, its runs on HTTP endpoints and on Gearman workers.
    counts: Mutex<BTreeMap<String, [u32; 2]>>,
    changed: Condvar,
}

impl RunCounts {
    /// Waits until this many jobs of a round have started, but at most two seconds, because one of
    /// them may have to be retried first.
    fn wait_for_started(&self, round: &str, jobs: usize) {
        let is_of_round = |id: &str| round_of(id) == Some(round);
        let fewer = |counts: &mut BTreeMap<String, _>| {
            counts.keys().filter(|id| is_of_round(id)).count() < jobs
        };
        let counts = self.counts.lock().unwrap();
        drop(
            self.changed
                .wait_timeout_while(counts, Duration::from_secs(2), fewer)
                .unwrap(),
        );
    }
}

/// Extracts the round from the id of a job.
fn round_of(id: &str) -> Option<&str> {
    id.rsplit('-').nth(2)
}

/// Counts a run of a job, and waits until all jobs of its round have started, so that each occupies
/// a worker of its own. Returns whether the job completes; if not, the worker disconnects at once.
fn run_job(runs: &RunCounts, job: &str, gearman: bool) -> bool {
    let count = {
        let mut all = runs.counts.lock().unwrap();
        let counts = all.entry(job.to_owned()).or_default();
        counts[usize::from(gearman)] += 1;
        counts[0] + counts[1]
    };
    runs.changed.notify_all();
    if job.contains("drop") {
        return count > 1;
    }
    runs.wait_for_started(round_of(job).unwrap_or_default(), 4);
    true
}

/// A Gearman worker that counts its runs, and disconnects during the first run of a job whose id
/// contains `drop`.
fn gearman_worker(address: SocketAddr, runs: Arc<RunCounts>) {
    loop {
        let Ok(stream) = TcpStream::connect(address) else {
            return;
        };
        let mut worker = Peer::new(stream);
        worker.send("[CAN_DO booking-import]");
        worker.send("[CAN_DO rate-push]");
        worker.send("[GRAB_JOB]");
        loop {
            match worker.read_packet() {
                Ok((name, parts)) if name == "JOB_ASSIGN" => {
                    if !run_job(&runs, &parts[2], true) {
                        break;
                    }
                    worker.send(&format!("[WORK_COMPLETE {}|{}]", parts[0], parts[2]));
                    worker.send("[GRAB_JOB]");
                }
                Ok((name, _)) if name == "NO_JOB" => worker.send("[PRE_SLEEP]"),
                Ok(_) => worker.send("[GRAB_JOB]"),
                Err(_) => return,
            }
        }
    }
}

/// An HTTP endpoint that behaves like [`gearman_worker`].
fn http_endpoint(listener: TcpListener, runs: Arc<RunCounts>) {
    for stream in listener.incoming() {
        let runs = runs.clone();
        std::thread::spawn(move || {
            let mut worker = Peer::new(stream.unwrap());
            while let Ok(message) = worker.read_message() {
                let body = message
                    .split("\r\n\r\n")
                    .nth(1)
                    .unwrap_or_default()
                    .to_owned();
                if !run_job(&runs, &body, false) {
                    return;
                }
                worker.send(&format!("done {body}"));
            }
        });
    }
}

// Jobs of both protocols must run on both kinds of workers, even if workers disconnect and clients
// retry.
#[test]
fn both_protocols_get_equal_service_and_no_import_runs_twice() {
    let mut runner = ScenarioRunner::new(&["w1", "w2"]);
    let runs = Arc::<RunCounts>::default();
    for endpoint in ["w1", "w2"] {
        let (listener, runs) = (runner.take_listener(endpoint), runs.clone());
        std::thread::spawn(move || http_endpoint(listener, runs));
    }
    for _ in 0..2 {
        let (address, runs) = (runner.gearman, runs.clone());
        std::thread::spawn(move || gearman_worker(address, runs));
    }
    runner.continue_with("g1 send [ECHO_REQ x]\n g1 expect [ECHO_RES x]");
    let mut served = [[0; 2]; 2];
    for round in 0..12 {
        let drops = if round % 4 == 3 { "drop" } else { "" };
        // The clients of the two frontends alternate in submitting first, while all workers are
        // idle.
        let gearman_first = round % 2 == 1;
        std::thread::scope(|scope| {
            let jobs = [
                (gearman_first, 0),
                (gearman_first, 1),
                (!gearman_first, 0),
                (!gearman_first, 1),
            ]
            .map(|(gearman, n)| {
                if gearman != gearman_first && drops.is_empty() {
                    runs.wait_for_started(&round.to_string(), 2);
                }
                let (class, runner) = (["rate-push", "booking-import"][n], &runner);
                let id = format!("{class}-{round}-{gearman}-{drops}");
                let job = scope.spawn(move || {
                    let served = submit_until_ended(runner, gearman, &id, class);
                    // A Gearman client that submits a unique id again gets the same response.
                    assert!(
                        !gearman || submit_until_ended(runner, gearman, &id, class) == served,
                        "{id}"
                    );
                    served
                });
                (gearman, n, job)
            });
            for (gearman, n, job) in jobs {
                served[usize::from(gearman)][n] += u32::from(job.join().unwrap());
            }
        });
    }
    // Pushes are retried, and imports whose worker disconnects fail: 3 of 12 on each frontend.
    assert_eq!(served, [[12, 9], [12, 9]]);
    let runs = runs.counts.lock().unwrap();
    let imports: Vec<_> = runs
        .iter()
        .filter(|(id, _)| id.starts_with("booking-import"))
        .collect();
    let twice: Vec<_> = imports.iter().filter(|(_, n)| n[0] + n[1] > 1).collect();
    assert!(twice.is_empty(), "imports that ran twice: {twice:?}");
    assert_eq!(imports.len(), 24);
    // Jobs of both protocols ran on both kinds of workers.
    for client in ["-true-", "-false-"] {
        for worker in [0, 1] {
            assert!(
                runs.iter()
                    .any(|(id, n)| id.contains(client) && n[worker] > 0),
                "{client} {worker}"
            );
        }
    }
}
