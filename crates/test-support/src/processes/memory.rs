//! The memory of a dispatcher process, as a platform with a limit sees it.
//!
//! The platform kills a process whose memory, files counted, passes the limit. The watch does the
//! same, and records the highest memory that it has seen.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often the memory is read.
const READ_INTERVAL: Duration = Duration::from_millis(5);
const BYTES_PER_KIB: u64 = 1 << 10;

/// The resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// All of it, files counted.
    pub total: u64,
    /// What no file backs.
    pub anonymous: u64,
}

impl MemoryUse {
    /// Reads the memory of a process; none if it has ended.
    pub fn of(process: u32) -> Option<MemoryUse> {
        let path: PathBuf = ["/proc", &process.to_string(), "status"].iter().collect();
        let status = std::fs::read_to_string(path).ok()?;
        Some(MemoryUse {
            total: bytes_of(&status, "VmRSS:")?,
            anonymous: bytes_of(&status, "RssAnon:")?,
        })
    }
}

fn bytes_of(status: &str, field: &str) -> Option<u64> {
    let mut values = status.lines().filter_map(|line| line.strip_prefix(field));
    let kib: u64 = values.next()?.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

/// What a watch has seen of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryRecord {
    /// The memory at the time of the highest total.
    pub peak: MemoryUse,
    /// When that was.
    pub peak_at: Option<Instant>,
    /// When the memory passed the limit.
    pub exceeded_at: Option<Instant>,
}

/// Watches the memory of a process until it is dropped.
pub struct MemoryWatch {
    record: Arc<Mutex<MemoryRecord>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Watches a process. Once its memory passes the limit, in bytes, `kill` is called.
    pub fn start(process: u32, limit: u64, kill: impl Fn() + Send + 'static) -> MemoryWatch {
        let record = Arc::<Mutex<MemoryRecord>>::default();
        let stopped = Arc::<AtomicBool>::default();
        let (shared_record, is_stopped) = (record.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            while let Some(memory) = MemoryUse::of(process) {
                let mut record = shared_record.lock().unwrap();
                if memory.total > record.peak.total {
                    record.peak = memory;
                    record.peak_at = Some(Instant::now());
                }
                if memory.total > limit && record.exceeded_at.is_none() {
                    record.exceeded_at = Some(Instant::now());
                    kill();
                }
                drop(record);
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(READ_INTERVAL);
            }
        });
        MemoryWatch {
            record,
            stopped,
            thread: Some(thread),
        }
    }

    /// What was seen so far.
    pub fn record(&self) -> MemoryRecord {
        *self.record.lock().unwrap()
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
