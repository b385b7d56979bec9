//! What the record costs: syncs a second of this disk, changes a second with and without groups,
//! the time until a change is safe, and how long the start takes with many open records. Run with
//! `cargo bench -p pumiceway-store`; the files are made in the target folder, since the temporary
//! folder may be memory.

use hdrhistogram::Histogram;
use pumiceway_store::{Ended, Kept, Store, Taken, Told, Write, on_disk};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::Instant;

fn taken(n: u64) -> Taken {
    Taken {
        identity: format!("booking-import\0{n:016x}"),
        class: "booking-import".into(),
        at: 1_800_000_000_000_000 + n,
        left: 20_000_000,
        slots: 1.0,
        memory: 0.0,
        id: format!("{n:016x}"),
        path: format!("/booking-import/{n:016x}"),
        body: format!("{{\"hotel\":{n},\"guests\":2,\"room\":\"double\",\"from\":\"2026-12-24\"}}")
            .into_bytes(),
    }
}

/// The three changes of a job: taken, out, over.
fn job(n: u64) -> [Write; 3] {
    let ended = Ended {
        at: 1_800_000_001_000_000,
        kept: Kept::Served(b"{\"ok\":true}".to_vec()),
        unsettled: false,
    };
    [
        Write::Taken(n, taken(n)),
        Write::Out(n),
        Write::Over(n, ended),
    ]
}

fn file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.redb"))
}

/// `at_a_time` jobs are in work; each hands its next change over when the last one is safe.
fn play(folder: &Path, jobs: u64, at_a_time: u64) -> Result<(), Box<dyn std::error::Error>> {
    let path = file(folder, &format!("play-{at_a_time}"));
    let (tell, told) = channel();
    let (store, _) = Store::start(&path, on_disk(path.clone()), move |t| drop(tell.send(t)))?;
    let mut times = Histogram::<u64>::new(3)?;
    let mut out = std::collections::VecDeque::new();
    let (mut number, mut next_job, mut groups) = (0, 0, 0u64);
    let start = Instant::now();
    let mut hand = |n: u64, step: usize, out: &mut std::collections::VecDeque<_>| {
        number += 1;
        let [a, b, c] = job(n);
        let handed = store.write(
            number,
            [a, b, c].into_iter().nth(step).unwrap_or(Write::Forget(n)),
        );
        out.push_back((number, n, step, Instant::now()));
        handed
    };
    while next_job < at_a_time {
        assert!(hand(next_job, 0, &mut out));
        next_job += 1;
    }
    while let Ok(Told::Safe(upto)) = told.recv() {
        groups += 1;
        while out.front().is_some_and(|(number, ..)| *number <= upto) {
            let Some((_, n, step, at)) = out.pop_front() else {
                break;
            };
            times.record(at.elapsed().as_micros() as u64)?;
            if step < 2 {
                assert!(hand(n, step + 1, &mut out));
            } else if next_job < jobs {
                assert!(hand(next_job, 0, &mut out));
                next_job += 1;
            }
        }
        if out.is_empty() {
            break;
        }
    }
    let took = start.elapsed().as_secs_f64();
    let ms = |q| times.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{at_a_time:9}  {jobs:6}  {:7.0}  {:7.0}  {:10.2}  {:7.2}  {:7.2}",
        jobs as f64 / took,
        groups as f64 / took,
        groups as f64 / jobs as f64,
        ms(0.5),
        ms(0.99)
    );
    drop(store);
    let size = std::fs::metadata(&path)?.len();
    println!("           file {size} bytes, {} a job", size / jobs);
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = PathBuf::from(concat!(env!("CARGO_TARGET_TMPDIR"), "/store-bench"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let mut plain = std::fs::File::create(folder.join("plain"))?;
    let start = Instant::now();
    for _ in 0..200 {
        plain.write_all(&[7; 4_096])?;
        plain.sync_data()?;
    }
    println!(
        "this disk: {:.0} appends of 4 KiB with a sync a second",
        200.0 / start.elapsed().as_secs_f64()
    );
    println!("at a time    jobs   jobs/s  syncs/s  syncs/job   p50 ms   p99 ms");
    for (jobs, at_a_time) in [(300, 1), (3_000, 16), (10_000, 64), (20_000, 256)] {
        play(&folder, jobs, at_a_time)?;
    }
    println!("open records  start ms  file bytes");
    for open in [100u64, 1_000, 10_000, 100_000] {
        let path = file(&folder, &format!("open-{open}"));
        let (tell, told) = channel();
        let (store, _) = Store::start(&path, on_disk(path.clone()), move |t| drop(tell.send(t)))?;
        for n in 0..open {
            while !store.write(n + 1, Write::Taken(n, taken(n))) {
                std::thread::yield_now();
            }
        }
        while told.recv()? != Told::Safe(open) {}
        drop(store);
        let start = Instant::now();
        let (_store, loaded) = Store::start(&path, on_disk(path.clone()), |_| {})?;
        let took = start.elapsed();
        assert_eq!(loaded.len() as u64, open);
        println!(
            "{open:12}  {:8.1}  {:10}",
            took.as_secs_f64() * 1_000.0,
            std::fs::metadata(&path)?.len()
        );
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
