//! The bound on lines a second.

use crate::{Format, Lines};
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter};

/// Lines that may still be written, and how many were left out.
#[derive(Debug)]
pub struct Quota {
    per_second: f64,
    burst: f64,
    tokens: f64,
    at: Option<Instant>,
}

impl Quota {
    /// A full quota of this many lines a second, and so many at once.
    pub const fn new(per_second: f64, burst: f64) -> Quota {
        Quota {
            per_second,
            burst,
            tokens: burst,
            at: None,
        }
    }

    /// Whether a line may be written now.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

/// Admits only so many lines. Warnings and errors have a quota of their own, so that no flood of
/// lesser lines takes their place.
#[derive(Clone)]
pub struct Flood(Arc<Inner>);

struct Inner {
    serious: Mutex<Quota>,
    others: Mutex<Quota>,
    left_out: AtomicU64,
}

impl Default for Flood {
    /// 20 lines a second and 100 at once, of either sort.
    fn default() -> Flood {
        Flood::new(20.0, 100.0)
    }
}

impl fmt::Debug for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Flood")
            .field("left_out", &self.0.left_out)
            .finish_non_exhaustive()
    }
}

impl Flood {
    /// This many lines a second, and so many at once, of either sort.
    pub fn new(per_second: f64, burst: f64) -> Flood {
        let quota = || Mutex::new(Quota::new(per_second, burst));
        Flood(Arc::new(Inner {
            serious: quota(),
            others: quota(),
            left_out: AtomicU64::new(0),
        }))
    }

    fn admits(&self, level: Level, now: Instant) -> bool {
        let quota = if level <= Level::WARN {
            &self.0.serious
        } else {
            &self.0.others
        };
        let admitted = quota
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .take(now);
        if !admitted {
            self.0.left_out.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    pub(crate) fn writer(&self, format: Format, lines: Lines) -> Writer {
        Writer {
            flood: self.clone(),
            format,
            lines,
        }
    }
}

impl<S: Subscriber> Filter<S> for Flood {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.admits(*event.metadata().level(), Instant::now())
    }
}

/// Writes lines, and before the first one after a gap how many were left out.
pub struct Writer {
    flood: Flood,
    format: Format,
    lines: Lines,
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line(self)
    }
}

/// Writes one line.
pub struct Line<'a>(&'a Writer);

impl Write for Line<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let Writer {
            flood,
            format,
            lines,
        } = self.0;
        let left_out = flood.0.left_out.swap(0, Ordering::Relaxed) + lines.take_dropped();
        if left_out == 0 {
            lines.put(line.to_vec());
            return Ok(line.len());
        }
        let mut whole = match format {
            Format::Text => format!("({left_out} lines left out)\n"),
            Format::Json => {
                format!("{{\"level\":\"WARN\",\"message\":\"lines left out\",\"left_out\":{left_out}}}\n")
            }
        }
        .into_bytes();
        whole.extend_from_slice(line);
        if !lines.put(whole) {
            flood.0.left_out.fetch_add(left_out, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
