//! Tests of the bounds, the formats and the filter of the log.

use super::*;
use crate::non_blocking::NonBlocking;
use std::sync::mpsc;
use std::time::Duration;
#[cfg(feature = "files")]
use std::time::Instant;

/// An output that sends everything that is written to a channel.
struct ChannelWriter(mpsc::Sender<Vec<u8>>);

impl io::Write for ChannelWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Builds a subscriber and a log that write to this output.
fn build_log(
    format: Format,
    filter: LogFilter,
    rate_limit: RateLimit,
    (output, guard): (NonBlocking, WorkerGuard),
) -> (impl Subscriber + Send + Sync, Log) {
    let writer = MakeLineWriter {
        format,
        rate_limit,
        output,
    };
    build(writer, filter, guard)
}

/// Returns the lines that are logged by `run`.
fn lines_written(
    format: Format,
    filter: &str,
    rate_limit: RateLimit,
    run: impl FnOnce(&Log),
) -> Vec<String> {
    let (sender, received) = mpsc::channel();
    let output = NonBlocking::start(ChannelWriter(sender), Duration::from_secs(8));
    let (subscriber, log) = build_log(format, filter.parse().unwrap(), rate_limit, output);
    tracing::subscriber::with_default(subscriber, || run(&log));
    drop(log);
    received
        .iter()
        .flat_map(|bytes| {
            String::from_utf8(bytes)
                .unwrap()
                .lines()
                .map(str::to_owned)
                .collect::<Vec<_>>()
        })
        .collect()
}

#[test]
fn the_rate_limit_counts_dropped_lines_and_still_admits_errors() {
    let lines = lines_written(Format::Text, "trace", RateLimit::new(0.0, 5.0), |_| {
        (0..1_000).for_each(|n| tracing::debug!(n, "again"));
        tracing::error!(reason = "disk", "failed");
    });
    assert_eq!(lines.len(), 7, "{lines:?}");
    assert_eq!(lines[5], "(995 log lines dropped)");
    assert!(
        lines[6].contains("ERROR") && lines[6].contains("failed reason=\"disk\""),
        "{lines:?}"
    );
}

#[test]
fn json_lines_and_the_notice_of_dropped_lines_are_objects_with_the_fields_at_the_top_level() {
    let lines = lines_written(Format::Json, "info", RateLimit::new(0.0, 1.0), |_| {
        tracing::info!(
            request_id = "t1",
            class = "rate-push",
            outcome = "served",
            "answered"
        );
        tracing::info!("dropped");
        tracing::warn!(endpoint = "w \"1\"\n", "gone");
    });
    let objects: Vec<serde_json::Value> = lines
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(
        (&objects[0]["request_id"], &objects[0]["outcome"]),
        (&"t1".into(), &"served".into())
    );
    assert_eq!(objects[1]["dropped"], 1);
    assert_eq!(objects[2]["endpoint"], "w \"1\"\n");
}

/// An output whose first write blocks until the test unblocks it.
struct StalledWriter {
    is_stalled: bool,
    unblocked: mpsc::Receiver<()>,
    output: ChannelWriter,
}

impl io::Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.is_stalled) {
            let _ = self.unblocked.recv();
        }
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Counts the lines that the output received, and those that notices report as dropped.
#[derive(Default)]
struct Received {
    written: usize,
    dropped: usize,
    last_text: String,
}

impl Received {
    fn receive(&mut self, output: &mpsc::Receiver<Vec<u8>>) {
        let text = String::from_utf8(output.recv().unwrap()).unwrap();
        let notice = text
            .strip_prefix('(')
            .and_then(|rest| rest.split_once(" log lines dropped)\n"));
        self.dropped += notice.map_or(0, |(count, _)| count.parse::<usize>().unwrap());
        self.last_text = text;
        self.written += usize::from(!self.is_last_line());
    }

    fn is_last_line(&self) -> bool {
        self.last_text.contains("after")
    }
}

#[test]
fn stalled_output_does_not_block_and_dropped_lines_are_reported() {
    let (unblock, unblocked) = mpsc::channel::<()>();
    let (sender, received) = mpsc::channel();
    let stalled = StalledWriter {
        is_stalled: true,
        unblocked,
        output: ChannelWriter(sender),
    };
    let output = NonBlocking::start(stalled, Duration::from_millis(20));
    let unlimited = RateLimit::new(0.0, 1e9);
    let (subscriber, log) = build_log(Format::Text, LogFilter::default(), unlimited, output);
    tracing::subscriber::with_default(subscriber, || {
        (0..5_000).for_each(|n| tracing::info!(n, "line"));
        // No line has been written so far. From here on, the output accepts all lines.
        drop(unblock);
        // Whenever the writing thread runs, each line is either written, or counted in a notice
        // before the next line that is written.
        let mut counts = Received::default();
        while counts.written < 1_024 {
            counts.receive(&received);
        }
        tracing::info!("after");
        while !counts.is_last_line() {
            counts.receive(&received);
        }
        let Received {
            written, dropped, ..
        } = counts;
        assert_eq!(written + dropped, 5_000, "{written} written");
        assert!(dropped >= 3_900, "{dropped}");
    });
    drop(log);
}

// Regression test for issue 53: 1,024 lines could be queued, however long each was.
#[test]
fn queued_lines_are_limited_in_bytes_while_the_output_is_stalled() {
    let (unblock, unblocked) = mpsc::channel::<()>();
    let (sender, received) = mpsc::channel();
    let stalled = StalledWriter {
        is_stalled: true,
        unblocked,
        output: ChannelWriter(sender),
    };
    let output = NonBlocking::start(stalled, Duration::from_secs(8));
    let unlimited = RateLimit::new(0.0, 1e9);
    let (subscriber, log) = build_log(Format::Text, LogFilter::default(), unlimited, output);
    let reason = "x".repeat(400_000);
    tracing::subscriber::with_default(subscriber, || {
        (0..1_000).for_each(|_| tracing::info!(reason, "long line"));
    });
    drop(unblock);
    drop(log);
    let queued: usize = received.iter().map(|bytes| bytes.len()).sum();
    assert!((100_000..=300_000).contains(&queued), "{queued}");
}

#[test]
fn a_line_that_is_too_long_is_shortened_and_stays_valid() {
    let reason = "\u{e9}".repeat(100_000);
    for format in [Format::Text, Format::Json] {
        let lines = lines_written(format, "info", RateLimit::default(), |_| {
            tracing::info!(reason, "long line");
            tracing::info!("short line");
        });
        assert_eq!(lines.len(), 2, "{lines:?}");
        assert!(lines[0].len() < 5_000);
        assert!(lines[1].contains("short line"));
        if format == Format::Json {
            let notice: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
            assert!(notice["bytes"].as_u64() > Some(200_000));
        }
    }
}

#[test]
fn the_filter_can_be_replaced_and_an_error_names_the_levels() {
    let lines = lines_written(
        Format::Text,
        "warn,upstream=debug",
        RateLimit::default(),
        |log| {
            tracing::info!("no");
            tracing::debug!(target: "upstream", "yes 1");
            log.set_filter("info".parse().unwrap());
            tracing::info!("yes 2");
            tracing::debug!(target: "upstream", "no");
        },
    );
    assert_eq!(lines.len(), 2, "{lines:?}");
    for invalid in ["loud", "", "info,", "upstream=loud", "=info"] {
        let error = invalid.parse::<LogFilter>().unwrap_err().to_string();
        assert!(
            error.contains("off, error, warn, info, debug or trace"),
            "{error}"
        );
    }
}

#[cfg(feature = "files")]
#[test]
fn files_rotate_and_have_a_bounded_total_size_across_restarts() {
    let directory = std::env::temp_dir().join(format!(
        "pumiceway-log-{}-{:?}",
        std::process::id(),
        Instant::now()
    ));
    let files = LogFiles {
        path: directory.join("in/a.log"),
        max_file_size: 1_000,
        max_older_files: 2,
    };
    for _ in 0..2 {
        let (subscriber, log) = build_log(
            Format::Text,
            LogFilter::default(),
            RateLimit::new(0.0, 1e9),
            Sink::Files(files.clone()).open().unwrap(),
        );
        tracing::subscriber::with_default(subscriber, || {
            (0..100).for_each(|n| tracing::info!(n, "a line of some length"));
        });
        drop(log);
    }
    let sizes: Vec<u64> = std::fs::read_dir(directory.join("in"))
        .unwrap()
        .map(|file| file.unwrap().metadata().unwrap().len())
        .collect();
    assert_eq!(sizes.len(), 3);
    assert!(sizes.iter().all(|&size| size < 1_200), "{sizes:?}");
    let blocked = LogFiles {
        path: directory.join("in/a.log/b.log"),
        ..files
    };
    let error = Sink::Files(blocked).open().err().unwrap().to_string();
    assert!(
        error.contains("b.log") && error.contains("cannot write the log"),
        "{error}"
    );
    std::fs::remove_dir_all(directory).unwrap();
}
