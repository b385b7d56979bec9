//! A bad client sends the id of an open request that belongs to another client.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ID: &str = "9b1f03aa5c7e2d41";
const OTHER_ID: &str = "77c0e19b40d2a65f";
const PATH: &str = "/booking-import";
const BODY: &str = r#"{"hotel":17}"#;
/// How long the import runs: the running times of the site are 1.2 to 2.3 s on average.
const RUN: Duration = Duration::from_millis(2_000);
const PATIENCE: Duration = Duration::from_secs(25);

fn main() {
    run_case(|record, folder| {
        let conduct: Arc<Conduct> = Arc::new(|worker, wire, request, _| {
            worker.run(wire, request, RUN)?;
            Ok(true)
        });
        let arrivals = Arc::default();
        let worker = start_worker(record, "s-01", 5, &arrivals, conduct);
        let discovery = Discovery::start(record, vec![worker.entry()]);
        let dispatcher = Dispatcher::start(record, folder, "n0", discovery.address, &settings(0))?;
        let to = dispatcher.address;
        let headers = |id: &'static str| {
            [
                ("X-Txn", id),
                ("X-Lane", "booking-import"),
                ("X-Remaining-Ms", "20000"),
            ]
        };
        let log = record.clone();
        let owner =
            thread::spawn(move || submit(&log, "client A", to, PATH, &headers(ID), BODY, PATIENCE));
        thread::sleep(ms(500));
        // Without the disruption, client B has an id of its own.
        let id = if has_trouble() { ID } else { OTHER_ID };
        let bad = submit(record, "client B", to, PATH, &headers(id), BODY, PATIENCE);
        let owner = owner.join().map_err(|_| "client A has failed")?;
        let of_b = lock(&arrivals)
            .iter()
            .filter(|arrival| arrival.id == OTHER_ID)
            .count();
        record.note(format!("requests of client B that a worker got: {of_b}"));
        let mut breaks = Vec::new();
        if bad.status == 200 && of_b == 0 {
            let Answer { body, after, .. } = &bad;
            breaks.push(format!(
                "client B was served {body:?} after {after:?}, as though its request had run: it is the answer of client A"
            ));
        }
        if owner.status != 200 || !has_trouble() && bad.status != 200 {
            return Err(format!(
                "a sound client was not served: {} {}",
                owner.status, bad.status
            ));
        }
        Ok(breaks)
    });
}
