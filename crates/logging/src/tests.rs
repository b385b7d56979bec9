use super::*;
use std::sync::mpsc;
use std::time::Instant;

struct Collect(mpsc::Sender<Vec<u8>>);

impl io::Write for Collect {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.0.send(part.to_vec()).map_err(io::Error::other)?;
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What is written while this runs.
fn written(format: Format, level: &str, flood: Flood, run: impl FnOnce(&Log)) -> Vec<String> {
    let (tell, told) = mpsc::channel();
    let lines = lines::start(Collect(tell), Duration::from_secs(8));
    let (subscriber, log) = build(format, Some(level.parse().unwrap()), flood, lines);
    tracing::subscriber::with_default(subscriber, || run(&log));
    drop(log);
    told.iter()
        .flat_map(|part| {
            String::from_utf8(part)
                .unwrap()
                .lines()
                .map(str::to_owned)
                .collect::<Vec<_>>()
        })
        .collect()
}

// Guards against a fault that repeats and floods the log, and against errors that a flood of lesser
// lines pushes out.
#[test]
fn a_flood_is_cut_off_and_counted_and_leaves_room_for_errors() {
    let lines = written(Format::Text, "trace", Flood::new(0.0, 5.0), |_| {
        (0..1_000).for_each(|n| tracing::debug!(n, "again"));
        tracing::error!(why = "disk", "failed");
    });
    assert_eq!(lines.len(), 7, "{lines:?}");
    assert_eq!(lines[5], "(995 lines left out)");
    assert!(
        lines[6].contains("ERROR") && lines[6].contains("failed why=\"disk\""),
        "{lines:?}"
    );
}

// Guards against a file that programs cannot read, the line about what was left out included.
#[test]
fn lines_for_programs_are_objects_with_the_fields_at_the_top() {
    let lines = written(Format::Json, "info", Flood::new(0.0, 1.0), |_| {
        tracing::info!(
            transaction = "t1",
            class = "rate-push",
            outcome = "served",
            "answered"
        );
        tracing::info!("left out");
        tracing::warn!(hop = "w \"1\"\n", "gone");
    });
    let read: Vec<serde_json::Value> = lines
        .iter()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    assert_eq!(
        (&read[0]["transaction"], &read[0]["outcome"]),
        (&"t1".into(), &"served".into())
    );
    assert_eq!(read[1]["left_out"], 1);
    assert_eq!(read[2]["hop"], "w \"1\"\n");
}

// Guards against a dispatcher that stands still because nobody reads its log.
#[test]
fn a_reader_that_stands_still_holds_nobody_up_and_the_loss_is_told() {
    let (first, rest) = (mpsc::channel::<()>(), mpsc::channel::<()>());
    struct Stuck(Option<mpsc::Sender<()>>, mpsc::Receiver<()>, Collect);
    impl io::Write for Stuck {
        fn write(&mut self, part: &[u8]) -> io::Result<usize> {
            if self.0.take().is_some() {
                let _ = self.1.recv();
            }
            self.2.write(part)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (tell, told) = mpsc::channel();
    let lines = lines::start(
        Stuck(Some(first.0), rest.1, Collect(tell)),
        Duration::from_millis(20),
    );
    let (subscriber, log) = build(Format::Text, None, Flood::new(0.0, 1e9), lines);
    tracing::subscriber::with_default(subscriber, || {
        (0..5_000).for_each(|n| tracing::info!(n, "line"));
        // Nothing has been read so far; from here on everything is.
        drop(rest.0);
        // Each line is written, or counted before the next one that is: in whatever order the
        // writer gets to run.
        let (mut written, mut lost) = (0, 0);
        let mut read = || {
            let text = String::from_utf8(told.recv().unwrap()).unwrap();
            let left_out = text
                .strip_prefix('(')
                .and_then(|rest| rest.split_once(" lines left out)\n"));
            lost += left_out.map_or(0, |(count, _)| count.parse::<usize>().unwrap());
            (!text.contains("after"), lost)
        };
        while written < 1_024 {
            written += usize::from(read().0);
        }
        tracing::info!("after");
        let lost = loop {
            match read() {
                (true, _) => written += 1,
                (false, lost) => break lost,
            }
        };
        assert_eq!(written + lost, 5_000, "{written} written");
        assert!(lost >= 3_900, "{lost}");
    });
    drop(log);
}

#[test]
fn the_level_can_be_changed_and_a_bad_one_says_what_would_be_right() {
    let lines = written(Format::Text, "warn,hop=debug", Flood::default(), |log| {
        tracing::info!("no");
        tracing::debug!(target: "hop", "yes 1");
        log.set_level("info".parse().unwrap());
        tracing::info!("yes 2");
        tracing::debug!(target: "hop", "no");
    });
    assert_eq!(lines.len(), 2, "{lines:?}");
    for bad in ["loud", "", "info,", "hop=loud", "=info"] {
        let why = bad.parse::<Level>().unwrap_err();
        assert!(
            why.contains("off, error, warn, info, debug or trace"),
            "{why}"
        );
    }
}

// Guards against a log that grows without bound, and one that starts anew with each start of the
// program.
#[cfg(feature = "files")]
#[test]
fn files_rotate_and_hold_a_bounded_number_of_bytes() {
    let folder = std::env::temp_dir().join(format!(
        "pumiceway-log-{}-{:?}",
        std::process::id(),
        Instant::now()
    ));
    let files = Files {
        path: folder.join("in/a.log"),
        bytes: 1_000,
        older: 2,
    };
    for _ in 0..2 {
        let (subscriber, log) = build(
            Format::Text,
            None,
            Flood::new(0.0, 1e9),
            open(&Sink::Files(files.clone())).unwrap(),
        );
        tracing::subscriber::with_default(subscriber, || {
            (0..100).for_each(|n| tracing::info!(n, "a line of some length"));
        });
        drop(log);
    }
    let sizes: Vec<u64> = std::fs::read_dir(folder.join("in"))
        .unwrap()
        .map(|f| f.unwrap().metadata().unwrap().len())
        .collect();
    assert_eq!(sizes.len(), 3);
    assert!(sizes.iter().all(|&size| size < 1_200), "{sizes:?}");
    let blocked = Files {
        path: folder.join("in/a.log/b.log"),
        ..files
    };
    let why = open(&Sink::Files(blocked)).err().unwrap().to_string();
    assert!(
        why.contains("b.log") && why.contains("can't be written"),
        "{why}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
