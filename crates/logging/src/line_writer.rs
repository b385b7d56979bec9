//! The writer of the `tracing` layer, which queues each line for the writing thread.
//!
//! If lines were dropped since the last one that was written, a notice with their number precedes
//! the line. A line that is too long is shortened, or replaced by a notice with its length where a part
//! of it could not be parsed.

use crate::Format;
use crate::non_blocking::NonBlocking;
use crate::rate_limit::RateLimit;
use std::io::{self, Write};
use tracing_subscriber::fmt::MakeWriter;

/// The length limit of a line.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Makes a [`LineWriter`] for each line.
pub(crate) struct MakeLineWriter {
    pub(crate) format: Format,
    pub(crate) rate_limit: RateLimit,
    pub(crate) output: NonBlocking,
}

impl<'a> MakeWriter<'a> for MakeLineWriter {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        LineWriter(self)
    }
}

/// Writes one line. The layer passes it in a single call to `write`.
pub(crate) struct LineWriter<'a>(&'a MakeLineWriter);

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let MakeLineWriter {
            format,
            rate_limit,
            output,
        } = self.0;
        let dropped = rate_limit.take_dropped() + output.take_dropped();
        if dropped == 0 {
            output.send(limited(*format, line));
            return Ok(line.len());
        }
        let mut lines = dropped_notice(*format, dropped).into_bytes();
        lines.extend(limited(*format, line));
        if !output.send(lines) {
            // The notice was dropped as well, so its number is added to that of the next one.
            rate_limit.add_dropped(dropped);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The line, shortened if it is too long.
fn limited(format: Format, line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let length = line.len();
    match format {
        Format::Text => {
            let start = String::from_utf8_lossy(&line[..MAX_LINE_BYTES]);
            format!("{start}... ({length} bytes)\n").into_bytes()
        }
        Format::Json => {
            format!("{{\"level\":\"WARN\",\"message\":\"log line too long\",\"bytes\":{length}}}\n")
                .into_bytes()
        }
    }
}

/// The notice that lines were dropped.
fn dropped_notice(format: Format, dropped: u64) -> String {
    match format {
        Format::Text => format!("({dropped} log lines dropped)\n"),
        Format::Json => format!(
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
        ),
    }
}
