//! The console, which shows the state of a running dispatcher through the admin commands of its
//! Gearman frontend.

mod command;
mod connection;
mod error;
mod table;
#[cfg(test)]
mod tests;

pub use error::ConsoleError;

use command::Command;
use connection::AdminConnection;
use std::io::{self, BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::time::Duration;

const HELP: &str = "status     jobs and workers of each function
workers    sessions of Gearman workers
routes     the endpoint list
kept       responses in the idempotency cache
version    the dispatcher's version
watch [S]  status and routes every S seconds (2), until interrupted
quit       leave the console
";

/// The control sequences that clear the terminal and move the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Runs the given command, or reads commands from standard input until it ends.
pub fn run(address: SocketAddr, command: Option<&str>) -> Result<(), ConsoleError> {
    let mut console = Console {
        connection: AdminConnection::open(address)?,
        output: io::stdout().lock(),
    };
    match command {
        Some(text) => {
            let command = text.parse()?;
            console.execute(command)?;
            Ok(())
        }
        None => console.read_commands(address),
    }
}

/// Whether the console reads further commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Continue,
    Quit,
}

/// The state of the console. Output that cannot be written is ignored, since there is no other
/// place to report the error.
struct Console<W> {
    connection: AdminConnection,
    output: W,
}

impl<W: Write> Console<W> {
    fn read_commands(&mut self, address: SocketAddr) -> Result<(), ConsoleError> {
        let is_interactive = io::stdin().is_terminal();
        let mut input = io::stdin().lock();
        if is_interactive {
            let greeting = format!("pumiceway console at {address}; help lists the commands");
            let _ = writeln!(self.output, "{greeting}");
        }
        let mut line = String::new();
        loop {
            if is_interactive {
                let _ = write!(self.output, "> ").and_then(|()| self.output.flush());
            }
            line.clear();
            if input.read_line(&mut line).map_err(ConsoleError::Input)? == 0 {
                return Ok(());
            }
            let next = match line.trim().parse() {
                Ok(command) => self.execute(command)?,
                Err(unknown) => {
                    let _ = writeln!(self.output, "{unknown}");
                    Next::Continue
                }
            };
            if next == Next::Quit {
                return Ok(());
            }
        }
    }

    fn execute(&mut self, command: Command) -> Result<Next, ConsoleError> {
        match command {
            Command::Table { name, header } => self.show_table(name, header)?,
            Command::Line { name } => self.show_line(name)?,
            Command::Watch { interval } => return self.watch(interval),
            Command::Help => drop(write!(self.output, "{HELP}")),
            Command::Quit => return Ok(Next::Quit),
            Command::Empty => {}
        }
        Ok(Next::Continue)
    }

    fn show_table(&mut self, name: &str, header: &[&str]) -> Result<(), ConsoleError> {
        let mut rows = vec![header.iter().map(|&cell| cell.to_owned()).collect()];
        rows.extend(self.connection.request_table(name)?);
        let _ = write!(self.output, "{}", table::format(&rows));
        Ok(())
    }

    fn show_line(&mut self, name: &str) -> Result<(), ConsoleError> {
        let line = self.connection.request_line(name)?;
        let _ = writeln!(self.output, "{}", line.strip_prefix("OK ").unwrap_or(&line));
        Ok(())
    }

    /// Repeats `status` and `routes` until the output is closed.
    fn watch(&mut self, interval: Duration) -> Result<Next, ConsoleError> {
        loop {
            let _ = write!(self.output, "{CLEAR_SCREEN}");
            for command in [Command::STATUS, Command::ROUTES] {
                self.execute(command)?;
                let _ = writeln!(self.output);
            }
            if self.output.flush().is_err() {
                return Ok(Next::Quit);
            }
            std::thread::sleep(interval);
        }
    }
}
