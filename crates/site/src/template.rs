//! The site file that `init` writes: every key, with what it does.

use std::fmt::Write as _;
use std::net::SocketAddr;

/// What a new site answers.
#[derive(Clone, Debug)]
pub struct Answers {
    /// The site's name.
    pub name: String,
    /// Where HTTP clients connect.
    pub http: SocketAddr,
    /// Where Gearman clients and workers connect.
    pub gearman: Option<SocketAddr>,
    /// The classes of jobs.
    pub classes: Vec<ClassAnswer>,
}

/// One class of jobs.
#[derive(Clone, Debug)]
pub struct ClassAnswer {
    /// Its name, which Gearman functions share.
    pub name: String,
    /// Running a job twice does harm.
    pub once: bool,
}

impl Default for Answers {
    fn default() -> Answers {
        Answers {
            name: "pumiceway".to_owned(),
            http: SocketAddr::from(([127, 0, 0, 1], 3000)),
            gearman: Some(SocketAddr::from(([127, 0, 0, 1], 4730))),
            classes: vec![
                ClassAnswer {
                    name: "rate-push".to_owned(),
                    once: false,
                },
                ClassAnswer {
                    name: "booking-import".to_owned(),
                    once: true,
                },
            ],
        }
    }
}

/// The text of a site file with these answers.
pub fn template(answers: &Answers) -> String {
    let Answers {
        name,
        http,
        gearman,
        classes,
    } = answers;
    let quoted = |text: &str| toml::Value::from(text).to_string();
    let gearman = match gearman {
        Some(address) => format!("gearman = \"{address}\""),
        None => "# gearman = \"127.0.0.1:4730\"".to_owned(),
    };
    let mut text = format!(
        r#"# A site of pumiceway. `pumiceway check-config --site FILE` says what is wrong with it, key and line.
# What stands behind a '#' is the default.

name = {}

# Where clients connect; Gearman workers come to the same address as Gearman clients. 127.0.0.1 is this machine only.
[listen]
http = "{http}"
{gearman}
"#,
        quoted(name)
    );
    for ClassAnswer { name, once } in classes {
        let name = quoted(name);
        let (repeat, wanted, deadline, worth, says) = match once {
            true => (
                "never",
                "1500 ms",
                "20 s",
                3,
                "A job that may have run is never run again: it is answered failed.",
            ),
            false => (
                "safe",
                "500 ms",
                "10 s",
                2,
                "A job may run again when a worker drops out.",
            ),
        };
        let _ = write!(
            text,
            r#"
# {says}
[classes.{name}]
repeat = "{repeat}"
# An answer is wanted within this time, and no use after the deadline.
wanted = "{wanted}"
deadline = "{deadline}"
# A job waits for a worker for at most this long; by default until its deadline makes no sense any more.
# wait = "{deadline}"
# Beside other classes: where room is short, the least worth is answered busy first.
worth = {worth}
"#
        );
    }
    text.push_str(
        r#"
# Gearman functions that stand for a class under another name. Without any, each class is a function of its own name.
# [functions.push-rates]
# class = "rate-push"
# slots = 1

# Workers that are called over HTTP. Gearman workers need no line here: they connect by themselves.
# [workers.first]
# address = "127.0.0.1:8080"

[limits]
# connections = 64      # of Gearman clients and workers together
# jobs = 256            # of Gearman clients that may run or wait at once
# waiting = 256         # jobs of all clients that may wait for a worker; the least worth gives way to one more
# tries = 6             # for a job that may be repeated, or that provably never ran
# sockets = 1024        # file descriptors that the program may use
# memory = "192 MiB"    # half of it bounds what connections of clients may hold

# A job handed in again with the same identity gets the answer that is kept. Nothing is forgotten early.
[keep]
# time = "10 min"
# answers = 10000
# bytes = "16 MiB"
"#,
    );
    text
}
