//! A bad client sends the same import again the moment it is turned away.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "9b1f03aa5c7e2d41";
/// How long the import runs, and for how long the client waits each time.
const RUN: Duration = Duration::from_millis(2_000);
const REMAINING_MS: &str = "1000";
/// The client gives up after this time; the deadline of the class is 20 s.
const LONGEST: Duration = Duration::from_secs(60);

fn main() {
    run_case(|record, folder| {
        let runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let counted = runs.clone();
        // Running work goes on when its attempt is given up, as on some days.
        let conduct: Arc<Conduct> = Arc::new(move |worker, wire, request, _| {
            // The answer may be in vain; the import has run all the same.
            let _ = worker.run(wire, request, RUN);
            lock(&counted).push(Instant::now());
            Ok(true)
        });
        let worker = start_worker(record, "s-01", 5, &Arc::default(), conduct);
        let discovery = Discovery::start(record, vec![worker.entry()]);
        let dispatcher = Dispatcher::start(record, folder, "n0", discovery.address, &settings(0))?;
        let began = Instant::now();
        let mut answers = Vec::new();
        while began.elapsed() < LONGEST && lock(&runs).len() < 2 {
            let headers = [
                ("X-Txn", ID),
                ("X-Lane", "booking-import"),
                ("X-Remaining-Ms", REMAINING_MS),
            ];
            let answer = submit(
                record,
                "bad client",
                dispatcher.address,
                "/booking-import",
                &headers,
                "room 12",
                Duration::from_secs(5),
            );
            answers.push(answer.status);
            if !has_trouble() {
                thread::sleep(RUN);
                break;
            }
            thread::sleep(ms(50));
        }
        let runs = lock(&runs).clone();
        if runs.is_empty() {
            return Err("the import has not run".into());
        }
        let mut breaks = Vec::new();
        if runs.len() > 1 {
            breaks.push(format!(
                "the import {ID} ran {} times, {:?} apart; {} answers",
                runs.len(),
                runs[1] - runs[0],
                answers.len()
            ));
        }
        Ok(breaks)
    });
}
