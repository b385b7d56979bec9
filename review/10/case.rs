//! A Gearman client disconnects in the middle of its job and then submits the same job again.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn main() {
    run_case(|record, folder| {
        let discovery = Discovery::start(record, Vec::new());
        let settings = settings(0);
        let options = Options {
            gearman: Some(FUNCTIONS.into()),
            ..Options::default()
        };
        let dispatcher =
            Dispatcher::start_with(record, folder, "n0", discovery.address, &settings, &options)?;
        let to = dispatcher.gearman;
        let runs: Arc<Mutex<u32>> = Arc::default();
        let counted = runs.clone();
        let own = record.clone();
        gearman_worker(record, "w", to, &["booking-import"], move |peer, job| {
            *lock(&counted) += 1;
            for part in ["reservation 1\n", "reservation 2\n", "reservation 3\n"] {
                thread::sleep(ms(500));
                own.note(format!("worker w: sends {part:?}"));
                peer.send(WORK_DATA, &[&job.handle, part.as_bytes()])?;
            }
            thread::sleep(ms(500));
            own.note("worker w: completes with \"end\"");
            peer.send(WORK_COMPLETE, &[&job.handle, b"end"])?;
            Ok(true)
        })
        .map_err(|error| error.to_string())?;
        thread::sleep(ms(300));
        let connect =
            || Gearman::connect(to, Duration::from_secs(25)).map_err(|error| error.to_string());
        if has_trouble() {
            let mut first = connect()?;
            first
                .send(SUBMIT_JOB, &[b"booking-import", b"hotel-17", b"import"])
                .map_err(|error| error.to_string())?;
            record.note("client: submits booking-import unique \"hotel-17\"");
            thread::sleep(ms(1200));
            record.note("client: disconnects");
            drop(first);
            thread::sleep(ms(100));
        }
        let mut client = connect()?;
        let outcome = gearman_submit(
            record,
            "client",
            &mut client,
            "booking-import",
            "hotel-17",
            b"import",
        );
        let whole = "reservation 1\nreservation 2\nreservation 3\nend";
        if !has_trouble() && outcome.end != "complete" {
            return Err(format!("the job ended with {}", outcome.end));
        }
        let mut breaks = Vec::new();
        record.note(format!("runs: {}", lock(&runs)));
        if outcome.end == "complete" && outcome.data != whole.as_bytes() {
            breaks.push(format!(
                "the client was told as complete {:?}; the worker gave {whole:?}",
                shown(&outcome.data)
            ));
        }
        Ok(breaks)
    });
}
