//! The command `init`, which asks for the main settings of a new site and writes its site file.
//!
//! A setting that is given as a flag is not asked for. Without a terminal, or with `--yes`, nothing
//! is asked, and the settings that are not given have their defaults.

mod error;
mod prompt;
#[cfg(test)]
mod tests;

pub use error::InitError;

use argh::FromArgs;
use error::ParseAddressError;
use prompt::Prompt;
use pumiceway_site::{Answers, ClassAnswer};
use std::fs::OpenOptions;
use std::io::{self, BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fmt, str};

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
    gearman: Option<OptionalAddress>,
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

/// An address, or `none`.
#[derive(Clone, Copy)]
struct OptionalAddress(Option<SocketAddr>);

impl str::FromStr for OptionalAddress {
    type Err = ParseAddressError;

    fn from_str(text: &str) -> Result<OptionalAddress, ParseAddressError> {
        if text == "none" {
            return Ok(OptionalAddress(None));
        }
        match text.parse() {
            Ok(address) => Ok(OptionalAddress(Some(address))),
            Err(_) => Err(ParseAddressError(text.to_owned())),
        }
    }
}

impl fmt::Display for OptionalAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(address) => address.fmt(f),
            None => f.write_str("none"),
        }
    }
}

impl Init {
    /// Asks the questions, checks the answers and writes the file.
    pub fn run(self) -> Result<(), InitError> {
        // Checked before the questions, so that the answers are not lost.
        if self.site.exists() {
            return Err(InitError::FileExists(self.site));
        }
        let is_interactive = !self.yes && io::stdin().is_terminal();
        let mut prompt = Prompt {
            is_interactive,
            input: &mut io::stdin().lock(),
            output: &mut io::stdout(),
        };
        let answers = self.answers(&mut prompt)?;
        let file = self.site.display();
        let text = pumiceway_site::template(&answers);
        pumiceway_site::read(&text, &file.to_string()).map_err(InitError::InvalidAnswers)?;
        write_new(&self.site, &text).map_err(|source| InitError::Write {
            file: self.site.clone(),
            source,
        })?;
        println!("{file} is written. Start with: pumiceway serve --site {file}");
        Ok(())
    }

    fn answers(
        &self,
        prompt: &mut Prompt<'_, impl BufRead, impl Write>,
    ) -> Result<Answers, InitError> {
        let defaults = Answers::default();
        let name = prompt.answer(
            self.name.as_ref(),
            "What is the site called?",
            defaults.name,
        )?;
        let http = prompt.answer(
            self.http.as_ref(),
            "Where do HTTP clients connect?",
            defaults.http,
        )?;
        let OptionalAddress(gearman) = prompt.answer(
            self.gearman.as_ref(),
            "Where do Gearman clients and workers connect (none: nowhere)?",
            OptionalAddress(defaults.gearman),
        )?;
        let mut classes = self.classes(prompt, IDEMPOTENT, &self.safe, &defaults.classes)?;
        classes.extend(self.classes(prompt, NON_IDEMPOTENT, &self.once, &defaults.classes)?);
        Ok(Answers {
            name,
            http,
            gearman,
            classes,
        })
    }

    /// The idempotent classes, or the non-idempotent ones: from the flags, from the answer to the
    /// question, or the defaults.
    fn classes(
        &self,
        prompt: &mut Prompt<'_, impl BufRead, impl Write>,
        question: ClassQuestion,
        from_flags: &[String],
        defaults: &[ClassAnswer],
    ) -> Result<Vec<ClassAnswer>, InitError> {
        let idempotent = question.idempotent;
        let default_names: Vec<&str> = defaults
            .iter()
            .filter(|class| class.idempotent == idempotent)
            .map(|class| class.name.as_str())
            .collect();
        let names = if !from_flags.is_empty() {
            from_flags.to_vec()
        } else if prompt.is_interactive {
            let names: String = prompt.ask(question.text, &default_names.join(", "))?;
            split_names(&names)
        } else if self.has_class_flags() {
            // With flags for the classes of one kind only, the other kind has none, rather than
            // its defaults.
            Vec::new()
        } else {
            default_names.into_iter().map(str::to_owned).collect()
        };
        let class = |name| ClassAnswer { name, idempotent };
        Ok(names.into_iter().map(class).collect())
    }

    /// Whether a flag gives any class.
    fn has_class_flags(&self) -> bool {
        !self.safe.is_empty() || !self.once.is_empty()
    }
}

/// The question for the idempotent classes, or for the non-idempotent ones.
struct ClassQuestion {
    idempotent: bool,
    text: &'static str,
}

const IDEMPOTENT: ClassQuestion = ClassQuestion {
    idempotent: true,
    text: "Which jobs may run again, if a worker drops out? (names, separated by commas)",
};

const NON_IDEMPOTENT: ClassQuestion = ClassQuestion {
    idempotent: false,
    text: "Which jobs must never run twice? (names, separated by commas)",
};

/// Splits names at commas, without the spaces around them; empty names are left out.
fn split_names(names: &str) -> Vec<String> {
    names
        .split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Creates a file with this text; fails if the file exists.
fn write_new(path: &Path, text: &str) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
    file.write_all(text.as_bytes())
}
