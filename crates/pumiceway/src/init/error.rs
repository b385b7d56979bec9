//! The errors of `init`.

use pumiceway_site::SiteError;
use std::path::PathBuf;
use std::{error, fmt, io};

/// Why no site file was written.
#[derive(Debug)]
pub enum InitError {
    /// The file exists already.
    FileExists(PathBuf),
    /// The input ended before the last question.
    InputEnded,
    /// Standard input cannot be read, or standard output cannot be written.
    Terminal(io::Error),
    /// A site file with these answers would be invalid.
    InvalidAnswers(SiteError),
    /// The file cannot be written.
    Write { file: PathBuf, source: io::Error },
}

impl fmt::Display for InitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InitError::FileExists(file) => write!(
                f,
                "{} already exists and was not touched; use --site to write another file",
                file.display()
            ),
            InitError::InputEnded => {
                f.write_str("the input ended before the last question; nothing was written")
            }
            InitError::Terminal(source) => write!(f, "cannot ask the questions: {source}"),
            InitError::InvalidAnswers(source) => write!(f, "invalid answers: {source}"),
            InitError::Write { file, source } => write!(f, "{}: {source}", file.display()),
        }
    }
}

impl error::Error for InitError {}

/// The text is neither an address nor `none`.
#[derive(Debug)]
pub struct ParseAddressError(pub String);

impl fmt::Display for ParseAddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.0;
        write!(
            f,
            "{text:?} is neither an address, such as 127.0.0.1:4730, nor none"
        )
    }
}

impl error::Error for ParseAddressError {}
