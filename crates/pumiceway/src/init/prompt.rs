//! Prompts for answers on the terminal.

use super::error::InitError;
use std::fmt::Display;
use std::io::{BufRead, Write};
use std::str::FromStr;

/// Asks questions on `output` and reads the answers from `input`.
pub struct Prompt<'a, R, W> {
    /// Whether questions are asked; otherwise the defaults apply.
    pub is_interactive: bool,
    pub input: &'a mut R,
    pub output: &'a mut W,
}

impl<R: BufRead, W: Write> Prompt<'_, R, W> {
    /// Returns the given answer, or asks for one if interactive, or returns the default.
    pub fn answer<T>(
        &mut self,
        given: Option<&T>,
        question: &str,
        default: T,
    ) -> Result<T, InitError>
    where
        T: Clone + Display + FromStr,
        T::Err: Display,
    {
        match given {
            Some(given) => Ok(given.clone()),
            None if self.is_interactive => self.ask(question, &default.to_string()),
            None => Ok(default),
        }
    }

    /// Asks until the answer can be parsed. An empty answer selects the default.
    pub fn ask<T>(&mut self, question: &str, default: &str) -> Result<T, InitError>
    where
        T: FromStr,
        T::Err: Display,
    {
        loop {
            let line = self.ask_once(question, default)?;
            let answer = match line.trim() {
                "" => default,
                answer => answer,
            };
            match answer.parse() {
                Ok(answer) => return Ok(answer),
                Err(error) => drop(writeln!(self.output, "  {error}")),
            }
        }
    }

    fn ask_once(&mut self, question: &str, default: &str) -> Result<String, InitError> {
        write!(self.output, "{question} [{default}] ")
            .and_then(|()| self.output.flush())
            .map_err(InitError::Terminal)?;
        let mut line = String::new();
        let length = self
            .input
            .read_line(&mut line)
            .map_err(InitError::Terminal)?;
        if length == 0 {
            return Err(InitError::InputEnded);
        }
        Ok(line)
    }
}
