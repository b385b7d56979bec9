//! The commands of the console.

use super::error::UnknownCommand;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

const DEFAULT_WATCH_INTERVAL: Duration = Duration::from_secs(2);
const WATCH_INTERVAL_SECONDS: RangeInclusive<u64> = 1..=3_600;

/// A command of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Sends an admin command whose response is a table.
    Table {
        name: &'static str,
        /// The names of the columns, which the response does not include.
        header: &'static [&'static str],
    },
    /// Sends an admin command whose response is one line.
    Line {
        name: &'static str,
    },
    /// Repeats `status` and `routes` at this interval.
    Watch {
        interval: Duration,
    },
    Help,
    Quit,
    /// Does nothing; an empty line.
    Empty,
}

impl Command {
    pub const STATUS: Command = Command::Table {
        name: "status",
        header: &["function", "jobs", "running", "workers"],
    };
    pub const WORKERS: Command = Command::Table {
        name: "workers",
        header: &["session"],
    };
    pub const ROUTES: Command = Command::Table {
        name: "routes",
        header: &["endpoint", "state", "zone"],
    };
    pub const KEPT: Command = Command::Line { name: "kept" };
    pub const VERSION: Command = Command::Line { name: "version" };

    fn watch(seconds: &str) -> Option<Command> {
        let seconds = seconds.parse().ok()?;
        let is_allowed = WATCH_INTERVAL_SECONDS.contains(&seconds);
        is_allowed.then_some(Command::Watch {
            interval: Duration::from_secs(seconds),
        })
    }
}

impl FromStr for Command {
    type Err = UnknownCommand;

    fn from_str(text: &str) -> Result<Command, UnknownCommand> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let command = match words[..] {
            [] => Some(Command::Empty),
            ["status"] => Some(Command::STATUS),
            ["workers"] => Some(Command::WORKERS),
            ["routes"] => Some(Command::ROUTES),
            ["kept"] => Some(Command::KEPT),
            ["version"] => Some(Command::VERSION),
            ["watch"] => Some(Command::Watch {
                interval: DEFAULT_WATCH_INTERVAL,
            }),
            ["watch", seconds] => Command::watch(seconds),
            ["help" | "?"] => Some(Command::Help),
            ["quit" | "exit"] => Some(Command::Quit),
            _ => None,
        };
        command.ok_or_else(|| UnknownCommand(text.to_owned()))
    }
}
