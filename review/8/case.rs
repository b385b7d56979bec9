//! Spoilt answers that never end use up the memory, while sound Gearman clients wait for their jobs.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(60);
/// The clients of class `rate-push`, over HTTP, and those of the imports, over Gearman.
const HTTP_CLIENTS: u64 = 60;
const GEARMAN_CLIENTS: u64 = 10;
/// A result of an import; a body holds 64 KiB at most.
const RESULT_BYTES: usize = 60_000;
/// As on the busiest days; every second one spoils its answers to class `rate-push`.
const WORKERS: u64 = 20;
const SLOTS: u64 = 5;
/// A spoilt answer grows by such a part at a time, and then stays open.
const PART_BYTES: usize = 4_000;
const PARTS: usize = 95;

fn main() {
    run_case(|record, folder| {
        let trouble = has_trouble();
        let conduct: Arc<Conduct> = Arc::new(move |worker, wire, request, _| {
            let is_spoiling = trouble && worker.name.ends_with(['1', '3', '5', '7', '9']);
            let id = request.header("x-txn");
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let is_import = request.path().starts_with("/booking-import");
            if is_import || !is_spoiling {
                thread::sleep(ms(if is_import { 20 } else { 1_000 }));
                let result = "r".repeat(if is_import { RESULT_BYTES } else { 100 });
                let name = &worker.name;
                worker.record.note(format!("worker {name}: done {id}"));
                wire.send_chunk(&format!(
                    "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
                ))?;
                wire.send("0\r\n\r\n")?;
                return Ok(true);
            }
            worker
                .record
                .note(format!("worker {}: spoilt answer to {id}", worker.name));
            wire.send_chunk(&format!(
                "{{\"id\":\"{id}\",\"state\":\"running\",\"note\":\""
            ))?;
            let part = "a".repeat(PART_BYTES);
            for _ in 0..PARTS {
                wire.send_chunk(&part)?;
                thread::sleep(ms(10));
            }
            while !is_closed(&wire.stream) {
                thread::sleep(ms(10));
            }
            Ok(false)
        });
        let arrivals = Arc::default();
        let workers: Vec<_> = (1..=WORKERS)
            .map(|number| {
                start_worker(
                    record,
                    &format!("s-{number:02}"),
                    SLOTS,
                    &arrivals,
                    conduct.clone(),
                )
            })
            .collect();
        let entries = workers.iter().map(WorkerHandle::entry).collect();
        let discovery = Discovery::start(record, entries);
        let options = Options {
            memory_mb: 32,
            sockets: 512,
            gearman: Some(FUNCTIONS.into()),
        };
        let dispatcher = Dispatcher::start_with(
            record,
            folder,
            "n0",
            discovery.address,
            &settings(0),
            &options,
        )?;
        let (http, gearman) = (dispatcher.address, dispatcher.gearman);
        let end = Instant::now() + LENGTH;
        let number = Arc::new(AtomicU64::new(1));
        let pushes: Vec<_> = (0..HTTP_CLIENTS)
            .map(|client| {
                let (record, number) = (record.clone(), number.clone());
                thread::spawn(move || {
                    while Instant::now() < end {
                        let id = format!("{:016x}", number.fetch_add(1, Ordering::Relaxed));
                        let headers = [
                            ("X-Txn", &id[..]),
                            ("X-Lane", "rate-push"),
                            ("X-Remaining-Ms", "4000"),
                        ];
                        let who = format!("HTTP client {client}");
                        submit(
                            &record,
                            &who,
                            http,
                            "/rate-push",
                            &headers,
                            "{}",
                            Duration::from_secs(6),
                        );
                        thread::sleep(ms(20));
                    }
                })
            })
            .collect();
        let imports: Vec<_> = (0..GEARMAN_CLIENTS)
            .map(|client| {
                let record = record.clone();
                thread::spawn(move || {
                    let who = format!("Gearman client {client}");
                    let (mut answered, mut lost) = (0, 0);
                    let mut peer = None;
                    while Instant::now() < end {
                        let open = peer.take();
                        let connect = || Gearman::connect(gearman, Duration::from_secs(25)).ok();
                        let Some(mut open) = open.or_else(connect) else {
                            thread::sleep(ms(50));
                            continue;
                        };
                        let outcome = gearman_submit(
                            &record,
                            &who,
                            &mut open,
                            "booking-import",
                            "-",
                            b"hotel 17",
                        );
                        if outcome.end.starts_with("closed") {
                            lost += 1;
                        } else {
                            answered += 1;
                            peer = Some(open);
                        }
                        thread::sleep(ms(20));
                    }
                    (answered, lost)
                })
            })
            .collect();
        let (mut answered, mut lost) = (0, 0);
        for client in imports {
            let counts = client.join().map_err(|_| "a Gearman client has failed")?;
            answered += counts.0;
            lost += counts.1;
        }
        for client in pushes {
            client.join().map_err(|_| "an HTTP client has failed")?;
        }
        record.note(format!(
            "imports: {answered} answered, {lost} closed without an answer"
        ));
        if answered == 0 {
            return Err("no import was answered".into());
        }
        let mut breaks = Vec::new();
        if lost > 0 {
            breaks.push(format!("{lost} imports of sound clients ended with a close and no answer; {answered} were answered"));
        }
        Ok(breaks)
    });
}
