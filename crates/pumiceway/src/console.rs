//! The terminal console: looks at a running dispatcher through the text commands of its Gearman
//! front.

use std::io::{self, BufRead, BufReader, IsTerminal, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
const HELP: &str = "status     jobs and workers of each function
workers    sessions of Gearman workers
routes     the route set
kept       answers kept for clients that come again
version    the dispatcher's version
watch [S]  status and routes every S seconds (2), until interrupted
quit       leave the console
";

/// A command that the console knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    /// Sent as it is; the answer is a table that ends with a dot.
    Table(&'static str, &'static [&'static str]),
    /// Sent as it is; the answer is one line.
    Line(&'static str),
    Watch(u64),
    Help,
    Quit,
    Nothing,
}

fn command(text: &str) -> Option<Command> {
    let mut words = text.split_whitespace();
    Some(match (words.next(), words.next(), words.next()) {
        (None, ..) => Command::Nothing,
        (Some("status"), None, _) => {
            Command::Table("status", &["function", "jobs", "running", "workers"])
        }
        (Some("workers"), None, _) => Command::Table("workers", &["session"]),
        (Some("routes"), None, _) => Command::Table("routes", &["next hop", "state", "zone"]),
        (Some("kept"), None, _) => Command::Line("kept"),
        (Some("version"), None, _) => Command::Line("version"),
        (Some("watch"), None, _) => Command::Watch(2),
        (Some("watch"), Some(s), None) => {
            Command::Watch(s.parse().ok().filter(|s| (1..=3600).contains(s))?)
        }
        (Some("help" | "?"), None, _) => Command::Help,
        (Some("quit" | "exit"), None, _) => Command::Quit,
        _ => return None,
    })
}

/// Runs one command, or reads commands until the input ends.
pub fn run(address: SocketAddr, once: Option<&str>) -> Result<(), String> {
    let mut out = io::stdout().lock();
    let mut dispatcher = Dispatcher::connect(address)?;
    if let Some(text) = once {
        let known = command(text).ok_or_else(|| format!("no command {text:?}; try help"))?;
        return dispatcher.carry_out(known, &mut out).map(drop);
    }
    let typed = io::stdin().is_terminal();
    let mut input = io::stdin().lock();
    if typed {
        let _ = writeln!(
            out,
            "pumiceway console at {address}; help lists the commands"
        );
    }
    let mut text = String::new();
    loop {
        if typed {
            let _ = write!(out, "> ").and_then(|()| out.flush());
        }
        text.clear();
        if input.read_line(&mut text).map_err(|e| e.to_string())? == 0 {
            return Ok(());
        }
        match command(&text) {
            Some(known) if !dispatcher.carry_out(known, &mut out)? => return Ok(()),
            Some(_) => {}
            None => drop(writeln!(out, "no command {:?}; try help", text.trim())),
        }
    }
}

struct Dispatcher(BufReader<TcpStream>);

impl Dispatcher {
    fn connect(address: SocketAddr) -> Result<Dispatcher, String> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE)
            .and_then(|stream| stream.set_read_timeout(Some(PATIENCE)).map(|()| stream))
            .map_err(|e| format!("no dispatcher at {address}: {e}"))?;
        Ok(Dispatcher(BufReader::new(stream)))
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => Err("the dispatcher closed the connection".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(e) => Err(format!("no answer: {e}")),
        }
    }

    fn say(&mut self, word: &str) -> Result<(), String> {
        self.0
            .get_mut()
            .write_all(format!("{word}\n").as_bytes())
            .map_err(|e| format!("not sent: {e}"))
    }

    /// Whether the console goes on after it.
    fn carry_out(&mut self, command: Command, out: &mut impl Write) -> Result<bool, String> {
        match command {
            Command::Table(word, head) => {
                self.say(word)?;
                let mut rows = vec![head.iter().map(|h| (*h).to_owned()).collect()];
                loop {
                    match self.line()?.as_str() {
                        "." => break,
                        row => rows.push(row.split('\t').map(str::to_owned).collect()),
                    }
                }
                let _ = write!(out, "{}", table(&rows));
            }
            Command::Line(word) => {
                self.say(word)?;
                let line = self.line()?;
                let _ = writeln!(out, "{}", line.strip_prefix("OK ").unwrap_or(&line));
            }
            Command::Watch(seconds) => loop {
                // Clears the screen.
                let _ = write!(out, "\x1b[2J\x1b[H");
                for known in ["status", "routes"].iter().filter_map(|c| self::command(c)) {
                    self.carry_out(known, out)?;
                    let _ = writeln!(out);
                }
                if out.flush().is_err() {
                    return Ok(false);
                }
                std::thread::sleep(Duration::from_secs(seconds));
            },
            Command::Help => drop(write!(out, "{HELP}")),
            Command::Quit => return Ok(false),
            Command::Nothing => {}
        }
        Ok(true)
    }
}

/// Rows in columns as wide as their widest cell.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        rows.iter()
            .filter_map(|r| r.get(c))
            .map(|t| t.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(t, &w)| format!("{t:w$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_are_read_and_others_are_not() {
        assert_eq!(command("  kept\n"), Some(Command::Line("kept")));
        assert_eq!(command("watch 5"), Some(Command::Watch(5)));
        assert_eq!(command(""), Some(Command::Nothing));
        for bad in ["watch 0", "watch x", "kept twice", "shutdown"] {
            assert_eq!(command(bad), None, "{bad}");
        }
    }

    #[test]
    fn a_table_lines_up() {
        let rows = [
            vec!["a".to_owned(), "bb".to_owned()],
            vec!["ccc".to_owned(), "d".to_owned()],
        ];
        assert_eq!(table(&rows), "a    bb\nccc  d\n");
    }
}
