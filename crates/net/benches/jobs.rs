//! Measures the throughput and the latency of jobs through the Gearman frontend, with workers on
//! loopback that complete each job after a fixed time. Run with `cargo bench -p pumiceway-net`.

use hdrhistogram::Histogram;
use pumiceway_test_support::{Peer, ScenarioRunner, run_gearman_echo_worker};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"zones":["a"],"my-zone":"a","kinds":["m"],"limits":{"most-tries":6},"rules":{},
  "lanes":[{"name":"rate-push","aim-us":500000,"deadline-us":10000000,"points":2,"semantics":"read_like"},
    {"name":"booking-import","aim-us":1500000,"deadline-us":20000000,"points":3,
     "semantics":"non_idempotent"}]}"#;

/// Number of workers, number of concurrent jobs, total number of jobs, and the execution time of a
/// job in microseconds.
const WORKLOADS: [(usize, usize, usize, u64); 6] = [
    (1, 1, 2_000, 0),
    (4, 4, 10_000, 0),
    (4, 50, 10_000, 0),
    (4, 50, 1_000, 1_000),
    (4, 250, 10_000, 0),
    (32, 250, 10_000, 0),
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("workers  concurrent   jobs   exec ms  served   jobs/s   p50 ms   p99 ms   max ms");
    for (workers, concurrent, jobs, execution_us) in WORKLOADS {
        let runner = ScenarioRunner::with_settings(&[], None, SETTINGS);
        for _ in 0..workers {
            let address = runner.gearman;
            std::thread::spawn(move || {
                run_gearman_echo_worker(address, Duration::from_micros(execution_us));
            });
        }
        let mut client = Peer::new(TcpStream::connect(runner.gearman)?);
        let mut latencies = Histogram::<u64>::new(3)?;
        // JOB_CREATED packets arrive in the order of submission and assign the job handles, by
        // which later packets identify the jobs.
        let mut awaiting_handle = VecDeque::new();
        let mut in_flight = std::collections::HashMap::new();
        let (start, mut submitted, mut ended, mut served) = (Instant::now(), 0, 0, 0u64);
        while ended < jobs {
            while submitted < jobs && submitted - ended < concurrent {
                let function = ["rate-push", "booking-import"][submitted % 2];
                client.send(&format!("[SUBMIT_JOB {function}||job {submitted}]"));
                awaiting_handle.push_back(Instant::now());
                submitted += 1;
            }
            let (name, parts) = client.read_packet()?;
            match name.as_str() {
                "JOB_CREATED" => drop(
                    awaiting_handle
                        .pop_front()
                        .map(|submitted_at| in_flight.insert(parts[0].clone(), submitted_at)),
                ),
                "WORK_COMPLETE" | "WORK_FAIL" => {
                    ended += 1;
                    served += u64::from(name == "WORK_COMPLETE");
                    if let Some(submitted_at) = in_flight.remove(&parts[0]) {
                        latencies.record(submitted_at.elapsed().as_micros() as u64)?;
                    }
                }
                _ => {}
            }
        }
        let total_seconds = start.elapsed().as_secs_f64();
        let ms = |us: u64| us as f64 / 1_000.0;
        println!(
            "{workers:7}  {concurrent:10}  {jobs:5}  {:8.1}  {served:6}  {:7.0}  {:7.2}  {:7.2}  {:7.2}",
            ms(execution_us),
            jobs as f64 / total_seconds,
            ms(latencies.value_at_quantile(0.5)),
            ms(latencies.value_at_quantile(0.99)),
            ms(latencies.max()),
        );
    }
    Ok(())
}
