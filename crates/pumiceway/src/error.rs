//! The errors of the commands.

use crate::console::ConsoleError;
#[cfg(feature = "appliance")]
use crate::init::InitError;
use pumiceway_logging::LogError;
use pumiceway_net::config::ConfigError;
#[cfg(feature = "appliance")]
use pumiceway_site::SiteError;
use std::{error, fmt, io};

/// Why a command failed. The message is a single line for the operator.
#[derive(Debug)]
pub enum CommandError {
    /// The configuration of the platform is invalid or cannot be read.
    Config(ConfigError),
    /// The site file is invalid or cannot be read.
    #[cfg(feature = "appliance")]
    Site(SiteError),
    /// `--gearman` is given together with `--site`.
    #[cfg(feature = "appliance")]
    GearmanWithSite,
    /// The log cannot be started.
    Log(LogError),
    /// The async runtime cannot be started.
    Runtime(io::Error),
    /// The dispatcher cannot serve.
    Serve(io::Error),
    /// The console failed.
    Console(ConsoleError),
    /// No site file was written.
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
                "--gearman cannot be combined with --site; set listen.gearman in the site file",
            ),
            CommandError::Log(error) => error.fmt(f),
            CommandError::Runtime(error) => write!(f, "cannot start the async runtime: {error}"),
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
