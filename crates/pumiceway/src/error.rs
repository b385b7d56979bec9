//! The errors of the commands.

use crate::console::ConsoleError;
#[cfg(feature = "appliance")]
use crate::init::InitError;
use pumiceway_logging::LogError;
use pumiceway_net::config::ConfigError;
#[cfg(feature = "appliance")]
use pumiceway_site::SiteError;
use std::{error, fmt, io};

/// A command fails. The message is the one line that the operator reads.
#[derive(Debug)]
pub enum CommandError {
    /// The platform's configuration cannot be used.
    Config(ConfigError),
    /// The site file cannot be used.
    #[cfg(feature = "appliance")]
    Site(SiteError),
    /// `--gearman` is given together with `--site`.
    #[cfg(feature = "appliance")]
    GearmanWithSite,
    /// The log cannot be started.
    Log(LogError),
    /// The runtime cannot be started.
    Runtime(io::Error),
    /// The dispatcher cannot serve.
    Serve(io::Error),
    /// The console ends with an error.
    Console(ConsoleError),
    /// No site file is written.
    #[cfg(feature = "appliance")]
    Init(InitError),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Config(error) => error.fmt(f),
            #[cfg(feature = "appliance")]
            CommandError::Site(error) => error.fmt(f),
            #[cfg(feature = "appliance")]
            CommandError::GearmanWithSite => f.write_str(
                "--gearman: with a site file, its listen.gearman switches that frontend on",
            ),
            CommandError::Log(error) => error.fmt(f),
            CommandError::Runtime(error) => write!(f, "cannot start: {error}"),
            CommandError::Serve(error) => error.fmt(f),
            CommandError::Console(error) => error.fmt(f),
            #[cfg(feature = "appliance")]
            CommandError::Init(error) => error.fmt(f),
        }
    }
}

impl error::Error for CommandError {}

impl From<ConfigError> for CommandError {
    fn from(error: ConfigError) -> CommandError {
        CommandError::Config(error)
    }
}

#[cfg(feature = "appliance")]
impl From<SiteError> for CommandError {
    fn from(error: SiteError) -> CommandError {
        CommandError::Site(error)
    }
}

impl From<LogError> for CommandError {
    fn from(error: LogError) -> CommandError {
        CommandError::Log(error)
    }
}

impl From<ConsoleError> for CommandError {
    fn from(error: ConsoleError) -> CommandError {
        CommandError::Console(error)
    }
}

#[cfg(feature = "appliance")]
impl From<InitError> for CommandError {
    fn from(error: InitError) -> CommandError {
        CommandError::Init(error)
    }
}
