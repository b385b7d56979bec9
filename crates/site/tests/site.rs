//! The site file: what its defaults are, and what is said of one that can't be used.

use pumiceway_decisions::settings::RepeatSemantics;
use pumiceway_site::{Answers, read, template};
use std::time::Duration;

const GOOD: &str = r#"name = "inn"

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
fn a_site_file_says_all_that_the_dispatcher_is_told() {
    let config = read(GOOD, "site.toml").unwrap();
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
    // A class waits until its deadline unless the file says otherwise.
    assert_eq!(
        (push.max_queue_time_us, push.objective_stretch),
        (Some(10_000_000), Some(2.5))
    );
    let known = config.bootstrap_list.unwrap();
    assert_eq!(
        (&*known.endpoints[0].name, &*known.endpoints[0].address),
        ("w1", "127.0.0.1:8080")
    );
    let gearman = config.gearman.unwrap();
    assert_eq!(
        (
            gearman.connections,
            gearman.retention.time,
            gearman.retention.bytes
        ),
        (32, Duration::from_secs(3_600), 1 << 20)
    );
    assert_eq!(gearman.functions["push"].class.0, 1);
}

// Guards against an error that does not say where it is or what would be right, and against a bad
// value that passes.
#[test]
fn every_error_names_file_line_key_and_what_would_be_right() {
    for (good, bad, line, key, right) in [
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
            "its deadline",
        ),
        (
            "class = \"rate-push\"",
            "class = \"rates\"",
            Some(21),
            "functions.push.class",
            "there is booking-import, rate-push",
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
        let text = GOOD.replacen(good, bad, 1);
        assert_ne!(text, GOOD, "{good}");
        let e = read(&text, "site.toml")
            .err()
            .unwrap_or_else(|| panic!("{bad:?} passes"));
        let said = e.to_string();
        assert_eq!((e.line, &*e.key), (line, key), "{bad}: {said}");
        assert!(
            e.why.contains(right) && !said.contains('\n') && said.starts_with("site.toml"),
            "{bad}: {said}"
        );
    }
    let none = read("[listen]\nhttp = \"127.0.0.1:0\"\n", "site.toml").unwrap_err();
    assert!(
        none.key == "classes" && none.why.contains("at least one"),
        "{none}"
    );
}

// Guards against a file that `init` writes and nobody can read, and defaults in its comments that
// are not so.
#[test]
fn what_init_writes_is_good_and_its_comments_tell_the_defaults() {
    let text = template(&Answers::default());
    let plain = read(&text, "site.toml").unwrap();
    let spelt: String = text
        .lines()
        .map(|l| {
            match l
                .strip_prefix("# ")
                .filter(|l| l.contains(" = ") && !l.contains("class") && !l.contains("slots"))
            {
                Some(default) if !default.starts_with("address") => format!("{default}\n"),
                _ => format!("{l}\n"),
            }
        })
        .collect();
    assert!(
        spelt.contains("\nwaiting = 256") && spelt.contains("\nwait = \"20 s\""),
        "{spelt}"
    );
    let spelt = read(&spelt, "site.toml").unwrap();
    assert_eq!(spelt.gearman, plain.gearman);
    assert_eq!(spelt.sockets, plain.sockets);
    assert_eq!(spelt.settings, plain.settings);
}
