//! How many jobs a second pass through the program, and how long one is on its way, with Gearman
//! workers that answer at once. Run with `cargo bench -p pumiceway-net`; everything is on loopback
//! and ends by itself.

use hdrhistogram::Histogram;
use pumiceway_test_support::{Peer, ScenarioRunner, run_gearman_echo_worker};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"zones":["a"],"my-zone":"a","kinds":["m"],"limits":{"most-tries":6},"rules":{},
  "lanes":[{"name":"rate-push","aim-us":500000,"deadline-us":10000000,"points":2,"semantics":"read_like"},
    {"name":"booking-import","aim-us":1500000,"deadline-us":20000000,"points":3,
     "semantics":"non_idempotent"}]}"#;

/// Workers; jobs at a time; jobs in all; what a job takes.
const PLAYS: [(usize, usize, usize, u64); 6] = [
    (1, 1, 2_000, 0),
    (4, 4, 10_000, 0),
    (4, 50, 10_000, 0),
    (4, 50, 1_000, 1_000),
    (4, 250, 10_000, 0),
    (32, 250, 10_000, 0),
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("workers  at a time   jobs  takes ms  served   jobs/s   p50 ms   p99 ms   max ms");
    for (workers, at_a_time, jobs, takes_us) in PLAYS {
        let runner = ScenarioRunner::with_settings(&[], None, SETTINGS);
        for _ in 0..workers {
            let address = runner.gearman;
            std::thread::spawn(move || {
                run_gearman_echo_worker(address, Duration::from_micros(takes_us));
            });
        }
        let mut client = Peer::new(TcpStream::connect(runner.gearman)?);
        let mut times = Histogram::<u64>::new(3)?;
        // Jobs are created in the order in which they were submitted; their ends name the handle.
        let mut sent = VecDeque::new();
        let mut open = std::collections::HashMap::new();
        let (start, mut submitted, mut ended, mut served) = (Instant::now(), 0, 0, 0u64);
        while ended < jobs {
            while submitted < jobs && submitted - ended < at_a_time {
                let function = ["rate-push", "booking-import"][submitted % 2];
                client.send(&format!("[SUBMIT_JOB {function}||job {submitted}]"));
                sent.push_back(Instant::now());
                submitted += 1;
            }
            let (name, parts) = client.read_packet()?;
            match name.as_str() {
                "JOB_CREATED" => drop(sent.pop_front().map(|at| open.insert(parts[0].clone(), at))),
                "WORK_COMPLETE" | "WORK_FAIL" => {
                    ended += 1;
                    served += u64::from(name == "WORK_COMPLETE");
                    if let Some(at) = open.remove(&parts[0]) {
                        times.record(at.elapsed().as_micros() as u64)?;
                    }
                }
                _ => {}
            }
        }
        let took = start.elapsed().as_secs_f64();
        let ms = |us: u64| us as f64 / 1_000.0;
        println!(
            "{workers:7}  {at_a_time:9}  {jobs:5}  {:8.1}  {served:6}  {:7.0}  {:7.2}  {:7.2}  {:7.2}",
            ms(takes_us),
            jobs as f64 / took,
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max()),
        );
    }
    Ok(())
}
