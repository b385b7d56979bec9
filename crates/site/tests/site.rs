//! The site file: its values, its defaults, and the errors of invalid files.

use pumiceway_decisions::settings::RepeatSemantics;
use pumiceway_site::{Answers, read, template};
use std::time::Duration;

const VALID: &str = r#"name = "inn"

[listen]
http = "127.0.0.1:0"
gearman = "127.0.0.1:0"

[classes.rate-push]
repeat = "safe"
wanted = "500 ms"
deadline = "10 s"
stretch = 2.5
worth = 2

[classes.booking-import]
repeat = "never"
wanted = "1500 ms"
deadline = "20 s"
wait = "5 s"

[functions.push]
class = "rate-push"

[workers.w1]
address = "127.0.0.1:8080"

[limits]
sockets = 1024
connections = 32

[keep]
time = "1 h"
bytes = "1 MiB"
"#;

#[test]
fn a_site_file_configures_the_dispatcher() {
    let config = read(VALID, "site.toml").unwrap();
    let [import, push] = &config.deployment.classes[..] else {
        panic!("two classes")
    };
    assert!(matches!(
        (import.repeats, push.repeats),
        (RepeatSemantics::NonIdempotent, RepeatSemantics::Idempotent)
    ));
    assert_eq!(
        (
            import.latency_objective_us,
            import.deadline_us,
            import.max_queue_time_us
        ),
        (1_500_000, 20_000_000, Some(5_000_000))
    );
    // The longest time in the queue is the deadline, unless `wait` is set.
    assert_eq!(
        (push.max_queue_time_us, push.objective_stretch),
        (Some(10_000_000), Some(2.5))
    );
    let list = config.bootstrap_list.unwrap();
    assert_eq!(
        (&*list.endpoints[0].name, &*list.endpoints[0].address),
        ("w1", "127.0.0.1:8080")
    );
    let gearman = config.gearman.unwrap();
    assert_eq!(
        (
            gearman.connections,
            gearman.cache_limits.retention,
            gearman.cache_limits.max_bytes
        ),
        (32, Duration::from_secs(3_600), 1 << 20)
    );
    assert_eq!(gearman.functions["push"].class.0, 1);
}

#[test]
#[allow(clippy::too_many_lines)] // a table of errors
fn every_error_names_file_line_key_and_the_valid_values() {
    for (valid, invalid, line, key, expected) in [
        (
            "name = \"inn\"",
            "nome = \"inn\"",
            Some(1),
            "nome",
            "expected one of `name`",
        ),
        (
            "http = \"127.0.0.1:0\"",
            "http = \"here\"",
            Some(4),
            "listen.http",
            "such as \"127.0.0.1:3000\"",
        ),
        (
            "http = \"127.0.0.1:0\"\n",
            "",
            Some(3),
            "listen",
            "missing field `http`",
        ),
        (
            "repeat = \"safe\"",
            "repeat = \"maybe\"",
            Some(8),
            "classes.rate-push.repeat",
            "`safe` or `never`",
        ),
        (
            "repeat = \"safe\"\n",
            "",
            Some(7),
            "classes.rate-push",
            "missing field `repeat`",
        ),
        (
            "wanted = \"500 ms\"",
            "wanted = 500",
            Some(9),
            "classes.rate-push.wanted",
            "\"500 ms\", \"20 s\"",
        ),
        (
            "wanted = \"500 ms\"",
            "wanted = \"500\"",
            Some(9),
            "classes.rate-push.wanted",
            "\"500 ms\", \"20 s\"",
        ),
        (
            "wanted = \"500 ms\"",
            "wanted = \"11 s\"",
            Some(9),
            "classes.rate-push.wanted",
            "no longer than the deadline",
        ),
        (
            "deadline = \"10 s\"",
            "deadline = \"2 days\"",
            Some(10),
            "classes.rate-push.deadline",
            "between 100 ms and 1 h",
        ),
        (
            "stretch = 2.5",
            "stretch = nan",
            Some(11),
            "classes.rate-push.stretch",
            "between 0 and 1000",
        ),
        (
            "worth = 2",
            "worth = -1",
            Some(12),
            "classes.rate-push.worth",
            "more than 0",
        ),
        (
            "wait = \"5 s\"",
            "wait = \"21 s\"",
            Some(18),
            "classes.booking-import.wait",
            "no longer than the deadline",
        ),
        (
            "class = \"rate-push\"",
            "class = \"rates\"",
            Some(21),
            "functions.push.class",
            "the classes are booking-import, rate-push",
        ),
        (
            "address = \"127.0.0.1:8080\"",
            "address = \"w1\"",
            Some(24),
            "workers.w1.address",
            "such as",
        ),
        (
            "sockets = 1024",
            "sockets = 64",
            Some(27),
            "limits.sockets",
            "between 128 and",
        ),
        (
            "connections = 32",
            "connections = 900",
            Some(28),
            "limits.connections",
            "at most",
        ),
        (
            "bytes = \"1 MiB\"",
            "bytes = \"1\"",
            Some(32),
            "keep.bytes",
            "\"64 KiB\"",
        ),
        ("[keep]", "[keep", Some(30), "", ""),
        (
            "[classes.rate-push]",
            "[classes.\"a/b\"]",
            Some(7),
            "classes.a/b",
            "letters",
        ),
    ] {
        let text = VALID.replacen(valid, invalid, 1);
        assert_ne!(text, VALID, "{valid}");
        let error = read(&text, "site.toml")
            .err()
            .unwrap_or_else(|| panic!("{invalid:?} is accepted"));
        let message = error.to_string();
        assert_eq!(
            (error.line, &*error.key),
            (line, key),
            "{invalid}: {message}"
        );
        assert!(
            error.reason.contains(expected)
                && !message.contains('\n')
                && message.starts_with("site.toml"),
            "{invalid}: {message}"
        );
    }
    let without_classes = read("[listen]\nhttp = \"127.0.0.1:0\"\n", "site.toml").unwrap_err();
    assert!(
        without_classes.key == "classes" && without_classes.reason.contains("at least one"),
        "{without_classes}"
    );
}

/// The text of a template with its commented defaults as values.
fn uncomment_defaults(text: &str) -> String {
    let is_default = |line: &&str| {
        line.contains(" = ")
            && !line.contains("class")
            && !line.contains("slots")
            && !line.starts_with("address")
    };
    text.lines()
        .map(|line| line.strip_prefix("# ").filter(is_default).unwrap_or(line))
        .map(|line| format!("{line}\n"))
        .collect()
}

#[test]
fn the_template_is_valid_and_its_comments_state_the_defaults() {
    let text = template(&Answers::default());
    let defaults = read(&text, "site.toml").unwrap();
    let uncommented = uncomment_defaults(&text);
    assert!(
        uncommented.contains("\nwaiting = 256") && uncommented.contains("\nwait = \"20 s\""),
        "{uncommented}"
    );
    let explicit = read(&uncommented, "site.toml").unwrap();
    assert_eq!(explicit.gearman, defaults.gearman);
    assert_eq!(explicit.socket_budget, defaults.socket_budget);
    assert_eq!(explicit.settings, defaults.settings);
}
