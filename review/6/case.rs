//! A Gearman worker drops its connection after it has applied a job of a class with idempotency
//! keys; the dispatcher repeats the job at a worker that it reaches over HTTP.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const KEY: &str = "reservation-4711";

/// What all workers share, as the scope `all` says: the keys that were seen, and what was applied.
#[derive(Default)]
struct Hotel {
    results: HashMap<String, String>,
    applied: Vec<String>,
}

impl Hotel {
    /// Applies a job, unless one with its key was applied before.
    fn apply(&mut self, record: &Record, worker: &str, key: &str) -> String {
        if let Some(result) = self.results.get(key) {
            record.note(format!(
                "worker {worker}: drops the repeat with the key {key:?}"
            ));
            return result.clone();
        }
        record.note(format!(
            "worker {worker}: APPLIES the reservation, key {key:?}"
        ));
        self.applied
            .push(format!("by {worker} under the key {key:?}"));
        let result = format!("booked by {worker}");
        self.results.insert(key.to_owned(), result.clone());
        result
    }
}

fn main() {
    run_case(|record, folder| {
        let hotel: Arc<Mutex<Hotel>> = Arc::default();
        let shared = hotel.clone();
        let conduct: Arc<Conduct> = Arc::new(move |worker, wire, request, _| {
            let id = request.header("x-txn");
            let name = &worker.name;
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            thread::sleep(ms(500));
            let key = request.header("idempotency-key");
            let result = lock(&shared).apply(&worker.record, name, key);
            wire.send_chunk(&format!(
                "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
            ))?;
            wire.send("0\r\n\r\n")?;
            Ok(true)
        });
        let worker = start_worker(record, "s-01", 5, &Arc::default(), conduct);
        let discovery = Discovery::start(record, vec![worker.entry()]);
        // The settings may give a class another effect: here the workers drop repeats by a key.
        let settings = settings(0).replace(
            r#""semantics":"non_idempotent""#,
            r#""semantics":"idempotency_key","dedup-scope":"all","window-us":5000000"#,
        );
        let options = Options {
            gearman: Some(FUNCTIONS.into()),
            ..Options::default()
        };
        let dispatcher =
            Dispatcher::start_with(record, folder, "n0", discovery.address, &settings, &options)?;
        let to = dispatcher.gearman;
        let (shared, log, drops) = (hotel.clone(), record.clone(), has_trouble());
        gearman_worker(record, "g-01", to, &["booking-import"], move |peer, job| {
            thread::sleep(ms(500));
            let result = lock(&shared).apply(&log, "g-01", &job.unique);
            if drops {
                return Ok(false);
            }
            peer.send(WORK_COMPLETE, &[&job.handle, result.as_bytes()])?;
            Ok(true)
        })
        .map_err(|error| error.to_string())?;
        thread::sleep(ms(500));
        let mut client =
            Gearman::connect(to, Duration::from_secs(25)).map_err(|error| error.to_string())?;
        let outcome = gearman_submit(
            record,
            "client",
            &mut client,
            "booking-import",
            KEY,
            b"room 12",
        );
        let applied = lock(&hotel).applied.clone();
        record.note(format!("client: told {}; applied {applied:?}", outcome.end));
        if !has_trouble() && outcome.end != "complete" {
            return Err(format!("the job ended with {}", outcome.end));
        }
        let mut breaks = Vec::new();
        if applied.len() > 1 {
            breaks.push(format!(
                "the reservation with the unique id {KEY:?} was applied {} times: {}",
                applied.len(),
                applied.join(", ")
            ));
        }
        Ok(breaks)
    });
}
