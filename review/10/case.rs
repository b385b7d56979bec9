//! A Gearman worker drops its connection in the middle of a job, where two functions stand for one class.

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
        let functions = "[functions.push-rates]\nclass = \"rate-push\"\n[functions.close-sales]\nclass = \"rate-push\"\nslots = 2\n";
        let options = Options {
            gearman: Some(functions.into()),
            ..Options::default()
        };
        let dispatcher =
            Dispatcher::start_with(record, folder, "n0", discovery.address, &settings, &options)?;
        let to = dispatcher.gearman;
        let given: Arc<Mutex<Vec<(String, String, String)>>> = Arc::default();
        let trouble = has_trouble();
        let worker = |name: &'static str, function: &'static str, drops: bool| {
            let given = given.clone();
            gearman_worker(record, name, to, &[function], move |peer, job| {
                lock(&given).push((name.into(), job.function.clone(), shown(&job.workload)));
                thread::sleep(ms(300));
                if drops {
                    return Ok(false);
                }
                let result = format!(
                    "{} done by {name} as {}",
                    shown(&job.workload),
                    job.function
                );
                peer.send(WORK_COMPLETE, &[&job.handle, result.as_bytes()])?;
                Ok(true)
            })
            .map_err(|error| error.to_string())
        };
        worker("w-push", "push-rates", trouble)?;
        thread::sleep(ms(300));
        worker("w-close", "close-sales", false)?;
        thread::sleep(ms(300));
        let mut client =
            Gearman::connect(to, Duration::from_secs(15)).map_err(|error| error.to_string())?;
        let outcome = gearman_submit(
            record,
            "client",
            &mut client,
            "push-rates",
            "-",
            b"rates of hotel 17",
        );
        if !has_trouble() && outcome.end != "complete" {
            return Err(format!("the job ended with {}", outcome.end));
        }
        let mut breaks = Vec::new();
        for (name, function, workload) in lock(&given).iter() {
            if function != "push-rates" {
                breaks.push(format!("{name} was given {workload:?} as a job of {function}, which nobody submitted; the client was told {} {:?}", outcome.end, shown(&outcome.data)));
            }
        }
        Ok(breaks)
    });
}
