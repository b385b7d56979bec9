//! Sets a new site up: asks what it has to know, and writes the site file.

use argh::FromArgs;
use pumiceway_site::{Answers, ClassAnswer};
use std::fs::OpenOptions;
use std::io::{self, BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Set a new site up: answer some questions, or give all answers as flags, and get a commented site
/// file.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
pub struct Init {
    /// the file to write (site.toml); one that is there is not touched
    #[argh(option, default = "PathBuf::from(\"site.toml\")")]
    site: PathBuf,
    /// the site's name
    #[argh(option)]
    name: Option<String>,
    /// where HTTP clients connect (127.0.0.1:3000)
    #[argh(option)]
    http: Option<SocketAddr>,
    /// where Gearman clients and workers connect (127.0.0.1:4730), or none
    #[argh(option)]
    gearman: Option<Gearman>,
    /// a class whose jobs may run again; may be given several times
    #[argh(option)]
    safe: Vec<String>,
    /// a class whose jobs must never run twice; may be given several times
    #[argh(option)]
    once: Vec<String>,
    /// ask nothing: what is not given has its default
    #[argh(switch)]
    yes: bool,
}

/// Where the Gearman front listens, if at all.
#[derive(Clone, Copy)]
struct Gearman(Option<SocketAddr>);

impl std::str::FromStr for Gearman {
    type Err = String;

    fn from_str(text: &str) -> Result<Gearman, String> {
        let right = "an address such as 127.0.0.1:4730, or none";
        match text {
            "none" => Ok(Gearman(None)),
            _ => text
                .parse()
                .map(|a| Gearman(Some(a)))
                .map_err(|_| format!("{text:?} is not {right}")),
        }
    }
}

impl Init {
    /// Asks, checks and writes.
    pub fn run(self) -> Result<(), String> {
        let file = self.site.display().to_string();
        // Before the questions, so that nobody answers them in vain.
        if self.site.exists() {
            return Err(format!(
                "{file} is there already and was not touched; --site names another file"
            ));
        }
        let asks = !self.yes && io::stdin().is_terminal();
        let answers = self.answers(asks, &mut io::stdin().lock(), &mut io::stdout())?;
        let text = pumiceway_site::template(&answers);
        pumiceway_site::read(&text, &file)
            .map_err(|e| format!("these answers can't be used: {e}"))?;
        let mut new = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.site);
        let written = new
            .as_mut()
            .map_err(|e| io::Error::new(e.kind(), e.to_string()));
        written
            .and_then(|f| f.write_all(text.as_bytes()))
            .map_err(|e| format!("{file}: {e}"))?;
        println!("{file} is written. Start with: pumiceway serve --site {file}");
        Ok(())
    }

    fn answers(
        &self,
        asks: bool,
        from: &mut impl BufRead,
        to: &mut impl Write,
    ) -> Result<Answers, String> {
        let usual = Answers::default();
        let mut ask = Ask { asks, from, to };
        let name = ask.answer(&self.name, "What is the site called?", usual.name)?;
        let http = ask.answer(&self.http, "Where do HTTP clients connect?", usual.http)?;
        let Gearman(gearman) = match (self.gearman, asks) {
            (Some(given), _) => given,
            (None, false) => Gearman(usual.gearman),
            (None, true) => {
                let usual = usual.gearman.map_or("none".to_owned(), |a| a.to_string());
                ask.text(
                    "Where do Gearman clients and workers connect (none: nowhere)?",
                    &usual,
                )?
            }
        };
        let mut classes = Vec::new();
        for (given, once, question) in [
            (
                &self.safe,
                false,
                "Which jobs may run again, if a worker drops out? (names, parted by commas)",
            ),
            (
                &self.once,
                true,
                "Which jobs must never run twice? (names, parted by commas)",
            ),
        ] {
            let usual: Vec<_> = usual
                .classes
                .iter()
                .filter(|c| c.once == once)
                .map(|c| c.name.as_str())
                .collect();
            let names = match (given.is_empty(), asks) {
                (false, _) => given.clone(),
                (true, true) => {
                    let names: String = ask.text(question, &usual.join(", "))?;
                    names
                        .split(',')
                        .map(|n| n.trim().to_owned())
                        .filter(|n| !n.is_empty())
                        .collect()
                }
                // Prevents: one who names the classes of one sort gets ours of the other beside
                // them.
                (true, false) if !(self.safe.is_empty() && self.once.is_empty()) => vec![],
                (true, false) => usual.into_iter().map(str::to_owned).collect(),
            };
            classes.extend(names.into_iter().map(|name| ClassAnswer { name, once }));
        }
        Ok(Answers {
            name,
            http,
            gearman,
            classes,
        })
    }
}

struct Ask<'a, R, W> {
    asks: bool,
    from: &'a mut R,
    to: &'a mut W,
}

impl<R: BufRead, W: Write> Ask<'_, R, W> {
    fn answer<T>(&mut self, given: &Option<T>, question: &str, usual: T) -> Result<T, String>
    where
        T: Clone + ToString + std::str::FromStr,
        T::Err: ToString,
    {
        match given {
            Some(given) => Ok(given.clone()),
            None if self.asks => self.text(question, &usual.to_string()),
            None => Ok(usual),
        }
    }

    /// Asks until the answer can be used.
    fn text<T: std::str::FromStr>(&mut self, question: &str, usual: &str) -> Result<T, String>
    where
        T::Err: ToString,
    {
        loop {
            let said = write!(self.to, "{question} [{usual}] ").and_then(|()| self.to.flush());
            said.map_err(|e| e.to_string())?;
            let mut line = String::new();
            if self.from.read_line(&mut line).map_err(|e| e.to_string())? == 0 {
                return Err(
                    "the answers ended before the last question; nothing was written".to_owned(),
                );
            }
            let answer = Some(line.trim()).filter(|a| !a.is_empty()).unwrap_or(usual);
            match answer.parse() {
                Ok(answer) => return Ok(answer),
                Err(why) => drop(writeln!(self.to, "  {}", why.to_string())),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn init() -> Init {
        let (site, safe, once) = (PathBuf::from("site.toml"), vec![], vec![]);
        Init {
            site,
            name: None,
            http: None,
            gearman: None,
            safe,
            once,
            yes: false,
        }
    }

    // Guards against a typing error that ends the questions, and against answers that no site file
    // can hold.
    #[test]
    fn questions_are_asked_again_until_the_answer_can_be_used() {
        let mut said = Vec::new();
        let typed = "Inn \"1\"\nnowhere\n127.0.0.1:3100\nnone\n\nimports, bills\n";
        let answers = init()
            .answers(true, &mut typed.as_bytes(), &mut said)
            .unwrap();
        assert_eq!((answers.http.port(), answers.gearman), (3100, None));
        let names: Vec<_> = answers
            .classes
            .iter()
            .map(|c| (c.name.as_str(), c.once))
            .collect();
        assert_eq!(
            names,
            [("rate-push", false), ("imports", true), ("bills", true)]
        );
        let config =
            pumiceway_site::read(&pumiceway_site::template(&answers), "site.toml").unwrap();
        assert_eq!(config.name, "Inn \"1\"");
        assert!(
            String::from_utf8(said)
                .unwrap()
                .contains("invalid socket address")
        );
        let mut typed = "Inn\n".as_bytes();
        assert!(
            init()
                .answers(true, &mut typed, &mut Vec::new())
                .unwrap_err()
                .contains("nothing was written")
        );
    }
}
