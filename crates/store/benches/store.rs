//! Benchmarks of the store: syncs per second of the disk, jobs per second at several levels of
//! concurrency (with one job at a time there is no group commit), the time until a change is
//! durable, and the time to load many open records. Run with `cargo bench -p pumiceway-store`. The
//! files are created in the target directory, since the temporary directory may be in memory.

use hdrhistogram::Histogram;
use pumiceway_store::{
    AcceptedRequest, Change, Completion, Operation, RecordId, Store, StoreEvent, StoredResponse,
    on_disk,
};
use std::collections::VecDeque;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::Instant;

type BenchResult = Result<(), Box<dyn std::error::Error>>;

/// The changes of one job: accepted, sent, completed.
const CHANGES_PER_JOB: usize = 3;

fn request(record: u64) -> AcceptedRequest {
    let id = format!("{record:016x}");
    AcceptedRequest {
        unique_id: format!("booking-import\0{id}"),
        class: "booking-import".into(),
        accepted_at_us: 1_800_000_000_000_000 + record,
        remaining_us: 20_000_000,
        slots: 1.0,
        memory: 0.0,
        path: format!("/booking-import/{id}"),
        id,
        body: format!(
            "{{\"hotel\":{record},\"guests\":2,\"room\":\"double\",\"from\":\"2026-12-24\"}}"
        )
        .into_bytes(),
    }
}

/// The change that a job makes at this step.
fn job_change(record: u64, step: usize) -> Change {
    let operation = match step {
        0 => Operation::Accept(request(record)),
        1 => Operation::Send,
        _ => Operation::Complete(Completion {
            completed_at_us: 1_800_000_001_000_000,
            response: StoredResponse::Served(b"{\"ok\":true}".to_vec()),
            in_doubt: false,
        }),
    };
    Change {
        record: RecordId(record),
        operation,
    }
}

fn file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.redb"))
}

/// A change that is not durable yet.
struct PendingChange {
    sequence: u64,
    job: u64,
    step: usize,
    written_at: Instant,
}

/// Writes changes and keeps those that are not durable yet.
struct JobWriter {
    store: Store,
    sequence: u64,
    pending: VecDeque<PendingChange>,
}

impl JobWriter {
    fn write(&mut self, job: u64, step: usize) {
        self.sequence += 1;
        assert!(self.store.write(self.sequence, job_change(job, step)));
        self.pending.push_back(PendingChange {
            sequence: self.sequence,
            job,
            step,
            written_at: Instant::now(),
        });
    }

    /// Removes and returns the oldest pending change if its sequence number is at most `sequence`.
    fn take_durable(&mut self, sequence: u64) -> Option<PendingChange> {
        let is_durable = self.pending.front()?.sequence <= sequence;
        is_durable.then(|| self.pending.pop_front())?
    }
}

/// Runs `concurrent` jobs at a time. Each writes its next change once its previous one is durable.
fn bench_jobs(directory: &Path, jobs: u64, concurrent: u64) -> BenchResult {
    let path = file(directory, &format!("jobs-{concurrent}"));
    let (sender, events) = channel();
    let report = move |event| drop(sender.send(event));
    let (store, _) = Store::start(&path, on_disk(path.clone()), report)?;
    let mut writer = JobWriter {
        store,
        sequence: 0,
        pending: VecDeque::new(),
    };
    let mut latencies_us = Histogram::<u64>::new(3)?;
    let mut syncs = 0u64;
    let start = Instant::now();
    (0..concurrent).for_each(|job| writer.write(job, 0));
    let mut next_job = concurrent;
    while let Ok(StoreEvent::Durable(sequence)) = events.recv() {
        syncs += 1;
        while let Some(change) = writer.take_durable(sequence) {
            latencies_us.record(change.written_at.elapsed().as_micros() as u64)?;
            if change.step + 1 < CHANGES_PER_JOB {
                writer.write(change.job, change.step + 1);
            } else if next_job < jobs {
                writer.write(next_job, 0);
                next_job += 1;
            }
        }
        if writer.pending.is_empty() {
            break;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let quantile_ms = |quantile| latencies_us.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{concurrent:10}  {jobs:6}  {:7.0}  {:7.0}  {:10.2}  {:7.2}  {:7.2}",
        jobs as f64 / seconds,
        syncs as f64 / seconds,
        syncs as f64 / jobs as f64,
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
    drop(writer);
    let size = std::fs::metadata(&path)?.len();
    println!("            file {size} bytes, {} per job", size / jobs);
    Ok(())
}

/// Measures the time to load this number of open records.
fn bench_load(directory: &Path, records: u64) -> BenchResult {
    let path = file(directory, &format!("open-{records}"));
    let (sender, events) = channel();
    let report = move |event| drop(sender.send(event));
    let (store, _) = Store::start(&path, on_disk(path.clone()), report)?;
    for record in 0..records {
        while !store.write(record + 1, job_change(record, 0)) {
            std::thread::yield_now();
        }
    }
    while !matches!(events.recv()?, StoreEvent::Durable(last) if last == records) {}
    drop(store);
    let start = Instant::now();
    let (_store, loaded) = Store::start(&path, on_disk(path.clone()), |_| {})?;
    let load_ms = start.elapsed().as_secs_f64() * 1_000.0;
    assert_eq!(loaded.len() as u64, records);
    let size = std::fs::metadata(&path)?.len();
    println!("{records:12}  {load_ms:8.1}  {size:10}");
    Ok(())
}

/// Measures how many appends of 4 KiB, each with a sync, the disk does per second.
fn bench_disk(directory: &Path) -> BenchResult {
    const APPENDS: u32 = 200;
    let mut file = std::fs::File::create(directory.join("plain"))?;
    let start = Instant::now();
    for _ in 0..APPENDS {
        file.write_all(&[7; 4_096])?;
        file.sync_data()?;
    }
    let per_second = f64::from(APPENDS) / start.elapsed().as_secs_f64();
    println!("disk: {per_second:.0} appends of 4 KiB with a sync per second");
    Ok(())
}

fn main() -> BenchResult {
    let directory = PathBuf::from(concat!(env!("CARGO_TARGET_TMPDIR"), "/store-bench"));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory)?;
    bench_disk(&directory)?;
    println!("concurrent    jobs   jobs/s  syncs/s  syncs/job   p50 ms   p99 ms");
    for (jobs, concurrent) in [(300, 1), (3_000, 16), (10_000, 64), (20_000, 256)] {
        bench_jobs(&directory, jobs, concurrent)?;
    }
    println!("open records   load ms  file bytes");
    for records in [100, 1_000, 10_000, 100_000] {
        bench_load(&directory, records)?;
    }
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}
