//! The site file that `init` writes, with comments that explain its keys.
//!
//! Keys that have a default are commented out, with the default as their value.

use std::net::SocketAddr;

/// The answers to the questions that `init` asks.
#[derive(Clone, Debug)]
pub struct Answers {
    /// The name of the site.
    pub name: String,
    /// The address of the HTTP frontend.
    pub http: SocketAddr,
    /// The address of the Gearman frontend, if there is one.
    pub gearman: Option<SocketAddr>,
    /// The classes of jobs.
    pub classes: Vec<ClassAnswer>,
}

/// One class of jobs.
#[derive(Clone, Debug)]
pub struct ClassAnswer {
    /// The name of the class, and of its Gearman function.
    pub name: String,
    /// Whether a job of the class may run again.
    pub idempotent: bool,
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
                    idempotent: true,
                },
                ClassAnswer {
                    name: "booking-import".to_owned(),
                    idempotent: false,
                },
            ],
        }
    }
}

/// The text of a site file with these answers.
pub fn template(answers: &Answers) -> String {
    let mut text = header(answers);
    for class in &answers.classes {
        text.push_str(&class_section(class));
    }
    text.push_str(OPTIONAL_SECTIONS);
    text
}

fn header(answers: &Answers) -> String {
    let name = quoted(&answers.name);
    let http = answers.http;
    let gearman = match answers.gearman {
        Some(address) => format!("gearman = \"{address}\""),
        None => "# gearman = \"127.0.0.1:4730\"".to_owned(),
    };
    format!(
        r#"# A site of pumiceway. `pumiceway check-config --site FILE` says what is wrong with it, key and line.
# What stands behind a '#' is the default.

name = {name}

# Where clients connect; Gearman workers come to the same address as Gearman clients. 127.0.0.1 is this machine only.
[listen]
http = "{http}"
{gearman}
"#
    )
}

/// The values of a class that depend on whether its jobs may run again.
struct ClassDefaults {
    comment: &'static str,
    repeat: &'static str,
    wanted: &'static str,
    deadline: &'static str,
    worth: u32,
}

const IDEMPOTENT: ClassDefaults = ClassDefaults {
    comment: "A job may run again when a worker drops out.",
    repeat: "safe",
    wanted: "500 ms",
    deadline: "10 s",
    worth: 2,
};

const NON_IDEMPOTENT: ClassDefaults = ClassDefaults {
    comment: "A job that may have run is never run again: it is answered failed.",
    repeat: "never",
    wanted: "1500 ms",
    deadline: "20 s",
    worth: 3,
};

fn class_section(class: &ClassAnswer) -> String {
    let name = quoted(&class.name);
    let ClassDefaults {
        comment,
        repeat,
        wanted,
        deadline,
        worth,
    } = if class.idempotent {
        IDEMPOTENT
    } else {
        NON_IDEMPOTENT
    };
    format!(
        r#"
# {comment}
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
    )
}

/// The text as a quoted TOML string.
fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

const OPTIONAL_SECTIONS: &str = r#"
# Gearman functions that stand for a class under another name. Without any, each class is a function of its own name. Several
# may stand for one class; HTTP requests are then jobs of the function with the name of the class.
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
# memory = "192 MiB"    # the process stays within four fifths of it

# A job handed in again with the same identity gets the answer that is kept. Nothing is forgotten early.
[keep]
# time = "10 min"
# answers = 10000
# bytes = "16 MiB"
"#;
